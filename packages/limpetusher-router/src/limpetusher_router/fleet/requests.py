"""The life of callers' requests: from the route to the last byte of the answer."""

import math
from functools import singledispatchmethod

from circuits.core import BaseComponent, handler

from limpetusher.clock import Clock
from limpetusher.core.refusals import Ran
from limpetusher.events import Event
from limpetusher.fleet.messages import Granted, Outcome, Refused
from limpetusher_router.connection.framing import RequestHead
from limpetusher_router.events import (
    ANSWERS,
    CALLERS,
    REQUESTS,
    TARGETS,
    AbortAnswer,
    Attempt,
    ContinueAttempt,
    Due,
    PauseAttempt,
    StartAttempt,
    StopAttempt,
)
from limpetusher_router.fleet.admission import Admission
from limpetusher_router.fleet.exchange import Exchange, TargetAttempt
from limpetusher_router.fleet.outcomes import MAXIMUM_SENDS, Failure, can_repeat
from limpetusher_router.fleet.refusals import (
    BAD_GATEWAY,
    GATEWAY_TIMEOUT,
    UNAVAILABLE,
    FleetRefusal,
    error_answer,
)
from limpetusher_router.fleet.state import FleetState
from limpetusher_router.platform import names
from limpetusher_router.platform.requests import decode_request, encode_target_request
from limpetusher_router.process.deadlines import Deadlines
from limpetusher_router.process.logs import log_event
from limpetusher_router.process.metrics import Metrics

UNREPEATABLE_REUSE_SECONDS = 1.0
"""Idle time up to which a kept connection carries a request that must not run twice: targets close
connections after whole seconds at the earliest, so that a close on its way is unlikely."""
CHECK_SECONDS = 0.1
"""Time between two looks for targets that are silent."""
MOST_RETURNED_GRANTS = 8
"""Grants that a request may return unused before it is refused."""


