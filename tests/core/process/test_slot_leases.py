"""Tests of slot carriers and leases. With the default settings, a lease lasts 2 s, the takeover wait 3 s."""

from builders_capacity import TARGET, make_hosts
from limpetusher.core.connection.peers import Peers
from limpetusher.core.process.membership import Membership
from limpetusher.core.process.slot_leases import SlotLeases
from limpetusher.core.settings import PolicySettings

FIRST, SECOND = "r2", "r1"
"""The carriers of the target in order, checked by `make_slot_leases`."""


def make_slot_leases(own_id: str, *, fresh_fleet: bool = True) -> SlotLeases:
    settings = PolicySettings(fresh_fleet=fresh_fleet)
    peers = Peers(settings, first_sequence=100)
    membership = Membership(settings, own_id, peers)
    membership.update(make_hosts(1, ["r1", "r2"]), 0.0)
    assert membership.carriers(TARGET) == (FIRST, SECOND)
    slot_leases = SlotLeases(settings, own_id, membership, peers, 0.0)
    slot_leases.hosts_changed(0.0)
    return slot_leases


def receive_heartbeat(
    slot_leases: SlotLeases, peer: str, now: float, *, echo: int = 0, version: int = 1, lent=()
) -> None:
    """Let `slot_leases` receive a heartbeat from `peer`."""
    slot_leases.peers.record_heartbeat(peer, 1, int(now * 100) + 1, echo, now, False)
    slot_leases.accept_leases(peer, echo, lent, now, host_list_version=version)


def test_a_lease_counts_from_the_send_time_of_the_echoed_number():
    """Guards against late messages that extend a lease beyond the time that the carrier assumes."""
    slot_leases = make_slot_leases(FIRST)
    echo = slot_leases.peers.next_sequence(SECOND, 10.0)
    receive_heartbeat(slot_leases, SECOND, 11.5, echo=echo, lent=(TARGET,))
    assert slot_leases.leased_slots(TARGET, 4, 11.9) == 2
    assert slot_leases.leased_slots(TARGET, 4, 12.0) == 0
    receive_heartbeat(slot_leases, SECOND, 12.5, echo=echo, lent=(TARGET,))
    receive_heartbeat(slot_leases, SECOND, 12.6, echo=7, lent=(TARGET,))
    assert slot_leases.leased_slots(TARGET, 4, 12.6) == 0


def test_slots_are_lent_to_another_owner_only_after_lease_and_grant_validity():
    """Guards against two owners that use a slot at once, also if one of them is the carrier itself."""
    slot_leases = make_slot_leases(SECOND)
    assert slot_leases.lend_slots(0.0) == {}
    assert slot_leases.leased_slots(TARGET, 4, 1.9) == 2
    receive_heartbeat(slot_leases, FIRST, 2.5)
    assert slot_leases.lend_slots(2.5) == slot_leases.lend_slots(2.9) == {}
    receive_heartbeat(slot_leases, FIRST, 3.1)
    assert slot_leases.lend_slots(3.1) == {FIRST: (TARGET,)}
    assert slot_leases.lend_slots(5.0) == {}
    assert slot_leases.leased_slots(TARGET, 4, 5.0) == 0
    slot_leases.lend_slots(6.2)
    assert slot_leases.leased_slots(TARGET, 4, 6.2) == 2


def test_a_started_router_waits_for_confirmation_and_then_three_seconds():
    """Guards against a restarted or new carrier that lends slots which another carrier still lends."""
    slot_leases = make_slot_leases(FIRST, fresh_fleet=False)
    receive_heartbeat(slot_leases, SECOND, 4.0, version=1)
    slot_leases.lend_slots(9.0)
    assert slot_leases.leased_slots(TARGET, 4, 9.0) == 0
    echo = slot_leases.peers.next_sequence(SECOND, 9.0)
    receive_heartbeat(slot_leases, SECOND, 9.1, echo=echo, version=1)
    slot_leases.lend_slots(12.0)
    assert slot_leases.leased_slots(TARGET, 4, 12.0) == 0
    slot_leases.lend_slots(12.2)
    assert slot_leases.leased_slots(TARGET, 4, 12.2) == 2


def test_slots_gained_by_a_host_list_wait_and_lost_ones_are_gone():
    """Guards against slots used by two carriers while routers have different host lists."""
    slot_leases = make_slot_leases(FIRST)
    slot_leases.lend_slots(0.0)
    echo = slot_leases.peers.next_sequence(SECOND, 0.0)
    receive_heartbeat(slot_leases, SECOND, 0.1, echo=echo, lent=(TARGET,))
    assert slot_leases.leased_slots(TARGET, 4, 0.1) == 4
    slot_leases.membership.update(make_hosts(2, ["r2"]), 0.2)
    slot_leases.hosts_changed(0.2)
    slot_leases.lend_slots(3.1)
    assert slot_leases.leased_slots(TARGET, 4, 3.1) == 0
    slot_leases.lend_slots(3.3)
    assert slot_leases.leased_slots(TARGET, 4, 3.3) == 4
    slot_leases.membership.update(make_hosts(3, ["r1", "r2"]), 3.4)
    slot_leases.hosts_changed(3.4)
    slot_leases.lend_slots(3.5)
    assert slot_leases.leased_slots(TARGET, 4, 3.5) == 2


def test_a_lease_under_other_carriers_is_refused():
    """Guards against counting slots that the lender does not lend."""
    slot_leases = make_slot_leases(FIRST)
    slot_leases.membership.update(make_hosts(2, ["r1", "r2", "r3"]), 0.0)
    slot_leases.hosts_changed(0.0)
    echo = slot_leases.peers.next_sequence(SECOND, 0.0)
    receive_heartbeat(slot_leases, SECOND, 0.1, echo=echo, version=1, lent=(TARGET,))
    receive_heartbeat(slot_leases, SECOND, 0.2, echo=echo, version=3, lent=(TARGET,))
    assert not slot_leases.lenders(TARGET, 0.2)
    receive_heartbeat(slot_leases, SECOND, 0.3, echo=echo, version=2, lent=(TARGET,))
    assert slot_leases.lenders(TARGET, 0.3) == {SECOND}


def test_majority_needs_more_than_half_of_the_carriers():
    """Guards against two routers that give orders to one engine."""
    slot_leases = make_slot_leases(FIRST)
    slot_leases.lend_slots(0.0)
    assert not slot_leases.has_majority(TARGET, 0.1)
    echo = slot_leases.peers.next_sequence(SECOND, 0.0)
    receive_heartbeat(slot_leases, SECOND, 0.1, echo=echo, lent=(TARGET,))
    assert slot_leases.has_majority(TARGET, 0.2)
    assert slot_leases.silent_carriers(TARGET, 3.2) == (SECOND,)
