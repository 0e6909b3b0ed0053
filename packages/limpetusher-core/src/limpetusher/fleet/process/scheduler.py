"""Scheduler of the pools assigned to this router."""

import math
from dataclasses import dataclass, field
from functools import singledispatchmethod

from limpetusher.errors import InvalidInputError
from limpetusher.fleet.messages import (
    UNNAMED_STREAM,
    AttemptFinished,
    AttemptOpened,
    BrokenAttempt,
    MemberSilences,
    Outcome,
    PrefillFinished,
    QuarantineUpdate,
    RateLimitNotice,
    RateLimitUpdate,
    SendDelayed,
    ServedTokensUpdate,
    StreamOrigins,
    StreamProgress,
    TargetGrant,
    TargetNotice,
    TargetQuery,
    TargetRefusal,
    VersionUpdate,
)
from limpetusher.fleet.model import Pool, PromptPart, QueuedRequest
from limpetusher.fleet.process.placement import Placement
from limpetusher.fleet.process.pool_backlogs import PoolBacklogs
from limpetusher.fleet.process.pools import Pools
from limpetusher.fleet.process.prefill_cooldowns import COOLDOWN_ADJUST_INTERVAL_SECONDS
from limpetusher.fleet.process.prompt_quarantine import MAX_CONFIRMATION_SECONDS, PromptQuarantine, part_keys
from limpetusher.fleet.process.rate_limits import RetryBudget
from limpetusher.fleet.process.served_tokens import ServedTokens
from limpetusher.fleet.process.stream_versions import StreamOrigin
from limpetusher.fleet.process.strikes import (
    REPORT_DELAY_SECONDS,
    BrokenConnection,
    PartKey,
    RequestKey,
    is_request,
    repeat_key,
)
from limpetusher.fleet.process.target_loads import TargetLoad
from limpetusher.fleet.process.transfers import TransferSource
from limpetusher.fleet.process.version_binding import HeldQuery, VersionBinding
from limpetusher.fleet.request.waiting_requests import (
    MIN_RETRY_AFTER_SECONDS,
    PROMPT_QUARANTINED,
    REQUEST_QUARANTINED,
    RefusalDecision,
    StartDecision,
    WaitingRequests,
    request_parts,
    throughput_tokens,
)
from limpetusher.fleet.settings import FleetSettings

MESSAGES_WITH_NUMBERS = (
    TargetQuery,
    AttemptOpened,
    StreamProgress,
    QuarantineUpdate,
    BrokenAttempt,
    RateLimitNotice,
    RateLimitUpdate,
    VersionUpdate,
    MemberSilences,
    ServedTokensUpdate,
)
"""Messages whose numbers are validated before they have an effect."""
MIN_UNREACHABLE_REPORTS = 2
"""Number of routers that must report a target as unreachable before it is suspended for all; a single router
may be partitioned itself."""
UNREACHABLE_REPORT_MAX_AGE_SECONDS = 1.0
"""Maximum age of a report that a target is unreachable."""
OVERTAKEN_SECONDS = 0.1
"""Time by which a prompt has to be granted before another one to count as overtaken by its first output.
Covers the usual differences between the routers that send them."""
BACKLOG_INTERVAL_SECONDS = 0.1
"""Time for which the backlog of a pool is not computed again, as that takes time for each of its engines."""
MAX_CUSTOMERS_PER_UPDATE = 300
"""Maximum number of customers in one message to the other schedulers, so that it fits into a datagram."""


