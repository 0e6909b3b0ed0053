"""Answers of targets on their way to callers."""

from circuits.core import BaseComponent, handler

from limpetusher.clock import Clock
from limpetusher.events import Event
from limpetusher.fleet.messages import Outcome, TargetNotice
from limpetusher_router.connection.framing import AnswerHead
from limpetusher_router.events import (
    ANSWERS,
    CALLERS,
    AttemptEnd,
    SendAnswer,
    SendEnd,
    SendHead,
    SendPart,
)
from limpetusher_router.fleet.exchange import Exchange, TargetAttempt
from limpetusher_router.fleet.outcomes import (
    SERVER_ERRORS,
    Failure,
    can_repeat,
    failure_of,
    outcome_of,
    silence_limit,
)
from limpetusher_router.fleet.requests import FleetRequests
from limpetusher_router.fleet.state import FleetState
from limpetusher_router.platform.requests import (
    announced_rest,
    is_leaving,
    is_sealed,
    passed_headers,
    says_not_run,
)
from limpetusher_router.process.logs import log_event
from limpetusher_router.process.metrics import Metrics

PROGRESS_SECONDS = 0.5
"""Time between two reports on the streams of this router; sent together, they share datagrams."""
LEAST_PROGRESS_SECONDS = 0.25
"""Time of a stream from which its pace is reported."""
END_MARGIN_SECONDS = 0.5
"""Time by which a stream is to end before its caller gives up."""
HELD_ANSWER_BYTES = 65_536
USELESS_BYTES = 1 << 20
"""Bytes that can't be passed on, after which an answer is given up: an event without an end, or a body whose
head has no seal."""

AttemptKey = tuple[str, int]


