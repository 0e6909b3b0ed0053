"""Quarantine of prompt parts that crash engines, and of requests that crash targets.

A request with such a part crashes each engine that answers it, whatever else its prompt holds, before its
first output or at any time until the end of its answer. At a crash, the parts of all requests are struck that
the engine was answering or had just answered. Only a complete answer of an engine that lives on clears the
parts of a request, so that parts which sound requests use as well do not stay struck. Output alone does not,
as the engine may still crash while it writes the rest.

A part is blamed for the crashes at which its requests were open, the less the more of its requests there were
at a crash or have lasting output. A part that several requests with little or no output are blamed for is
suspect: only one request with it is open at a time. After one more crash the most blamed parts are
quarantined. If several parts have only occurred together, requests with all of them are refused, and one with
some of them shows which it is. The key of a whole request is handled as a part of it that only its repeats
have, with the rules of `struck_requests`.
"""

import itertools
import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from limpetusher.fleet.messages import BrokenAttempt, QuarantineEntry, QuarantineUpdate
from limpetusher.fleet.model import PromptPart
from limpetusher.fleet.process.strikes import (
    SURVIVAL_SECONDS,
    SUSPECT_STRIKES,
    BrokenConnection,
    Crash,
    PartKey,
    RequestKey,
    StruckPart,
    Survival,
    discard_strikes,
    is_caused_by,
    is_request,
    repeat_key,
    request_part,
)
from limpetusher.fleet.process.struck_requests import SUSPECT_CRASHES, StruckRequests

LOW_BLAME = 0.2
"""Crashes for each request with a part from which the part may be quarantined. Several deadly requests may be
open at an engine when the first of them crashes it."""
CONFIRMATION_SECONDS = 0.15
"""Time after which a broken connection counts as a crash if no other request at the target has survived.
Covers the delay between the routers' reports."""
MAX_CONFIRMATION_SECONDS = 1.0
"""Time after which it no longer counts as a crash while other requests at the target are open."""
RETRACTION_SECONDS = 1.0
"""Time after a supposed crash in which output of the target shows that it has only broken connections. A
crashed target needs longer to start again."""
MAX_STRIKE_AGE_SECONDS = 60.0
EXPIRY_INTERVAL_SECONDS = 1.0
QUARANTINE_SECONDS = 300.0
"""Duration of the first quarantine. Afterwards one request may start; the duration doubles if it crashes its
engine."""
MAX_QUARANTINE_SECONDS = 3_600.0
MAX_STRUCK_PARTS = 2_000
"""Bounds the memory and the time of a crash; beyond it, the part struck longest ago is dropped."""
MAX_QUARANTINES = 100


@dataclass(slots=True)
class Quarantine:
    """Parts of which one crashes engines, or the key of a request that crashes targets.

    `until` is a reading of the monotonic clock.
    """

    parts: frozenset[PartKey]
    until: float
    seconds: float
    service: str = ""
    """Service of a request, empty if unknown."""
    customer: str = ""
    """Customer of a request, empty if unknown."""
    crashes: int = 0
    """Number of crashes of a request that this scheduler has counted."""

    @property
    def is_request(self) -> bool:
        """Return whether a whole request is quarantined."""
        return any(map(is_request, self.parts))


