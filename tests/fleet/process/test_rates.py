"""Tests of the measured reading rates."""

import pytest

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
