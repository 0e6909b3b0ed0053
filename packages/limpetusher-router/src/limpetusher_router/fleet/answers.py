"""Forwarding of targets' answers to callers."""

import math

from circuits.core import BaseComponent, handler

from limpetusher.clock import Clock
from limpetusher.events import Event
from limpetusher.fleet.messages import Outcome, TargetNotice
from limpetusher_router.connection.framing import AnswerHead
from limpetusher_router.events import (
    ANSWERS,
    CALLERS,
    AttemptResult,
    SendAnswer,
    SendEnd,
    SendHead,
    SendPart,
)
from limpetusher_router.fleet.exchange import Exchange, TargetAttempt, is_event_stream
from limpetusher_router.fleet.outcomes import (
    SERVER_ERROR_STATUSES,
    AttemptFailure,
    can_retry,
    classify_failure,
    has_usable_body,
    is_silent,
    lacks_request_id,
    target_outcome,
)
from limpetusher_router.fleet.requests import FleetRequests
from limpetusher_router.fleet.state import FleetState
from limpetusher_router.platform.requests import (
    announced_rate_limit,
    announces_leaving,
    end_to_end_headers,
    has_seal,
    requested_backoff_seconds,
)
from limpetusher_router.process.logs import log_event
from limpetusher_router.process.metrics import Metrics

PROGRESS_INTERVAL_SECONDS = 0.5
"""Interval of the progress reports; those of all streams are sent together, to share datagrams."""
MINIMUM_PROGRESS_SECONDS = 0.25
"""Shortest period over which the rate of a stream is measured."""
STREAM_END_MARGIN_SECONDS = 0.5
"""How long before its caller's deadline a stream should end."""
MAXIMUM_BUFFERED_BYTES = 65_536
"""Size above which a sealed answer is no longer buffered but forwarded in parts. An attempt fails if an event
or an error without a seal, which can't be forwarded in parts, is larger. Bounds the memory of a router whose
targets answer many requests at a time with bytes without end."""
MAXIMUM_UNUSED_BYTES = 1 << 20
"""Bytes of a body without use, which are discarded, after which an attempt fails. Up to there its connection
can be used again."""

AttemptKey = tuple[str, int]