class FleetRequests(BaseComponent):
    """Asks the schedulers about callers' requests and carries out what they answer.

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
        self.admission = Admission(state, clock=clock)
        self.is_check_due = False

    @handler("RequestReceived")
    def on_request(self, request_id: str, head: RequestHead, body: bytes) -> None:
        """Find the route of a request and let it wait for a target."""
        fields = decode_request(head)
        opened = self.admission.open(request_id, head, body, fields)
        if isinstance(opened, FleetRefusal):
            log_event(Event.REQUEST_REFUSED, request=fields.caller_request_id, reason=opened.message)
            self.fire(error_answer(request_id, fields.caller_request_id, opened), CALLERS)
            return
        self.exchanges[request_id] = opened
        self.metrics.waiting_requests += 1
        opened.deadline = self.deadlines.schedule(opened.asked.give_up_at, Due(request_id), REQUESTS)
        self.state.asking.ask(opened.asked, opened.arrived_at)

    @handler("Due")
    def on_due(self, request_id: str) -> None:
        """End a request whose time is over."""
        if request_id in self.exchanges:
            self.time_out(self.exchanges[request_id])

    @handler("AnswerReceived")
    def on_answer(self, scheduler: str, answer: Granted | Refused) -> None:
        """Take the answer of a scheduler."""
        self.carry_out(answer, scheduler)

    @singledispatchmethod
    def carry_out(self, answer: object, scheduler: str) -> None:
        """Carry out what a scheduler has answered."""
        raise TypeError(f"no such answer: {answer!r}")

    @carry_out.register
    def refuse(self, answer: Refused, scheduler: str) -> None:
        """Refuse a request that can't start in time."""
        asked = self.state.asking.take_refusal(answer, scheduler, self.clock.monotonic())
        if asked is None:
            return
        exchange = self.exchanges[asked.request_id]
        self.fail(
            exchange,
            no_capacity(answer.reason, answer.retry_after_seconds),
            waited=round(self.clock.monotonic() - asked.queued_at, 3),
            backlog=answer.backlog_seconds,
            served_part=answer.served_part,
            scheduler=scheduler,
        )

    @carry_out.register
    def send(self, answer: Granted, scheduler: str) -> None:
        """Send a request to a target."""
        asked = self.state.asking.take_grant(answer, scheduler)
        if asked is None:
            return
        exchange = self.exchanges[asked.request_id]
        now = self.clock.monotonic()
        if not self.state.may_send(answer.target_id, now):
            self.give_back(exchange, answer, now)
            return
        target = self.state.placement.targets[answer.target_id]
        exchange.sends += 1
        exchange.possible_runs += 1
        exchange.attempt = TargetAttempt(exchange.sends, target, answer, now, now)
        exchange.relay.restart()
        self.metrics.queue_wait.observe({}, now - asked.queued_at)
        self.metrics.waiting_requests -= 1
        self.metrics.running_requests += 1
        left = asked.give_up_at - now
        request = encode_target_request(
            exchange.head,
            exchange.body,
            target=target,
            customer=exchange.customer,
            seconds_left=left,
            last_event_id=exchange.last_event_id,
            source=self.state.transfer_source(answer.source_id, now),
        )
        attempt = Attempt(
            key=(exchange.request_id, exchange.sends),
            channel=ANSWERS,
            address=target.address,
            request=request,
            repeatable=False,
            reuse_idle_seconds=math.inf if exchange.route.is_idempotent else UNREPEATABLE_REUSE_SECONDS,
            without_body=exchange.head.method == "HEAD",
            idle_seconds=left,
            answer_id=(names.REQUEST_ID, exchange.fields.caller_request_id),
        )
        log_event(
            Event.REQUEST_SENT,
            request=exchange.fields.caller_request_id,
            target=target.target_id,
            attempt=exchange.sends,
            customer=exchange.customer,
            waited=round(now - exchange.arrived_at, 3),
            unread_ahead=answer.unread_ahead,
            rate=answer.rate,
            source=answer.source_id,
            cold=answer.is_cold,
            served_part=answer.served_part,
            scheduler=scheduler,
            configuration=self.state.configuration.version,
        )
        self.fire(StartAttempt(attempt), TARGETS)
        self.check_soon()

    def check_soon(self) -> None:
        """Look for silent targets soon; nothing is looked for while no request is open."""
        if not self.is_check_due:
            self.is_check_due = True
            self.deadlines.schedule_in(CHECK_SECONDS, Due(), ANSWERS)

    def give_back(self, exchange: Exchange, answer: Granted, now: float) -> None:
        """Ask for another target, since this router knows that the granted one must get no request."""
        asked = exchange.asked
        self.state.asking.end(asked.request_id, Outcome.WITHDRAWN)
        asked.excluded.add(answer.target_id)
        if len(asked.excluded) <= MOST_RETURNED_GRANTS:
            self.state.asking.ask(asked, now)
            return
        self.fail(exchange, no_capacity("no target may get the request", exchange.route.goal_seconds / 2))

    def attempt_failed(self, exchange: Exchange, attempt: TargetAttempt, failure: Failure) -> None:
        """Ask for another target where a request may be sent again, otherwise end it with an error."""
        now = self.clock.monotonic()
        target_id = attempt.target.target_id
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
        self.metrics.waiting_requests += 1
        if not failure.may_have_run:
            exchange.possible_runs -= 1
        allowed = can_repeat(exchange) if failure.may_have_run else exchange.sends < MAXIMUM_SENDS
        if allowed and exchange.possible_runs:
            allowed = exchange.route.is_idempotent
        if allowed:
            asked = exchange.asked
            asked.excluded.add(target_id)
            asked.queued_at = now
            asked.is_repeat = failure.arrived
            self.state.asking.ask(asked, now)
        elif exchange.possible_runs:
            self.fail(exchange, FleetRefusal(BAD_GATEWAY, "target_failed", failure.reason, ran=Ran.UNKNOWN))
        else:
            self.fail(exchange, no_capacity(failure.reason, exchange.route.goal_seconds / 2))

    def close_attempt(self, exchange: Exchange, outcome: Outcome) -> TargetAttempt:
        """Forget the present attempt, and tell its scheduler how it ended."""
        attempt = exchange.attempt
        exchange.attempt = None
        self.metrics.running_requests -= 1
        self.state.asking.end(exchange.request_id, outcome)
        return attempt

    def stop_attempt(self, exchange: Exchange, outcome: Outcome = Outcome.WITHDRAWN) -> TargetAttempt:
        """Cancel the present attempt at its target."""
        self.fire(StopAttempt((exchange.request_id, exchange.attempt.number), ANSWERS), TARGETS)
        return self.close_attempt(exchange, outcome)

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
        self.state.asking.end(exchange.request_id, Outcome.WITHDRAWN)

    def log_end(self, event: Event, exchange: Exchange, **inputs: object) -> None:
        """Write and count how a request ended."""
        self.metrics.tally(self.metrics.outcomes, outcome=event.name.lower(), route=exchange.route.name)
        if event is Event.REQUEST_REFUSED:
            self.metrics.tally(
                self.metrics.refusals, customer=exchange.customer or "", reason=str(inputs.get("reason", ""))
            )
        log_event(
            event,
            request=exchange.fields.caller_request_id,
            route=exchange.route.name,
            customer=exchange.customer,
            sends=exchange.sends,
            events=exchange.relay.events,
            first_event=exchange.first_event_seconds,
            longest_pause=round(exchange.longest_pause, 3),
            seconds=round(self.clock.monotonic() - exchange.arrived_at, 3),
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

    @handler("CallerBlocked")
    def on_caller_blocked(self, request_id: str) -> None:
        """Stop reading an answer for a slow caller."""
        exchange = self.exchanges.get(request_id)
        if exchange is not None and exchange.attempt is not None:
            self.fire(PauseAttempt((request_id, exchange.attempt.number), ANSWERS), TARGETS)

    @handler("CallerUnblocked")
    def on_caller_unblocked(self, request_id: str) -> None:
        """Go on reading an answer."""
        exchange = self.exchanges.get(request_id)
        if exchange is not None and exchange.attempt is not None:
            self.fire(ContinueAttempt((request_id, exchange.attempt.number), ANSWERS), TARGETS)

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


def no_capacity(reason: str, retry_after_seconds: float) -> FleetRefusal:
    """Return the refusal of a request that did not run."""
    return FleetRefusal(
        UNAVAILABLE, "no_capacity", reason, ran=Ran.NO, retry_after_seconds=retry_after_seconds
    )
