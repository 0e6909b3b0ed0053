"""Handling of callers' requests, from parsing to the last byte of the answer."""

import logging
from functools import singledispatchmethod

from circuits.core import BaseComponent, handler

from limpetusher.clock import Clock
from limpetusher.configuration.compiled import Configuration, Customer
from limpetusher.core.actions import CancelDispatch, Dispatch, Refuse, Replay
from limpetusher.core.inputs import (
    CallerGone,
    Outcome,
    RequestArrived,
    ResponseEnded,
    ResponseProgress,
    ResponseStarted,
)
from limpetusher.core.refusals import Ran, RefusalCode
from limpetusher_router.connection.framing import AnswerHead, RequestHead
from limpetusher_router.errors import InternalError, RequestError
from limpetusher_router.events import (
    CALLERS,
    CORE,
    REQUESTS,
    TARGETS,
    AbortAnswer,
    Attempt,
    AttemptResult,
    CancelAttempt,
    CoreInput,
    PauseAttempt,
    ResumeAttempt,
    SendAnswer,
    SendEnd,
    SendHead,
    SendPart,
    StartAttempt,
)
from limpetusher_router.process.metrics import Metrics
from limpetusher_router.process.tracing import Tracing
from limpetusher_router.request.answers import ErrorReason, error_answer, error_event
from limpetusher_router.request.authentication import Authenticator
from limpetusher_router.request.context import (
    NOT_REPLAYABLE,
    ReplayableAnswer,
    RequestContext,
    TargetAttempt,
)
from limpetusher_router.request.parsing import parse_service_request
from limpetusher_router.request.relay import AnswerRelay
from limpetusher_router.request.resumption import build_resumption_attempt, can_resume, continues_stream
from limpetusher_router.settings import RouterSettings

NOT_READY_RETRY_SECONDS = 1.0
NO_MEMORY_RETRY_SECONDS = 1.0
NOT_SENT_RESULTS = (AttemptResult.EXPIRED, AttemptResult.NOT_STARTED, AttemptResult.UNREACHABLE)
"""Ends of an attempt of which no byte was sent."""

logger = logging.getLogger(__name__)

AttemptKey = tuple[str, int]


