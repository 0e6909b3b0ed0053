"""How long an engine reads no prompts after a burst, so that the streams that run there end in time.

While an engine reads, each of its steps takes as long as a chunk of a prompt, and streams get one token a
step. How much that slows them down differs between engines, so the rest follows from what the streams report:
it grows while too many of them are too slow for their callers' time, and shrinks otherwise.
"""

from collections.abc import Iterable

REVIEW_SECONDS = 0.25
"""Time between two changes of a rest; streams report twice a second."""
SPEEDUP_QUANTILE = 0.9
"""Part of an engine's streams that are to end in time; the largest may need more than the engine can do."""
GROWTH = 0.15
"""Growth of a rest, in parts of the burst, for each unit of needed speedup above 1."""
LARGEST_EXCESS = 1.0
"""Needed speedup above 1 beyond which the growth is the same: the stream can't end in time anyway."""
SHRINKAGE = 0.02
LONGEST_REST = 0.6
"""Longest rest, in parts of the burst; beyond it more prompts are refused than streams are saved."""


class Rests:
    """Rests by engine, in parts of the burst before."""

    def __init__(self):
        self.parts: dict[str, float] = {}

    def part(self, target_id: str) -> float:
        """Return the rest of an engine in parts of a burst."""
        return self.parts.get(target_id, 0.0)

    def review(self, target_id: str, speedups: Iterable[float]) -> None:
        """Change the rest of an engine by the speedups that its streams need."""
        needed = quantile(speedups)
        excess = min(needed - 1.0, LARGEST_EXCESS)
        change = GROWTH * excess if excess > 0 else -SHRINKAGE
        part = min(max(self.part(target_id) + change, 0.0), LONGEST_REST)
        if part > 0:
            self.parts[target_id] = part
        else:
            self.parts.pop(target_id, None)

    def forget(self, target_id: str) -> None:
        """Forget an engine that is gone."""
        self.parts.pop(target_id, None)


def quantile(speedups: Iterable[float]) -> float:
    """Return the speedup by which the wanted part of the streams would end in time, 0 without streams."""
    ordered = sorted(speedups)
    if not ordered:
        return 0.0
    return ordered[min(int(SPEEDUP_QUANTILE * len(ordered)), len(ordered) - 1)]
