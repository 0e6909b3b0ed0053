"""Tests of the clocks."""

from limpetusher.clock import ManualClock


def test_manual_clock_moves_only_when_advanced():
    """Guards against a manual clock that advances with real time."""
    clock = ManualClock(monotonic=5.0)
    assert clock.monotonic() == clock.monotonic() == 5.0
    clock.advance(1.5)
    assert clock.monotonic() == 6.5
