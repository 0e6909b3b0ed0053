"""What a router knows of the fleet: configuration, targets, peers and its own open work."""

import math
import random
from collections.abc import Callable

from limpetusher.clock import Clock
from limpetusher.errors import ConfigurationError
from limpetusher.events import Event
from limpetusher.fleet.messages import MemberEntry, Message
from limpetusher.fleet.model import FleetConfiguration, Route, Target
from limpetusher.fleet.process.health import TargetHealth
from limpetusher.fleet.process.members import Members
from limpetusher.fleet.process.placement import Placement
from limpetusher.fleet.process.pools import Pools
from limpetusher.fleet.process.scheduler import Scheduler
from limpetusher.fleet.request.asking import Asking
from limpetusher.fleet.settings import FleetSettings
from limpetusher.fleet.version.mirror import Change, StoreMirror
from limpetusher.fleet.version.routing import RouteTable
from limpetusher_router.platform import names
from limpetusher_router.platform.documents import decode_configuration, decode_target
from limpetusher_router.platform.settings_file import HostSettings
from limpetusher_router.process.logs import log_event

TROUBLED_SECONDS = 3.0
"""Age of the store's last failure up to which a removal may be a lapse: three heartbeats without renewal."""
HELD_SECONDS = 1.5
"""Lapsed entries are back within about two seconds of the store's return, and go some time after it. A
target that has left for good must get no requests later than 2 s after its entry went, which leaves 0.5 s for
the way there."""


class FleetState:
    """Takes the changes of the platform's store and holds the parts that decide.

    Parameters
    ----------
    host
        Settings of the host.
    settings
        Constants of the policy.
    clock
        Source of time.
    rng
        Source of random times.
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
        self.members = Members(own, rng=rng)
        self.placement = Placement(settings)
        self.pools = Pools(self.placement, self.members)
        self.scheduler = Scheduler(settings, self.placement, self.pools)
        self.asking = Asking(self.pools, send=self.send, unusable=self.unusable)
        self.send_message: Callable[[str, Message], None] | None = None
        """Sends a message to the router with an address."""
        self.health: dict[str, TargetHealth] = {}
        """What this router itself has experienced with targets."""
        self.held: dict[str, float] = {}
        """Until when targets are used whose entries went while the store was away."""
        self.store_trouble_age: Callable[[], float] = lambda: math.inf
        """Returns how many seconds ago the store last failed a call."""

    def send(self, address: str, message: Message) -> None:
        """Send a message to the router with an address."""
        self.send_message(address, message)

    def health_of(self, target_id: str) -> TargetHealth:
        """Return what this router itself has experienced with a target."""
        return self.health.setdefault(target_id, TargetHealth())

    def unusable(self, service: str, now: float) -> set[str]:
        """Return the targets of a service that this router can't reach, or that want no requests from it."""
        placement = self.placement
        targets = placement.by_service.get(service, {})
        return {
            target_id
            for target_id in {*placement.resting_until, *placement.leaving, *self.health}
            if target_id in targets
            and (
                placement.is_resting(target_id, now)
                or target_id in placement.leaving
                or self.health_of(target_id).is_suspended(now)
            )
        }

    def may_send(self, target_id: str, now: float) -> bool:
        """Return whether this router itself may send a request to a target now."""
        target = self.placement.targets.get(target_id)
        return (
            target is not None
            and self.placement.is_listed(target)
            and not self.placement.is_resting(target_id, now)
        )

    def transfer_source(self, target_id: str, now: float) -> Target | None:
        """Return the engine that gives kept prompt parts to another, None for none or one not to be used."""
        return self.placement.targets[target_id] if self.may_send(target_id, now) else None

    def apply(self, change: Change) -> None:
        """Take one change of the store."""
        if change.key == names.CONFIGURATION_KEY:
            if change.item is not None:
                self.use_configuration(change.item.value)
        elif change.key.startswith(names.EVACUATION_PREFIX):
            self.evacuate(change.key.removeprefix(names.EVACUATION_PREFIX), change.item is not None)
        elif change.key.startswith(names.TARGET_PREFIX):
            self.use_target(change.key.removeprefix(names.TARGET_PREFIX), change)

    def use_configuration(self, value: bytes) -> None:
        """Use a newer configuration; an older or malformed one changes nothing."""
        try:
            configuration = decode_configuration(value)
        except ConfigurationError as error:
            log_event(Event.CONFIGURATION_REFUSED, reason=str(error))
            return
        if self.configuration is not None and configuration.version <= self.configuration.version:
            log_event(Event.CONFIGURATION_OLDER_IGNORED, version=configuration.version)
            return
        self.configuration = configuration
        self.routes = RouteTable(configuration)
        self.placement.services = configuration.services
        self.placement.goals = tightest(configuration, lambda route: route.goal_seconds)
        self.placement.pause_goals = tightest(configuration, lambda route: route.pause_goal_seconds)
        log_event(Event.CONFIGURATION_IN_FORCE, version=configuration.version)

    def evacuate(self, data_centre: str, is_evacuated: bool) -> None:
        """Note that a data centre is taken out of service, or is back."""
        self.placement.evacuate(data_centre, is_evacuated)
        if is_evacuated:
            log_event(Event.DATA_CENTRE_EVACUATED, data_centre=data_centre)
        else:
            log_event(Event.DATA_CENTRE_RETURNED, data_centre=data_centre)

    def remove_target(self, target_id: str) -> None:
        """Forget a target, or hold it for a while if its entry may have lapsed with the store away."""
        if self.store_trouble_age() < TROUBLED_SECONDS:
            self.held[target_id] = self.clock.monotonic() + HELD_SECONDS
            log_event(Event.TARGET_HELD, target=target_id, seconds=HELD_SECONDS)
            return
        self.forget_target(target_id)

    def forget_target(self, target_id: str) -> None:
        """Forget a target."""
        self.placement.remove_target(target_id)
        self.health.pop(target_id, None)
        log_event(Event.TARGET_UNLISTED, target=target_id)

    def drop_held(self) -> None:
        """Forget targets whose entries have not come back."""
        now = self.clock.monotonic()
        for target_id in [target_id for target_id, until in self.held.items() if now >= until]:
            del self.held[target_id]
            self.forget_target(target_id)

    def use_target(self, target_id: str, change: Change) -> None:
        """Take a target's newest entry."""
        if change.item is None:
            self.remove_target(target_id)
            return
        self.held.pop(target_id, None)
        try:
            target = decode_target(
                target_id, change.item.value, revision=change.item.revision, now=self.clock.monotonic()
            )
        except ConfigurationError as error:
            self.placement.remove_target(target_id)
            log_event(Event.STORE_ENTRY_UNUSABLE, target=target_id, reason=str(error))
            return
        known = self.placement.targets.get(target_id)
        if known is None or known.revision != target.revision:
            self.health.pop(target_id, None)
        self.placement.put_target(target)
        log_event(
            Event.TARGET_LISTED,
            target=target_id,
            service=target.service,
            address=target.address,
            draining=target.is_draining,
            cold=round(max(0.0, target.cold_until - self.clock.monotonic()), 3),
            revision=target.revision,
        )


def tightest(configuration: FleetConfiguration, goal: Callable[[Route], float | None]) -> dict[str, float]:
    """Return the least goal of the routes to each service; routes without one don't count."""
    goals: dict[str, float] = {}
    for route in configuration.routes:
        seconds = goal(route)
        for destination in route.destinations:
            if seconds is not None:
                goals[destination.service] = min(seconds, goals.get(destination.service, seconds))
    return goals
