"""Stand-in for a model engine."""

import asyncio
import json
import logging
import time
import uuid
from collections import deque
from collections.abc import AsyncIterator

from limpetusher_standins import http_client
from limpetusher_standins.engine_batch import (
    Batch,
    EngineOverloadedError,
    EngineSettings,
    Stream,
    StreamState,
)
from limpetusher_standins.http_server import (
    AbortConnection,
    HttpRequest,
    HttpResponse,
    HttpServer,
    error_response,
    json_response,
)

CUSTOMER_HEADER = "x-limpetusher-customer"
MAXIMUM_RECORDED_STREAMS = 100_000
STEP_INTERVAL_SECONDS = 0.005
DISCONNECT_POLL_INTERVAL_SECONDS = 0.05
CONTROL_PATHS = ("/control", "/record", "/load")

logger = logging.getLogger(__name__)


class Engine:
    """Model engine behind one HTTP port.

    Parameters
    ----------
    settings
        Properties of the engine.
    """

    def __init__(self, settings: EngineSettings):
        self.settings = settings
        self.batch = Batch(settings, time.monotonic())
        self.server = HttpServer(self.handle)
        self.streams: dict[str, Stream] = {}
        self.recorded_streams: deque[Stream] = deque(maxlen=MAXIMUM_RECORDED_STREAMS)
        self.load_reports: deque[tuple[float, dict]] = deque(maxlen=1000)
        self.last_report_number = 0
        self.reader_counts: dict[Stream, int] = {}
        self.stream_progressed = asyncio.Event()
        self.orders: list[dict] = []
        self.highest_fencing_number = 0
        self.loaded_models = list(settings.models)
        self.role = "mixed"
        self.background_tasks: set[asyncio.Task] = set()

    async def run(self, address: str) -> None:
        """Serve on `address` until cancelled."""
        logger.info("engine listens on %s", await self.server.start(address))
        try:
            await asyncio.gather(self.step_forever(), self.report_forever())
        finally:
            await self.server.stop()

    async def step_forever(self) -> None:
        """Generate tokens as they become due and wake the readers of the streams."""
        while True:
            await asyncio.sleep(
                STEP_INTERVAL_SECONDS if self.batch.stream_count else STEP_INTERVAL_SECONDS * 2
            )
            if self.batch.stream_count and self.batch.advance(time.monotonic()):
                self.notify_readers()

    def notify_readers(self) -> None:
        """Wake all tasks that wait for the progress of a stream."""
        self.stream_progressed.set()
        self.stream_progressed = asyncio.Event()

    async def report_forever(self) -> None:
        """Add load reports at the report interval."""
        while True:
            self.add_load_report()
            await asyncio.sleep(self.settings.report_interval_seconds)

    def add_load_report(self) -> None:
        """Add a report of the current load."""
        now = time.monotonic()
        self.last_report_number += 1
        report = {
            "running": self.batch.stream_count,
            "waiting": len(self.batch.waiting),
            "warm": self.batch.is_warm(now),
            "boot_id": self.batch.boot_id,
            "slots": self.settings.slots,
            "highest_fencing_number": self.highest_fencing_number,
            "loaded_models": list(self.loaded_models),
            "role": self.role,
            "measured_at": self.last_report_number,
        }
        self.load_reports.append((now, report))

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        if time.monotonic() < self.batch.refuses_until and not request.path.startswith(CONTROL_PATHS):
            raise AbortConnection
        match (request.method, request.path.strip("/").split("/")):
            case ("POST", ["v1", "chat", "completions"]):
                return await self.handle_completion(request)
            case ("GET", ["load"]):
                return self.serve_load()
            case ("POST", ["streams", stream_id, "cancel"]):
                return self.cancel_stream(stream_id)
            case ("GET", ["streams", stream_id]):
                return self.resume_stream(stream_id, int(request.query.get("from", "0")))
            case ("POST", ["orders"]):
                return await self.handle_order(request.json())
            case ("GET", ["cache-events"]):
                after = int(request.query.get("after", "0"))
                return json_response({"events": self.batch.cache.events_after(after, time.monotonic())})
            case ("GET", ["record"]):
                return self.serve_record()
            case ("POST", ["control", "cold"]):
                return self.handle_turn_cold(request.json())
        return error_response(404, f"no such route: {request.method} {request.path}")

    async def handle_completion(self, request: HttpRequest) -> HttpResponse:
        """Run a chat-completions request."""
        body = request.json()
        if not self.is_model_loaded(body["model"]):
            return error_response(404, f"model {body['model']!r} is not loaded")
        request_id = request.headers.get("x-request-id") or uuid.uuid4().hex
        customer = request.headers.get(CUSTOMER_HEADER, "")
        try:
            stream = self.batch.submit(request_id, customer, body, time.monotonic())
        except EngineOverloadedError:
            logger.warning("overloaded while cold; restarted with boot id %s", self.batch.boot_id)
            self.drop_connections()
            raise AbortConnection from None
        self.streams[request_id] = stream
        if (
            len(self.recorded_streams) == MAXIMUM_RECORDED_STREAMS
            and self.streams.get(self.recorded_streams[0].stream_id) is self.recorded_streams[0]
        ):
            del self.streams[self.recorded_streams[0].stream_id]
        self.recorded_streams.append(stream)
        headers = {"x-request-id": request_id, "x-engine-boot-id": self.batch.boot_id}
        if body.get("stream"):
            return HttpResponse(
                content_type="text/event-stream", headers=headers, chunks=self.send_events(stream, 0)
            )
        await self.wait_until_complete(stream, request)
        return json_response(completion_document(stream), headers=headers)

    def is_model_loaded(self, model: str) -> bool:
        """Return whether any version of a model is loaded."""
        return not self.loaded_models or model in {name.partition("@")[0] for name in self.loaded_models}

    async def wait_until_complete(self, stream: Stream, request: HttpRequest) -> None:
        """Wait until a request that is not streamed ends; cancel it when its caller disconnects."""
        while stream.state == StreamState.RUNNING:
            await self.wait_for_progress()
            if request.is_caller_disconnected:
                self.batch.end_stream(stream, StreamState.CANCELLED, time.monotonic())
        if stream.state != StreamState.COMPLETE:
            raise AbortConnection

    async def wait_for_progress(self) -> None:
        """Wait until tokens were generated or streams ended, but at most the disconnect poll interval."""
        try:
            await asyncio.wait_for(self.stream_progressed.wait(), DISCONNECT_POLL_INTERVAL_SECONDS)
        except TimeoutError:
            return

    async def send_events(self, stream: Stream, position: int) -> AsyncIterator[bytes]:
        """Yield the server-sent events of a stream from event number `position` on."""
        self.reader_counts[stream] = self.reader_counts.get(stream, 0) + 1
        try:
            while True:
                if stream.state == StreamState.COMPLETE:
                    events = encode_events(stream, position)
                    if events:
                        yield b"".join(events)
                    return
                if stream.state != StreamState.RUNNING:
                    raise AbortConnection
                if stream.generated_tokens > position:
                    events = encode_events(stream, position)
                    position += len(events)
                    yield b"".join(events)
                else:
                    await self.wait_for_progress()
        finally:
            self.remove_reader(stream)

    def remove_reader(self, stream: Stream) -> None:
        """Remove a reader; a stream without readers for `resume_seconds` is cancelled."""
        self.reader_counts[stream] -= 1
        if self.reader_counts[stream] == 0:
            del self.reader_counts[stream]
            if stream.state == StreamState.RUNNING:
                loop = asyncio.get_running_loop()
                loop.call_later(self.settings.resume_seconds, self.cancel_unread, stream)

    def cancel_unread(self, stream: Stream) -> None:
        """Cancel a stream unless it has a reader again."""
        if stream not in self.reader_counts:
            self.batch.end_stream(stream, StreamState.CANCELLED, time.monotonic())

    def serve_load(self) -> HttpResponse:
        """Answer with the newest load report that is at least as old as the report lag."""
        now = time.monotonic()
        while (
            len(self.load_reports) > 1 and self.load_reports[1][0] <= now - self.settings.report_lag_seconds
        ):
            self.load_reports.popleft()
        if not self.load_reports:
            self.add_load_report()
        measured, report = self.load_reports[0]
        return json_response({**report, "report_age_seconds": round(now - measured, 4)})

    def cancel_stream(self, stream_id: str) -> HttpResponse:
        """Cancel a stream."""
        stream = self.streams.get(stream_id)
        if stream is None:
            return error_response(404, f"no such stream: {stream_id!r}")
        self.batch.end_stream(stream, StreamState.CANCELLED, time.monotonic())
        self.batch.admit_waiting(time.monotonic())
        self.notify_readers()
        return json_response({"id": stream_id, "state": stream.state})

    def resume_stream(self, stream_id: str, position: int) -> HttpResponse:
        """Continue a stream at event number `position`."""
        stream = self.streams.get(stream_id)
        if stream is None or stream.state in (StreamState.CANCELLED, StreamState.CUT):
            return error_response(404, f"no such stream: {stream_id!r}")
        return HttpResponse(
            content_type="text/event-stream",
            headers={"x-request-id": stream_id, "x-engine-boot-id": self.batch.boot_id},
            chunks=self.send_events(stream, position),
        )

    async def handle_order(self, order: dict) -> HttpResponse:
        """Carry out an order to load a model, adapter and version or to change role."""
        number = int(order["fencing_number"])
        accepted = number >= self.highest_fencing_number or not self.settings.checks_fencing_number
        self.highest_fencing_number = max(self.highest_fencing_number, number)
        self.orders.append({**order, "accepted": accepted, "at": time.time()})
        answer = {"accepted": accepted, "highest_fencing_number": self.highest_fencing_number}
        if not accepted:
            return json_response(answer, status=409)
        task = asyncio.create_task(self.load_model(order))
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)
        return json_response(answer)

    async def load_model(self, order: dict) -> None:
        """Fetch the weights from the weight store, then serve the model; the engine is cold from then on."""
        self.role = order.get("role") or self.role
        model, version = order["model"], order["version"]
        adapter = f"+{order['adapter']}" if order.get("adapter") else ""
        name = f"{model}@{version}{adapter}"
        if name in self.loaded_models:
            return
        if self.settings.weight_store:
            path = f"/weights/{model}/{version}"
            while (await http_client.request(self.settings.weight_store, "GET", path)).status == 429:
                await asyncio.sleep(1.0)
        if name not in self.loaded_models:
            self.loaded_models.append(name)
        self.batch.turn_cold(time.monotonic())

    def handle_turn_cold(self, options: dict) -> HttpResponse:
        """Turn cold without warning: by a restart, or, if `restart` is false, without interrupting work."""
        if options.get("restart", True):
            self.batch.restart(time.monotonic())
            self.drop_connections()
        else:
            self.batch.turn_cold(time.monotonic())
        return json_response({"boot_id": self.batch.boot_id})

    def drop_connections(self) -> None:
        """Abort the connections and discard the load reports from before the restart."""
        self.server.abort_connections(except_paths=CONTROL_PATHS)
        self.load_reports.clear()
        self.notify_readers()

    def serve_record(self) -> HttpResponse:
        """Answer with the requests, orders and overloads that tests check."""
        offset = time.time() - time.monotonic()
        requests = [
            {
                "request_id": stream.stream_id,
                "customer": stream.customer,
                "model": stream.body["model"],
                "state": stream.state,
                "prompt_tokens": stream.prompt_tokens,
                "cached_tokens": stream.cached_tokens,
                "generated_tokens": stream.generated_tokens,
                "started": stream.submitted_at + offset,
                "admitted": stream.admitted_at and stream.admitted_at + offset,
                "ended": stream.ended_at and stream.ended_at + offset,
            }
            for stream in self.recorded_streams
        ]
        return json_response(
            {
                "requests": requests,
                "maximum_running": self.batch.maximum_running,
                "overloads": self.batch.overloads,
                "orders": self.orders,
                "boot_id": self.batch.boot_id,
            }
        )


