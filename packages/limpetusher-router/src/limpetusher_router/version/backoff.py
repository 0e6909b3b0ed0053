"""Exponential backoff between attempts, with jitter so that routers do not retry at the same time."""

import random

JITTER_FRACTION = 0.5


class Backoff:
    """Delays that double from `first_seconds` to `maximum_seconds`."""

    def __init__(self, rng: random.Random, *, first_seconds: float, maximum_seconds: float):
        self.rng = rng
        self.first_seconds = first_seconds
        self.maximum_seconds = maximum_seconds
        self.next_seconds = first_seconds

    def reset(self) -> None:
        """Restart with the first delay."""
        self.next_seconds = self.first_seconds

    def next_delay(self) -> float:
        """Return the next delay in seconds."""
        delay = self.next_seconds * self.rng.uniform(1 - JITTER_FRACTION, 1 + JITTER_FRACTION)
        self.next_seconds = min(self.next_seconds * 2, self.maximum_seconds)
        return delay