class RequestForwarder(BaseComponent):
    """Executes the actions of the core for requests and reports their progress and outcome to the core."""

    channel = REQUESTS

    def __init__(self, settings: RouterSettings, *, clock: Clock, metrics: Metrics, tracing: Tracing):
        super().__init__()
        self.settings = settings
        self.clock = clock
        self.metrics = metrics
        self.tracing = tracing
        self.configuration: Configuration | None = None
        self.authenticator: Authenticator | None = None
        self.requests: dict[str, RequestContext] = {}

    @handler("ConfigurationChanged")
    def on_configuration_in_force(self, configuration: Configuration) -> None:
        """Use a new configuration for requests that arrive from now on."""
        self.authenticator = Authenticator(configuration)
        self.configuration = configuration

    @handler("RequestReceived")
    def on_request_received(self, request_id: str, head: RequestHead, body: bytes | memoryview) -> None:
        """Authenticate and parse a request and pass it to the core."""
        try:
            context = self.open_request(request_id, head, body)
        except RequestError as error:
            self.fire(error_answer(request_id, error), CALLERS)
            return
        request, customer = context.request, context.customer
        arrived = RequestArrived(
            request_id=request_id,
            customer=customer.customer_id,
            service=request.service.name,
            idempotent=request.idempotent,
            patience_seconds=customer.patience_for(request.service.name),
            prompt_cost=request.prompt_cost,
            cost_hint=request.cost_hint,
            prefix=request.prefix,
            idempotency_key=request.idempotency_key,
            body_digest=request.body_digest,
        )
        self.fire(CoreInput(arrived), CORE)

    @handler("BodyRefused")
    def on_body_refused(self, request_id: str, _head: RequestHead) -> None:
        """Refuse a request for whose body there is no memory."""
        error = RequestError(503, RefusalCode.NO_CAPACITY, "no memory for the body", NO_MEMORY_RETRY_SECONDS)
        self.fire(error_answer(request_id, error), CALLERS)

    def open_request(self, request_id: str, head: RequestHead, body: bytes | memoryview) -> RequestContext:
        """Return the new context of a request.

        Raises
        ------
        RequestError
            If the request is not acceptable.
        """
        if self.authenticator is None:
            raise RequestError(
                503, RefusalCode.NOT_READY, "this router has no configuration yet", NOT_READY_RETRY_SECONDS
            )
        customer: Customer = self.authenticator.authenticate(head.headers.get("authorization"))
        request = parse_service_request(
            head, body, customer=customer, configuration=self.configuration, policy=self.settings.policy
        )
        trace = self.tracing.start_trace(head.headers, request_id)
        context = RequestContext(request_id, head, body, customer, request, self.clock.monotonic(), trace)
        self.requests[request_id] = context
        self.metrics.waiting_requests += 1
        trace.start_queue_span()
        return context

    @handler("CallerDisconnected")
    def on_caller_lost(self, request_id: str) -> None:
        """Report to the core that the caller has disconnected."""
        context = self.requests.get(request_id)
        if context is None:
            return
        context.caller_disconnected = True
        self.fire(CoreInput(CallerGone(request_id)), CORE)
        if context.attempt is None:
            self.close_request(context, status=0)

    @handler("CoreAction")
    def on_action(self, action: Dispatch | CancelDispatch | Refuse | Replay) -> None:
        """Execute an action of the core."""
        self.execute_action(action)

    @singledispatchmethod
    def execute_action(self, action: object) -> None:
        """Execute an action of the core for a request."""
        raise TypeError(f"no such action for a request: {action!r}")

    @execute_action.register
    def dispatch(self, action: Dispatch) -> None:
        """Send a request to a target."""
        context = self.requests.get(action.request_id)
        if context is None:
            ended = ResponseEnded(action.request_id, action.attempt, Outcome.NOT_SENT)
            self.fire(CoreInput(ended), CORE)
            return
        now = self.clock.monotonic()
        context.attempt = TargetAttempt(action.attempt, action.target_id, action.address, now)
        context.caller_blocked = False
        self.metrics.queue_wait.observe({}, now - context.arrived_at)
        self.metrics.waiting_requests -= 1
        self.metrics.running_requests += 1
        traceparent = context.trace.start_attempt_span(action.target_id)
        attempt = Attempt(
            key=(action.request_id, action.attempt),
            channel=REQUESTS,
            address=action.address,
            request=context.build_target_head(action.address, traceparent),
            body=context.body,
            send_before=action.send_before,
            repeatable=context.request.idempotent,
            answer_has_no_body=context.request.method == "HEAD",
        )
        self.fire(StartAttempt(attempt), TARGETS)

    @execute_action.register
    def cancel(self, action: CancelDispatch) -> None:
        """Cancel an attempt at its target."""
        context = self.requests.get(action.request_id)
        if context is None or context.attempt is None or context.attempt.number != action.attempt:
            return
        attempt = context.attempt
        self.fire(CancelAttempt((action.request_id, action.attempt), REQUESTS), TARGETS)
        if attempt.sent and context.request.is_engine:
            self.fire(StartAttempt(context.build_stream_cancellation()), TARGETS)
        outcome = Outcome.CANCELLED if attempt.sent else Outcome.NOT_SENT
        self.end_attempt(context, outcome, cost=context.cost_so_far())
        if context.caller_disconnected:
            self.close_request(context, status=0)

    @execute_action.register
    def refuse(self, action: Refuse) -> None:
        """Answer with an error, or end an incomplete answer."""
        self.fail_request(action.request_id, action)

    def fail_request(self, request_id: str, error: ErrorReason) -> None:
        """End a request with an error.

        A stream that has started ends with an error event. Any other answer that has started is cut by
        resetting the connection, so that the caller does not take it for a complete one.
        """
        context = self.requests.get(request_id)
        if context is None or not context.answer_started:
            self.fire(error_answer(request_id, error), CALLERS)
        elif context.stream_started:
            self.metrics.truncated_answers.inc({})
            self.fire(SendPart(request_id, error_event(request_id, error)), CALLERS)
            self.fire(SendEnd(request_id), CALLERS)
        else:
            self.metrics.truncated_answers.inc({})
            self.fire(AbortAnswer(request_id), CALLERS)
        if context is not None:
            self.close_request(context, status=error.status)

    @execute_action.register
    def replay(self, action: Replay) -> None:
        """Answer with the recorded answer of an earlier request with the same idempotency key."""
        headers = {
            "content-type": action.content_type,
            "x-request-id": action.request_id,
            "idempotency-replayed": "true",
        }
        self.fire(SendAnswer(action.request_id, action.status, headers, action.body), CALLERS)
        context = self.requests.get(action.request_id)
        if context is not None:
            self.close_request(context, status=action.status)

    def find_request(self, key: AttemptKey) -> RequestContext | None:
        """Return the context of the request whose current attempt has the key, None when there is none."""
        context = self.requests.get(key[0])
        if context is None or context.attempt is None or context.attempt.number != key[1]:
            return None
        return context

    @handler("AttemptSendStarted")
    def on_attempt_sent(self, key: AttemptKey) -> None:
        """Record that the target may run the request from now on."""
        context = self.find_request(key)
        if context is not None:
            context.attempt.sent = context.any_attempt_sent = True
            self.metrics.added_latency.observe({}, self.clock.monotonic() - context.arrived_at)

    @handler("AnswerHeadReceived")
    def on_answer_started(self, key: AttemptKey, head: AnswerHead) -> None:
        """Start to relay an answer, or check that it continues a resumed stream."""
        context = self.find_request(key)
        if context is None:
            return
        attempt = context.attempt
        if not attempt.resuming:
            attempt.relay = AnswerRelay(head)
        elif continues_stream(context, head):
            attempt.resuming = False
        else:
            self.fire(CancelAttempt(key, REQUESTS), TARGETS)
            self.end_cut_attempt(context)

    @handler("AnswerPartReceived")
    def on_answer_part(self, key: AttemptKey, data: bytes) -> None:
        """Forward a part of an answer and report the progress."""
        context = self.find_request(key)
        if context is None:
            return
        relay = context.attempt.relay
        if context.reports_not_run(relay):
            return
        part = relay.feed(data)
        if part:
            self.forward(context, part)
            self.report_progress(context)

    def forward(self, context: RequestContext, part: bytes) -> None:
        """Send a part of the answer to the caller."""
        if context.caller_disconnected:
            return
        relay = context.attempt.relay
        if not context.answer_started:
            context.answer_started = True
            context.stream_started = relay.is_stream
            length = None if relay.is_stream else relay.head.content_length
            headers = context.answer_headers(relay)
            self.fire(SendHead(context.request_id, relay.head.status, headers, length), CALLERS)
            started = ResponseStarted(context.request_id, context.attempt.number)
            self.fire(CoreInput(started), CORE)
        self.fire(SendPart(context.request_id, part), CALLERS)

    def report_progress(self, context: RequestContext) -> None:
        """Report the progress of a stream to the core, at most once in each exchange interval."""
        attempt = context.attempt
        now = self.clock.monotonic()
        if (
            not attempt.relay.is_stream
            or now < attempt.progress_reported_at + self.settings.policy.exchange_interval_seconds
        ):
            return
        attempt.progress_reported_at = now
        cost = context.cost_so_far()
        self.fire(CoreInput(ResponseProgress(context.request_id, attempt.number, cost)), CORE)

    @handler("AttemptEnded")
    def on_answer_ended(self, key: AttemptKey, end: AttemptResult, detail: str) -> None:
        """Finish an answer, resume a cut stream, or report the failure of the attempt to the core."""
        context = self.find_request(key)
        if context is None:
            return
        relay = context.attempt.relay
        if relay is not None and end in (AttemptResult.UNREACHABLE, AttemptResult.NOT_STARTED):
            self.end_cut_attempt(context)
        elif end in NOT_SENT_RESULTS and not context.attempt.sent:
            # Excludes attempts that sent a byte on a reused connection that broke; they may have run.
            logger.debug("attempt %s not sent: %s", key, detail)
            self.end_attempt(context, Outcome.NOT_SENT)
        elif relay is None:
            self.end_attempt(context, Outcome.CUT_BEFORE_OUTPUT)
        elif relay.done or (end is AttemptResult.COMPLETE and not relay.is_stream):
            self.finish_answer(context, relay)
        elif can_resume(context, end):
            self.fire(StartAttempt(build_resumption_attempt(context)), TARGETS)
            if context.caller_blocked:
                self.fire(PauseAttempt(key, REQUESTS), TARGETS)
        else:
            logger.debug("attempt %s cut: %s", key, detail)
            self.end_cut_attempt(context)
        if context.caller_disconnected:
            self.close_request(context, status=0)

    def end_cut_attempt(self, context: RequestContext) -> None:
        """Report to the core that an answer was cut."""
        outcome = Outcome.CUT_AFTER_OUTPUT if context.answer_started else Outcome.CUT_BEFORE_OUTPUT
        status = context.attempt.relay.head.status
        self.end_attempt(context, outcome, cost=context.cost_so_far(), status=status)

    def finish_answer(self, context: RequestContext, relay: AnswerRelay) -> None:
        """Finish a complete answer and report its cost."""
        status = relay.head.status
        if context.reports_not_run(relay):
            self.end_attempt(context, Outcome.REJECTED_NOT_RUN, status=status)
            return
        cost = relay.final_cost(
            prompt_cost=context.request.prompt_cost,
            prompt_token_cost=self.settings.policy.prompt_token_cost,
        )
        if cost is None and not context.request.is_engine:
            cost = context.request.service.default_cost
        if context.answer_started:
            self.fire(SendEnd(context.request_id), CALLERS)
        else:
            body = bytes(relay.buffer)
            headers = context.answer_headers(relay)
            self.fire(SendAnswer(context.request_id, status, headers, body), CALLERS)
        replayable = context.replayable_answer(self.settings.policy.kept_answer_bytes)
        self.end_attempt(context, Outcome.COMPLETE, cost=cost, status=status, replayable=replayable)
        self.close_request(context, status=status)

    def end_attempt(
        self,
        context: RequestContext,
        outcome: Outcome,
        *,
        cost: float | None = None,
        status: int | None = None,
        replayable: ReplayableAnswer = NOT_REPLAYABLE,
    ) -> None:
        """Report the end of an attempt to the core."""
        attempt = context.attempt
        context.attempt = None
        context.trace.end_attempt(outcome)
        self.metrics.running_requests -= 1
        self.metrics.waiting_requests += 1
        self.metrics.attempts.inc({"outcome": outcome.value})
        ended = ResponseEnded(
            context.request_id,
            attempt.number,
            outcome,
            cost,
            status,
            replayable.content_type,
            replayable.body,
        )
        self.fire(CoreInput(ended), CORE)

    @handler("CallerBufferFull")
    def on_caller_blocked(self, request_id: str) -> None:
        """Pause reading the answer because the caller reads too slowly."""
        context = self.requests.get(request_id)
        if context is not None and context.attempt is not None:
            context.caller_blocked = True
            self.fire(PauseAttempt((request_id, context.attempt.number), REQUESTS), TARGETS)

    @handler("CallerBufferAvailable")
    def on_caller_unblocked(self, request_id: str) -> None:
        """Resume reading the answer once the caller has caught up."""
        context = self.requests.get(request_id)
        if context is not None and context.attempt is not None:
            context.caller_blocked = False
            self.fire(ResumeAttempt((request_id, context.attempt.number), REQUESTS), TARGETS)

    def close_request(self, context: RequestContext, *, status: int) -> None:
        """Remove the context of a request whose answer is finished, and stop its attempt."""
        if self.requests.pop(context.request_id, None) is None:
            return
        if context.attempt is not None:
            self.fire(CancelAttempt((context.request_id, context.attempt.number), REQUESTS), TARGETS)
            self.metrics.running_requests -= 1
        else:
            self.metrics.waiting_requests -= 1
        context.trace.end(status)

    @handler("FailRequest")
    def on_fail_request(self, request_id: str) -> None:
        """Answer a request for which a handler raised an exception, and state whether it may have run."""
        context = self.requests.get(request_id)
        sent = context is not None and context.any_attempt_sent
        if context is not None and context.attempt is not None:
            self.cancel(CancelDispatch(request_id, context.attempt.number))
        elif context is not None:
            self.fire(CoreInput(CallerGone(request_id)), CORE)
        self.fail_request(request_id, InternalError(Ran.UNKNOWN if sent else Ran.NO))
