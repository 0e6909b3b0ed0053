"""Tests of non-blocking log output."""

import json
import logging
import os

from limpetusher.clock import ManualClock
from limpetusher.events import Event
from limpetusher_router.process.logs import (
    MAXIMUM_LINES_PER_SECOND,
    MAXIMUM_ROUTINE_LINES_PER_SECOND,
    JsonFormatter,
    NonBlockingHandler,
)


def make_record(event: Event) -> logging.LogRecord:
    log_record = logging.LogRecord("limpetusher", event.level, __file__, 0, event.text, None, None)
    log_record.event = event
    log_record.fields = {"request": "r" * 200}
    return log_record


def make_output(descriptor: int, clock: ManualClock) -> NonBlockingHandler:
    output = NonBlockingHandler(descriptor, clock=clock)
    output.setFormatter(JsonFormatter("front-1"))
    return output


def test_full_pipe_drops_lines_and_never_blocks():
    """Guards against a router that blocks because nobody reads its log."""
    reader, writer = os.pipe()
    output = make_output(writer, ManualClock())
    for _ in range(MAXIMUM_LINES_PER_SECOND):
        output.emit(make_record(Event.REQUEST_FAILED))
    assert output.dropped_since_report > 0
    written = os.read(reader, 1_000_000)
    lines = written.decode().splitlines()
    assert all(json.loads(line)["event"] == Event.REQUEST_FAILED.number for line in lines)
    assert len(lines) + output.dropped_since_report == MAXIMUM_LINES_PER_SECOND


def test_routine_lines_are_dropped_before_failures_and_the_drops_are_logged(tmp_path):
    """Guards against dropped log lines about failures because successful requests used up the limit."""
    clock = ManualClock()
    path = tmp_path / "log"
    with path.open("wb") as file:
        output = make_output(file.fileno(), clock)
        for _ in range(MAXIMUM_ROUTINE_LINES_PER_SECOND + 50):
            output.emit(make_record(Event.REQUEST_SENT))
        output.emit(make_record(Event.REQUEST_FAILED))
        clock.advance(1.0)
        output.emit(make_record(Event.REQUEST_SENT))
    events = [json.loads(line) for line in path.read_text().splitlines()]
    numbers = [line["event"] for line in events]
    assert numbers.count(Event.REQUEST_SENT.number) == MAXIMUM_ROUTINE_LINES_PER_SECOND + 1
    assert numbers.count(Event.REQUEST_FAILED.number) == 1
    (report,) = [line for line in events if line["event"] == Event.LOG_LINES_DROPPED.number]
    assert report["lines"] == 50


def test_configuration_in_force_is_logged_beside_a_flood_of_failures(tmp_path):
    """Guards against an operator who takes a flooded router for one with the old configuration."""
    path = tmp_path / "log"
    with path.open("wb") as file:
        output = make_output(file.fileno(), ManualClock())
        for _ in range(MAXIMUM_LINES_PER_SECOND + 1):
            output.emit(make_record(Event.REQUEST_FAILED))
        output.emit(make_record(Event.CONFIGURATION_IN_FORCE))
    events = [json.loads(line)["event"] for line in path.read_text().splitlines()]
    assert events.count(Event.REQUEST_FAILED.number) == MAXIMUM_LINES_PER_SECOND
    assert events[-1] == Event.CONFIGURATION_IN_FORCE.number
