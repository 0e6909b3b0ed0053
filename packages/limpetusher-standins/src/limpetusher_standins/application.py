"""Stand-in for an application service (crew dispatch, status lookup, bookings)."""

import asyncio
import enum
import hashlib
import logging
import time
import uuid
from collections import deque
from dataclasses import asdict, dataclass

from limpetusher_standins.engine import CUSTOMER_HEADER
from limpetusher_standins.http_server import (
    AbortConnection,
    HttpRequest,
    HttpResponse,
    HttpServer,
    error_response,
    json_response,
)

MAXIMUM_RECORDED_CALLS = 100_000

logger = logging.getLogger(__name__)


class FailureMode(enum.StrEnum):
    """How a call fails."""

    NONE = "none"
    CUT_BEFORE_RUN = "cut_before_run"
    """The connection breaks after the request was read; the call does not run."""
    CUT_AFTER_RUN = "cut_after_run"
    """The call runs; the connection breaks before the answer."""
    CUT_WITHIN_ANSWER = "cut_within_answer"
    """The call runs; the connection breaks after half of the answer."""
    ERROR_STATUS = "error_status"
    """The call does not run and is answered with status 503."""


@dataclass(slots=True)
class RecordedCall:
    """A call that ran."""

    call_id: str
    request_id: str
    customer: str
    idempotency_key: str
    method: str
    path: str
    body_digest: str
    started: float
    ended: float | None = None


class Application:
    """Application service behind one HTTP port; it runs every call on any path.

    Parameters
    ----------
    name
        Name of this replica, sent in its answers.
    delay_seconds
        Time that a call takes.
    """

    def __init__(self, name: str, delay_seconds: float):
        self.name = name
        self.delay_seconds = delay_seconds
        self.failure = FailureMode.NONE
        self.failures_left = 0
        self.boot_id = uuid.uuid4().hex[:16]
        self.calls: deque[RecordedCall] = deque(maxlen=MAXIMUM_RECORDED_CALLS)
        self.received_calls = 0
        self.running = 0
        self.maximum_running = 0
        self.measured_at = 0
        self.server = HttpServer(self.handle)

    async def run(self, address: str) -> None:
        """Serve on `address` until cancelled."""
        logger.info("application listens on %s", await self.server.start(address))
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            await self.server.stop()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        match (request.method, request.path):
            case ("GET", "/load"):
                return self.serve_load()
            case ("GET", "/record"):
                return json_response(
                    {
                        "calls": [asdict(call) for call in self.calls],
                        "received": self.received_calls,
                        "maximum_running": self.maximum_running,
                    }
                )
            case ("POST", "/control"):
                return self.handle_control(request.json())
        return await self.run_call(request)

    def serve_load(self) -> HttpResponse:
        """Answer with the current load."""
        self.measured_at += 1
        return json_response(
            {
                "running": self.running,
                "warm": True,
                "boot_id": self.boot_id,
                "slots": 0,
                "highest_fencing_number": 0,
                "loaded_models": [],
                "measured_at": self.measured_at,
                "report_age_seconds": 0.0,
            }
        )

    def handle_control(self, options: dict) -> HttpResponse:
        """Set the delay, and the failure of the next `count` calls."""
        self.delay_seconds = float(options.get("delay_seconds", self.delay_seconds))
        if "failure" in options:
            self.failure = FailureMode(options["failure"])
            self.failures_left = int(options.get("count", 1))
        return json_response({"delay_seconds": self.delay_seconds, "failure": self.failure})

    def next_failure(self) -> FailureMode:
        """Return how the current call fails."""
        if self.failures_left == 0:
            return FailureMode.NONE
        self.failures_left -= 1
        return self.failure

    async def run_call(self, request: HttpRequest) -> HttpResponse:
        """Run one call and answer with its identifier."""
        self.received_calls += 1
        failure = self.next_failure()
        if failure == FailureMode.CUT_BEFORE_RUN:
            raise AbortConnection
        if failure == FailureMode.ERROR_STATUS:
            return error_response(503, "set to fail", {"retry-after": "1"})
        call = self.record_call(request)
        self.running += 1
        self.maximum_running = max(self.maximum_running, self.running)
        try:
            await asyncio.sleep(self.delay_seconds)
        finally:
            self.running -= 1
            call.ended = time.time()
        if failure == FailureMode.CUT_AFTER_RUN:
            raise AbortConnection
        answer = json_response(
            {
                "call_id": call.call_id,
                "method": call.method,
                "path": call.path,
                "body_digest": call.body_digest,
                "replica": self.name,
            },
            headers={"x-request-id": call.request_id},
        )
        if failure == FailureMode.CUT_WITHIN_ANSWER:
            await self.write_truncated_answer(request, answer)
        return answer

    def record_call(self, request: HttpRequest) -> RecordedCall:
        """Record that a call runs; its identifier comes from the query, else from the body."""
        call_id = request.query.get("call_id")
        if call_id is None and request.body:
            call_id = request.json().get("call_id")
        headers = request.headers
        call = RecordedCall(
            call_id=call_id or "",
            request_id=headers.get("x-request-id", ""),
            customer=headers.get(CUSTOMER_HEADER, ""),
            idempotency_key=headers.get("idempotency-key", ""),
            method=request.method,
            path=request.path,
            body_digest=hashlib.sha256(request.body).hexdigest(),
            started=time.time(),
        )
        self.calls.append(call)
        return call

    async def write_truncated_answer(self, request: HttpRequest, answer: HttpResponse) -> None:
        """Write the head and half of the body, then break the connection."""
        head = (
            f"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {len(answer.body)}\r\n\r\n"
        )
        request.writer.write(head.encode() + answer.body[: len(answer.body) // 2])
        await request.writer.drain()
        await asyncio.sleep(0.05)
        raise AbortConnection
