"""Limit of the concurrent requests at one target: cold, growing or full."""

from dataclasses import dataclass

from limpetusher.configuration.compiled import TargetClass
from limpetusher.core.inputs import LoadReported


@dataclass(slots=True)
class TargetLimit:
    """How many requests the target can bear at once.

    A target is cold until a report that was measured after `failed_at` says that it is warm. From then on the
    limit doubles each time as many requests have completed as the present limit.
    """

    slots: int
    cold_slots: int
    present: int = 0
    warm: bool = False
    boot_id: str | None = None
    failed_at: float | None = None
    completed: int = 0

    @classmethod
    def of_class(cls, target_class: TargetClass) -> "TargetLimit":
        """Return the limit of a target that has never reported."""
        limit = cls(target_class.slots, target_class.cold_slots)
        limit.turn_cold()
        return limit

    def configure(self, target_class: TargetClass) -> None:
        """Take over changed slots; a limit that was at its full value stays so."""
        if (self.slots, self.cold_slots) == (target_class.slots, target_class.cold_slots):
            return
        full = self.present >= self.slots
        self.slots, self.cold_slots = target_class.slots, target_class.cold_slots
        if not self.warm:
            self.turn_cold()
        elif full or self.present > self.slots:
            self.present = self.slots

    def turn_cold(self) -> None:
        """Go back to the cold limit."""
        self.warm = False
        self.present = min(self.cold_slots, self.slots)
        self.completed = 0

    def connection_failed(self, now: float) -> None:
        """Count the target as cold until a report measured after now says that it is warm."""
        self.failed_at = now
        self.turn_cold()

    def reported(self, report: LoadReported, measured_at: float) -> None:
        """Take a load report. A report with a new `boot_id` makes the target cold even when it says warm."""
        first = self.boot_id is None
        rebooted = not first and report.boot_id != self.boot_id
        self.boot_id = report.boot_id
        if rebooted:
            self.connection_failed(measured_at)
        elif not report.warm:
            self.turn_cold()
        elif not self.warm and (self.failed_at is None or measured_at > self.failed_at):
            self.warm = True
            if first and self.failed_at is None:
                # A warm target that another owner used before bears at least what runs on it.
                self.present = max(self.present, min(self.slots, report.running))

    def request_completed(self) -> None:
        """Count a completed request at a warm target whose limit is still growing."""
        if not self.warm or self.present >= self.slots:
            return
        self.completed += 1
        if self.completed >= self.present:
            self.present = min(self.slots, 2 * max(1, self.present))
            self.completed = 0
