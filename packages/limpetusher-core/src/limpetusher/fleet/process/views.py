"""State of a pool's targets during a series of choices."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from limpetusher.fleet.model import Pool, Target
from limpetusher.fleet.process.bursts import EnginePace
from limpetusher.fleet.process.loads import OpenWork

if TYPE_CHECKING:
    from limpetusher.fleet.process.placement import Placement


@dataclass(slots=True)
class TargetView:
    """State of one usable target during a series of choices."""

    target: Target
    total: OpenWork
    """Open work there."""
    pace: EnginePace
    is_cold: bool
    has_room: bool
    """Whether it has a free slot, and bears another request if it is cold."""
    is_open: bool
    """Whether a prompt of the least served customer may be sent now."""
    distrust: float


class PoolView:
    """State of a pool's usable targets during a series of choices.

    Parameters
    ----------
    placement
        Placement that chooses.
    pool
        The pool.
    now
        Reading of the monotonic clock.
    is_scarce
        Whether more waits than the engines read in the next burst.
    """

    def __init__(self, placement: "Placement", pool: Pool, now: float, *, is_scarce: bool = False):
        self.placement = placement
        self.now = now
        self.is_scarce = is_scarce
        self.service = placement.services.get(pool.service)
        engine = self.service.engine if self.service is not None else None
        self.memory = placement.settings.memory_part * engine.memory_tokens if engine is not None else 0.0
        self.burst_seconds = placement.burst_seconds(pool.service)
        self.states: dict[str, TargetView] = {}
        if self.service is not None:
            for target in placement.usable(pool, now):
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
        pace = placement.rates.pace(target.service, target_id)
        is_cold = placement.is_cold(target, now)
        is_open = True
        if self.service.engine is not None:
            window = self.burst_seconds * pace.rate
            is_open = placement.bursts.admits(target_id, 1, window, now, pace=pace, is_scarce=self.is_scarce)
        self.states[target_id] = TargetView(
            target=target,
            total=total,
            pace=pace,
            is_cold=is_cold,
            has_room=total.requests < target.slots
            and (not is_cold or placement.bears(target, self.service, now)),
            is_open=is_open,
            distrust=placement.distrust(target),
        )
