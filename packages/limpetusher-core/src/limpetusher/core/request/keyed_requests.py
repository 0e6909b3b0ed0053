"""Connects requests that have an idempotency key to the key protocol and carries out its results."""

import math
from collections.abc import Callable, Iterable

from limpetusher.core.actions import Replay
from limpetusher.core.context import Context
from limpetusher.core.inputs import Outcome, ResponseEnded
from limpetusher.core.refusals import Ran
from limpetusher.core.request.admission import Refusal
from limpetusher.core.request.idempotency import (
    AttemptAdmitted,
    AttemptRejected,
    KeyProtocolResult,
    SendKeyMessage,
    WitnessReady,
)
from limpetusher.core.request.record import RequestRecord
from limpetusher.events import Event
from limpetusher.wire.messages import PeerPayload


class KeyedRequests:
    """Registers the keys of requests before dispatch and reports outcomes; ignores requests without a key.

    Parameters
    ----------
    context
        Shared state of the decision core.
    admit, refuse, forget
        Called with the request's identifier when the request may be queued, is refused, or was answered by
        replay.
    """

    def __init__(
        self,
        context: Context,
        admit: Callable[[str], None],
        refuse: Callable[[str, Refusal], None],
        forget: Callable[[str], None],
    ):
        self.context = context
        self.admit = admit
        self.refuse = refuse
        self.forget = forget

    def apply_results(self, results: Iterable[KeyProtocolResult]) -> None:
        """Carry out results of the key protocol."""
        context = self.context
        for result in results:
            match result:
                case SendKeyMessage():
                    context.send(result.peer, result.payload)
                case AttemptAdmitted():
                    self.admit(result.request_id)
                case AttemptRejected():
                    refusal = Refusal(
                        result.status, result.code, result.message, result.ran, result.retry_after_seconds
                    )
                    self.refuse(result.request_id, refusal)
                case Replay():
                    context.actions.append(result)
                    self.forget(result.request_id)
                case WitnessReady():
                    context.log(Event.WITNESS_READY)

    def handle(self, sender: str, payload: PeerPayload) -> None:
        """Handle a message of the key protocol from another router."""
        self.apply_results(self.context.key_protocol.handle(sender, payload, self.context.now))

    def run_due(self) -> None:
        """Run the timers of the key protocol that are due."""
        self.apply_results(self.context.key_protocol.run_due(self.context.now))

    def register(self, record: RequestRecord) -> None:
        """Register the key of a request with its witnesses."""
        self.apply_results(self.context.key_protocol.register(record.request, self.context.now))

    def send_before(self, record: RequestRecord) -> float:
        """Return the time before which the request may be sent, infinity if its key needs no registration."""
        if not record.requires_registration:
            return math.inf
        limit = self.context.key_protocol.send_before(record.request_id)
        return limit if limit is not None else -math.inf

    def record_dispatch(self, record: RequestRecord) -> None:
        """Record that the request was handed to the process for dispatch."""
        if record.requires_registration:
            self.context.key_protocol.mark_sent(record.request_id, self.context.now)

    def record_attempt_end(self, record: RequestRecord, message: ResponseEnded) -> None:
        """Record how an attempt ended; `end_without_answer` is called too if the answer was not complete."""
        if not record.requires_registration:
            return
        if message.outcome is Outcome.COMPLETE:
            results = self.context.key_protocol.end_attempt(
                record.request_id,
                Ran.YES,
                self.context.now,
                http_status=message.status or 0,
                content_type=message.content_type,
                body=message.body,
            )
            self.apply_results(results)
        elif message.outcome is Outcome.NOT_SENT:
            self.context.key_protocol.mark_not_sent(record.request_id, self.context.now)

    def end_without_answer(self, record: RequestRecord, ran: Ran) -> None:
        """Record that the request ended without a complete answer and will not be sent again."""
        if record.requires_registration:
            self.apply_results(
                self.context.key_protocol.end_attempt(record.request_id, ran, self.context.now)
            )