class AnswerForwarder(BaseComponent):
    """Forwards answers to callers and reports failed attempts to `FleetRequests`.

    Parameters
    ----------
    requests
        Open requests of this router.
    clock
        Source of time.
    metrics
        Metrics of the process.
    """

    channel = ANSWERS

    def __init__(self, requests: FleetRequests, *, clock: Clock, metrics: Metrics):
        super().__init__()
        self.requests = requests
        self.clock = clock
        self.metrics = metrics
        self.progress_checked_at = 0.0

    @property
    def state(self) -> FleetState:
        """Return the state of the fleet as this router knows it."""
        return self.requests.state

    def find_exchange(self, key: AttemptKey) -> Exchange | None:
        """Return the exchange whose current attempt has the key, None if there is none."""
        exchange = self.requests.exchanges.get(key[0])
        if exchange is None or exchange.attempt is None or exchange.attempt.number != key[1]:
            return None
        return exchange

    @handler("AnswerHeadReceived")
    def on_answer_started(self, key: AttemptKey, head: AnswerHead) -> None:
        """Record the head of an answer."""
        exchange = self.find_exchange(key)
        if exchange is None:
            return
        attempt = exchange.attempt
        attempt.head = head
        attempt.last_received_at = self.clock.monotonic()
        self.state.health_of(attempt.target.target_id).record_reached(
            self.state.settings, attempt.last_received_at
        )
        self.handle_target_notice(exchange, head)
        self.handle_rate_limit(exchange, head)
        if lacks_request_id(head, exchange.fields.caller_request_id):
            self.abort_attempt(exchange, "answer without the identifier of the request")

    def handle_target_notice(self, exchange: Exchange, head: AnswerHead) -> None:
        """Apply a target's notice that it leaves or asks for a back-off, and forward it to the scheduler."""
        target_id = exchange.attempt.target.target_id
        leaves = announces_leaving(head) and self.state.placement.mark_leaving(target_id)
        backoff_seconds = requested_backoff_seconds(head)
        if backoff_seconds > 0:
            self.state.placement.set_backoff(target_id, self.clock.monotonic() + backoff_seconds)
        if leaves or backoff_seconds > 0:
            log_event(Event.TARGET_NOTICE, target=target_id, leaving=leaves, rest=backoff_seconds)
            self.state.send(
                exchange.target_request.scheduler, TargetNotice(target_id, leaves, backoff_seconds)
            )

    def handle_rate_limit(self, exchange: Exchange, head: AnswerHead) -> None:
        """Record the request rate that a target announces, or that its answer no longer names one."""
        limit = announced_rate_limit(head)
        if limit < math.inf or has_seal(head):
            attempt = exchange.attempt
            self.state.record_rate_limit(
                attempt.target.target_id,
                limit,
                sent_at=attempt.started_at,
                scheduler=exchange.target_request.scheduler,
            )

    @handler("AnswerPartReceived")
    def on_answer_part(self, key: AttemptKey, data: bytes) -> None:
        """Forward a part of an answer, or buffer it while it can't be forwarded yet."""
        exchange = self.find_exchange(key)
        if exchange is None:
            return
        attempt = exchange.attempt
        now = self.clock.monotonic()
        if exchange.is_stream and has_usable_body(attempt.head):
            part = exchange.relay.feed(data)
            if part:
                # Only whole events count as activity: a stalled target may still send single bytes.
                attempt.last_received_at = now
                self.record_first_output(exchange)
                exchange.record_event(now)
                self.forward(exchange, part)
            if exchange.relay.error:
                self.abort_attempt(exchange, exchange.relay.error)
                return
        elif exchange.is_head_sent and not exchange.relay.event_count:
            attempt.last_received_at = now
            self.forward(exchange, data)
        else:
            attempt.last_received_at = now
            self.buffer(exchange, data)
        if (
            attempt.unused_bytes > MAXIMUM_UNUSED_BYTES
            or max(len(attempt.buffer), len(exchange.relay.buffer)) > MAXIMUM_BUFFERED_BYTES
        ):
            self.abort_attempt(exchange, "too many bytes that are no answer")

    def abort_attempt(self, exchange: Exchange, reason: str) -> None:
        """Cancel an attempt whose target sends bytes that are no answer to its request."""
        attempt = self.requests.stop_attempt(exchange, Outcome.FAILED)
        self.requests.handle_attempt_failure(exchange, attempt, AttemptFailure(reason, may_have_run=True))

    def buffer(self, exchange: Exchange, data: bytes) -> None:
        """Buffer a part of an answer, discard it if it has no use, or forward it if it becomes too large."""
        attempt = exchange.attempt
        if not has_usable_body(attempt.head):
            attempt.unused_bytes += len(data)
            return
        attempt.buffer += data
        if len(attempt.buffer) > MAXIMUM_BUFFERED_BYTES and self.can_forward(exchange):
            self.forward(exchange, bytes(attempt.buffer))
            attempt.buffer.clear()

    def can_forward(self, exchange: Exchange) -> bool:
        """Return whether the current answer may be forwarded to the caller."""
        head = exchange.attempt.head
        return has_seal(head) and has_usable_body(head) and not exchange.is_head_sent

    def record_first_output(self, exchange: Exchange) -> None:
        """Record the first output of an attempt, with which the engine has finished reading the prompt."""
        attempt = exchange.attempt
        if attempt.has_output:
            return
        attempt.has_output = True
        self.requests.withdraw_replacement(exchange)
        self.state.record_stream_begun(exchange.target_request, attempt.target, attempt.last_received_at)
        self.metrics.first_output.observe({}, attempt.last_received_at - exchange.arrived_at)
        self.state.scheduler_client.report_first_output(
            exchange.target_request.request_id, attempt.last_received_at
        )

    def forward(self, exchange: Exchange, part: bytes) -> None:
        """Send a part of the answer to the caller, after the head."""
        self.send_head(exchange)
        self.fire(SendPart(exchange.request_id, part), CALLERS)

    def send_head(self, exchange: Exchange) -> None:
        """Send the head of the answer once; a later attempt only continues the content."""
        if exchange.is_head_sent:
            return
        exchange.is_head_sent = True
        head = exchange.attempt.head
        length = None if exchange.is_stream else head.content_length
        self.fire(
            SendHead(exchange.request_id, head.status, end_to_end_headers(head.headers), length), CALLERS
        )

    @handler("AttemptSendDelayed")
    def on_send_delayed(self, key: AttemptKey) -> None:
        """Tell the scheduler of a request that could not be sent yet."""
        exchange = self.find_exchange(key)
        if exchange is not None:
            self.state.scheduler_client.report_send_delayed(exchange.target_request.request_id)

    @handler("AttemptEnded")
    def on_answer_ended(self, key: AttemptKey, end: AttemptResult, detail: str = "") -> None:
        """Complete the exchange, or handle the failure of its attempt."""
        exchange = self.find_exchange(key)
        if exchange is None:
            return
        failure = classify_failure(
            exchange.attempt, end, detail, request_id=exchange.fields.caller_request_id
        ) or self.stream_failure(exchange, end)
        attempt = self.requests.close_attempt(
            exchange,
            target_outcome(exchange.attempt, failure),
            may_have_run=failure is None or failure.may_have_run,
        )
        if failure is None:
            self.complete_exchange(exchange, attempt)
            return
        if failure.is_unreachable:
            self.suspend_target(attempt, detail)
        self.requests.handle_attempt_failure(exchange, attempt, failure)

    def stream_failure(self, exchange: Exchange, end: AttemptResult) -> AttemptFailure | None:
        """Return why a complete answer can't end the stream of an exchange, None if it can.

        A stream that ends inside an event has been broken off, as has one without a length that is closed
        before its first event. One that ends before an event of which an earlier attempt has sent a part is
        not whole. Only a stream can continue one that the caller has already received in part.
        """
        head = exchange.attempt.head
        if is_event_stream(head) and exchange.relay.buffer:
            return AttemptFailure(
                "cut: the stream ended inside an event",
                may_have_run=True,
                is_cut=end is AttemptResult.CLOSED,
            )
        if is_event_stream(head) and end is AttemptResult.CLOSED and exchange.relay.awaits_first_event:
            return AttemptFailure(
                "cut: the stream ended before its first event", may_have_run=True, is_cut=True
            )
        if is_event_stream(head) and exchange.relay.has_partial_event:
            return AttemptFailure("the stream ended before an event that had begun", may_have_run=True)
        if exchange.relay.event_count and not (is_event_stream(head) and has_seal(head)):
            return AttemptFailure(f"status {head.status} instead of the rest of a stream", may_have_run=True)
        return None

    def suspend_target(self, attempt: TargetAttempt, reason: str) -> None:
        """Request no grants for a while on a target that could not be reached or did not answer."""
        now = self.clock.monotonic()
        target_id = attempt.target.target_id
        health = self.state.health_of(target_id)
        if not health.is_suspended(now):
            health.record_unreachable(self.state.settings, now)
            log_event(
                Event.TARGET_SUSPENDED,
                target=target_id,
                reason=reason,
                failures=health.failures,
                seconds=round(health.suspended_until - now, 3),
            )

    def complete_exchange(self, exchange: Exchange, attempt: TargetAttempt) -> None:
        """Finish a complete answer, or treat it as a failure if it is a server error and may be retried."""
        head = attempt.head
        if head.status in SERVER_ERROR_STATUSES and can_retry(exchange):
            failure = AttemptFailure(f"status {head.status}", may_have_run=True)
            self.requests.handle_attempt_failure(exchange, attempt, failure)
            return
        self.requests.remove_exchange(exchange)
        if exchange.is_head_sent:
            self.fire(SendEnd(exchange.request_id), CALLERS)
        else:
            body = bytes(attempt.buffer)
            answer = SendAnswer(exchange.request_id, head.status, end_to_end_headers(head.headers), body)
            self.fire(answer, CALLERS)
        self.requests.log_outcome(Event.REQUEST_FINISHED, exchange, status=head.status)

    @handler("DeadlineReached")
    def on_due(self, _subject: object) -> None:
        """Check the open requests for silent targets, slow streams and streams that wait for a target."""
        self.requests.is_check_scheduled = False
        self.requests.repeat_due_requests()
        self.replace_silent_attempts()
        self.check_stream_progress()
        if self.requests.exchanges:
            self.requests.schedule_check()

    def check_stream_progress(self) -> None:
        """Tell the schedulers how much faster streams must become to end in time."""
        now = self.clock.monotonic()
        if now < self.progress_checked_at + PROGRESS_INTERVAL_SECONDS:
            return
        self.progress_checked_at = now
        for exchange in self.requests.exchanges.values():
            attempt = exchange.attempt
            if attempt is None or not attempt.has_output:
                continue
            seconds = now - exchange.progress_checked_at
            if seconds < MINIMUM_PROGRESS_SECONDS:
                continue
            events = exchange.relay.event_count - exchange.progress_event_count
            is_first = exchange.progress_checked_at < attempt.started_at
            exchange.progress_checked_at, exchange.progress_event_count = now, exchange.relay.event_count
            if not is_first:
                speedup = self.needed_speedup(exchange, max(events, 1) / seconds, now)
                self.state.scheduler_client.report_stream_progress(
                    exchange.target_request.request_id, speedup
                )

    def needed_speedup(self, exchange: Exchange, events_per_second: float, now: float) -> float:
        """Return the factor by which a stream must speed up to end in time, 0 to ask for no change."""
        service = self.state.placement.services.get(exchange.target_request.service)
        if service is None or service.engine is None:
            return 0.0
        engine = service.engine
        tokens_left = (
            exchange.fields.expected_output_tokens - engine.event_tokens * exchange.relay.event_count
        )
        seconds_left = exchange.target_request.give_up_at - now - STREAM_END_MARGIN_SECONDS
        if tokens_left <= 0 or seconds_left <= 0:
            return 0.0
        return tokens_left / engine.event_tokens / seconds_left / events_per_second

    def replace_silent_attempts(self) -> None:
        """Request another target for requests whose target has been silent for too long.

        The attempt at the silent target goes on until another one is granted.
        """
        now = self.clock.monotonic()
        for exchange in list(self.requests.exchanges.values()):
            attempt = exchange.attempt
            if not is_silent(exchange, now):
                self.requests.withdraw_replacement(exchange)
            elif (
                exchange.replacement is None
                and now >= exchange.replacement_due_at
                and can_retry(exchange)
                and self.state.scheduler_client.may_repeat.get(exchange.target_request.pool, True)
            ):
                if attempt.head is None and exchange.replacement_due_at <= attempt.started_at:
                    self.suspend_target(attempt, "silent")
                self.requests.request_replacement(exchange, now)
