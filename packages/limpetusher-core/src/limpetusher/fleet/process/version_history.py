"""Targets that could begin streams, and the software version that a stream has by its identifier.

While targets of several versions are in service, the identifier of a new stream names the version that
begins it: that of the target with the highest hash. A router that knows which targets were in service when
the stream may have begun finds the version again, although all routers have lost their state since.
"""

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from limpetusher.fleet.messages import VersionUpdate
from limpetusher.fleet.process.wall_clocks import MIN_HOSTS, WallClocks
from limpetusher.fleet.version.routing import stable_hash

MIN_FOLLOWED_SECONDS = 1.0
"""Time from which on a router tells others what it has seen. In the start of a whole fleet it knows no more
than they do, and is spared a message to each of them."""
MAX_AGE_SECONDS = 60.0
"""Time for which it is kept when targets were in service; longer than callers wait."""
STATES_STEP_SECONDS = 0.25
"""Step to which the begins of streams are rounded, to find the states of the list once for each. That
takes 2 ms for 100 targets with 100 changes, and hundreds of streams are taken up in a second."""
MAX_FOUND_STATES = 128
"""Maximum number of times for which the states of the list are kept."""
RETURN_FRACTION = 0.5
"""Part of the time in which a restored store settles, after which targets that it has lost are back."""


@dataclass(slots=True)
class TargetSpan:
    """Time in which a target with one software version could begin streams, by the monotonic clock.

    Service and version are None for a target of which nothing but its removal is known.
    """

    target_id: str
    service: str | None
    version: str | None
    since: float
    until: float = math.inf
    born: float = -math.inf
    """Wall-clock time at which the target started, infinite if it is not known; another one may have had its
    identifier before."""
    data_centre: str = ""


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """Entry of a target in the history of the store; its removal has no service."""

    target_id: str
    revision: int
    is_first: bool = False
    """Whether the target had no entry before."""
    service: str = ""
    version: str = ""
    is_ready: bool = False
    """Whether the target could begin streams from then on."""
    born: float = math.inf
    """Wall-clock time at which the target started, infinite if it is not known."""


@dataclass(frozen=True, slots=True)
class Presence:
    """States of the list of targets in which a target could begin streams, as bits in their order.

    In a state of `possible` that is not one of `certain`, it may have been able to or not.
    """

    target_id: str
    versions: tuple[tuple[str | None, str | None], ...]
    """Service and version that it may have had, None for unknown ones."""
    possible: int
    certain: int = 0

    def shifted(self, count: int) -> "Presence":
        """Return the same after `count` other states."""
        return Presence(self.target_id, self.versions, self.possible << count, self.certain << count)


@dataclass(frozen=True, slots=True)
class TargetStates:
    """Successive states of the list of targets within a time."""

    count: int
    presences: tuple[Presence, ...]
    is_by_retention: bool = False
    """Whether the first state is known by the retention time alone. If the store has discarded its history
    early, the targets that a service had may have left without a trace."""
    by_service: dict[str, tuple[Presence, ...]] = field(default_factory=dict, compare=False, repr=False)
    """Presences of targets that may have been of a service, kept for the next streams."""

    def of_service(self, service: str) -> tuple[Presence, ...]:
        """Return the presences of targets that may have been of a service in some state."""
        if service not in self.by_service:
            self.by_service[service] = tuple(
                presence
                for presence in self.presences
                if presence.possible and any(owner in (None, service) for owner, _ in presence.versions)
            )
        return self.by_service[service]

    def followed_by(self, other: "TargetStates") -> "TargetStates":
        """Return these states and later ones."""
        later = (presence.shifted(self.count) for presence in other.presences)
        return TargetStates(self.count + other.count, (*self.presences, *later), self.is_by_retention)

    def versions(self, service: str, stream: int) -> set[str | None]:
        """Return the versions at which a stream of a service may have begun in any of the states.

        In each state that is the version of the target with the highest hash. Without an identifier (0), any
        target may have begun the stream.
        """
        presences = self.of_service(service)
        found: set[str | None] = set()
        if self.is_by_retention and not any(presence.possible & 1 for presence in presences):
            found.add(None)
        if not stream:
            versions = (pair for presence in presences for pair in presence.versions)
            return found | {version for owner, version in versions if owner in (None, service)}
        names = {presence.target_id for presence in presences}
        ranks = {name: stream_rank(stream, name) for name in names}
        presences = sorted(presences, key=lambda presence: ranks[presence.target_id], reverse=True)
        open_states = bits(0, self.count)
        for presence in presences:
            if not open_states:
                break
            if presence.possible & open_states:
                found |= {version for owner, version in presence.versions if owner in (None, service)}
                if len(presence.versions) == 1:
                    open_states &= ~presence.certain
        return found


