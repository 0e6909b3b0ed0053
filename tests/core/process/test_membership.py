"""Tests of the host list and the rendezvous ranking."""

import dataclasses

import pytest

from builders_capacity import make_hosts, make_router, make_target
from limpetusher.configuration.compiled import HostList, HostState
from limpetusher.core.connection.peers import Peers
from limpetusher.core.process.membership import Membership
from limpetusher.core.settings import PolicySettings
from limpetusher.errors import InvalidInputError


def make_membership(hosts: HostList, own_id: str = "r1") -> Membership:
    settings = PolicySettings()
    membership = Membership(settings, own_id, Peers(settings))
    membership.update(hosts, 0.0)
    return membership


def test_removing_a_router_keeps_the_order_of_the_others():
    """Guards against needless changes of owners when a host is removed."""
    names = [f"r{i}" for i in range(20)]
    membership = make_membership(make_hosts(1, names))
    order = membership.carriers("t1")
    membership.update(make_hosts(2, [name for name in names if name != order[3]]), 1.0)
    assert membership.carriers("t1") == order[:3] + order[4:]


def test_first_places_are_spread_over_the_routers():
    """Guards against a ranking that gives most targets to one router."""
    names = [f"r{i}" for i in range(10)]
    membership = make_membership(make_hosts(1, names))
    first = [membership.rank(f"t{i}".encode(), names)[0] for i in range(1000)]
    assert all(60 <= first.count(name) <= 150 for name in names)


def test_owner_is_the_first_reachable_router_that_is_not_leaving():
    """Guards against demand sent to a router that is unreachable or stopping."""
    membership = make_membership(make_hosts(1, ["r1", "r2", "r3"]))
    first, second, third = membership.carriers("t1")
    membership.own_id = third
    for peer in (first, second):
        membership.peers.record_heartbeat(peer, 1, 1, 0, 0.0, False)
    assert membership.owner("t1", 0.5) == first
    membership.peers.record_heartbeat(first, 1, 2, 0, 0.5, True)
    assert membership.owner("t1", 0.5) == second
    assert membership.owner("t1", 1.2) == third
    assert membership.owned_targets(1.2) == ("t1",)
    membership.self_is_leaving = True
    assert membership.owner("t1", 1.2) is None


def test_targets_without_a_router_in_their_data_centre_use_all_routers():
    """Guards against targets that no router can use, and against applying an older host list."""
    hosts = (make_router("r1"), make_router("r2", "west"), make_target("t9", "north"))
    membership = make_membership(HostList(5, hosts))
    assert sorted(membership.carriers("t9")) == ["r1", "r2"]
    assert not membership.update(make_hosts(4, ["r1"]), 1.0)
    with pytest.raises(InvalidInputError, match="'r9'"):
        membership.address("r9")


def test_the_digest_follows_routers_but_not_their_state():
    """Guards against needless synchronisation of witnesses when a host starts to leave."""
    hosts = make_hosts(1, ["r1", "r2"])
    leaving = tuple(dataclasses.replace(host, state=HostState.LEAVING) for host in hosts.hosts)
    digest = make_membership(hosts).digest
    assert make_membership(HostList(2, leaving)).digest == digest
    assert make_membership(make_hosts(2, ["r1"])).digest != digest
