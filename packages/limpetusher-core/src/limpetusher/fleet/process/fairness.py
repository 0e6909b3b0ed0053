"""Served tokens by customer over the fleet, which decide who comes next when work waits."""

import math
from collections.abc import Iterable, Mapping

HALF_LIFE_SECONDS = 2.0
"""Half of the platform's window for fair shares of throughput (`quotaWindowS`, 4 s)."""
OUTPUT_TOKEN_WEIGHT = 2.0
"""A generated token takes as much of the throughput as two prompt tokens that are read (platform's pages)."""
FORGOTTEN_TOKENS = 1.0


class ServedTokens:
    """Decaying sums of the tokens that customers were served, by this scheduler and by the others."""

    def __init__(self):
        self.own: dict[str, float] = {}
        self.others: dict[str, dict[str, float]] = {}
        """Newest sums of each other scheduler."""
        self.sums: dict[str, float] = {}
        """Sums over the other schedulers."""
        self.decayed_at = 0.0

    def decay(self, now: float) -> None:
        """Let earlier service count less."""
        if now <= self.decayed_at:
            return
        factor = math.exp2(-(now - self.decayed_at) / HALF_LIFE_SECONDS)
        self.own = decayed(self.own, factor)
        others = {scheduler: decayed(sums, factor) for scheduler, sums in self.others.items()}
        self.others = {scheduler: sums for scheduler, sums in others.items() if sums}
        self.sums = decayed(self.sums, factor)
        self.decayed_at = now

    def serve(self, customer: str, tokens: float) -> None:
        """Count tokens of a request that is sent to a target."""
        self.own[customer] = self.own.get(customer, 0.0) + tokens

    def heard(self, scheduler: str, sums: Mapping[str, float], now: float) -> None:
        """Take the newest sums of another scheduler."""
        self.decay(now)
        self.others[scheduler] = dict(sums)
        self.sums = {}
        for known in self.others.values():
            for customer, tokens in known.items():
                self.sums[customer] = self.sums.get(customer, 0.0) + tokens

    def total(self, customer: str) -> float:
        """Return the tokens served to a customer by the fleet."""
        return self.own.get(customer, 0.0) + self.sums.get(customer, 0.0)

    def totals(self, customers: Iterable[str]) -> dict[str, float]:
        """Return the tokens served to each of some customers by the fleet."""
        return {customer: self.total(customer) for customer in customers}

    def most(self) -> float:
        """Return the tokens served to the most served customer."""
        return max((self.total(customer) for customer in {*self.own, *self.sums}), default=0.0)


def decayed(sums: Mapping[str, float], factor: float) -> dict[str, float]:
    """Return sums times a factor, without those that are as good as nothing."""
    return {
        customer: tokens * factor for customer, tokens in sums.items() if tokens * factor > FORGOTTEN_TOKENS
    }
