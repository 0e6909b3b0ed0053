"""Choice of a target for a request."""

import math
import random
from dataclasses import dataclass

from limpetusher.fleet.model import PromptPart, Service, Target, Work
from limpetusher.fleet.process.budgets import ColdLimit
from limpetusher.fleet.process.bursts import ReadingBursts
from limpetusher.fleet.process.caches import PromptCaches
from limpetusher.fleet.process.health import TargetHealth
from limpetusher.fleet.process.loads import Loads, OpenWork
from limpetusher.fleet.process.rates import ReadingRates
from limpetusher.fleet.settings import FleetSettings
from limpetusher.fleet.version.routing import stable_hash

REMEMBERED_RANKINGS = 4_000
REMOTE_COST = 0.5
"""Cost of a target in another data centre, in open requests: only ties are decided by the place."""
UNTRUSTED_COST = 1_000.0
"""Cost of a target with many failed answers: it is chosen when no other can take the request."""


@dataclass(frozen=True, slots=True)
class Placed:
    """A target for a request, and the work that it means there."""

    target: Target
    work: OpenWork
    unread_ahead: int
    """Prompt tokens that wait at the target, those of the request included."""
    is_cold: bool


@dataclass(frozen=True, slots=True)
class Weighed:
    """An engine and its cost in seconds; `is_open` tells whether it takes the prompt now."""

    cost: float
    placed: Placed
    is_open: bool


