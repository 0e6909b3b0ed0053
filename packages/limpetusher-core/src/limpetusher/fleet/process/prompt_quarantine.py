"""Quarantine of prompt parts that crash engines.

A request with such a part crashes each engine that begins to answer it, whatever else its prompt holds. All
parts of a request without output at a crashed engine are struck, and output clears the parts of a request, so
that parts which sound requests use as well do not stay struck. A part struck by several requests is suspect:
only one request with it is open at a time. Parts struck once more are quarantined. If several parts have
only occurred together, requests with all of them are refused, and one with some of them shows which it is.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from limpetusher.fleet.messages import QuarantineEntry
from limpetusher.fleet.model import PromptPart

SUSPECT_STRIKES = 2
"""Number of crashes with different requests after which a part is suspect."""
QUARANTINE_STRIKES = 3
"""Number of crashes with different requests after which a part is quarantined."""
CONFIRMATION_SECONDS = 0.15
"""Time after which a broken connection counts as a crash if no other request at the target has survived.
Covers the delay between the routers' reports."""
MAX_CONFIRMATION_SECONDS = 1.0
"""Time after which it no longer counts as a crash while other requests at the target are open."""
SAME_CRASH_SECONDS = 0.1
"""Crashes within this time count as one, as connections of several targets may be reset at once."""
MAX_STRIKE_AGE_SECONDS = 60.0
QUARANTINE_SECONDS = 300.0
"""Duration of the first quarantine. Afterwards one request may start; the duration doubles if it crashes its
engine."""
MAX_QUARANTINE_SECONDS = 3_600.0
MAX_STRUCK_PARTS = 2_000
MAX_QUARANTINES = 100

PartKey = tuple[str, str]
"""Service and identifier of a prompt part."""
RequestKey = tuple[str, str]
"""Router and identifier of a request."""


@dataclass(frozen=True, slots=True)
class BrokenConnection:
    """Connection of a request without output that its target has broken."""

    request: RequestKey
    parts: frozenset[PartKey]
    broken_at: float


@dataclass(slots=True)
class StruckPart:
    """Crashes of engines at which requests with a part were open."""

    strikes: dict[RequestKey, BrokenConnection] = field(default_factory=dict)
    crashes: set[int] = field(default_factory=set)

    @property
    def count(self) -> int:
        """Return the number of crashes with different requests."""
        return min(len(self.strikes), len(self.crashes))


@dataclass(slots=True)
class Quarantine:
    """Parts of which one crashes engines. `until` is a reading of the monotonic clock."""

    parts: frozenset[PartKey]
    until: float
    seconds: float


