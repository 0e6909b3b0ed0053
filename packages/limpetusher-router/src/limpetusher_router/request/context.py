"""Context of one caller's request: its attempts, the requests to targets and the state of its answer."""

from dataclasses import dataclass, field

from limpetusher.configuration.compiled import Customer
from limpetusher_router.connection.framing import RequestHead
from limpetusher_router.events import REQUESTS, Attempt
from limpetusher_router.process.tracing import RequestTrace
from limpetusher_router.request.parsing import ServiceRequest
from limpetusher_router.request.relay import AnswerRelay

CANCEL_IDLE_SECONDS = 2.0
CUSTOMER_HEADER = "x-limpetusher-customer"
FORWARDED_REQUEST_HEADERS = ("content-type", "accept", "accept-language", "idempotency-key")
FORWARDED_ANSWER_HEADERS = (
    "content-type",
    "content-encoding",
    "content-language",
    "cache-control",
    "location",
    "retry-after",
    "etag",
)
NOT_RUN_STATUSES = frozenset({429, 503})


@dataclass(frozen=True, slots=True)
class ReplayableAnswer:
    """An answer that is stored for replays; `body` is None for one that is not stored."""

    content_type: str = ""
    body: bytes | None = None


NOT_REPLAYABLE = ReplayableAnswer()


@dataclass(slots=True)
class TargetAttempt:
    """An attempt to run a request on a target."""

    number: int
    target_id: str
    address: str
    started_at: float
    sent: bool = False
    """Whether at least one byte of the request was sent."""
    relay: AnswerRelay | None = None
    progress_reported_at: float = 0.0
    resumptions: int = 0
    resuming: bool = False
    """Whether the engine was asked for the rest of a stream and has not answered yet."""


@dataclass(slots=True)
class RequestContext:
    """A caller's request and its current attempt; times are readings of the monotonic clock."""

    request_id: str
    head: RequestHead
    body: bytes | memoryview
    customer: Customer
    request: ServiceRequest
    arrived_at: float
    trace: RequestTrace
    attempt: TargetAttempt | None = None
    caller_disconnected: bool = False
    answer_started: bool = False
    stream_started: bool = False
    """Whether the answer that has started is a stream, which can end with an error event."""
    caller_blocked: bool = False
    any_attempt_sent: bool = field(default=False)
    """Whether any attempt sent a byte, so that the request may have run."""

    def build_target_head(self, address: str, traceparent: str) -> bytes:
        """Return the head of the request that is sent to a target, as bytes."""
        headers = {
            name: self.head.headers[name] for name in FORWARDED_REQUEST_HEADERS if name in self.head.headers
        }
        headers["host"] = address
        headers["x-request-id"] = self.request_id
        headers[CUSTOMER_HEADER] = self.customer.customer_id
        headers["traceparent"] = traceparent
        if self.body or self.request.method not in ("GET", "HEAD"):
            headers["content-length"] = str(len(self.body))
        lines = [f"{self.request.method} {self.request.target_path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return "\r\n".join([*lines, "", ""]).encode("latin-1")

    def build_stream_cancellation(self) -> Attempt:
        """Return the attempt that asks the engine to cancel the stream of the current attempt."""
        address = self.attempt.address
        lines = [f"POST /streams/{self.request_id}/cancel HTTP/1.1", f"host: {address}", "content-length: 0"]
        return Attempt(
            key=("cancel", self.request_id),
            channel=REQUESTS,
            address=address,
            request="\r\n".join([*lines, "", ""]).encode("latin-1"),
            idle_timeout_seconds=CANCEL_IDLE_SECONDS,
        )

    def cost_so_far(self) -> float | None:
        """Return the cost of an incomplete answer, None when it is not known."""
        relay = self.attempt.relay
        if relay is None or not relay.is_stream:
            return None
        return self.request.prompt_cost + relay.generated_tokens

    def replayable_answer(self, limit: int) -> ReplayableAnswer:
        """Return the complete answer to store for replays.

        Only answers to requests with an idempotency key are stored, and only up to `limit` bytes.
        """
        relay = self.attempt.relay
        if self.request.idempotency_key is None or relay.has_forwarded or len(relay.buffer) > limit:
            return NOT_REPLAYABLE
        return ReplayableAnswer(relay.head.headers.get("content-type", ""), bytes(relay.buffer))

    def answer_headers(self, relay: AnswerRelay) -> dict[str, str]:
        """Return the header fields of the answer as they are sent to the caller."""
        target_headers = relay.head.headers
        headers = {name: target_headers[name] for name in FORWARDED_ANSWER_HEADERS if name in target_headers}
        headers["x-request-id"] = self.request_id
        return headers

    def reports_not_run(self, relay: AnswerRelay) -> bool:
        """Return whether the status of the answer states that the request did not run.

        Always false for requests that are not idempotent: an application may answer 503 after it has run a
        call, and such a call must not be repeated.
        """
        return self.request.idempotent and relay.head.status in NOT_RUN_STATUSES
