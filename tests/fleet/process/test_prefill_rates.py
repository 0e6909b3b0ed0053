"""Tests of the measured prefill rates."""

import pytest

from builders_fleet import make_placement
from limpetusher.fleet.process.prefill_intervals import PrefillInterval
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
    assert placement.rates.rate("engines", "e1") == pytest.approx(30_000, rel=0.01)


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


@pytest.mark.parametrize("latency", [0.05, 0.2])
def test_latency_of_routers_does_not_lower_the_rate(latency):
    """Guards against rates that fall under load, which makes bursts smaller and the rates fall further."""
    placement = make_placement(1)
    for burst in range(40):
        now = float(burst)
        for _prompt in range(3):
            placement.add_load("e1", TargetLoad(1, 6_000, 6_000), now)
        for prompt in range(3):
            output_at = now + latency + 0.1 * (prompt + 1)
            placement.end_prefill("e1", 6_000, output_at)
            placement.record_end("e1", TargetLoad(1, 0, 6_000), output_at)
    assert placement.rates.rate("engines", "e1") == pytest.approx(60_000, rel=0.05)


def test_prompts_sent_later_are_not_part_of_an_interval():
    """Guards against pauses of an engine between two prompts that count as prefill time."""
    placement = make_placement(1)
    placement.add_load("e1", TargetLoad(1, 6_000, 6_000), 0.0)
    placement.add_load("e1", TargetLoad(1, 6_000, 6_000), 0.0)
    placement.add_load("e1", TargetLoad(1, 6_000, 6_000), 0.25)
    for output_at in (0.1, 0.2, 0.6):
        placement.end_prefill("e1", 6_000, output_at)
    assert placement.rates.from_intervals.by_target["e1"] == pytest.approx(60_000, rel=0.01)


def test_cancelled_prompt_is_not_part_of_an_interval():
    """Guards against overestimated rates because a cancelled prompt counts as prefilled."""
    placement = make_placement(1)
    for _prompt in range(3):
        placement.add_load("e1", TargetLoad(1, 6_000, 6_000), 0.0)
    placement.end_prefill("e1", 6_000, 0.1)
    placement.record_end("e1", TargetLoad(1, 6_000, 6_000), 0.11)
    placement.end_prefill("e1", 6_000, 0.2)
    assert not placement.rates.from_intervals.by_target


def test_rate_that_is_too_low_for_bursts_of_several_prompts_rises_again():
    """Guards against an engine that stays slow in the estimate after a slow start."""
    rates = PrefillRates(FleetSettings())
    for _ in range(20):
        rates.add_interval("engines", "e1", PrefillInterval(3_000, 1.0))
    for _ in range(40):
        rates.add_sample("engines", "e1", 3_000, 0.1)
    assert rates.rate("engines", "e1") == pytest.approx(30_000, rel=0.05)
