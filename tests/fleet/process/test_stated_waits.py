"""Tests of the recognition of callers that try again, without a network."""

from limpetusher.fleet.process.stated_waits import MAX_RECORDED_WAITS, PERIOD_SECONDS, StatedWaits


def test_caller_with_less_time_than_others_at_first_has_tried_before():
    """Guards against a caller that is refused by one flooded host after the other."""
    waits = StatedWaits(0.0)
    assert not waits.is_return(("acme", "chat"), 5.0, 0.0)
    assert not waits.is_return(("acme", "chat"), 4.9, 0.1)
    assert waits.is_return(("acme", "chat"), 4.0, 0.2)
    assert not waits.is_return(("acme", "draft"), 4.0, 0.3)
    assert not waits.is_return(("acme", "chat"), None, 0.4)


def test_times_of_earlier_callers_are_forgotten():
    """Guards against a single caller with much time that makes all later ones count as returning."""
    waits = StatedWaits(0.0)
    waits.is_return("chat", 500.0, 0.0)
    assert waits.is_return("chat", 5.0, PERIOD_SECONDS + 1.0)
    assert not waits.is_return("chat", 5.0, 2 * PERIOD_SECONDS + 2.0)


def test_recorded_times_are_bounded():
    """Load: requests with many different paths. Guards against memory that grows with their number."""
    waits = StatedWaits(0.0)
    for number in range(5 * MAX_RECORDED_WAITS):
        waits.is_return(number, 1.0, 0.0)
    assert len(waits.current) + len(waits.previous) <= 2 * MAX_RECORDED_WAITS
