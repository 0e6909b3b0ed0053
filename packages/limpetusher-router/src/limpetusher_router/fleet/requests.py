"""The life of callers' requests: from the route to the last byte of the answer."""

import logging
import math
from functools import singledispatchmethod

from circuits.core import BaseComponent, handler

from limpetusher.clock import Clock
from limpetusher.core.actions import Ran
from limpetusher.events import Event
from limpetusher.fleet.process.budgets import RetryBudget
from limpetusher.fleet.process.loads import OpenWork
from limpetusher.fleet.request.waiting import Refusal, Start
from limpetusher_router.connection.framing import AnswerHead, RequestHead
from limpetusher_router.events import (
    CALLERS,
    REQUESTS,
    TARGETS,
    AbortAnswer,
    Attempt,
    AttemptEnd,
    ContinueAttempt,
    Due,
    PauseAttempt,
    SendAnswer,
    SendEnd,
    SendHead,
    SendPart,
    StartAttempt,
    StopAttempt,
    WorkChanged,
)
from limpetusher_router.fleet.admission import Admission
from limpetusher_router.fleet.exchange import Exchange, TargetAttempt
from limpetusher_router.fleet.outcomes import SERVER_ERRORS, Failure, failure_of, silence_limit
from limpetusher_router.fleet.refusals import (
    BAD_GATEWAY,
    GATEWAY_TIMEOUT,
    UNAVAILABLE,
    FleetRefusal,
    error_answer,
)
from limpetusher_router.fleet.state import FleetState
from limpetusher_router.platform import names
from limpetusher_router.platform.requests import (
    decode_request,
    encode_target_request,
    is_sealed,
    passed_headers,
    says_not_run,
)
from limpetusher_router.process.deadlines import Deadline, Deadlines
from limpetusher_router.process.logs import log_event
from limpetusher_router.process.metrics import Metrics

WAITING_POLL_SECONDS = 0.01
"""Time between two looks at the waiting requests, as reports and cold limits free room without an event."""
PLACING_GAP_SECONDS = 0.005
"""Least time between two looks at the waiting requests, which bounds what they cost under load."""
CHECK_SECONDS = 0.1
MAXIMUM_SENDS = 4
UNREPEATABLE_REUSE_SECONDS = 1.0
"""Idle time up to which a kept connection carries a request that must not run twice: targets close
connections
after whole seconds at the earliest, so that a close on its way is unlikely."""
HELD_ANSWER_BYTES = 65_536

logger = logging.getLogger(__name__)

AttemptKey = tuple[str, int]


