"""Retry budgets: token buckets per customer and for this router's part of the fleet's budget."""

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
    def has_token(self) -> bool:
        """Return whether there is a token for a retry."""
        return self.tokens >= 1.0

    def spend_one(self) -> None:
        """Remove a token for one retry."""
        self.tokens -= 1.0


class RetryBudgets:
    """Decides whether an idempotent request may be sent again.

    Only complete answers earn tokens, `retry_ratio` each. Retries are therefore limited to that fraction of
    the completed requests plus a bounded burst, and stop when the targets no longer complete requests. The
    budget of the fleet needs no messages: it is the sum of the budgets of its routers.
    """

    def __init__(self, settings: PolicySettings):
        self.settings = settings
        self.fleet = TokenBucket(settings.retry_burst * FLEET_BURST_FACTOR)
        self.customers: dict[str, TokenBucket] = {}

    def customer(self, customer: str) -> TokenBucket:
        """Return the token bucket of a customer."""
        bucket = self.customers.get(customer)
        if bucket is None:
            bucket = self.customers[customer] = TokenBucket(self.settings.retry_burst)
        return bucket

    def completed(self, customer: str) -> None:
        """Add the tokens earned by a complete answer."""
        self.fleet.earn(self.settings.retry_ratio)
        if customer in self.customers:
            self.customers[customer].earn(self.settings.retry_ratio)

    def try_spend(self, customer: str) -> bool:
        """Spend one token of each budget; return False and change neither if one of them is empty."""
        bucket = self.customer(customer)
        if not (bucket.has_token and self.fleet.has_token):
            return False
        bucket.spend_one()
        self.fleet.spend_one()
        return True

    def keep_customers(self, customers: set[str]) -> None:
        """Drop the budgets of customers that are no longer configured."""
        for customer in self.customers.keys() - customers:
            del self.customers[customer]
