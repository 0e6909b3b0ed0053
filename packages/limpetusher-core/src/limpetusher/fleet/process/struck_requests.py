"""Requests that come again and crash the targets that run them.

All repeats of a request have one digest. A request is struck at each crash of a target at which it was open
or had just been answered, and cleared by a complete answer of a target that lives on. From the first strike
on, only one repeat is open at a time. A request that was open at three crashes is quarantined; these crashes
then no longer speak against others.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from limpetusher.fleet.process.strikes import (
    QUARANTINE_STRIKES,
    SAME_CRASH_SECONDS,
    BrokenConnection,
    PartKey,
    RequestKey,
    StruckPart,
    discard_strikes,
    is_request,
)

SUSPECT_CRASHES = 2
"""Number of crashes with a request, confirmed or not, after which a repeat that targets have received is not
sent again, and only one repeat may be open."""
MIN_BLAME = 0.2
"""Crashes for each repeat of a request from which it may be quarantined. Several may be open at a target when
the first of them crashes it."""
MIN_SPAN_SECONDS = 0.25
"""Time between the first and the last crash of a request from which it may be quarantined. A sound one that
is sent again and again is answered meanwhile, although several targets have crashed at about one time."""
MAX_REQUEST_STRIKE_AGE_SECONDS = 600.0
"""Longer than the age of strikes of prompt parts, as requests may come again at long intervals."""
MAX_STRUCK_REQUESTS = 5_000
"""Bounds the memory; beyond it, the request struck longest ago is dropped."""
ANNOUNCEMENT_DELAY_SECONDS = 0.5
"""Time after which a strike is told to the other schedulers. Most requests that were open at a crash have
been answered by then."""
MAX_UNANNOUNCED = 500
"""Bounds the memory after a crash of many targets."""
MAX_ANNOUNCED = 50
"""Maximum number of strikes that are told at one time, those of requests with most crashes first. Bounds the
messages after a crash of many targets."""


class StruckRequest(StruckPart):
    """Broken connections of the repeats of one request, by repeat and by the number of the crash."""

    __slots__ = ()

    def key_of(self, connection: BrokenConnection) -> RequestKey:
        """Return the key under which a strike is counted."""
        return connection.request

    @property
    def count(self) -> int:
        """Return the number of crashes."""
        return len(self.crashes)

    @property
    def is_suspect(self) -> bool:
        """Return whether only one repeat may be open."""
        return bool(self.strikes)

    @property
    def is_blamed(self) -> bool:
        """Return whether the request may be quarantined.

        One more crash is needed if most of its connections were broken after lasting output, as a target
        crashes when it begins to run a deadly request.
        """
        connections = [connection for crashes in self.strikes.values() for connection in crashes.values()]
        broken_at = [connection.broken_at for connection in connections]
        if not connections or max(broken_at) - min(broken_at) < MIN_SPAN_SECONDS or self.blame < MIN_BLAME:
            return False
        is_early = 2 * sum(connection.is_early for connection in connections) > len(connections)
        return self.count >= QUARANTINE_STRIKES + (not is_early)


@dataclass(frozen=True, slots=True)
class UnannouncedStrike:
    """Strike that the other schedulers do not know yet."""

    due_at: float
    request: PartKey
    crash: int
    connection: BrokenConnection


class StruckRequests:
    """Requests that were open when targets crashed, by the keys of their digests."""

    def __init__(self):
        self.struck: dict[PartKey, StruckRequest] = {}
        """Struck requests, the last struck one last."""
        self.unannounced: list[UnannouncedStrike] = []
        self.unconfirmed: dict[PartKey, list[float]] = {}
        """Times at which connections of requests were broken by targets that may have crashed."""

    def strike(self, connection: BrokenConnection, crash: int) -> None:
        """Strike the request of a connection for the crash with a number."""
        for request in filter(is_request, connection.parts):
            struck = self.struck.pop(request, None) or StruckRequest()
            if len(self.struck) >= MAX_STRUCK_REQUESTS:
                del self.struck[next(iter(self.struck))]
            self.struck[request] = struck
            struck.add(connection, crash)

    def note_unannounced(self, connections: Iterable[BrokenConnection], crash: int, now: float) -> None:
        """Keep the strikes of a crash until the other schedulers are told.

        Those with lasting output are left out, as a target crashes when it begins to run a deadly request.
        """
        due_at = now + ANNOUNCEMENT_DELAY_SECONDS
        for connection in connections:
            if not connection.is_early:
                continue
            for request in filter(is_request, connection.parts):
                self.unannounced.append(UnannouncedStrike(due_at, request, crash, connection))
        del self.unannounced[:-MAX_UNANNOUNCED]

    def take_unannounced(self, now: float) -> list[BrokenConnection]:
        """Return the strikes that are to be told to the other schedulers, and forget that they are."""
        due = [strike for strike in self.unannounced if now >= strike.due_at]
        self.unannounced = [strike for strike in self.unannounced if now < strike.due_at]
        told: dict[tuple[PartKey, int], BrokenConnection] = {
            (strike.request, strike.crash): strike.connection
            for strike in due
            if strike.request in self.struck and strike.crash in self.struck[strike.request].crashes
        }
        most_crashes_first = sorted(told, key=lambda key: self.struck[key[0]].count, reverse=True)
        return [told[key] for key in most_crashes_first[:MAX_ANNOUNCED]]

    def discard(self, matches: Callable[[int, BrokenConnection], bool]) -> None:
        """Remove the strikes for which `matches`, called with crash and connection, returns True."""
        discard_strikes(self.struck, matches)

    def discard_expired(self, now: float) -> None:
        """Remove old strikes."""
        oldest = now - MAX_REQUEST_STRIKE_AGE_SECONDS
        self.discard(lambda _crash, connection: connection.broken_at < oldest)

    def most_blamed(self, requests: Iterable[PartKey]) -> PartKey | None:
        """Return the request to quarantine among those of a crash, None if there is none."""
        found = {
            request: self.struck[request].blame
            for request in requests
            if request in self.struck and self.struck[request].is_blamed
        }
        return max(found, key=found.get) if found else None

    def record_broken(self, connection: BrokenConnection) -> None:
        """Record a broken connection until it is known whether its target has crashed."""
        for request in filter(is_request, connection.parts):
            self.unconfirmed.setdefault(request, []).append(connection.broken_at)

    def set_unconfirmed(self, broken: Iterable[BrokenConnection]) -> None:
        """Record which broken connections are left."""
        self.unconfirmed.clear()
        for connection in broken:
            self.record_broken(connection)

    def is_suspect(self, request: PartKey) -> bool:
        """Return whether only one repeat of a request may be open."""
        return request in self.struck or self.crash_count(request) >= SUSPECT_CRASHES

    def crash_count(self, request: PartKey) -> int:
        """Return the number of crashes of a request, with those that are not confirmed yet."""
        struck = self.struck.get(request)
        count = struck.count if struck is not None else 0
        last = -math.inf
        for at in sorted(self.unconfirmed.get(request, ())):
            count += at > last + SAME_CRASH_SECONDS
            last = at
        return count

    def has_unexplained(self, requests: Iterable[PartKey]) -> bool:
        """Return whether one of the requests of a crash was open at enough of them, but is not blamed yet."""
        return any(
            request in self.struck and self.struck[request].count >= QUARANTINE_STRIKES
            for request in requests
        )
