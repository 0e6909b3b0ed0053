"""Tests of how placement runs share the time of the router process."""

import logging

import pytest

from builders_peers import FleetInMemory
from limpetusher.events import Event

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


def test_summary_of_placement_runs_is_logged(caplog):
    """Guards against an overloaded scheduler that can't be told from overloaded engines."""
    fleet = FleetInMemory(1, engines=0)
    (router,) = fleet.routers.values()
    with caplog.at_level(logging.INFO, logger="limpetusher"):
        router.request_target("w1")
        fleet.run(2.0)
    summaries = [
        record.fields
        for record in caplog.records
        if getattr(record, "event", None) is Event.PLACEMENT_SUMMARY
    ]
    assert sum(summary["runs"] for summary in summaries) == router.peers.metrics.placement_runs
    assert sum(summary["refused"] for summary in summaries) == 1
    assert max(summary["waiting"] for summary in summaries) == 1
    assert summaries[0]["run_seconds"] == pytest.approx(router.peers.metrics.placement_seconds)