class FleetRequests(BaseComponent):
    """Carries out what the placement decides about callers' requests.

    Parameters
    ----------
    state
        What the router knows of the fleet.
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
        self.budgets: dict[str, RetryBudget] = {}
        self.wakeup: Deadline | None = None
        self.placed_at = -math.inf
        self.admission = Admission(state, clock=clock)

    @handler("RequestReceived")
    def on_request(self, request_id: str, head: RequestHead, body: bytes) -> None:
        """Find the route of a request and let it wait for a target."""
        fields = decode_request(head)
        opened = self.admission.open(request_id, head, body, fields)
        if isinstance(opened, FleetRefusal):
            log_event(Event.REQUEST_REFUSED, request=fields.caller_request_id, reason=opened.message)
            self.fire(error_answer(request_id, fields.caller_request_id, opened), CALLERS)
            return
        now = self.clock.monotonic()
        self.exchanges[request_id] = opened
        self.metrics.waiting_requests += 1
        opened.deadline = self.deadlines.schedule(opened.work.give_up_at, Due(request_id), REQUESTS)
        self.budget(opened.work.service).earn(self.router_count, now)
        self.state.waiting.add(opened.work)
        self.place()

    @property
    def router_count(self) -> int:
        """Return how many routers share the fleet's limits."""
        return len(self.state.placement.routers)

    def budget(self, service: str) -> RetryBudget:
        """Return the budget for repeated sends to a service."""
        if service not in self.budgets:
            self.budgets[service] = RetryBudget(self.state.settings.retry_budget)
        return self.budgets[service]

    def place(self) -> None:
        """Start and refuse waiting requests, now or soon after the last time."""
        if not self.state.waiting.by_service:
            return
        now = self.clock.monotonic()
        if now < self.placed_at + PLACING_GAP_SECONDS:
            self.wake(self.placed_at + PLACING_GAP_SECONDS)
            return
        self.placed_at = now
        for decision in self.state.waiting.decide(now):
            self.carry_out(decision)
        if self.state.waiting.by_service:
            self.wake(now + WAITING_POLL_SECONDS)

    def wake(self, when: float) -> None:
        """Look at the waiting requests again at `when` or before."""
        if self.wakeup is not None:
            if self.wakeup.when <= when:
                return
            self.wakeup.cancel()
        self.wakeup = self.deadlines.schedule(when, Due(), REQUESTS)

    @handler("Due")
    def on_due(self, request_id: str | None) -> None:
        """Look at the waiting requests again, or end a request whose time is over."""
        if request_id is None:
            self.wakeup = None
            self.place()
        elif request_id in self.exchanges:
            self.time_out(self.exchanges[request_id])

    @singledispatchmethod
    def carry_out(self, decision: object) -> None:
        """Carry out a decision about a waiting request."""
        raise TypeError(f"no such decision: {decision!r}")

    @carry_out.register
    def refuse(self, decision: Refusal) -> None:
        """Refuse a request that can't start in time."""
        exchange = self.exchanges[decision.work.request_id]
        refusal = FleetRefusal(
            UNAVAILABLE,
            "no_capacity",
            decision.reason,
            ran=Ran.NO,
            retry_after_seconds=decision.retry_after_seconds,
        )
        self.fail(
            exchange,
            refusal,
            waited=round(decision.waited_seconds, 3),
            backlog=round(decision.backlog_seconds, 3),
            served_part=round(decision.work.served_part, 3),
        )

    @carry_out.register
    def send(self, decision: Start) -> None:
        """Send a request to a target."""
        exchange = self.exchanges[decision.work.request_id]
        now = self.clock.monotonic()
        placed = decision.placed
        exchange.sends += 1
        exchange.possible_runs += 1
        work = placed.work
        exchange.attempt = TargetAttempt(
            exchange.sends,
            placed,
            now,
            now,
            OpenWork(work.requests, work.unread_tokens, work.memory_tokens),
        )
        exchange.relay.restart()
        self.metrics.queue_wait.observe({}, now - exchange.work.queued_at)
        self.metrics.waiting_requests -= 1
        self.metrics.running_requests += 1
        left = exchange.work.give_up_at - now
        request = encode_target_request(
            exchange.head,
            exchange.body,
            target=placed.target,
            customer=exchange.customer,
            seconds_left=left,
            last_event_id=exchange.last_event_id,
        )
        attempt = Attempt(
            key=(exchange.request_id, exchange.sends),
            channel=REQUESTS,
            address=placed.target.address,
            request=request,
            repeatable=False,
            reuse_idle_seconds=(
                math.inf if exchange.work.route.is_idempotent else UNREPEATABLE_REUSE_SECONDS
            ),
            without_body=exchange.head.method == "HEAD",
            idle_seconds=left,
            answer_id=(names.REQUEST_ID, exchange.fields.caller_request_id),
        )
        log_event(
            Event.REQUEST_SENT,
            request=exchange.fields.caller_request_id,
            target=placed.target.target_id,
            attempt=exchange.sends,
            customer=exchange.customer,
            waited=round(now - exchange.work.arrived_at, 3),
            unread_ahead=placed.unread_ahead,
            rate=round(self.state.placement.rates.rate(placed.target.service, placed.target.target_id)),
            cold=placed.is_cold,
            served_part=round(exchange.work.served_part, 3),
            configuration=self.state.configuration.version,
        )
        self.fire(StartAttempt(attempt), TARGETS)
        self.fire(WorkChanged(), REQUESTS)

    def find(self, key: AttemptKey) -> Exchange | None:
        """Return the exchange whose present attempt has the key."""
        exchange = self.exchanges.get(key[0])
        if exchange is None or exchange.attempt is None or exchange.attempt.number != key[1]:
            return None
        return exchange

    @handler("AnswerStarted")
    def on_answer_started(self, key: AttemptKey, head: AnswerHead) -> None:
        """Take the head of an answer."""
        exchange = self.find(key)
        if exchange is None:
            return
        attempt = exchange.attempt
        attempt.head = head
        attempt.heard_at = self.clock.monotonic()
        self.state.placement.health_of(attempt.placed.target.target_id).reached(
            self.state.settings, attempt.heard_at
        )

    @handler("AnswerPart")
    def on_answer_part(self, key: AttemptKey, data: bytes) -> None:
        """Pass a part of an answer on."""
        exchange = self.find(key)
        if exchange is None:
            return
        attempt = exchange.attempt
        attempt.heard_at = now = self.clock.monotonic()
        if exchange.is_stream and is_sealed(attempt.head):
            self.note_output(exchange)
            part = exchange.relay.feed(data)
            if part:
                exchange.note_event(now)
                self.pass_on(exchange, part)
        elif exchange.answer_begun and not exchange.relay.events:
            self.pass_on(exchange, data)
        else:
            attempt.held += data
            if len(attempt.held) > HELD_ANSWER_BYTES and self.may_pass(exchange):
                self.pass_on(exchange, bytes(attempt.held))
                attempt.held.clear()

    def may_pass(self, exchange: Exchange) -> bool:
        """Return whether an answer may go to the caller."""
        head = exchange.attempt.head
        return not exchange.answer_begun and not says_not_run(head) and is_sealed(head)

    def note_output(self, exchange: Exchange) -> None:
        """Note that the engine has read the prompt."""
        attempt = exchange.attempt
        if attempt.has_output:
            return
        attempt.has_output = True
        self.metrics.first_output.observe({}, attempt.heard_at - exchange.work.arrived_at)
        placement = self.state.placement
        target = attempt.placed.target
        placement.loads.read(target.target_id, attempt.work.unread_tokens)
        attempt.work.unread_tokens = 0
        self.work_changed(target.target_id)
        placement.rates.sample(
            target.service,
            target.target_id,
            attempt.placed.unread_ahead,
            attempt.heard_at - attempt.started_at,
        )
        self.place()

    def pass_on(self, exchange: Exchange, part: bytes) -> None:
        """Send a part of the answer to the caller."""
        self.begin_answer(exchange)
        self.fire(SendPart(exchange.request_id, part), CALLERS)

    def begin_answer(self, exchange: Exchange) -> None:
        """Send the head of the first attempt that answers; a later one only goes on with the content."""
        if exchange.answer_begun:
            return
        exchange.answer_begun = True
        head = exchange.attempt.head
        length = None if exchange.is_stream else head.content_length
        self.fire(SendHead(exchange.request_id, head.status, passed_headers(head.headers), length), CALLERS)

    @handler("AnswerEnded")
    def on_answer_ended(self, key: AttemptKey, end: AttemptEnd, detail: str = "") -> None:
        """Finish an answer, or go on after a failed attempt."""
        exchange = self.find(key)
        if exchange is None:
            return
        attempt = exchange.attempt
        self.close_attempt(exchange)
        health = self.state.placement.health_of(attempt.placed.target.target_id)
        failure = failure_of(attempt, end, detail)
        if failure is None:
            health.answered(is_error=attempt.head.status in SERVER_ERRORS)
            self.complete(exchange, attempt)
        else:
            if failure.arrived:
                health.answered(is_error=True)
            if failure.is_unreachable:
                self.suspend(attempt, detail)
            self.failed(exchange, attempt, failure)
        self.place()

    def suspend(self, attempt: TargetAttempt, reason: str) -> None:
        """Send nothing to a target for a while that could not be reached or did not answer."""
        now = self.clock.monotonic()
        target_id = attempt.placed.target.target_id
        health = self.state.placement.health_of(target_id)
        if not health.is_suspended(now):
            health.unreachable(self.state.settings, now)
            log_event(
                Event.TARGET_SUSPENDED,
                target=target_id,
                reason=reason,
                failures=health.failures,
                seconds=round(health.suspended_until - now, 3),
            )

    def complete(self, exchange: Exchange, attempt: TargetAttempt) -> None:
        """Finish a whole answer, or replace a repeatable one that is an error."""
        head = attempt.head
        if head.status in SERVER_ERRORS and (exchange.answer_begun or self.can_repeat(exchange)):
            self.failed(exchange, attempt, Failure(f"status {head.status}", may_have_run=True))
            return
        self.end(exchange)
        if exchange.answer_begun:
            rest = exchange.relay.rest()
            if rest:
                self.fire(SendPart(exchange.request_id, rest), CALLERS)
            self.fire(SendEnd(exchange.request_id), CALLERS)
        else:
            body = bytes(attempt.held) or exchange.relay.rest()
            answer = SendAnswer(exchange.request_id, head.status, passed_headers(head.headers), body)
            self.fire(answer, CALLERS)
        self.log_end(Event.REQUEST_FINISHED, exchange, status=head.status)

    def can_repeat(self, exchange: Exchange) -> bool:
        """Return whether a request that may have run may be sent again, apart from the budget."""
        route = exchange.work.route
        return (
            route.is_idempotent
            and exchange.possible_runs < route.attempts
            and exchange.sends < MAXIMUM_SENDS
            and (not exchange.answer_begun or route.is_resumable)
        )

    def failed(self, exchange: Exchange, attempt: TargetAttempt, failure: Failure) -> None:
        """Send a request again where that is allowed, otherwise end it with an error."""
        now = self.clock.monotonic()
        target_id = attempt.placed.target.target_id
        log_event(
            Event.ATTEMPT_FAILED,
            request=exchange.fields.caller_request_id,
            target=target_id,
            attempt=attempt.number,
            reason=failure.reason,
            may_have_run=failure.may_have_run,
            after=round(now - attempt.started_at, 3),
        )
        self.metrics.tally(self.metrics.failures, target=target_id, reason=failure.reason.partition(":")[0])
        if not failure.may_have_run:
            exchange.possible_runs -= 1
        allowed = self.can_repeat(exchange) if failure.may_have_run else exchange.sends < MAXIMUM_SENDS
        if allowed and exchange.possible_runs:
            allowed = exchange.work.route.is_idempotent
        if allowed and failure.arrived:
            allowed = self.budget(exchange.work.service).spend(self.router_count, now)
        if allowed:
            exchange.work.excluded.add(target_id)
            exchange.work.queued_at = now
            self.metrics.waiting_requests += 1
            self.state.waiting.add(exchange.work)
            return
        if exchange.possible_runs:
            refusal = FleetRefusal(BAD_GATEWAY, "target_failed", failure.reason, ran=Ran.UNKNOWN)
        else:
            refusal = FleetRefusal(
                UNAVAILABLE,
                "no_capacity",
                failure.reason,
                ran=Ran.NO,
                retry_after_seconds=exchange.work.route.goal_seconds / 2,
            )
        self.metrics.waiting_requests += 1
        self.fail(exchange, refusal)

    def close_attempt(self, exchange: Exchange) -> None:
        """Forget the present attempt."""
        attempt = exchange.attempt
        exchange.attempt = None
        self.metrics.running_requests -= 1
        self.state.placement.loads.end(attempt.placed.target.target_id, attempt.work)
        self.work_changed(attempt.placed.target.target_id)

    def work_changed(self, target_id: str) -> None:
        """Let the bursts and the peers know of a change of the open work."""
        self.state.placement.observe(target_id, self.clock.monotonic())
        self.fire(WorkChanged(), REQUESTS)

    def stop_attempt(self, exchange: Exchange) -> TargetAttempt:
        """Cancel the present attempt at its target."""
        attempt = exchange.attempt
        self.fire(StopAttempt((exchange.request_id, attempt.number), REQUESTS), TARGETS)
        self.close_attempt(exchange)
        return attempt

    def fail(self, exchange: Exchange, refusal: FleetRefusal, **inputs: object) -> None:
        """End a request that waits, with an error or by breaking off its answer."""
        self.metrics.waiting_requests -= 1
        self.end(exchange)
        if exchange.answer_begun:
            self.metrics.cut_answers.inc({})
            self.fire(AbortAnswer(exchange.request_id), CALLERS)
        else:
            if refusal.status == UNAVAILABLE and exchange.possible_runs:
                refusal = FleetRefusal(BAD_GATEWAY, refusal.code, refusal.message, ran=Ran.UNKNOWN)
            answer = error_answer(exchange.request_id, exchange.fields.caller_request_id, refusal)
            self.fire(answer, CALLERS)
        event = Event.REQUEST_REFUSED if refusal.ran is Ran.NO else Event.REQUEST_FAILED
        self.log_end(event, exchange, status=refusal.status, reason=refusal.message, **inputs)

    def end(self, exchange: Exchange) -> None:
        """Forget a request."""
        del self.exchanges[exchange.request_id]
        if exchange.deadline is not None:
            exchange.deadline.cancel()
        self.state.waiting.remove(exchange.work)

    def log_end(self, event: Event, exchange: Exchange, **inputs: object) -> None:
        """Write and count how a request ended."""
        self.metrics.tally(self.metrics.outcomes, outcome=event.name.lower(), route=exchange.work.route.name)
        if event is Event.REQUEST_REFUSED:
            self.metrics.tally(
                self.metrics.refusals, customer=exchange.customer or "", reason=str(inputs.get("reason", ""))
            )
        log_event(
            event,
            request=exchange.fields.caller_request_id,
            route=exchange.work.route.name,
            customer=exchange.customer,
            sends=exchange.sends,
            events=exchange.relay.events,
            first_event=exchange.first_event_seconds,
            longest_pause=round(exchange.longest_pause, 3),
            seconds=round(self.clock.monotonic() - exchange.work.arrived_at, 3),
            **inputs,
        )

    def time_out(self, exchange: Exchange) -> None:
        """End a request whose deadline or route timeout has come."""
        if exchange.attempt is not None:
            self.stop_attempt(exchange)
            self.metrics.waiting_requests += 1
        if exchange.possible_runs:
            refusal = FleetRefusal(GATEWAY_TIMEOUT, "timeout", "no answer in time", ran=Ran.UNKNOWN)
        else:
            refusal = FleetRefusal(UNAVAILABLE, "timeout", "no target in time", ran=Ran.NO)
        self.fail(exchange, refusal)
        self.place()

    @handler("CallerLost")
    def on_caller_lost(self, request_id: str) -> None:
        """Cancel a request that nobody waits for any more."""
        exchange = self.exchanges.get(request_id)
        if exchange is None:
            return
        if exchange.attempt is not None:
            self.stop_attempt(exchange)
        else:
            self.metrics.waiting_requests -= 1
        self.end(exchange)
        self.log_end(Event.CALLER_GONE, exchange)
        self.place()

    @handler("CallerBlocked")
    def on_caller_blocked(self, request_id: str) -> None:
        """Stop reading an answer for a slow caller."""
        exchange = self.exchanges.get(request_id)
        if exchange is not None and exchange.attempt is not None:
            self.fire(PauseAttempt((request_id, exchange.attempt.number), REQUESTS), TARGETS)

    @handler("CallerUnblocked")
    def on_caller_unblocked(self, request_id: str) -> None:
        """Go on reading an answer."""
        exchange = self.exchanges.get(request_id)
        if exchange is not None and exchange.attempt is not None:
            self.fire(ContinueAttempt((request_id, exchange.attempt.number), REQUESTS), TARGETS)

    @handler("FailRequest")
    def on_fail(self, request_id: str) -> None:
        """Answer a request whose handler raised an exception."""
        exchange = self.exchanges.get(request_id)
        if exchange is None:
            return
        if exchange.attempt is not None:
            self.stop_attempt(exchange)
            self.metrics.waiting_requests += 1
        ran = Ran.UNKNOWN if exchange.possible_runs else Ran.NO
        self.fail(exchange, FleetRefusal(BAD_GATEWAY, "internal_error", "internal error", ran=ran))

    def check_silence(self) -> None:
        """Send repeatable requests to another target when theirs is silent."""
        now = self.clock.monotonic()
        for exchange in list(self.exchanges.values()):
            attempt = exchange.attempt
            if attempt is None or not self.can_repeat(exchange):
                continue
            limit = silence_limit(exchange)
            if now - attempt.heard_at < limit:
                continue
            if not self.budget(exchange.work.service).allows(self.router_count, now):
                # A slow answer is better than one that is broken off and can't go on elsewhere.
                continue
            self.stop_attempt(exchange)
            health = self.state.placement.health_of(attempt.placed.target.target_id)
            health.answered(is_error=True)
            if attempt.head is None:
                self.suspend(attempt, "silent")
            silent = Failure(f"silent: no output for {limit:.2f} s", may_have_run=True)
            self.failed(exchange, attempt, silent)
        self.place()