class Placement:
    """Chooses targets from what the fleet has open at each of them.

    Parameters
    ----------
    settings
        Constants of the policy.
    own_id
        Name of this router.
    data_centre
        Data centre of this router.
    rng
        Source of random times.
    """

    def __init__(self, settings: FleetSettings, *, own_id: str, data_centre: str, rng: random.Random):
        self.settings = settings
        self.own_id = own_id
        self.data_centre = data_centre
        self.services: dict[str, Service] = {}
        self.goals: dict[str, float] = {}
        """Tightest goal of each service's routes, in seconds."""
        self.pause_goals: dict[str, float] = {}
        """Tightest goal for pauses of each service's streams, in seconds."""
        self.targets: dict[str, Target] = {}
        self.by_service: dict[str, list[Target]] = {}
        self.rankings: dict[tuple[str, str], list[str]] = {}
        """Order of a service's targets for a session."""
        self.evacuated: set[str] = set()
        self.routers: list[str] = [own_id]
        self.health: dict[str, TargetHealth] = {}
        self.loads = Loads()
        self.rates = ReadingRates(settings)
        self.bursts = ReadingBursts(settings, rng)
        self.caches = PromptCaches()
        self.cold_limit = ColdLimit()

    def put_target(self, target: Target) -> None:
        """Take the newest state of a target."""
        known = self.targets.get(target.target_id)
        if known is not None and known.started_at_milliseconds != target.started_at_milliseconds:
            self.caches.forget(target.target_id)
        self.targets[target.target_id] = target
        if known is None or known.revision != target.revision:
            self.health_of(target.target_id).announced()
        self.index()

    def remove_target(self, target_id: str) -> None:
        """Forget a target."""
        if self.targets.pop(target_id, None) is not None:
            self.health.pop(target_id, None)
            self.rates.forget(target_id)
            self.bursts.forget(target_id)
            self.caches.forget(target_id)
            self.index()

    def index(self) -> None:
        """Group the targets by service and forget the orders of sessions among them."""
        self.rankings.clear()
        self.by_service = {}
        for target in self.targets.values():
            self.by_service.setdefault(target.service, []).append(target)

    def health_of(self, target_id: str) -> TargetHealth:
        """Return what was experienced with a target."""
        return self.health.setdefault(target_id, TargetHealth())

    def is_listed(self, target: Target) -> bool:
        """Return whether a target may get new work at all."""
        return not target.is_draining and target.data_centre not in self.evacuated

    def usable(self, service: str, now: float) -> list[Target]:
        """Return the targets of a service that may get new work."""
        return [
            target
            for target in self.by_service.get(service, ())
            if self.is_listed(target) and not self.health_of(target.target_id).is_suspended(now)
        ]

    def total_rate(self, service: str, now: float) -> float:
        """Return the prompt tokens that all usable engines of a service read in a second."""
        return sum(self.rates.rate(service, target.target_id) for target in self.usable(service, now))

    def view(self, service: str, now: float, *, is_scarce: bool = False) -> "ServiceView":
        """Return the present state of a service's usable targets, for a series of choices.

        `is_scarce` tells whether more waits at the routers than the engines read in the next burst.
        """
        return ServiceView(self, service, now, is_scarce=is_scarce)

    def choose(self, work: Work, now: float, view: "ServiceView | None" = None) -> Placed | None:
        """Return a target that can take the request now, None when it has to wait."""
        view = view or self.view(work.service, now)
        if view.service is None or not view.has_room:
            return None
        if view.service.engine is None or work.session is None:
            return self.choose_least_busy(work, view)
        return self.choose_engine(work, view)

    def choose_least_busy(self, work: Work, view: "ServiceView") -> Placed | None:
        """Return the target with the fewest open requests that has a free slot."""
        best: tuple[float, TargetView] | None = None
        for state in view.states.values():
            if not state.has_room or state.target.target_id in work.excluded:
                continue
            cost = state.total.requests + state.distrust
            cost += REMOTE_COST * (state.target.data_centre != self.data_centre)
            if best is None or cost < best[0]:
                best = (cost, state)
        if best is None:
            return None
        state = best[1]
        load = OpenWork(1, work.prompt_tokens, work.memory_tokens)
        ahead = state.total.unread_tokens + work.prompt_tokens
        return Placed(state.target, load, ahead, state.is_cold)

    def ranking(self, work: Work) -> list[str]:
        """Return all targets of the request's service in the order of its session."""
        key = (work.service, work.session)
        ranking = self.rankings.get(key)
        if ranking is None:
            if len(self.rankings) >= REMEMBERED_RANKINGS:
                self.rankings.clear()
            everyone = (target.target_id for target in self.by_service.get(work.service, ()))
            ranking = sorted(everyone, key=lambda target_id: stable_hash(work.session, target_id))
            self.rankings[key] = ranking
        return ranking

    def candidates(self, work: Work, view: "ServiceView") -> list["TargetView"]:
        """Return the engines that are considered for a request, in the order of its session."""
        candidates = []
        for target_id in self.ranking(work):
            state = view.states.get(target_id)
            if state is not None and target_id not in work.excluded:
                candidates.append(state)
                if len(candidates) == self.settings.candidates:
                    break
        return candidates

    def choose_engine(self, work: Work, view: "ServiceView") -> Placed | None:
        """Return the engine at which the request is read soonest, counting what would be read again.

        A request waits for the best engine. After a part of its waiting time it takes another one if that one
        has had nothing to read for a while: between two bursts it would keep sessions of its own waiting.
        """
        candidates = self.candidates(work, view)
        if not any(state.has_room and state.is_open for state in candidates):
            return None
        weighed = [entry for state in candidates if (entry := self.weigh(work, view, state)) is not None]
        best = min(weighed, key=lambda entry: entry.cost, default=None)
        if best is None:
            return None
        if best.is_open:
            return best.placed
        stay = self.settings.stay_part * (work.start_before - work.queued_at)
        if view.now < work.queued_at + stay:
            return None
        idle = [
            entry
            for entry in weighed
            if entry.is_open and self.bursts.is_idle(entry.placed.target.target_id, view.now)
        ]
        return min(idle, key=lambda entry: entry.cost).placed if idle else None

    def wait_limit(self, work: Work) -> float:
        """Return how long a request may wait for a target, in seconds."""
        settings = self.settings
        goal = work.route.goal_seconds
        service = self.services.get(work.service)
        reading = settings.first_output_seconds
        if service is not None and service.engine is not None:
            reading += self.burst_seconds(work.service)
        wait = max(goal - reading, settings.least_wait_part * goal)
        return min(wait, work.give_up_at - work.queued_at)

    def weigh(self, work: Work, view: "ServiceView", state: "TargetView") -> Weighed | None:
        """Return the cost of one engine, None when it has no room."""
        total = state.total
        if not state.has_room or (total.requests and total.memory_tokens + work.memory_tokens > view.memory):
            return None
        target_id = state.target.target_id
        unread = self.caches.unread_tokens(target_id, work.parts, work.prompt_tokens)
        is_open = self.bursts.admits(
            target_id,
            unread,
            view.burst_seconds * state.rate,
            view.now,
            share_used=work.share_used,
            is_scarce=view.is_scarce,
        )
        cost = (total.unread_tokens + self.settings.reread_weight * unread) / state.rate + state.distrust
        load = OpenWork(1, unread, work.memory_tokens)
        return Weighed(cost, Placed(state.target, load, total.unread_tokens + unread, state.is_cold), is_open)

    def burst_seconds(self, service: str) -> float:
        """Return how long an engine may read prompts without a pause."""
        settings = self.settings
        limits = (
            settings.burst_goal_part * self.goals.get(service, math.inf),
            settings.burst_pause_part * self.pause_goals.get(service, math.inf),
        )
        return max(settings.least_burst_seconds, min(limits))

    def observe(self, target_id: str, now: float) -> None:
        """Let the bursts follow the open work of a target."""
        self.bursts.observe(target_id, self.loads.total(target_id).unread_tokens, len(self.routers), now)

    def observe_all(self, now: float) -> None:
        """Let the bursts follow the open work of all targets."""
        for target_id in self.targets:
            self.observe(target_id, now)

    def distrust(self, target: Target) -> float:
        """Return the extra cost of a target that fails many requests."""
        return 0.0 if self.health_of(target.target_id).is_trusted else UNTRUSTED_COST

    def is_cold(self, target: Target, now: float) -> bool:
        """Return whether a target bears only little work."""
        return now < target.cold_until or self.health_of(target.target_id).is_unconfirmed(now)

    def bears(self, target: Target, service: Service, now: float) -> bool:
        """Return whether this router may send to a cold target now."""
        if service.cold_per_second <= 0:
            return True
        return self.cold_limit.allows(
            target.target_id, service.cold_per_second, self.own_id, self.routers, now
        )

    def cache_tokens(self, service: Service) -> float:
        """Return the tokens of kept prompt parts for which an engine of a service has room."""
        return self.settings.cache_part * service.engine.memory_tokens

    def peer_sent(self, target_id: str, shared: tuple[PromptPart, ...]) -> None:
        """Note the shared parts of a request that a peer has sent to a target."""
        target = self.targets.get(target_id)
        service = self.services.get(target.service) if target is not None else None
        if service is not None and service.engine is not None:
            self.caches.use(target_id, shared, self.cache_tokens(service))

    def start(self, work: Work, placed: Placed, now: float) -> None:
        """Count a request that is sent."""
        target_id = placed.target.target_id
        self.loads.start(target_id, placed.work)
        service = self.services[work.service]
        if service.engine is not None:
            self.caches.sent(target_id, work.parts, self.cache_tokens(service))
        self.observe(target_id, now)
        if placed.is_cold and service.cold_per_second > 0:
            self.cold_limit.sent(target_id, service.cold_per_second, len(self.routers), now)


