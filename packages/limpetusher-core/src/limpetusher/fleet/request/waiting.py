"""Requests that wait for a target: who comes next, and who is refused."""

import bisect
import heapq
import math
from collections import deque
from dataclasses import dataclass

from limpetusher.fleet.model import Pool, Work
from limpetusher.fleet.process.fairness import OUTPUT_TOKEN_WEIGHT, ServedTokens
from limpetusher.fleet.process.placement import Placed, Placement
from limpetusher.fleet.process.shares import FairLevels, WaitingWork
from limpetusher.fleet.settings import FleetSettings

LEAST_RETRY_AFTER_SECONDS = 0.05
MOST_RETRY_AFTER_SECONDS = 2.0
RETURN_GOAL_PART = 0.25
"""Part of the goal that a refused caller stays away beyond the present backlog."""
REFUSING_GAP_SECONDS = 0.02
"""Time between two looks for requests behind a backlog that is too long."""


@dataclass(frozen=True, slots=True)
class Start:
    """Send a request to a target."""

    work: Work
    placed: Placed


@dataclass(frozen=True, slots=True)
class Refusal:
    """Refuse a request that has not run."""

    work: Work
    reason: str
    retry_after_seconds: float
    backlog_seconds: float


class WaitingRequests:
    """Requests of the whole fleet that wait for targets of the pools that this router schedules.

    Customers that were served least come first. A request is refused as soon as the work that waits before
    it shows that it can't start in time.

    Parameters
    ----------
    settings
        Constants of the policy.
    placement
        Chooses targets.
    served
        Served tokens by customer.
    """

    def __init__(self, settings: FleetSettings, placement: Placement, served: ServedTokens):
        self.settings = settings
        self.placement = placement
        self.served = served
        self.by_pool: dict[Pool, list[Work]] = {}
        """Waiting requests by pool, the most urgent first."""
        self.refused_at: dict[Pool, float] = {}

    def add(self, work: Work) -> None:
        """Let a request wait from its `queued_at` on."""
        work.start_before = work.queued_at + self.placement.wait_limit(work)
        waiting = self.by_pool.setdefault(work.pool, [])
        bisect.insort(waiting, work, key=lambda other: other.start_before)

    def remove(self, work: Work) -> None:
        """Forget a request that has ended while it waited."""
        waiting = self.by_pool.get(work.pool, [])
        if work in waiting:
            waiting.remove(work)

    def waiting_work(self, pool: Pool) -> dict[str, WaitingWork]:
        """Return what waits for a pool, by customer."""
        sums: dict[str, WaitingWork] = {}
        for work in self.by_pool.get(pool, ()):
            sums.setdefault(work.customer, WaitingWork()).add(throughput_tokens(work), own_tokens(work))
        return sums

    def decide(self, now: float) -> list[Start | Refusal]:
        """Return what starts and what is refused now."""
        self.served.decay(now)
        decisions: list[Start | Refusal] = []
        for pool in list(self.by_pool):
            waiting = self.waiting_work(pool)
            levels = FairLevels(self.served.totals(waiting), waiting)
            decisions += self.start(pool, levels, now)
            decisions += self.refuse(pool, levels, now)
            if not self.by_pool[pool]:
                del self.by_pool[pool]
        return decisions

    def start(self, pool: Pool, levels: FairLevels, now: float) -> list[Start]:
        """Start what targets can take.

        The customer with the least service comes first, with its most urgent request that a target can take.
        """
        starts = []
        horizon = self.placement.burst_seconds(pool.service) + self.settings.burst_pause_seconds
        level = levels.level(self.placement.pace(pool, now) * horizon)
        view = self.placement.view(pool, now, is_scarce=level < math.inf)
        most = self.served.most()
        queues = self.by_customer(pool)
        heap = [(self.served.total(customer), customer) for customer in queues]
        heapq.heapify(heap)
        while heap and view.has_room:
            total, customer = heapq.heappop(heap)
            queue = queues[customer]
            while queue:
                work = queue.popleft()
                work.served_part = total / most if most else 0.0
                work.share_used = total / level
                placed = self.placement.choose(work, now, view)
                if placed is not None:
                    self.by_pool[pool].remove(work)
                    self.placement.start(work, placed, now)
                    view.refresh(placed.target)
                    self.served.serve(customer, throughput_tokens(work))
                    heapq.heappush(heap, (self.served.total(customer), customer))
                    starts.append(Start(work, placed))
                    break
        return starts

    def by_customer(self, pool: Pool) -> dict[str, deque[Work]]:
        """Return the waiting requests of each customer, the most urgent first."""
        queues: dict[str, deque[Work]] = {}
        for work in self.by_pool[pool]:
            queues.setdefault(work.customer, deque()).append(work)
        return queues

    def refuse(self, pool: Pool, levels: FairLevels, now: float) -> list[Refusal]:
        """Refuse what has waited too long, or can't start in time behind what comes before it."""
        looks_ahead = now >= self.refused_at.get(pool, -math.inf) + REFUSING_GAP_SECONDS
        if not looks_ahead and self.by_pool[pool] and now < self.by_pool[pool][0].start_before:
            return []
        self.refused_at[pool] = now
        refusals = []
        pace = self.placement.pace(pool, now)
        backlog = float(sum(own_tokens(work) for work in self.by_pool[pool]))
        for customer, queue in self.by_customer(pool).items():
            served = self.served.total(customer)
            ahead = 0.0
            for work in queue:
                before = levels.reading_tokens(served + ahead)
                if now >= work.start_before:
                    reason = "no target had room in time"
                elif pace and now + before / pace > work.start_before:
                    reason = "the backlog is too long"
                else:
                    ahead += throughput_tokens(work)
                    continue
                refusals.append(self.refusal(work, reason, backlog / pace if pace > 0 else 0.0))
                backlog -= own_tokens(work)
        return refusals

    def refusal(self, work: Work, reason: str, backlog: float) -> Refusal:
        """Take a request out and say when its caller may return, after the seconds of the backlog."""
        self.remove(work)
        later = backlog + RETURN_GOAL_PART * work.goal_seconds
        retry_after = min(max(later, LEAST_RETRY_AFTER_SECONDS), MOST_RETRY_AFTER_SECONDS)
        return Refusal(work, reason, retry_after, backlog)


def own_tokens(work: Work) -> int:
    """Return the prompt tokens of a request that no engine has cached for others."""
    return work.parts[-1].tokens if work.parts else work.prompt_tokens


def throughput_tokens(work: Work) -> float:
    """Return what a request takes of the throughput that customers share, whatever an engine has cached."""
    return work.prompt_tokens + OUTPUT_TOKEN_WEIGHT * work.output_tokens