def usage_document(stream: Stream) -> dict:
    """Return the usage of a stream in the form of the chat-completions interface."""
    return {
        "prompt_tokens": stream.prompt_tokens,
        "completion_tokens": stream.generated_tokens,
        "total_tokens": stream.prompt_tokens + stream.generated_tokens,
        "prompt_tokens_details": {"cached_tokens": stream.cached_tokens},
    }


def completion_document(stream: Stream) -> dict:
    """Return the answer to a request that is not streamed."""
    message = {"role": "assistant", "content": "".join(stream.tokens[: stream.generated_tokens])}
    return {
        "id": f"chatcmpl-{stream.stream_id}",
        "object": "chat.completion",
        "created": int(time.time()),
        "model": stream.body["model"],
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        "usage": usage_document(stream),
    }


def encode_events(stream: Stream, position: int) -> list[bytes]:
    """Return the events from number `position` on: one for each token, then end, usage and `[DONE]`."""
    common = {
        "id": f"chatcmpl-{stream.stream_id}",
        "object": "chat.completion.chunk",
        "model": stream.body["model"],
    }
    events = []
    for token in stream.tokens[position : stream.generated_tokens]:
        choice = {"index": 0, "delta": {"content": token}, "finish_reason": None}
        events.append({**common, "choices": [choice]})
    encoded = [b"data: %b\n\n" % json.dumps(event).encode() for event in events]
    if stream.state == StreamState.COMPLETE:
        last = {**common, "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}]}
        closing = [last, {**common, "choices": [], "usage": usage_document(stream)}]
        tail = [b"data: %b\n\n" % json.dumps(event).encode() for event in closing]
        tail.append(b"data: [DONE]\n\n")
        encoded += tail[max(0, position - len(stream.tokens)) :]
    return encoded