class PromptQuarantine:
    """Struck, suspect and quarantined prompt parts."""

    def __init__(self):
        self.broken: dict[str, list[BrokenConnection]] = {}
        """Broken connections by target, until it is known whether the target has crashed."""
        self.struck: dict[PartKey, StruckPart] = {}
        self.probes: dict[PartKey, RequestKey] = {}
        """Open request of each suspect part."""
        self.quarantines: list[Quarantine] = []
        self.changed: list[Quarantine] = []
        """Quarantines to be announced to the other routers."""
        self.crash_count = 0
        self.last_crash_at = -math.inf

    @property
    def is_idle(self) -> bool:
        """Return whether no part is struck or quarantined."""
        return not self.struck and not self.quarantines

    def remaining_seconds(self, parts: frozenset[PartKey], now: float) -> float:
        """Return the time for which requests with the parts are refused, 0 if they are not."""
        remaining = (quarantine.until - now for quarantine in self.quarantines if quarantine.parts <= parts)
        return max(0.0, max(remaining, default=0.0))

    def suspects(self, parts: frozenset[PartKey]) -> set[PartKey]:
        """Return the suspect parts among the given ones."""
        suspects = {
            part for part in parts if part in self.struck and self.struck[part].count >= SUSPECT_STRIKES
        }
        return suspects.union(*(quarantine.parts & parts for quarantine in self.quarantines))

    def may_start(self, request: RequestKey, parts: frozenset[PartKey]) -> bool:
        """Return whether a request may start: no other one with any of its suspect parts is open."""
        return all(self.probes.get(part, request) == request for part in self.suspects(parts))

    def record_start(self, request: RequestKey, parts: frozenset[PartKey]) -> None:
        """Record a request that starts."""
        self.probes.update(dict.fromkeys(self.suspects(parts), request))

    def record_end(self, request: RequestKey, parts: frozenset[PartKey]) -> None:
        """Record that a request is no longer open."""
        for part in parts:
            if self.probes.get(part) == request:
                del self.probes[part]

    def record_output(self, parts: frozenset[PartKey]) -> None:
        """Clear the parts of a request with output."""
        for part in parts:
            self.struck.pop(part, None)
            self.probes.pop(part, None)
        for quarantine in self.quarantines:
            if quarantine.parts & parts:
                quarantine.parts -= parts
                if quarantine.parts:
                    self.changed.append(quarantine)
        self.quarantines = [quarantine for quarantine in self.quarantines if quarantine.parts]

    def record_broken(
        self, target_id: str, request: RequestKey, parts: frozenset[PartKey], now: float
    ) -> None:
        """Record that a target has broken the connection of a request without output."""
        self.broken.setdefault(target_id, []).append(BrokenConnection(request, parts, now))

    def confirm(self, now: float, has_crashed: Callable[[str, float], bool | None]) -> None:
        """Strike the parts of the requests that were cut by crashes.

        Parameters
        ----------
        now
            Reading of the monotonic clock.
        has_crashed
            Returns whether a target has crashed at a time, as far as its other requests tell; None if they
            do not tell yet.
        """
        for target_id, broken in list(self.broken.items()):
            broken_at = broken[0].broken_at
            if now < broken_at + CONFIRMATION_SECONDS:
                continue
            verdict = has_crashed(target_id, broken_at)
            if verdict is None and now < broken_at + MAX_CONFIRMATION_SECONDS:
                continue
            del self.broken[target_id]
            if verdict:
                self.record_crash(broken, now)
        for part, struck in list(self.struck.items()):
            if all(now > strike.broken_at + MAX_STRIKE_AGE_SECONDS for strike in struck.strikes.values()):
                del self.struck[part]

    def record_crash(self, broken: list[BrokenConnection], now: float) -> None:
        """Strike the parts of the requests without output at a crashed target."""
        if self.narrow_quarantines(broken, now):
            return
        crashed_at = broken[0].broken_at
        if crashed_at > self.last_crash_at + SAME_CRASH_SECONDS:
            self.crash_count += 1
        self.last_crash_at = max(crashed_at, self.last_crash_at)
        for connection in broken:
            for part in connection.parts:
                if part in self.struck or len(self.struck) < MAX_STRUCK_PARTS:
                    struck = self.struck.setdefault(part, StruckPart())
                    struck.strikes[connection.request] = connection
                    struck.crashes.add(self.crash_count)
        groups: dict[frozenset[RequestKey], set[PartKey]] = {}
        for part, struck in self.struck.items():
            if struck.count >= QUARANTINE_STRIKES:
                groups.setdefault(frozenset(struck.strikes), set()).add(part)
        if groups:
            most = max(len(requests) for requests in groups)
            for requests, parts in groups.items():
                if len(requests) == most:
                    self.add(frozenset(parts), QUARANTINE_SECONDS, now)

    def narrow_quarantines(self, broken: list[BrokenConnection], now: float) -> bool:
        """Apply a crash to the quarantines; return whether one of them explains it."""
        for quarantine in self.quarantines:
            if any(quarantine.parts <= connection.parts for connection in broken):
                if now >= quarantine.until:
                    seconds = min(2 * quarantine.seconds, MAX_QUARANTINE_SECONDS)
                    quarantine.until, quarantine.seconds = now + seconds, seconds
                    self.changed.append(quarantine)
                return True
        for quarantine in self.quarantines:
            for connection in broken:
                if quarantine.parts & connection.parts:
                    quarantine.parts &= connection.parts
                    self.changed.append(quarantine)
                    return True
        return False

    def add(self, parts: frozenset[PartKey], seconds: float, now: float) -> bool:
        """Quarantine parts, which explains the crashes with them; return whether they were not yet.

        A known quarantine of more parts is replaced.
        """
        if not parts or any(quarantine.parts <= parts for quarantine in self.quarantines):
            return False
        self.quarantines = [quarantine for quarantine in self.quarantines if not parts <= quarantine.parts]
        if len(self.quarantines) >= MAX_QUARANTINES:
            self.quarantines.remove(min(self.quarantines, key=lambda quarantine: quarantine.until))
        quarantine = Quarantine(parts, now + seconds, seconds)
        self.quarantines.append(quarantine)
        self.changed.append(quarantine)
        for other, struck in list(self.struck.items()):
            for request, strike in list(struck.strikes.items()):
                if parts <= strike.parts:
                    del struck.strikes[request]
            if not struck.strikes:
                del self.struck[other]
        return True

    def entries(self, quarantines: Iterable[Quarantine], now: float) -> tuple[QuarantineEntry, ...]:
        """Return quarantines as entries of a message to other routers."""
        return tuple(
            QuarantineEntry(tuple(sorted(quarantine.parts)), round(max(0.0, quarantine.until - now), 3))
            for quarantine in quarantines
        )

    def take_changed(self) -> list[Quarantine]:
        """Return and clear the quarantines to be announced."""
        changed, self.changed = self.changed, []
        return changed


def shared_parts(service: str, parts: tuple[PromptPart, ...]) -> frozenset[PartKey]:
    """Return the parts of a prompt that other requests may share: all but the last one."""
    return frozenset((service, part.part_id) for part in parts[:-1])
