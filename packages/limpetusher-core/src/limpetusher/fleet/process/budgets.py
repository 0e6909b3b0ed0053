"""Limits of the whole fleet that each router keeps for its part."""

from dataclasses import dataclass

from limpetusher.fleet.version.routing import stable_hash


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
    """Tokens of one router for repeated sends to one service.

    A full bucket and its refill over one window together never exceed the router's part of `extra`.
    """

    def __init__(self, settings: RetryBudgetSettings):
        self.settings = settings
        self.tokens = 0.0
        self.updated_at: float | None = None

    def part(self, routers: int) -> float:
        """Return this router's part of the extra repeats."""
        return self.settings.safety * self.settings.extra / max(1, routers)

    def refill(self, routers: int, now: float) -> None:
        """Add what has accrued since the last call."""
        half = self.part(routers) / 2
        if self.updated_at is None:
            self.tokens = half
        else:
            self.tokens += (now - self.updated_at) * half / self.settings.window_seconds
        self.tokens = min(self.tokens, max(1.0, half))
        self.updated_at = now

    def earn(self, routers: int, now: float) -> None:
        """Count a caller's request."""
        self.refill(routers, now)
        self.tokens += self.settings.ratio * self.settings.safety

    def allows(self, routers: int, now: float) -> bool:
        """Return whether there is the right to one repeated send."""
        self.refill(routers, now)
        return self.tokens >= 1.0

    def spend(self, routers: int, now: float) -> bool:
        """Take the right to one repeated send; return whether there was one."""
        if not self.allows(routers, now):
            return False
        self.tokens -= 1.0
        return True


class ColdLimit:
    """The part of one router in what a cold target bears.

    Only some routers, chosen alike by all, send to a cold target, so that the parts add up to no more
    than the
    target bears even when each router sends at the same moment.
    """

    def __init__(self):
        self.next_at: dict[str, float] = {}

    def senders(self, per_second: float, routers: int) -> int:
        """Return how many routers may send to one cold target."""
        return max(1, min(routers, int(per_second / 2)))

    def allows(self, target_id: str, per_second: float, own: str, routers: list[str], now: float) -> bool:
        """Return whether this router may send to the cold target now."""
        count = self.senders(per_second, len(routers))
        ranked = sorted(routers, key=lambda router: stable_hash(target_id, router))
        return own in ranked[:count] and now >= self.next_at.get(target_id, 0.0)

    def sent(self, target_id: str, per_second: float, routers: int, now: float) -> None:
        """Note a request to the cold target."""
        self.next_at[target_id] = now + self.senders(per_second, routers) / per_second
