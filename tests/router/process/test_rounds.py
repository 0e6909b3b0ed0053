"""Tests of what the rounds of the event loop tell of a process that was held up."""

import pytest

from limpetusher.clock import ManualClock
from limpetusher_router.process.rounds import STALL_SECONDS, UNREAD_SECONDS, PollerRounds


@pytest.mark.parametrize("is_polling", [False, True])
def test_what_is_read_after_a_stall_may_have_waited_for_as_long(is_polling):
    """Guards against times stated in requests that are taken for those of their arrival."""
    clock = ManualClock()
    rounds = PollerRounds(clock)
    if is_polling:
        rounds.end()
    clock.advance(3.0)
    rounds.begin()
    assert rounds.unread_seconds == pytest.approx(3.0)
    clock.advance(0.9 * STALL_SECONDS)
    rounds.begin()
    assert rounds.unread_seconds == pytest.approx(3.0)
    clock.advance(2 * STALL_SECONDS)
    rounds.begin()
    assert rounds.unread_seconds == pytest.approx(3.0 + 2 * STALL_SECONDS)


def test_what_is_read_in_regular_rounds_has_not_waited():
    """Guards against streams left open at a router that was not held up lately."""
    clock = ManualClock()
    rounds = PollerRounds(clock)
    clock.advance(3.0)
    rounds.begin()
    while clock.monotonic() < 3.0 + UNREAD_SECONDS:
        clock.advance(0.9 * STALL_SECONDS)
        rounds.begin()
    assert rounds.unread_seconds == 0.0
