"""Router side of the scheduling protocol: requests for targets at the schedulers of their pools."""

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from limpetusher.fleet.messages import (
    UNNAMED_STREAM,
    AttemptFinished,
    AttemptOpened,
    BrokenAttempt,
    Message,
    Outcome,
    PrefillFinished,
    SendDelayed,
    StreamProgress,
    TargetGrant,
    TargetQuery,
    TargetRefusal,
)
from limpetusher.fleet.model import Pool, PromptPart
from limpetusher.fleet.process.pool_backlogs import PoolBacklogs
from limpetusher.fleet.process.pools import Pools
from limpetusher.fleet.process.prompt_quarantine import MAX_STRIKE_AGE_SECONDS, RETRACTION_SECONDS
from limpetusher.fleet.process.strikes import REPORT_DELAY_SECONDS
from limpetusher.fleet.request.waiting_requests import TARGETS_UNCONFIRMED

MAX_TRIED_POOLS = 2
"""Maximum number of pools that may refuse a request before it is refused to its caller."""
MAX_REPORTED_PART_BYTES = 1_000
"""Maximum length of the part identifiers that are reported for a request which a scheduler has not placed.
Longer ones are left out, as all open requests of a router move to another scheduler at once."""
MAX_KEPT_BREAKS = 100
"""Maximum number of broken attempts that are kept for the next scheduler, the most recent ones."""


@dataclass(slots=True, eq=False)
class TargetRequest:
    """A request that waits for its scheduler or is open at a target. Times are monotonic."""

    request_id: str
    service: str
    session: str
    customer: str
    goal_seconds: float
    queued_at: float
    """Time at which the current attempt was queued."""
    give_up_at: float
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]
    digest: str = ""
    """Digest that all repeats of the request have in common."""
    stream: int = 0
    """Identifier by which callers take the stream of the request up again, 0 if they can't."""
    resumes: int = 0
    """Identifier of the stream that the request takes up again, 0 for none."""
    caller_seconds: float = 0.0
    """Time that the caller has stated to wait for the whole stream, or to have left for the rest of it."""
    stated_at: float = 0.0
    """Earliest time at which it may have stated that."""
    version: str | None = None
    """Software version that has to go on with the stream, None while any may begin it or none is known."""
    attempt: int = 0
    """Number of the current attempt; answers to earlier ones are ignored."""
    excluded: set[str] = field(default_factory=set)
    """Targets that have failed this request."""
    is_retry: bool = False
    replaces: str = ""
    """Identifier of the request whose silent target is to be replaced, empty if this is no replacement."""
    pool: Pool | None = None
    scheduler: str = ""
    refusing_pools: frozenset[Pool] = frozenset()
    """Pools that have refused the current attempt."""
    source_id: str = ""
    """Engine of a refusing pool that holds most of the prompt, empty for none."""
    source_tokens: int = 0
    """Prompt tokens that this engine holds."""
    grant: TargetGrant | None = None
    """The scheduler's grant, while the request is open at a target."""
    granted_version: str = ""
    """Software version of the target at which the request is open."""
    output_at: float | None = None
    """Time of the first output of the current attempt, None without any."""

    @property
    def has_output(self) -> bool:
        """Return whether the current attempt has had output."""
        return self.output_at is not None

    @property
    def reported_part_ids(self) -> tuple[str, ...]:
        """Return the identifiers of the prompt parts that other requests may share, none if they are long."""
        part_ids = tuple(part.part_id for part in self.parts[:-1])
        return part_ids if sum(map(len, part_ids)) <= MAX_REPORTED_PART_BYTES else ()

    @property
    def streams(self) -> tuple[int, ...]:
        """Return the identifiers by which callers take the stream up again."""
        return tuple(stream for stream in (self.stream, self.resumes) if stream > UNNAMED_STREAM)

    def seconds_left(self, now: float) -> float:
        """Return the time that the caller has left for a stream that it takes up, else the whole time."""
        if not self.resumes:
            return self.caller_seconds
        return self.caller_seconds - (now - self.stated_at)

    def output_age_seconds(self, now: float) -> float | None:
        """Return the time since the first output, None without any."""
        return None if self.output_at is None else max(0.0, now - self.output_at)


