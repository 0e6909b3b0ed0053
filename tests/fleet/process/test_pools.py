"""Tests of the partition into pools and of the election of schedulers."""

import random

from builders_fleet import make_placement, make_service, make_target
from limpetusher.fleet.messages import MemberEntry
from limpetusher.fleet.model import Pool
from limpetusher.fleet.process.members import Members
from limpetusher.fleet.process.pools import Pools

NO_POOLS = frozenset()


def make_pools(
    engines: int, *, data_centres: tuple[str, ...] = ("north", "south"), routers: int = 6
) -> Pools:
    placement = make_placement(0)
    for number in range(engines):
        placement.put_target(make_target(f"e{number}", data_centre=data_centres[number % len(data_centres)]))
    entries = [
        MemberEntry(f"10.0.0.{number}", data_centres[number % len(data_centres)], 1.0, 1, 1)
        for number in range(routers)
    ]
    members = Members(entries[0], rng=random.Random(1))
    members.merge(tuple(entries[1:]), 0.0)
    return Pools(placement, members)


def test_few_engines_form_one_pool():
    """Guards against pools that leave a session only one or two engines to choose from."""
    assert make_pools(9).for_service("engines") == {Pool("engines"): 9}


def test_many_engines_form_a_pool_per_data_centre():
    """Guards against a scheduler whose work grows with the fleet."""
    assert make_pools(13).for_service("engines") == {Pool("engines", "north"): 7, Pool("engines", "south"): 6}


def test_targets_without_engines_form_one_pool():
    pools = make_pools(0)
    pools.placement.services["desk"] = make_service(name="desk", engine=None)
    for number in range(20):
        pools.placement.put_target(
            make_target(f"d{number}", service="desk", data_centre=("north", "south")[number % 2])
        )
    assert pools.for_service("desk") == {Pool("desk"): 20}


def test_pool_is_scheduled_in_its_data_centre():
    pools = make_pools(12)
    for data_centre in ("north", "south"):
        address = pools.scheduler(Pool("engines", data_centre), 0.0)
        members = pools.members
        entry = members.own if address == members.own.address else members.peers[address].entry
        assert entry.data_centre == data_centre


def test_sessions_follow_the_number_of_engines_and_rarely_move():
    """Guards against moving all sessions, and prefilling their prompts again, when one engine is removed."""
    pools = make_pools(14)
    sessions = [f"s{number}" for number in range(2_000)]
    before = {session: pools.choose("engines", session, 0.0, tried=NO_POOLS) for session in sessions}
    assert 0.4 <= sum(pool.data_centre == "north" for pool in before.values()) / len(sessions) <= 0.6
    pools.placement.remove_target("e0")
    moved = sum(
        pools.choose("engines", session, 0.0, tried=NO_POOLS) != before[session] for session in sessions
    )
    assert moved <= 0.12 * len(sessions)


def test_evacuated_data_centre_has_no_pool():
    pools = make_pools(14)
    pools.placement.evacuate("south", True)
    assert pools.for_service("engines") == {Pool("engines"): 7}


def test_pools_of_an_unresponsive_data_centre_are_unreachable():
    """Guards against trying one silent router after the other in an unreachable data centre."""
    pools = make_pools(14)
    remote_pool = Pool("engines", "south")
    first = pools.scheduler(remote_pool, 1.0)
    pools.members.suspect(first, 1.0)
    pools.invalidate_schedulers(1.0)
    second = pools.scheduler(remote_pool, 1.0)
    assert second not in (None, first)
    pools.members.suspect(second, 1.3)
    pools.invalidate_schedulers(1.3)
    assert pools.scheduler(remote_pool, 1.3) is None
    chosen = {pools.choose("engines", f"s{number}", 1.3, tried=NO_POOLS) for number in range(50)}
    assert chosen == {Pool("engines", "north")}


def test_local_data_centre_is_never_unreachable():
    """Guards against a router without any scheduler because the others of its data centre are silent."""
    pools = make_pools(14)
    for number in range(1, 6):
        pools.members.suspect(f"10.0.0.{number}", 1.0)
    pools.invalidate_schedulers(1.0)
    assert pools.scheduler(Pool("engines", "north"), 1.0) == pools.members.own.address
