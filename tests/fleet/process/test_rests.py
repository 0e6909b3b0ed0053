"""Tests of the rests of engines after bursts of prompts."""

import pytest

from limpetusher.fleet.process.bursts import ReadingBursts
from limpetusher.fleet.process.rests import LONGEST_REST, REVIEW_SECONDS, Rests
from limpetusher.fleet.settings import FleetSettings

STREAM_TOKENS = 270
STREAM_SECONDS = 15.0


def settled_rest(
    reading_step: float, free_step: float, *, tokens: int = STREAM_TOKENS
) -> tuple[float, float]:
    """Let the streams of an engine in memory report their pace; return the rest and the tokens a second.

    The engine gives each stream one token a step; its steps take `reading_step` seconds while it reads.
    """
    rests = Rests()
    for _ in range(round(30.0 / REVIEW_SECONDS)):
        rest = rests.part("e1")
        pace = (1.0 / reading_step + rest / free_step) / (1.0 + rest)
        rests.review("e1", [tokens / STREAM_SECONDS / pace] * 10)
    return rests.part("e1"), pace


def test_engine_that_reads_large_chunks_rests_until_its_streams_end_in_time():
    """Guards against chats that are cut off by their deadline (caloredes-cr): 126 ms a step while reading."""
    rest, pace = settled_rest(0.126, 0.012)
    assert STREAM_TOKENS / pace <= 1.05 * STREAM_SECONDS
    assert rest <= 0.5


def test_engine_with_short_steps_does_not_rest():
    """Guards against refusals of prompts for the sake of streams that are fast enough (jpr-valley)."""
    rest, _pace = settled_rest(0.045, 0.008)
    assert rest == 0.0


def test_one_stream_that_can_not_end_in_time_does_not_make_the_engine_rest():
    rests = Rests()
    for _ in range(100):
        rests.review("e1", [0.5] * 19 + [9.0])
    assert rests.part("e1") == 0.0


def test_rest_is_bounded_and_ends_with_the_streams():
    rests = Rests()
    for _ in range(100):
        rests.review("e1", [9.0])
    assert rests.part("e1") == LONGEST_REST
    for _ in range(100):
        rests.review("e1", [])
    assert rests.parts == {}


def test_next_burst_waits_for_the_rest():
    bursts = ReadingBursts(FleetSettings())
    bursts.rests.parts["e1"] = 0.5
    bursts.observe("e1", 9_000, 1.0)
    bursts.observe("e1", 0, 1.4)
    assert not bursts.admits("e1", 1, 10_000.0, 1.59)
    assert bursts.admits("e1", 1, 10_000.0, 1.61)
    assert bursts.duty("e1", 0.4) == pytest.approx(1 / 1.5)
