"""Scheduling of the pools that are this router's: which waiting request goes to which target, and when."""

from dataclasses import dataclass, field
from functools import singledispatchmethod

from limpetusher.errors import PolicyError
from limpetusher.fleet.messages import (
    Ask,
    Ended,
    Granted,
    Opened,
    Outcome,
    Progress,
    Reading,
    Refused,
    ServedNews,
    TargetNotice,
)
from limpetusher.fleet.model import Pool, PromptPart, Work
from limpetusher.fleet.process.budgets import RetryBudget
from limpetusher.fleet.process.fairness import ServedTokens
from limpetusher.fleet.process.loads import OpenWork
from limpetusher.fleet.process.placement import Placement
from limpetusher.fleet.process.pools import Pools
from limpetusher.fleet.process.rests import REVIEW_SECONDS
from limpetusher.fleet.request.waiting import LEAST_RETRY_AFTER_SECONDS, Refusal, Start, WaitingRequests
from limpetusher.fleet.settings import FleetSettings

WITNESSES = 2
"""Routers that must have failed to reach a target before it is suspended for all of them; a single one may be
cut off itself."""
WITNESS_SECONDS = 1.0
"""Age up to which a failure to reach a target counts."""
MOST_SERVED_CUSTOMERS = 300
"""Customers in one message to the other schedulers, so that it fits into a datagram."""


@dataclass(slots=True)
class Job:
    """One request of a router at its scheduler; `target_id` is None while it waits."""

    attempt: int
    pool: Pool
    work: Work | None = None
    target_id: str | None = None
    load: OpenWork = field(default_factory=OpenWork)
    needed_speedup: float = 0.0
    """As the stream has reported it last."""


