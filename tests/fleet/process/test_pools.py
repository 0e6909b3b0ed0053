"""Tests of which targets are scheduled together, and by which router."""

import random

from builders_fleet import make_placement, make_service, make_target
from limpetusher.fleet.messages import MemberEntry
from limpetusher.fleet.model import Pool
from limpetusher.fleet.process.members import Members
from limpetusher.fleet.process.pools import Pools

NOTHING = frozenset()


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


def test_few_engines_are_scheduled_together():
    """Guards against a session that can choose among one or two engines only."""
    assert make_pools(9).of("engines") == {Pool("engines"): 9}


def test_many_engines_are_scheduled_by_data_centre():
    """Guards against a scheduler whose work grows with the fleet."""
    assert make_pools(13).of("engines") == {Pool("engines", "north"): 7, Pool("engines", "south"): 6}


def test_plain_targets_are_scheduled_together():
    pools = make_pools(0)
    pools.placement.services["desk"] = make_service(name="desk", engine=None)
    for number in range(20):
        pools.placement.put_target(
            make_target(f"d{number}", service="desk", data_centre=("north", "south")[number % 2])
        )
    assert pools.of("desk") == {Pool("desk"): 20}


def test_pool_is_scheduled_in_its_data_centre():
    pools = make_pools(12)
    for data_centre in ("north", "south"):
        address = pools.scheduler(Pool("engines", data_centre), 0.0)
        members = pools.members
        entry = members.own if address == members.own.address else members.peers[address].entry
        assert entry.data_centre == data_centre


def test_sessions_are_spread_by_the_number_of_engines_and_move_little():
    """Guards against sessions that all move, and read their prompts again, when one engine goes."""
    pools = make_pools(14)
    sessions = [f"s{number}" for number in range(2_000)]
    before = {session: pools.choose("engines", session, 0.0, tried=NOTHING) for session in sessions}
    assert 0.4 <= sum(pool.data_centre == "north" for pool in before.values()) / len(sessions) <= 0.6
    pools.placement.remove_target("e0")
    moved = sum(
        pools.choose("engines", session, 0.0, tried=NOTHING) != before[session] for session in sessions
    )
    assert moved <= 0.12 * len(sessions)


def test_evacuated_data_centre_has_no_pool():
    pools = make_pools(14)
    pools.placement.evacuate("south", True)
    assert pools.of("engines") == {Pool("engines"): 7}


def test_silent_routers_of_another_data_centre_cut_its_pools_off():
    """Guards against asking one silent router after the other in a data centre that is cut off."""
    pools = make_pools(14)
    far = Pool("engines", "south")
    first = pools.scheduler(far, 1.0)
    pools.members.suspect(first, 1.0)
    pools.review(1.0)
    second = pools.scheduler(far, 1.0)
    assert second not in (None, first)
    pools.members.suspect(second, 1.3)
    pools.review(1.3)
    assert pools.scheduler(far, 1.3) is None
    chosen = {pools.choose("engines", f"s{number}", 1.3, tried=NOTHING) for number in range(50)}
    assert chosen == {Pool("engines", "north")}


def test_own_data_centre_is_never_cut_off():
    """Guards against a router that asks nobody since the others of its data centre are silent."""
    pools = make_pools(14)
    for number in range(1, 6):
        pools.members.suspect(f"10.0.0.{number}", 1.0)
    pools.review(1.0)
    assert pools.scheduler(Pool("engines", "north"), 1.0) == pools.members.own.address
