"""Tests of log output that never waits for its reader."""

import json
import logging
import os

from limpetusher.clock import ManualClock
from limpetusher.events import Event
from limpetusher_router.process.logs import (
    LINES_PER_SECOND,
    ROUTINE_LINES_PER_SECOND,
    BoundedOutput,
    JsonFormatter,
)


def record(event: Event) -> logging.LogRecord:
    made = logging.LogRecord("limpetusher", event.level, __file__, 0, event.text, None, None)
    made.event = event
    made.fields = {"request": "r" * 200}
    return made


def make_output(descriptor: int, clock: ManualClock) -> BoundedOutput:
    output = BoundedOutput(descriptor, clock=clock)
    output.setFormatter(JsonFormatter("front-1"))
    return output


def test_full_pipe_drops_lines_and_never_blocks():
    """Guards against a router that stops serving because nobody reads its log."""
    reader, writer = os.pipe()
    output = make_output(writer, ManualClock())
    for _ in range(LINES_PER_SECOND):
        output.emit(record(Event.REQUEST_FAILED))
    assert output.dropped > 0
    written = os.read(reader, 1_000_000)
    lines = written.decode().splitlines()
    assert all(json.loads(line)["event"] == Event.REQUEST_FAILED.number for line in lines)
    assert len(lines) + output.dropped == LINES_PER_SECOND


def test_routine_lines_are_dropped_before_failures_and_the_loss_is_told(tmp_path):
    """Guards against failures missing from the log because good requests filled it."""
    clock = ManualClock()
    path = tmp_path / "log"
    with path.open("wb") as file:
        output = make_output(file.fileno(), clock)
        for _ in range(ROUTINE_LINES_PER_SECOND + 50):
            output.emit(record(Event.REQUEST_SENT))
        output.emit(record(Event.REQUEST_FAILED))
        clock.advance(1.0)
        output.emit(record(Event.REQUEST_SENT))
    events = [json.loads(line) for line in path.read_text().splitlines()]
    numbers = [line["event"] for line in events]
    assert numbers.count(Event.REQUEST_SENT.number) == ROUTINE_LINES_PER_SECOND + 1
    assert numbers.count(Event.REQUEST_FAILED.number) == 1
    (told,) = [line for line in events if line["event"] == Event.LOG_LINES_DROPPED.number]
    assert told["lines"] == 50