def bits(first: int, end: int) -> int:
    """Return a number whose bits from `first` up to but without `end` are set."""
    return (1 << max(first, end)) - (1 << first)


@dataclass(frozen=True, slots=True)
class ListedTarget:
    """Target that was listed when a router started."""

    span: TargetSpan
    is_draining: bool = False
    is_interrupted: bool = False
    """Whether it may not have been in service before, as its data centre was evacuated."""

    def presence(self, changes: "StoreHistory", count: int, clocks: WallClocks) -> Presence | None:
        """Return the presence of a target in the states since some changes, none of which are its own."""
        span = self.span
        states = bits(0, count)
        versions = ((span.service, span.version),)
        if self.is_draining:
            # It has drained before the changes, unless the store has discarded some of them too early.
            return Presence(span.target_id, versions, states) if changes.is_by_retention else None
        if clocks.latest_time(span.born, min_hosts=1) > changes.since_time:
            return Presence(span.target_id, (*versions, (None, None)), states)
        is_evacuated = any(name == span.data_centre for name, _revision in changes.evacuations)
        is_certain = not (is_evacuated or self.is_interrupted)
        return Presence(span.target_id, versions, states, states if is_certain else 0)


@dataclass(frozen=True, slots=True)
class StoreHistory:
    """Changes of the store after a revision, in their order."""

    after: int
    entries: tuple[TargetEntry, ...] = ()
    evacuations: tuple[tuple[str, int], ...] = ()
    """Data centres that were evacuated or taken back into service, each with the revision of the change."""
    known_times: tuple[tuple[int, float], ...] = ()
    """Revisions, each with a monotonic time by which the store had it. The changes themselves tell none."""
    written: tuple[tuple[int, float], ...] = ()
    """Revisions, each with the wall-clock time at which its target wrote it."""
    retained_since: float = math.inf
    """Monotonic time since which the store should have retained all changes, by its settings."""
    registrations: tuple[tuple[int, float], ...] = ()
    """Revisions at which the present targets were registered, each with the wall-clock time of their start,
    infinite if it is not known."""
    settling_seconds: float = 0.0
    """Time in which a restored store shows again what it has lost, 0 if it was never restored."""
    since_time: float = -math.inf
    """Time since which these are the changes."""
    is_by_retention: bool = False
    """Whether nothing but the store's retention time shows that no change since then is missing."""

    def since(self, time: float, clocks: WallClocks) -> "StoreHistory | None":
        """Return the changes since a time, None if not all of them are known."""
        shown = [
            revision for revision, known_at in self.known_times if known_at <= time and revision >= self.after
        ]
        shown += [
            revision
            for revision, wall in self.written
            if revision >= self.after and clocks.latest_time(wall) <= time
        ]
        if not shown and (self.retained_since > time or self.is_cut_short(clocks)):
            return None
        after = max(shown, default=self.after)
        return StoreHistory(
            after,
            tuple(entry for entry in self.entries if entry.revision > after),
            tuple(change for change in self.evacuations if change[1] > after),
            since_time=time,
            is_by_retention=not shown,
        )

    def is_cut_short(self, clocks: WallClocks) -> bool:
        """Return whether the store has discarded a later registration than it should have by its settings.

        A target is registered at or after its start. The own clock alone is enough to doubt the history.
        """
        return any(
            revision <= self.after and clocks.latest_time(born, min_hosts=1) > self.retained_since
            for revision, born in self.registrations
        )

    def entries_by_target(self) -> dict[str, list[TargetEntry]]:
        """Return the entries of each target in their order."""
        by_target: dict[str, list[TargetEntry]] = {}
        for entry in self.entries:
            by_target.setdefault(entry.target_id, []).append(entry)
        return by_target

    def states(
        self, changes: "StoreHistory", listed: Iterable[ListedTarget], clocks: WallClocks
    ) -> TargetStates:
        """Return the states of the list of targets since some of the changes began.

        Parameters
        ----------
        changes
            The latest of the changes, those since a time.
        listed
            Targets that were listed after all changes.
        clocks
            Clocks by which the starts of targets are dated.
        """
        indices = {entry.revision: index for index, entry in enumerate(changes.entries, start=1)}
        count = len(indices) + 1
        by_target = self.entries_by_target()
        found = [
            target.presence(changes, count, clocks)
            for target in listed
            if target.span.target_id not in by_target
        ]
        for target_id, entries in by_target.items():
            later = [entry for entry in entries if entry.revision > changes.after]
            ends = [indices[entry.revision] for entry in later] + [count]
            found.append(presence_before(target_id, entries, changes, ends[0], clocks))
            for entry, end in zip(later, ends[1:], strict=True):
                states = bits(indices[entry.revision], end)
                if entry.is_ready and entry.service:
                    found.append(Presence(target_id, ((entry.service, entry.version),), states, states))
        return TargetStates(
            count, tuple(presence for presence in found if presence is not None), changes.is_by_retention
        )


