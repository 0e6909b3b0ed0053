"""Placement of requests on targets."""

import heapq
import math
from collections.abc import Callable
from dataclasses import dataclass

from limpetusher.fleet.model import Engine, EngineBasis, Pool, QueuedRequest, Service, Target
from limpetusher.fleet.process.announced_limits import AnnouncedLimits
from limpetusher.fleet.process.engine_costs import EngineCosts, engine_basis, next_weighing
from limpetusher.fleet.process.engine_memory import MemoryReservations, cache_capacity_tokens
from limpetusher.fleet.process.engine_spells import EngineSpells
from limpetusher.fleet.process.part_demand import PartDemand
from limpetusher.fleet.process.pool_view import PoolView, SessionEngine, TargetView
from limpetusher.fleet.process.prefill_bursts import UNKNOWN_SPEED, PrefillBursts
from limpetusher.fleet.process.prefill_intervals import PrefillIntervals
from limpetusher.fleet.process.prefill_rates import PrefillRates
from limpetusher.fleet.process.prompt_caches import PromptCaches
from limpetusher.fleet.process.rate_limits import TargetRateLimiter
from limpetusher.fleet.process.session_ranking import RateSteps
from limpetusher.fleet.process.session_ranking import rank as rank_for_session
from limpetusher.fleet.process.target_health import TargetHealth
from limpetusher.fleet.process.target_loads import TargetLoad, TargetLoads
from limpetusher.fleet.process.transfers import (
    TransferQueues,
    TransferSource,
    prefill_tokens_with_transfer,
    transfer_seconds,
)
from limpetusher.fleet.settings import FleetSettings

MAX_CACHED_RANKINGS = 4_000
REMOTE_COST = 0.5
"""Cost of a target in another data centre, in open requests. Below 1, so that it only decides ties."""
UNTRUSTED_COST = 1_000.0
"""Cost of a target with a high error rate, so that it is chosen only if no other one can take the request."""


@dataclass(frozen=True, slots=True)
class TargetChoice:
    """Target chosen for a request, and the load that the request adds there."""

    target: Target
    load: TargetLoad
    unread_ahead: int
    """Prompt tokens to prefill at the target, including those of the request."""
    is_cold: bool
    source_id: str = ""
    """Engine from which cached prompt parts are transferred, empty for no transfer."""
    basis: EngineBasis = EngineBasis.UNKNOWN
    saved_tokens: int = 0
    """Prompt tokens that the engine need not prefill."""
    session_rank: int = 0
    """Position among the usable engines in the session's order from 1 on, 0 for one outside of them."""


