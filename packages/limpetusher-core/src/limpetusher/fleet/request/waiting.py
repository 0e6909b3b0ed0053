"""Requests that wait for a target: who comes next, and who is refused."""

from dataclasses import dataclass

from limpetusher.fleet.model import Work
from limpetusher.fleet.process.fairness import OUTPUT_TOKEN_WEIGHT, ServedTokens
from limpetusher.fleet.process.loads import PeerLoad
from limpetusher.fleet.process.placement import Placed, Placement
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

    Customers that were served least come first. A request is refused as soon as the backlog shows that
    it can't
    start in time; the customer with the most service and the most waiting work is refused first.

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
        self.peers_waiting: dict[str, float] = {}

    def add(self, work: Work) -> None:
        """Let a request wait from its `queued_at` on."""
        work.start_before = work.queued_at + self.placement.wait_limit(work)
        self.by_service.setdefault(work.service, []).append(work)

    def remove(self, work: Work) -> None:
        """Forget a request that has ended while it waited."""
        waiting = self.by_service.get(work.service, [])
        if work in waiting:
            waiting.remove(work)

    def sum_up(self, loads: dict[str, PeerLoad]) -> None:
        """Add up what waits at the peers."""
        self.peers_waiting = {}
        for load in loads.values():
            for service, tokens in load.waiting_tokens.items():
                self.peers_waiting[service] = self.peers_waiting.get(service, 0.0) + tokens

    def waiting_tokens(self, service: str) -> float:
        """Return the prompt tokens that wait at this router."""
        return float(sum(own_tokens(work) for work in self.by_service.get(service, ())))

    def backlog_seconds(self, service: str, now: float) -> float:
        """Return how long the engines of a service need for all that waits."""
        rate = self.placement.total_rate(service, now)
        tokens = self.waiting_tokens(service) + self.peers_waiting.get(service, 0.0)
        return tokens / (self.settings.pace_part * rate) if rate > 0 else 0.0

    def decide(self, now: float) -> list[Start | Refusal]:
        """Return what starts and what is refused now."""
        self.served.decay(now)
        decisions: list[Start | Refusal] = []
        for service in list(self.by_service):
            order = self.ordered(service)
            starts = self.start(service, order, now)
            started = {start.work.request_id for start in starts}
            decisions += starts
            decisions += self.refuse(service, [work for work in order if work.request_id not in started], now)
            if not self.by_service[service]:
                del self.by_service[service]
        return decisions

    def start(self, service: str, order: list[Work], now: float) -> list[Start]:
        """Start what targets can take, by customer."""
        starts = []
        view = self.placement.view(service, now)
        if not view.has_room:
            return starts
        for work in order:
            placed = self.placement.choose(work, now, view)
            if placed is None:
                continue
            self.by_service[service].remove(work)
            self.placement.start(work, placed, now)
            view.refresh(placed.target)
            self.served.serve(work.customer, throughput_tokens(work))
            starts.append(Start(work, placed))
        return starts

    def ordered(self, service: str) -> list[Work]:
        """Return the waiting requests in the order in which they may start.

        The customer with the least service comes first; its requests count as served one after the other, the
        most urgent one first.
        """
        most = self.served.most()
        counted: dict[str, float] = {}
        positions: list[tuple[float, float, Work]] = []
        for work in sorted(self.by_service[service], key=lambda work: work.start_before):
            before = counted.get(work.customer)
            if before is None:
                before = self.served.total(work.customer)
            work.served_part = min(1.0, before / most) if most else 0.0
            positions.append((before, work.start_before, work))
            counted[work.customer] = before + throughput_tokens(work)
        positions.sort(key=lambda position: position[:2])
        return [work for _served, _start_before, work in positions]

    def refuse(self, service: str, order: list[Work], now: float) -> list[Refusal]:
        """Refuse what has waited too long, or can't start in time behind what comes before it."""
        refusals = []
        own = self.waiting_tokens(service)
        rate = self.settings.pace_part * self.placement.total_rate(service, now)
        # The peers' requests are taken to be spread over the order as the own ones are.
        peers = self.peers_waiting.get(service, 0.0) / own if own else 0.0
        ahead = 0.0
        for work in order:
            tokens = own_tokens(work)
            before = ahead + peers * (ahead + tokens / 2)
            if now >= work.start_before:
                refusals.append(self.refusal(work, "no target had room in time", now))
            elif rate and now + before / rate > work.start_before:
                refusals.append(self.refusal(work, "the backlog is too long", now))
            else:
                ahead += tokens
        return refusals

    def refusal(self, work: Work, reason: str, now: float) -> Refusal:
        """Take a request out and say when its caller may return."""
        backlog = self.backlog_seconds(work.service, now)
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
