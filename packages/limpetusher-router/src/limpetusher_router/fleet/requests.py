"""Processing of callers' requests, from admission to the last byte of the answer."""

import math
from dataclasses import replace
from functools import singledispatchmethod

from circuits.core import BaseComponent, handler

from limpetusher.clock import Clock
from limpetusher.core.refusals import Ran
from limpetusher.events import Event
from limpetusher.fleet.messages import Outcome, TargetGrant, TargetRefusal
from limpetusher.fleet.model import EngineBasis
from limpetusher.fleet.request.scheduler_client import TargetRequest
from limpetusher.fleet.request.waiting_requests import TARGETS_UNCONFIRMED
from limpetusher_router.connection.framing import RequestHead
from limpetusher_router.events import (
    ANSWERS,
    CALLERS,
    REQUESTS,
    TARGETS,
    AbortAnswer,
    Attempt,
    CancelAttempt,
    DeadlineReached,
    PauseAttempt,
    ResumeAttempt,
    StartAttempt,
)
from limpetusher_router.fleet.admission import Admission
from limpetusher_router.fleet.exchange import Exchange, TargetAttempt
from limpetusher_router.fleet.outcomes import (
    MAXIMUM_ATTEMPTS_PER_REQUEST,
    AttemptFailure,
    can_retry,
    is_silent,
    silence_timeout,
)
from limpetusher_router.fleet.refusals import (
    BAD_GATEWAY,
    GATEWAY_TIMEOUT,
    UNAVAILABLE,
    FleetRefusal,
    error_answer,
    no_memory_refusal,
    quarantine_refusal,
    stopping_refusal,
)
from limpetusher_router.fleet.state import FleetState
from limpetusher_router.platform import names
from limpetusher_router.platform.requests import decode_request, encode_target_head
from limpetusher_router.process.deadlines import Deadlines
from limpetusher_router.process.logs import log_event
from limpetusher_router.process.metrics import Metrics

ENGINE_BASES = {basis: basis.name.lower() for basis in EngineBasis if basis is not EngineBasis.UNKNOWN}
"""Names of the ways in which engines get shared prompt parts; a grant may state unknown ones."""
NON_IDEMPOTENT_REUSE_IDLE_SECONDS = 1.0
"""Idle time up to which a connection is reused for a request that must not run twice. Targets close idle
connections after a second at the earliest, so that a close is unlikely to be in transit."""
SILENCE_CHECK_INTERVAL_SECONDS = 0.1
"""Time between two checks for silent targets and slow streams."""
REPEAT_INTERVAL_SECONDS = 0.2
"""Time after which a stream whose silent target was replaced asks again for a target that it was refused."""
MAXIMUM_RETURNED_GRANTS = 8
"""Number of grants that a request may return unused before it is refused."""


