"""Cooldown of an engine without prefill work after a burst, so that its running streams finish in time.

During prefill, each step of an engine takes as long as a prefill chunk, and streams get one token per step.
The slowdown differs between engines, so the cooldown is controlled by feedback from the streams: it grows
while too many of them are too slow for their deadlines, and shrinks otherwise.
"""

from collections.abc import Iterable

COOLDOWN_ADJUST_INTERVAL_SECONDS = 0.25
"""Interval between two adjustments of a cooldown; streams report twice a second."""
SPEEDUP_QUANTILE = 0.9
"""Quantile of the needed speedups that controls the cooldown; the largest may exceed what the engine can
do."""
RATIO_GROWTH = 0.15
"""Increase of the cooldown ratio for each unit of needed speedup above 1."""
MAX_EXCESS_SPEEDUP = 1.0
"""Cap on the needed speedup above 1: a stream that needs more can't finish in time anyway."""
RATIO_SHRINKAGE = 0.02
MAX_COOLDOWN_RATIO = 0.6
"""Upper bound of the cooldown ratio; beyond it, more prompts are refused than streams finish in time."""


class PrefillCooldowns:
    """Cooldowns by engine, as a ratio to the duration of the preceding burst."""

    def __init__(self):
        self.ratios: dict[str, float] = {}

    @property
    def max_ratio(self) -> float:
        """Return the longest cooldown, as a ratio to the burst duration."""
        return max(self.ratios.values(), default=0.0)

    def ratio(self, target_id: str) -> float:
        """Return the cooldown of an engine as a ratio to the burst duration."""
        return self.ratios.get(target_id, 0.0)

    def adjust(self, target_id: str, speedups: Iterable[float]) -> None:
        """Adjust the cooldown of an engine to the speedups that its streams need."""
        needed = speedup_quantile(speedups)
        excess = min(needed - 1.0, MAX_EXCESS_SPEEDUP)
        change = RATIO_GROWTH * excess if excess > 0 else -RATIO_SHRINKAGE
        ratio = min(max(self.ratio(target_id) + change, 0.0), MAX_COOLDOWN_RATIO)
        if ratio > 0:
            self.ratios[target_id] = ratio
        else:
            self.ratios.pop(target_id, None)

    def forget(self, target_id: str) -> None:
        """Remove the state of an engine."""
        self.ratios.pop(target_id, None)


def speedup_quantile(speedups: Iterable[float]) -> float:
    """Return the `SPEEDUP_QUANTILE` of the speedups, 0 without streams."""
    ordered = sorted(speedups)
    if not ordered:
        return 0.0
    return ordered[min(int(SPEEDUP_QUANTILE * len(ordered)), len(ordered) - 1)]