@dataclass(slots=True)
class Job:
    """Scheduler's state of one request; `target_id` is None while the request waits."""

    attempt: int
    pool: Pool
    request: QueuedRequest | None = None
    target_id: str | None = None
    load: TargetLoad = field(default_factory=TargetLoad)
    needed_speedup: float = 0.0
    """Last value reported for the stream."""
    granted_at: float = 0.0
    output_at: float | None = None
    """Time of the first output, None without any."""

    is_send_delayed: bool = False
    """Whether its router has no connection to the target yet."""
    charged_at: float | None = None
    """Time from which the request counts as service of its customer, None if it does not count."""

    is_retry: bool = False
    """Whether the request has taken a token of the retry budget."""
    taken_over_streams: tuple[int, ...] = ()
    """Identifiers of the stream of a request that another scheduler has placed."""
    taken_over_parts: frozenset[PartKey] = frozenset()
    """Shared prompt parts and the key of a request that another scheduler has placed."""

    @property
    def has_shared_parts(self) -> bool:
        """Return whether the request may have a part or its digest in common with others."""
        if self.request is None:
            return bool(self.taken_over_parts)
        return bool(self.request.digest) or len(self.request.parts) > 1

    @property
    def customer(self) -> str:
        """Return the customer of the request, empty if another scheduler has placed it."""
        return self.request.customer if self.request is not None else ""

    @property
    def streams(self) -> tuple[int, ...]:
        """Return the identifiers by which callers take the stream of the request up again."""
        if self.request is None:
            return self.taken_over_streams
        streams = (self.request.stream, self.request.resumes)
        return tuple(stream for stream in streams if stream > UNNAMED_STREAM)

    @property
    def shared_parts(self) -> frozenset[PartKey]:
        """Return the prompt parts that other requests may share, and the key of the request."""
        return self.taken_over_parts if self.request is None else request_parts(self.request)