class FleetRequests(BaseComponent):
    """Sends callers' requests to the schedulers and acts on the grants and refusals they return.

    Parameters
    ----------
    state
        State of the fleet as this router knows it.
    clock
        Source of time.
    deadlines
        Heap of deadlines.
    metrics
        Metrics of the process.
    """

    channel = REQUESTS

    def __init__(self, state: FleetState, *, clock: Clock, deadlines: Deadlines, metrics: Metrics):
        super().__init__()
        self.state = state
        self.clock = clock
        self.deadlines = deadlines
        self.metrics = metrics
        self.exchanges: dict[str, Exchange] = {}
        self.admission = Admission(state, clock=clock)
        self.is_check_scheduled = False

    @handler("RequestReceived")
    def on_request(self, request_id: str, head: RequestHead, body: bytes | memoryview) -> None:
        """Admit a request and ask a scheduler for a target, or refuse the request."""
        fields = decode_request(head)
        result = self.admission.admit(request_id, head, body, fields)
        if isinstance(result, FleetRefusal):
            log_event(
                Event.REQUEST_REFUSED,
                request=fields.caller_request_id,
                digest=result.digest,
                reason=result.message,
            )
            self.fire(error_answer(request_id, fields.caller_request_id, result), CALLERS)
            return
        self.exchanges[request_id] = result
        self.metrics.waiting_requests += 1
        result.deadline = self.deadlines.schedule(
            result.target_request.give_up_at, DeadlineReached(request_id), REQUESTS
        )
        self.state.scheduler_client.request_target(result.target_request, result.arrived_at)

    @handler("BodyRefused")
    def on_body_refused(self, request_id: str, head: RequestHead) -> None:
        """Refuse a request for whose body there is no memory."""
        fields = decode_request(head)
        refusal = no_memory_refusal()
        configuration = self.state.configuration
        customer = configuration.customers_by_key.get(fields.api_key or "") if configuration else None
        self.metrics.increment_labelled(
            self.metrics.refusals, customer=customer or "", reason=refusal.message
        )
        log_event(
            Event.REQUEST_REFUSED,
            request=fields.caller_request_id,
            customer=customer,
            reason=refusal.message,
            announced=head.content_length,
        )
        self.fire(error_answer(request_id, fields.caller_request_id, refusal), CALLERS)

    @handler("DeadlineReached")
    def on_due(self, request_id: str) -> None:
        """End a request whose deadline has passed."""
        if request_id in self.exchanges:
            self.time_out_request(self.exchanges[request_id])

    @handler("SchedulerAnswerReceived")
    def on_answer(self, scheduler: str, answer: TargetGrant | TargetRefusal) -> None:
        """Handle the answer of a scheduler."""
        self.handle_scheduler_answer(answer, scheduler)

    @singledispatchmethod
    def handle_scheduler_answer(self, answer: object, scheduler: str) -> None:
        """Handle a grant or a refusal."""
        raise TypeError(f"unexpected answer of a scheduler: {answer!r}")

    @handle_scheduler_answer.register
    def handle_refusal(self, answer: TargetRefusal, scheduler: str) -> None:
        """Refuse a request that its scheduler has refused."""
        target_request = self.state.scheduler_client.accept_refusal(answer, scheduler, self.clock.monotonic())
        if target_request is None:
            return
        exchange = self.exchange_of(target_request)
        if self.continue_after_refusal(exchange, answer, target_request):
            return
        lacks_version = answer.lacks_version and (
            target_request.resumes != 0 or target_request.version is not None
        )
        if lacks_version:
            self.count_takeup(target_request, answer.reason)
        self.fail_request(
            exchange,
            version_refusal(answer)
            if lacks_version
            else no_capacity_refusal(answer.reason, answer.retry_after_seconds),
            waited=round(self.clock.monotonic() - target_request.queued_at, 3),
            backlog=answer.backlog_seconds,
            served_part=answer.served_part,
            holder=answer.source_id,
            scheduler=scheduler,
        )

    @handle_scheduler_answer.register
    def handle_grant(self, answer: TargetGrant, scheduler: str) -> None:
        """Send a granted request to its target, or return the grant if the target must get no request."""
        target_request = self.state.scheduler_client.accept_grant(answer, scheduler)
        if target_request is None:
            return
        exchange = self.exchange_of(target_request)
        now = self.clock.monotonic()
        self.state.scheduler_client.record_backlog(target_request, now)
        if now >= target_request.give_up_at:
            self.time_out_request(exchange)
            return
        if target_request is exchange.replacement and not self.end_silent_attempt(exchange, answer, now):
            return
        quarantine = self.state.find_quarantine(target_request, now)
        if quarantine is not None:
            # The scheduler may have started after the quarantine and not know it yet.
            self.fail_request(exchange, quarantine_refusal(quarantine, now, digest=target_request.digest))
            return
        if not self.can_use_grant(target_request, answer, now):
            self.return_grant(exchange, answer, now)
            return
        target = self.state.placement.targets[answer.target_id]
        target_request.granted_version = target.version
        if not exchange.attempt_count:
            self.count_takeup(target_request, answer.version_basis)
        exchange.attempt_count += 1
        exchange.possible_runs += 1
        exchange.attempt = TargetAttempt(exchange.attempt_count, target, answer, now, now)
        exchange.relay.discard_partial_event()
        self.metrics.queue_wait.observe({}, now - target_request.queued_at)
        self.metrics.waiting_requests -= 1
        self.metrics.running_requests += 1
        seconds_left = target_request.give_up_at - now
        request = encode_target_head(
            exchange.head,
            len(exchange.body),
            target=target,
            customer=exchange.customer,
            seconds_left=seconds_left,
            last_event_id=exchange.last_event_id,
            source=self.state.transfer_source(answer.source_id, now),
        )
        attempt = Attempt(
            key=(exchange.request_id, exchange.attempt_count),
            channel=ANSWERS,
            address=target.address,
            request=request,
            body=exchange.body,
            repeatable=False,
            maximum_reuse_idle_seconds=math.inf
            if exchange.route.is_idempotent
            else NON_IDEMPOTENT_REUSE_IDLE_SECONDS,
            answer_has_no_body=exchange.head.method == "HEAD",
            idle_timeout_seconds=seconds_left,
            expected_answer_header=(names.REQUEST_ID, exchange.fields.caller_request_id),
            confirms_close=exchange.relay.is_numbered,
        )
        basis = ENGINE_BASES.get(answer.engine_basis, "")
        if basis:
            self.metrics.increment_labelled(
                self.metrics.engine_choices, basis=basis, first="yes" if answer.session_rank == 1 else "no"
            )
        log_event(
            Event.REQUEST_SENT,
            request=exchange.fields.caller_request_id,
            target=target.target_id,
            attempt=exchange.attempt_count,
            customer=exchange.customer,
            tokens=exchange.throughput_cost,
            goal=exchange.route.goal_seconds,
            waited=round(now - exchange.arrived_at, 3),
            unread_ahead=answer.unread_ahead,
            rate=answer.rate,
            source=answer.source_id,
            engine_basis=basis,
            saved=answer.saved_tokens,
            rank=answer.session_rank,
            cold=answer.is_cold,
            version=target.version,
            version_basis=answer.version_basis,
            served_part=answer.served_part,
            scheduler=scheduler,
            configuration=self.state.configuration.version,
        )
        self.fire(StartAttempt(attempt), TARGETS)
        if exchange.is_caller_blocked:
            self.fire(PauseAttempt(attempt.key, ANSWERS), TARGETS)
        self.schedule_check()

    def count_takeup(self, target_request: TargetRequest, basis: str) -> None:
        """Count how the version of a stream that its caller takes up again is known, or why it is refused."""
        if target_request.resumes:
            self.metrics.increment_labelled(self.metrics.stream_takeups, basis=basis)

    def schedule_check(self) -> None:
        """Schedule the next check of the open requests; it is not repeated while there are none."""
        if not self.is_check_scheduled:
            self.is_check_scheduled = True
            self.deadlines.schedule_in(SILENCE_CHECK_INTERVAL_SECONDS, DeadlineReached(), ANSWERS)

    def can_use_grant(self, target_request: TargetRequest, answer: TargetGrant, now: float) -> bool:
        """Return whether a granted target may get its request; its entry may have changed since the grant."""
        if not self.state.can_send(answer.target_id, now):
            return False
        return target_request.version in (None, self.state.placement.targets[answer.target_id].version)

    def return_grant(self, exchange: Exchange, answer: TargetGrant, now: float) -> None:
        """Return a grant whose target must get no request and ask for another target."""
        target_request = exchange.target_request
        self.state.scheduler_client.end(target_request.request_id, Outcome.WITHDRAWN, now, may_have_run=False)
        target_request.excluded.add(answer.target_id)
        if len(target_request.excluded) <= MAXIMUM_RETURNED_GRANTS:
            self.state.scheduler_client.request_target(target_request, now)
            return
        self.fail_request(
            exchange, no_capacity_refusal("no target may get the request", exchange.route.goal_seconds / 2)
        )

    def exchange_of(self, target_request: TargetRequest) -> Exchange:
        """Return the exchange that a request at a scheduler belongs to."""
        return self.exchanges[target_request.replaces or target_request.request_id]

    def request_replacement(self, exchange: Exchange, now: float) -> None:
        """Request another target for an exchange whose target is silent, while its attempt goes on."""
        target_request = exchange.target_request
        exchange.replacement_count += 1
        exchange.replacement_due_at = now + silence_timeout(exchange)
        exchange.replacement = replace(
            target_request,
            request_id=f"{exchange.request_id}+{exchange.replacement_count}",
            replaces=exchange.request_id,
            queued_at=now,
            excluded={*target_request.excluded, exchange.attempt.target.target_id},
            is_retry=True,
        )
        self.state.scheduler_client.request_target(exchange.replacement, now)

    def withdraw_replacement(self, exchange: Exchange) -> None:
        """Withdraw the request for another target, if there is one."""
        replacement, exchange.replacement = exchange.replacement, None
        if replacement is not None:
            self.state.scheduler_client.end(
                replacement.request_id, Outcome.WITHDRAWN, self.clock.monotonic(), may_have_run=False
            )

    def end_silent_attempt(self, exchange: Exchange, answer: TargetGrant, now: float) -> bool:
        """Cancel a silent attempt, as another target is granted; return False if it goes on instead."""
        replacement = exchange.replacement
        if (
            not is_silent(exchange, now)
            or not can_retry(exchange)
            or not self.can_use_grant(replacement, answer, now)
            or self.state.find_quarantine(replacement, now) is not None
        ):
            self.withdraw_replacement(exchange)
            return False
        seconds = silence_timeout(exchange)
        outcome = Outcome.UNREACHABLE if exchange.attempt.head is None else Outcome.FAILED
        attempt = self.stop_attempt(exchange, outcome)
        failure = AttemptFailure(f"silent: no output for {seconds:.2f} s", may_have_run=True)
        self.record_attempt_failure(exchange, attempt, failure)
        exchange.silent_target_ids.add(attempt.target.target_id)
        exchange.target_request, exchange.replacement = replacement, None
        return True

    def continue_after_refusal(
        self, exchange: Exchange, answer: TargetRefusal, target_request: TargetRequest
    ) -> bool:
        """Return whether an exchange goes on although its request for a target was refused.

        A silent attempt goes on. If it was replaced by one that has not run, its target may get the request
        again, as silent targets may be sound. A stream of which its caller has a part waits for that while
        the target is listed.
        """
        now = self.clock.monotonic()
        if target_request is exchange.replacement:
            exchange.replacement = None
            exchange.replacement_due_at = max(exchange.replacement_due_at, now + answer.retry_after_seconds)
            return True
        if not exchange.silent_target_ids:
            return False
        if not answer.is_retry_budget_spent and target_request.excluded & exchange.silent_target_ids:
            target_request.excluded -= exchange.silent_target_ids
            target_request.queued_at = now
            self.state.scheduler_client.request_target(target_request, now)
            return True
        if not exchange.is_head_sent or answer.lacks_version or answer.may_crash_targets:
            return False
        if not any(self.state.can_send(target_id, now) for target_id in exchange.silent_target_ids):
            return False
        exchange.repeat_due_at = now + REPEAT_INTERVAL_SECONDS
        self.schedule_check()
        return True

    def repeat_due_requests(self) -> None:
        """Request targets again for the streams that wait until one may go on with them."""
        now = self.clock.monotonic()
        for exchange in self.exchanges.values():
            if now >= exchange.repeat_due_at:
                exchange.repeat_due_at = math.inf
                exchange.target_request.queued_at = now
                self.state.scheduler_client.request_target(exchange.target_request, now)

    def record_attempt_failure(
        self, exchange: Exchange, attempt: TargetAttempt, failure: AttemptFailure
    ) -> None:
        """Log and count the failure of an attempt, whose request waits again."""
        now = self.clock.monotonic()
        target_id = attempt.target.target_id
        log_event(
            Event.ATTEMPT_FAILED,
            request=exchange.fields.caller_request_id,
            target=target_id,
            attempt=attempt.number,
            reason=failure.reason,
            may_have_run=failure.may_have_run,
            customer=exchange.customer,
            digest=exchange.target_request.digest,
            output=attempt.has_output,
            parts=[part.part_id for part in exchange.target_request.parts[:-1]],
            after=round(now - attempt.started_at, 3),
        )
        self.metrics.increment_labelled(
            self.metrics.failures, target=target_id, reason=failure.reason.partition(":")[0]
        )
        self.metrics.waiting_requests += 1

    def handle_attempt_failure(
        self, exchange: Exchange, attempt: TargetAttempt, failure: AttemptFailure
    ) -> None:
        """Ask for another target if the request may be sent again, otherwise end it with an error."""
        self.record_attempt_failure(exchange, attempt, failure)
        now = self.clock.monotonic()
        if not failure.may_have_run:
            exchange.possible_runs -= 1
        may_retry = (
            can_retry(exchange)
            if failure.may_have_run
            else exchange.attempt_count < MAXIMUM_ATTEMPTS_PER_REQUEST
        )
        if may_retry and exchange.possible_runs:
            may_retry = exchange.route.is_idempotent
        if may_retry and exchange.replacement is not None:
            # Another target has been requested while this one was silent.
            exchange.target_request, exchange.replacement = exchange.replacement, None
        elif may_retry:
            target_request = exchange.target_request
            if not failure.is_local:
                target_request.excluded.add(attempt.target.target_id)
            target_request.queued_at = now
            target_request.is_retry = failure.request_arrived
            self.state.scheduler_client.request_target(target_request, now)
        elif exchange.possible_runs:
            self.fail_request(
                exchange, FleetRefusal(BAD_GATEWAY, "target_failed", failure.reason, ran=Ran.UNKNOWN)
            )
        else:
            self.fail_request(exchange, no_capacity_refusal(failure.reason, exchange.route.goal_seconds / 2))

    def close_attempt(
        self, exchange: Exchange, outcome: Outcome, *, may_have_run: bool = True
    ) -> TargetAttempt:
        """Remove the current attempt and report its outcome to the scheduler."""
        attempt = exchange.attempt
        exchange.attempt = None
        self.metrics.running_requests -= 1
        now = self.clock.monotonic()
        self.state.scheduler_client.end(
            exchange.target_request.request_id, outcome, now, may_have_run=may_have_run
        )
        return attempt

    def stop_attempt(self, exchange: Exchange, outcome: Outcome = Outcome.WITHDRAWN) -> TargetAttempt:
        """Cancel the current attempt at its target."""
        self.fire(CancelAttempt((exchange.request_id, exchange.attempt.number), ANSWERS), TARGETS)
        return self.close_attempt(exchange, outcome)

    def fail_request(self, exchange: Exchange, refusal: FleetRefusal, **inputs: object) -> None:
        """End a waiting request with an error, or abort its answer if the head was already sent."""
        self.metrics.waiting_requests -= 1
        self.remove_exchange(exchange)
        if refusal.status == UNAVAILABLE and exchange.possible_runs:
            refusal = FleetRefusal(BAD_GATEWAY, refusal.code, refusal.message, ran=Ran.UNKNOWN)
        if exchange.is_head_sent:
            self.metrics.truncated_answers.inc({})
            self.fire(AbortAnswer(exchange.request_id), CALLERS)
        else:
            answer = error_answer(exchange.request_id, exchange.fields.caller_request_id, refusal)
            self.fire(answer, CALLERS)
        event = Event.REQUEST_REFUSED if refusal.ran is Ran.NO else Event.REQUEST_FAILED
        self.log_outcome(event, exchange, status=refusal.status, reason=refusal.message, **inputs)

    def remove_exchange(self, exchange: Exchange) -> None:
        """Remove a request, its deadline and its entry at the scheduler."""
        del self.exchanges[exchange.request_id]
        if exchange.deadline is not None:
            exchange.deadline.cancel()
        # An attempt that was sent has been closed before.
        now = self.clock.monotonic()
        self.state.scheduler_client.end(
            exchange.target_request.request_id, Outcome.WITHDRAWN, now, may_have_run=False
        )
        self.withdraw_replacement(exchange)

    def log_outcome(self, event: Event, exchange: Exchange, **inputs: object) -> None:
        """Log and count the outcome of a request."""
        self.metrics.increment_labelled(
            self.metrics.outcomes, outcome=event.name.lower(), route=exchange.route.name
        )
        if event is Event.REQUEST_REFUSED:
            self.metrics.increment_labelled(
                self.metrics.refusals, customer=exchange.customer or "", reason=str(inputs.get("reason", ""))
            )
        log_event(
            event,
            request=exchange.fields.caller_request_id,
            route=exchange.route.name,
            customer=exchange.customer,
            digest=exchange.target_request.digest,
            tokens=exchange.throughput_cost,
            sends=exchange.attempt_count,
            events=exchange.relay.event_count,
            resumes=exchange.fields.resumed_request_id or None,
            version=exchange.target_request.version,
            first_event=exchange.first_event_seconds,
            longest_pause=round(exchange.longest_pause_seconds, 3),
            seconds=round(self.clock.monotonic() - exchange.arrived_at, 3),
            **inputs,
        )

    def time_out_request(self, exchange: Exchange) -> None:
        """End a request that has no complete answer by its deadline or route timeout."""
        if exchange.attempt is not None:
            self.stop_attempt(exchange)
            self.metrics.waiting_requests += 1
        if exchange.possible_runs:
            refusal = FleetRefusal(GATEWAY_TIMEOUT, "timeout", "no answer in time", ran=Ran.UNKNOWN)
        else:
            refusal = FleetRefusal(UNAVAILABLE, "timeout", "no target in time", ran=Ran.NO)
        self.fail_request(exchange, refusal)

    def end_all(self) -> None:
        """End all requests with an answer, as the router is about to exit."""
        for exchange in list(self.exchanges.values()):
            if exchange.attempt is not None:
                self.stop_attempt(exchange)
                self.metrics.waiting_requests += 1
            ran = Ran.UNKNOWN if exchange.possible_runs else Ran.NO
            self.fail_request(exchange, stopping_refusal(ran=ran))

    @handler("CallerDisconnected")
    def on_caller_lost(self, request_id: str) -> None:
        """Cancel a request whose caller has disconnected."""
        exchange = self.exchanges.get(request_id)
        if exchange is None:
            return
        if exchange.attempt is not None:
            self.stop_attempt(exchange)
        else:
            self.metrics.waiting_requests -= 1
        self.remove_exchange(exchange)
        self.log_outcome(Event.CALLER_GONE, exchange)

    @handler("CallerBufferFull")
    def on_caller_blocked(self, request_id: str) -> None:
        """Stop reading an answer from the target while its caller is too slow to take it."""
        exchange = self.exchanges.get(request_id)
        if exchange is None:
            return
        exchange.is_caller_blocked = True
        if exchange.attempt is not None:
            self.fire(PauseAttempt((request_id, exchange.attempt.number), ANSWERS), TARGETS)

    @handler("CallerBufferAvailable")
    def on_caller_unblocked(self, request_id: str) -> None:
        """Resume reading an answer."""
        exchange = self.exchanges.get(request_id)
        if exchange is None:
            return
        exchange.is_caller_blocked = False
        if exchange.attempt is not None:
            # Time in which the router did not read says nothing about the target.
            exchange.attempt.last_received_at = self.clock.monotonic()
            self.fire(ResumeAttempt((request_id, exchange.attempt.number), ANSWERS), TARGETS)

    @handler("FailRequest")
    def on_fail(self, request_id: str) -> None:
        """End a request whose handler raised an exception."""
        exchange = self.exchanges.get(request_id)
        if exchange is None:
            # Its admission failed; callers' connections ignore the answer if the request has ended.
            refusal = FleetRefusal(BAD_GATEWAY, "internal_error", "internal error", ran=Ran.UNKNOWN)
            self.fire(error_answer(request_id, "", refusal), CALLERS)
            return
        if exchange.attempt is not None:
            self.stop_attempt(exchange)
            self.metrics.waiting_requests += 1
        ran = Ran.UNKNOWN if exchange.possible_runs else Ran.NO
        self.fail_request(exchange, FleetRefusal(BAD_GATEWAY, "internal_error", "internal error", ran=ran))


def version_refusal(answer: TargetRefusal) -> FleetRefusal:
    """Return the refusal of a request whose stream no target may go on with, or none that is known here."""
    return FleetRefusal(
        UNAVAILABLE,
        "stream_version_unavailable",
        answer.reason,
        ran=Ran.NO,
        retry_after_seconds=answer.retry_after_seconds if answer.reason == TARGETS_UNCONFIRMED else None,
    )


def no_capacity_refusal(reason: str, retry_after_seconds: float) -> FleetRefusal:
    """Return the refusal of a request that did not run for lack of a usable target."""
    return FleetRefusal(
        UNAVAILABLE, "no_capacity", reason, ran=Ran.NO, retry_after_seconds=retry_after_seconds
    )
