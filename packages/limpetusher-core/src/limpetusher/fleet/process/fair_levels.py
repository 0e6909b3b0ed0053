"""Max-min fair shares of engine throughput among customers with waiting requests."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

BISECTION_STEPS = 24
"""Number of bisection steps; reduces a range of 10 million tokens to less than one."""


@dataclass(slots=True)
class WaitingTokens:
    """Waiting requests of one customer for a service, as sums of tokens.

    `throughput_tokens` count against the customer's share, `prefill_tokens` have to be prefilled by engines.
    """

    throughput_tokens: float = 0.0
    prefill_tokens: float = 0.0

    def add(self, throughput_tokens: float, prefill_tokens: float) -> None:
        """Add the tokens of a request."""
        self.throughput_tokens += throughput_tokens
        self.prefill_tokens += prefill_tokens


@dataclass(frozen=True, slots=True)
class CustomerDemand:
    """Waiting tokens of one customer in the fleet, and the tokens that it was served."""

    served: float
    throughput_tokens: float
    prefill_tokens: float


class FairLevels:
    """Served tokens per customer that result from always serving the least served customer first.

    The level is the number of served tokens up to which all customers with enough waiting work are raised.

    Parameters
    ----------
    served
        Served tokens by customer.
    waiting
        Waiting tokens of the fleet by customer.
    """

    def __init__(self, served: Mapping[str, float], waiting: Mapping[str, WaitingTokens]):
        self.demands = [
            CustomerDemand(served.get(customer, 0.0), work.throughput_tokens, work.prefill_tokens)
            for customer, work in waiting.items()
            if work.throughput_tokens > 0
        ]

    def prefill_tokens_up_to(self, level: float) -> float:
        """Return the prompt tokens to prefill until every customer is served up to a level."""
        return sum(
            demand.prefill_tokens * min(1.0, max(0.0, level - demand.served) / demand.throughput_tokens)
            for demand in self.demands
        )

    def level(self, prefill_tokens: float) -> float:
        """Return the level reached by prefilling a number of prompt tokens, infinite if no work remains."""
        if not self.demands:
            return math.inf
        high = max((demand.served + demand.throughput_tokens for demand in self.demands), default=0.0)
        if self.prefill_tokens_up_to(high) <= prefill_tokens:
            return math.inf
        low = min(demand.served for demand in self.demands)
        for _ in range(BISECTION_STEPS):
            middle = (low + high) / 2
            if self.prefill_tokens_up_to(middle) < prefill_tokens:
                low = middle
            else:
                high = middle
        return high