class PromptQuarantine:
    """Struck, suspect and quarantined prompt parts and requests."""

    def __init__(self):
        self.broken: dict[str, list[BrokenConnection]] = {}
        """Broken connections by target, until it is known whether the target has crashed."""
        self.survivals: deque[Survival] = deque()
        """Outputs and answers after which the target may still crash, oldest first."""
        self.crashed_at: dict[str, float] = {}
        """Times of the last crashes of targets."""
        self.struck: dict[PartKey, StruckPart] = {}
        """Struck parts, the last struck one last."""
        self.requests = StruckRequests()
        self.repeated_crashes: set[int] = set()
        """Crashes of quarantined requests after the first one of each."""
        self.probes: dict[PartKey, RequestKey] = {}
        """Open request of each suspect part."""
        self.quarantines: list[Quarantine] = []
        self.changed: list[Quarantine] = []
        """Quarantines to be announced to the other routers."""
        self.cleared: set[PartKey] = set()
        """Parts that are no longer quarantined, to be announced to the other routers."""
        self.crash_count = 0
        self.crashes: list[Crash] = []
        """Crashes that are not older than the strikes."""
        self.expired_at = -math.inf
        """Time at which old strikes were last removed."""

    @property
    def is_idle(self) -> bool:
        """Return whether no part or request is struck, quarantined or about to be struck."""
        return not (self.struck or self.requests.struck or self.quarantines or self.broken)

    @property
    def is_pending(self) -> bool:
        """Return whether a crash has to be confirmed, or an answer that may clear parts."""
        return bool(self.broken) or (bool(self.survivals) and not self.is_idle)

    def find(self, parts: frozenset[PartKey], now: float) -> Quarantine | None:
        """Return the longest quarantine for which requests with the parts are refused, None without any."""
        found = [
            quarantine
            for quarantine in self.quarantines
            if quarantine.parts <= parts and now < quarantine.until
        ]
        return max(found, key=lambda quarantine: quarantine.until, default=None)

    def remaining_seconds(self, parts: frozenset[PartKey], now: float) -> float:
        """Return the time for which requests with the parts are refused, 0 if they are not."""
        quarantine = self.find(parts, now)
        return quarantine.until - now if quarantine is not None else 0.0

    def suspects(self, parts: frozenset[PartKey]) -> set[PartKey]:
        """Return the suspect parts among the given ones."""
        suspects = {part for part in parts if part in self.struck and self.struck[part].is_suspect}
        suspects |= {part for part in parts if is_request(part) and self.requests.is_suspect(part)}
        return suspects.union(*(quarantine.parts & parts for quarantine in self.quarantines))

    def may_repeat(self, parts: frozenset[PartKey]) -> bool:
        """Return whether a request that a target has received before may be sent again.

        One that was open at a single crash may, as most of these are sound.
        """
        suspects = self.suspects(parts)
        if not all(map(is_request, suspects)) or any(
            quarantine.parts <= suspects for quarantine in self.quarantines
        ):
            return False
        return all(
            self.requests.crash_count(request) < SUSPECT_CRASHES for request in filter(is_request, parts)
        )

    def may_start(self, request: RequestKey, parts: frozenset[PartKey]) -> bool:
        """Return whether a request may start: no other one with any of its suspect parts is open."""
        return all(self.probes.get(part, request) == request for part in self.suspects(parts))

    def record_start(self, request: RequestKey, parts: frozenset[PartKey]) -> None:
        """Record a request that starts."""
        self.probes.update(dict.fromkeys(self.suspects(parts), request))

    def record_end(self, request: RequestKey, parts: frozenset[PartKey]) -> None:
        """Record that a request is no longer open, or that its output has lasted."""
        for part in parts:
            if self.probes.get(part) == request:
                del self.probes[part]

    def record_output(
        self, target_id: str, request: RequestKey, parts: frozenset[PartKey], now: float
    ) -> None:
        """Record the first output of a request."""
        if not self.is_idle:
            self.survivals.append(Survival(target_id, request, parts, now, is_answer=False))

    def record_answer(
        self, target_id: str, request: RequestKey, parts: frozenset[PartKey], now: float
    ) -> None:
        """Record the complete answer of a request."""
        self.survivals.append(Survival(target_id, request, parts, now, is_answer=True))

    def record_alive(self, target_id: str, granted_at: float, now: float) -> None:
        """Retract a supposed crash of a target that has just answered a request granted after it."""
        crashed_at = self.crashed_at.get(target_id, math.inf)
        if granted_at <= crashed_at or now > crashed_at + RETRACTION_SECONDS:
            return
        del self.crashed_at[target_id]
        self.discard_strikes(
            lambda _crash, connection: (
                connection.target_id == target_id and connection.broken_at >= crashed_at
            )
        )

    def discard_strikes(self, matches: Callable[[int, BrokenConnection], bool]) -> None:
        """Remove the strikes for which `matches`, called with crash and connection, returns True."""
        self.discard_part_strikes(matches)
        self.requests.discard(matches)

    def discard_part_strikes(self, matches: Callable[[int, BrokenConnection], bool]) -> None:
        """Remove the strikes of prompt parts for which `matches` returns True."""
        discard_strikes(self.struck, matches)

    def clear(self, parts: frozenset[PartKey]) -> None:
        """Clear the parts of a request that has not crashed its target."""
        for part in parts:
            self.struck.pop(part, None)
            self.requests.struck.pop(part, None)
            self.probes.pop(part, None)
        for quarantine in self.quarantines:
            self.cleared |= quarantine.parts & parts
            quarantine.parts -= parts
        self.quarantines = [quarantine for quarantine in self.quarantines if quarantine.parts]

    def record_broken(
        self,
        target_id: str,
        request: RequestKey,
        parts: frozenset[PartKey],
        now: float,
        *,
        output_at: float | None = None,
        service: str = "",
        customer: str = "",
    ) -> None:
        """Record that a target has broken the connection of a request.

        The request counts as open until it is known whether the target has crashed.
        """
        connection = BrokenConnection(target_id, request, parts, now, output_at, service, customer)
        self.broken.setdefault(target_id, []).append(connection)
        self.requests.record_broken(connection)
        for part in self.suspects(parts):
            self.probes.setdefault(part, request)

    def confirm(
        self,
        now: float,
        has_crashed: Callable[[str, float], bool | None],
        running_requests: Callable[[], dict[PartKey, set[RequestKey]]] = dict,
    ) -> None:
        """Strike the parts of the requests that may have caused crashes, and clear those of sound requests.

        Parameters
        ----------
        now
            Reading of the monotonic clock.
        has_crashed
            Returns whether a target has crashed at a time, as far as its other requests tell; None if they
            do not tell yet.
        running_requests
            Returns the open requests with output by the parts of their prompts.
        """
        for target_id, broken in list(self.broken.items()):
            broken_at = broken[0].broken_at
            if now < broken_at + CONFIRMATION_SECONDS:
                continue
            verdict = has_crashed(target_id, broken_at)
            if verdict is None and now < broken_at + MAX_CONFIRMATION_SECONDS:
                continue
            del self.broken[target_id]
            self.requests.set_unconfirmed(itertools.chain(*self.broken.values()))
            for connection in broken:
                self.record_end(connection.request, connection.parts)
            if verdict:
                self.crashed_at[target_id] = broken_at
                self.record_crash(
                    broken + self.answered_before(target_id, broken_at), running_requests(), now
                )
        self.settle_survivals(now)
        if now >= self.expired_at + EXPIRY_INTERVAL_SECONDS:
            self.expired_at = now
            self.discard_expired(now)

    def discard_expired(self, now: float) -> None:
        """Remove old strikes and crashes."""
        self.discard_part_strikes(
            lambda _crash, connection: now > connection.broken_at + MAX_STRIKE_AGE_SECONDS
        )
        self.requests.discard_expired(now)
        self.crashes = [crash for crash in self.crashes if now <= crash.at + MAX_STRIKE_AGE_SECONDS]
        self.repeated_crashes &= {crash.number for crash in self.crashes}
        oldest = now - SURVIVAL_SECONDS - MAX_CONFIRMATION_SECONDS - RETRACTION_SECONDS
        self.crashed_at = {target_id: at for target_id, at in self.crashed_at.items() if at >= oldest}

    def answered_before(self, target_id: str, crashed_at: float) -> list[BrokenConnection]:
        """Return the requests that a target had answered completely just before it crashed."""
        return [
            BrokenConnection(target_id, survival.request, survival.parts, crashed_at, survival.at)
            for survival in self.survivals
            if survival.is_answer and is_caused_by(survival, target_id, crashed_at)
        ]

    def settle_survivals(self, now: float) -> None:
        """Apply the outputs and answers after which it is known whether the target has crashed."""
        undecided = []
        while self.survivals and now > self.survivals[0].at + SURVIVAL_SECONDS:
            survival = self.survivals.popleft()
            if survival.target_id in self.broken:
                undecided.append(survival)
                continue
            if is_caused_by(survival, survival.target_id, self.crashed_at.get(survival.target_id, -math.inf)):
                continue
            if survival.is_answer:
                self.clear(survival.parts)
                continue
            self.record_end(survival.request, survival.parts)
            for part in survival.parts & self.struck.keys():
                self.struck[part].sound.add(repeat_key(survival.request, survival.parts))
            for request in survival.parts & self.requests.struck.keys():
                self.requests.struck[request].sound.add(survival.request)
        self.survivals.extendleft(reversed(undecided))

    def record_crash(
        self, broken: list[BrokenConnection], running: dict[PartKey, set[RequestKey]], now: float
    ) -> None:
        """Strike the parts of the requests that may have caused the crash of a target."""
        if self.narrow_quarantines(broken, now):
            return
        crash = self.crash_of(broken[0])
        for connection in broken:
            self.strike(connection, crash)
        for part in running.keys() & self.struck.keys():
            self.struck[part].sound |= running[part]
        self.requests.note_unannounced(broken, crash, now)
        requests = {part for connection in broken for part in connection.parts if is_request(part)}
        self.quarantine_requests(requests, now)
        if not self.requests.has_unexplained(requests):
            self.quarantine_most_blamed(now)

    def record_earlier_break(self, connection: BrokenConnection) -> None:
        """Strike the parts of a request that was cut when another scheduler placed it.

        This alone quarantines nothing: the next answers clear parts that sound requests use as well, before a
        further crash shows that the others are deadly.
        """
        if any(quarantine.parts <= connection.parts for quarantine in self.quarantines):
            return
        self.strike(connection, self.crash_of(connection))

    def crash_of(self, connection: BrokenConnection) -> int:
        """Return the number of the crash that has broken a connection."""
        same = [crash for crash in self.crashes if crash.includes(connection)]
        if not same:
            self.crash_count += 1
        number = same[-1].number if same else self.crash_count
        if not any(crash.target_id == connection.target_id for crash in same):
            self.crashes.append(Crash(connection.target_id, connection.broken_at, number))
        return number

    def strike(self, connection: BrokenConnection, crash: int) -> None:
        """Strike the parts of a request for the crash with a number."""
        self.requests.strike(connection, crash)
        for part in connection.parts:
            if is_request(part):
                continue
            struck = self.struck.pop(part, None) or StruckPart()
            if len(self.struck) >= MAX_STRUCK_PARTS:
                del self.struck[next(iter(self.struck))]
            self.struck[part] = struck
            struck.add(connection, crash)

    def quarantine_requests(self, requests: set[PartKey], now: float) -> None:
        """Quarantine the requests of a crash that were open at enough of them, the most blamed first.

        The crashes of one no longer speak against the others.
        """
        while (request := self.requests.most_blamed(requests)) is not None:
            self.add(frozenset({request}), QUARANTINE_SECONDS, now)

    def quarantine_most_blamed(self, now: float) -> None:
        """Quarantine the part to which the crashes are due, with those that can't be told from it yet."""
        found = {
            part: struck
            for part, struck in self.struck.items()
            if struck.count >= SUSPECT_STRIKES
            and struck.blame >= LOW_BLAME
            and struck.explains(self.crash_count, self.repeated_crashes)
        }
        crashes = max(
            (len(struck.crashes) for struck in found.values() if struck.is_blamed), default=math.inf
        )
        # Others that explain as many crashes come along: a part that sound requests use as well would
        # otherwise hide the deadly one.
        parts = frozenset(part for part, struck in found.items() if len(struck.crashes) >= crashes)
        self.add(parts, QUARANTINE_SECONDS, now)

    def narrow_quarantines(self, broken: list[BrokenConnection], now: float) -> bool:
        """Apply a crash to the quarantines; return whether one of them explains it."""
        for quarantine in self.quarantines:
            if any(quarantine.parts <= connection.parts for connection in broken):
                if now >= quarantine.until:
                    seconds = min(2 * quarantine.seconds, MAX_QUARANTINE_SECONDS)
                    quarantine.until, quarantine.seconds = now + seconds, seconds
                    quarantine.crashes += 1
                    self.changed.append(quarantine)
                return True
        early_parts = frozenset().union(*(connection.parts for connection in broken if connection.is_early))
        for quarantine in self.quarantines:
            if quarantine.parts & early_parts:
                if not quarantine.parts <= early_parts:
                    quarantine.parts &= early_parts
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
        if quarantine.is_request:
            self.set_crashes_aside(quarantine)
            return True
        explained = {
            crash
            for part in parts
            if part in self.struck
            for connections in self.struck[part].strikes.values()
            for crash, connection in connections.items()
            if parts <= connection.parts
        }
        self.discard_strikes(lambda crash, _connection: crash in explained)
        return True

    def set_crashes_aside(self, quarantine: Quarantine) -> None:
        """Remove the strikes of other requests at the crashes of a quarantined one.

        Its prompt parts keep one strike, as one of them may be deadly in other requests as well.
        """
        (request,) = quarantine.parts
        struck = self.requests.struck.get(request)
        if struck is None:
            return
        crashes = struck.crashes
        connections = [connection for repeats in struck.strikes.values() for connection in repeats.values()]
        quarantine.crashes = len(crashes)
        quarantine.service = next(filter(None, (connection.service for connection in connections)), "")
        quarantine.customer = next(filter(None, (connection.customer for connection in connections)), "")
        first = min(crashes)
        self.repeated_crashes |= crashes - {first}
        self.requests.discard(lambda crash, _connection: crash in crashes)
        self.discard_part_strikes(
            lambda crash, connection: (
                crash in crashes and not (crash == first and request in connection.parts)
            )
        )

    def update(self, quarantines: Iterable[Quarantine], now: float) -> QuarantineUpdate:
        """Return quarantines as a message to other routers."""
        return QuarantineUpdate(
            tuple(
                QuarantineEntry(tuple(sorted(quarantine.parts)), round(max(0.0, quarantine.until - now), 3))
                for quarantine in quarantines
                if quarantine.parts
            )
        )

    def take_changes(self, now: float) -> QuarantineUpdate:
        """Return what is to be announced to the other routers, and forget that it is."""
        update = msgspec.structs.replace(self.update(self.changed, now), cleared=tuple(sorted(self.cleared)))
        self.changed, self.cleared = [], set()
        return update

    def take_strikes(self, now: float) -> list[BrokenAttempt]:
        """Return the strikes of requests that the schedulers of other pools do not know, as messages."""
        return [
            BrokenAttempt(
                connection.request[1],
                connection.service,
                connection.target_id,
                (),
                max(0.0, now - connection.broken_at),
                None
                if connection.output_at is None
                else max(0.0, connection.broken_at - connection.output_at),
                digest,
                connection.customer,
            )
            for connection in self.requests.take_unannounced(now)
            for _service, digest in filter(is_request, connection.parts)
        ]

    def apply(self, update: QuarantineUpdate, now: float) -> None:
        """Apply what another router has announced, which is not announced again."""
        changed, cleared = self.changed, self.cleared
        self.changed, self.cleared = [], set()
        for entry in update.entries:
            self.add(frozenset(entry.parts), min(entry.seconds, MAX_QUARANTINE_SECONDS), now)
        self.clear(frozenset(update.cleared))
        self.changed, self.cleared = changed, cleared


def shared_parts(service: str, parts: tuple[PromptPart, ...], digest: str = "") -> frozenset[PartKey]:
    """Return what a request has in common with others: all parts of its prompt but the last one, and its key.

    Without a digest there is no key.
    """
    return part_keys(service, (part.part_id for part in parts[:-1]), digest)


def part_keys(service: str, part_ids: Iterable[str], digest: str) -> frozenset[PartKey]:
    """Return the keys of prompt parts, and that of the request if it has a digest."""
    keys = {(service, part_id) for part_id in part_ids}
    if digest:
        keys.add(request_part(digest))
    return frozenset(keys)
