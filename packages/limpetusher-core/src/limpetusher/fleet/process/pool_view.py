"""Snapshot of a pool's targets, used for a series of placement decisions."""

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from limpetusher.fleet.model import Pool, QueuedRequest, Target
from limpetusher.fleet.process.prefill_bursts import PrefillSpeed
from limpetusher.fleet.process.target_loads import TargetLoad

if TYPE_CHECKING:
    from limpetusher.fleet.process.placement import Placement


@dataclass(slots=True)
class TargetView:
    """State of one usable target in a pool view."""

    target: Target
    load: TargetLoad
    """Load of the open requests."""
    speed: PrefillSpeed
    is_cold: bool
    has_room: bool = False
    """Whether the target has a free slot and its request rate allows another request."""
    admits_prompt: bool = False
    """Whether the burst limit admits a prompt of the least served customer."""
    error_cost: float = 0.0
    spell_delay: float = 0.0
    """Time in seconds that the target is expected to lose by a slow spell."""
    burst_tokens: int = 0
    """Prompt tokens of the current burst, 0 if a new burst may begin; only known where waits are weighed."""
    burst_wait_seconds: float = 0.0
    """Expected time until the next burst; only known where waits are weighed."""

    @property
    def is_open(self) -> bool:
        """Return whether the target can accept a request."""
        return self.has_room and self.admits_prompt


@dataclass(slots=True)
class SessionEngine:
    """Candidate engine for the requests of a session."""

    state: TargetView
    cached_tokens: int
    """Prompt tokens of the session's shared parts that take no prefill time at the engine."""
    source_id: str
    """Engine from which cached prompt parts are transferred, empty for no transfer."""
    rank: int = 0
    """Position among the usable engines in the session's order from 1 on, 0 for one outside of the first."""

    def prefill_tokens(self, request: QueuedRequest) -> int:
        """Return the prompt tokens of a request to prefill at the engine."""
        return max(request.prompt_tokens - self.cached_tokens, 1)


BUSY_ENGINE_INTERVAL_SECONDS = 0.02
"""Interval at which a request that takes busy engines is compared with them again. Customers behind may have
most of the waiting requests, which would otherwise take the time of all placement runs."""


class PoolView:
    """Snapshot of a pool's usable targets, used for a series of placement decisions.

    Parameters
    ----------
    placement
        Placement that owns the state of the targets.
    pool
        The pool.
    now
        Reading of the monotonic clock.
    is_scarce
        Whether more prompt tokens wait than the engines can prefill in the next burst.
    """

    def __init__(self, placement: "Placement", pool: Pool, now: float, *, is_scarce: bool = False):
        self.placement = placement
        self.now = now
        self.is_scarce = is_scarce
        self.service = placement.services.get(pool.service)
        engine = self.service.engine if self.service is not None else None
        self.memory_limit_tokens = (
            placement.settings.memory_fraction * engine.memory_tokens if engine is not None else 0.0
        )
        self.weighs_waits = placement.weighs_waits(self.service)
        self.burst_seconds = placement.burst_seconds(pool.service)
        self.states: dict[str, TargetView] = {}
        self.open_targets = 0
        """Number of targets that can accept a request."""
        self.engines_by_session: dict[str, list[SessionEngine]] = {}
        """Candidate engines of the sessions that were scored so far."""
        self.closed_sessions: dict[str, str] = {}
        """Preferred engine of each session without a candidate that can accept a request."""
        self.further_by_session: dict[str, list[SessionEngine]] = {}
        """Further engines that hold the longest prefix of the prompts of a session."""
        self.idle_engine_exists: bool | None = None
        """Value of `has_idle_engine`, None before it is needed."""
        if self.service is not None:
            for target in placement.usable(pool, now):
                self.refresh(target)
        self.scarcity = self.measure_scarcity() if self.weighs_waits else 0.0
        """Shortage of engine time, from 0 to 1."""

    def measure_scarcity(self) -> float:
        """Return the average part of the bursts that engines have got, 1 if more waits than the next take.

        The waiting tokens alone show no shortage, as what can't start in time is refused and does not wait.
        """
        if self.is_scarce or not self.states:
            return 1.0
        filled = sum(
            state.burst_tokens / (self.burst_seconds * state.speed.rate) if state.admits_prompt else 1.0
            for state in self.states.values()
        )
        return min(filled / len(self.states), 1.0)

    @property
    def has_room(self) -> bool:
        """Return whether any target can accept a request."""
        return self.open_targets > 0

    def is_still_awaited(self, request: QueuedRequest) -> bool:
        """Return whether a request still waits for the engine that was the best one for it."""
        state = self.states.get(request.awaited_id)
        if state is None:
            return False
        if state.is_open and self.placement.admits_tokens(request, self, state, request.awaited_tokens):
            return False
        if request.takes_busy_engines:
            return self.now < request.considered_at + BUSY_ENGINE_INTERVAL_SECONDS
        if self.weighs_waits:
            return self.now < max(request.weighed_until, request.considered_at + BUSY_ENGINE_INTERVAL_SECONDS)
        return not self.has_idle_engine or self.now < self.placement.earliest_idle_start(request)

    @property
    def has_idle_engine(self) -> bool:
        """Return whether an engine was idle at the time of the view; it may have got a request since."""
        if self.idle_engine_exists is None:
            bursts = self.placement.bursts
            self.idle_engine_exists = any(
                state.is_open and bursts.is_idle(target_id, self.now)
                for target_id, state in self.states.items()
            )
        return self.idle_engine_exists

    def availability(self) -> Counter[str]:
        """Return how many usable targets are open, full, cold, limited by an announced rate or in a burst."""
        return Counter(
            "open"
            if state.is_open
            else "burst"
            if state.has_room
            else "full"
            if state.load.requests >= state.target.slots
            else "cold"
            if state.is_cold
            else "limited"
            for state in self.states.values()
        )

    def refresh(self, target: Target) -> None:
        """Update the state of a target."""
        placement, now = self.placement, self.now
        target_id = target.target_id
        load = placement.loads.total(target_id)
        speed = placement.rates.speed(target.service, target_id)
        is_cold = placement.is_cold(target, now)
        admits_prompt = True
        spell_delay = 0.0
        if self.service.engine is not None:
            spell_delay = placement.spells.expected_delay(target_id, now)
            window = self.burst_seconds * speed.rate
            admits_prompt = placement.bursts.admits(
                target_id, 1, window, now, speed=speed, is_scarce=self.is_scarce
            )
        state = self.states.get(target_id)
        if state is None:
            state = self.states[target_id] = TargetView(target, load, speed, is_cold)
        self.open_targets -= state.is_open
        state.load, state.speed, state.is_cold = load, speed, is_cold
        state.has_room = load.requests < target.slots and placement.allows_request(target, self.service, now)
        state.admits_prompt = admits_prompt
        state.error_cost = placement.error_cost(target)
        state.spell_delay = spell_delay
        if self.weighs_waits:
            state.burst_tokens, state.burst_wait_seconds = placement.bursts.progress(target_id, now, speed)
        self.open_targets += state.is_open

    def record_start(self, target: Target, session: str | None) -> None:
        """Update the view after a request of a session was sent to a target."""
        self.refresh(target)
        if session is not None:
            self.engines_by_session.pop(session, None)
