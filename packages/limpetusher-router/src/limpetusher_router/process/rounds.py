"""Times of the rounds of a process's event loop."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from limpetusher.clock import Clock

INTERVAL_SECONDS = 1.0
STALL_SECONDS = 0.6
"""Time between the begins of two rounds from which on the process was held up."""
UNREAD_SECONDS = 1.0
"""Time after a stall in which what has arrived meanwhile may still be unread."""


@dataclass(slots=True)
class RoundTimes:
    """Time that rounds have taken without waiting for I/O, in seconds."""

    total: float = 0.0
    accepts: float = 0.0
    """Accepting connections of callers."""
    sockets: float = 0.0
    """Other events that the poller reported, mostly reads and writes."""
    messages: float = 0.0
    """Messages between components that these events have caused, and deadlines."""


class PollerRounds:
    """Measures the rounds of the event loop: the events of the poller, then the messages that they cause.

    Parameters
    ----------
    clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.began_at = clock.monotonic()
        """When the poller returned last, which began the current round."""
        self.sockets_done_at = self.began_at
        self.accept_seconds = 0.0
        """Time that the current round has spent on accepts."""
        self.count = 0
        self.totals = RoundTimes()
        """Times of all rounds of the process."""
        self.stall_seconds = 0.0
        """Length of the last stalls, as of which something may still be unread."""
        self.stall_ended_at = -math.inf
        self.interval_ends_at = self.began_at + INTERVAL_SECONDS
        self.longest_in_interval, self.longest_before = RoundTimes(), RoundTimes()
        self.record_round: Callable[[float, float, float], None] | None = None
        """Gets the time of each round, the part of it spent on events of sockets, and the time of its end."""

    @property
    def unread_seconds(self) -> float:
        """Return the time for which what is read now may have waited, as the process was held up."""
        return self.stall_seconds if self.began_at < self.stall_ended_at + UNREAD_SECONDS else 0.0

    @property
    def longest(self) -> RoundTimes:
        """Return the times of the longest round of the current interval and the one before it."""
        return max(self.longest_in_interval, self.longest_before, key=lambda times: times.total)

    def begin(self) -> None:
        """Record that the poller has returned."""
        now = self.clock.monotonic()
        if now > self.began_at + STALL_SECONDS:
            self.stall_seconds = now - self.began_at + self.unread_seconds
            self.stall_ended_at = now
        self.began_at = self.sockets_done_at = now
        self.accept_seconds = 0.0

    def end_sockets(self) -> None:
        """Record that the events that the poller reported are handled."""
        self.sockets_done_at = self.clock.monotonic()

    def end(self) -> None:
        """Record that the process polls again."""
        now = self.clock.monotonic()
        total = now - self.began_at
        accepts = self.accept_seconds
        messages = now - self.sockets_done_at
        sockets = total - messages - accepts
        totals = self.totals
        totals.total += total
        totals.accepts += accepts
        totals.sockets += sockets
        totals.messages += messages
        self.count += 1
        if now >= self.interval_ends_at:
            is_next = now < self.interval_ends_at + INTERVAL_SECONDS
            self.longest_before = self.longest_in_interval if is_next else RoundTimes()
            self.longest_in_interval = RoundTimes()
            self.interval_ends_at = now + INTERVAL_SECONDS
        if total > self.longest_in_interval.total:
            self.longest_in_interval = RoundTimes(total, accepts, sockets, messages)
        if self.record_round is not None:
            self.record_round(total, total - messages, now)
