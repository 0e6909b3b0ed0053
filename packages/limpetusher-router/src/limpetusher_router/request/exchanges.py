"""The life of callers' requests: from parsing to the last byte of the answer."""

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
    AttemptEnd,
    ContinueAttempt,
    CoreInput,
    PauseAttempt,
    SendAnswer,
    SendEnd,
    SendHead,
    SendPart,
    StartAttempt,
    StopAttempt,
)
from limpetusher_router.process.metrics import Metrics
from limpetusher_router.process.tracing import Tracing
from limpetusher_router.request.answers import ErrorReason, error_answer, error_event
from limpetusher_router.request.authentication import Authenticator
from limpetusher_router.request.exchange import NOTHING_KEPT, Exchange, KeptAnswer, TargetAttempt
from limpetusher_router.request.parsing import parse_service_request
from limpetusher_router.request.relay import Relay
from limpetusher_router.request.resumption import continues, may_resume, resumption
from limpetusher_router.settings import RouterSettings

NOT_READY_RETRY_SECONDS = 1.0

logger = logging.getLogger(__name__)

AttemptKey = tuple[str, int]


class Exchanges(BaseComponent):
    """Carries out what the core decides about requests, and tells it what became of them."""

    channel = REQUESTS

    def __init__(self, settings: RouterSettings, *, clock: Clock, metrics: Metrics, tracing: Tracing):
        super().__init__()
        self.settings = settings
        self.clock = clock
        self.metrics = metrics
        self.tracing = tracing
        self.configuration: Configuration | None = None
        self.authenticator: Authenticator | None = None
        self.exchanges: dict[str, Exchange] = {}

    @handler("ConfigurationInForce")
    def on_configuration(self, configuration: Configuration) -> None:
        """Use a new configuration for requests from now on."""
        self.authenticator = Authenticator(configuration)
        self.configuration = configuration

    @handler("RequestReceived")
    def on_request(self, request_id: str, head: RequestHead, body: bytes) -> None:
        """Parse and authenticate a request and hand it to the core."""
        try:
            exchange = self.open(request_id, head, body)
        except RequestError as error:
            self.fire(error_answer(request_id, error), CALLERS)
            return
        request, customer = exchange.request, exchange.customer
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

    def open(self, request_id: str, head: RequestHead, body: bytes) -> Exchange:
        """Return the exchange for an acceptable request."""
        if self.authenticator is None:
            raise RequestError(
                503, RefusalCode.NOT_READY, "this router has no configuration yet", NOT_READY_RETRY_SECONDS
            )
        customer: Customer = self.authenticator.authenticate(head.headers.get("authorization"))
        request = parse_service_request(
            head, body, customer=customer, configuration=self.configuration, policy=self.settings.policy
        )
        trace = self.tracing.begin(head.headers, request_id)
        exchange = Exchange(request_id, head, body, customer, request, self.clock.monotonic(), trace)
        self.exchanges[request_id] = exchange
        self.metrics.waiting_requests += 1
        trace.begin_queue()
        return exchange

    @handler("CallerLost")
    def on_caller_lost(self, request_id: str) -> None:
        """Tell the core that nobody waits for the answer any more."""
        exchange = self.exchanges.get(request_id)
        if exchange is None:
            return
        exchange.caller_lost = True
        self.fire(CoreInput(CallerGone(request_id)), CORE)
        if exchange.attempt is None:
            self.close(exchange, status=0)

    @handler("CoreAction")
    def on_action(self, action: Dispatch | CancelDispatch | Refuse | Replay) -> None:
        """Carry out an action of the core."""
        self.carry_out(action)

    @singledispatchmethod
    def carry_out(self, action: object) -> None:
        """Carry out an action that concerns a request."""
        raise TypeError(f"no such action for a request: {action!r}")

    @carry_out.register
    def dispatch(self, action: Dispatch) -> None:
        """Send a request to a target."""
        exchange = self.exchanges.get(action.request_id)
        if exchange is None:
            ended = ResponseEnded(action.request_id, action.attempt, Outcome.NOT_SENT)
            self.fire(CoreInput(ended), CORE)
            return
        now = self.clock.monotonic()
        exchange.attempt = TargetAttempt(action.attempt, action.target_id, action.address, now)
        exchange.blocked = False
        self.metrics.queue_wait.observe({}, now - exchange.arrived_at)
        self.metrics.waiting_requests -= 1
        self.metrics.running_requests += 1
        traceparent = exchange.trace.begin_attempt(action.target_id)
        attempt = Attempt(
            key=(action.request_id, action.attempt),
            channel=REQUESTS,
            address=action.address,
            request=exchange.target_request(action.address, traceparent),
            send_before=action.send_before,
            repeatable=exchange.request.idempotent,
            without_body=exchange.request.method == "HEAD",
        )
        self.fire(StartAttempt(attempt), TARGETS)

    @carry_out.register
    def cancel(self, action: CancelDispatch) -> None:
        """Cancel an attempt at its target."""
        exchange = self.exchanges.get(action.request_id)
        if exchange is None or exchange.attempt is None or exchange.attempt.number != action.attempt:
            return
        attempt = exchange.attempt
        self.fire(StopAttempt((action.request_id, action.attempt), REQUESTS), TARGETS)
        if attempt.sent and exchange.request.is_engine:
            self.fire(StartAttempt(exchange.stream_cancellation()), TARGETS)
        outcome = Outcome.CANCELLED if attempt.sent else Outcome.NOT_SENT
        self.end_attempt(exchange, outcome, cost=exchange.cost_so_far())
        if exchange.caller_lost:
            self.close(exchange, status=0)

    @carry_out.register
    def refuse(self, action: Refuse) -> None:
        """Answer with an error, or end a broken answer so that it can't be taken for a whole one."""
        self.fail(action.request_id, action)

    def fail(self, request_id: str, error: ErrorReason) -> None:
        """End a request with an error, however far its answer has come."""
        exchange = self.exchanges.get(request_id)
        if exchange is None or not exchange.answer_begun:
            self.fire(error_answer(request_id, error), CALLERS)
        elif exchange.stream_begun:
            self.metrics.cut_answers.inc({})
            self.fire(SendPart(request_id, error_event(request_id, error)), CALLERS)
            self.fire(SendEnd(request_id), CALLERS)
        else:
            self.metrics.cut_answers.inc({})
            self.fire(AbortAnswer(request_id), CALLERS)
        if exchange is not None:
            self.close(exchange, status=error.status)

    @carry_out.register
    def replay(self, action: Replay) -> None:
        """Answer with the recorded answer of an earlier request with the same idempotency key."""
        headers = {
            "content-type": action.content_type,
            "x-request-id": action.request_id,
            "idempotency-replayed": "true",
        }
        self.fire(SendAnswer(action.request_id, action.status, headers, action.body), CALLERS)
        exchange = self.exchanges.get(action.request_id)
        if exchange is not None:
            self.close(exchange, status=action.status)

    def find(self, key: AttemptKey) -> Exchange | None:
        """Return the exchange whose present attempt has the key."""
        exchange = self.exchanges.get(key[0])
        if exchange is None or exchange.attempt is None or exchange.attempt.number != key[1]:
            return None
        return exchange

    @handler("AttemptSent")
    def on_sent(self, key: AttemptKey) -> None:
        """Take note that the request may run from now on."""
        exchange = self.find(key)
        if exchange is not None:
            exchange.attempt.sent = exchange.ever_sent = True
            self.metrics.added_latency.observe({}, self.clock.monotonic() - exchange.arrived_at)

    @handler("AnswerStarted")
    def on_answer_started(self, key: AttemptKey, head: AnswerHead) -> None:
        """Begin to relay an answer."""
        exchange = self.find(key)
        if exchange is None:
            return
        attempt = exchange.attempt
        if not attempt.resuming:
            attempt.relay = Relay(head)
        elif continues(exchange, head):
            attempt.resuming = False
        else:
            self.fire(StopAttempt(key, REQUESTS), TARGETS)
            self.end_cut(exchange)

    @handler("AnswerPart")
    def on_answer_part(self, key: AttemptKey, data: bytes) -> None:
        """Pass a part of an answer on."""
        exchange = self.find(key)
        if exchange is None:
            return
        relay = exchange.attempt.relay
        if exchange.tells_not_run(relay):
            return
        part = relay.feed(data)
        if part:
            self.pass_on(exchange, part)
            self.report_progress(exchange)

    def pass_on(self, exchange: Exchange, part: bytes) -> None:
        """Send a part of the answer to the caller."""
        if exchange.caller_lost:
            return
        relay = exchange.attempt.relay
        if not exchange.answer_begun:
            exchange.answer_begun = True
            exchange.stream_begun = relay.is_stream
            length = None if relay.is_stream else relay.head.content_length
            headers = exchange.answer_headers(relay)
            self.fire(SendHead(exchange.request_id, relay.head.status, headers, length), CALLERS)
            started = ResponseStarted(exchange.request_id, exchange.attempt.number)
            self.fire(CoreInput(started), CORE)
        self.fire(SendPart(exchange.request_id, part), CALLERS)

    def report_progress(self, exchange: Exchange) -> None:
        """Tell the core how far a stream has come, at most once in an exchange interval."""
        attempt = exchange.attempt
        now = self.clock.monotonic()
        if (
            not attempt.relay.is_stream
            or now < attempt.reported_at + self.settings.policy.exchange_interval_seconds
        ):
            return
        attempt.reported_at = now
        cost = exchange.cost_so_far()
        self.fire(CoreInput(ResponseProgress(exchange.request_id, attempt.number, cost)), CORE)

    @handler("AnswerEnded")
    def on_answer_ended(self, key: AttemptKey, end: AttemptEnd, detail: str) -> None:
        """Finish an answer, or tell the core how the attempt failed."""
        exchange = self.find(key)
        if exchange is None:
            return
        relay = exchange.attempt.relay
        if relay is not None and end is AttemptEnd.UNREACHABLE:
            self.end_cut(exchange)
        elif end in (AttemptEnd.EXPIRED, AttemptEnd.UNREACHABLE) and not exchange.attempt.sent:
            # An attempt on a kept connection that broke may have run before the new connection failed.
            logger.debug("attempt %s not sent: %s", key, detail)
            self.end_attempt(exchange, Outcome.NOT_SENT)
        elif relay is None:
            self.end_attempt(exchange, Outcome.CUT_BEFORE_OUTPUT)
        elif relay.done or (end is AttemptEnd.COMPLETE and not relay.is_stream):
            self.finish(exchange, relay)
        elif may_resume(exchange, end):
            self.fire(StartAttempt(resumption(exchange)), TARGETS)
            if exchange.blocked:
                self.fire(PauseAttempt(key, REQUESTS), TARGETS)
        else:
            logger.debug("attempt %s cut: %s", key, detail)
            self.end_cut(exchange)
        if exchange.caller_lost:
            self.close(exchange, status=0)

    def end_cut(self, exchange: Exchange) -> None:
        """Tell the core that an answer broke off."""
        outcome = Outcome.CUT_AFTER_OUTPUT if exchange.answer_begun else Outcome.CUT_BEFORE_OUTPUT
        status = exchange.attempt.relay.head.status
        self.end_attempt(exchange, outcome, cost=exchange.cost_so_far(), status=status)

    def finish(self, exchange: Exchange, relay: Relay) -> None:
        """Finish a whole answer."""
        status = relay.head.status
        if exchange.tells_not_run(relay):
            self.end_attempt(exchange, Outcome.REJECTED_NOT_RUN, status=status)
            return
        cost = relay.final_cost(
            prompt_cost=exchange.request.prompt_cost,
            prompt_token_cost=self.settings.policy.prompt_token_cost,
        )
        if cost is None and not exchange.request.is_engine:
            cost = exchange.request.service.default_cost
        if exchange.answer_begun:
            self.fire(SendEnd(exchange.request_id), CALLERS)
        else:
            body = bytes(relay.held)
            headers = exchange.answer_headers(relay)
            self.fire(SendAnswer(exchange.request_id, status, headers, body), CALLERS)
        kept = exchange.kept_answer(self.settings.policy.kept_answer_bytes)
        self.end_attempt(exchange, Outcome.COMPLETE, cost=cost, status=status, kept=kept)
        self.close(exchange, status=status)

    def end_attempt(
        self,
        exchange: Exchange,
        outcome: Outcome,
        *,
        cost: float | None = None,
        status: int | None = None,
        kept: KeptAnswer = NOTHING_KEPT,
    ) -> None:
        """Tell the core how an attempt ended."""
        attempt = exchange.attempt
        exchange.attempt = None
        exchange.trace.end_attempt(outcome)
        self.metrics.running_requests -= 1
        self.metrics.waiting_requests += 1
        self.metrics.attempts.inc({"outcome": outcome.value})
        ended = ResponseEnded(
            exchange.request_id, attempt.number, outcome, cost, status, kept.content_type, kept.body
        )
        self.fire(CoreInput(ended), CORE)

    @handler("CallerBlocked")
    def on_blocked(self, request_id: str) -> None:
        """Stop reading the answer for a slow caller."""
        exchange = self.exchanges.get(request_id)
        if exchange is not None and exchange.attempt is not None:
            exchange.blocked = True
            self.fire(PauseAttempt((request_id, exchange.attempt.number), REQUESTS), TARGETS)

    @handler("CallerUnblocked")
    def on_unblocked(self, request_id: str) -> None:
        """Go on reading the answer for a slow caller."""
        exchange = self.exchanges.get(request_id)
        if exchange is not None and exchange.attempt is not None:
            exchange.blocked = False
            self.fire(ContinueAttempt((request_id, exchange.attempt.number), REQUESTS), TARGETS)

    def close(self, exchange: Exchange, *, status: int) -> None:
        """Forget a request whose answer is finished."""
        if self.exchanges.pop(exchange.request_id, None) is None:
            return
        if exchange.attempt is not None:
            self.fire(StopAttempt((exchange.request_id, exchange.attempt.number), REQUESTS), TARGETS)
            self.metrics.running_requests -= 1
        else:
            self.metrics.waiting_requests -= 1
        exchange.trace.end(status)

    @handler("FailRequest")
    def on_fail(self, request_id: str) -> None:
        """Answer a request for which a handler raised an exception, and tell whether it may have run."""
        exchange = self.exchanges.get(request_id)
        sent = exchange is not None and exchange.ever_sent
        if exchange is not None and exchange.attempt is not None:
            self.cancel(CancelDispatch(request_id, exchange.attempt.number))
        elif exchange is not None:
            self.fire(CoreInput(CallerGone(request_id)), CORE)
        self.fail(request_id, InternalError(Ran.UNKNOWN if sent else Ran.NO))
