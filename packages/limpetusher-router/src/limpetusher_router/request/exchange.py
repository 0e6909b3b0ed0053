"""State of one caller's request in the router process."""

from dataclasses import dataclass, field

from limpetusher.configuration.compiled import Customer
from limpetusher_router.connection.framing import RequestHead
from limpetusher_router.events import REQUESTS, Attempt
from limpetusher_router.process.tracing import RequestTrace
from limpetusher_router.request.parsing import ServiceRequest
from limpetusher_router.request.relay import Relay

CANCEL_IDLE_SECONDS = 2.0
CUSTOMER_HEADER = "x-limpetusher-customer"
PASSED_REQUEST_HEADERS = ("content-type", "accept", "accept-language", "idempotency-key")
PASSED_ANSWER_HEADERS = (
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
class KeptAnswer:
    """An answer that may be replayed; `body` is None for one that is not kept."""

    content_type: str = ""
    body: bytes | None = None


NOTHING_KEPT = KeptAnswer()


@dataclass(slots=True)
class TargetAttempt:
    """An attempt of a request at a target."""

    number: int
    target_id: str
    address: str
    started_at: float
    sent: bool = False
    """Whether at least one byte was sent."""
    relay: Relay | None = None
    reported_at: float = 0.0
    resumptions: int = 0
    resuming: bool = False
    """Whether the engine was asked for the rest of a stream and has not answered yet."""


@dataclass(slots=True)
class Exchange:
    """A caller's request and its attempts; times are readings of the monotonic clock."""

    request_id: str
    head: RequestHead
    body: bytes
    customer: Customer
    request: ServiceRequest
    arrived_at: float
    trace: RequestTrace
    attempt: TargetAttempt | None = None
    caller_lost: bool = False
    answer_begun: bool = False
    stream_begun: bool = False
    """Whether the answer that has begun is a stream, which can end with an error event."""
    blocked: bool = False
    ever_sent: bool = field(default=False)
    """Whether any attempt sent a byte, so that the request may have run."""

    def target_request(self, address: str, traceparent: str) -> bytes:
        """Return the bytes of the request as it is sent to a target."""
        headers = {
            name: self.head.headers[name] for name in PASSED_REQUEST_HEADERS if name in self.head.headers
        }
        headers["host"] = address
        headers["x-request-id"] = self.request_id
        headers[CUSTOMER_HEADER] = self.customer.customer_id
        headers["traceparent"] = traceparent
        if self.body or self.request.method not in ("GET", "HEAD"):
            headers["content-length"] = str(len(self.body))
        lines = [f"{self.request.method} {self.request.target_path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + self.body

    def stream_cancellation(self) -> Attempt:
        """Return the exchange that asks the engine to end the stream of the present attempt."""
        address = self.attempt.address
        lines = [f"POST /streams/{self.request_id}/cancel HTTP/1.1", f"host: {address}", "content-length: 0"]
        return Attempt(
            key=("cancel", self.request_id),
            channel=REQUESTS,
            address=address,
            request="\r\n".join([*lines, "", ""]).encode("latin-1"),
            idle_seconds=CANCEL_IDLE_SECONDS,
        )

    def cost_so_far(self) -> float | None:
        """Return the cost of an answer that is not whole, None when it is not known."""
        relay = self.attempt.relay
        if relay is None or not relay.is_stream:
            return None
        return self.request.prompt_cost + relay.generated_tokens

    def kept_answer(self, limit: int) -> KeptAnswer:
        """Return the whole answer to a request with an idempotency key if it is short enough for a replay."""
        relay = self.attempt.relay
        if self.request.idempotency_key is None or relay.begun or len(relay.held) > limit:
            return NOTHING_KEPT
        return KeptAnswer(relay.head.headers.get("content-type", ""), bytes(relay.held))

    def answer_headers(self, relay: Relay) -> dict[str, str]:
        """Return the header fields of the answer as they are sent to the caller."""
        passed = relay.head.headers
        headers = {name: passed[name] for name in PASSED_ANSWER_HEADERS if name in passed}
        headers["x-request-id"] = self.request_id
        return headers

    def tells_not_run(self, relay: Relay) -> bool:
        """Return whether the target's answer says that the request did not run.

        Only idempotent requests are judged by the status: an application may answer 503 after it has run a
        call, and such a call must not be sent again.
        """
        return self.request.idempotent and relay.head.status in NOT_RUN_STATUSES
