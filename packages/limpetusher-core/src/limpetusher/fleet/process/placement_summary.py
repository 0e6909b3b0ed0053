"""Summary of the placement runs of one scheduler over a period."""

from collections.abc import Iterable
from dataclasses import dataclass

from limpetusher.fleet.messages import TargetGrant, TargetRefusal


@dataclass(slots=True)
class PlacementSummary:
    """Counts of placement runs and their decisions; durations are in seconds."""

    runs: int = 0
    run_seconds: float = 0.0
    longest_run_seconds: float = 0.0
    max_waiting: int = 0
    """Maximum number of requests that waited at the start of a run."""
    started: int = 0
    refused: int = 0

    def record_run(
        self, seconds: float, waiting: int, answers: Iterable[tuple[str, TargetGrant | TargetRefusal]]
    ) -> None:
        """Add a run that began with `waiting` requests and sent `answers`."""
        self.runs += 1
        self.run_seconds += seconds
        self.longest_run_seconds = max(self.longest_run_seconds, seconds)
        self.max_waiting = max(self.max_waiting, waiting)
        for _address, answer in answers:
            if isinstance(answer, TargetGrant):
                self.started += 1
            else:
                self.refused += 1