@dataclass(slots=True)
class KeptBreak:
    """Attempt whose target has broken the connection, kept until its pool has another scheduler.

    `part_ids` are the shared parts of its prompt that no request of this router was answered with since, and
    `digest` that of the request if none of its repeats was.
    """

    pool: Pool
    scheduler: str
    request_id: str
    target_id: str
    part_ids: set[str]
    broken_at: float
    output_seconds: float | None
    digest: str = ""
    customer: str = ""


@dataclass(frozen=True, slots=True)
class ClosedPool:
    """Pool that refuses requests of one customer up to a goal, until a time of the monotonic clock."""

    until: float
    goal_seconds: float
    refusal: TargetRefusal


class SchedulerClient:
    """Registers requests at schedulers, reports their progress, and moves them when schedulers change.

    Parameters
    ----------
    pools
        Pools and their schedulers.
    send
        Sends a message to the router at an address, which may be this one.
    unusable
        Returns the targets of a service that this router can't use now.
    """

    def __init__(
        self,
        pools: Pools,
        *,
        send: Callable[[str, Message], None],
        unusable: Callable[[str, float], set[str]],
    ):
        self.pools = pools
        self.send = send
        self.unusable = unusable
        self.target_requests: dict[str, TargetRequest] = {}
        self.may_repeat: dict[Pool, bool] = {}
        """Whether the retry budget of a pool allowed a retry at the scheduler's last answer."""
        self.closed: dict[tuple[Pool, str], ClosedPool] = {}
        """Pools that refuse requests of a customer at the moment."""
        self.backlogs = PoolBacklogs()
        self.second_pools: Counter[str] = Counter()
        """Choices of a pool after a refusal, by what has decided."""
        self.breaks: deque[KeptBreak] = deque(maxlen=MAX_KEPT_BREAKS)
        """Broken attempts of the last time, as each scheduler only knows of those it has been told."""

    @property
    def own_address(self) -> str:
        """Return the address of this router."""
        return self.pools.members.own.address

    def request_target(self, target_request: TargetRequest, now: float) -> None:
        """Request a target, for a new request or another attempt."""
        self.target_requests[target_request.request_id] = target_request
        target_request.attempt += 1
        target_request.grant = None
        target_request.output_at = None
        target_request.refusing_pools = frozenset()
        target_request.source_id, target_request.source_tokens = "", 0
        self.choose_pool(target_request, now)

    def choose_pool(self, target_request: TargetRequest, now: float) -> None:
        """Choose a pool and register the request at its scheduler, or at this router if none is reachable.

        A request is refused without a message if the pools that it may try refuse its customer at the moment.
        """
        pool = self.untried_pool(target_request, now)
        while pool is not None and (closed := self.closed_pool(pool, target_request, now)) is not None:
            target_request.refusing_pools = target_request.refusing_pools | {pool}
            other = self.untried_pool(target_request, now)
            if other is None or len(target_request.refusing_pools) >= MAX_TRIED_POOLS:
                target_request.pool, target_request.scheduler = pool, self.own_address
                # Only a scheduler's answer closes a pool; this one must not keep it closed.
                refusal = msgspec.structs.replace(
                    closed.refusal,
                    request_id=target_request.request_id,
                    attempt=target_request.attempt,
                    closed_seconds=0.0,
                    pool_backlogs=(),
                    source_id="",
                    source_tokens=0,
                )
                self.send(self.own_address, refusal)
                return
            pool = other
        tried = target_request.refusing_pools
        if tried and pool is not None:
            by_session = self.pools.choose(target_request.service, target_request.session, now, tried=tried)
            self.second_pools["session" if pool == by_session else "backlog"] += 1
        target_request.pool = pool or Pool(target_request.service)
        target_request.scheduler = (pool and self.pools.scheduler(pool, now)) or self.own_address
        self.register(target_request, now)

    def untried_pool(self, target_request: TargetRequest, now: float) -> Pool | None:
        """Return the best pool for a request that has not refused it, None if there is none.

        After a refusal that is the pool with the shortest backlog among those that are open to the customer.
        """
        service, session = target_request.service, target_request.session
        tried = target_request.refusing_pools
        if not tried:
            return self.pools.choose(service, session, now, tried=tried)

        def cost(pool: Pool) -> tuple[bool, int]:
            is_closed = self.closed_pool(pool, target_request, now) is not None
            return is_closed, self.backlogs.step(pool, now)

        return self.pools.choose_spare(service, session, now, tried=tried, cost=cost)

    def closed_pool(self, pool: Pool, target_request: TargetRequest, now: float) -> ClosedPool | None:
        """Return the state of a pool that would refuse a request, None if it has to be asked."""
        closed = self.closed.get((pool, target_request.customer))
        if closed is None or target_request.resumes or target_request.goal_seconds > closed.goal_seconds:
            return None
        return closed if now < closed.until else None

    def register(self, target_request: TargetRequest, now: float) -> None:
        """Register a waiting or open request at its scheduler."""
        pool = target_request.pool
        grant = target_request.grant
        if grant is not None:
            opened = AttemptOpened(
                target_request.request_id,
                target_request.attempt,
                pool.service,
                pool.data_centre,
                grant.target_id,
                0 if target_request.has_output else grant.prefill_tokens,
                grant.memory_tokens,
                target_request.reported_part_ids,
                target_request.output_age_seconds(now),
                target_request.digest,
                target_request.streams,
                target_request.granted_version,
            )
            self.send(target_request.scheduler, opened)
            return
        message = TargetQuery(
            request_id=target_request.request_id,
            attempt=target_request.attempt,
            service=pool.service,
            data_centre=pool.data_centre,
            customer=target_request.customer,
            goal_seconds=target_request.goal_seconds,
            waited_seconds=round(now - target_request.queued_at, 4),
            remaining_seconds=round(target_request.give_up_at - now, 4),
            prompt_tokens=target_request.prompt_tokens,
            output_tokens=target_request.output_tokens,
            parts=tuple((part.part_id, part.tokens) for part in target_request.parts),
            excluded=tuple(target_request.excluded | self.unusable(target_request.service, now)),
            caller_data_centre=self.pools.members.own.data_centre,
            is_retry=target_request.is_retry,
            digest=target_request.digest,
            stream=target_request.stream,
            resumes=target_request.resumes,
            caller_seconds=target_request.seconds_left(now),
            version=target_request.version,
            source_id=target_request.source_id,
            source_tokens=target_request.source_tokens,
        )
        self.send(target_request.scheduler, message)

    def find_waiting(self, answer: TargetGrant | TargetRefusal, scheduler: str) -> TargetRequest | None:
        """Return the waiting request that an answer refers to, None if the answer is outdated."""
        target_request = self.target_requests.get(answer.request_id)
        if target_request is None or target_request.grant is not None:
            return None
        if target_request.attempt != answer.attempt or target_request.scheduler != scheduler:
            return None
        return target_request

    def accept_grant(self, answer: TargetGrant, scheduler: str) -> TargetRequest | None:
        """Apply a grant; return its request, None if the answer is outdated."""
        target_request = self.find_waiting(answer, scheduler)
        if target_request is not None:
            target_request.grant = answer
            if answer.version is not None:
                target_request.version = answer.version
            self.may_repeat[target_request.pool] = answer.may_repeat
        return target_request

    def record_backlog(self, target_request: TargetRequest, now: float) -> None:
        """Record the backlog of a pool that has granted a target."""
        self.backlogs.record(target_request.pool, target_request.grant.backlog_seconds, now)

    def accept_refusal(self, answer: TargetRefusal, scheduler: str, now: float) -> TargetRequest | None:
        """Apply a refusal; return its request, None if another pool is tried or the answer is outdated."""
        target_request = self.find_waiting(answer, scheduler)
        if target_request is None:
            return None
        if answer.version is not None:
            target_request.version = answer.version
        for data_centre, seconds in answer.pool_backlogs:
            self.backlogs.record(Pool(target_request.service, data_centre), seconds, now)
        if answer.is_retry_budget_spent:
            self.may_repeat[target_request.pool] = False
        else:
            if answer.closed_seconds > 0:
                self.closed[target_request.pool, target_request.customer] = ClosedPool(
                    now + answer.closed_seconds, target_request.goal_seconds, answer
                )
            target_request.refusing_pools = target_request.refusing_pools | {target_request.pool}
            self.record_source(target_request, answer)
            other = self.untried_pool(target_request, now)
            # Each scheduler that waits in vain for the store costs the caller time.
            may_try_all = answer.lacks_version and answer.reason != TARGETS_UNCONFIRMED
            if (
                other is not None
                and not answer.may_crash_targets
                and (may_try_all or len(target_request.refusing_pools) < MAX_TRIED_POOLS)
                and now - target_request.queued_at < target_request.goal_seconds
            ):
                self.choose_pool(target_request, now)
                return None
        del self.target_requests[target_request.request_id]
        return target_request

    def record_source(self, target_request: TargetRequest, answer: TargetRefusal) -> None:
        """Record the engine from which the next pool may transfer cached parts, if it is a known target."""
        if (
            answer.has_valid_source
            and answer.source_tokens > target_request.source_tokens
            and answer.source_id in self.pools.placement.targets
        ):
            target_request.source_id, target_request.source_tokens = answer.source_id, answer.source_tokens

    def report_first_output(self, request_id: str, now: float) -> None:
        """Report the first output of a request."""
        target_request = self.target_requests.get(request_id)
        if target_request is not None and target_request.grant is not None and not target_request.has_output:
            target_request.output_at = now
            self.drop_breaks_of_running(target_request.grant.target_id, now)
            self.send(target_request.scheduler, PrefillFinished(request_id, target_request.attempt))

    def report_send_delayed(self, request_id: str) -> None:
        """Report that no connection to the target of a request could be opened yet."""
        target_request = self.target_requests.get(request_id)
        if target_request is not None and target_request.grant is not None and not target_request.has_output:
            self.send(target_request.scheduler, SendDelayed(request_id, target_request.attempt))

    def report_stream_progress(self, request_id: str, needed_speedup: float) -> None:
        """Report the speedup that a stream needs to end in time."""
        target_request = self.target_requests.get(request_id)
        if target_request is not None and target_request.grant is not None:
            self.send(
                target_request.scheduler,
                StreamProgress(request_id, target_request.attempt, round(needed_speedup, 2)),
            )

    def end(self, request_id: str, outcome: Outcome, now: float, *, may_have_run: bool = True) -> None:
        """Report the end of a request or of its current attempt."""
        target_request = self.target_requests.pop(request_id, None)
        if target_request is None:
            return
        self.report_end(target_request, outcome, may_have_run=may_have_run)
        if target_request.grant is None:
            return
        if outcome in (Outcome.CUT, Outcome.BROKEN_OFF):
            self.keep_break(target_request, now)
        elif outcome is Outcome.ANSWERED:
            self.drop_breaks_of_running(target_request.grant.target_id, now)
            self.clear_answered_parts(target_request)

    def keep_break(self, target_request: TargetRequest, now: float) -> None:
        """Keep a broken attempt for later schedulers of its pool."""
        part_ids = set(target_request.reported_part_ids)
        if not part_ids and not target_request.digest:
            return
        kept = KeptBreak(
            target_request.pool,
            target_request.scheduler,
            target_request.request_id,
            target_request.grant.target_id,
            part_ids,
            now,
            target_request.output_age_seconds(now),
            target_request.digest,
            target_request.customer,
        )
        self.breaks.append(kept)

    def drop_breaks_of_running(self, target_id: str, now: float) -> None:
        """Drop the breaks of a target that goes on sending, which has only lost connections."""
        self.drop_breaks(
            lambda kept: (
                kept.target_id == target_id
                and REPORT_DELAY_SECONDS < now - kept.broken_at <= RETRACTION_SECONDS
            )
        )

    def clear_answered_parts(self, answered: TargetRequest) -> None:
        """Remove a completely answered request and its parts from the breaks, as they crash no target."""
        if not self.breaks:
            return
        part_ids = {part.part_id for part in answered.parts}
        for kept in self.breaks:
            if kept.pool.service == answered.service:
                kept.part_ids -= part_ids
            if kept.digest == answered.digest:
                kept.digest = ""
        self.drop_breaks(lambda kept: not kept.part_ids and not kept.digest)

    def drop_breaks(self, matches: Callable[[KeptBreak], bool]) -> None:
        """Drop the breaks for which `matches` returns True."""
        if any(matches(kept) for kept in self.breaks):
            self.breaks = deque((kept for kept in self.breaks if not matches(kept)), maxlen=MAX_KEPT_BREAKS)

    def report_break(self, kept: KeptBreak, now: float) -> None:
        """Report a broken attempt to the scheduler of its pool."""
        message = BrokenAttempt(
            kept.request_id,
            kept.pool.service,
            kept.target_id,
            tuple(sorted(kept.part_ids)),
            max(0.0, now - kept.broken_at),
            kept.output_seconds,
            kept.digest,
            kept.customer,
        )
        self.send(kept.scheduler, message)

    def move_breaks(self, now: float) -> None:
        """Report the breaks of pools that have another scheduler to it, and drop old ones."""
        self.drop_breaks(lambda kept: now > kept.broken_at + MAX_STRIKE_AGE_SECONDS)
        for kept in self.breaks:
            scheduler = self.pools.scheduler(kept.pool, now)
            if scheduler is not None and scheduler != kept.scheduler:
                kept.scheduler = scheduler
                self.report_break(kept, now)

    def on_tick(self, now: float) -> None:
        """Move requests whose pool has another scheduler, or no reachable one."""
        self.backlogs.drop_old(now)
        self.closed = {key: closed for key, closed in self.closed.items() if now < closed.until}
        self.pools.invalidate_schedulers(now)
        for target_request in list(self.target_requests.values()):
            if target_request.grant is None:
                self.move_waiting(target_request, now)
            else:
                scheduler = self.pools.scheduler(target_request.pool, now)
                if scheduler is not None and scheduler != target_request.scheduler:
                    self.move_to_scheduler(target_request, scheduler, now)
        self.move_breaks(now)

    def move_waiting(self, target_request: TargetRequest, now: float) -> None:
        """Move a waiting request if its scheduler has changed or is unreachable."""
        scheduler = self.pools.scheduler(target_request.pool, now)
        if scheduler is None and target_request.scheduler != self.own_address:
            self.report_end(target_request, Outcome.WITHDRAWN)
            self.choose_pool(target_request, now)
        elif scheduler is not None and scheduler != target_request.scheduler:
            self.move_to_scheduler(target_request, scheduler, now)

    def move_to_scheduler(self, target_request: TargetRequest, scheduler: str, now: float) -> None:
        """Withdraw a request from its scheduler and register it at another one."""
        self.report_end(target_request, Outcome.WITHDRAWN)
        target_request.scheduler = scheduler
        self.register(target_request, now)

    def report_end(
        self, target_request: TargetRequest, outcome: Outcome, *, may_have_run: bool = True
    ) -> None:
        """Tell the scheduler of a request how its attempt has ended; one without a grant has not run."""
        finished = AttemptFinished(
            target_request.request_id,
            target_request.attempt,
            int(outcome),
            may_have_run=may_have_run and target_request.grant is not None,
        )
        self.send(target_request.scheduler, finished)

    def register_again(self, scheduler: str, now: float) -> None:
        """Tell a scheduler that has lost its state of its requests, and of the broken attempts."""
        for target_request in self.target_requests.values():
            if target_request.scheduler == scheduler:
                self.register(target_request, now)
        for kept in self.breaks:
            if kept.scheduler == scheduler:
                self.report_break(kept, now)

    def schedulers(self) -> dict[str, bool]:
        """Return the schedulers of all requests, each with whether a request waits for its answer."""
        found: dict[str, bool] = {}
        for target_request in self.target_requests.values():
            found[target_request.scheduler] = (
                found.get(target_request.scheduler, False) or target_request.grant is None
            )
        return found

    def services_of(self, scheduler: str) -> set[str]:
        """Return the services whose requests are registered at a scheduler."""
        return {
            target_request.service
            for target_request in self.target_requests.values()
            if target_request.scheduler == scheduler
        }
