"""Concurrency limit of a target: reduced while it is cold, then growing to its full number of slots."""

from dataclasses import dataclass

from limpetusher.configuration.compiled import TargetClass
from limpetusher.core.inputs import LoadReported


@dataclass(slots=True)
class TargetLimit:
    """Number of requests that a target may run at once.

    A target is cold until a report measured after `failed_at` says that it is warm. From then on, the limit
    doubles whenever as many requests have completed at the limit as it allows at once. `completed_at_limit`
    counts them.
    """

    slots: int
    cold_slots: int
    current: int = 0
    warm: bool = False
    boot_id: str | None = None
    failed_at: float | None = None
    completed_at_limit: int = 0

    @classmethod
    def for_class(cls, target_class: TargetClass) -> "TargetLimit":
        """Return the limit of a target that has not sent a load report yet."""
        limit = cls(target_class.slots, target_class.cold_slots)
        limit.reset_to_cold()
        return limit

    def configure(self, target_class: TargetClass) -> None:
        """Apply a changed number of slots; a limit that was at its maximum stays at the maximum."""
        if (self.slots, self.cold_slots) == (target_class.slots, target_class.cold_slots):
            return
        full = self.current >= self.slots
        self.slots, self.cold_slots = target_class.slots, target_class.cold_slots
        if not self.warm:
            self.reset_to_cold()
        elif full or self.current > self.slots:
            self.current = self.slots

    def reset_to_cold(self) -> None:
        """Reset the limit to its cold value."""
        self.warm = False
        self.current = min(self.cold_slots, self.slots)
        self.completed_at_limit = 0

    def record_connection_failure(self, now: float) -> None:
        """Treat the target as cold until a report measured after now says that it is warm."""
        self.failed_at = now
        self.reset_to_cold()

    def apply_report(self, report: LoadReported, measured_at: float) -> None:
        """Apply a load report; one with a new `boot_id` makes the target cold even if it says warm."""
        first = self.boot_id is None
        rebooted = not first and report.boot_id != self.boot_id
        self.boot_id = report.boot_id
        if rebooted:
            self.record_connection_failure(measured_at)
        elif not report.warm:
            self.reset_to_cold()
        elif not self.warm and (self.failed_at is None or measured_at > self.failed_at):
            self.warm = True
            if first and self.failed_at is None:
                # Another owner may have used the target: it can run at least as many requests as it does now.
                self.current = max(self.current, min(self.slots, report.running))

    def record_completion(self) -> None:
        """Count a completed request and double the limit when enough have completed."""
        if not self.warm or self.current >= self.slots:
            return
        self.completed_at_limit += 1
        if self.completed_at_limit >= self.current:
            self.current = min(self.slots, 2 * max(1, self.current))
            self.completed_at_limit = 0
