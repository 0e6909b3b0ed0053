"""Retry budgets: token buckets per customer and for this router's part of the fleet."""

from limpetusher.core.settings import PolicySettings

FLEET_BURST_FACTOR = 2.0


class TokenBucket:
    """Tokens that are earned by completed requests and spent by retries."""

    def __init__(self, capacity: float):
        self.capacity = capacity
        self.tokens = capacity

    def earn(self, amount: float) -> None:
        """Add tokens up to the capacity."""
        self.tokens = min(self.capacity, self.tokens + amount)

    @property
    def covers_one(self) -> bool:
        """Return whether a retry can be paid."""
        return self.tokens >= 1.0

    def spend_one(self) -> None:
        """Pay for one retry."""
        self.tokens -= 1.0


class RetryBudgets:
    """Decides whether an idempotent request may be sent again.

    Only complete answers earn tokens, `retry_ratio` each. Retries are therefore at most that part of the
    useful work plus a bounded burst, and stop by themselves when the targets no longer complete requests. The
    fleet's budget needs no messages: it is the sum of the routers' parts.
    """

    def __init__(self, settings: PolicySettings):
        self.settings = settings
        self.fleet = TokenBucket(settings.retry_burst * FLEET_BURST_FACTOR)
        self.customers: dict[str, TokenBucket] = {}

    def customer(self, customer: str) -> TokenBucket:
        """Return the customer's bucket."""
        bucket = self.customers.get(customer)
        if bucket is None:
            bucket = self.customers[customer] = TokenBucket(self.settings.retry_burst)
        return bucket

    def completed(self, customer: str) -> None:
        """Earn tokens for a complete answer."""
        self.fleet.earn(self.settings.retry_ratio)
        if customer in self.customers:
            self.customers[customer].earn(self.settings.retry_ratio)

    def try_spend(self, customer: str) -> bool:
        """Pay for one retry out of both budgets, or return False and leave them as they are."""
        bucket = self.customer(customer)
        if not (bucket.covers_one and self.fleet.covers_one):
            return False
        bucket.spend_one()
        self.fleet.spend_one()
        return True

    def keep_customers(self, customers: set[str]) -> None:
        """Forget customers that are no longer configured."""
        for customer in self.customers.keys() - customers:
            del self.customers[customer]
