"""Tests of the measured reading rates."""

import pytest

from limpetusher.fleet.process.loads import PeerLoad
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


def test_all_routers_use_the_same_rate_of_an_engine():
    """Guards against a burst length of its own at each router, by which one of them takes most of each."""
    measured = {"a": 60_000.0, "b": 130_000.0, "c": 90_000.0}
    for own in measured:
        rates = ReadingRates(FleetSettings())
        rates.by_target["e1"] = measured[own]
        rates.sum_up(
            {peer: PeerLoad(0.0, rates={"e1": rate}) for peer, rate in measured.items() if peer != own}
        )
        assert rates.rate("engines", "e1") == 90_000.0


def test_engine_without_measurements_has_the_rate_of_its_service():
    """Guards against the prior rate for an engine that has been added while the peers know the service."""
    rates = ReadingRates(FleetSettings())
    rates.sum_up({"peer": PeerLoad(0.0, rates={"engines": 80_000.0})})
    assert rates.rate("engines", "new") == 80_000.0
