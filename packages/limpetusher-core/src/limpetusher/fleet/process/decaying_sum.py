"""Sums of which each part counts less the older it is."""

import math


class DecayingSum:
    """Exponentially decaying sum; a constant rate of one per second converges to `seconds`.

    Parameters
    ----------
    seconds
        Time constant.
    now
        Reading of the monotonic clock.
    """

    __slots__ = ("at", "seconds", "total")

    def __init__(self, seconds: float, now: float):
        self.seconds = seconds
        self.at = now
        self.total = 0.0
        """Sum as of `at`."""

    def add(self, amount: float, now: float) -> float:
        """Add an amount and return the sum."""
        self.total = self.value(now) + amount
        self.at = max(self.at, now)
        return self.total

    def value(self, now: float) -> float:
        """Return the sum."""
        return self.total * math.exp((self.at - now) / self.seconds) if now > self.at else self.total
