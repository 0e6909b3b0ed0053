"""Served tokens by customer over the fleet, which decide who comes next when work waits."""

import math
from collections.abc import Iterable

from limpetusher.fleet.process.loads import PeerLoad

HALF_LIFE_SECONDS = 2.0
"""Half of the platform's window for fair shares of throughput (`quotaWindowS`, 4 s)."""
OUTPUT_TOKEN_WEIGHT = 2.0
"""A generated token takes as much of the throughput as two prompt tokens that are read (platform's pages)."""
FORGOTTEN_TOKENS = 1.0


class ServedTokens:
    """Decaying sums of the tokens that customers were served, own and of peers."""

    def __init__(self):
        self.own: dict[str, float] = {}
        self.peers: dict[str, float] = {}
        self.decayed_at = 0.0

    def decay(self, now: float) -> None:
        """Let earlier service count less."""
        if now <= self.decayed_at:
            return
        factor = math.exp2(-(now - self.decayed_at) / HALF_LIFE_SECONDS)
        self.own = {
            customer: tokens * factor
            for customer, tokens in self.own.items()
            if tokens * factor > FORGOTTEN_TOKENS
        }
        self.decayed_at = now

    def serve(self, customer: str, tokens: float) -> None:
        """Count tokens of a request that is sent to a target."""
        self.own[customer] = self.own.get(customer, 0.0) + tokens

    def sum_up(self, loads: dict[str, PeerLoad]) -> None:
        """Add up the peers' reports."""
        self.peers = {}
        for load in loads.values():
            for customer, tokens in load.served.items():
                self.peers[customer] = self.peers.get(customer, 0.0) + tokens

    def total(self, customer: str) -> float:
        """Return the tokens served to a customer by the fleet."""
        return self.own.get(customer, 0.0) + self.peers.get(customer, 0.0)

    def totals(self, customers: Iterable[str]) -> dict[str, float]:
        """Return the tokens served to each of some customers by the fleet."""
        return {customer: self.total(customer) for customer in customers}

    def most(self) -> float:
        """Return the tokens served to the most served customer."""
        return max((self.total(customer) for customer in {*self.own, *self.peers}), default=0.0)
