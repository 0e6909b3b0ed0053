"""What a router knows of the fleet: configuration, targets, peers and its own open work."""

import math
import random
from collections.abc import Callable

from limpetusher.clock import Clock
from limpetusher.errors import ConfigurationError
from limpetusher.events import Event
from limpetusher.fleet.model import FleetConfiguration, Route
from limpetusher.fleet.process.fairness import ServedTokens
from limpetusher.fleet.process.members import Members
from limpetusher.fleet.process.placement import Placement
from limpetusher.fleet.request.waiting import WaitingRequests
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
target that
has left for good must get no requests later than 2 s after its entry went, which leaves 0.5 s for the way
there."""


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
        self.members = Members(host.ip)
        self.placement = Placement(settings, own_id=host.ip, data_centre=host.data_centre, rng=rng)
        self.served = ServedTokens()
        self.held: dict[str, float] = {}
        """Until when targets are used whose entries went while the store was away."""
        self.store_trouble_age: Callable[[], float] = lambda: math.inf
        """Returns how many seconds ago the store last failed a call."""
        self.waiting = WaitingRequests(settings, self.placement, self.served)

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
        if is_evacuated:
            self.placement.evacuated.add(data_centre)
            log_event(Event.DATA_CENTRE_EVACUATED, data_centre=data_centre)
        else:
            self.placement.evacuated.discard(data_centre)
            log_event(Event.DATA_CENTRE_RETURNED, data_centre=data_centre)

    def remove_target(self, target_id: str) -> None:
        """Forget a target, or hold it for a while if its entry may have lapsed with the store away."""
        if self.store_trouble_age() < TROUBLED_SECONDS:
            self.held[target_id] = self.clock.monotonic() + HELD_SECONDS
            log_event(Event.TARGET_HELD, target=target_id, seconds=HELD_SECONDS)
            return
        self.placement.remove_target(target_id)
        log_event(Event.TARGET_UNLISTED, target=target_id)

    def drop_held(self) -> None:
        """Forget targets whose entries have not come back."""
        now = self.clock.monotonic()
        for target_id in [target_id for target_id, until in self.held.items() if now >= until]:
            del self.held[target_id]
            self.placement.remove_target(target_id)
            log_event(Event.TARGET_UNLISTED, target=target_id)

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
