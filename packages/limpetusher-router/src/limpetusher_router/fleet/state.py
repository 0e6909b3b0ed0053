"""State of the fleet as one router knows it: configuration, targets, members and open requests."""

import contextlib
import logging
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import replace

from limpetusher.clock import Clock
from limpetusher.errors import ConfigurationError
from limpetusher.events import Event
from limpetusher.fleet.messages import UNKNOWN_LOAD, MemberEntry, Message, RateLimitNotice
from limpetusher.fleet.model import FleetConfiguration, Route, Target
from limpetusher.fleet.process.load_shedding import spare_capacity_of_others
from limpetusher.fleet.process.members import Members
from limpetusher.fleet.process.placement import Placement
from limpetusher.fleet.process.pools import Pools
from limpetusher.fleet.process.prompt_quarantine import Quarantine, shared_parts
from limpetusher.fleet.process.scheduler import Scheduler
from limpetusher.fleet.process.stream_versions import StreamOrigin
from limpetusher.fleet.process.target_health import TargetHealth
from limpetusher.fleet.process.version_history import StoreHistory, TargetEntry
from limpetusher.fleet.process.wall_clocks import CLOCK_DIFFERENCE_SECONDS
from limpetusher.fleet.request.scheduler_client import SchedulerClient, TargetRequest
from limpetusher.fleet.settings import FleetSettings
from limpetusher.fleet.version.mirror import Change, StoreMirror, describe_revision, generation_of, number_of
from limpetusher.fleet.version.routing import RouteTable
from limpetusher_router.fleet.store_copy import ConfigurationInForce
from limpetusher_router.platform import names
from limpetusher_router.platform.documents import decode_configuration, decode_target
from limpetusher_router.platform.settings_file import HostSettings
from limpetusher_router.platform.store import HistoryItem
from limpetusher_router.process.logs import log_event

RECENT_STORE_FAILURE_SECONDS = 3.0
"""Age of the last store failure up to which a removed entry may only have expired, as targets could not renew
it: three heartbeats."""
TARGET_HOLD_SECONDS = 1.5
"""How long a target whose entry may only have expired is still used. Such entries are removed some time
after the store has recovered, and are back within about two seconds of the recovery. A target that has left
must get no requests later than 2 s after its entry was removed, which leaves 0.5 s for those in transit."""
MILLISECONDS_PER_SECOND = 1_000.0
LOST_ENTRY_SECONDS = 2.5
"""How long an entry stays in force that a restored store has lost. Targets write their entries again within
about two seconds of the store's return."""
HEARTBEAT_DELAY_SECONDS = 0.6
"""Time by which a heartbeat of a target may be late in the store."""
OUTDATED_ENTRY_HEARTBEATS = 5
"""How long an older entry of a restored store is not applied, in heartbeats of targets. The entry of a target
that has left lapses after three of them; the others cover the time until the store has removed it."""
FIRST_GENERATION = 1
"""Generation of a store that was never restored; 0 if it tells none."""

logger = logging.getLogger(__name__)


class ColdStarts:
    """Tells from earlier entries whether a target was still cold from its start.

    A target may become cold again at any time, so that the time for which it is still cold does not always
    tell how long ago it started. The entries have to be passed in the order of their revisions.
    """

    def __init__(self):
        self.last: dict[str, tuple[int, float]] = {}
        """Start of each target according to its last entry, 0 if that is not known, and the time for which it
        was still cold from that start."""

    def is_cold_since_start(self, target: Target, *, is_new: bool) -> bool:
        """Return whether a target is cold from its start in its next entry.

        `is_new` tells that it had no entry before.
        """
        target_id, started_at = target.target_id, target.started_at_milliseconds
        known_start, seconds = self.last.get(target_id, (started_at if is_new else 0, math.inf))
        if known_start and known_start != started_at:
            # The first entry after another start.
            seconds = math.inf
        seconds = target.cold_until if known_start and target.cold_until < seconds else 0.0
        self.last[target_id] = started_at, seconds
        return seconds > 0

    def removed(self, target_id: str) -> None:
        """Record that the entry of a target was removed; it may be registered again without another start."""
        self.last[target_id] = self.last.get(target_id, (0, 0.0))[0], 0.0


