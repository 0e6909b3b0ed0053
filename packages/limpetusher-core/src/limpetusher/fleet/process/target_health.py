"""Health of each target as observed by a router."""

from dataclasses import dataclass

from limpetusher.fleet.settings import FleetSettings

ERROR_WEIGHT = 0.15
"""Weight of the newest answer in the moving average; about the last seven answers count."""
MAX_TRUSTED_ERROR_RATE = 0.3
"""Error rate above which a target is chosen only if no other one can take the request."""

RESTART_FAILURES = 2
"""Consecutive failures after which a target may have restarted; a single one may be a lost packet."""


@dataclass(slots=True)
class TargetHealth:
    """Failures of one target; times are readings of the monotonic clock."""

    failures: int = 0
    suspended_until: float = 0.0
    assumed_cold_until: float = 0.0
    """Time until which the target is treated as restarted, with a cold state that is not announced yet."""
    error_rate: float = 0.0

    def is_suspended(self, now: float) -> bool:
        """Return whether the target gets no requests now."""
        return now < self.suspended_until

    def is_assumed_cold(self, now: float) -> bool:
        """Return whether the target has to be treated as cold, as it may have restarted."""
        return self.failures >= RESTART_FAILURES or now < self.assumed_cold_until

    @property
    def is_trusted(self) -> bool:
        """Return whether the error rate of the target is acceptable."""
        return self.error_rate <= MAX_TRUSTED_ERROR_RATE

    def record_unreachable(self, settings: FleetSettings, now: float) -> None:
        """Suspend the target after a connection failure or a missing answer, with exponential backoff."""
        if self.is_suspended(now):
            return
        self.failures += 1
        seconds = settings.initial_suspension_seconds * 2 ** min(self.failures - 1, 8)
        self.suspended_until = now + min(seconds, settings.max_suspension_seconds)

    def record_reached(self, settings: FleetSettings, now: float) -> None:
        """Record that the target has sent data, which ends its suspension."""
        if self.failures >= RESTART_FAILURES:
            self.assumed_cold_until = now + settings.assumed_cold_seconds
        self.failures = 0
        self.suspended_until = 0.0

    def reset(self) -> None:
        """Clear failures and suspension after the platform has announced a new state of the target."""
        self.failures = 0
        self.suspended_until = 0.0
        self.assumed_cold_until = 0.0

    def record_answer(self, *, is_error: bool) -> None:
        """Update the error rate with an answer."""
        self.error_rate += ERROR_WEIGHT * (float(is_error) - self.error_rate)
