"""Wall clocks of the hosts, by which times that targets state are compared with the own monotonic clock.

The time of day of any host may be wrong by seconds. Times that are taken for earlier than they were join
streams from two software versions, so the offset that is used makes them rather later.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

CLOCK_DIFFERENCE_SECONDS = 0.3
"""Difference up to which right wall clocks agree."""
MIN_HOSTS = 3
"""Minimum number of hosts whose clocks are compared before they are relied on."""
RIGHT_FRACTION = 1 / 3
"""Smallest fraction of the clocks of hosts, and of targets, that are assumed to be right."""
MAX_READING_AGE_SECONDS = 5.0
"""Age from which a reading is replaced by a lower one, which may only have taken longer to arrive."""


@dataclass(slots=True)
class OffsetBounds:
    """Offsets between which the right one is, if the clock of a target is right."""

    lowest: float = -math.inf
    """Offset below which it is not, as the store had an entry that the target had written by then."""
    highest: float = math.inf
    """Offset above which it is not, as the target had not written its next entry yet."""


@dataclass(frozen=True, slots=True)
class ClockReading:
    """Wall-clock time less monotonic time, in seconds, and when it was read by the monotonic clock."""

    offset_seconds: float
    read_at: float


class WallClocks:
    """Readings of the wall clocks of this host and of others, by address, and what targets show of the time.

    All offsets are wall-clock time less the own monotonic time, in seconds.
    """

    def __init__(self):
        self.readings: dict[str, ClockReading] = {}
        self.stated: dict[str, float] = {}
        """Wall-clock time that each host has stated last."""
        self.bounds: dict[str, OffsetBounds] = {}
        """What the entries of each target show, by its identifier."""
        self.offsets: dict[int, float] = {}
        """Offsets that are relied on, by the number of hosts that are needed, until anything changes."""

    def record(self, address: str, wall_seconds: float, now: float) -> None:
        """Record the time of day of a host, stated at `now` or earlier.

        A time that has waited is not before the one stated last, so that an earlier one shows that the clock
        was set back. Messages that have overtaken each other are less than `CLOCK_DIFFERENCE_SECONDS` apart.
        """
        known = self.readings.get(address)
        offset = wall_seconds - now
        is_set_back = wall_seconds < self.stated.get(address, -math.inf) - CLOCK_DIFFERENCE_SECONDS
        self.stated[address] = wall_seconds
        is_outdated = known is None or now >= known.read_at + MAX_READING_AGE_SECONDS
        if is_outdated or is_set_back or offset >= known.offset_seconds:
            self.readings[address] = ClockReading(offset, now)
            self.offsets.clear()

    def forget(self, address: str) -> None:
        """Drop the reading of a host that has left."""
        self.readings.pop(address, None)
        self.stated.pop(address, None)
        self.offsets.clear()

    def record_written(
        self, target_id: str, wall_seconds: float, now: float, *, next_seconds: float = math.inf
    ) -> None:
        """Record that the store had an entry at `now` that a target wrote at a time of its wall clock.

        `next_seconds` is the time within which the target writes its next entry, which the store did not have
        yet.
        """
        bounds = self.bounds.setdefault(target_id, OffsetBounds())
        bounds.lowest = max(bounds.lowest, wall_seconds - now)
        bounds.highest = min(bounds.highest, wall_seconds + next_seconds - now)
        self.offsets.clear()

    @property
    def lowest_offset(self) -> float:
        """Return the offset below which the right one is not, if enough clocks of targets are not ahead."""
        return low_quantile(bounds.lowest for bounds in self.bounds.values())

    @property
    def highest_offset(self) -> float:
        """Return the offset above which the right one is not, if enough clocks of targets are not behind."""
        highest = [-bounds.highest for bounds in self.bounds.values() if math.isfinite(bounds.highest)]
        return -low_quantile(highest)

    def offset(self, min_hosts: int = MIN_HOSTS) -> float:
        """Return the offset that is relied on, which is not above the right one; minus infinity without any.

        The clocks of `min_hosts` hosts count if at least `RIGHT_FRACTION` of them are not ahead, and all of
        them are left out if what targets have written contradicts that.
        """
        if min_hosts not in self.offsets:
            self.offsets[min_hosts] = self.find_offset(min_hosts)
        return self.offsets[min_hosts]

    def find_offset(self, min_hosts: int) -> float:
        """Determine the offset that is relied on."""
        if len(self.readings) < max(min_hosts, 1):
            return self.lowest_offset
        offset = low_quantile(reading.offset_seconds for reading in self.readings.values())
        return self.lowest_offset if offset > self.highest_offset else max(offset, self.lowest_offset)

    def latest_time(self, wall_seconds: float, *, min_hosts: int = MIN_HOSTS) -> float:
        """Return the latest monotonic time that a wall-clock time of a target can stand for.

        It is infinite while nothing tells the offset.
        """
        if math.isinf(wall_seconds):
            return wall_seconds
        return wall_seconds - self.offset(min_hosts) + CLOCK_DIFFERENCE_SECONDS

    def difference(self, address: str) -> float:
        """Return by how many seconds the clock of a host is ahead of the offset relied on, 0 if unknown."""
        reading = self.readings.get(address)
        if reading is None or len(self.readings) < MIN_HOSTS:
            return 0.0
        return reading.offset_seconds - self.offset()


def low_quantile(values: Iterable[float]) -> float:
    """Return the lowest value that at least `RIGHT_FRACTION` of some values don't exceed.

    It is minus infinity without values.
    """
    ordered = sorted(values)
    return ordered[math.ceil(len(ordered) * RIGHT_FRACTION) - 1] if ordered else -math.inf
