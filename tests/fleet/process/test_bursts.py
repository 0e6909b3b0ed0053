"""Tests of the bursts of prompts at an engine."""

import pytest

from limpetusher.fleet.process.bursts import EnginePace, FinishedBurst, ReadingBursts
from limpetusher.fleet.settings import FleetSettings

WINDOW = 10_000.0


def make_bursts() -> ReadingBursts:
    return ReadingBursts(FleetSettings())


def test_burst_ends_with_its_window_although_the_engine_reads_on():
    """Guards against prompts that follow each other without end, so that streams never get their tokens."""
    bursts = make_bursts()
    bursts.observe("e1", 6_000, 0.0)
    assert bursts.admits("e1", 4_000, WINDOW, 0.0)
    bursts.observe("e1", 9_000, 0.01)
    bursts.observe("e1", 2_000, 0.2)
    assert not bursts.admits("e1", 4_000, WINDOW, 0.2)


def test_next_burst_begins_after_a_pause():
    settings = FleetSettings()
    bursts = make_bursts()
    bursts.observe("e1", 9_000, 0.0)
    bursts.observe("e1", 0, 0.3)
    assert not bursts.admits("e1", 1, WINDOW, 0.3 + settings.burst_pause_seconds / 2)
    assert bursts.admits("e1", 9_000, WINDOW, 0.3 + settings.burst_pause_seconds + 0.001)


PACE = EnginePace(rate=50_000.0, latency=0.06)


def test_next_burst_does_not_wait_for_outputs_of_prompts_that_are_read():
    """Guards against engines that read nothing while first outputs are on their way."""
    bursts = make_bursts()
    bursts.observe("e1", 10_000, 0.0, PACE)
    bursts.observe("e1", 3_000, 0.15, PACE)
    assert not bursts.admits("e1", 5_000, WINDOW, 0.22, pace=PACE)
    assert bursts.admits("e1", 5_000, WINDOW, 0.24, pace=PACE)
    bursts.observe("e1", 8_000, 0.24, PACE)
    assert bursts.admits("e1", 5_000, WINDOW, 0.25, pace=PACE)
    bursts.observe("e1", 13_000, 0.25, PACE)
    assert not bursts.admits("e1", 1_000, WINDOW, 0.3, pace=PACE)


def test_bursts_that_overlap_measure_the_engine():
    """Guards against a rate that stays too high while an engine becomes slower under steady load."""
    bursts = make_bursts()
    bursts.observe("e1", 10_000, 0.0, PACE)
    bursts.observe("e1", 3_000, 0.2, PACE)
    bursts.observe("e1", 13_000, 0.25, PACE)
    assert bursts.observe("e1", 11_000, 0.3, PACE) is None
    assert bursts.observe("e1", 10_000, 0.35, PACE) == FinishedBurst(10_000, 0.35)
    assert bursts.observe("e1", 0, 0.6, PACE) == FinishedBurst(10_000, pytest.approx(0.35))


def test_engine_that_may_still_read_what_was_given_up_gets_no_early_burst():
    bursts = make_bursts()
    bursts.observe("e1", 10_000, 0.0, PACE)
    bursts.spoil("e1")
    bursts.observe("e1", 3_000, 0.15, PACE)
    assert not bursts.admits("e1", 5_000, WINDOW, 0.5, pace=PACE)
    assert bursts.observe("e1", 0, 0.5, PACE) is None
    assert not bursts.admits("e1", 5_000, WINDOW, 0.52, pace=PACE)
    assert bursts.admits("e1", 5_000, WINDOW, 0.54, pace=PACE)


def test_engine_that_reads_slower_than_estimated_gets_no_next_burst():
    """Guards against prompts that pile up at an engine in trouble."""
    bursts = make_bursts()
    bursts.observe("e1", 10_000, 0.0, PACE)
    bursts.observe("e1", 5_000, 0.3, PACE)
    assert not bursts.admits("e1", 5_000, WINDOW, 1.0, pace=PACE)


def test_engine_that_rests_for_its_streams_gets_no_early_burst():
    """Guards against streams that end too late since prompts follow each other without a real pause."""
    bursts = make_bursts()
    bursts.rests.parts["e1"] = 0.2
    bursts.observe("e1", 10_000, 0.0, PACE)
    bursts.observe("e1", 3_000, 0.15, PACE)
    assert not bursts.admits("e1", 5_000, WINDOW, 0.5, pace=PACE)
    bursts.observe("e1", 0, 0.5, PACE)
    assert not bursts.admits("e1", 5_000, WINDOW, 0.59, pace=PACE)
    assert bursts.admits("e1", 5_000, WINDOW, 0.61, pace=PACE)


def test_pause_counts_from_the_end_of_reading():
    bursts = make_bursts()
    bursts.observe("e1", 9_000, 0.0, PACE)
    bursts.observe("e1", 0, 0.3, PACE)
    assert bursts.admits("e1", 9_000, WINDOW, 0.3, pace=PACE)


def test_idle_engine_takes_a_prompt_larger_than_a_burst():
    """Guards against the largest requests never being served."""
    bursts = make_bursts()
    assert bursts.admits("e1", 50_000, WINDOW, 0.0)


def test_customer_below_its_share_extends_a_full_burst():
    """Guards against refusals of a small customer whose goal is shorter than a burst that a flood fills."""
    bursts = make_bursts()
    bursts.observe("e1", int(WINDOW), 0.0)
    assert not bursts.admits("e1", 3_000, WINDOW, 0.1, share_used=0.0)
    assert bursts.admits("e1", 3_000, WINDOW, 0.1, share_used=0.0, is_scarce=True)
    assert not bursts.admits("e1", 3_000, WINDOW, 0.1, share_used=0.9, is_scarce=True)
    assert not bursts.admits("e1", 6_000, WINDOW, 0.1, share_used=0.0, is_scarce=True)