class FleetState:
    """Applies the changes of the platform's store and owns the scheduling components.

    Parameters
    ----------
    host
        Settings of the host.
    settings
        Settings of the scheduling.
    clock
        Source of time.
    rng
        Source of randomness for the membership protocol.
    """

    def __init__(self, host: HostSettings, settings: FleetSettings, *, clock: Clock, rng: random.Random):
        self.settings = settings
        self.clock = clock
        self.mirror = StoreMirror()
        self.configuration: FleetConfiguration | None = None
        self.routes: RouteTable | None = None
        own = MemberEntry(
            address=host.ip,
            data_centre=host.data_centre,
            capacity=host.processor_cores,
            incarnation=int(clock.wall() * 1_000),
            heartbeat=0,
        )
        self.members = Members(own, rng=rng, is_first_start=host.is_first_start)
        self.placement = Placement(settings)
        self.placement.count_schedulers = self.members.possible_schedulers
        self.pools = Pools(self.placement, self.members)
        self.scheduler = Scheduler(settings, self.placement, self.pools)
        self.scheduler_client = SchedulerClient(self.pools, send=self.send, unusable=self.unusable_targets)
        self.versions = self.scheduler.versions
        self.history_seconds = host.store_history_seconds
        self.has_different_clock = False
        """Whether the time of day of this host was last found to differ from that of others."""
        self.own_load: Callable[[float], int] = lambda _now: UNKNOWN_LOAD
        """Returns the load of this host in percent."""
        self.send_message: Callable[[str, Message], None] | None = None
        """Sends a message to the router at an address; set once the messaging component exists."""
        self.health: dict[str, TargetHealth] = {}
        """Health of targets as observed by this router."""
        self.held_until: dict[str, float] = {}
        """Until when targets stay in use whose entries were removed around a failure of the store."""
        self.heartbeat_seconds = host.target_heartbeat_milliseconds / MILLISECONDS_PER_SECOND
        self.outdated_entry_seconds = OUTDATED_ENTRY_HEARTBEATS * self.heartbeat_seconds
        self.withheld: dict[str, tuple[float, Change]] = {}
        """Changes of a restored store that may be outdated, and when they are applied, by key."""
        self.configuration_in_force = ConfigurationInForce()
        self.store_failure_age: Callable[[], float] = lambda: math.inf
        """Returns how many seconds ago a call to the store last failed."""

    def send(self, address: str, message: Message) -> None:
        """Send a message to the router at an address."""
        self.send_message(address, message)

    def customer_of(self, api_key: str) -> str:
        """Return the customer of an API key, an empty name if the key is not known."""
        return self.configuration.customers_by_key.get(api_key, "") if self.configuration else ""

    def spare_capacity(self, now: float) -> float:
        """Return what the other hosts of the data centre can take, in units of this host's capacity."""
        members = self.members
        return spare_capacity_of_others(members.own, members.responsive(now, members.own.data_centre))

    def health_of(self, target_id: str) -> TargetHealth:
        """Return the health of a target as observed by this router."""
        return self.health.setdefault(target_id, TargetHealth())

    def unusable_targets(self, service: str, now: float) -> set[str]:
        """Return the targets of a service that this router can't reach, that back off or that leave."""
        placement = self.placement
        targets = placement.by_service.get(service, {})
        return {
            target_id
            for target_id in {*placement.backoff_until, *placement.leaving, *self.health}
            if target_id in targets
            and (
                placement.is_backing_off(target_id, now)
                or target_id in placement.leaving
                or self.health_of(target_id).is_suspended(now)
            )
        }

    def can_send(self, target_id: str, now: float) -> bool:
        """Return whether this router may send a request to a target now."""
        target = self.placement.targets.get(target_id)
        return (
            target is not None
            and self.placement.is_listed(target)
            and not self.placement.is_backing_off(target_id, now)
        )

    def record_rate_limit(self, target_id: str, per_second: float, *, sent_at: float, scheduler: str) -> None:
        """Record the request rate named in an answer, infinite for none, and tell the scheduler.

        `sent_at` is when this router sent the request. The scheduler limits the requests of all routers.
        """
        if target_id not in self.placement.targets:
            return
        limits = self.placement.limits
        if limits.learn_from_answer(target_id, per_second, sent_at=sent_at, now=self.clock.monotonic()):
            limit = per_second if per_second < math.inf else None
            log_event(Event.TARGET_RATE_LIMITED, target=target_id, limit=limit)
        if limits.needs_report(target_id, scheduler):
            self.send(scheduler, RateLimitNotice(target_id, limits.per_second(target_id)))

    def record_stream_begun(self, target_request: TargetRequest, target: Target, now: float) -> None:
        """Record the version that began a stream, or has gone on with it; later attempts are bound to it."""
        if not target_request.stream and not target_request.resumes:
            return
        target_request.version = target.version
        origin = StreamOrigin(target.service, target.version)
        for stream in target_request.streams:
            self.scheduler.streams.record(stream, origin, now, is_whole=not target_request.resumes)

    def find_quarantine(self, target_request: TargetRequest, now: float) -> Quarantine | None:
        """Return the quarantine for which a request is refused, None if it is not."""
        quarantine = self.scheduler.quarantine
        if not quarantine.quarantines:
            return None
        parts = shared_parts(target_request.service, target_request.parts, target_request.digest)
        return quarantine.find(parts, now)

    def transfer_source(self, target_id: str, now: float) -> Target | None:
        """Return the engine from which cached prompt parts are fetched, None if there is no usable one."""
        return self.placement.targets[target_id] if self.can_send(target_id, now) else None

    def apply_changes(self, changes: Iterable[Change]) -> None:
        """Apply changes of the store; one that can't be applied does not affect the others."""
        for change in changes:
            try:
                self.apply_change(change)
            except Exception:
                logger.exception("failed to apply a change of %s", change.key)

    def apply_change(self, change: Change) -> None:
        """Apply one change of the store, or withhold it for a while if it may be outdated."""
        if (
            change.is_outdated
            and change.key != names.CONFIGURATION_KEY
            and not self.ends_use_of_target(change)
        ):
            self.withhold(change)
            return
        self.withheld.pop(change.key, None)
        if change.key == names.CONFIGURATION_KEY:
            if change.item is not None:
                self.apply_configuration(change.item.value)
        elif change.key.startswith(names.EVACUATION_PREFIX):
            self.set_evacuated(change.key.removeprefix(names.EVACUATION_PREFIX), change.item is not None)
        elif change.key.startswith(names.TARGET_PREFIX):
            self.apply_target(change.key.removeprefix(names.TARGET_PREFIX), change)

    def withhold(self, change: Change) -> None:
        """Keep what is known of a key for a while, unless the key is written again."""
        seconds = LOST_ENTRY_SECONDS if change.item is None else self.outdated_entry_seconds
        self.withheld[change.key] = self.clock.monotonic() + seconds, replace(change, is_outdated=False)
        log_event(Event.STORE_ENTRY_WITHHELD, key=change.key, removed=change.item is None, seconds=seconds)

    def ends_use_of_target(self, change: Change) -> bool:
        """Return whether a change lists a target as draining or can't be read."""
        if change.item is None or not change.key.startswith(names.TARGET_PREFIX):
            return False
        target_id = change.key.removeprefix(names.TARGET_PREFIX)
        try:
            return decode_target(target_id, change.item.value, revision=0, now=0.0).is_draining
        except ConfigurationError:
            return True

    def apply_withheld_changes(self) -> None:
        """Apply the changes that were withheld for long enough."""
        now = self.clock.monotonic()
        due = [change for until, change in self.withheld.values() if now >= until]
        self.apply_changes(due)

    def apply_configuration(self, value: bytes) -> None:
        """Apply a newer configuration; an older or malformed one is ignored."""
        try:
            configuration = decode_configuration(value)
        except ConfigurationError as error:
            log_event(Event.CONFIGURATION_REFUSED, reason=str(error))
            return
        if self.configuration is not None and configuration.version == self.configuration.version:
            return
        if self.configuration is not None and configuration.version < self.configuration.version:
            log_event(Event.CONFIGURATION_OLDER_IGNORED, version=configuration.version)
            return
        self.configuration = configuration
        self.configuration_in_force = ConfigurationInForce(configuration.version, value)
        self.routes = RouteTable(configuration)
        self.placement.services = configuration.services
        self.placement.goals = lowest_goals(configuration, lambda route: route.goal_seconds)
        self.placement.token_gap_goals = lowest_goals(
            configuration, lambda route: route.token_gap_goal_seconds
        )
        log_event(Event.CONFIGURATION_IN_FORCE, version=configuration.version)

    def set_evacuated(self, data_centre: str, is_evacuated: bool) -> None:
        """Mark a data centre as evacuated or as back in service."""
        self.placement.evacuate(data_centre, is_evacuated)
        self.versions.note_evacuation(data_centre, is_evacuated, self.clock.monotonic())
        if is_evacuated:
            log_event(Event.DATA_CENTRE_EVACUATED, data_centre=data_centre)
        else:
            log_event(Event.DATA_CENTRE_RETURNED, data_centre=data_centre)

    def handle_target_removal(self, target_id: str) -> None:
        """Forget a target without an entry, or hold it for a while if the entry may only have expired."""
        if self.store_failure_age() < RECENT_STORE_FAILURE_SECONDS:
            self.held_until[target_id] = self.clock.monotonic() + TARGET_HOLD_SECONDS
            log_event(Event.TARGET_HELD, target=target_id, seconds=TARGET_HOLD_SECONDS)
            return
        self.forget_target(target_id)

    def forget_target(self, target_id: str) -> None:
        """Remove a target and its health."""
        self.versions.end(target_id, self.clock.monotonic())
        self.placement.remove_target(target_id)
        self.health.pop(target_id, None)
        log_event(Event.TARGET_UNLISTED, target=target_id)

    def observe_target(self, target: Target) -> None:
        """Record whether a target can begin streams."""
        now = self.clock.monotonic()
        if target.is_draining:
            self.versions.note_draining(target.target_id, target.service, target.version, now)
        else:
            self.versions.observe(
                target.target_id,
                target.service,
                target.version,
                target.data_centre,
                now,
                born=born(target),
            )

    def registrations(self, changes: Iterable[Change]) -> tuple[tuple[int, float], ...]:
        """Return the revisions at which the present targets were registered, each with the time of its start.

        They come from the first copy of the store; the times are those of wall clocks. The copy of a peer may
        not tell a revision (0), which then counts as one before the history.
        """
        found = []
        for change in changes:
            target = self.placement.targets.get(change.key.removeprefix(names.TARGET_PREFIX))
            if target is not None and target.started_at_milliseconds:
                found.append((change.item.created_revision, born(target)))
        return tuple(found)

    def record_own_clock(self) -> None:
        """Record the time of day of this host, to be compared with that of others."""
        address = self.members.own.address
        clocks = self.versions.clocks
        clocks.record(address, self.clock.wall(), self.clock.monotonic())
        differs = abs(clocks.difference(address)) > CLOCK_DIFFERENCE_SECONDS
        if differs and not self.has_different_clock:
            log_event(Event.CLOCK_DIFFERS, ahead=round(clocks.difference(address), 3))
        self.has_different_clock = differs

    def compare_clocks(self, target: Target, revision: int, written_at: float) -> None:
        """Compare the wall clocks with the time at which a target wrote an entry that was read at the start.

        A cold target writes again with each heartbeat, so its entry is not older than that if it is present.
        """
        listed = self.placement.targets.get(target.target_id)
        is_present = listed is not None and number_of(listed.revision) == revision
        next_seconds = self.heartbeat_seconds + HEARTBEAT_DELAY_SECONDS if is_present else math.inf
        read_at = self.versions.known_since
        self.versions.clocks.record_written(target.target_id, written_at, read_at, next_seconds=next_seconds)

    def written_at(self, target: Target, cold_seconds_left: float) -> float | None:
        """Return the time of day at which a target wrote an entry that was cold from its start, else None."""
        service = self.placement.services.get(target.service)
        if service is None or not target.started_at_milliseconds:
            return None
        age_seconds = service.cold_seconds - cold_seconds_left
        return born(target) + age_seconds if cold_seconds_left > 0 <= age_seconds else None

    def apply_history(
        self, items: Iterable[HistoryItem], after: int, registrations: tuple[tuple[int, float], ...]
    ) -> None:
        """Add the earlier changes of targets that the store still has, all those after a revision."""
        entries = []
        evacuations = []
        written = []
        starts = ColdStarts()
        for item in items:
            if item.key.startswith(names.EVACUATION_PREFIX):
                evacuations.append((item.key.removeprefix(names.EVACUATION_PREFIX), item.revision))
            elif item.key.startswith(names.TARGET_PREFIX):
                target_id = item.key.removeprefix(names.TARGET_PREFIX)
                target = earlier_target(item)
                entries.append(self.target_entry(item, target))
                if target is None:
                    starts.removed(target_id)
                elif starts.is_cold_since_start(target, is_new=item.created_revision == item.revision):
                    written_at = self.written_at(target, target.cold_until)
                    if written_at is not None:
                        written.append((item.revision, written_at))
                        self.compare_clocks(target, item.revision, written_at)
        is_restored = generation_of(self.mirror.revision) > FIRST_GENERATION
        self.versions.history = StoreHistory(
            after,
            tuple(entries),
            tuple(evacuations),
            # A store that has discarded nothing has all changes there ever were, unless it was restored.
            known_times=((0, -math.inf),) if after == 0 and not is_restored else (),
            written=tuple(written),
            retained_since=self.clock.monotonic() - self.history_seconds,
            registrations=registrations,
            settling_seconds=self.outdated_entry_seconds if is_restored else 0.0,
        )
        log_event(Event.STORE_HISTORY_READ, after=after, entries=len(entries), written=len(written))

    def target_entry(self, item: HistoryItem, target: Target | None) -> TargetEntry:
        """Return a change of a target in the history of the store."""
        target_id = item.key.removeprefix(names.TARGET_PREFIX)
        is_first = item.created_revision == item.revision
        if target is None:
            return TargetEntry(target_id, item.revision, is_first)
        return TargetEntry(
            target_id,
            item.revision,
            is_first,
            target.service,
            target.version,
            not target.is_draining,
            born(target),
        )

    def drop_expired_targets(self) -> None:
        """Forget held targets whose entries have not come back in time."""
        now = self.clock.monotonic()
        for target_id in [target_id for target_id, until in self.held_until.items() if now >= until]:
            del self.held_until[target_id]
            self.forget_target(target_id)

    def apply_target(self, target_id: str, change: Change) -> None:
        """Apply the newest entry of a target, or its removal."""
        if change.item is None:
            self.handle_target_removal(target_id)
            return
        self.held_until.pop(target_id, None)
        try:
            target = decode_target(
                target_id, change.item.value, revision=change.item.revision, now=self.clock.monotonic()
            )
        except ConfigurationError as error:
            self.versions.end(target_id, self.clock.monotonic())
            self.placement.remove_target(target_id)
            log_event(Event.STORE_ENTRY_UNUSABLE, target=target_id, reason=str(error))
            return
        known = self.placement.targets.get(target_id)
        if known is None or known.revision != target.revision:
            self.health.pop(target_id, None)
        self.placement.put_target(target)
        self.observe_target(target)
        log_event(
            Event.TARGET_LISTED,
            target=target_id,
            service=target.service,
            address=target.address,
            version=target.version,
            draining=target.is_draining,
            cold=round(max(0.0, target.cold_until - self.clock.monotonic()), 3),
            revision=describe_revision(target.revision),
        )


def born(target: Target) -> float:
    """Return the wall-clock time at which a target started, infinite if it is not known."""
    milliseconds = target.started_at_milliseconds
    return milliseconds / MILLISECONDS_PER_SECOND if milliseconds else math.inf


def earlier_target(item: HistoryItem) -> Target | None:
    """Return an earlier entry of a target, None for its removal or an unusable one.

    Its `cold_until` is the time for which it was still cold.
    """
    if item.value is None:
        return None
    with contextlib.suppress(ConfigurationError):
        return decode_target(item.key.removeprefix(names.TARGET_PREFIX), item.value, revision=0, now=0.0)
    return None


def lowest_goals(
    configuration: FleetConfiguration, goal: Callable[[Route], float | None]
) -> dict[str, float]:
    """Return the lowest goal of the routes to each service; routes without a goal are ignored."""
    goals: dict[str, float] = {}
    for route in configuration.routes:
        seconds = goal(route)
        for destination in route.destinations:
            if seconds is not None:
                goals[destination.service] = min(seconds, goals.get(destination.service, seconds))
    return goals
