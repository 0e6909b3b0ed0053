"""Decision which new requests a host refuses because it gets more than its processor can handle."""

import enum
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta

from limpetusher.fleet.messages import MemberEntry
from limpetusher.fleet.process.decaying_sum import DecayingSum

PAUSE_SECONDS = 0.002
"""Wait of the event loop between two rounds that ends a busy stretch; polling ready sockets takes less."""
PAUSE_FRACTION = 0.05
"""The same as a fraction of the round before; polling takes longer the more sockets are ready."""
MIN_STRETCH_ROUNDS = 3
"""Rounds of a busy stretch that can start shedding. A process that was paused has one long round."""
MEMORY_SECONDS = 1.0
"""Time constant of the load and of the requests by customer."""
LEARNING_SECONDS = 3.0
"""The same for the time of a request. Longer, so that it is learned also where few requests are admitted."""
MIN_SAMPLE_REQUESTS = 5.0
"""Decayed number of admitted requests from which on the time of a request is learned."""
READS_PER_REQUEST = 3.0
"""Events of sockets that an admitted request causes, relative to one that is refused: its head, the target's
connection and the target's answer."""
INITIAL_REQUEST_SECONDS = 0.001
"""Assumed time of a request until one has been learned."""
LONG_ROUND_FRACTION = 0.5
"""Part of the time budget for requests that is used while rounds are too long, so that a backlog shrinks."""
BURST_SECONDS = 0.03
"""Unused processor time that is kept for later requests; with one more request it fits into a round."""
ROUND_WORK_FRACTION = 0.8
"""Part of the intended time of a round that its new requests may take; the rest is for other events."""
MIN_WORK_FRACTION = 0.5
"""Part of the time budget that refusals leave to admitted requests, however many requests are refused."""
RETURN_RESERVE_SECONDS = 0.1
"""Processor time that returning requests may take in advance, so that they are shed last."""
MAX_DEBT_SECONDS = 0.5
"""Limit of the processor time that requests of customers below their share take in advance."""
SPARE_BURST_SECONDS = 0.5
"""Time for which spare capacity of other hosts is kept, a quarter of the time between two reports."""
SPARE_INTERVAL_SECONDS = 0.1
"""Time between two looks at the load of other hosts."""
ACTIVE_SECONDS = 2.0
"""Time since its last request for which a customer counts for the shares."""
MIN_SHARE_REQUESTS = 1.0
"""Requests within the time constant that each customer may send whatever the load."""
MAX_CUSTOMERS = 1_000
"""Limit of the customers that are told apart; the least recent ones are forgotten."""
FULL_LOAD = 100
"""Load of a host without spare capacity, in percent."""
SPARE_BELOW_LOAD = 80
"""Load in percent above which a host takes no requests of others, below the start of its own shedding."""


class LoadSheddingSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of load shedding at the caller port.

    Parameters
    ----------
    is_enabled
        Whether requests may be shed at all.
    start_busy_seconds
        Time for which the event loop has to be busy without a pause before shedding starts.
    busy_fraction
        Fraction of the time that admitted requests and refusals may take while shedding.
    round_seconds
        Time that a round of the event loop should not exceed.
    unread_seconds
        Time within which new connections should be accepted and read.
    calm_seconds
        Time without excess requests after which shedding stops.
    backlog_seconds
        Admitted work up to which requests are still admitted that no other host can take.
    retry_after_seconds
        Time after which the caller of a shed request may retry; short, as another host can serve it at once.
    refused_retry_after_seconds
        The same for a request that no other host is known to have capacity for.
    """

    is_enabled: bool = True
    start_busy_seconds: Annotated[float, Meta(ge=0.3, le=10.0)] = 0.3
    busy_fraction: Annotated[float, Meta(ge=0.1, le=1.0)] = 0.85
    round_seconds: Annotated[float, Meta(ge=0.005, le=1.0)] = 0.05
    unread_seconds: Annotated[float, Meta(ge=0.01, le=1.0)] = 0.25
    calm_seconds: Annotated[float, Meta(ge=0.1, le=60.0)] = 1.0
    backlog_seconds: Annotated[float, Meta(ge=0.0, le=0.5)] = 0.1
    retry_after_seconds: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.05
    refused_retry_after_seconds: Annotated[float, Meta(ge=0.0, le=10.0)] = 0.5


class Verdict(enum.Enum):
    """What becomes of a new request."""

    ADMITTED = enum.auto()
    SHED = enum.auto()
    """Refused, as another host can take it at once."""
    REFUSED = enum.auto()
    """Refused although no other host is known to have capacity, as it would be read too late here."""


@dataclass(slots=True)
class CustomerUsage:
    """Requests of one customer at this host."""

    admitted: DecayingSum
    returned: DecayingSum
    """Returning requests that have not been admitted, for which a part of its share is left."""
    asked_at: float


@dataclass(slots=True)
class ShedCounts:
    """Requests since the start of the process."""

    admitted: int = 0
    shed: int = 0
    refused: int = 0
    """Excess requests that were refused although no other host was known to take them."""
    kept: int = 0
    """Excess requests that were admitted because no other host could take them."""


@dataclass(slots=True)
class BusyStretch:
    """Rounds of the event loop without a pause between them."""

    began_at: float
    ended_at: float
    rounds: int = 0
    longest_round: float = 0.0


@dataclass(slots=True)
class Budgets:
    """Seconds of this host's processor time that may be spent, as of a time."""

    at: float
    work: float = BURST_SECONDS
    """Left for requests that are admitted here; negative if some were admitted in advance."""
    spare: float = 0.0
    """Left for shed requests at other hosts."""
    spare_rate: float = 0.0
    spare_looked_up_at: float = -math.inf


