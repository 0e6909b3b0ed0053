"""Tests of fleets whose targets name the requests per second that they take from all routers together."""

import msgspec
import pytest

from builders_peers import READING_SECONDS, RUN_SECONDS, FleetInMemory, poisson_load

SETTLE_SECONDS = 5.0
STABLE_WINDOW_SECONDS = 3.0
"""Time after the first answer that names a limit from which on the limit holds."""
WINDOW_SECONDS = 4.0
TOLERATED_FACTOR = 1.5
TOLERATED_EXTRA = 5
LOAD_PER_SECOND = 80.0
MAX_DATAGRAM_BYTES = 4_000
"""Six messages of about 500 bytes, and room for their packet."""


def limited_engines(fleet: FleetInMemory, every: int) -> list[str]:
    return [target.target_id for number, target in enumerate(fleet.targets) if number % every]


def assert_limits_hold(fleet: FleetInMemory, since: float) -> None:
    """Check the requests in each window of the limited engines against the rule of the platform."""
    for target_id, per_second in fleet.rate_limits.items():
        starts = [at for at in fleet.starts.get(target_id, []) if at >= since]
        busiest = max(
            (sum(at <= other < at + WINDOW_SECONDS for other in starts) for at in starts), default=0
        )
        assert busiest <= TOLERATED_FACTOR * per_second * WINDOW_SECONDS + TOLERATED_EXTRA, target_id


def schedulers(fleet: FleetInMemory) -> set[str]:
    router = next(iter(fleet.routers.values()))
    now = fleet.clock.monotonic()
    return {router.state.pools.scheduler(pool, now) for pool in router.state.pools.for_service("engines")}


@pytest.mark.parametrize(("routers", "engines"), [(8, 8), (40, 24)])
@pytest.mark.parametrize("per_second", [1.0, 3.2, 12.0])
def test_limited_targets_get_no_more_requests_than_they_take(routers, engines, per_second):
    """Guards against a limit that no router applies, or that each one applies for itself."""
    fleet = FleetInMemory(routers, engines=engines, seed=7)
    fleet.run(SETTLE_SECONDS)
    fleet.rate_limits = dict.fromkeys(limited_engines(fleet, every=3), per_second)
    since = fleet.clock.monotonic() + STABLE_WINDOW_SECONDS
    fleet.run(15.0, poisson_load(fleet, LOAD_PER_SECOND * engines / 8))
    assert_limits_hold(fleet, since)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("fault", ["kill", "restart", "leave"])
def test_limits_hold_when_the_scheduler_is_replaced(seed, fault):
    """Guards against a new scheduler that does not know the limits that its predecessor has learned."""
    fleet = FleetInMemory(12, engines=8, seed=seed)
    fleet.run(SETTLE_SECONDS)
    fleet.rate_limits = dict.fromkeys(limited_engines(fleet, every=4), 2.5)
    since = fleet.clock.monotonic() + STABLE_WINDOW_SECONDS
    arrive = poisson_load(fleet, LOAD_PER_SECOND)
    fleet.run(5.0, arrive)
    for _ in range(3):
        (victim,) = schedulers(fleet)
        if fault == "kill":
            fleet.routers[victim].is_frozen = True
        elif fault == "restart":
            fleet.restart(victim)
        else:
            fleet.routers[victim].peers.announce_departure()
        fleet.run(4.0, arrive)
    assert_limits_hold(fleet, since)


def test_target_that_names_no_limit_any_more_gets_its_share_again():
    """Guards against a limit that stays in force after the target has stopped to name it."""
    slots, engines = 4, 4
    fleet = FleetInMemory(8, engines=engines, slots=slots, seed=5)
    fleet.run(SETTLE_SECONDS)
    arrive = poisson_load(fleet, LOAD_PER_SECOND)
    fleet.rate_limits = {"e1": 2.0}
    fleet.run(6.0, arrive)
    fleet.rate_limits = {}
    fleet.run(2.0, arrive)
    since = fleet.clock.monotonic()
    fleet.run(4.0, arrive)
    most = slots * 4.0 / (READING_SECONDS + RUN_SECONDS)
    assert sum(at >= since for at in fleet.starts["e1"]) >= 0.5 * most


def test_router_that_starts_learns_hundreds_of_limits_in_small_messages():
    """Guards against limits that never arrive because their message does not fit into a datagram."""
    fleet = FleetInMemory(4, engines=300, seed=2)
    fleet.run(SETTLE_SECONDS)
    sizes = []
    send = fleet.send

    def send_and_measure(sender, datagram, addresses):
        sizes.append(len(msgspec.msgpack.encode(datagram)))
        send(sender, datagram, addresses)

    fleet.send = send_and_measure
    for router in fleet.routers.values():
        for target in fleet.targets:
            router.state.placement.limits.learn(target.target_id, 2.5, fleet.clock.monotonic())
    started = fleet.restart("10.0.0.3")
    fleet.run(SETTLE_SECONDS)
    assert len(started.state.placement.limits.known_limits()) == len(fleet.targets)
    assert max(sizes) <= MAX_DATAGRAM_BYTES