class Scheduler:
    """Handles the messages of routers and schedules their requests.

    Parameters
    ----------
    settings
        Constants of the placement policy.
    placement
        State and choice of the targets.
    pools
        Pools of the services.
    """

    def __init__(self, settings: FleetSettings, placement: Placement, pools: Pools):
        self.settings = settings
        self.placement = placement
        self.pools = pools
        self.served = ServedTokens()
        self.backlogs = PoolBacklogs()
        self.backlogs_updated_at: dict[Pool, float] = {}
        """Times at which the backlogs of own pools were computed."""
        self.quarantine = PromptQuarantine()
        self.binding = VersionBinding(placement, pools)
        self.streams = self.binding.streams
        self.versions = self.binding.versions
        self.waiting = WaitingRequests(settings, placement, self.served, self.quarantine)
        self.alive_at: dict[str, float] = {}
        """Times of the last outputs and complete answers of targets."""
        self.jobs: dict[tuple[str, str], Job] = {}
        """Waiting and open requests, by router and request identifier."""
        self.by_client: dict[str, set[str]] = {}
        self.prefilling: dict[str, dict[tuple[str, str], Job]] = {}
        """Jobs without a first output by target, in the order of their grants."""
        self.budgets: dict[Pool, RetryBudget] = {}
        self.unreachable_reports: dict[str, dict[str, float]] = {}
        """Times of the last reports that a target is unreachable, by target and router."""
        self.cooldowns_adjusted_at = 0.0
        self.immediate_refusals: list[tuple[str, TargetRefusal]] = []
        """Refusals that were decided on arrival and are sent with the next decisions."""

    @property
    def is_active(self) -> bool:
        """Return whether any request is held, waiting or open, or a crash has to be confirmed."""
        return bool(self.jobs) or bool(self.binding.held) or self.quarantine.is_pending

    @property
    def has_waiting(self) -> bool:
        """Return whether a decision is due."""
        return bool(self.waiting.by_pool) or bool(self.immediate_refusals)

    def receive(self, client: str, message: object, now: float) -> None:
        """Handle a message of a router.

        Raises
        ------
        InvalidInputError
            If its numbers are out of range; the message has no effect then.
        """
        if isinstance(message, MESSAGES_WITH_NUMBERS) and not message.has_valid_numbers:
            raise InvalidInputError(f"numbers out of range in {message!r}")
        self.handle(message, client, now)

    @singledispatchmethod
    def handle(self, message: object, client: str, now: float) -> None:
        """Handle a message of a router by its type."""
        raise TypeError(f"unexpected message to a scheduler: {message!r}")

    @handle.register
    def on_ask(self, message: TargetQuery, client: str, now: float) -> None:
        """Accept a request, or hold it until the list of targets is confirmed that decides its version."""
        self.remove_job(client, message.request_id, now)
        query = HeldQuery(message, now)
        if self.binding.lacks_confirmation(query, now):
            self.binding.held[client, message.request_id] = query
        else:
            self.accept(query, client, now)

    def confirm_targets(self, confirmed_at: float, now: float) -> None:
        """Record that the list holds all targets of a time, and accept the requests that waited for that."""
        self.binding.confirm(confirmed_at, now)
        self.accept_held(now)

    def accept_held(self, now: float) -> None:
        """Accept the held requests that need no confirmation any more or have waited for long enough."""
        for client, query in self.binding.take_due(now):
            self.accept(query, client, now)

    def accept(self, query: HeldQuery, client: str, now: float) -> None:
        """Queue a request, or refuse it, for example if it is a retry beyond the budget."""
        message = query.message
        pool = Pool(message.service, message.data_centre)
        budget = self.retry_budget(pool)
        pools = len(self.pools.for_service(message.service))
        self.binding.record_scheduling(pool, now)
        if not message.is_retry:
            budget.record_request(pools, now)
        elif not budget.try_spend(pools, now):
            refused = TargetRefusal(
                message.request_id,
                message.attempt,
                "no budget for repeated sends",
                MIN_RETRY_AFTER_SECONDS,
                0.0,
                0.0,
                is_retry_budget_spent=True,
            )
            self.immediate_refusals.append((client, refused))
            return
        request = QueuedRequest(
            request_id=message.request_id,
            client=client,
            customer=message.customer,
            pool=pool,
            goal_seconds=message.goal_seconds,
            queued_at=query.received_at - message.waited_seconds,
            give_up_at=query.received_at + message.remaining_seconds,
            prompt_tokens=message.prompt_tokens,
            output_tokens=message.output_tokens,
            parts=tuple(PromptPart(*part) for part in message.parts),
            digest=message.digest,
            excluded=set(message.excluded),
            source_id=message.source_id,
            source_tokens=message.source_tokens,
            caller_data_centre=message.caller_data_centre,
            stream=message.stream,
            resumes=message.resumes,
            begins_stream=bool(message.stream) and not message.resumes and message.version is None,
        )
        if request.begins_stream and message.caller_seconds > 0:
            self.binding.waits.record(request.goal_seconds, message.caller_seconds)
        if message.attempt == 1:
            self.served.decay(now)
            self.served.add_asked(request.customer, throughput_tokens(request))
            self.placement.demand.record(request, now)
            self.waiting.kinds.add_asked(request, now)
        refusal = (
            self.refuse_for_parts(message, request, now)
            or self.binding.refuse(query, request, now)
            or self.waiting.refuse_on_arrival(request, now)
        )
        job = Job(message.attempt, pool, request, is_retry=message.is_retry)
        if refusal is not None:
            self.refund_retry(job)
            self.immediate_refusals.append((client, self.refusal_message(refusal, message.attempt, now)))
            return
        self.add_job(client, message.request_id, job)
        self.waiting.add(request)

    def refuse_for_parts(
        self, message: TargetQuery, request: QueuedRequest, now: float
    ) -> RefusalDecision | None:
        """Return the refusal of a request that may crash targets, None if it may be queued.

        A request that a target has received before is not sent again while one of its parts is suspect, or
        after it was open at two crashes.
        """
        if self.quarantine.is_idle:
            return None
        parts = request_parts(request)
        quarantine = self.quarantine.find(parts, now)
        if quarantine is not None:
            reason = REQUEST_QUARANTINED if quarantine.is_request else PROMPT_QUARANTINED
            return RefusalDecision(request, reason, max(quarantine.until - now, MIN_RETRY_AFTER_SECONDS), 0.0)
        if message.is_retry and not self.quarantine.may_repeat(parts):
            is_prompt = any(not is_request(part) for part in self.quarantine.suspects(parts))
            reason = PROMPT_QUARANTINED if is_prompt else REQUEST_QUARANTINED
            return RefusalDecision(request, reason, MIN_RETRY_AFTER_SECONDS, 0.0)
        return None

    @handle.register
    def on_stream_origins(self, message: StreamOrigins, client: str, now: float) -> None:
        """Record the streams that another scheduler has placed."""
        self.streams.apply(message, now)

    @handle.register
    def on_versions(self, message: VersionUpdate, client: str, now: float) -> None:
        """Record the software versions that another router knows to have been in service."""
        self.versions.apply(message, now)

    @handle.register
    def on_silences(self, message: MemberSilences, client: str, now: float) -> None:
        """Record the routers that have been out of contact with another one."""
        self.pools.members.record_silences(message, now)

    @handle.register
    def on_quarantine(self, message: QuarantineUpdate, client: str, now: float) -> None:
        """Apply the quarantines of another router."""
        self.quarantine.apply(message, now)

    @handle.register
    def on_broken_attempt(self, message: BrokenAttempt, client: str, now: float) -> None:
        """Record an attempt that was broken before this scheduler knew of its request, or in another pool."""
        broken_at = now - message.age_seconds
        output_at = None if message.output_seconds is None else broken_at - message.output_seconds
        parts = part_keys(message.service, message.part_ids, message.digest)
        key = (client, message.request_id)
        self.quarantine.record_earlier_break(
            BrokenConnection(
                message.target_id, key, parts, broken_at, output_at, message.service, message.customer
            )
        )

    @handle.register
    def on_opened(self, message: AttemptOpened, client: str, now: float) -> None:
        """Register an open request that another scheduler has placed."""
        self.remove_job(client, message.request_id, now)
        load = TargetLoad(1, message.prefill_tokens, message.memory_tokens)
        pool = Pool(message.service, message.data_centre)
        job = Job(message.attempt, pool, None, message.target_id, load)
        job.taken_over_parts = part_keys(message.service, message.part_ids, message.digest)
        job.taken_over_streams = message.streams
        # A request that takes a stream up has two identifiers, and does not tell what the stream held before.
        is_whole = len(message.streams) == 1
        for stream in message.streams:
            origin = StreamOrigin(message.service, message.version)
            self.streams.record(stream, origin, now, is_whole=is_whole)
        if message.output_age_seconds is not None:
            job.output_at = now - message.output_age_seconds
            self.binding.contacts.begin(message.target_id, message.streams, now)
        self.add_job(client, message.request_id, job)
        self.placement.take_over(message.target_id, load, now)

    @handle.register
    def on_prefill_finished(self, message: PrefillFinished, client: str, now: float) -> None:
        """Record that the prefill of a request has ended."""
        job = self.find_job(client, message)
        if job is None or job.target_id is None:
            return
        self.record_target_reached(job.target_id, now)
        self.record_target_alive(job, now)
        self.charge(job, now)
        if job.output_at is None:
            self.binding.contacts.begin(job.target_id, job.streams, now)
        job.output_at = now
        self.record_stream(job, now)
        self.streams.unannounced.extend(job.streams)
        if job.has_shared_parts:
            self.quarantine.record_output(job.target_id, (client, message.request_id), job.shared_parts, now)
        self.end_overtaken_prefills(job, now)
        self.prefilling.get(job.target_id, {}).pop((client, message.request_id), None)
        self.end_prefill(job, now)

    def record_stream(self, job: Job, now: float) -> None:
        """Record the version of the target that gets a request, and again when that has begun its stream.

        Another attempt at the request, which has ended without output, removes the first record.
        """
        target = self.placement.targets.get(job.target_id)
        if target is not None:
            is_whole = len(job.streams) == 1
            for stream in job.streams:
                origin = StreamOrigin(target.service, target.version)
                self.streams.record(stream, origin, now, is_whole=is_whole)

    def end_overtaken_prefills(self, finished: Job, now: float) -> None:
        """End the prefill of prompts that were granted well before one that has a first output already.

        An engine prefills prompts in the order of their arrival, so these have not arrived: their routers are
        too busy to send them. Their tokens must not keep the next burst from the engine.
        """
        prefilling = self.prefilling.get(finished.target_id, {})
        overtaken = [
            key for key, job in prefilling.items() if job.granted_at < finished.granted_at - OVERTAKEN_SECONDS
        ]
        self.end_unsent_prefills(finished.target_id, overtaken, now)

    @handle.register
    def on_send_delayed(self, message: SendDelayed, client: str, now: float) -> None:
        """End the prefill of a prompt that its router can't send yet, if the target is alive."""
        job = self.find_job(client, message)
        if job is None or job.target_id is None or job.output_at is not None:
            return
        job.is_send_delayed = True
        self.retract_charge(job, now)
        self.end_delayed_prefills(job.target_id, now)

    def retract_charge(self, job: Job, now: float) -> None:
        """Do not count a request as service that has not run, or not yet."""
        if job.charged_at is not None:
            self.served.decay(now)
            self.served.retract(job.request.customer, throughput_tokens(job.request), job.charged_at)
            self.waiting.kinds.retract_served(job.request, job.charged_at, now)
            job.charged_at = None

    def charge(self, job: Job, now: float) -> None:
        """Count a request as service that has run after all."""
        if job.request is not None and job.charged_at is None:
            job.charged_at = now
            self.served.decay(now)
            self.served.add(job.request.customer, throughput_tokens(job.request))
            self.waiting.kinds.add_served(job.request, now)

    def end_delayed_prefills(self, target_id: str, now: float) -> None:
        """End the prefill of the prompts whose routers have no connection to a target that is alive.

        The routers are congested, and the engine must not wait for prompts that it does not get. The prompts
        keep a target without a sign of life from getting more of them.
        """
        alive_at = self.alive_at.get(target_id, -math.inf)
        delayed = [
            key
            for key, job in self.prefilling.get(target_id, {}).items()
            if job.is_send_delayed and job.granted_at < alive_at
        ]
        self.end_unsent_prefills(target_id, delayed, now)

    def end_unsent_prefills(self, target_id: str, keys: list[tuple[str, str]], now: float) -> None:
        """End the prefill of prompts that a target has not got, which measure no prefill rate."""
        if keys:
            self.placement.exclude_prefill(target_id)
        for key in keys:
            self.end_prefill(self.prefilling[target_id].pop(key), now)

    def end_prefill(self, job: Job, now: float) -> None:
        """Subtract the prompt tokens of a job from the load of its target."""
        self.placement.end_prefill(job.target_id, job.load.prefill_tokens, now)
        job.load = TargetLoad(1, 0, job.load.memory_tokens)

    @handle.register
    def on_progress(self, message: StreamProgress, client: str, now: float) -> None:
        """Record the speedup that a stream needs."""
        job = self.find_job(client, message)
        if job is not None:
            job.needed_speedup = message.needed_speedup

    def on_tick(self, now: float) -> None:
        """Find crashed targets, and adjust the cooldowns of the engines to their running streams."""
        self.accept_held(now)
        self.backlogs.drop_old(now)
        self.binding.release_pools(now)
        self.quarantine.confirm(now, self.has_crashed, self.running_requests)
        if now < self.cooldowns_adjusted_at + COOLDOWN_ADJUST_INTERVAL_SECONDS:
            return
        self.cooldowns_adjusted_at = now
        oldest = now - MAX_CONFIRMATION_SECONDS - REPORT_DELAY_SECONDS
        self.binding.contacts.drop_old(now)
        self.alive_at = {target_id: at for target_id, at in self.alive_at.items() if at >= oldest}
        cooldowns = self.placement.bursts.cooldowns
        speedups: dict[str, list[float]] = {target_id: [] for target_id in cooldowns.ratios}
        for job in self.jobs.values():
            if job.target_id is not None and not job.load.prefill_tokens:
                speedups.setdefault(job.target_id, []).append(job.needed_speedup)
        for target_id, values in speedups.items():
            cooldowns.adjust(target_id, values)

    @handle.register
    def on_ended(self, message: AttemptFinished, client: str, now: float) -> None:
        """Remove a request and update the health of its target."""
        job = self.find_job(client, message)
        if job is None:
            self.binding.withdraw(client, message.request_id, message.attempt)
            return
        self.remove_job(client, message.request_id, now)
        target_id = job.target_id
        if target_id is None:
            self.refund_retry(job)
        outcome = Outcome(message.outcome)
        if job.output_at is None and job.request is not None and job.request.begins_stream:
            self.streams.discard(job.request.stream)
        if not message.may_have_run:
            self.retract_charge(job, now)
        if target_id is None or outcome is Outcome.WITHDRAWN:
            return
        if outcome not in (Outcome.ANSWERED, Outcome.REJECTED):
            self.binding.contacts.break_off(target_id)
        if message.may_have_run:
            self.charge(job, now)
        if job.has_shared_parts:
            self.record_quarantine_evidence(job, (client, message.request_id), outcome, now)
        if outcome in (Outcome.UNREACHABLE, Outcome.CUT):
            self.record_target_unreached(target_id, client, now)
        else:
            self.record_target_reached(target_id, now)
            is_error = outcome not in (Outcome.ANSWERED, Outcome.REJECTED)
            self.placement.health_of(target_id).record_answer(is_error=is_error)
        if outcome in (Outcome.ANSWERED, Outcome.REJECTED):
            self.record_target_alive(job, now)

    def record_quarantine_evidence(self, job: Job, key: RequestKey, outcome: Outcome, now: float) -> None:
        """Tell the quarantine of a request that its target has answered or broken off."""
        if outcome in (Outcome.CUT, Outcome.BROKEN_OFF):
            self.quarantine.record_broken(
                job.target_id,
                key,
                job.shared_parts,
                now,
                output_at=job.output_at,
                service=job.pool.service,
                customer=job.customer,
            )
        elif outcome is Outcome.ANSWERED:
            self.quarantine.record_answer(job.target_id, key, job.shared_parts, now)

    def record_target_alive(self, job: Job, now: float) -> None:
        """Record that a target has sent the first output or the end of an answer."""
        self.alive_at[job.target_id] = now
        self.end_delayed_prefills(job.target_id, now)
        self.quarantine.record_alive(job.target_id, job.granted_at, now)

    def has_crashed(self, target_id: str, at: float) -> bool | None:
        """Return whether a target has crashed, as far as the requests tell that were open there at a time.

        None is returned while some of them are still open.
        """
        if self.alive_at.get(target_id, -math.inf) > at + REPORT_DELAY_SECONDS:
            return False
        is_open = any(job.target_id == target_id and job.granted_at <= at for job in self.jobs.values())
        return None if is_open else True

    def running_requests(self) -> dict[PartKey, set[RequestKey]]:
        """Return the requests with output at targets that seem to be alive, by the parts of their prompts."""
        found: dict[PartKey, set[RequestKey]] = {}
        for key, job in self.jobs.items():
            is_running = job.output_at is not None and job.target_id not in self.quarantine.broken
            if is_running and job.has_shared_parts:
                parts = job.shared_parts
                for part in parts:
                    found.setdefault(part, set()).add(repeat_key(key, parts))
        return found

    @handle.register
    def on_notice(self, message: TargetNotice, client: str, now: float) -> None:
        """Apply what a target has announced about itself."""
        if message.is_leaving:
            self.placement.mark_leaving(message.target_id)
        if message.backoff_seconds > 0:
            self.placement.set_backoff(message.target_id, now + message.backoff_seconds)

    @handle.register
    def on_rate_limit(self, message: RateLimitNotice, client: str, now: float) -> None:
        """Apply the request rate that a target has named in an answer to a router."""
        if message.target_id in self.placement.targets:
            self.placement.limits.record_report(message.target_id, message.per_second, now)

    @handle.register
    def on_rate_limits(self, message: RateLimitUpdate, client: str, now: float) -> None:
        """Apply the request rates that another router has learned."""
        limits = self.placement.limits
        for target_id, per_second in message.limits:
            if target_id not in self.placement.targets:
                continue
            if message.is_change:
                limits.record_announcement(client, target_id, per_second, now)
            elif target_id not in limits.limits:
                limits.learn(target_id, per_second, now)

    @handle.register
    def on_served_tokens(self, message: ServedTokensUpdate, client: str, now: float) -> None:
        """Update the tokens that another scheduler has served, and the backlogs of its pools."""
        self.served.update_remote(client, message.served, now)
        for service, data_centre, seconds in message.backlogs:
            self.backlogs.record(Pool(service, data_centre), seconds, now)

    def backlog_seconds(self, pool: Pool, now: float) -> float:
        """Return the time to prefill the prompts that wait for an own pool; 0 if the service has one pool."""
        if len(self.pools.for_service(pool.service)) < 2:
            return 0.0
        if now >= self.backlogs_updated_at.get(pool, -math.inf) + BACKLOG_INTERVAL_SECONDS:
            self.backlogs_updated_at[pool] = now
            self.backlogs.record(pool, round(self.waiting.backlog_seconds(pool, now), 3), now)
        return self.backlogs.seconds(pool, now) or 0.0

    def own_backlogs(self, now: float) -> tuple[tuple[str, str, float], ...]:
        """Return the backlogs of the pools that this router schedules, of services with several pools."""
        own_address = self.pools.members.own.address
        return tuple(
            (pool.service, pool.data_centre, self.backlog_seconds(pool, now))
            for pool in self.budgets
            if pool in self.pools.for_service(pool.service)
            and len(self.pools.for_service(pool.service)) > 1
            and self.pools.scheduler(pool, now) == own_address
        )

    def served_tokens_update(self, now: float) -> ServedTokensUpdate:
        """Return the tokens served by this scheduler, as a message to the others.

        The sums are decayed first, as no request does so at a scheduler whose pools have moved to others.
        """
        self.served.decay(now)
        by_tokens = sorted(self.served.own.items(), key=lambda entry: entry[1], reverse=True)
        return ServedTokensUpdate(
            {customer: int(tokens) for customer, tokens in by_tokens[:MAX_CUSTOMERS_PER_UPDATE]},
            self.own_backlogs(now),
        )

    def retry_budget(self, pool: Pool) -> RetryBudget:
        """Return the retry budget of a pool."""
        if pool not in self.budgets:
            self.budgets[pool] = RetryBudget(self.settings.retry_budget)
        return self.budgets[pool]

    def find_job(
        self, client: str, message: PrefillFinished | SendDelayed | StreamProgress | AttemptFinished
    ) -> Job | None:
        """Return the job that a message refers to, None if unknown or if its attempt is outdated."""
        job = self.jobs.get((client, message.request_id))
        return job if job is not None and job.attempt == message.attempt else None

    def add_job(self, client: str, request_id: str, job: Job) -> None:
        """Add a job."""
        self.jobs[client, request_id] = job
        self.by_client.setdefault(client, set()).add(request_id)

    def remove_job(self, client: str, request_id: str, now: float) -> None:
        """Remove a request, if it is known."""
        self.binding.held.pop((client, request_id), None)
        job = self.jobs.pop((client, request_id), None)
        if job is None:
            return
        requests = self.by_client[client]
        requests.discard(request_id)
        if not requests:
            del self.by_client[client]
        if job.has_shared_parts and not self.quarantine.is_idle:
            self.quarantine.record_end((client, request_id), job.shared_parts)
        if job.output_at is not None:
            self.binding.contacts.end(job.target_id, now)
        if job.target_id is not None:
            prefilling = self.prefilling.get(job.target_id, {})
            prefilling.pop((client, request_id), None)
            if not prefilling:
                self.prefilling.pop(job.target_id, None)
            self.placement.record_end(job.target_id, job.load, now)
        else:
            self.waiting.remove(job.request)

    def remove_client(self, client: str, now: float) -> None:
        """Remove the requests of a router that has stopped, restarted or is about to register them again."""
        for request_id in sorted({*self.by_client.get(client, ()), *self.binding.held_by(client)}):
            self.remove_job(client, request_id, now)

    def record_target_reached(self, target_id: str, now: float) -> None:
        """Record that a router has received data from a target."""
        self.unreachable_reports.pop(target_id, None)
        self.placement.health_of(target_id).record_reached(self.settings, now)

    def record_target_unreached(self, target_id: str, client: str, now: float) -> None:
        """Record that a router could not reach a target; suspend the target after enough such reports."""
        reports = self.unreachable_reports.setdefault(target_id, {})
        reports[client] = now
        recent = sum(now - at <= UNREACHABLE_REPORT_MAX_AGE_SECONDS for at in reports.values())
        if recent >= min(MIN_UNREACHABLE_REPORTS, len(self.pools.members.live(now))):
            self.placement.health_of(target_id).record_unreachable(self.settings, now)

    def decide(self, now: float) -> list[tuple[str, TargetGrant | TargetRefusal]]:
        """Decide about the waiting requests; return the answers with the addresses of their routers."""
        answers: list[tuple[str, TargetGrant | TargetRefusal]] = list(self.immediate_refusals)
        self.immediate_refusals.clear()
        self.binding.bind_again(self.waiting.requests())
        for decision in self.waiting.decide(now):
            request = decision.request
            if isinstance(decision, StartDecision):
                answers.append((request.client, self.grant(decision, now)))
            else:
                answers.append((request.client, self.refuse(decision, now)))
        return answers

    def grant(self, decision: StartDecision, now: float) -> TargetGrant:
        """Return the grant for a request that starts."""
        request, choice = decision.request, decision.choice
        job = self.jobs[request.client, request.request_id]
        job.target_id = choice.target.target_id
        job.load = choice.load
        job.granted_at = now
        job.charged_at = now
        self.prefilling.setdefault(job.target_id, {})[request.client, request.request_id] = job
        self.record_stream(job, now)
        return TargetGrant(
            request_id=request.request_id,
            attempt=job.attempt,
            target_id=choice.target.target_id,
            prefill_tokens=choice.load.prefill_tokens,
            unread_ahead=choice.unread_ahead,
            memory_tokens=choice.load.memory_tokens,
            rate=round(self.placement.rates.rate(request.pool.service, choice.target.target_id)),
            is_cold=choice.is_cold,
            served_part=round(request.served_part, 3),
            may_repeat=self.retry_budget(request.pool).allows(
                len(self.pools.for_service(request.pool.service)), now
            ),
            source_id=choice.source_id,
            version=None if request.begins_stream else request.version,
            version_basis=request.version_basis,
            backlog_seconds=self.backlog_seconds(request.pool, now),
            engine_basis=int(choice.basis),
            saved_tokens=choice.saved_tokens,
            session_rank=choice.session_rank,
        )

    def refuse(self, decision: RefusalDecision, now: float) -> TargetRefusal:
        """Remove a refused request and return the refusal."""
        request = decision.request
        job = self.jobs[request.client, request.request_id]
        self.remove_job(request.client, request.request_id, now)
        self.refund_retry(job)
        return self.refusal_message(decision, job.attempt, now)

    def refusal_message(self, decision: RefusalDecision, attempt: int, now: float) -> TargetRefusal:
        """Return the message that tells a router of a refusal, and what helps it at another pool."""
        pools = self.pools.for_service(decision.request.pool.service)
        if len(pools) < 2:
            return target_refusal(decision, attempt)
        own_address = self.pools.members.own.address
        for pool in pools:
            if pool == decision.request.pool or self.pools.scheduler(pool, now) == own_address:
                self.backlog_seconds(pool, now)
        source = self.placement.source_for_other_pools(decision.request, now)
        return target_refusal(decision, attempt, self.backlogs.by_data_centre(pools, now), source)

    def refund_retry(self, job: Job) -> None:
        """Return the token of a retry that was refused or withdrawn, as no target gets it."""
        if job.is_retry:
            self.retry_budget(job.pool).refund()


def target_refusal(
    decision: RefusalDecision,
    attempt: int,
    pool_backlogs: tuple[tuple[str, float], ...] = (),
    source: TransferSource | None = None,
) -> TargetRefusal:
    """Return the message that tells a router of a refusal.

    Parameters
    ----------
    decision
        The refusal.
    attempt
        Attempt that is refused.
    pool_backlogs
        Known backlogs of the service's pools in seconds, by data centre.
    source
        Engine of the pool that holds most of the prompt.
    """
    request = decision.request
    return TargetRefusal(
        request_id=request.request_id,
        attempt=attempt,
        reason=decision.reason,
        retry_after_seconds=round(decision.retry_after_seconds, 3),
        backlog_seconds=round(decision.backlog_seconds, 3),
        served_part=round(request.served_part, 3),
        closed_seconds=decision.closed_seconds,
        may_crash_targets=decision.may_crash_targets,
        lacks_version=decision.lacks_version,
        version=request.version if decision.lacks_version and not request.begins_stream else None,
        pool_backlogs=pool_backlogs,
        source_id=source.target.target_id if source is not None else "",
        source_tokens=request.prompt_tokens - source.prefill_tokens if source is not None else 0,
    )
