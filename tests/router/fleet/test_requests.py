"""Tests of how looks at the waiting requests share the time of the router process."""

from builders_peers import FleetInMemory

LOOK_SECONDS = 0.02
"""What a look at some hundred waiting requests costs on a busy host."""


def test_costly_looks_at_the_waiting_requests_leave_time_for_other_events():
    """Guards against requests that are read a second late (GONE on jpr-valley, scale-2)."""
    fleet = FleetInMemory(1, engines=0)
    (router,) = fleet.routers.values()
    clock = fleet.clock
    looks = []

    def decide(now: float) -> list:
        looks.append(now)
        clock.advance(LOOK_SECONDS)
        return []

    router.ask("w1")
    router.step()
    router.state.scheduler.decide = decide
    begun = clock.monotonic()
    for _ in range(200):
        router.peers.place(clock.monotonic())
        clock.advance(0.002)
    assert looks
    assert len(looks) * LOOK_SECONDS <= 0.5 * (clock.monotonic() - begun)
