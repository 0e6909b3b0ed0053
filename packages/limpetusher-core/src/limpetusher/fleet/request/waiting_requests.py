"""Queues of requests that wait for a target: the order of starts, and refusals."""

import bisect
import heapq
import itertools
import math
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from limpetusher.fleet.model import Pool, QueuedRequest
from limpetusher.fleet.process.fair_levels import FairLevels, WaitingTokens
from limpetusher.fleet.process.kind_shares import KindQueue, KindShares, queues_by_customer
from limpetusher.fleet.process.placement import Placement, TargetChoice
from limpetusher.fleet.process.pool_view import PoolView
from limpetusher.fleet.process.prompt_quarantine import PromptQuarantine, shared_parts
from limpetusher.fleet.process.served_tokens import ServedTokens, throughput_cost
from limpetusher.fleet.process.strikes import PartKey
from limpetusher.fleet.settings import FleetSettings

MIN_RETRY_AFTER_SECONDS = 0.05
MAX_RETRY_AFTER_SECONDS = 2.0
RETRY_AFTER_GOAL_FRACTION = 0.25
"""Fraction of the goal that is added to the current backlog in the retry-after time of a refusal."""
MAX_CONSIDERED_REQUESTS = 64
"""Maximum number of requests for which a placement run compares engines."""
CLOSED_SECONDS = 0.1
"""Time for which a router refuses requests itself after one was refused because of the backlog. During a
flood, the messages of refused requests would otherwise take most of the scheduler's processor."""
NO_ROOM = "no target had room in time"
NO_MEMORY = "no engine had memory for the request in time"
BACKLOG_TOO_LONG = "the backlog is too long"
PROMPT_QUARANTINED = "a part of the prompt has crashed engines"
REQUEST_QUARANTINED = "the request has crashed targets"
VERSION_UNKNOWN = "the software version that began the stream is not known"
VERSION_LEFT = "no target has the software version that began the stream"
TARGETS_UNCONFIRMED = "it is not confirmed that the list of targets is up to date"
STARTED_LEVEL_SECONDS = 0.25
"""Time for which a start shows up to which level customers are served. Covers the pauses between bursts."""
FAIR_SERVED_PART = 0.8
"""Service relative to the most served customer from which a customer is not served less than its share."""
FULL_SHARE_PART = 0.95
"""Service relative to the most served customer from which a customer has its share."""
FULL_PATIENCE_SHARE = 1.0
"""Share of the tokens asked for that has to be served for a request to wait for its best engine as usual."""
NO_PATIENCE_SHARE = 0.5
"""Share of the tokens asked for below which a request does not wait for its best engine; the users' bound of
unfair service."""
MAX_CATCH_UP_SECONDS = 0.2
"""Time for which the engines may serve others before a customer that was served more before, when there was
less demand or more capacity. A small part of the six seconds in which the users compare customers."""
MAX_SATURATION_AGE_SECONDS = 1.0
"""Time after a run for which its backlog is used to refuse requests on arrival."""
RECONSIDERATION_SECONDS = 0.05
"""Time for which a request is not considered again while the engine that it waits for can't accept it."""
REFUSAL_SCAN_INTERVAL_SECONDS = 0.02
"""Interval between two scans for requests that can't start in time behind the backlog."""


@dataclass(frozen=True, slots=True)
class StartDecision:
    """Decision to send a request to a target."""

    request: QueuedRequest
    choice: TargetChoice


@dataclass(frozen=True, slots=True)
class RefusalDecision:
    """Decision to refuse a request that has not run."""

    request: QueuedRequest
    reason: str
    retry_after_seconds: float
    backlog_seconds: float
    closed_seconds: float = 0.0
    """Time for which requests of the customer with the same or a shorter goal would be refused as well."""

    @property
    def may_crash_targets(self) -> bool:
        """Return whether the request is refused because it may crash targets."""
        return self.reason in (PROMPT_QUARANTINED, REQUEST_QUARANTINED)

    @property
    def lacks_version(self) -> bool:
        """Return whether the request is refused for want of the software version that began its stream."""
        return self.reason in (VERSION_UNKNOWN, VERSION_LEFT, TARGETS_UNCONFIRMED)


