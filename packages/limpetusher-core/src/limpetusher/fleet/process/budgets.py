"""Limits that the scheduler of a pool keeps."""

from dataclasses import dataclass

COLD_PART = 0.8
"""Part of a cold target's rate that is used. For a moment two routers may both schedule it, when one of them
was silent or has just started; twice this part stays below what the platform tolerates."""


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """Bound on repeated sends of the fleet to one service, from the platform's settings.

    Parameters
    ----------
    ratio
        Repeats allowed for each request.
    extra
        Repeats allowed besides in each window.
    window_seconds
        Length of the window.
    safety
        Part of the bound that is used.
    """

    ratio: float = 0.2
    extra: float = 50.0
    window_seconds: float = 10.0
    safety: float = 0.7


class RetryBudget:
    """Tokens for repeated sends to the targets of one pool.

    A full bucket and its refill over one window together never exceed the pool's part of `extra`.
    """

    def __init__(self, settings: RetryBudgetSettings):
        self.settings = settings
        self.tokens = 0.0
        self.updated_at: float | None = None

    def part(self, pools: int) -> float:
        """Return this pool's part of the extra repeats."""
        return self.settings.safety * self.settings.extra / max(1, pools)

    def refill(self, pools: int, now: float) -> None:
        """Add what has accrued since the last call."""
        half = self.part(pools) / 2
        if self.updated_at is None:
            self.tokens = half
        else:
            self.tokens += (now - self.updated_at) * half / self.settings.window_seconds
        self.tokens = min(self.tokens, max(1.0, half))
        self.updated_at = now

    def earn(self, pools: int, now: float) -> None:
        """Count a caller's request."""
        self.refill(pools, now)
        self.tokens += self.settings.ratio * self.settings.safety

    def allows(self, pools: int, now: float) -> bool:
        """Return whether there is the right to one repeated send."""
        self.refill(pools, now)
        return self.tokens >= 1.0

    def spend(self, pools: int, now: float) -> bool:
        """Take the right to one repeated send; return whether there was one."""
        if not self.allows(pools, now):
            return False
        self.tokens -= 1.0
        return True


class ColdLimit:
    """Spaces the requests to a cold target by what it bears."""

    def __init__(self):
        self.next_at: dict[str, float] = {}

    def allows(self, target_id: str, now: float) -> bool:
        """Return whether a request may be sent to the cold target now."""
        return now >= self.next_at.get(target_id, 0.0)

    def sent(self, target_id: str, per_second: float, now: float) -> None:
        """Note a request to the cold target."""
        self.next_at[target_id] = now + 1.0 / (COLD_PART * per_second)

    def forget(self, target_id: str) -> None:
        """Forget a target that is gone."""
        self.next_at.pop(target_id, None)
