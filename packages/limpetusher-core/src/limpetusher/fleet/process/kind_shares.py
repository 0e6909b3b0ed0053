"""Order of a customer's kinds of requests while its share is short: the least served kind comes first."""

from collections import deque
from collections.abc import Container, Iterable
from dataclasses import dataclass

from limpetusher.fleet.model import QueuedRequest
from limpetusher.fleet.process.served_tokens import NEGLIGIBLE_TOKENS, decay_factor, throughput_cost

Kind = tuple[str, str, float]
"""Service, customer and goal in seconds of requests of one kind."""

TAKE_UP = 0.0
"""Key of the streams that callers take up again, which are ordered before all kinds."""
PURGE_INTERVAL_SECONDS = 5.0
"""Interval at which the sums of kinds without requests are dropped; they decay to nothing within a minute."""


@dataclass(slots=True)
class KindSums:
    """Decaying sums of the tokens of one kind; valid for `decayed_at`."""

    asked: float = 0.0
    served: float = 0.0
    decayed_at: float = 0.0

    def decay(self, now: float) -> None:
        """Apply the decay up to `now`."""
        if now > self.decayed_at:
            factor = decay_factor(now - self.decayed_at)
            self.asked *= factor
            self.served *= factor
            self.decayed_at = now

    def fraction(self) -> float:
        """Return the fraction of the demand that is served, at most 1.

        Without known demand, as after the loss of a scheduler, a kind counts as served in full once anything
        of it was served.
        """
        if self.asked > NEGLIGIBLE_TOKENS:
            return min(1.0, self.served / self.asked)
        return float(self.served > NEGLIGIBLE_TOKENS)


class KindShares:
    """Tokens asked for and served by customer and kind of request, as sums that decay like `ServedTokens`.

    The sums decide only the order within a customer. They are those of this scheduler, as each one orders
    the requests that it has itself.

    Parameters
    ----------
    tolerance
        Difference of the fractions up to which a customer's requests are ordered by urgency alone.
    """

    def __init__(self, tolerance: float):
        self.tolerance = tolerance
        self.orders_requests = tolerance < 1.0
        """Whether kinds have an order at all; fractions differ by 1 at most."""
        self.sums: dict[Kind, KindSums] = {}
        self.purged_at = 0.0

    def sums_of(self, kind: Kind, now: float) -> KindSums:
        """Return the sums of a kind, decayed to `now`."""
        sums = self.sums.get(kind)
        if sums is None:
            sums = self.sums[kind] = KindSums(decayed_at=now)
        sums.decay(now)
        return sums

    def add_asked(self, request: QueuedRequest, now: float) -> None:
        """Add the tokens of a request that has arrived."""
        self.purge(now)
        self.sums_of(kind_of(request), now).asked += request_cost(request)

    def add_served(self, request: QueuedRequest, now: float) -> None:
        """Add the tokens of a request that is sent to a target."""
        self.sums_of(kind_of(request), now).served += request_cost(request)

    def retract_served(self, request: QueuedRequest, added_at: float, now: float) -> None:
        """Retract the tokens of a request that was added at `added_at` and has not run."""
        sums = self.sums_of(kind_of(request), now)
        sums.served = max(0.0, sums.served - request_cost(request) * decay_factor(now - added_at))

    def purge(self, now: float) -> None:
        """Drop the sums that have decayed to nothing."""
        if now < self.purged_at + PURGE_INTERVAL_SECONDS:
            return
        self.purged_at = now
        for sums in self.sums.values():
            sums.decay(now)
        self.sums = {
            kind: sums
            for kind, sums in self.sums.items()
            if sums.asked > NEGLIGIBLE_TOKENS or sums.served > NEGLIGIBLE_TOKENS
        }

    def widest_gap(self, now: float) -> tuple[str, dict[float, float]]:
        """Return the customer whose kinds differ most in the fraction served, and the fractions by goal.

        Kinds of different services are not compared. The customer is empty if none has two kinds.
        """
        fractions: dict[tuple[str, str], dict[float, float]] = {}
        for kind in self.sums:
            sums = self.sums_of(kind, now)
            if sums.asked > NEGLIGIBLE_TOKENS:
                service, customer, goal = kind
                fractions.setdefault((service, customer), {})[goal] = sums.fraction()
        gaps = [
            (max(by_goal.values()) - min(by_goal.values()), customer, by_goal)
            for (_service, customer), by_goal in fractions.items()
            if len(by_goal) > 1
        ]
        _gap, customer, by_goal = max(gaps, key=lambda entry: entry[:2], default=(0.0, "", {}))
        return customer, by_goal


