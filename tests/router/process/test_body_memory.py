"""Tests of the account of the memory of request bodies."""

import logging

import pytest

from limpetusher.clock import ManualClock
from limpetusher.events import Event
from limpetusher_router.process.body_memory import LARGE_BODY_BYTES, SMALL_BODY_BYTES, BodyMemory
from limpetusher_router.process.metrics import Metrics

LIMIT = 40 * LARGE_BODY_BYTES
MEDIUM = LARGE_BODY_BYTES // 2
SMALL = SMALL_BODY_BYTES


def make_memory() -> tuple[BodyMemory, Metrics, ManualClock]:
    metrics, clock = Metrics(), ManualClock()
    return BodyMemory(LIMIT, clock=clock, metrics=metrics), metrics, clock


def fill(memory: BodyMemory, size: int) -> int:
    """Hold bodies of a size until there is no room, and return their number."""
    count = 0
    while memory.try_hold(size, total=size):
        count += 1
    return count


def test_large_bodies_leave_room_for_small_ones():
    """Guards against small requests that are refused because of the large ones of others."""
    memory, metrics, _ = make_memory()
    assert fill(memory, 2 * LARGE_BODY_BYTES) == 15
    assert fill(memory, MEDIUM) == 12
    assert fill(memory, SMALL) == 4 * LARGE_BODY_BYTES // SMALL
    assert memory.held_bytes == metrics.held_body_bytes == LIMIT
    assert f"limpetusher_request_body_bytes {LIMIT}" in metrics.render()[0].decode()


def test_body_that_grows_large_gets_the_room_of_large_ones():
    """Guards against large bodies in chunks that take the room of small ones."""
    memory, _, _ = make_memory()
    held = 0
    while memory.try_hold(SMALL, total=held + SMALL):
        held += SMALL
    assert held == 30 * LARGE_BODY_BYTES


def test_refused_bytes_are_not_held_and_released_ones_are_free():
    """Guards against an account that drifts with each refusal."""
    memory, metrics, _ = make_memory()
    assert memory.try_hold(LIMIT - 1, total=SMALL)
    assert not memory.try_hold(2, total=SMALL)
    assert memory.held_bytes == LIMIT - 1
    memory.release(LIMIT - 1)
    assert memory.held_bytes == metrics.held_body_bytes == 0
    assert memory.try_hold(LIMIT, total=SMALL)


@pytest.mark.parametrize(("seconds", "lines"), [(0.5, 1), (1.5, 2)])
def test_refusals_are_logged_once_a_second_with_their_number(caplog, seconds, lines):
    """Guards against a log that a burst fills."""
    memory, _, clock = make_memory()
    with caplog.at_level(logging.INFO, logger="limpetusher"):
        memory.record_refusal()
        memory.record_refusal()
        clock.advance(seconds)
        memory.record_refusal()
    logged = [record for record in caplog.records if Event.BODY_MEMORY_FULL.text in record.getMessage()]
    assert len(logged) == lines
