"""Tests of the prefill cooldowns of engines."""

import pytest

from limpetusher.fleet.process.prefill_bursts import PrefillBursts
from limpetusher.fleet.process.prefill_cooldowns import (
    COOLDOWN_ADJUST_INTERVAL_SECONDS,
    MAX_COOLDOWN_RATIO,
    PrefillCooldowns,
)
from limpetusher.fleet.settings import FleetSettings

STREAM_TOKENS = 270
STREAM_SECONDS = 15.0


def settled_cooldown(
    prefill_step_seconds: float, decode_step_seconds: float, *, tokens: int = STREAM_TOKENS
) -> tuple[float, float]:
    """Simulate the reports of an engine's streams; return the cooldown ratio and the tokens per second.

    The engine generates one token per step for each stream; a step takes `prefill_step_seconds` during
    prefill and `decode_step_seconds` otherwise.
    """
    cooldowns = PrefillCooldowns()
    for _ in range(round(30.0 / COOLDOWN_ADJUST_INTERVAL_SECONDS)):
        ratio = cooldowns.ratio("e1")
        tokens_per_second = (1.0 / prefill_step_seconds + ratio / decode_step_seconds) / (1.0 + ratio)
        cooldowns.adjust("e1", [tokens / STREAM_SECONDS / tokens_per_second] * 10)
    return cooldowns.ratio("e1"), tokens_per_second


def test_cooldown_grows_until_streams_end_in_time():
    """Guards against chats cut off by their deadline (caloredes-cr: 126 ms per step during prefill)."""
    ratio, tokens_per_second = settled_cooldown(0.126, 0.012)
    assert STREAM_TOKENS / tokens_per_second <= 1.05 * STREAM_SECONDS
    assert ratio <= 0.5


def test_engine_with_short_steps_has_no_cooldown():
    """Guards against refusing prompts in favour of streams that are fast enough (seen in jpr-valley)."""
    ratio, _tokens_per_second = settled_cooldown(0.045, 0.008)
    assert ratio == 0.0


def test_single_stream_that_cannot_end_in_time_causes_no_cooldown():
    cooldowns = PrefillCooldowns()
    for _ in range(100):
        cooldowns.adjust("e1", [0.5] * 19 + [9.0])
    assert cooldowns.ratio("e1") == 0.0


def test_cooldown_is_bounded_and_ends_with_the_streams():
    cooldowns = PrefillCooldowns()
    for _ in range(100):
        cooldowns.adjust("e1", [9.0])
    assert cooldowns.ratio("e1") == MAX_COOLDOWN_RATIO
    for _ in range(100):
        cooldowns.adjust("e1", [])
    assert cooldowns.ratios == {}


def test_next_burst_waits_for_the_cooldown():
    bursts = PrefillBursts(FleetSettings())
    bursts.cooldowns.ratios["e1"] = 0.5
    bursts.update_pending_tokens("e1", 9_000, 1.0)
    bursts.update_pending_tokens("e1", 0, 1.4)
    assert not bursts.admits("e1", 1, 10_000.0, 1.59)
    assert bursts.admits("e1", 1, 10_000.0, 1.61)
    assert bursts.duty_cycle("e1", 0.4) == pytest.approx(1 / 1.5)