class KindQueue:
    """Waiting requests of one customer, those of the kind with the lowest fraction of demand served first.

    Streams that callers take up again come before all others. The order of kinds follows the starts, not the
    requests that are passed over because no target can take them now.

    Parameters
    ----------
    shares
        Tokens asked for and served by kind.
    now
        Current time.
    """

    def __init__(self, shares: KindShares, now: float):
        self.shares = shares
        self.now = now
        self.by_goal: dict[float, deque[QueuedRequest]] = {}
        """Requests of each kind, none of them empty; those that callers take up again under `TAKE_UP`."""
        self.first_goal: float | None = None
        """Goal of the kind that comes first, None if that has to be found."""

    def __bool__(self) -> bool:
        return bool(self.by_goal)

    def popleft(self) -> QueuedRequest:
        """Remove and return the first request."""
        if TAKE_UP in self.by_goal:
            return self.pop_from(TAKE_UP)
        if self.first_goal is None:
            fractions = {goal: self.fraction(goal) for goal in self.by_goal}
            if max(fractions.values()) - min(fractions.values()) <= self.shares.tolerance:
                return self.pop_from(min(self.by_goal, key=self.urgency))
            self.first_goal = min(self.by_goal, key=lambda goal: (fractions[goal], self.urgency(goal)))
        return self.pop_from(self.first_goal)

    def pop_from(self, goal: float) -> QueuedRequest:
        """Remove and return the first request of a kind."""
        queue = self.by_goal[goal]
        request = queue.popleft()
        if not queue:
            del self.by_goal[goal]
            self.first_goal = None
        return request

    def fraction(self, goal: float) -> float:
        """Return the fraction of a kind's demand that is served."""
        return self.shares.sums_of(kind_of(self.by_goal[goal][0]), self.now).fraction()

    def urgency(self, goal: float) -> float:
        """Return the latest start of the first request of a kind."""
        return self.by_goal[goal][0].latest_start_at

    def rank_again(self) -> None:
        """Look for the kind that comes first again, after a start."""
        self.first_goal = None


def queues_by_customer(
    requests: Iterable[QueuedRequest], short: Container[str], shares: KindShares, now: float
) -> dict[str, deque[QueuedRequest] | KindQueue]:
    """Return the requests of each customer: in the given order, or by kind for customers with a short share.

    Parameters
    ----------
    requests
        Waiting requests in the order within their kinds.
    short
        Customers whose share is short.
    shares
        Tokens asked for and served by kind.
    now
        Current time.
    """
    queues: dict[str, deque[QueuedRequest] | KindQueue] = {}
    by_kind: dict[tuple[str, float], deque[QueuedRequest]] = {}
    for request in requests:
        customer = request.customer
        if customer in short:
            goal = TAKE_UP if request.resumes else request.goal_seconds
            by_kind.setdefault((customer, goal), deque()).append(request)
        else:
            queues.setdefault(customer, deque()).append(request)
    for (customer, goal), queue in by_kind.items():
        if customer not in queues:
            queues[customer] = KindQueue(shares, now)
        queues[customer].by_goal[goal] = queue
    return queues


def kind_of(request: QueuedRequest) -> Kind:
    """Return the kind of a request."""
    return request.pool.service, request.customer, request.goal_seconds


def request_cost(request: QueuedRequest) -> float:
    """Return the throughput that a request costs its customer, at least a token, so that each one counts."""
    return max(1.0, throughput_cost(request.prompt_tokens, request.output_tokens))
