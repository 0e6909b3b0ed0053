"""Choice of a target for a request."""

import math
from dataclasses import dataclass

from limpetusher.fleet.model import Pool, Service, Target, Work
from limpetusher.fleet.process.budgets import ColdLimit
from limpetusher.fleet.process.bursts import UNKNOWN_PACE, ReadingBursts
from limpetusher.fleet.process.caches import PromptCaches
from limpetusher.fleet.process.health import TargetHealth
from limpetusher.fleet.process.loads import Loads, OpenWork
from limpetusher.fleet.process.rates import ReadingRates
from limpetusher.fleet.process.transfers import Source, transferred_tokens
from limpetusher.fleet.process.views import PoolView, TargetView
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
    source_id: str = ""
    """Engine from which the target takes what that one keeps of the prompt; empty if it reads all itself."""


@dataclass(frozen=True, slots=True)
class Weighed:
    """An engine and its cost in seconds; `is_open` tells whether it takes the prompt now."""

    cost: float
    placed: Placed
    is_open: bool


class Placement:
    """Chooses targets from what this scheduler has open at each of them.

    Parameters
    ----------
    settings
        Constants of the policy.
    """

    def __init__(self, settings: FleetSettings):
        self.settings = settings
        self.services: dict[str, Service] = {}
        self.goals: dict[str, float] = {}
        """Tightest goal of each service's routes, in seconds."""
        self.pause_goals: dict[str, float] = {}
        """Tightest goal for pauses of each service's streams, in seconds."""
        self.generation = 0
        """Grows when targets are listed, removed or changed."""
        self.targets: dict[str, Target] = {}
        self.by_service: dict[str, dict[str, Target]] = {}
        """Targets of each service by their names."""
        self.rankings: dict[tuple[Pool, str], list[str]] = {}
        """Order of a pool's targets for a session."""
        self.evacuated: set[str] = set()
        self.leaving: set[str] = set()
        """Targets that have said in an answer that they leave, until they start anew."""
        self.resting_until: dict[str, float] = {}
        """Until when targets that were too busy want no requests."""
        self.health: dict[str, TargetHealth] = {}
        self.loads = Loads()
        self.rates = ReadingRates(settings)
        self.bursts = ReadingBursts(settings)
        self.caches = PromptCaches()
        self.cold_limit = ColdLimit()

    def put_target(self, target: Target) -> None:
        """Take the newest state of a target."""
        known = self.targets.get(target.target_id)
        if known is not None and known.started_at_milliseconds != target.started_at_milliseconds:
            self.caches.forget(target.target_id)
            self.leaving.discard(target.target_id)
            self.resting_until.pop(target.target_id, None)
        if known is not None and known.service != target.service:
            self.drop_from_service(known)
        self.targets[target.target_id] = target
        self.by_service.setdefault(target.service, {})[target.target_id] = target
        if known is None or known.revision != target.revision:
            self.health_of(target.target_id).announced()
        self.note_change()

    def note_leaving(self, target_id: str) -> bool:
        """Note that a target leaves; return whether that is news."""
        is_news = target_id in self.targets and target_id not in self.leaving
        if is_news:
            self.leaving.add(target_id)
            self.generation += 1
        return is_news

    def note_resting(self, target_id: str, until: float) -> None:
        """Note that a target wants no requests for a while."""
        if target_id in self.targets:
            self.resting_until[target_id] = max(until, self.resting_until.get(target_id, 0.0))

    def remove_target(self, target_id: str) -> None:
        """Forget a target."""
        known = self.targets.pop(target_id, None)
        if known is not None:
            self.drop_from_service(known)
            self.health.pop(target_id, None)
            self.rates.forget(target_id)
            self.bursts.forget(target_id)
            self.caches.forget(target_id)
            self.cold_limit.forget(target_id)
            self.leaving.discard(target_id)
            self.resting_until.pop(target_id, None)
            self.note_change()

    def drop_from_service(self, target: Target) -> None:
        """Take a target out of those of its service."""
        targets = self.by_service[target.service]
        del targets[target.target_id]
        if not targets:
            del self.by_service[target.service]

    def note_change(self) -> None:
        """Forget what was derived from the list of targets."""
        self.generation += 1
        self.rankings.clear()

    def health_of(self, target_id: str) -> TargetHealth:
        """Return what was experienced with a target."""
        return self.health.setdefault(target_id, TargetHealth())

    def evacuate(self, data_centre: str, is_evacuated: bool) -> None:
        """Use the targets of a data centre no longer, or again."""
        self.generation += 1
        if is_evacuated:
            self.evacuated.add(data_centre)
        else:
            self.evacuated.discard(data_centre)

    def is_listed(self, target: Target) -> bool:
        """Return whether a target may get new work at all."""
        return (
            not target.is_draining
            and target.target_id not in self.leaving
            and target.data_centre not in self.evacuated
        )

    def is_resting(self, target_id: str, now: float) -> bool:
        """Return whether a target wants no requests now."""
        return now < self.resting_until.get(target_id, 0.0)

    def members(self, pool: Pool) -> list[Target]:
        """Return all targets of a pool."""
        targets = list(self.by_service.get(pool.service, {}).values())
        if not pool.data_centre:
            return targets
        return [target for target in targets if target.data_centre == pool.data_centre]

    def usable(self, pool: Pool, now: float) -> list[Target]:
        """Return the targets of a pool that may get new work."""
        return [
            target
            for target in self.members(pool)
            if self.is_listed(target)
            and not self.is_resting(target.target_id, now)
            and not self.health_of(target.target_id).is_suspended(now)
        ]

    def pace(self, pool: Pool, now: float) -> float:
        """Return the prompt tokens that all usable engines of a pool read in a second, pauses included."""
        seconds = self.burst_seconds(pool.service)
        return sum(
            self.rates.rate(pool.service, target.target_id) * self.bursts.duty(target.target_id, seconds)
            for target in self.usable(pool, now)
        )

    def view(self, pool: Pool, now: float, *, is_scarce: bool = False) -> PoolView:
        """Return the present state of a pool's usable targets, for a series of choices.

        `is_scarce` tells whether more waits than the engines read in the next burst.
        """
        return PoolView(self, pool, now, is_scarce=is_scarce)

    def choose(self, work: Work, now: float, view: PoolView | None = None) -> Placed | None:
        """Return a target that can take the request now, None when it has to wait."""
        view = view or self.view(work.pool, now)
        if view.service is None or not view.has_room:
            return None
        if view.service.engine is None or work.session is None:
            return self.choose_least_busy(work, view)
        return self.choose_engine(work, view)

    def choose_least_busy(self, work: Work, view: PoolView) -> Placed | None:
        """Return the target with the fewest open requests that has a free slot."""
        best: tuple[float, TargetView] | None = None
        for state in view.states.values():
            if not state.has_room or state.target.target_id in work.excluded:
                continue
            cost = state.total.requests + state.distrust
            cost += REMOTE_COST * (state.target.data_centre != work.caller_data_centre)
            if best is None or cost < best[0]:
                best = (cost, state)
        if best is None:
            return None
        state = best[1]
        load = OpenWork(1, work.prompt_tokens, work.memory_tokens)
        ahead = state.total.unread_tokens + work.prompt_tokens
        return Placed(state.target, load, ahead, state.is_cold)

    def ranking(self, work: Work) -> list[str]:
        """Return all targets of the request's pool in the order of its session."""
        key = (work.pool, work.session)
        ranking = self.rankings.get(key)
        if ranking is None:
            if len(self.rankings) >= REMEMBERED_RANKINGS:
                self.rankings.clear()
            everyone = (target.target_id for target in self.members(work.pool))
            ranking = sorted(everyone, key=lambda target_id: stable_hash(work.session, target_id))
            self.rankings[key] = ranking
        return ranking

    def candidates(self, work: Work, view: PoolView) -> list[TargetView]:
        """Return the engines that are considered for a request, in the order of its session."""
        candidates = []
        for target_id in self.ranking(work):
            state = view.states.get(target_id)
            if state is not None and target_id not in work.excluded:
                candidates.append(state)
                if len(candidates) == self.settings.candidates:
                    break
        return candidates

    def choose_engine(self, work: Work, view: PoolView) -> Placed | None:
        """Return the engine at which the request is read soonest, counting what would be read again.

        A request waits for the best engine. After a part of its waiting time it takes another one if that one
        has had nothing to read for a while: between two bursts it would keep sessions of its own waiting.
        """
        candidates = self.candidates(work, view)
        if not any(state.has_room and state.is_open for state in candidates):
            return None
        source = self.source(work, view)
        weighed = [
            entry for state in candidates if (entry := self.weigh(work, view, state, source)) is not None
        ]
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
        goal = work.goal_seconds
        service = self.services.get(work.pool.service)
        reading = settings.first_output_seconds
        if service is not None and service.engine is not None:
            reading += self.burst_seconds(work.pool.service)
        wait = max(goal - reading, settings.least_wait_part * goal)
        return min(wait, work.give_up_at - work.queued_at)

    def source(self, work: Work, view: PoolView) -> Source | None:
        """Return the usable engine that keeps most of a prompt, None if engines send each other nothing.

        One that has failed the request, or many others, could hold it up once more.
        """
        if not view.service.engine.transfer_rate:
            return None
        sources = (
            Source(
                target=view.states[holder].target,
                unread_tokens=self.caches.unread_tokens(holder, work.parts, work.prompt_tokens),
            )
            for holder in self.caches.longest_holders(work.parts)
            if holder in view.states and holder not in work.excluded and not view.states[holder].distrust
        )
        return min(sources, key=lambda source: (source.unread_tokens, source.target.target_id), default=None)

    def weigh(self, work: Work, view: PoolView, state: TargetView, source: Source | None) -> Weighed | None:
        """Return the cost of one engine, None when it has no room."""
        total = state.total
        if not state.has_room or (total.requests and total.memory_tokens + work.memory_tokens > view.memory):
            return None
        target_id = state.target.target_id
        unread = self.caches.unread_tokens(target_id, work.parts, work.prompt_tokens)
        source_id = ""
        if source is not None:
            engine = view.service.engine
            transferred = transferred_tokens(source, state.target, unread, state.pace.rate, engine)
            if transferred < unread:
                unread, source_id = transferred, source.target.target_id
        is_open = self.bursts.admits(
            target_id,
            unread,
            view.burst_seconds * state.pace.rate,
            view.now,
            pace=state.pace,
            share_used=work.share_used,
            is_scarce=view.is_scarce,
        )
        cost = (total.unread_tokens + self.settings.reread_weight * unread) / state.pace.rate + state.distrust
        load = OpenWork(1, unread, work.memory_tokens)
        ahead = total.unread_tokens + unread
        return Weighed(cost, Placed(state.target, load, ahead, state.is_cold, source_id), is_open)

    def burst_seconds(self, service: str) -> float:
        """Return how long an engine may read prompts without a pause."""
        settings = self.settings
        limits = (
            settings.burst_goal_part * self.goals.get(service, math.inf),
            settings.burst_pause_part * self.pause_goals.get(service, math.inf),
        )
        return max(settings.least_burst_seconds, min(limits))

    def observe(self, target_id: str, now: float) -> None:
        """Let the bursts and the reading rate follow the open work of a target."""
        target = self.targets.get(target_id)
        pace = UNKNOWN_PACE if target is None else self.rates.pace(target.service, target_id)
        finished = self.bursts.observe(target_id, self.loads.total(target_id).unread_tokens, now, pace)
        if finished is not None and target is not None:
            self.rates.sample(target.service, target_id, finished.tokens, finished.seconds)

    def distrust(self, target: Target) -> float:
        """Return the extra cost of a target that fails many requests."""
        return 0.0 if self.health_of(target.target_id).is_trusted else UNTRUSTED_COST

    def is_cold(self, target: Target, now: float) -> bool:
        """Return whether a target bears only little work."""
        return now < target.cold_until or self.health_of(target.target_id).is_unconfirmed(now)

    def bears(self, target: Target, service: Service, now: float) -> bool:
        """Return whether a request may be sent to a cold target now."""
        return service.cold_per_second <= 0 or self.cold_limit.allows(target.target_id, now)

    def cache_tokens(self, service: Service) -> float:
        """Return the tokens of kept prompt parts for which an engine of a service has room."""
        return self.settings.cache_part * service.engine.memory_tokens

    def start(self, work: Work, placed: Placed, now: float) -> None:
        """Count a request that is sent."""
        target_id = placed.target.target_id
        service = self.services[work.pool.service]
        self.count(target_id, placed.work, now)
        if service.engine is not None:
            self.caches.use(target_id, work.parts[:-1], self.cache_tokens(service))
        if placed.is_cold and service.cold_per_second > 0:
            self.cold_limit.sent(target_id, service.cold_per_second, now)

    def take_over(self, target_id: str, work: OpenWork, now: float) -> None:
        """Count work that another scheduler has sent to a target."""
        if work.unread_tokens:
            self.bursts.spoil(target_id)
        self.count(target_id, work, now)

    def count(self, target_id: str, work: OpenWork, now: float) -> None:
        """Count work that is open at a target."""
        self.loads.start(target_id, work)
        self.observe(target_id, now)

    def read(self, target_id: str, unread_tokens: int, now: float) -> None:
        """Note that a request's prompt has been read."""
        self.loads.read(target_id, unread_tokens)
        self.observe(target_id, now)

    def end(self, target_id: str, work: OpenWork, now: float) -> None:
        """Forget a request that has ended."""
        if work.unread_tokens:
            self.bursts.spoil(target_id)
        self.loads.end(target_id, work)
        self.observe(target_id, now)
