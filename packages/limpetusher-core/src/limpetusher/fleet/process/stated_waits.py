"""Recognition of callers that try again, by the remaining time that they state."""

from collections.abc import Hashable

RETURN_FRACTION = 0.9
"""Part of the time that callers state at first below which a request is a further try; a first try loses less
in transit, a further one has waited for an answer."""
PERIOD_SECONDS = 60.0
"""Time after which stated times of earlier callers are forgotten, at the latest after two such periods."""
MAX_RECORDED_WAITS = 2_000
"""Limit of the number of recorded times."""


class StatedWaits:
    """Longest remaining times that callers have stated lately, by kind of request.

    Parameters
    ----------
    now
        Time of the start.
    """

    def __init__(self, now: float):
        self.current: dict[Hashable, float] = {}
        self.previous: dict[Hashable, float] = {}
        self.period_ends_at = now + PERIOD_SECONDS

    def is_return(self, kind: Hashable, seconds_left: float | None, now: float) -> bool:
        """Record the remaining time of a request, and return whether its caller has tried before."""
        if seconds_left is None:
            return False
        if now >= self.period_ends_at or len(self.current) >= MAX_RECORDED_WAITS:
            self.previous, self.current = self.current, {}
            self.period_ends_at = now + PERIOD_SECONDS
        longest = max(self.current.get(kind, 0.0), self.previous.get(kind, 0.0), seconds_left)
        self.current[kind] = max(self.current.get(kind, 0.0), seconds_left)
        return seconds_left < RETURN_FRACTION * longest