class Scheduler:
    """Takes the messages of routers and decides about their requests.

    Parameters
    ----------
    settings
        Constants of the policy.
    placement
        Knows and chooses the targets.
    pools
        Knows the pools of the services.
    """

    def __init__(self, settings: FleetSettings, placement: Placement, pools: Pools):
        self.settings = settings
        self.placement = placement
        self.pools = pools
        self.served = ServedTokens()
        self.waiting = WaitingRequests(settings, placement, self.served)
        self.jobs: dict[tuple[str, str], Job] = {}
        """Requests by router and request identifier."""
        self.by_client: dict[str, set[str]] = {}
        self.budgets: dict[Pool, RetryBudget] = {}
        self.unreached: dict[str, dict[str, float]] = {}
        """When routers last failed to reach a target."""
        self.reviewed_at = 0.0
        self.replies: list[tuple[str, Refused]] = []
        """Refusals that need no look at the waiting requests."""

    @property
    def is_active(self) -> bool:
        """Return whether any request waits or is open here."""
        return bool(self.jobs)

    @property
    def has_waiting(self) -> bool:
        """Return whether a decision is due."""
        return bool(self.waiting.by_pool) or bool(self.replies)

    def receive(self, client: str, message: object, now: float) -> None:
        """Take a message of a router.

        Raises
        ------
        PolicyError
            If its numbers are impossible; it changes nothing.
        """
        if isinstance(message, (Ask, Opened, Progress)) and not message.is_sound:
            raise PolicyError(f"impossible numbers in {message!r}")
        self.take(message, client, now)

    @singledispatchmethod
    def take(self, message: object, client: str, now: float) -> None:
        """Take a message of a router."""
        raise TypeError(f"no such message to a scheduler: {message!r}")

    @take.register
    def on_ask(self, message: Ask, client: str, now: float) -> None:
        """Let a request wait, unless it may not be repeated any more."""
        self.drop(client, message.request_id, now)
        pool = Pool(message.service, message.data_centre)
        budget = self.budget(pool)
        pools = len(self.pools.of(message.service))
        if not message.is_repeat:
            budget.earn(pools, now)
        elif not budget.spend(pools, now):
            refused = Refused(
                message.request_id,
                message.attempt,
                "no budget for repeated sends",
                LEAST_RETRY_AFTER_SECONDS,
                0.0,
                0.0,
                without_budget=True,
            )
            self.replies.append((client, refused))
            return
        work = Work(
            request_id=message.request_id,
            client=client,
            customer=message.customer,
            pool=pool,
            goal_seconds=message.goal_seconds,
            queued_at=now - message.waited_seconds,
            give_up_at=now + message.left_seconds,
            prompt_tokens=message.prompt_tokens,
            output_tokens=message.output_tokens,
            parts=tuple(PromptPart(*part) for part in message.parts),
            excluded=set(message.excluded),
            caller_data_centre=message.caller_data_centre,
        )
        self.put(client, message.request_id, Job(message.attempt, pool, work))
        self.waiting.add(work)

    @take.register
    def on_opened(self, message: Opened, client: str, now: float) -> None:
        """Count a request that another scheduler has let start."""
        self.drop(client, message.request_id, now)
        load = OpenWork(1, message.unread_tokens, message.memory_tokens)
        pool = Pool(message.service, message.data_centre)
        self.put(client, message.request_id, Job(message.attempt, pool, None, message.target_id, load))
        self.placement.take_over(message.target_id, load, now)

    @take.register
    def on_reading(self, message: Reading, client: str, now: float) -> None:
        """Note that a target has read a prompt."""
        job = self.find(client, message)
        if job is None or job.target_id is None:
            return
        target_id = job.target_id
        self.note_reached(target_id, now)
        self.placement.read(target_id, job.load.unread_tokens, now)
        job.load = OpenWork(1, 0, job.load.memory_tokens)

    @take.register
    def on_progress(self, message: Progress, client: str, now: float) -> None:
        """Note how a stream gets on."""
        job = self.find(client, message)
        if job is not None:
            job.needed_speedup = message.needed_speedup

    def review(self, now: float) -> None:
        """Let the rests of the engines follow the streams that run there."""
        if now < self.reviewed_at + REVIEW_SECONDS:
            return
        self.reviewed_at = now
        rests = self.placement.bursts.rests
        speedups: dict[str, list[float]] = {target_id: [] for target_id in rests.parts}
        for job in self.jobs.values():
            if job.target_id is not None and not job.load.unread_tokens:
                speedups.setdefault(job.target_id, []).append(job.needed_speedup)
        for target_id, values in speedups.items():
            rests.review(target_id, values)

    @take.register
    def on_ended(self, message: Ended, client: str, now: float) -> None:
        """Forget a request, and note how its target did."""
        job = self.find(client, message)
        if job is None:
            return
        self.drop(client, message.request_id, now)
        target_id = job.target_id
        outcome = Outcome(message.outcome)
        if target_id is None or outcome is Outcome.WITHDRAWN:
            return
        if outcome is Outcome.UNREACHABLE:
            self.note_unreached(target_id, client, now)
        else:
            self.note_reached(target_id, now)
            self.placement.health_of(target_id).answered(is_error=outcome is Outcome.FAILED)

    @take.register
    def on_notice(self, message: TargetNotice, client: str, now: float) -> None:
        """Note what a target has said of itself."""
        if message.is_leaving:
            self.placement.note_leaving(message.target_id)
        if message.rest_seconds > 0:
            self.placement.note_resting(message.target_id, now + message.rest_seconds)

    @take.register
    def on_served(self, message: ServedNews, client: str, now: float) -> None:
        """Note what customers were served by another scheduler."""
        self.served.heard(client, message.served, now)

    def served_news(self) -> ServedNews:
        """Return what customers were served here, for the other schedulers."""
        largest = sorted(self.served.own.items(), key=lambda entry: entry[1], reverse=True)
        return ServedNews({customer: int(tokens) for customer, tokens in largest[:MOST_SERVED_CUSTOMERS]})

    def budget(self, pool: Pool) -> RetryBudget:
        """Return the budget for repeated sends to the targets of a pool."""
        if pool not in self.budgets:
            self.budgets[pool] = RetryBudget(self.settings.retry_budget)
        return self.budgets[pool]

    def find(self, client: str, message: Reading | Progress | Ended) -> Job | None:
        """Return the request that a message is about, None if the message is about an earlier attempt."""
        job = self.jobs.get((client, message.request_id))
        return job if job is not None and job.attempt == message.attempt else None

    def put(self, client: str, request_id: str, job: Job) -> None:
        """Remember a request."""
        self.jobs[client, request_id] = job
        self.by_client.setdefault(client, set()).add(request_id)

    def drop(self, client: str, request_id: str, now: float) -> None:
        """Forget a request, if it is known."""
        job = self.jobs.pop((client, request_id), None)
        if job is None:
            return
        requests = self.by_client[client]
        requests.discard(request_id)
        if not requests:
            del self.by_client[client]
        if job.target_id is not None:
            self.placement.end(job.target_id, job.load, now)
        else:
            self.waiting.remove(job.work)

    def drop_client(self, client: str, now: float) -> None:
        """Forget the requests of a router that has stopped or restarted, or tells them anew."""
        for request_id in list(self.by_client.get(client, ())):
            self.drop(client, request_id, now)

    def note_reached(self, target_id: str, now: float) -> None:
        """Note that a router has heard a target."""
        self.unreached.pop(target_id, None)
        self.placement.health_of(target_id).reached(self.settings, now)

    def note_unreached(self, target_id: str, client: str, now: float) -> None:
        """Suspend a target that several routers could not reach."""
        witnesses = self.unreached.setdefault(target_id, {})
        witnesses[client] = now
        recent = sum(now - at <= WITNESS_SECONDS for at in witnesses.values())
        if recent >= min(WITNESSES, len(self.pools.members.live(now))):
            self.placement.health_of(target_id).unreachable(self.settings, now)

    def decide(self, now: float) -> list[tuple[str, Granted | Refused]]:
        """Return the answers to routers that are due."""
        answers: list[tuple[str, Granted | Refused]] = list(self.replies)
        self.replies.clear()
        for decision in self.waiting.decide(now):
            work = decision.work
            if isinstance(decision, Start):
                answers.append((work.client, self.grant(decision, now)))
            else:
                answers.append((work.client, self.refuse(decision, now)))
        return answers

    def grant(self, start: Start, now: float) -> Granted:
        """Return the answer that lets a request start."""
        work, placed = start.work, start.placed
        job = self.jobs[work.client, work.request_id]
        job.target_id = placed.target.target_id
        job.load = placed.work
        return Granted(
            request_id=work.request_id,
            attempt=job.attempt,
            target_id=placed.target.target_id,
            unread_tokens=placed.work.unread_tokens,
            unread_ahead=placed.unread_ahead,
            memory_tokens=placed.work.memory_tokens,
            rate=round(self.placement.rates.rate(work.pool.service, placed.target.target_id)),
            is_cold=placed.is_cold,
            served_part=round(work.served_part, 3),
            may_repeat=self.budget(work.pool).allows(len(self.pools.of(work.pool.service)), now),
            source_id=placed.source_id,
        )

    def refuse(self, refusal: Refusal, now: float) -> Refused:
        """Return the answer that refuses a request."""
        work = refusal.work
        job = self.jobs[work.client, work.request_id]
        self.drop(work.client, work.request_id, now)
        return Refused(
            request_id=work.request_id,
            attempt=job.attempt,
            reason=refusal.reason,
            retry_after_seconds=round(refusal.retry_after_seconds, 3),
            backlog_seconds=round(refusal.backlog_seconds, 3),
            served_part=round(work.served_part, 3),
        )
