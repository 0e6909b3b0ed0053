"""Tests of the counts and times of a port, and of the times of rounds."""

import logging
import math

import pytest

from limpetusher.clock import ManualClock
from limpetusher.events import Event
from limpetusher_router.process.metrics import Metrics
from limpetusher_router.process.port_activity import (
    LOG_INTERVAL_SECONDS,
    LONG_ROUND_SECONDS,
    LONG_UNREAD_SECONDS,
    PortActivity,
)
from limpetusher_router.process.rounds import INTERVAL_SECONDS, PollerRounds


class PortHarness:
    """A port's activity and its rounds with a manual clock."""

    def __init__(self):
        self.clock = ManualClock()
        self.rounds = PollerRounds(self.clock)
        self.activity = PortActivity("callers", self.rounds, connections=[None] * 3, limit=5)

    def run_round(self, *, before_accepts=0.0, accepts=0.0, messages=0.0, accepted=0, is_empty=True) -> None:
        """Run a round in which the listening socket is readable."""
        self.rounds.begin()
        self.clock.advance(before_accepts)
        self.activity.begin_accepts()
        self.clock.advance(accepts)
        self.activity.end_accepts(accepted=accepted, is_empty=is_empty)
        self.rounds.end_sockets()
        self.clock.advance(messages)
        self.rounds.end()

    def check(self, caplog) -> list[dict]:
        """Wait until a check is due, check, and return the fields of the lines logged by it."""
        caplog.clear()
        self.clock.advance(LOG_INTERVAL_SECONDS)
        self.rounds.begin()
        assert self.activity.is_check_due
        with caplog.at_level(logging.INFO, "limpetusher"):
            self.activity.check(None, answering=2)
        assert not self.activity.is_check_due
        assert all(record.event is Event.CALLER_PORT_BUSY for record in caplog.records)
        return [record.fields for record in caplog.records]


def test_parts_of_rounds_add_up():
    """Guards against times of rounds that count a part twice or not at all."""
    harness = PortHarness()
    harness.run_round(before_accepts=0.25, accepts=0.5, messages=2.0)
    harness.clock.advance(60.0)
    harness.run_round(before_accepts=0.125, accepts=0.0, messages=0.0)
    totals = harness.rounds.totals
    assert (totals.accepts, totals.sockets, totals.messages, totals.total) == (0.5, 0.375, 2.0, 2.875)
    assert harness.rounds.count == 2


def test_longest_round_is_forgotten():
    """Guards against a long round of the past that looks like a recent one."""
    harness = PortHarness()
    harness.run_round(messages=0.5)
    harness.clock.advance(INTERVAL_SECONDS)
    harness.run_round(messages=0.125)
    assert harness.rounds.longest.messages == 0.5
    harness.clock.advance(2 * INTERVAL_SECONDS)
    harness.run_round(messages=0.125)
    assert harness.rounds.longest.messages == 0.125


def test_quiet_port_is_not_logged(caplog):
    """Guards against log lines of routers that keep up."""
    harness = PortHarness()
    harness.run_round(before_accepts=LONG_UNREAD_SECONDS / 2, accepted=64, is_empty=False)
    harness.run_round(accepted=10)
    assert harness.check(caplog) == []


@pytest.mark.parametrize("event", ["refused", "closed_for_room", "failed"])
def test_lack_of_room_is_logged_once(caplog, event):
    """Guards against callers that find no room without a trace in the log."""
    harness = PortHarness()
    setattr(harness.activity.counts, event, 7)
    [fields] = harness.check(caplog)
    assert (fields[event], fields["open"], fields["limit"], fields["answering"]) == (7, 3, 5, 2)
    assert harness.check(caplog) == []


def test_connections_left_pending_over_several_rounds_are_logged(caplog):
    """Guards against counting only the last round in which pending connections were left."""
    harness = PortHarness()
    for _ in range(3):
        harness.run_round(messages=LONG_UNREAD_SECONDS, is_empty=False)
    harness.run_round(accepted=1)
    [fields] = harness.check(caplog)
    assert math.isclose(fields["longest_unread"], 3 * LONG_UNREAD_SECONDS)
    assert math.isclose(fields["unread_seconds"], 3 * LONG_UNREAD_SECONDS)
    assert fields["accepted"] == 1


def test_connections_that_are_still_pending_are_logged(caplog):
    """Guards against a listening socket that is left for good and never logged."""
    harness = PortHarness()
    harness.run_round(accepted=64, is_empty=False)
    [fields] = harness.check(caplog)
    assert fields["longest_unread"] >= LOG_INTERVAL_SECONDS


def test_long_round_is_logged_with_its_parts(caplog):
    """Guards against a log that does not tell what a long round was spent on."""
    harness = PortHarness()
    harness.run_round(accepts=LONG_ROUND_SECONDS / 2, messages=LONG_ROUND_SECONDS)
    [fields] = harness.check(caplog)
    longest = fields["longest_round"]
    assert (longest["accepts"], longest["messages"]) == (LONG_ROUND_SECONDS / 2, LONG_ROUND_SECONDS)


def test_metrics_show_ports_and_rounds():
    """Guards against activity that is recorded but not on the metrics page."""
    harness = PortHarness()
    harness.run_round(accepts=0.5, messages=2.0, accepted=4)
    metrics = Metrics()
    metrics.rounds = harness.rounds
    metrics.ports.append(harness.activity)
    text = metrics.render()[0].decode()
    for line in (
        'limpetusher_caller_connections{port="callers"} 3',
        'limpetusher_caller_connections_limit{port="callers"} 5',
        'limpetusher_caller_connections_total{event="accepted",port="callers"} 4',
        'limpetusher_round_seconds_total{part="messages"} 2.0',
        "limpetusher_longest_round_seconds 2.5",
    ):
        assert line in text
