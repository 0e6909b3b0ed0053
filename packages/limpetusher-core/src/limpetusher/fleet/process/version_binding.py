"""Software version that has to run a request, and the requests that wait until it can be determined.

A caller that takes a stream up again must get the rest of it from the version that began it. What the list
of targets does not hold decides only once the store has confirmed the list.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from limpetusher.fleet.messages import UNNAMED_STREAM, TargetQuery
from limpetusher.fleet.model import Pool, QueuedRequest
from limpetusher.fleet.process.caller_waits import CallerWaits
from limpetusher.fleet.process.placement import Placement
from limpetusher.fleet.process.pools import Pools
from limpetusher.fleet.process.stream_versions import StreamRecord, StreamVersions
from limpetusher.fleet.process.target_contacts import TargetContacts
from limpetusher.fleet.process.version_history import VersionHistory, version_by_identifier
from limpetusher.fleet.request.waiting_requests import (
    MIN_RETRY_AFTER_SECONDS,
    TARGETS_UNCONFIRMED,
    VERSION_LEFT,
    VERSION_UNKNOWN,
    RefusalDecision,
)

BASIS_ROUTER = "router"
BASIS_SCHEDULER = "scheduler"
BASIS_IDENTIFIER = "identifier"
BASIS_ONLY_VERSION = "only version"
BASIS_OTHER_SERVICE = "other service"
MAX_VIEW_LAG_SECONDS = 0.6
"""Time by which the list of targets at another router may lag behind the store."""
MAX_CONFIRMATION_WAIT_SECONDS = 0.4
"""Time for which a request waits for the store to confirm the list of targets. A slow store takes 0.2 s."""
MAX_ARRIVAL_SECONDS = 0.1
"""Time that a request may take from its caller to the scheduler. A stream that has begun by that much before
the first request of its pool may be that of this request."""
UNCONFIRMED_RETRY_SECONDS = 0.5
"""Time after which a caller may come back that is refused for want of a confirmation; another router may know
the version at once."""


@dataclass(frozen=True, slots=True)
class HeldQuery:
    """Query of a request that waits until the list of targets is confirmed."""

    message: TargetQuery
    received_at: float


class VersionBinding:
    """Binds requests to the software version that has to run them.

    Parameters
    ----------
    placement
        State of the targets.
    pools
        Pools of the services.
    """

    def __init__(self, placement: Placement, pools: Pools):
        self.placement = placement
        self.pools = pools
        self.streams = StreamVersions()
        self.versions = VersionHistory()
        self.waits = CallerWaits()
        self.contacts = TargetContacts()
        self.held: dict[tuple[str, str], HeldQuery] = {}
        """Queries that wait until the list of targets is confirmed, by router and request identifier."""
        self.scheduled_since: dict[Pool, float] = {}
        """When this router began to schedule each pool, since it was last scheduled by another one."""
        self.listed_at: dict[Pool, float] = {}
        """When the list of targets was first known to hold all that were in service at those times."""
        self.bound_generation = -1
        """Generation of the targets by which the waiting requests are bound."""
        self.bound_targets: dict[str, list[tuple[str, str]]] = {}
        """Targets by service that could begin streams then, each with its software version."""

    @property
    def confirmation_needed_at(self) -> float | None:
        """Return the latest time as of which the list of targets has to be confirmed, None if there is none.

        It is that of the last request that is held, or at which this router began to schedule a pool.
        """
        times = [since for pool, since in self.scheduled_since.items() if pool not in self.listed_at]
        if self.held:
            times.append(next(reversed(self.held.values())).received_at)
        return max(times, default=None)

    def record_scheduling(self, pool: Pool, now: float) -> None:
        """Record that this router schedules a pool."""
        self.scheduled_since.setdefault(pool, now)

    def release_pools(self, now: float) -> None:
        """Forget since when this router has scheduled the pools that it does not schedule any more."""
        own = self.pools.members.own.address
        for pool in list(self.scheduled_since):
            if self.pools.scheduler(pool, now) != own or pool not in self.pools.for_service(pool.service):
                del self.scheduled_since[pool]
                self.listed_at.pop(pool, None)

    def unknown_until(self, pool: Pool, now: float) -> float:
        """Return until when a stream may have begun of which this router does not know.

        From then on, this router has scheduled all pools of the service by a confirmed list. Other schedulers
        tell of the streams that they begin, but may be killed before, or not know of this router yet.
        """
        own = self.pools.members.own.address
        pools = {pool, *self.pools.for_service(pool.service)}
        if any(self.pools.scheduler(other, now) != own for other in pools):
            return now
        members = self.pools.members
        if members.may_be_divided(self.scheduled_since[pool], now):
            return now
        listed_at = max(self.listed_at.get(other, now) for other in pools)
        return min(now, max(listed_at, members.others_alone_until(), self.streams.dropped_until))

    def lacks_confirmation(self, query: HeldQuery, now: float) -> bool:
        """Return whether a request depends on what an unconfirmed list of targets does not hold.

        A stream may have begun at a target that has been registered since the list was last confirmed.
        """
        message = query.message
        if self.versions.known_until >= query.received_at or (
            not message.resumes and message.version is None
        ):
            return False
        version = message.version
        if version is None:
            record = self.streams.find(message.resumes, now)
            origin = record.origin_at(message.service) if record is not None else None
            if record is None or (origin is None and not self.is_whole(record, query, now)):
                return True
            if origin is None or origin.version is None:
                return False
            version = origin.version
        pool = Pool(message.service)
        if not self.placement.has_listed_version(pool, version):
            return True
        return self.lacks_proof(self.unproven_targets(query, pool, version, now), query, pool, version)

    def unproven_targets(self, query: HeldQuery, pool: Pool, version: str, now: float) -> set[str]:
        """Return the targets of a version that may have restarted with another one unnoticed.

        While this router is in contact with the store or other routers, it learns of that.
        """
        in_contact_until = self.pools.members.in_contact_until(now)
        if in_contact_until == math.inf or self.versions.known_until >= query.received_at:
            return set()
        listed_until = max(in_contact_until - MAX_VIEW_LAG_SECONDS, self.versions.known_until)
        streams = (query.message.resumes, query.message.stream)
        return {
            target.target_id
            for target in self.placement.targets_of(pool)
            if target.version == version
            and not self.contacts.is_proven(target.target_id, streams, listed_until, now)
        }

    def lacks_proof(self, unproven: set[str], query: HeldQuery, pool: Pool, version: str) -> bool:
        """Return whether no target of a version is left for a request without the unproven ones."""
        if not unproven:
            return False
        left_out = {*unproven, *query.message.excluded}
        return not any(
            target.version == version
            and target.target_id not in left_out
            and self.placement.is_listed(target)
            for target in self.placement.targets_of(pool)
        )

    def earliest_begin(self, query: HeldQuery) -> float:
        """Return the earliest time at which the stream may have begun that a caller takes up."""
        message = query.message
        longest = self.waits.longest_wait(message.goal_seconds, message.caller_seconds)
        return query.received_at + message.caller_seconds - longest

    def is_whole(self, record: StreamRecord, query: HeldQuery, now: float) -> bool:
        """Return whether a record names all services of which a stream may hold events.

        A router out of contact may have added some since the stream began.
        """
        return record.is_whole and not self.pools.members.may_be_divided(self.earliest_begin(query), now)

    def confirm(self, confirmed_at: float, now: float) -> None:
        """Record that the list holds all targets of a time."""
        self.versions.confirm(confirmed_at)
        for pool, since in self.scheduled_since.items():
            if since <= confirmed_at:
                self.listed_at.setdefault(pool, now)

    def take_due(self, now: float) -> list[tuple[str, HeldQuery]]:
        """Remove the held queries that need no confirmation any more or have waited for long enough.

        They are returned with the addresses of their routers.
        """
        due = []
        for (client, request_id), query in list(self.held.items()):
            is_overdue = now >= query.received_at + MAX_CONFIRMATION_WAIT_SECONDS
            if is_overdue or not self.lacks_confirmation(query, now):
                del self.held[client, request_id]
                due.append((client, query))
        return due

    def withdraw(self, client: str, request_id: str, attempt: int) -> None:
        """Drop the held query of an attempt that its router has withdrawn."""
        query = self.held.get((client, request_id))
        if query is not None and query.message.attempt == attempt:
            del self.held[client, request_id]

    def held_by(self, client: str) -> set[str]:
        """Return the identifiers of the requests of a router that are held."""
        return {request_id for address, request_id in self.held if address == client}

    def bind_again(self, waiting: Iterable[QueuedRequest]) -> None:
        """Bind those requests anew whose version follows from the targets in service, if these have changed.

        A request that came when all targets had one version would otherwise go to any, and its stream would
        later be taken for one of the version that its identifier names.
        """
        if self.placement.generation == self.bound_generation:
            return
        self.bound_generation = self.placement.generation
        previous, self.bound_targets = self.bound_targets, {}
        for request in waiting:
            if not request.begins_stream and request.version_basis != BASIS_OTHER_SERVICE:
                continue
            service = request.pool.service
            if service not in self.bound_targets:
                self.bound_targets[service] = self.placement.stream_versions(service)
            targets = self.bound_targets[service]
            if targets == previous.get(service):
                continue
            request.version, request.version_basis = named_version(request, targets)

    def refuse(self, query: HeldQuery, request: QueuedRequest, now: float) -> RefusalDecision | None:
        """Bind a request to the version that began its stream, or return the refusal if that is not possible.

        What another version writes must not be joined to the stream, so that a version is never guessed.
        """
        if self.lacks_confirmation(query, now):
            request.version = query.message.version
            return RefusalDecision(request, TARGETS_UNCONFIRMED, UNCONFIRMED_RETRY_SECONDS, 0.0)
        request.version, request.version_basis = self.determine_version(query, request, now)
        if request.version is None:
            if not query.message.resumes or request.version_basis == BASIS_OTHER_SERVICE:
                return None
            return RefusalDecision(request, VERSION_UNKNOWN, MIN_RETRY_AFTER_SECONDS, 0.0)
        if not self.placement.has_listed_version(request.pool, request.version):
            return RefusalDecision(request, VERSION_LEFT, MIN_RETRY_AFTER_SECONDS, 0.0)
        if request.version_basis in (BASIS_ROUTER, BASIS_SCHEDULER):
            request.excluded |= self.unproven_targets(query, request.pool, request.version, now)
        return None

    def determine_version(
        self, query: HeldQuery, request: QueuedRequest, now: float
    ) -> tuple[str | None, str]:
        """Return the version that has to run a request, None if any may or if it is unknown, and the basis.

        A new stream is bound to the version that its identifier names, by which the version is found again.
        """
        message = query.message
        if message.version is not None:
            return message.version, BASIS_ROUTER
        if request.begins_stream:
            return named_version(request, self.placement.stream_versions(message.service))
        if not message.resumes:
            return None, ""
        record = self.streams.find(message.resumes, now)
        origin = record.origin_at(message.service) if record is not None else None
        if origin is not None:
            return origin.version, BASIS_SCHEDULER
        if record is not None and self.is_whole(record, query, now):
            # Nothing of this service was sent yet; the identifier names the version as for a new stream.
            return named_version(request, self.placement.stream_versions(message.service))
        earliest_begin = self.earliest_begin(query)
        # A router out of contact begins streams by the list that it had when it was last heard.
        since = self.pools.members.divided_since(earliest_begin, now) - MAX_VIEW_LAG_SECONDS
        scheduled_since = self.scheduled_since[request.pool]
        stated = self.waits.stated_wait(message.goal_seconds, message.caller_seconds)
        begun_at = max(earliest_begin, query.received_at + message.caller_seconds - stated)
        is_begin_known = record is not None and record.is_whole
        should_be_known = not is_begin_known and begun_at > scheduled_since - MAX_ARRIVAL_SECONDS
        if should_be_known:
            # This scheduler would know the stream unless a router out of contact has begun it by an old list.
            versions = self.versions.known_versions(message.service, since, now)
            return versions.pop() if len(versions) == 1 else None, BASIS_ONLY_VERSION
        versions = self.versions.possible_versions(message.service, 0, since, now)
        if len(versions) == 1:
            return versions.pop(), BASIS_ONLY_VERSION
        if message.resumes == UNNAMED_STREAM:
            return None, ""
        until = self.unknown_until(request.pool, now)
        versions = self.versions.possible_versions(message.service, message.resumes, since, until)
        return versions.pop() if len(versions) == 1 else None, BASIS_IDENTIFIER


def named_version(request: QueuedRequest, targets: list[tuple[str, str]]) -> tuple[str | None, str]:
    """Return the version that the identifier of a stream without events of a service names, and the basis.

    `targets` are those of the service that can begin streams, each with its version.
    """
    if not request.begins_stream:
        return version_by_identifier(request.resumes, targets), BASIS_OTHER_SERVICE
    version = version_by_identifier(request.stream, targets)
    return version, "" if version is None else BASIS_IDENTIFIER
