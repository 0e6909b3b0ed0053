"""Tests of the bursts of prompts at an engine."""

import random

from limpetusher.fleet.process.bursts import MOST_TURNS, ReadingBursts
from limpetusher.fleet.settings import FleetSettings

WINDOW = 10_000.0


def make_bursts() -> ReadingBursts:
    return ReadingBursts(FleetSettings(), random.Random(1))


def test_burst_ends_with_its_window_although_the_engine_reads_on():
    """Guards against prompts that follow each other without end, so that streams never get their tokens."""
    bursts = make_bursts()
    bursts.observe("e1", 6_000, 8, 0.0)
    assert bursts.admits("e1", 4_000, WINDOW, 0.0)
    bursts.observe("e1", 9_000, 8, 0.01)
    bursts.observe("e1", 2_000, 8, 0.2)
    assert not bursts.admits("e1", 4_000, WINDOW, 0.2)


def test_next_burst_begins_after_a_pause():
    settings = FleetSettings()
    bursts = make_bursts()
    bursts.observe("e1", 9_000, 8, 0.0)
    bursts.observe("e1", 0, 8, 0.3)
    assert not bursts.admits("e1", 1, WINDOW, 0.3 + settings.burst_pause_seconds / 2)
    longest = settings.burst_pause_seconds + settings.burst_spread_maximum
    assert bursts.admits("e1", 9_000, WINDOW, 0.3 + longest)


def test_idle_engine_takes_a_prompt_larger_than_a_burst():
    """Guards against the largest requests never being served."""
    bursts = make_bursts()
    assert bursts.admits("e1", 50_000, WINDOW, 0.0)


def test_customer_with_the_least_service_begins_a_burst_first():
    """Guards against a flood at many routers winning each race for a free engine."""
    settings = FleetSettings()
    bursts = make_bursts()
    bursts.observe("e1", 9_000, 1, 0.0)
    bursts.observe("e1", 0, 1, 0.3)
    begin = 0.3 + settings.burst_pause_seconds + 0.001
    assert bursts.admits("e1", 1, WINDOW, begin, share_used=0.0)
    assert not bursts.admits("e1", 1, WINDOW, begin, share_used=0.9)
    assert bursts.admits("e1", 1, WINDOW, begin + settings.burst_turn_seconds, share_used=0.9)


def test_customer_that_has_used_its_share_gets_the_rest_of_a_burst():
    """Guards against a flood at many routers that fills each burst once it has begun."""
    settings = FleetSettings()
    bursts = make_bursts()
    bursts.observe("e1", 3_000, 1, 0.1)
    soon = 0.1 + settings.burst_turn_seconds / 2
    assert bursts.admits("e1", 1, WINDOW, soon, share_used=0.9)
    assert not bursts.admits("e1", 1, WINDOW, soon, share_used=1.0)
    assert bursts.admits("e1", 1, WINDOW, 0.1 + settings.burst_turn_seconds + 0.001, share_used=1.0)
    longest = 0.1 + MOST_TURNS * settings.burst_turn_seconds + 0.001
    assert bursts.admits("e1", 1, WINDOW, longest, share_used=50.0)


def test_customer_below_its_share_extends_a_full_burst():
    """Guards against refusals of a small customer whose goal is shorter than a burst that a flood fills."""
    bursts = make_bursts()
    bursts.observe("e1", int(WINDOW), 1, 0.0)
    assert not bursts.admits("e1", 3_000, WINDOW, 0.1, share_used=0.0)
    assert bursts.admits("e1", 3_000, WINDOW, 0.1, share_used=0.0, is_scarce=True)
    assert not bursts.admits("e1", 3_000, WINDOW, 0.1, share_used=0.9, is_scarce=True)
    assert not bursts.admits("e1", 6_000, WINDOW, 0.1, share_used=0.0, is_scarce=True)
