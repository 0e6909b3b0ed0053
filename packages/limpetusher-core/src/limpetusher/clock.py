"""Clocks. Code that needs the time takes a `Clock`, so that tests can control it."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of time."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back and also counts while the process is stopped."""
        ...

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        ...


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return seconds of the system's monotonic clock."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


class ManualClock:
    """Clock that stands still until it is advanced.

    Parameters
    ----------
    monotonic
        First reading of the monotonic clock, in seconds.
    wall
        First reading of the wall clock, in seconds since the Unix epoch.
    """

    def __init__(self, *, monotonic: float = 0.0, wall: float = 1_700_000_000.0):
        self.monotonic_seconds = monotonic
        self.wall_seconds = wall

    def monotonic(self) -> float:
        """Return the current reading in seconds."""
        return self.monotonic_seconds

    def wall(self) -> float:
        """Return the current reading in seconds since the Unix epoch."""
        return self.wall_seconds

    def advance(self, seconds: float) -> None:
        """Move both clocks forward by `seconds`."""
        self.monotonic_seconds += seconds
        self.wall_seconds += seconds
