"""Tests of how placement runs share the time of the router process."""

from builders_peers import FleetInMemory

PLACEMENT_RUN_SECONDS = 0.02
"""Duration of a placement run over some hundred waiting requests on a busy host."""


def test_costly_placement_runs_leave_time_for_other_events():
    """Guards against requests that are read a second late because placement runs take all of the time.

    Seen on the day scale-2 of jpr-valley, which reported the rule GONE as broken.
    """
    fleet = FleetInMemory(1, engines=0)
    (router,) = fleet.routers.values()
    clock = fleet.clock
    runs = []

    def decide(now: float) -> list:
        runs.append(now)
        clock.advance(PLACEMENT_RUN_SECONDS)
        return []

    router.request_target("w1")
    router.step()
    router.state.scheduler.decide = decide
    begun = clock.monotonic()
    for _ in range(200):
        router.peers.place_waiting_requests(clock.monotonic())
        clock.advance(0.002)
    assert runs
    assert len(runs) * PLACEMENT_RUN_SECONDS <= 0.5 * (clock.monotonic() - begun)
