"""Tests of the measured reading rates."""

import pytest

from builders_fleet import make_placement
from limpetusher.fleet.process.loads import OpenWork
from limpetusher.fleet.process.rates import ReadingRates
from limpetusher.fleet.settings import FleetSettings


def test_rate_follows_the_measurements_without_the_fixed_part():
    """Guards against bursts that are too small because a fixed delay counts as reading time."""
    rates = ReadingRates(FleetSettings())
    for _ in range(20):
        rates.sample("engines", "e1", 200, 0.1)
    for _ in range(100):
        rates.sample("engines", "e1", 9_000, 0.1 + 0.1)
    assert rates.rate("engines", "e1") == pytest.approx(90_000, rel=0.05)
    assert rates.rate("engines", "unknown") == pytest.approx(90_000, rel=0.05)


def test_slow_engine_has_its_own_rate():
    rates = ReadingRates(FleetSettings())
    for _ in range(100):
        rates.sample("engines", "fast", 9_000, 0.1)
        rates.sample("engines", "slow", 9_000, 0.5)
    assert rates.rate("engines", "slow") < 0.3 * rates.rate("engines", "fast")


def test_burst_that_was_not_read_to_its_end_measures_nothing():
    """Guards against rates of several times the real one (caloredes-cr: 114,000 instead of 32,400)."""
    placement = make_placement(1)
    for number, unread in enumerate((9_000, 9_000, 0)):
        placement.count("e1", OpenWork(1, 9_000, 9_000), number + 0.0)
        if not unread:
            placement.read("e1", 9_000, number + 0.3)
        placement.end("e1", OpenWork(1, unread, 9_000), number + 0.3)
    assert placement.rates.by_target["e1"] == pytest.approx(30_000, rel=0.01)


def test_engine_that_reads_several_prompts_in_turn_is_measured_by_their_sum():
    """Guards against counting what has been read already as still ahead of a prompt."""
    placement = make_placement(1)
    for burst in range(60):
        now = float(burst)
        for prompt in range(4):
            placement.count("e1", OpenWork(1, 5_000, 5_000), now + 0.02 * prompt)
        for prompt in range(4):
            placement.read("e1", 5_000, now + 0.1 * (prompt + 1))
            placement.end("e1", OpenWork(1, 0, 5_000), now + 0.1 * (prompt + 1))
    assert placement.rates.rate("engines", "e1") == pytest.approx(50_000, rel=0.05)


def test_first_measurements_replace_the_prior():
    """Guards against refusals in the first seconds of a fast engine, while the prior still counts."""
    rates = ReadingRates(FleetSettings())
    for _ in range(3):
        rates.sample("engines", "e1", 9_000, 0.1)
    assert rates.rate("engines", "e1") == pytest.approx(90_000, rel=0.05)
