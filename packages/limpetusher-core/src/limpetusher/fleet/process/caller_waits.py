"""Times for which callers wait for whole streams, by which a scheduler bounds when a stream has begun.

A caller that takes a stream up again states the time that it has left. Only what callers of new streams state
tells the whole time: the time-out of a route may be shorter, and may have changed since.
"""

import math
from dataclasses import dataclass

DEFAULT_WAIT_SECONDS = 60.0
"""Time for which callers are taken to wait until enough of them have stated theirs, as long as the states of
the list of targets are kept. Those of the known deployments wait for 15 s, and state that within a second."""
MIN_CALLERS = 20
"""Number of new streams from which on the longest time of their callers counts. The callers of fewer may all
have been refused before, so that they state only what is left of their time."""
MAX_GOALS = 1_000
"""Maximum number of goals for which times are kept."""


@dataclass(slots=True)
class StatedTimes:
    """Number of callers that have stated their time, and the longest one in seconds."""

    count: int = 0
    longest: float = 0.0


class CallerWaits:
    """Times that callers of new streams have stated, by the goal of their requests."""

    def __init__(self):
        self.stated: dict[float, StatedTimes] = {}
        self.longest_of_all = DEFAULT_WAIT_SECONDS
        """Longest time that callers have stated to any router, and at least the default."""

    def record(self, goal_seconds: float, seconds: float) -> None:
        """Record for how long the caller of a new stream waits for the whole of it."""
        if goal_seconds not in self.stated and len(self.stated) >= MAX_GOALS:
            self.stated.clear()
        times = self.stated.setdefault(goal_seconds, StatedTimes())
        times.count += 1
        times.longest = max(times.longest, seconds)
        self.record_told(seconds)

    def record_told(self, seconds: float) -> None:
        """Record the longest time that callers have stated to another router."""
        self.longest_of_all = max(self.longest_of_all, seconds)

    def longest_wait(self, goal_seconds: float, seconds_left: float) -> float:
        """Return the longest time for which a caller may wait in all that has some time left.

        It is infinite if the caller states no time, or has more left than any has stated, so that no bound is
        known.
        """
        if seconds_left <= 0:
            return math.inf
        times = self.stated.get(goal_seconds, StatedTimes())
        if seconds_left > times.longest:
            # Some callers wait for longer than those that have begun streams lately.
            times.count = 0
        if times.count >= MIN_CALLERS:
            return times.longest
        return self.longest_of_all if seconds_left <= self.longest_of_all else math.inf

    def stated_wait(self, goal_seconds: float, seconds_left: float) -> float:
        """Return the time for which the caller probably waits in all, by however few others.

        It is infinite if the caller states no time, or has more left than they have stated. A stream that is
        as young as this tells should be known to its scheduler; a caller that names no known one may have
        named a wrong one.
        """
        stated = self.stated.get(goal_seconds, StatedTimes()).longest
        return stated if 0 < seconds_left <= stated else math.inf
