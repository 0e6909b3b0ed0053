"""Tests of how callers' requests share the time of the router process."""

import random

from builders_fleet import make_work
from builders_platform import make_host_settings
from limpetusher.clock import ManualClock
from limpetusher.fleet.settings import FleetSettings
from limpetusher_router.fleet.requests import FleetRequests
from limpetusher_router.fleet.state import FleetState
from limpetusher_router.process.deadlines import Deadlines
from limpetusher_router.process.metrics import Metrics

LOOK_SECONDS = 0.02
"""What a look at some hundred waiting requests costs on a busy host."""


def test_costly_looks_at_the_waiting_requests_leave_time_for_other_events():
    """Guards against requests that are read a second late (GONE on jpr-valley, scale-2)."""
    clock = ManualClock()
    state = FleetState(make_host_settings(), FleetSettings(), clock=clock, rng=random.Random(1))
    requests = FleetRequests(state, clock=clock, deadlines=Deadlines(clock), metrics=Metrics())
    looks = []

    def decide(now: float) -> list:
        looks.append(now)
        clock.advance(LOOK_SECONDS)
        return []

    state.waiting.by_service["engines"] = [make_work()]
    state.waiting.decide = decide
    for _ in range(200):
        requests.place()
        clock.advance(0.002)
    assert looks
    assert len(looks) * LOOK_SECONDS <= 0.5 * clock.monotonic()
