"""Requests that wait for a target: who comes next, and who is refused."""

import bisect
import heapq
import math
from collections import deque
from dataclasses import dataclass

from limpetusher.fleet.model import Work
from limpetusher.fleet.process.fairness import OUTPUT_TOKEN_WEIGHT, ServedTokens
from limpetusher.fleet.process.loads import PeerLoad
from limpetusher.fleet.process.placement import Placed, Placement
from limpetusher.fleet.process.shares import FairLevels, WaitingWork
from limpetusher.fleet.settings import FleetSettings

LEAST_RETRY_AFTER_SECONDS = 0.05
MOST_RETRY_AFTER_SECONDS = 2.0
RETURN_GOAL_PART = 0.25
"""Part of the goal that a refused caller stays away beyond the present backlog."""


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
    waited_seconds: float
    backlog_seconds: float


class WaitingRequests:
    """Requests of one router that no target can take yet.

    Customers that were served least, over the fleet, come first. A request is refused as soon as the work
    that waits before it at all routers shows that it can't start in time.

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
        self.by_service: dict[str, list[Work]] = {}
        """Waiting requests of this router by service, the most urgent first."""
        self.peers_waiting: dict[str, dict[str, WaitingWork]] = {}
        """What waits at the peers, by service and customer."""

    def add(self, work: Work) -> None:
        """Let a request wait from its `queued_at` on."""
        work.start_before = work.queued_at + self.placement.wait_limit(work)
        waiting = self.by_service.setdefault(work.service, [])
        bisect.insort(waiting, work, key=lambda other: other.start_before)

    def remove(self, work: Work) -> None:
        """Forget a request that has ended while it waited."""
        waiting = self.by_service.get(work.service, [])
        if work in waiting:
            waiting.remove(work)

    def sum_up(self, loads: dict[str, PeerLoad]) -> None:
        """Add up what waits at the peers."""
        self.peers_waiting = {}
        for load in loads.values():
            for service, customers in load.waiting.items():
                sums = self.peers_waiting.setdefault(service, {})
                for customer, work in customers.items():
                    sums.setdefault(customer, WaitingWork()).add(work.throughput_tokens, work.reading_tokens)

    def own_waiting(self, service: str) -> dict[str, WaitingWork]:
        """Return what waits at this router, by customer."""
        sums: dict[str, WaitingWork] = {}
        for work in self.by_service.get(service, ()):
            sums.setdefault(work.customer, WaitingWork()).add(throughput_tokens(work), own_tokens(work))
        return sums

    def fleet_waiting(self, service: str) -> dict[str, WaitingWork]:
        """Return what waits at all routers, by customer."""
        sums = self.own_waiting(service)
        for customer, work in self.peers_waiting.get(service, {}).items():
            sums.setdefault(customer, WaitingWork()).add(work.throughput_tokens, work.reading_tokens)
        return sums

    def pace(self, service: str, now: float) -> float:
        """Return the prompt tokens that the engines of a service read in a second, pauses included."""
        return self.settings.pace_part * self.placement.total_rate(service, now)

    def decide(self, now: float) -> list[Start | Refusal]:
        """Return what starts and what is refused now."""
        self.served.decay(now)
        decisions: list[Start | Refusal] = []
        for service in list(self.by_service):
            fleet = self.fleet_waiting(service)
            levels = FairLevels(self.served.totals(fleet), fleet)
            decisions += self.start(service, levels, now)
            decisions += self.refuse(service, levels, fleet, now)
            if not self.by_service[service]:
                del self.by_service[service]
        return decisions

    def start(self, service: str, levels: FairLevels, now: float) -> list[Start]:
        """Start what targets can take.

        The customer with the least service comes first, with its most urgent request that a target can take.
        """
        starts = []
        horizon = self.placement.burst_seconds(service) + self.settings.burst_pause_seconds
        level = levels.level(self.pace(service, now) * horizon)
        view = self.placement.view(service, now, is_scarce=level < math.inf)
        most = self.served.most()
        queues = self.by_customer(service)
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
                    self.by_service[service].remove(work)
                    self.placement.start(work, placed, now)
                    view.refresh(placed.target)
                    self.served.serve(customer, throughput_tokens(work))
                    heapq.heappush(heap, (self.served.total(customer), customer))
                    starts.append(Start(work, placed))
                    break
        return starts

    def by_customer(self, service: str) -> dict[str, deque[Work]]:
        """Return the waiting requests of each customer, the most urgent first."""
        queues: dict[str, deque[Work]] = {}
        for work in self.by_service[service]:
            queues.setdefault(work.customer, deque()).append(work)
        return queues

    def refuse(
        self, service: str, levels: FairLevels, fleet: dict[str, WaitingWork], now: float
    ) -> list[Refusal]:
        """Refuse what has waited too long, or can't start in time behind what comes before it.

        A customer's requests at the peers are taken to come in turn with those at this router.
        """
        refusals = []
        pace = self.pace(service, now)
        backlog = sum(work.reading_tokens for work in self.fleet_waiting(service).values())
        for customer, queue in self.by_customer(service).items():
            served = self.served.total(customer)
            own = sum(throughput_tokens(work) for work in queue)
            routers_part = fleet[customer].throughput_tokens / own if own else 1.0
            ahead = 0.0
            for work in queue:
                before = levels.reading_tokens(served + routers_part * ahead)
                if now >= work.start_before:
                    reason = "no target had room in time"
                elif pace and now + before / pace > work.start_before:
                    reason = "the backlog is too long"
                else:
                    ahead += throughput_tokens(work)
                    continue
                refusals.append(self.refusal(work, reason, now, backlog / pace if pace > 0 else 0.0))
                backlog -= own_tokens(work)
        return refusals

    def refusal(self, work: Work, reason: str, now: float, backlog: float) -> Refusal:
        """Take a request out and say when its caller may return, after the seconds of the backlog."""
        self.remove(work)
        later = backlog + RETURN_GOAL_PART * work.route.goal_seconds
        retry_after = min(max(later, LEAST_RETRY_AFTER_SECONDS), MOST_RETRY_AFTER_SECONDS)
        return Refusal(work, reason, retry_after, now - work.arrived_at, backlog)


def own_tokens(work: Work) -> int:
    """Return the prompt tokens of a request that no engine has cached for others."""
    return work.parts[-1].tokens if work.parts else work.prompt_tokens


def throughput_tokens(work: Work) -> float:
    """Return what a request takes of the throughput that customers share, whatever an engine has cached."""
    return work.prompt_tokens + OUTPUT_TOKEN_WEIGHT * work.output_tokens
