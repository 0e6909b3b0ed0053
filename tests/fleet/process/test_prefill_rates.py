"""Tests of the measured prefill rates."""

import pytest

from builders_fleet import make_placement
from limpetusher.fleet.process.prefill_rates import PrefillRates
from limpetusher.fleet.process.target_loads import TargetLoad
from limpetusher.fleet.settings import FleetSettings


def test_rate_excludes_the_fixed_latency():
    """Guards against bursts that are too small because a fixed delay counts as prefill time."""
    rates = PrefillRates(FleetSettings())
    for _ in range(20):
        rates.add_sample("engines", "e1", 200, 0.1)
    for _ in range(100):
        rates.add_sample("engines", "e1", 9_000, 0.1 + 0.1)
    assert rates.rate("engines", "e1") == pytest.approx(90_000, rel=0.05)
    assert rates.rate("engines", "unknown") == pytest.approx(90_000, rel=0.05)


def test_slow_engine_has_its_own_rate():
    rates = PrefillRates(FleetSettings())
    for _ in range(100):
        rates.add_sample("engines", "fast", 9_000, 0.1)
        rates.add_sample("engines", "slow", 9_000, 0.5)
    assert rates.rate("engines", "slow") < 0.3 * rates.rate("engines", "fast")


def test_unfinished_burst_is_not_sampled():
    """Guards against overestimated rates (caloredes-cr: 114,000 tokens per second, not 32,400)."""
    placement = make_placement(1)
    for number, pending_tokens in enumerate((9_000, 9_000, 0)):
        placement.add_load("e1", TargetLoad(1, 9_000, 9_000), number + 0.0)
        if not pending_tokens:
            placement.end_prefill("e1", 9_000, number + 0.3)
        placement.record_end("e1", TargetLoad(1, pending_tokens, 9_000), number + 0.3)
    assert placement.rates.by_target["e1"] == pytest.approx(30_000, rel=0.01)


def test_burst_of_several_prompts_is_sampled_by_their_sum():
    """Guards against counting finished prefill work as still ahead of a prompt."""
    placement = make_placement(1)
    for burst in range(60):
        now = float(burst)
        for prompt in range(4):
            placement.add_load("e1", TargetLoad(1, 5_000, 5_000), now + 0.02 * prompt)
        for prompt in range(4):
            placement.end_prefill("e1", 5_000, now + 0.1 * (prompt + 1))
            placement.record_end("e1", TargetLoad(1, 0, 5_000), now + 0.1 * (prompt + 1))
    assert placement.rates.rate("engines", "e1") == pytest.approx(50_000, rel=0.05)


def test_first_samples_replace_the_prior():
    """Guards against refusals in the first seconds of a fast engine, while the prior still counts."""
    rates = PrefillRates(FleetSettings())
    for _ in range(3):
        rates.add_sample("engines", "e1", 9_000, 0.1)
    assert rates.rate("engines", "e1") == pytest.approx(90_000, rel=0.05)
