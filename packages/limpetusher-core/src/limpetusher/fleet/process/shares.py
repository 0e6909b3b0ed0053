"""Max-min fair shares of the engines' throughput among the customers whose requests wait."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

BISECTION_STEPS = 24
"""Halvings of the range of levels; leaves less than one token of 10 million."""


@dataclass(slots=True)
class WaitingWork:
    """Work of one customer that waits for targets of a service.

    `throughput_tokens` count against the customer's share, `reading_tokens` have to be read by engines.
    """

    throughput_tokens: float = 0.0
    reading_tokens: float = 0.0

    def add(self, throughput_tokens: float, reading_tokens: float) -> None:
        """Add work."""
        self.throughput_tokens += throughput_tokens
        self.reading_tokens += reading_tokens


@dataclass(frozen=True, slots=True)
class Demand:
    """Waiting work of one customer over the fleet, and the service that it has had."""

    served: float
    throughput_tokens: float
    reading_tokens: float


class FairLevels:
    """Levels of service that the engines reach when they always serve the least served customer first.

    Parameters
    ----------
    served
        Served tokens by customer.
    waiting
        Waiting work of the fleet by customer.
    """

    def __init__(self, served: Mapping[str, float], waiting: Mapping[str, WaitingWork]):
        self.demands = [
            Demand(served.get(customer, 0.0), work.throughput_tokens, work.reading_tokens)
            for customer, work in waiting.items()
            if work.throughput_tokens > 0
        ]

    def reading_tokens(self, level: float) -> float:
        """Return the prompt tokens that are read until every customer is served up to a level."""
        return sum(
            demand.reading_tokens * min(1.0, max(0.0, level - demand.served) / demand.throughput_tokens)
            for demand in self.demands
        )

    def level(self, reading_tokens: float) -> float:
        """Return the level that is reached by reading prompt tokens, infinite if nothing is left then."""
        if not self.demands:
            return math.inf
        high = max((demand.served + demand.throughput_tokens for demand in self.demands), default=0.0)
        if self.reading_tokens(high) <= reading_tokens:
            return math.inf
        low = min(demand.served for demand in self.demands)
        for _ in range(BISECTION_STEPS):
            middle = (low + high) / 2
            if self.reading_tokens(middle) < reading_tokens:
                low = middle
            else:
                high = middle
        return high
