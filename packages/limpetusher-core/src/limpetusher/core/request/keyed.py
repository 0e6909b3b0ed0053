"""Requests with an idempotency key: carries out what the witness part decides."""

import math
from collections.abc import Callable, Iterable

from limpetusher.core.actions import Replay
from limpetusher.core.context import Context
from limpetusher.core.inputs import Outcome, ResponseEnded
from limpetusher.core.refusals import Ran
from limpetusher.core.request.admission import Refusal
from limpetusher.core.request.idempotency import (
    Admitted,
    Rejected,
    Result,
    WitnessReady,
    WitnessSend,
)
from limpetusher.core.request.record import RequestRecord
from limpetusher.events import Event
from limpetusher.wire.messages import PeerPayload


class KeyedRequests:
    """Connects the requests of this router's callers to its witness part; those without a key pass through.

    Parameters
    ----------
    context
        The router's parts.
    admit, refuse, forget
        Called with the request's identifier when a request may wait, is refused, or was answered by replay.
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

    def apply(self, results: Iterable[Result]) -> None:
        """Carry out results of the witness part."""
        context = self.context
        for result in results:
            match result:
                case WitnessSend():
                    context.send(result.peer, result.payload)
                case Admitted():
                    self.admit(result.request_id)
                case Rejected():
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
        """Handle a message about keys."""
        self.apply(self.context.witness.handle(sender, payload, self.context.now))

    def due(self) -> None:
        """Do what the witness part has to do at this time."""
        self.apply(self.context.witness.due(self.context.now))

    def register(self, record: RequestRecord) -> None:
        """Register the key of a request with its witnesses."""
        self.apply(self.context.witness.register(record.request, self.context.now))

    def send_before(self, record: RequestRecord) -> float:
        """Return until when the request may be sent."""
        if not record.witnessed:
            return math.inf
        limit = self.context.witness.send_before(record.request_id)
        return limit if limit is not None else -math.inf

    def sending(self, record: RequestRecord) -> None:
        """Note that the request is handed out for sending."""
        if record.witnessed:
            self.context.witness.sent(record.request_id, self.context.now)

    def ended(self, record: RequestRecord, message: ResponseEnded) -> None:
        """Note how an attempt ended; `refused` follows for those that are not complete."""
        if not record.witnessed:
            return
        if message.outcome is Outcome.COMPLETE:
            results = self.context.witness.finished(
                record.request_id,
                Ran.YES,
                self.context.now,
                http_status=message.status or 0,
                content_type=message.content_type,
                body=message.body,
            )
            self.apply(results)
        elif message.outcome is Outcome.NOT_SENT:
            self.context.witness.not_sent(record.request_id, self.context.now)

    def refused(self, record: RequestRecord, ran: Ran) -> None:
        """Note that the request will not be sent again."""
        if record.witnessed:
            self.apply(self.context.witness.finished(record.request_id, ran, self.context.now))