@dataclass(slots=True)
class TargetView:
    """State of one usable target during a series of choices."""

    target: Target
    total: OpenWork
    """Open work of the fleet there."""
    rate: float
    """Prompt tokens that it reads in a second."""
    is_cold: bool
    has_room: bool
    """Whether it has a free slot, and bears another request if it is cold."""
    is_open: bool
    """Whether a prompt of the least served customer may be sent now."""
    distrust: float


class ServiceView:
    """State of a service's usable targets during a series of choices.

    Parameters
    ----------
    placement
        Placement that chooses.
    name
        Name of the service.
    now
        Reading of the monotonic clock.
    is_scarce
        Whether more waits at the routers than the engines read in the next burst.
    """

    def __init__(self, placement: Placement, name: str, now: float, *, is_scarce: bool = False):
        self.placement = placement
        self.now = now
        self.is_scarce = is_scarce
        self.service = placement.services.get(name)
        engine = self.service.engine if self.service is not None else None
        self.memory = placement.settings.memory_part * engine.memory_tokens if engine is not None else 0.0
        self.burst_seconds = placement.burst_seconds(name)
        self.states: dict[str, TargetView] = {}
        if self.service is not None:
            for target in placement.usable(name, now):
                self.refresh(target)

    @property
    def has_room(self) -> bool:
        """Return whether any target can take a request."""
        return any(state.has_room and state.is_open for state in self.states.values())

    def refresh(self, target: Target) -> None:
        """Take the newest state of a target."""
        placement, now = self.placement, self.now
        target_id = target.target_id
        total = placement.loads.total(target_id)
        rate = placement.rates.rate(target.service, target_id)
        is_cold = placement.is_cold(target, now)
        is_open = True
        if self.service.engine is not None:
            window = self.burst_seconds * rate
            is_open = placement.bursts.admits(target_id, 1, window, now, is_scarce=self.is_scarce)
        self.states[target_id] = TargetView(
            target=target,
            total=total,
            rate=rate,
            is_cold=is_cold,
            has_room=total.requests < target.slots
            and (not is_cold or placement.bears(target, self.service, now)),
            is_open=is_open,
            distrust=placement.distrust(target),
        )
