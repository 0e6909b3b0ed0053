"""Base class of the components that fetch small documents from targets and the platform."""

from dataclasses import dataclass, field

from circuits.core import BaseComponent, handler

from limpetusher_router.connection.framing import AnswerHead
from limpetusher_router.events import (
    TARGETS,
    Attempt,
    AttemptEnded,
    AttemptResult,
    CancelAttempt,
    StartAttempt,
)

DOCUMENT_LIMIT_BYTES = 1_100_000


@dataclass(slots=True)
class FetchedDocument:
    """An answer that is being received. `error` is empty when the answer is complete."""

    status: int = 0
    body: bytearray = field(default_factory=bytearray)
    error: str = ""


class DocumentFetcher(BaseComponent):
    """Buffers answers and passes each to `on_fetched` when it is complete or has failed."""

    def __init__(self):
        super().__init__()
        self.pending_fetches: dict[tuple, FetchedDocument] = {}

    def on_fetched(self, key: tuple, answer: FetchedDocument) -> None:
        """Process an answer; implemented by each component."""
        raise NotImplementedError

    def fetch(
        self,
        key: tuple,
        address: str,
        path: str,
        *,
        idle_timeout_seconds: float,
        method: str = "GET",
        body: bytes = b"",
    ) -> None:
        """Start an exchange; its answer is passed to `on_fetched` together with the key."""
        lines = [f"{method} {path} HTTP/1.1", f"host: {address}", "accept: application/json"]
        if method != "GET":
            lines += ["content-type: application/json", f"content-length: {len(body)}"]
        request = "\r\n".join([*lines, "", ""]).encode("latin-1") + body
        self.pending_fetches[key] = FetchedDocument()
        attempt = Attempt(
            key=key,
            channel=self.channel,
            address=address,
            request=request,
            repeatable=method == "GET",
            idle_timeout_seconds=idle_timeout_seconds,
        )
        self.fire(StartAttempt(attempt), TARGETS)

    def cancel_fetch(self, key: tuple) -> None:
        """Cancel an exchange; `on_fetched` is not called for it."""
        if self.pending_fetches.pop(key, None) is not None:
            self.fire(CancelAttempt(key, self.channel), TARGETS)

    @handler("AnswerHeadReceived")
    def on_answer_started(self, key: tuple, head: AnswerHead) -> None:
        """Store the status of an answer."""
        if key in self.pending_fetches:
            self.pending_fetches[key].status = head.status

    @handler("AnswerPartReceived")
    def on_answer_part(self, key: tuple, data: bytes) -> None:
        """Append a part of an answer; cut one that is too long."""
        answer = self.pending_fetches.get(key)
        if answer is None:
            return
        answer.body += data
        if len(answer.body) > DOCUMENT_LIMIT_BYTES:
            self.fire(CancelAttempt(key, self.channel), TARGETS)
            detail = f"the answer is longer than {DOCUMENT_LIMIT_BYTES} bytes"
            self.fire(AttemptEnded(key, AttemptResult.CUT, detail), self.channel)

    @handler("AttemptEnded")
    def on_answer_ended(self, key: tuple, end: AttemptResult, detail: str) -> None:
        """Pass a complete answer, or the reason for its failure, to `on_fetched`."""
        answer = self.pending_fetches.pop(key, None)
        if answer is None:
            return
        if end is not AttemptResult.COMPLETE:
            answer.error = detail or end.value
        self.on_fetched(key, answer)