class LoadShedder:
    """Decides for each new request whether the host admits or sheds it.

    Shedding starts when the event loop has been busy without a pause for a time and its rounds are too long
    or new connections wait unread. From then on, admitted requests share a time budget. What a request costs
    is learned from the time that the admitted ones take.

    Parameters
    ----------
    settings
        Settings of load shedding.
    spare
        Returns, for a time, what the other hosts of the data centre can take: seconds of this host's
        processor time per second, 0 if no live host is known to have spare capacity.
    now
        Time of the start.
    """

    def __init__(self, settings: LoadSheddingSettings, *, spare: Callable[[float], float], now: float):
        self.settings = settings
        self.spare = spare
        self.is_shedding = False
        self.counts = ShedCounts()
        self.stretch = BusyStretch(now, now)
        self.budgets = Budgets(now)
        self.busy = DecayingSum(MEMORY_SECONDS, now)
        """Time of all rounds."""
        self.work = DecayingSum(LEARNING_SECONDS, now)
        """Time of all rounds less that of events of sockets."""
        self.refusals = DecayingSum(MEMORY_SECONDS, now)
        """Time of refusals."""
        self.round_refusals = 0
        """Number of the refusals of the current round."""
        self.refused = DecayingSum(LEARNING_SECONDS, now)
        """Number of refusals."""
        self.reads = DecayingSum(LEARNING_SECONDS, now)
        """Time of events of sockets less that of refusals."""
        self.round_work = 0.0
        """Time that the requests admitted in the current round are expected to take."""
        self.admitted = DecayingSum(LEARNING_SECONDS, now)
        self.round_admitted = 0
        """Requests admitted in the current round; they count at its end, together with its time."""
        self.request_seconds = INITIAL_REQUEST_SECONDS
        self.last_round_seconds = 0.0
        self.refusal_seconds = 0.0
        """Time of the refusals of the current round."""
        self.unread_seconds = 0.0
        """How long the oldest unread request has waited, as recorded last."""
        self.excess_at = -math.inf
        """When a request last exceeded what the host can handle."""
        self.customers: dict[str, CustomerUsage] = {}
        self.active_customers = 1
        self.active_counted_at = -math.inf

    def load(self, now: float) -> int:
        """Return the load of this host in percent."""
        if self.is_shedding:
            return FULL_LOAD
        return min(FULL_LOAD, round(FULL_LOAD * self.busy.add(0.0, now) / MEMORY_SECONDS))

    def record_unread(self, seconds: float) -> None:
        """Record how long the oldest unread request or connection has waited."""
        self.unread_seconds = seconds

    def record_refusal(self, seconds: float) -> None:
        """Record the time that a refusal has taken, which is not part of the cost of admitted requests."""
        self.refusal_seconds += seconds
        self.round_refusals += 1

    def record_round(self, busy_seconds: float, now: float, *, read_seconds: float = 0.0) -> None:
        """Record a round of the event loop that ends now, and start or stop shedding.

        `read_seconds` of it were spent on events of sockets, refusals included.
        """
        began_at = now - busy_seconds
        stretch = self.stretch
        if began_at - stretch.ended_at > max(PAUSE_SECONDS, PAUSE_FRACTION * self.last_round_seconds):
            stretch.began_at, stretch.rounds, stretch.longest_round = began_at, 0, 0.0
        stretch.ended_at = now
        stretch.rounds += 1
        stretch.longest_round = max(stretch.longest_round, busy_seconds)
        self.last_round_seconds = busy_seconds
        self.busy.add(busy_seconds, now)
        self.learn(busy_seconds, read_seconds, now)
        if not self.is_shedding:
            self.start_if_overloaded(now)
        elif now - self.excess_at > self.settings.calm_seconds:
            self.is_shedding = False

    def learn(self, busy_seconds: float, read_seconds: float, now: float) -> None:
        """Update the time that an admitted request takes, from the times of a round.

        What reads take beyond the recorded time of refusals is divided by the number of events; otherwise
        the price of an admitted request would rise with the number of refused ones.
        """
        reads = max(0.0, read_seconds - self.refusal_seconds)
        others = max(0.0, busy_seconds - max(read_seconds, self.refusal_seconds))
        self.refusals.add(self.refusal_seconds, now)
        refused = self.refused.add(self.round_refusals, now)
        admitted = self.admitted.add(self.round_admitted, now)
        self.refusal_seconds, self.round_work = 0.0, 0.0
        self.round_refusals = self.round_admitted = 0
        events = READS_PER_REQUEST * admitted
        work = self.work.add(others, now) + self.reads.add(reads, now) * events / max(1.0, events + refused)
        if admitted >= MIN_SAMPLE_REQUESTS:
            self.request_seconds = work / admitted

    def start_if_overloaded(self, now: float) -> None:
        """Start shedding if the event loop has been busy for too long and requests wait because of it."""
        stretch, settings = self.stretch, self.settings
        is_late = (
            stretch.longest_round > settings.round_seconds or self.unread_seconds > settings.unread_seconds
        )
        if (
            settings.is_enabled
            and is_late
            and stretch.rounds >= MIN_STRETCH_ROUNDS
            and now - stretch.began_at >= settings.start_busy_seconds
        ):
            self.is_shedding = True
            self.excess_at = now
            rate = max(0.0, self.spare(now))
            self.budgets = Budgets(now, spare=rate * BURST_SECONDS, spare_rate=rate, spare_looked_up_at=now)

    def admits(self, customer: str, is_return: bool, now: float) -> bool:
        """Return whether a new request is admitted; see `decide`."""
        return self.decide(customer, is_return, now) is Verdict.ADMITTED

    def decide(self, customer: str, is_return: bool, now: float) -> Verdict:
        """Return what becomes of a new request.

        Parameters
        ----------
        customer
            Customer of the request, empty if its API key is not known.
        is_return
            Whether the caller has tried before, probably at another host.
        now
            Time of the decision.
        """
        usage = self.usage_of(customer, now)
        if not self.is_shedding:
            return self.admit(usage, now)
        self.refill_budgets(now)
        budgets = self.budgets
        if self.is_below_share(usage, is_return, now) or self.is_affordable(is_return):
            return self.admit(usage, now)
        self.excess_at = now
        usage.returned.add(float(is_return), now)
        if budgets.spare >= self.request_seconds:
            budgets.spare -= self.request_seconds
            self.counts.shed += 1
            return Verdict.SHED
        if budgets.work > -self.settings.backlog_seconds:
            self.counts.kept += 1
            return self.admit(usage, now)
        self.counts.refused += 1
        return Verdict.REFUSED

    def is_affordable(self, is_return: bool) -> bool:
        """Return whether the time budgets of the host and of the current round have room for a request."""
        if is_return:
            return self.budgets.work > -RETURN_RESERVE_SECONDS
        limit = ROUND_WORK_FRACTION * self.settings.round_seconds
        fits = not self.round_work or self.round_work + self.request_seconds <= limit
        return fits and self.budgets.work > 0.0

    def admit(self, usage: CustomerUsage, now: float) -> Verdict:
        """Count an admitted request."""
        self.counts.admitted += 1
        self.round_admitted += 1
        usage.admitted.add(1.0, now)
        self.round_work += self.request_seconds
        if self.is_shedding:
            self.budgets.work = max(-MAX_DEBT_SECONDS, self.budgets.work - self.request_seconds)
        return Verdict.ADMITTED

    def usage_of(self, customer: str, now: float) -> CustomerUsage:
        """Return the usage of a customer that asks now; customers are kept in the order of their requests."""
        usage = self.customers.pop(customer, None)
        if usage is None or now - usage.asked_at > ACTIVE_SECONDS:
            self.active_counted_at = -math.inf
        if usage is None:
            usage = CustomerUsage(DecayingSum(MEMORY_SECONDS, now), DecayingSum(MEMORY_SECONDS, now), now)
            if len(self.customers) >= MAX_CUSTOMERS:
                del self.customers[next(iter(self.customers))]
        usage.asked_at = now
        self.customers[customer] = usage
        return usage

    def is_below_share(self, usage: CustomerUsage, is_return: bool, now: float) -> bool:
        """Return whether a customer has less than its equal share of what the host admits.

        The share of a customer that asks alone is the whole budget, which decides then.
        """
        if now - self.active_counted_at >= SPARE_INTERVAL_SECONDS:
            self.active_counted_at = now
            active = sum(now - other.asked_at <= ACTIVE_SECONDS for other in self.customers.values())
            self.active_customers = max(1, active)
        share = MIN_SHARE_REQUESTS
        if self.active_customers > 1:
            affordable = self.work_rate * MEMORY_SECONDS / self.request_seconds
            share = max(share, affordable / self.active_customers)
        left = share - usage.admitted.add(0.0, now)
        return left >= 1.0 + (0.0 if is_return else usage.returned.add(0.0, now))

    @property
    def work_rate(self) -> float:
        """Return the seconds of processor time per second that admitted requests may take."""
        fraction = self.settings.busy_fraction
        rate = max(MIN_WORK_FRACTION * fraction, fraction - self.refusals.total / MEMORY_SECONDS)
        return rate * LONG_ROUND_FRACTION if self.last_round_seconds > self.settings.round_seconds else rate

    def refill_budgets(self, now: float) -> None:
        """Add the time since the last request to the budgets."""
        budgets = self.budgets
        elapsed = max(0.0, now - budgets.at)
        budgets.at = now
        if now - budgets.spare_looked_up_at >= SPARE_INTERVAL_SECONDS:
            budgets.spare_looked_up_at = now
            budgets.spare_rate = max(0.0, self.spare(now))
        budgets.work = min(BURST_SECONDS, budgets.work + elapsed * self.work_rate)
        limit = budgets.spare_rate * SPARE_BURST_SECONDS
        budgets.spare = min(limit, budgets.spare + elapsed * budgets.spare_rate)


def spare_capacity(load: int, capacity: float) -> float:
    """Return the cores that a host with a stated load in percent has left for requests of others."""
    if not 0 <= load <= FULL_LOAD or not 0.0 < capacity < math.inf:
        return 0.0
    return max(0, SPARE_BELOW_LOAD - load) / FULL_LOAD * capacity


def spare_capacity_of_others(own: MemberEntry, members: Iterable[MemberEntry]) -> float:
    """Return what other hosts can take, as a multiple of the capacity of the own one."""
    cores = sum(
        spare_capacity(entry.load, entry.capacity) for entry in members if entry.address != own.address
    )
    return cores / own.capacity if own.capacity > 0.0 else 0.0