class Placement:
    """Chooses targets by their load, as known to this scheduler.

    Parameters
    ----------
    settings
        Constants of the placement policy.
    """

    def __init__(self, settings: FleetSettings):
        self.settings = settings
        self.services: dict[str, Service] = {}
        self.goals: dict[str, float] = {}
        """Shortest goal for the first output among the routes of each service, in seconds."""
        self.token_gap_goals: dict[str, float] = {}
        """Shortest goal for the gap between tokens among the streaming routes of each service, in seconds."""
        self.generation = 0
        """Incremented when targets are added, removed or changed."""
        self.targets: dict[str, Target] = {}
        self.by_service: dict[str, dict[str, Target]] = {}
        """Targets of each service by identifier."""
        self.rankings: dict[tuple[Pool, str], list[str]] = {}
        """Targets of a pool, ranked for a session by rendezvous hashing."""
        self.evacuated: set[str] = set()
        self.leaving: set[str] = set()
        """Targets that have announced in an answer that they are leaving, until they restart."""
        self.backoff_until: dict[str, float] = {}
        """Times until which overloaded targets have asked for no requests."""
        self.limits = AnnouncedLimits()
        self.health: dict[str, TargetHealth] = {}
        self.loads = TargetLoads()
        self.rates = PrefillRates(settings)
        self.rate_steps = RateSteps(settings.uneven_engines)
        self.spells = EngineSpells(settings.uneven_engines)
        self.bursts = PrefillBursts(settings)
        self.intervals = PrefillIntervals()
        self.caches = PromptCaches()
        self.memory = MemoryReservations(settings)
        self.transfers = TransferQueues()
        self.demand = PartDemand(settings)
        self.rate_limiter = TargetRateLimiter()
        self.count_schedulers: Callable[[float], int] = lambda _now: 1
        """Returns how many routers may each schedule the same pool without knowing of the others."""

    def put_target(self, target: Target) -> None:
        """Add or update a target."""
        previous = self.targets.get(target.target_id)
        if previous is not None and previous.started_at_milliseconds != target.started_at_milliseconds:
            self.caches.forget(target.target_id)
            self.spells.forget(target.target_id)
            self.transfers.forget(target.target_id)
            self.leaving.discard(target.target_id)
            self.backoff_until.pop(target.target_id, None)
            self.limits.forget(target.target_id)
        if previous is not None and previous.service != target.service:
            self.drop_from_service(previous)
        self.targets[target.target_id] = target
        self.by_service.setdefault(target.service, {})[target.target_id] = target
        if previous is None or previous.revision != target.revision:
            self.health_of(target.target_id).reset()
        self.invalidate_derived_state()

    def mark_leaving(self, target_id: str) -> bool:
        """Mark a target as leaving; return whether it was not marked before."""
        is_newly_leaving = target_id in self.targets and target_id not in self.leaving
        if is_newly_leaving:
            self.leaving.add(target_id)
            self.generation += 1
        return is_newly_leaving

    def set_backoff(self, target_id: str, until: float) -> None:
        """Send no requests to a target until a time, as it has asked for."""
        if target_id in self.targets:
            self.backoff_until[target_id] = max(until, self.backoff_until.get(target_id, 0.0))

    def remove_target(self, target_id: str) -> None:
        """Remove a target and all state about it."""
        previous = self.targets.pop(target_id, None)
        if previous is not None:
            self.drop_from_service(previous)
            self.health.pop(target_id, None)
            self.rates.forget(target_id)
            self.rate_steps.forget(target_id)
            self.spells.forget(target_id)
            self.bursts.forget(target_id)
            self.intervals.forget(target_id)
            self.caches.forget(target_id)
            self.memory.forget(target_id)
            self.transfers.forget(target_id)
            self.rate_limiter.forget(target_id)
            self.leaving.discard(target_id)
            self.backoff_until.pop(target_id, None)
            self.limits.forget(target_id)
            self.invalidate_derived_state()

    def drop_from_service(self, target: Target) -> None:
        """Remove a target from the index by service."""
        targets = self.by_service[target.service]
        del targets[target.target_id]
        if not targets:
            del self.by_service[target.service]

    def invalidate_derived_state(self) -> None:
        """Invalidate what is derived from the list of targets."""
        self.generation += 1
        self.rankings.clear()

    def health_of(self, target_id: str) -> TargetHealth:
        """Return the observed health of a target."""
        health = self.health.get(target_id)
        if health is None:
            health = self.health[target_id] = TargetHealth()
        return health

    def evacuate(self, data_centre: str, is_evacuated: bool) -> None:
        """Exclude the targets of a data centre, or include them again."""
        self.generation += 1
        if is_evacuated:
            self.evacuated.add(data_centre)
        else:
            self.evacuated.discard(data_centre)

    def is_listed(self, target: Target) -> bool:
        """Return whether a target is in service: not draining, leaving or in an evacuated data centre."""
        return (
            not target.is_draining
            and target.target_id not in self.leaving
            and target.data_centre not in self.evacuated
        )

    def is_backing_off(self, target_id: str, now: float) -> bool:
        """Return whether a target has asked for no requests at the moment."""
        return now < self.backoff_until.get(target_id, 0.0)

    def stream_versions(self, service: str) -> list[tuple[str, str]]:
        """Return the targets of a service that can begin streams, each with its software version.

        Only the store counts, as its changes are what all routers know.
        """
        return [
            (target.target_id, target.version)
            for target in self.by_service.get(service, {}).values()
            if not target.is_draining and target.data_centre not in self.evacuated
        ]

    def has_listed_version(self, pool: Pool, version: str) -> bool:
        """Return whether a target in service of a pool has a software version."""
        return any(target.version == version and self.is_listed(target) for target in self.targets_of(pool))

    def targets_of(self, pool: Pool) -> list[Target]:
        """Return all targets of a pool."""
        targets = list(self.by_service.get(pool.service, {}).values())
        if not pool.data_centre:
            return targets
        return [target for target in targets if target.data_centre == pool.data_centre]

    def is_usable(self, target: Target, now: float) -> bool:
        """Return whether a target may get requests now."""
        return (
            self.is_listed(target)
            and not self.is_backing_off(target.target_id, now)
            and not self.health_of(target.target_id).is_suspended(now)
        )

    def usable(self, pool: Pool, now: float) -> list[Target]:
        """Return the targets of a pool that may get requests now."""
        return [target for target in self.targets_of(pool) if self.is_usable(target, now)]

    def prefill_rate(self, pool: Pool, now: float, *, prompt_tokens: float) -> float:
        """Return the prefill rate of a pool's usable engines in tokens per second, including pauses.

        An engine with a limited request rate can't prefill more than it takes of prompts with on average
        `prompt_tokens` uncached tokens.
        """
        service = self.services.get(pool.service)
        seconds = self.burst_seconds(pool.service)
        total = 0.0
        for target in self.usable(pool, now):
            rate = self.rates.rate(pool.service, target.target_id)
            rate *= self.bursts.duty_cycle(target.target_id, seconds)
            if service is not None:
                requests = self.rate_limiter.used_rate(
                    self.max_request_rate(target, service, now), self.count_schedulers(now)
                )
                rate = min(rate, requests * prompt_tokens) if requests < math.inf else rate
            total += rate
        return total

    def view(self, pool: Pool, now: float, *, is_scarce: bool = False) -> PoolView:
        """Return a snapshot of a pool's usable targets for a series of decisions.

        `is_scarce` tells whether more prompt tokens wait than the engines can prefill in the next burst.
        """
        if self.rate_steps.is_due(pool, now):
            self.update_rate_steps(pool, now)
        return PoolView(self, pool, now, is_scarce=is_scarce)

    def update_rate_steps(self, pool: Pool, now: float) -> None:
        """Adapt the ranking of sessions to the measured rates of a pool's engines."""
        measured = {
            target.target_id: self.rates.measured(target.target_id) for target in self.targets_of(pool)
        }
        rates = {target_id: rate for target_id, rate in measured.items() if rate is not None}
        if self.rate_steps.update(pool, rates, now, engines=len(measured)):
            self.rankings.clear()

    def choose(self, request: QueuedRequest, now: float, view: PoolView | None = None) -> TargetChoice | None:
        """Return a target that can take the request now, None if the request has to wait."""
        view = view or self.view(request.pool, now)
        if view.service is None or not view.has_room:
            return None
        if view.service.engine is None or request.session is None:
            return self.choose_least_busy(request, view)
        return self.choose_engine(request, view)

    def choose_least_busy(self, request: QueuedRequest, view: PoolView) -> TargetChoice | None:
        """Return the target with the fewest open requests among those with a free slot."""
        best: tuple[float, TargetView] | None = None
        for state in view.states.values():
            if not state.has_room or not request.accepts(state.target):
                continue
            if view.memory_limit_tokens and not self.memory.fits(state, request, view.memory_limit_tokens):
                continue
            cost = state.load.requests + state.error_cost
            cost += REMOTE_COST * (state.target.data_centre != request.caller_data_centre)
            if best is None or cost < best[0]:
                best = (cost, state)
        if best is None:
            return None
        state = best[1]
        load = TargetLoad(1, request.prompt_tokens, request.memory_tokens)
        ahead = state.load.prefill_tokens + request.prompt_tokens
        return TargetChoice(state.target, load, ahead, state.is_cold)

    def ranking(self, request: QueuedRequest) -> list[str]:
        """Return all targets of the request's pool, ranked for its session by weighted rendezvous hashing."""
        key = (request.pool, request.session)
        ranking = self.rankings.get(key)
        if ranking is None:
            if len(self.rankings) >= MAX_CACHED_RANKINGS:
                self.rankings.clear()
            target_ids = (target.target_id for target in self.targets_of(request.pool))
            ranking = rank_for_session(request.session, target_ids, self.rate_steps.weights)
            self.rankings[key] = ranking
        return ranking

    def candidates(self, request: QueuedRequest, view: PoolView) -> list[TargetView]:
        """Return the highest-ranked usable engines for the session of a request."""
        candidates = []
        is_restricted = request.is_restricted
        for target_id in self.ranking(request):
            state = view.states.get(target_id)
            if state is not None and (not is_restricted or request.accepts(state.target)):
                candidates.append(state)
                if len(candidates) == self.settings.max_candidates:
                    break
        return candidates

    def choose_engine(self, request: QueuedRequest, view: PoolView) -> TargetChoice | None:
        """Return the engine with the lowest cost: the prefill time of the request and of the work ahead.

        A request waits for the best engine. After a fraction of its maximum wait it takes another one that
        has been idle for a while. An engine that only pauses between two bursts is not taken, because
        sessions of its own would have to wait, unless the customer of the request gets much less than it asks
        for while others get more.
        """
        request.awaited_tokens = 1
        if request.session in view.closed_sessions and not request.is_restricted:
            request.awaited_id = view.closed_sessions[request.session]
            return None
        request.awaited_id = ""
        engines = self.session_engines(request, view)
        if not any(engine.state.is_open for engine in engines):
            if engines and not request.is_restricted:
                request.awaited_id = engines[0].state.target.target_id
                view.closed_sessions[request.session] = request.awaited_id
            return None
        scored = self.score_engines(request, view, engines)
        if not scored:
            with_room = [engine.state for engine in engines if engine.state.has_room]
            if with_room:
                self.memory.record_shortage(request, with_room, view.now)
            return None
        _cost, _index, best = min(scored)
        request.awaited_tokens = best.prefill_tokens(request)
        if self.admits_tokens(request, view, best.state, request.awaited_tokens):
            return self.engine_choice(request, best)
        if view.weighs_waits:
            holders = self.further_holders(request, view, engines)
            if holders:
                scored = self.score_engines(request, view, [*engines, *holders])
                _cost, _index, best = min(scored)
                request.awaited_tokens = best.prefill_tokens(request)
                if self.admits_tokens(request, view, best.state, request.awaited_tokens):
                    return self.engine_choice(request, best)
            request.weighed_until = next_weighing(request, best.state.burst_wait_seconds, view.now)
        request.awaited_id = best.state.target.target_id
        if view.weighs_waits:
            # A better engine is found by the costs, unless the request takes busy engines.
            may_start_elsewhere = request.takes_busy_engines
        else:
            may_start_elsewhere = view.now >= self.earliest_idle_start(request)
        if not may_start_elsewhere:
            return None
        for _cost, _index, engine in sorted(scored):
            may_take = request.takes_busy_engines or self.bursts.is_idle(
                engine.state.target.target_id, view.now
            )
            if may_take and self.admits_tokens(request, view, engine.state, engine.prefill_tokens(request)):
                return self.engine_choice(request, engine)
        return None

    def earliest_idle_start(self, request: QueuedRequest) -> float:
        """Return the time from which a request may start at an idle engine that is not the best one."""
        max_wait = request.latest_start_at - request.queued_at
        return request.queued_at + request.patience * self.settings.best_engine_wait_fraction * max_wait

    def session_engines(self, request: QueuedRequest, view: PoolView) -> list[SessionEngine]:
        """Return the candidate engines of a request; the view keeps them for its session."""
        if request.is_restricted or request.source_id:
            return self.find_session_engines(request, view)
        engines = view.engines_by_session.get(request.session)
        if engines is None:
            engines = self.find_session_engines(request, view)
            view.engines_by_session[request.session] = engines
        return engines

    def find_session_engines(self, request: QueuedRequest, view: PoolView) -> list[SessionEngine]:
        """Return the candidate engines of a request with the cached tokens of its shared prompt parts.

        The cached tokens are not looked up if none of the engines can accept a request.
        """
        candidates = self.candidates(request, view)
        if view.weighs_waits and not any(state.is_open for state in candidates):
            candidates += self.further_candidates(request, view, candidates)
        if not any(state.is_open for state in candidates):
            return [SessionEngine(state, 0, "") for state in candidates]
        source = self.transfer_source(request, view)
        queued = (
            self.transfers.queued_seconds(source.target.target_id, view.now) if source is not None else 0.0
        )
        engines = []
        for rank, state in enumerate(candidates, 1):
            prefill_tokens = self.caches.prefill_tokens(
                state.target.target_id, request.parts, request.prompt_tokens
            )
            source_id = ""
            if source is not None and prefill_tokens > source.prefill_tokens:
                transfer_tokens = prefill_tokens_with_transfer(
                    source, state.target, prefill_tokens, state.speed.rate, view.service.engine, queued
                )
                if transfer_tokens < prefill_tokens:
                    prefill_tokens, source_id = transfer_tokens, source.target.target_id
            session_rank = rank if rank <= self.settings.max_candidates else 0
            engines.append(
                SessionEngine(state, request.prompt_tokens - prefill_tokens, source_id, session_rank)
            )
        return engines

    def weighs_waits(self, service: Service | None) -> bool:
        """Return whether the wait for an engine is weighed against what its cache saves."""
        engine = service.engine if service is not None else None
        return self.settings.weighs_waits and engine is not None and engine.transfer_rate > 0

    def further_candidates(
        self, request: QueuedRequest, view: PoolView, candidates: list[TargetView]
    ) -> list[TargetView]:
        """Return open engines besides the candidates that hold the longest prefix, the least busy first."""
        holders = self.caches.longest_holders(request.parts)
        known = {state.target.target_id for state in candidates}
        further = (view.states.get(target_id) for target_id in holders if target_id not in known)
        usable = (
            state
            for state in further
            if state is not None and state.is_open and request.accepts(state.target)
        )
        return heapq.nsmallest(
            self.settings.max_further_candidates,
            usable,
            key=lambda state: (state.load.prefill_tokens / state.speed.rate, state.target.target_id),
        )

    def further_holders(
        self, request: QueuedRequest, view: PoolView, engines: list[SessionEngine]
    ) -> list[SessionEngine]:
        """Return further engines that hold the longest prefix of a prompt, besides those of its session."""
        known = view.further_by_session.get(request.session)
        if known is not None and not request.is_restricted:
            return known
        further = self.further_candidates(request, view, [engine.state for engine in engines])
        cached_tokens = 0
        if further:
            holder_id = further[0].target.target_id
            cached_tokens = request.prompt_tokens - self.caches.prefill_tokens(
                holder_id, request.parts, request.prompt_tokens
            )
        holders = [SessionEngine(state, cached_tokens, "") for state in further]
        if not request.is_restricted:
            view.further_by_session[request.session] = holders
        return holders

    def score_engines(
        self, request: QueuedRequest, view: PoolView, engines: list[SessionEngine]
    ) -> list[tuple[float, int, SessionEngine]]:
        """Return the cost in seconds, the rank and the engine for each engine with a slot and memory."""
        scored = []
        memory_limit = view.memory_limit_tokens - request.memory_tokens
        prompt_tokens = request.prompt_tokens
        has_reservations = bool(self.memory.by_target)
        uncached_token_cost = self.settings.uncached_token_cost
        costs = None
        if view.weighs_waits:
            wanted = self.demand.engines(request.session, engines[0].state.speed.rate, view.now)
            costs = EngineCosts.of(request, engines, view, self.settings, wanted)
        for rank, engine in enumerate(engines):
            state = engine.state
            load = state.load
            # Without calls, as this is the innermost loop of a placement run; `fits` checks the same.
            if not state.has_room or (load.requests and load.memory_tokens > memory_limit):
                continue
            if has_reservations and not self.memory.fits(state, request, view.memory_limit_tokens):
                continue
            prefill_tokens = max(prompt_tokens - engine.cached_tokens, 1)
            if costs is not None:
                seconds = costs.seconds(state, prefill_tokens, rank)
            else:
                seconds = (load.prefill_tokens + uncached_token_cost * prefill_tokens) / state.speed.rate
            scored.append((seconds + state.error_cost + state.spell_delay, rank, engine))
        return scored

    def admits_tokens(
        self, request: QueuedRequest, view: PoolView, state: TargetView, prefill_tokens: int
    ) -> bool:
        """Return whether the current burst of an engine admits a prompt with so many tokens to prefill."""
        return self.bursts.admits(
            state.target.target_id,
            prefill_tokens,
            view.burst_seconds * state.speed.rate,
            view.now,
            speed=state.speed,
            share_used=request.share_used,
            is_scarce=view.is_scarce,
        )

    def engine_choice(self, request: QueuedRequest, engine: SessionEngine) -> TargetChoice:
        """Return the choice of an engine for a request."""
        state = engine.state
        prefill_tokens = engine.prefill_tokens(request)
        return TargetChoice(
            target=state.target,
            load=TargetLoad(1, prefill_tokens, request.memory_tokens),
            unread_ahead=state.load.prefill_tokens + prefill_tokens,
            is_cold=state.is_cold,
            source_id=engine.source_id,
            basis=engine_basis(request, engine),
            saved_tokens=request.prompt_tokens - prefill_tokens,
            session_rank=engine.rank,
        )

    def max_wait_seconds(self, request: QueuedRequest) -> float:
        """Return the maximum time in seconds for which a request may wait for a target."""
        settings = self.settings
        goal = request.goal_seconds
        service = self.services.get(request.pool.service)
        prefill_seconds = settings.first_output_seconds
        if service is not None and service.engine is not None:
            prefill_seconds += self.burst_seconds(request.pool.service)
        wait = max(goal - prefill_seconds, settings.min_wait_fraction * goal)
        if request.resumes:
            wait = max(wait, settings.resumed_stream_wait_seconds)
        return min(wait, request.give_up_at - request.queued_at)

    def transfer_source(self, request: QueuedRequest, view: PoolView) -> TransferSource | None:
        """Return the usable engine that has cached most of a prompt, None if engines don't support transfers.

        Engines that have failed the request, or have a high error rate, are excluded, as they could delay it
        again.
        """
        if not view.service.engine.transfer_rate:
            return None
        best: tuple[int, float, str] | None = None
        for holder in self.caches.longest_holders(request.parts):
            state = view.states.get(holder)
            if state is None or holder in request.excluded or state.error_cost:
                continue
            prefill_tokens = self.caches.prefill_tokens(holder, request.parts, request.prompt_tokens)
            key = (prefill_tokens, self.transfers.queued_seconds(holder, view.now), holder)
            if best is None or key < best:
                best = key
        found = TransferSource(view.states[best[2]].target, best[0]) if best is not None else None
        if request.source_id and request.source_id not in view.states:
            named = self.named_source(request, view.now)
            if named is not None and (found is None or named.prefill_tokens < found.prefill_tokens):
                return named
        return found

    def named_source(self, request: QueuedRequest, now: float) -> TransferSource | None:
        """Return the usable engine of another pool that its scheduler has named as a source, None if none."""
        target = self.targets.get(request.source_id)
        if target is None or target.service != request.pool.service:
            return None
        shared_tokens = request.prompt_tokens - request.parts[-1].tokens
        tokens = min(request.source_tokens, shared_tokens)
        if tokens <= 0 or not self.is_source(target, request, now):
            return None
        return TransferSource(target, max(request.prompt_tokens - tokens, 1))

    def is_source(self, target: Target, request: QueuedRequest, now: float) -> bool:
        """Return whether an engine may send cached parts of a request."""
        return (
            self.is_usable(target, now)
            and self.health_of(target.target_id).is_trusted
            and target.target_id not in request.excluded
        )

    def source_for_other_pools(self, request: QueuedRequest, now: float) -> TransferSource | None:
        """Return the engine of a request's pool from which another pool may transfer cached parts."""
        service = self.services.get(request.pool.service)
        engine = service.engine if service is not None else None
        if engine is None or not engine.transfer_rate or not request.pool.data_centre:
            return None
        usable = (
            target_id
            for target_id in self.caches.longest_holders(request.parts)
            if self.is_source(self.targets[target_id], request, now)
        )
        holder_id = min(
            usable,
            key=lambda target_id: (self.transfers.queued_seconds(target_id, now), target_id),
            default=None,
        )
        if holder_id is None:
            return None
        prefill_tokens = self.caches.prefill_tokens(holder_id, request.parts, request.prompt_tokens)
        if prefill_tokens >= request.prompt_tokens:
            return None
        return TransferSource(self.targets[holder_id], prefill_tokens)

    def record_transfer(
        self, request: QueuedRequest, choice: TargetChoice, engine: Engine, now: float
    ) -> None:
        """Record a transfer to the engine of a request, before the request counts as cached there."""
        source = self.targets.get(choice.source_id)
        if source is None:
            return
        parts, prompt_tokens = request.parts, request.prompt_tokens
        tokens = self.caches.prefill_tokens(choice.target.target_id, parts, prompt_tokens)
        if choice.source_id == request.source_id:
            tokens -= prompt_tokens - request.source_tokens
        else:
            tokens -= self.caches.prefill_tokens(choice.source_id, parts, prompt_tokens)
        seconds = transfer_seconds(source, choice.target, max(tokens, 0), engine)
        self.transfers.record(choice.source_id, seconds, now)

    def burst_seconds(self, service: str) -> float:
        """Return the maximum duration of a prefill burst in seconds."""
        settings = self.settings
        limits = (
            settings.burst_goal_fraction * self.goals.get(service, math.inf),
            settings.burst_token_gap_fraction * self.token_gap_goals.get(service, math.inf),
        )
        return max(settings.min_burst_seconds, min(limits))

    def update_pending_tokens(self, target_id: str, now: float) -> None:
        """Update the burst and the prefill rate of a target from its load."""
        target = self.targets.get(target_id)
        speed = UNKNOWN_SPEED if target is None else self.rates.speed(target.service, target_id)
        pending_tokens = self.loads.total(target_id).prefill_tokens
        finished = self.bursts.update_pending_tokens(target_id, pending_tokens, now, speed)
        interval = self.intervals.update_pending_tokens(target_id, pending_tokens, now)
        if target is None:
            return
        rate = self.rates.measured(target_id) if now >= target.cold_until else None
        self.spells.update_pending_tokens(target_id, pending_tokens, now, rate)
        if finished is not None and not self.spells.affects_sample(target_id, now - finished.seconds):
            self.rates.add_sample(target.service, target_id, finished.tokens, finished.seconds)
        if interval is not None and not self.spells.affects_sample(target_id, now - interval.seconds):
            self.rates.add_interval(target.service, target_id, interval)

    def error_cost(self, target: Target) -> float:
        """Return the additional cost of a target with a high error rate."""
        return 0.0 if self.health_of(target.target_id).is_trusted else UNTRUSTED_COST

    def is_cold(self, target: Target, now: float) -> bool:
        """Return whether a target is cold, or has to be treated as cold."""
        return now < target.cold_until or self.health_of(target.target_id).is_assumed_cold(now)

    def max_request_rate(self, target: Target, service: Service, now: float) -> float:
        """Return the requests per second that a target takes from all routers, infinite without a limit."""
        rate = self.limits.per_second(target.target_id)
        if service.cold_per_second > 0 and self.is_cold(target, now):
            rate = min(rate, service.cold_per_second)
        return rate

    def allows_request(self, target: Target, service: Service, now: float) -> bool:
        """Return whether the request rate of a target allows a request now."""
        rate = self.max_request_rate(target, service, now)
        return math.isinf(rate) or self.rate_limiter.allows(
            target.target_id, rate, now, schedulers=self.count_schedulers(now)
        )

    def record_start(self, request: QueuedRequest, choice: TargetChoice, now: float) -> None:
        """Record a request that is sent to a target."""
        target_id = choice.target.target_id
        service = self.services[request.pool.service]
        self.add_load(target_id, choice.load, now)
        if service.engine is not None:
            if choice.source_id:
                self.record_transfer(request, choice, service.engine, now)
            capacity = cache_capacity_tokens(service.engine, self.loads.total(target_id), self.settings)
            self.caches.record_use(target_id, request.parts[:-1], capacity)
        rate = self.max_request_rate(choice.target, service, now)
        if rate < math.inf:
            self.rate_limiter.record_sent(target_id, rate, now, schedulers=self.count_schedulers(now))

    def take_over(self, target_id: str, load: TargetLoad, now: float) -> None:
        """Add the load of a request that another scheduler has placed."""
        if load.prefill_tokens:
            self.exclude_prefill(target_id)
        self.add_load(target_id, load, now)

    def exclude_prefill(self, target_id: str) -> None:
        """Exclude the current prefill work of a target from the measured rates."""
        self.bursts.exclude_from_samples(target_id)
        self.spells.discard(target_id)
        self.intervals.discard(target_id)

    def add_load(self, target_id: str, load: TargetLoad, now: float) -> None:
        """Add load to a target."""
        self.loads.add(target_id, load)
        self.update_pending_tokens(target_id, now)

    def end_prefill(self, target_id: str, prefill_tokens: int, now: float) -> None:
        """Record that the prefill of a request has ended."""
        self.loads.end_prefill(target_id, prefill_tokens)
        self.update_pending_tokens(target_id, now)

    def record_end(self, target_id: str, load: TargetLoad, now: float) -> None:
        """Subtract the load of a request that has ended."""
        if load.prefill_tokens:
            self.exclude_prefill(target_id)
        self.loads.subtract(target_id, load)
        self.update_pending_tokens(target_id, now)
