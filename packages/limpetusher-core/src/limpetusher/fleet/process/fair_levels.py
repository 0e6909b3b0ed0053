"""Max-min fair shares of engine throughput among customers with waiting requests."""

import bisect
import math
from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(slots=True)
class WaitingTokens:
    """Waiting requests of one customer for a service, as sums of tokens.

    `throughput_tokens` count against the customer's share, `prefill_tokens` have to be prefilled by engines.
    """

    throughput_tokens: float = 0.0
    prefill_tokens: float = 0.0

    requests: int = 0

    def add(self, throughput_tokens: float, prefill_tokens: float) -> None:
        """Add the tokens of a request."""
        self.throughput_tokens += throughput_tokens
        self.prefill_tokens += prefill_tokens
        self.requests += 1

    def subtract(self, throughput_tokens: float, prefill_tokens: float) -> None:
        """Subtract the tokens of a request."""
        self.throughput_tokens -= throughput_tokens
        self.prefill_tokens -= prefill_tokens
        self.requests -= 1


class FairLevels:
    """Served tokens per customer that result from always serving the least served customer first.

    The level is the number of served tokens up to which all customers with enough waiting work are raised.
    The prompt tokens to prefill up to a level are a piecewise linear function, which is computed once.

    Parameters
    ----------
    served
        Served tokens by customer.
    waiting
        Waiting tokens of the fleet by customer.
    """

    def __init__(self, served: Mapping[str, float], waiting: Mapping[str, WaitingTokens]):
        changes: list[tuple[float, float]] = []
        for customer, work in waiting.items():
            if work.throughput_tokens > 0:
                start = served.get(customer, 0.0)
                slope = work.prefill_tokens / work.throughput_tokens
                changes += [(start, slope), (start + work.throughput_tokens, -slope)]
        self.breakpoints: list[float] = []
        """Levels at which the slope of the function changes, in increasing order."""
        self.prefill_tokens: list[float] = []
        """Value of the function at each breakpoint."""
        self.slopes: list[float] = []
        """Slope of the function after each breakpoint."""
        tokens = slope = 0.0
        for level, change in sorted(changes):
            if self.breakpoints:
                tokens += slope * (level - self.breakpoints[-1])
            slope = max(0.0, slope + change)
            self.breakpoints.append(level)
            self.prefill_tokens.append(tokens)
            self.slopes.append(slope)

    def prefill_tokens_up_to(self, level: float) -> float:
        """Return the prompt tokens to prefill until every customer is served up to a level."""
        index = bisect.bisect_right(self.breakpoints, level) - 1
        if index < 0:
            return 0.0
        if index == len(self.breakpoints) - 1:
            return self.prefill_tokens[-1]
        return self.prefill_tokens[index] + self.slopes[index] * (level - self.breakpoints[index])

    def level(self, prefill_tokens: float) -> float:
        """Return the level reached by prefilling a number of prompt tokens, infinite if no work remains."""
        if not self.breakpoints or self.prefill_tokens[-1] <= prefill_tokens:
            return math.inf
        index = max(bisect.bisect_right(self.prefill_tokens, prefill_tokens) - 1, 0)
        missing = max(0.0, prefill_tokens - self.prefill_tokens[index])
        return self.breakpoints[index] + (missing / self.slopes[index] if self.slopes[index] > 0 else 0.0)


def max_min_share(demands: Mapping[str, float], capacity: float) -> float:
    """Return the most that a customer gets of a max-min fair division, infinite if the capacity suffices."""
    remaining = capacity
    for number, demand in enumerate(sorted(demands.values())):
        share = remaining / (len(demands) - number)
        if demand > share:
            return share
        remaining -= demand
    return math.inf