class TargetAnswers(BaseComponent):
    """Passes answers on to callers, and hands failed attempts back to the requests.

    Parameters
    ----------
    requests
        Requests of this router.
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
        self.progress_at = 0.0

    @property
    def state(self) -> FleetState:
        """Return what the router knows of the fleet."""
        return self.requests.state

    def find(self, key: AttemptKey) -> Exchange | None:
        """Return the exchange whose present attempt has the key."""
        exchange = self.requests.exchanges.get(key[0])
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
        self.state.health_of(attempt.target.target_id).reached(self.state.settings, attempt.heard_at)
        self.take_notice(exchange, head)

    def take_notice(self, exchange: Exchange, head: AnswerHead) -> None:
        """Take what a target says of itself, and tell its scheduler."""
        target_id = exchange.attempt.target.target_id
        leaves = is_leaving(head) and self.state.placement.note_leaving(target_id)
        rest = announced_rest(head)
        if rest > 0:
            self.state.placement.note_resting(target_id, self.clock.monotonic() + rest)
        if leaves or rest > 0:
            log_event(Event.TARGET_NOTICE, target=target_id, leaving=leaves, rest=rest)
            self.state.send(exchange.asked.scheduler, TargetNotice(target_id, leaves, rest))

    @handler("AnswerPart")
    def on_answer_part(self, key: AttemptKey, data: bytes) -> None:
        """Pass a part of an answer on."""
        exchange = self.find(key)
        if exchange is None:
            return
        attempt = exchange.attempt
        now = self.clock.monotonic()
        if exchange.is_stream and is_sealed(attempt.head):
            part = exchange.relay.feed(data)
            if part:
                # Only whole events count: a stalled stream may still send a byte now and then.
                attempt.heard_at = now
                self.note_output(exchange)
                exchange.note_event(now)
                self.pass_on(exchange, part)
        elif exchange.answer_begun and not exchange.relay.events:
            attempt.heard_at = now
            self.pass_on(exchange, data)
        else:
            attempt.heard_at = now
            attempt.held += data
            if len(attempt.held) > HELD_ANSWER_BYTES and self.may_pass(exchange):
                self.pass_on(exchange, bytes(attempt.held))
                attempt.held.clear()
        if max(len(attempt.held), len(exchange.relay.held)) > USELESS_BYTES:
            self.requests.stop_attempt(exchange, Outcome.FAILED)
            failure = Failure("too many bytes that are no answer", may_have_run=True)
            self.requests.attempt_failed(exchange, attempt, failure)

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
        self.metrics.first_output.observe({}, attempt.heard_at - exchange.arrived_at)
        self.state.asking.reading(exchange.request_id)

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
        failure = failure_of(exchange.attempt, end, detail)
        attempt = self.requests.close_attempt(exchange, outcome_of(exchange.attempt, failure))
        if failure is None:
            self.complete(exchange, attempt)
            return
        if failure.is_unreachable:
            self.suspend(attempt, detail)
        self.requests.attempt_failed(exchange, attempt, failure)

    def suspend(self, attempt: TargetAttempt, reason: str) -> None:
        """Ask for no grants for a while at a target that could not be reached or did not answer."""
        now = self.clock.monotonic()
        target_id = attempt.target.target_id
        health = self.state.health_of(target_id)
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
        if head.status in SERVER_ERRORS and (exchange.answer_begun or can_repeat(exchange)):
            failure = Failure(f"status {head.status}", may_have_run=True)
            self.requests.attempt_failed(exchange, attempt, failure)
            return
        self.requests.end(exchange)
        if exchange.answer_begun:
            rest = exchange.relay.rest()
            if rest:
                self.fire(SendPart(exchange.request_id, rest), CALLERS)
            self.fire(SendEnd(exchange.request_id), CALLERS)
        else:
            body = bytes(attempt.held) or exchange.relay.rest()
            answer = SendAnswer(exchange.request_id, head.status, passed_headers(head.headers), body)
            self.fire(answer, CALLERS)
        self.requests.log_end(Event.REQUEST_FINISHED, exchange, status=head.status)

    @handler("Due")
    def on_due(self, _subject: object) -> None:
        """Look for silent targets."""
        self.requests.is_check_due = False
        self.check_silence()
        self.check_progress()
        if self.requests.exchanges:
            self.requests.check_soon()

    def check_progress(self) -> None:
        """Tell the schedulers of the streams that are slow for their callers' time."""
        now = self.clock.monotonic()
        if now < self.progress_at + PROGRESS_SECONDS:
            return
        self.progress_at = now
        for exchange in self.requests.exchanges.values():
            attempt = exchange.attempt
            if attempt is None or not attempt.has_output:
                continue
            seconds = now - exchange.progress_at
            if seconds < LEAST_PROGRESS_SECONDS:
                continue
            events = exchange.relay.events - exchange.progress_events
            is_first = exchange.progress_at < attempt.started_at
            exchange.progress_at, exchange.progress_events = now, exchange.relay.events
            if not is_first:
                speedup = self.needed_speedup(exchange, max(events, 1) / seconds, now)
                self.state.asking.progress(exchange.request_id, speedup)

    def needed_speedup(self, exchange: Exchange, events_per_second: float, now: float) -> float:
        """Return how many times as fast a stream has to come to end within its caller's time."""
        engine = self.state.placement.services[exchange.asked.service].engine
        if engine is None:
            return 0.0
        tokens_left = exchange.fields.expected_output - engine.event_tokens * exchange.relay.events
        seconds_left = exchange.asked.give_up_at - now - END_MARGIN_SECONDS
        if tokens_left <= 0 or seconds_left <= 0:
            return 0.0
        return tokens_left / engine.event_tokens / seconds_left / events_per_second

    def check_silence(self) -> None:
        """Send repeatable requests to another target when theirs is silent."""
        now = self.clock.monotonic()
        for exchange in list(self.requests.exchanges.values()):
            attempt = exchange.attempt
            if attempt is None or not can_repeat(exchange):
                continue
            limit = silence_limit(exchange)
            if now - attempt.heard_at < limit:
                continue
            if not self.state.asking.may_repeat.get(exchange.asked.pool, True):
                # A slow answer is better than one that is broken off and can't go on elsewhere.
                continue
            outcome = Outcome.UNREACHABLE if attempt.head is None else Outcome.FAILED
            self.requests.stop_attempt(exchange, outcome)
            if attempt.head is None:
                self.suspend(attempt, "silent")
            silent = Failure(f"silent: no output for {limit:.2f} s", may_have_run=True)
            self.requests.attempt_failed(exchange, attempt, silent)
