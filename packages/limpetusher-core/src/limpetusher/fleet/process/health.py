"""What a router has experienced with each target."""

from dataclasses import dataclass

from limpetusher.fleet.settings import FleetSettings

ERROR_WEIGHT = 0.15
"""Weight of the newest answer in the error rate; about the last seven answers count."""
TRUSTED_ERROR_RATE = 0.3
"""Error rate above which a target comes after the others."""

RESTART_FAILURES = 2
"""Failures in a row after which a target may have restarted; a single one may be a lost packet."""


@dataclass(slots=True)
class TargetHealth:
    """Failures of one target; times are readings of the monotonic clock."""

    failures: int = 0
    suspended_until: float = 0.0
    unconfirmed_until: float = 0.0
    """Until when the target may be a restarted one whose cold state is not announced yet."""
    error_rate: float = 0.0

    def is_suspended(self, now: float) -> bool:
        """Return whether the target gets no requests for now."""
        return now < self.suspended_until

    def is_unconfirmed(self, now: float) -> bool:
        """Return whether the target is to be treated as cold."""
        return self.failures >= RESTART_FAILURES or now < self.unconfirmed_until

    @property
    def is_trusted(self) -> bool:
        """Return whether the target's answers are mostly good."""
        return self.error_rate <= TRUSTED_ERROR_RATE

    def unreachable(self, settings: FleetSettings, now: float) -> None:
        """Note that the target could not be reached or was silent."""
        if self.is_suspended(now):
            return
        self.failures += 1
        seconds = settings.suspend_seconds * 2 ** min(self.failures - 1, 8)
        self.suspended_until = now + min(seconds, settings.suspend_maximum_seconds)

    def reached(self, settings: FleetSettings, now: float) -> None:
        """Note that the target has sent something."""
        if self.failures >= RESTART_FAILURES:
            self.unconfirmed_until = now + settings.unconfirmed_seconds
        self.failures = 0
        self.suspended_until = 0.0

    def announced(self) -> None:
        """Note that the platform has announced a new state of the target."""
        self.failures = 0
        self.suspended_until = 0.0
        self.unconfirmed_until = 0.0

    def answered(self, *, is_error: bool) -> None:
        """Count an answer in the error rate."""
        self.error_rate += ERROR_WEIGHT * (float(is_error) - self.error_rate)
