"""Rate limits for retries and for targets with a limited rate, enforced by the scheduler of a pool."""

import math
from dataclasses import dataclass

USED_RATE_FRACTION = 0.8
"""Fraction of a target's rate that one scheduler uses. After a scheduler was silent or has just started, two
routers may both send to the target for a moment; twice this fraction is below what the platform tolerates."""
COVERED_SCHEDULERS = 2
"""Number of schedulers up to which each one uses `USED_RATE_FRACTION`; more divide it among themselves."""
MIN_RATE_PER_SECOND = 0.25
"""Lowest rate to a target that takes fewer requests or none, as only an answer tells the end of its limit."""


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """Bound on the retries of the whole fleet to one service, from the platform's settings.

    Parameters
    ----------
    ratio
        Retries allowed per request.
    extra
        Additional retries allowed in each window.
    window_seconds
        Length of the window.
    safety_factor
        Fraction of the bound that is used.
    """

    ratio: float = 0.2
    extra: float = 50.0
    window_seconds: float = 10.0
    safety_factor: float = 0.7


class RetryBudget:
    """Token bucket for retries to the targets of one pool.

    A full bucket and its refill over one window together never exceed the pool's portion of `extra`.
    """

    def __init__(self, settings: RetryBudgetSettings):
        self.settings = settings
        self.tokens = 0.0
        self.updated_at: float | None = None

    def extra_per_pool(self, pools: int) -> float:
        """Return the portion of the additional retries for one of `pools` pools."""
        return self.settings.safety_factor * self.settings.extra / max(1, pools)

    def refill(self, pools: int, now: float) -> None:
        """Add the tokens accrued since the last call."""
        capacity = self.extra_per_pool(pools) / 2
        if self.updated_at is None:
            self.tokens = capacity
        else:
            self.tokens += (now - self.updated_at) * capacity / self.settings.window_seconds
        self.tokens = min(self.tokens, max(1.0, capacity))
        self.updated_at = now

    def record_request(self, pools: int, now: float) -> None:
        """Add the tokens earned by a first attempt."""
        self.refill(pools, now)
        self.tokens += self.settings.ratio * self.settings.safety_factor

    def allows(self, pools: int, now: float) -> bool:
        """Return whether a retry is allowed now."""
        self.refill(pools, now)
        return self.tokens >= 1.0

    def try_spend(self, pools: int, now: float) -> bool:
        """Take the token for one retry; return whether one was available."""
        if not self.allows(pools, now):
            return False
        self.tokens -= 1.0
        return True

    def refund(self) -> None:
        """Return the token of a retry that was not sent."""
        self.tokens += 1.0


class TargetRateLimiter:
    """Limits the request rate to each target that is cold or has announced a limit.

    `schedulers` is the number of routers that may each send to the target without knowing of the others.
    """

    def __init__(self):
        self.due_at: dict[str, float] = {}
        """When the last request to each target was due."""

    def allows(self, target_id: str, per_second: float, now: float, *, schedulers: int = 1) -> bool:
        """Return whether a request may be sent now to a target that takes `per_second` requests."""
        return now >= self.due_at.get(target_id, -math.inf) + 1.0 / self.used_rate(per_second, schedulers)

    def record_sent(self, target_id: str, per_second: float, now: float, *, schedulers: int = 1) -> None:
        """Record a request sent to a target that takes `per_second` requests.

        A request that was sent late, by up to one interval, does not delay the next one, unless many
        schedulers may do the same in one second.
        """
        interval = 1.0 / self.used_rate(per_second, schedulers)
        lateness = interval if schedulers <= COVERED_SCHEDULERS else 0.0
        due_at = self.due_at.get(target_id)
        self.due_at[target_id] = now if due_at is None else max(due_at + interval, now - lateness)

    def used_rate(self, per_second: float, schedulers: int = 1) -> float:
        """Return the rate of requests that are sent to a target which takes `per_second`."""
        fraction = USED_RATE_FRACTION / (schedulers if schedulers > COVERED_SCHEDULERS else 1)
        return fraction * max(per_second, MIN_RATE_PER_SECOND)

    def forget(self, target_id: str) -> None:
        """Remove the state of a target."""
        self.due_at.pop(target_id, None)
