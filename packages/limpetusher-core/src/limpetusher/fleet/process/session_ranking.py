"""Ranking of engines for a session by rendezvous hashing, weighted by their prefill rates.

Each engine gets a part of the sessions in proportion to its weight. Weights are powers of a step, relative to
the median rate of the pool, so that measured rates that vary a little move no session, and engines of equal
rate have equal weights. A change of one weight only moves sessions to or from that engine.
"""

import math
import statistics
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from limpetusher.fleet.model import Pool
from limpetusher.fleet.process.uneven_engine_settings import UnevenEngineSettings
from limpetusher.fleet.version.routing import HASH_BYTES, stable_hash

MIN_MEASURED_FRACTION = 0.75
"""Part of a pool's engines that must be measured, as the median of a few may be far from that of all."""
UPDATE_INTERVAL_SECONDS = 0.5
"""Time between two updates of a pool's weights; bounds the work, as rates change with each sample."""


def rank(session: str, target_ids: Iterable[str], weights: Mapping[str, float]) -> list[str]:
    """Return targets in the order of preference for a session; a target without a weight has weight 1.

    Targets of equal weight are ordered by their hashes.
    """
    hashes = {target_id: stable_hash(session, target_id) for target_id in target_ids}
    found = {weights.get(target_id, 1.0) for target_id in hashes}
    if len(found) <= 1:
        return sorted(hashes, key=hashes.__getitem__)
    return sorted(
        hashes,
        key=lambda target_id: (
            arrival_time(hashes[target_id], weights.get(target_id, 1.0)),
            hashes[target_id],
        ),
    )


def arrival_time(hashed: int, weight: float) -> float:
    """Return an exponentially distributed number of rate `weight`, which grows with the hash.

    The lowest of several such numbers belongs to each of them in proportion to its weight.
    """
    point = (hashed + 0.5) / 2 ** (8 * HASH_BYTES)
    # The greatest hashes are rounded to 1, which has no logarithm.
    return -math.log1p(-min(point, 1.0 - 2.0**-53)) / weight


@dataclass(frozen=True, slots=True)
class StepChange:
    """Change of an engine's weight and the rates, in tokens per second, for which it changes."""

    target_id: str
    weight: float
    previous_weight: float
    rate: float
    median_rate: float


class RateSteps:
    """Steps of the engines' prefill rates, relative to the median of their pool.

    Parameters
    ----------
    settings
        Size of the steps, and conditions of a change.
    """

    def __init__(self, settings: UnevenEngineSettings):
        self.settings = settings
        self.steps: dict[str, int] = {}
        """Steps other than 0 by target."""
        self.weights: dict[str, float] = {}
        """Weights other than 1 by target."""
        self.away_since: dict[str, float] = {}
        """Times since which the rates of targets have been away from their steps."""
        self.updated_at: dict[Pool, float] = {}
        self.changes: list[StepChange] = []
        """Changes that were not logged yet."""

    def is_due(self, pool: Pool, now: float) -> bool:
        """Return whether the steps of a pool's engines have to be updated."""
        return now >= self.updated_at.get(pool, -math.inf) + UPDATE_INTERVAL_SECONDS

    def update(self, pool: Pool, rates: Mapping[str, float], now: float, *, engines: int) -> bool:
        """Update the steps of a pool's engines from their measured rates; return whether any has changed.

        The median is unknown until most of the pool's engines are measured.
        """
        self.updated_at[pool] = now
        if (
            not self.settings.weighs_sessions
            or len(rates) < 2
            or len(rates) < MIN_MEASURED_FRACTION * engines
        ):
            return False
        median = statistics.median(rates.values())
        changed = [
            target_id for target_id, rate in rates.items() if self.update_target(target_id, rate, median, now)
        ]
        return bool(changed)

    def update_target(self, target_id: str, rate: float, median: float, now: float) -> bool:
        """Update the step of an engine; return whether it has changed."""
        settings = self.settings
        exact = math.log(rate / median) / math.log(settings.rate_step)
        step = self.steps.get(target_id, 0)
        if abs(exact - step) < settings.step_change_threshold:
            self.away_since.pop(target_id, None)
            return False
        if now < self.away_since.setdefault(target_id, now) + settings.step_hold_seconds:
            return False
        del self.away_since[target_id]
        self.steps[target_id] = round(exact)
        previous = self.weights.get(target_id, 1.0)
        self.weights[target_id] = settings.rate_step ** round(exact)
        self.changes.append(StepChange(target_id, self.weights[target_id], previous, rate, median))
        return True

    def take_changes(self) -> list[StepChange]:
        """Return the changes since the last call."""
        changes, self.changes = self.changes, []
        return changes

    def forget(self, target_id: str) -> None:
        """Remove the state of a target."""
        self.steps.pop(target_id, None)
        self.weights.pop(target_id, None)
        self.away_since.pop(target_id, None)