@dataclass(frozen=True, slots=True)
class SaturatedPool:
    """State of a pool after a run that left requests waiting and no target that can accept one."""

    levels: FairLevels
    prefill_rate: float
    decided_at: float


@dataclass(slots=True)
class StartedLevel:
    """Highest number of served tokens of a customer that has lately started requests in a pool."""

    tokens: float = 0.0
    started_at: float = -math.inf

    def record(self, tokens: float, now: float) -> None:
        """Record the tokens served to a customer that starts a request."""
        if tokens >= self.tokens or now > self.started_at + STARTED_LEVEL_SECONDS:
            self.tokens, self.started_at = tokens, now

    def is_above(self, tokens: float, now: float) -> bool:
        """Return whether customers that were served more have lately started requests."""
        return now <= self.started_at + STARTED_LEVEL_SECONDS and tokens < self.tokens


class WaitingRequests:
    """Requests of the whole fleet that wait for targets of the pools scheduled by this router.

    The least served customer comes first. A request is refused as soon as the backlog ahead of it shows that
    it can't start in time.

    Parameters
    ----------
    settings
        Constants of the placement policy.
    placement
        State and choice of the targets.
    served
        Served tokens by customer.
    quarantine
        Prompt parts that may crash engines.
    """

    def __init__(
        self,
        settings: FleetSettings,
        placement: Placement,
        served: ServedTokens,
        quarantine: PromptQuarantine,
    ):
        self.quarantine = quarantine
        self.settings = settings
        self.placement = placement
        self.served = served
        self.kinds = KindShares(settings.kind_tolerance)
        self.by_pool: dict[Pool, list[QueuedRequest]] = {}
        """Waiting requests by pool, earliest `latest_start_at` first."""
        self.tokens_by_pool: dict[Pool, dict[str, WaitingTokens]] = {}
        """Sums of the waiting tokens by pool and customer."""
        self.refusals_scanned_at: dict[Pool, float] = {}
        self.unfinished_passes: dict[Pool, float] = {}
        """Start of the pass over the queue, for pools whose last run did not consider all requests."""
        self.saturated: dict[Pool, SaturatedPool] = {}
        self.started_levels: dict[Pool, StartedLevel] = {}
        self.max_served = 0.0
        """Tokens served to the most served customer, at the last run."""

    def add(self, request: QueuedRequest) -> None:
        """Queue a request; its maximum wait counts from `queued_at`."""
        request.latest_start_at = request.queued_at + self.placement.max_wait_seconds(request)
        waiting = self.by_pool.setdefault(request.pool, [])
        bisect.insort(waiting, request, key=latest_start)
        request.is_queued = True
        sums = self.tokens_by_pool.setdefault(request.pool, {})
        sums.setdefault(request.customer, WaitingTokens()).add(
            throughput_tokens(request), unshared_tokens(request)
        )

    def refuse_on_arrival(self, request: QueuedRequest, now: float) -> RefusalDecision | None:
        """Return the refusal of a request that can't start in time, None if it has to be queued.

        The queue of a pool only grows to what its targets can start in time, however much arrives. Streams
        that callers take up again are queued, as a part of their answers was sent already.
        """
        saturated = self.saturated.get(request.pool)
        if saturated is None or request.resumes or now > saturated.decided_at + MAX_SATURATION_AGE_SECONDS:
            return None
        request.latest_start_at = request.queued_at + self.placement.max_wait_seconds(request)
        tokens_before = self.tokens_before(request)
        level = self.served.total(request.customer) + tokens_before
        seconds = saturated.levels.prefill_tokens_up_to(level) / saturated.prefill_rate
        is_in_time = saturated.decided_at + seconds <= request.latest_start_at
        if is_in_time or self.is_overtaken(request.pool, level, now):
            return None
        return self.refusal(request, BACKLOG_TOO_LONG, self.backlog_seconds(request.pool, now))

    def tokens_before(self, request: QueuedRequest) -> float:
        """Return the tokens of its customer's more urgent waiting requests."""
        waiting = self.by_pool.get(request.pool, [])
        index = bisect.bisect_right(waiting, request.latest_start_at, key=latest_start)
        return sum(
            throughput_tokens(other)
            for other in itertools.islice(waiting, index)
            if other.customer == request.customer
        )

    def is_share_short(self, pool: Pool, customer: str, level: float) -> bool:
        """Return whether a customer that gets its share waits for more than the next burst serves.

        A customer with less service than others is served whatever targets can take, the most urgent first.
        """
        waiting = self.tokens_by_pool.get(pool, {}).get(customer)
        if waiting is None or self.served.total(customer) < FULL_SHARE_PART * self.max_served:
            return False
        return self.served.total(customer) + waiting.throughput_tokens > level

    def is_overtaken(self, pool: Pool, level: float, now: float) -> bool:
        """Return whether requests start now whose customers are above a level of served tokens.

        The backlog up to the level is then no reason to refuse a request: it waits for its engine, not for
        the customers that are served before.
        """
        started = self.started_levels.get(pool)
        return started is not None and started.is_above(level, now)

    def backlog_seconds(self, pool: Pool, now: float) -> float:
        """Return the time to prefill the prompts that wait for a pool."""
        prefill_rate = self.prefill_rate(pool, now)
        tokens = sum(tokens.prefill_tokens for tokens in self.tokens_by_pool.get(pool, {}).values())
        return tokens / prefill_rate if prefill_rate > 0 else 0.0

    def prefill_rate(self, pool: Pool, now: float) -> float:
        """Return the rate at which a pool prefills the waiting prompts, in tokens per second."""
        waiting = self.tokens_by_pool.get(pool, {}).values()
        requests = sum(tokens.requests for tokens in waiting)
        prompt_tokens = sum(tokens.prefill_tokens for tokens in waiting) / requests if requests else 0.0
        return self.placement.prefill_rate(pool, now, prompt_tokens=prompt_tokens)

    def remove(self, request: QueuedRequest) -> None:
        """Remove a waiting request, if it is queued."""
        if not request.is_queued:
            return
        waiting = self.by_pool[request.pool]
        index = bisect.bisect_left(waiting, request.latest_start_at, key=latest_start)
        while waiting[index] is not request:
            index += 1
        del waiting[index]
        self.subtract_tokens(request)

    def subtract_tokens(self, request: QueuedRequest) -> None:
        """Subtract a request that is no longer queued from the sums of its customer."""
        request.is_queued = False
        sums = self.tokens_by_pool[request.pool]
        tokens = sums[request.customer]
        tokens.subtract(throughput_tokens(request), unshared_tokens(request))
        if not tokens.requests:
            del sums[request.customer]

    @property
    def count(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(waiting) for waiting in self.by_pool.values())

    def decide(self, now: float) -> list[StartDecision | RefusalDecision]:
        """Return the decisions that are due: requests to start and requests to refuse."""
        self.served.decay(now)
        self.served.limit_to_shares()
        self.max_served = self.served.max_total()
        decisions: list[StartDecision | RefusalDecision] = []
        for pool in list(self.by_pool):
            waiting = self.tokens_by_pool[pool]
            levels = FairLevels(self.served.totals(waiting), waiting)
            prefill_rate = self.prefill_rate(pool, now)
            if prefill_rate and self.served.limit_totals(levels.level(prefill_rate * MAX_CATCH_UP_SECONDS)):
                levels = FairLevels(self.served.totals(waiting), waiting)
            level = levels.level(prefill_rate * self.horizon_seconds(pool))
            decisions += self.start_requests(pool, levels, level, prefill_rate, now)
            decisions += self.refuse_requests(pool, levels, prefill_rate, now)
            if not self.by_pool[pool]:
                del self.by_pool[pool], self.tokens_by_pool[pool]
                self.saturated.pop(pool, None)
        return decisions

    def requests(self) -> Iterator[QueuedRequest]:
        """Return the waiting requests of all pools."""
        return itertools.chain.from_iterable(self.by_pool.values())

    def horizon_seconds(self, pool: Pool) -> float:
        """Return the time of the next burst and its pause."""
        return self.placement.burst_seconds(pool.service) + self.settings.burst_pause_seconds

    def start_requests(
        self, pool: Pool, levels: FairLevels, level: float, prefill_rate: float, now: float
    ) -> list[StartDecision]:
        """Start the requests that targets can take.

        The least served customer comes first, with its most urgent request that a target can take, or that of
        its least served kind while its share is short and its kinds are served unevenly. At most
        `MAX_CONSIDERED_REQUESTS` are considered, so that the duration does not grow with the queue. The next
        runs then consider the others first.
        """
        starts = []
        view = self.placement.view(pool, now, is_scarce=level < math.inf)
        if not view.has_room:
            self.record_saturation(pool, levels, prefill_rate, view)
            return starts
        queues = self.by_customer(pool, level, now)
        considered = 0
        pass_started_at = self.unfinished_passes.pop(pool, now)
        heap = [(self.served.total(customer), customer) for customer in queues]
        heapq.heapify(heap)
        while heap and view.has_room:
            total, customer = heapq.heappop(heap)
            queue = queues[customer]
            served_part = total / self.max_served if self.max_served else 0.0
            patience = self.patience(customer, served_part)
            while queue:
                request = queue.popleft()
                if not is_reconsidered(request, view, pass_started_at) or self.is_held(request, now):
                    continue
                if considered >= MAX_CONSIDERED_REQUESTS:
                    self.unfinished_passes[pool] = pass_started_at
                    return starts
                considered += request.session not in view.closed_sessions
                request.considered_at = now
                request.served_part = served_part
                request.share_used = total / level
                request.patience = patience
                choice = self.placement.choose(request, now, view)
                if choice is not None:
                    self.remove(request)
                    self.placement.record_start(request, choice, now)
                    if not self.quarantine.is_idle:
                        self.quarantine.record_start(request.key, request_parts(request))
                    view.record_start(choice.target, request.session)
                    self.started_levels.setdefault(pool, StartedLevel()).record(total, now)
                    self.served.add(customer, throughput_tokens(request))
                    self.kinds.add_served(request, now)
                    if isinstance(queue, KindQueue):
                        queue.rank_again()
                    heapq.heappush(heap, (self.served.total(customer), customer))
                    starts.append(StartDecision(request, choice))
                    break
        self.record_saturation(pool, levels, prefill_rate, view)
        return starts

    def patience(self, customer: str, served_part: float) -> float:
        """Return the share of the usual time for which a customer's requests wait for their best engine.

        The less of what a customer asks for is served while others get more, the sooner another engine takes
        its requests, although that engine has to read more of their prompts.
        """
        if served_part >= FAIR_SERVED_PART:
            return 1.0
        share = self.served.met_share(customer) - NO_PATIENCE_SHARE
        return min(1.0, max(0.0, share / (FULL_PATIENCE_SHARE - NO_PATIENCE_SHARE)))

    def is_behind(self, customer: str) -> bool:
        """Return whether a customer is served less than its share, if it asks for that much."""
        return self.served.total(customer) < FAIR_SERVED_PART * self.max_served

    def least_met(self) -> tuple[str, float] | None:
        """Return the customer below its share with the lowest part of its requests met, None for none."""
        below = [
            (self.served.met_share(customer), customer)
            for customer in self.served.asked
            if self.is_behind(customer)
        ]
        if not below:
            return None
        share, customer = min(below)
        return customer, share

    def is_held(self, request: QueuedRequest, now: float) -> bool:
        """Return whether a part of a request's prompt keeps it from starting now."""
        if self.quarantine.is_idle:
            return False
        parts = request_parts(request)
        return self.quarantine.remaining_seconds(parts, now) > 0 or not self.quarantine.may_start(
            request.key, parts
        )

    def record_saturation(self, pool: Pool, levels: FairLevels, prefill_rate: float, view: PoolView) -> None:
        """Record whether any target of a pool can accept a request after a run."""
        if view.has_room or not prefill_rate:
            self.saturated.pop(pool, None)
        else:
            self.saturated[pool] = SaturatedPool(levels, prefill_rate, view.now)

    def by_customer(
        self, pool: Pool, level: float, now: float
    ) -> dict[str, deque[QueuedRequest] | KindQueue]:
        """Return the waiting requests of each customer, the most urgent first.

        While a customer's share is short and its kinds are served unevenly, those of the kind with the lowest
        fraction of its demand served come first. Streams that callers take up again come before the others.
        They may wait for longer, so that new requests with earlier limits would keep them from targets until
        they are refused.

        Parameters
        ----------
        pool
            Pool of the requests.
        level
            Level of served tokens that the next burst reaches.
        now
            Current time.
        """
        short = set()
        if self.kinds.orders_requests:
            customers = self.tokens_by_pool[pool]
            short = {customer for customer in customers if self.is_share_short(pool, customer, level)}
        requests = sorted(self.by_pool[pool], key=is_no_take_up)
        return queues_by_customer(requests, short, self.kinds, now)

    def refuse_requests(
        self, pool: Pool, levels: FairLevels, prefill_rate: float, now: float
    ) -> list[RefusalDecision]:
        """Refuse the requests that have waited too long or can't start in time behind the backlog."""
        is_scan_due = now >= self.refusals_scanned_at.get(pool, -math.inf) + REFUSAL_SCAN_INTERVAL_SECONDS
        if not is_scan_due and self.by_pool[pool] and now < self.by_pool[pool][0].latest_start_at:
            return []
        self.refusals_scanned_at[pool] = now
        refusals = []
        backlog = sum(tokens.prefill_tokens for tokens in self.tokens_by_pool[pool].values())
        for customer, queue in self.by_customer(pool, math.inf, now).items():
            served = self.served.total(customer)
            customer_tokens_before = 0.0
            for request in queue:
                prefill_tokens_before = levels.prefill_tokens_up_to(served + customer_tokens_before)
                quarantine = self.quarantine.quarantines and self.quarantine.find(request_parts(request), now)
                if quarantine:
                    reason = REQUEST_QUARANTINED if quarantine.is_request else PROMPT_QUARANTINED
                elif now >= request.latest_start_at:
                    reason = NO_MEMORY if request.memory_short_since is not None else NO_ROOM
                elif (
                    prefill_rate
                    and not request.resumes
                    and now + prefill_tokens_before / prefill_rate > request.latest_start_at
                    and not self.is_overtaken(pool, served + customer_tokens_before, now)
                ):
                    reason = BACKLOG_TOO_LONG
                else:
                    customer_tokens_before += throughput_tokens(request)
                    continue
                refusals.append(
                    self.refusal(request, reason, backlog / prefill_rate if prefill_rate > 0 else 0.0)
                )
                self.subtract_tokens(request)
                backlog -= unshared_tokens(request)
        if refusals:
            self.by_pool[pool] = [request for request in self.by_pool[pool] if request.is_queued]
        return refusals

    def refusal(self, request: QueuedRequest, reason: str, backlog: float) -> RefusalDecision:
        """Return a refusal with a retry-after time based on `backlog` seconds."""
        delay = backlog + RETRY_AFTER_GOAL_FRACTION * request.goal_seconds
        retry_after = min(max(delay, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
        closed_seconds = 0.0
        if reason == BACKLOG_TOO_LONG and not self.is_behind(request.customer):
            closed_seconds = CLOSED_SECONDS
        return RefusalDecision(request, reason, retry_after, backlog, closed_seconds)


def is_reconsidered(request: QueuedRequest, view: PoolView, pass_started_at: float) -> bool:
    """Return whether a target is looked for again in a run of the pass that began at `pass_started_at`."""
    if request.considered_at >= pass_started_at:
        return bool(request.awaited_id) and not view.is_still_awaited(request)
    is_recent = view.now < request.considered_at + RECONSIDERATION_SECONDS
    return not (is_recent and view.is_still_awaited(request))


def request_parts(request: QueuedRequest) -> frozenset[PartKey]:
    """Return the prompt parts of a request that other requests may share, and the key of the request."""
    return shared_parts(request.pool.service, request.parts, request.digest)


def latest_start(request: QueuedRequest) -> float:
    """Return the sort key of waiting requests."""
    return request.latest_start_at


def is_no_take_up(request: QueuedRequest) -> bool:
    """Return whether a caller takes no stream up with a request; streams resumed by routers don't count."""
    return not request.resumes


def unshared_tokens(request: QueuedRequest) -> int:
    """Return the prompt tokens of a request outside of its shared parts, which no engine has cached."""
    return request.parts[-1].tokens if request.parts else request.prompt_tokens


def throughput_tokens(request: QueuedRequest) -> float:
    """Return the throughput that a request costs its customer, independent of cached parts."""
    return throughput_cost(request.prompt_tokens, request.output_tokens)
