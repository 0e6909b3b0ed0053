"""Tests of the prefill bursts at an engine."""

import pytest

from limpetusher.fleet.process.prefill_bursts import FinishedBurst, PrefillBursts, PrefillSpeed
from limpetusher.fleet.settings import FleetSettings

WINDOW = 10_000.0


def make_bursts() -> PrefillBursts:
    return PrefillBursts(FleetSettings())


def test_burst_is_limited_by_the_tokens_sent():
    """Guards against uninterrupted prefill, which starves the running streams."""
    bursts = make_bursts()
    bursts.update_pending_tokens("e1", 6_000, 0.0)
    assert bursts.admits("e1", 4_000, WINDOW, 0.0)
    bursts.update_pending_tokens("e1", 9_000, 0.01)
    bursts.update_pending_tokens("e1", 2_000, 0.2)
    assert not bursts.admits("e1", 4_000, WINDOW, 0.2)


def test_next_burst_begins_after_a_pause():
    settings = FleetSettings()
    bursts = make_bursts()
    bursts.update_pending_tokens("e1", 9_000, 0.0)
    bursts.update_pending_tokens("e1", 0, 0.3)
    assert not bursts.admits("e1", 1, WINDOW, 0.3 + settings.burst_pause_seconds / 2)
    assert bursts.admits("e1", 9_000, WINDOW, 0.3 + settings.burst_pause_seconds + 0.001)


SPEED = PrefillSpeed(rate=50_000.0, latency=0.06)


def test_next_burst_does_not_wait_for_outstanding_first_outputs():
    """Guards against engines without prefill work while first outputs are in transit."""
    bursts = make_bursts()
    bursts.update_pending_tokens("e1", 10_000, 0.0, SPEED)
    bursts.update_pending_tokens("e1", 3_000, 0.15, SPEED)
    assert not bursts.admits("e1", 5_000, WINDOW, 0.22, speed=SPEED)
    assert bursts.admits("e1", 5_000, WINDOW, 0.24, speed=SPEED)
    bursts.update_pending_tokens("e1", 8_000, 0.24, SPEED)
    assert bursts.admits("e1", 5_000, WINDOW, 0.25, speed=SPEED)
    bursts.update_pending_tokens("e1", 13_000, 0.25, SPEED)
    assert not bursts.admits("e1", 1_000, WINDOW, 0.3, speed=SPEED)


def test_overlapping_bursts_are_sampled():
    """Guards against an overestimated rate when an engine becomes slower under steady load."""
    bursts = make_bursts()
    bursts.update_pending_tokens("e1", 10_000, 0.0, SPEED)
    bursts.update_pending_tokens("e1", 3_000, 0.2, SPEED)
    bursts.update_pending_tokens("e1", 13_000, 0.25, SPEED)
    assert bursts.update_pending_tokens("e1", 11_000, 0.3, SPEED) is None
    assert bursts.update_pending_tokens("e1", 10_000, 0.35, SPEED) == FinishedBurst(10_000, 0.35)
    assert bursts.update_pending_tokens("e1", 0, 0.6, SPEED) == FinishedBurst(10_000, pytest.approx(0.35))


def test_engine_with_cancelled_prefill_gets_no_early_burst():
    bursts = make_bursts()
    bursts.update_pending_tokens("e1", 10_000, 0.0, SPEED)
    bursts.exclude_from_samples("e1")
    bursts.update_pending_tokens("e1", 3_000, 0.15, SPEED)
    assert not bursts.admits("e1", 5_000, WINDOW, 0.5, speed=SPEED)
    assert bursts.update_pending_tokens("e1", 0, 0.5, SPEED) is None
    assert not bursts.admits("e1", 5_000, WINDOW, 0.52, speed=SPEED)
    assert bursts.admits("e1", 5_000, WINDOW, 0.54, speed=SPEED)


def test_engine_slower_than_estimated_gets_no_next_burst():
    """Guards against prompts that accumulate at an overloaded engine."""
    bursts = make_bursts()
    bursts.update_pending_tokens("e1", 10_000, 0.0, SPEED)
    bursts.update_pending_tokens("e1", 5_000, 0.3, SPEED)
    assert not bursts.admits("e1", 5_000, WINDOW, 1.0, speed=SPEED)


def test_engine_in_cooldown_gets_no_early_burst():
    """Guards against streams that miss their deadlines because the cooldown between bursts is skipped."""
    bursts = make_bursts()
    bursts.cooldowns.ratios["e1"] = 0.2
    bursts.update_pending_tokens("e1", 10_000, 0.0, SPEED)
    bursts.update_pending_tokens("e1", 3_000, 0.15, SPEED)
    assert not bursts.admits("e1", 5_000, WINDOW, 0.5, speed=SPEED)
    bursts.update_pending_tokens("e1", 0, 0.5, SPEED)
    assert not bursts.admits("e1", 5_000, WINDOW, 0.59, speed=SPEED)
    assert bursts.admits("e1", 5_000, WINDOW, 0.61, speed=SPEED)


def test_pause_counts_from_the_end_of_prefill():
    bursts = make_bursts()
    bursts.update_pending_tokens("e1", 9_000, 0.0, SPEED)
    bursts.update_pending_tokens("e1", 0, 0.3, SPEED)
    assert bursts.admits("e1", 9_000, WINDOW, 0.3, speed=SPEED)


def test_idle_engine_admits_a_prompt_larger_than_a_burst():
    """Guards against the largest requests never being served."""
    bursts = make_bursts()
    assert bursts.admits("e1", 50_000, WINDOW, 0.0)


def test_customer_below_its_share_extends_a_full_burst():
    """Guards against refusing a small customer whose goal is shorter than a burst filled by a flood."""
    bursts = make_bursts()
    bursts.update_pending_tokens("e1", int(WINDOW), 0.0)
    assert not bursts.admits("e1", 3_000, WINDOW, 0.1, share_used=0.0)
    assert bursts.admits("e1", 3_000, WINDOW, 0.1, share_used=0.0, is_scarce=True)
    assert not bursts.admits("e1", 3_000, WINDOW, 0.1, share_used=0.9, is_scarce=True)
    assert not bursts.admits("e1", 6_000, WINDOW, 0.1, share_used=0.0, is_scarce=True)
