"""Growing waiting times between attempts, with jitter so that routers do not act in step."""

import random

JITTER = 0.5


class Backoff:
    """Waiting times that double from `first` to `maximum` seconds."""

    def __init__(self, rng: random.Random, *, first: float, maximum: float):
        self.rng = rng
        self.first = first
        self.maximum = maximum
        self.seconds = first

    def reset(self) -> None:
        """Begin again with the first waiting time."""
        self.seconds = self.first

    def next(self) -> float:
        """Return the next waiting time."""
        seconds = self.seconds * self.rng.uniform(1 - JITTER, 1 + JITTER)
        self.seconds = min(self.seconds * 2, self.maximum)
        return seconds