def presence_before(
    target_id: str, entries: list[TargetEntry], changes: StoreHistory, count: int, clocks: WallClocks
) -> Presence | None:
    """Return the presence of a target in the states before its first entry among some changes.

    None is returned if it could begin no streams then.
    """
    states = bits(0, count)
    earlier = [entry for entry in entries if entry.revision <= changes.after]
    if earlier:
        entry = earlier[-1]
        if not entry.is_ready or not entry.service:
            return None
        return Presence(target_id, ((entry.service, entry.version),), states, states)
    first = entries[0]
    if first.is_first:
        return None
    versions = tuple({(entry.service, entry.version) for entry in entries if entry.service})
    if not versions or clocks.latest_time(first.born) > changes.since_time:
        # What the target was before is not known; of one that was removed, not even its service.
        versions = (*versions, (None, None))
    return Presence(target_id, versions, states)


class VersionHistory:
    """Targets that could begin streams, and since when that is known."""

    def __init__(self):
        self.known_since = math.inf
        """Time since which all targets are known that could begin streams."""
        self.known_until = -math.inf
        """Time until which they are known, as the store has confirmed. Targets that are not listed may have
        been in service since."""
        self.followed_since = math.inf
        """Time since which this router has seen the changes of targets itself."""
        self.told_since = math.inf
        """Time since which another router has known all versions, as it has told at the start of this one."""
        self.told_versions: dict[str, set[str]] = {}
        self.history: StoreHistory | None = None
        """Changes of the store before the start of this router, None if they are not known."""
        self.clocks = WallClocks()
        self.draining_at_start: list[TargetSpan] = []
        """Targets that were draining when this router started."""
        self.present: dict[str, TargetSpan] = {}
        self.past: list[TargetSpan] = []
        self.changed_at = -math.inf
        """When the targets last changed, as seen by this router."""
        self.found_states: dict[tuple, TargetStates | None] = {}
        """States of the list by what they were found for, until the targets change."""
        self.evacuations_changed_at: dict[str, float] = {}
        """When each data centre was last evacuated or taken back into service."""
        self.evacuated: set[str] = set()

    def start(self, now: float, *, is_first_start: bool = False) -> None:
        """Begin to follow the targets. No stream has begun before the first start of the whole fleet."""
        self.known_since = -math.inf if is_first_start else now
        self.followed_since = now

    def confirm(self, until: float) -> None:
        """Record that the list holds all that the store had at a time."""
        self.known_until = max(self.known_until, until)

    def restart(self, now: float) -> None:
        """Begin anew to follow the targets, after changes that were not seen."""
        self.known_since = self.followed_since = now
        self.told_since = math.inf
        self.told_versions = {}
        self.history = None

    def observe(
        self,
        target_id: str,
        service: str,
        version: str,
        data_centre: str,
        now: float,
        *,
        born: float = -math.inf,
    ) -> None:
        """Record that a target can begin streams."""
        span = self.present.get(target_id)
        if span is not None and (span.service, span.version) == (service, version):
            return
        self.end(target_id, now)
        self.record_change(now)
        self.present[target_id] = TargetSpan(
            target_id, service, version, now, born=born, data_centre=data_centre
        )

    def note_draining(self, target_id: str, service: str, version: str, now: float) -> None:
        """Record that a target drains. Before the start it may have begun streams until lately."""
        if self.known_since == math.inf:
            self.record_change(now)
            self.draining_at_start.append(TargetSpan(target_id, service, version, -math.inf))
        self.end(target_id, now)

    def end(self, target_id: str, now: float) -> None:
        """Record that a target can begin no more streams."""
        span = self.present.pop(target_id, None)
        if span is not None:
            self.record_change(now)
            span.until = now
            kept = [earlier for earlier in self.past if now < earlier.until + MAX_AGE_SECONDS]
            if len(kept) < len(self.past):
                self.known_since = max(self.known_since, now - MAX_AGE_SECONDS)
            self.past = [*kept, span]

    def record_change(self, now: float) -> None:
        """Record that the targets have changed."""
        self.changed_at = max(self.changed_at, now)
        self.found_states.clear()

    def note_evacuation(self, data_centre: str, is_evacuated: bool, now: float) -> None:
        """Record that a data centre was evacuated or taken back into service."""
        self.record_change(now)
        self.evacuations_changed_at[data_centre] = now
        if is_evacuated:
            self.evacuated.add(data_centre)
        else:
            self.evacuated.discard(data_centre)

    def recent_versions(self, service: str, now: float) -> set[str]:
        """Return the versions of the targets of a service that could lately begin streams."""
        return {
            span.version
            for span in (*self.present.values(), *self.past)
            if span.service == service and now <= span.until + MAX_AGE_SECONDS
        }

    def is_informed(self, now: float) -> bool:
        """Return whether this router has followed the targets for long enough to tell others of them."""
        return now >= self.followed_since + MIN_FOLLOWED_SECONDS

    def update(self, services: Iterable[str], now: float) -> VersionUpdate:
        """Return which versions were lately in service, for a router that starts."""
        known_seconds = min(max(0.0, now - self.known_since), MAX_AGE_SECONDS)
        return VersionUpdate(
            known_seconds,
            tuple((service, tuple(sorted(self.recent_versions(service, now)))) for service in services),
        )

    def apply(self, message: VersionUpdate, now: float) -> None:
        """Record which versions another router knows to have been in service.

        One that knows more of the past may not have seen a version that others have.
        """
        self.told_since = min(self.told_since, now - message.known_seconds)
        for service, versions in message.versions:
            self.told_versions.setdefault(service, set()).update(versions)

    def possible_versions(self, service: str, stream: int, since: float, until: float) -> set[str | None]:
        """Return the versions that a stream may have that has begun between two times.

        A target that could only begin streams for a part of the time may have been the one with the highest
        hash or not. Without an identifier (0), any target may have begun the stream. The set contains None
        for a target of an unknown version. It is empty if it is not known which targets could begin streams.
        """
        told = self.told_versions.get(service)
        if told and self.told_since <= since < self.known_since:
            versions = told | self.recent_versions(service, until)
            if len(versions) == 1:
                return versions
        states = self.states_between(since, until)
        return states.versions(service, stream) if states is not None else set()

    def known_versions(self, service: str, since: float, now: float) -> set[str | None]:
        """Return all versions that are known to have been in service, however long ago.

        It contains None for an unknown one, and is empty if those since a time are not all known.
        """
        states = self.states_between(since, now)
        if states is None:
            return set()
        # Callers may wait for longer than the time for which versions count as recent.
        versions: set[str | None] = states.versions(service, 0) | self.recent_versions(service, now)
        if now < self.known_since + MAX_AGE_SECONDS:
            versions |= self.told_versions.get(service, set())
            versions |= {span.version for span in self.draining_at_start if span.service == service}
            entries = self.history.entries if self.history is not None else ()
            versions |= {entry.version for entry in entries if entry.service == service}
            first_entries = {entry.target_id: entry for entry in reversed(entries)}
            if not all(entry.service for entry in first_entries.values()):
                # Of a target whose removal alone is known, it may have been of any service.
                versions.add(None)
        return versions

    def states_between(self, since: float, until: float) -> TargetStates | None:
        """Return the states of the list of targets between two times, None if they are not known.

        They are kept for other streams, as many are taken up at once after the loss of routers; `since` is
        therefore rounded down.
        """
        rounded = since - since % STATES_STEP_SECONDS if math.isfinite(since) else since
        since = max(rounded, self.known_since) if since >= self.known_since else rounded
        until = min(until, max(self.changed_at, since))
        offsets = (round(self.clocks.offset(hosts), 1) for hosts in (MIN_HOSTS, 1))
        key = (since, until, self.known_since, id(self.history), self.settled_fraction, *offsets)
        if key not in self.found_states:
            if len(self.found_states) >= MAX_FOUND_STATES:
                self.found_states.clear()
            self.found_states[key] = self.find_states(since, until)
        return self.found_states[key]

    def find_states(self, since: float, until: float) -> TargetStates | None:
        """Determine the states of the list of targets between two times, None if they are not known."""
        if since >= self.known_since:
            return self.states_seen(since, until)
        changes = self.history.since(since, self.clocks) if self.history is not None else None
        if changes is None:
            return None
        if changes.is_by_retention and self.history.settling_seconds:
            return self.states_around_restore(changes, until)
        seen = self.states_seen(self.known_since, max(until, self.known_since))
        return self.history.states(changes, self.listed_at_start(), self.clocks).followed_by(seen)

    def listed_at_start(self) -> list[ListedTarget]:
        """Return the targets that were listed when this router started."""
        listed = [
            ListedTarget(span, is_interrupted=not self.is_in_service(span, self.known_since))
            for span in (*self.present.values(), *self.past)
            if span.since <= self.known_since
        ]
        return listed + [ListedTarget(span, is_draining=True) for span in self.draining_at_start]

    @property
    def settled_fraction(self) -> float:
        """Return 1 if a restored store has settled since the start of this router, less otherwise."""
        seconds = self.history.settling_seconds if self.history is not None else 0.0
        settled = (self.known_until - self.known_since) / seconds if seconds else 1.0
        return next((fraction for fraction in (1.0, RETURN_FRACTION) if settled >= fraction), 0.0)

    def states_around_restore(self, changes: StoreHistory, until: float) -> TargetStates | None:
        """Return the state of the list over a time in which the store may have been restored.

        The history of a restored store begins with the copy, which lacks the changes that were lost with the
        restore. The targets that these concern change again until the store has settled, which may be after
        the start of this router. So a target is certain only if it does not change until then, and any other
        that is listed by then may have been able to begin streams.
        """
        if not self.settled_fraction:
            return None
        until = max(until, self.known_since + self.history.settling_seconds)
        certain = set()
        versions: defaultdict[str, set[tuple[str | None, str | None]]] = defaultdict(set)
        for span in (*self.present.values(), *self.past):
            if span.since <= until:
                versions[span.target_id].add((span.service, span.version))
        for target in self.listed_at_start():
            presence = target.presence(changes, 1, self.clocks)
            versions[presence.target_id].update(presence.versions)
            if presence.certain and target.span.until > until:
                certain.add(presence.target_id)
        for target_id, entries in changes.entries_by_target().items():
            certain.discard(target_id)
            known = versions[target_id]
            known.update((entry.service, entry.version) for entry in entries if entry.service)
            before = presence_before(target_id, entries, changes, 1, self.clocks)
            known.update(before.versions if before is not None else ())
            if not known:
                known.add((None, None))
        is_settled = self.settled_fraction == 1.0
        return TargetStates(
            1,
            tuple(
                Presence(target_id, tuple(known), 1, int(is_settled and target_id in certain))
                for target_id, known in versions.items()
            ),
        )

    def states_seen(self, since: float, until: float) -> TargetStates:
        """Return the same for times since when this router has known all targets.

        Changes that were seen at the same time may have come in any order, so that there are two states for
        each such time: one in which none of the targets that change is certain, and the one afterwards.
        """
        spans = [
            span
            for span in (*self.present.values(), *self.past)
            if span.since <= until and since <= span.until
        ]
        times = {at for span in spans for at in (span.since, span.until) if since < at <= until}
        indices = {at: 2 * index for index, at in enumerate((since, *sorted(times)))}
        count = 2 * len(indices)
        presences = []
        for span in spans:
            first = indices[max(span.since, since)]
            last = indices.get(span.until, count)
            is_old = span.since < since or span.since <= self.known_since
            is_certain = self.is_in_service(span, since)
            presences.append(
                Presence(
                    span.target_id,
                    ((span.service, span.version),),
                    bits(first, min(last + 1, count)),
                    bits(first if is_old else first + 1, last) if is_certain else 0,
                )
            )
        return TargetStates(count, tuple(presences))

    def is_in_service(self, span: TargetSpan, since: float) -> bool:
        """Return whether the data centre of a target was neither evacuated nor taken back since a time."""
        changed_at = self.evacuations_changed_at.get(span.data_centre, -math.inf)
        return span.data_centre not in self.evacuated and changed_at <= since


def stream_rank(stream: int, target_id: str) -> int:
    """Return the hash by which the identifier of a stream names a target."""
    return stable_hash(f"{stream:x}", target_id)


def version_by_identifier(stream: int, versions: Iterable[tuple[str, str]]) -> str | None:
    """Return the version that begins a stream, None if all targets have the same.

    `versions` are the targets that can begin streams, each with its version.
    """
    by_target = dict(versions)
    if len(set(by_target.values())) < 2:
        return None
    return by_target[max(by_target, key=lambda target_id: stream_rank(stream, target_id))]
