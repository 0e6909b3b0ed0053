"""Snapshot of a pool's targets, used for a series of placement decisions."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from limpetusher.fleet.model import Pool, Target
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
    has_room: bool
    """Whether the target has a free slot and, if cold, may get another request."""
    admits_prompt: bool
    """Whether the burst limit admits a prompt of the least served customer."""
    error_cost: float


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
        self.burst_seconds = placement.burst_seconds(pool.service)
        self.states: dict[str, TargetView] = {}
        if self.service is not None:
            for target in placement.usable(pool, now):
                self.refresh(target)

    @property
    def has_room(self) -> bool:
        """Return whether any target can accept a request."""
        return any(state.has_room and state.admits_prompt for state in self.states.values())

    def refresh(self, target: Target) -> None:
        """Update the state of a target."""
        placement, now = self.placement, self.now
        target_id = target.target_id
        load = placement.loads.total(target_id)
        speed = placement.rates.speed(target.service, target_id)
        is_cold = placement.is_cold(target, now)
        admits_prompt = True
        if self.service.engine is not None:
            window = self.burst_seconds * speed.rate
            admits_prompt = placement.bursts.admits(
                target_id, 1, window, now, speed=speed, is_scarce=self.is_scarce
            )
        self.states[target_id] = TargetView(
            target=target,
            load=load,
            speed=speed,
            is_cold=is_cold,
            has_room=load.requests < target.slots
            and (not is_cold or placement.allows_cold_request(target, self.service, now)),
            admits_prompt=admits_prompt,
            error_cost=placement.error_cost(target),
        )
