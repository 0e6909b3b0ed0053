"""Tokens served to each customer by the whole fleet; the least served customer is scheduled first."""

import math
from collections.abc import Iterable, Mapping

from limpetusher.fleet.process.fair_levels import max_min_share

HALF_LIFE_SECONDS = 2.0
"""Half of the platform's window for fair shares of throughput (`quotaWindowS`, 4 s)."""
OUTPUT_TOKEN_WEIGHT = 2.0
"""A generated token costs as much throughput as two prefilled prompt tokens, as the platform documents."""
NEGLIGIBLE_TOKENS = 1.0
SUM_SECONDS = HALF_LIFE_SECONDS / math.log(2)
"""Sum of a customer that is served one token per second for a long time."""
RECENT_SECONDS = 0.5
"""Time constant of the present rates. Much shorter than that of the sums, so that they show a loss early."""
MAX_PRESENT_SHARES = 2.5
"""Limit of the sum that counts against a customer, as a multiple of the sum of its fair share at the present
rates. A lower limit also forgets differences that arise under a steady overload."""


class ServedTokens:
    """Exponentially decaying sums of served tokens by customer, for this scheduler and all others."""

    def __init__(self):
        self.own: dict[str, float] = {}
        self.asked: dict[str, float] = {}
        """Tokens of the requests that have arrived at this scheduler."""
        self.recently_asked: dict[str, float] = {}
        self.recently_started = 0.0
        """Tokens that all customers were served by this scheduler."""
        self.remote: dict[str, dict[str, float]] = {}
        """Last received sums of each other scheduler."""
        self.remote_totals: dict[str, float] = {}
        """Totals over the other schedulers, by customer."""
        self.disregarded: dict[str, float] = {}
        """Served tokens that do not count against a customer, see `limit_totals` and `limit_to_shares`."""
        self.decayed_at = 0.0

    def decay(self, now: float) -> None:
        """Apply the decay up to `now`."""
        if now <= self.decayed_at:
            return
        factor = decay_factor(now - self.decayed_at)
        self.own = decayed(self.own, factor)
        self.asked = decayed(self.asked, factor)
        self.disregarded = decayed(self.disregarded, factor)
        recent_factor = recent_decay_factor(now - self.decayed_at)
        self.recently_asked = decayed(self.recently_asked, recent_factor)
        self.recently_started *= recent_factor
        remote = {scheduler: decayed(sums, factor) for scheduler, sums in self.remote.items()}
        self.remote = {scheduler: sums for scheduler, sums in remote.items() if sums}
        self.remote_totals = decayed(self.remote_totals, factor)
        self.decayed_at = now

    def add(self, customer: str, tokens: float) -> None:
        """Add the tokens of a request sent to a target."""
        self.own[customer] = self.own.get(customer, 0.0) + tokens
        self.recently_started += tokens

    def retract(self, customer: str, tokens: float, added_at: float) -> None:
        """Retract the tokens of a request that was added at `added_at` and has not run.

        Tokens that do not count against the customer are retracted first, so that only what was counted is
        given back.
        """
        remaining = tokens * decay_factor(self.decayed_at - added_at)
        own = self.own.get(customer, 0.0)
        self.own[customer] = max(0.0, own - remaining)
        recent = tokens * recent_decay_factor(self.decayed_at - added_at)
        self.recently_started = max(0.0, self.recently_started - recent)
        if customer in self.disregarded:
            self.disregarded[customer] = max(0.0, self.disregarded[customer] - remaining)

    def add_asked(self, customer: str, tokens: float) -> None:
        """Add the tokens of a request that has arrived."""
        self.asked[customer] = self.asked.get(customer, 0.0) + tokens
        self.recently_asked[customer] = self.recently_asked.get(customer, 0.0) + tokens

    def met_share(self, customer: str) -> float:
        """Return the share of the tokens asked for that were served, between 0 and 1."""
        asked = self.asked.get(customer, 0.0)
        return min(1.0, self.own.get(customer, 0.0) / asked) if asked else 1.0

    def update_remote(self, scheduler: str, sums: Mapping[str, float], now: float) -> None:
        """Replace the sums of another scheduler."""
        self.decay(now)
        self.remote[scheduler] = dict(sums)
        self.remote_totals = {}
        for scheduler_sums in self.remote.values():
            for customer, tokens in scheduler_sums.items():
                self.remote_totals[customer] = self.remote_totals.get(customer, 0.0) + tokens

    def total(self, customer: str) -> float:
        """Return the tokens served to a customer by the fleet that count against it."""
        return max(0.0, self.served_total(customer) - self.disregarded.get(customer, 0.0))

    def served_total(self, customer: str) -> float:
        """Return the tokens served to a customer by the fleet."""
        return self.own.get(customer, 0.0) + self.remote_totals.get(customer, 0.0)

    def limit_totals(self, level: float) -> bool:
        """Lower the totals above a level to it. Return whether any was above."""
        above = [customer for customer in self.customers if self.total(customer) > level]
        for customer in above:
            self.disregarded[customer] = self.served_total(customer) - level
        return bool(above)

    def limit_to_shares(self) -> None:
        """Limit what counts against customers to a multiple of their fair shares at the present rates.

        Otherwise a customer that was served more while there was less demand or more capacity waits until
        others have caught up, which takes the longer the less capacity is left. What other schedulers have
        served is not limited, as their rates are not known here.
        """
        share = max_min_share(self.recently_asked, self.recently_started) / RECENT_SECONDS
        limit = MAX_PRESENT_SHARES * SUM_SECONDS * share
        for customer, tokens in self.own.items():
            if tokens - self.disregarded.get(customer, 0.0) > limit:
                self.disregarded[customer] = tokens - limit

    @property
    def customers(self) -> set[str]:
        """Return the customers that were served."""
        return {*self.own, *self.remote_totals}

    def totals(self, customers: Iterable[str]) -> dict[str, float]:
        """Return the tokens served by the fleet to each of the given customers."""
        return {customer: self.total(customer) for customer in customers}

    def max_total(self) -> float:
        """Return the tokens served to the most served customer."""
        return max((self.total(customer) for customer in self.customers), default=0.0)


def throughput_cost(prompt_tokens: float, output_tokens: float) -> float:
    """Return the throughput that a request costs its customer, independent of cached parts."""
    return prompt_tokens + OUTPUT_TOKEN_WEIGHT * output_tokens


def decay_factor(seconds: float) -> float:
    """Return the part of a sum that remains after some time."""
    return math.exp2(-seconds / HALF_LIFE_SECONDS)


def recent_decay_factor(seconds: float) -> float:
    """Return the part of recent tokens that remains after some time."""
    return math.exp(-seconds / RECENT_SECONDS)


def decayed(sums: Mapping[str, float], factor: float) -> dict[str, float]:
    """Return the sums multiplied by a factor, without negligible ones."""
    return {
        customer: tokens * factor for customer, tokens in sums.items() if tokens * factor > NEGLIGIBLE_TOKENS
    }
