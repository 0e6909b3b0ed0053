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
    ConnectionCut,
    HttpRequest,
    HttpResponse,
    HttpServer,
    error_response,
    json_response,
)

CUSTOMER_HEADER = "x-limpetusher-customer"
KEPT_STREAMS = 100_000
LOOP_SECONDS = 0.005
DISCONNECT_POLL_SECONDS = 0.05
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
        self.record: deque[Stream] = deque(maxlen=KEPT_STREAMS)
        self.reports: deque[tuple[float, dict]] = deque(maxlen=1000)
        self.report_sequence = 0
        self.readers: dict[Stream, int] = {}
        self.progress = asyncio.Event()
        self.orders: list[dict] = []
        self.highest_fencing_number = 0
        self.loaded_models = list(settings.models)
        self.role = "mixed"
        self.background: set[asyncio.Task] = set()

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
            await asyncio.sleep(LOOP_SECONDS if self.batch.count else LOOP_SECONDS * 2)
            if self.batch.count and self.batch.advance(time.monotonic()):
                self.notify_readers()

    def notify_readers(self) -> None:
        """Wake everything that waits for the progress of a stream."""
        self.progress.set()
        self.progress = asyncio.Event()

    async def report_forever(self) -> None:
        """Take load reports at the report interval."""
        while True:
            self.take_report()
            await asyncio.sleep(self.settings.report_interval_seconds)

    def take_report(self) -> None:
        """Measure the load."""
        now = time.monotonic()
        self.report_sequence += 1
        report = {
            "running": self.batch.count,
            "waiting": len(self.batch.waiting),
            "warm": self.batch.is_warm(now),
            "boot_id": self.batch.boot_id,
            "slots": self.settings.slots,
            "highest_fencing_number": self.highest_fencing_number,
            "loaded_models": list(self.loaded_models),
            "role": self.role,
            "measured_at": self.report_sequence,
        }
        self.reports.append((now, report))

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        if time.monotonic() < self.batch.refuses_until and not request.path.startswith(CONTROL_PATHS):
            raise ConnectionCut
        match (request.method, request.path.strip("/").split("/")):
            case ("POST", ["v1", "chat", "completions"]):
                return await self.complete(request)
            case ("GET", ["load"]):
                return self.load()
            case ("POST", ["streams", stream_id, "cancel"]):
                return self.cancel(stream_id)
            case ("GET", ["streams", stream_id]):
                return self.resume(stream_id, int(request.query.get("from", "0")))
            case ("POST", ["orders"]):
                return await self.order(request.json())
            case ("GET", ["cache-events"]):
                after = int(request.query.get("after", "0"))
                return json_response({"events": self.batch.cache.events_after(after, time.monotonic())})
            case ("GET", ["record"]):
                return self.show_record()
            case ("POST", ["control", "cold"]):
                return self.turn_cold(request.json())
        return error_response(404, f"no such route: {request.method} {request.path}")

    async def complete(self, request: HttpRequest) -> HttpResponse:
        """Run a chat-completions request."""
        body = request.json()
        if not self.serves(body["model"]):
            return error_response(404, f"model {body['model']!r} is not loaded")
        request_id = request.headers.get("x-request-id") or uuid.uuid4().hex
        customer = request.headers.get(CUSTOMER_HEADER, "")
        try:
            stream = self.batch.submit(request_id, customer, body, time.monotonic())
        except EngineOverloadedError:
            logger.warning("overload while cold, restarting with boot id %s", self.batch.boot_id)
            self.break_connections()
            raise ConnectionCut from None
        self.streams[request_id] = stream
        if len(self.record) == KEPT_STREAMS and self.streams.get(self.record[0].stream_id) is self.record[0]:
            del self.streams[self.record[0].stream_id]
        self.record.append(stream)
        headers = {"x-request-id": request_id, "x-engine-boot-id": self.batch.boot_id}
        if body.get("stream"):
            return HttpResponse(
                content_type="text/event-stream", headers=headers, chunks=self.send_events(stream, 0)
            )
        await self.wait_until_ended(stream, request)
        return json_response(completion(stream), headers=headers)

    def serves(self, model: str) -> bool:
        """Return whether a version of a model is loaded."""
        return not self.loaded_models or model in {name.partition("@")[0] for name in self.loaded_models}

    async def wait_until_ended(self, stream: Stream, request: HttpRequest) -> None:
        """Wait for a plain answer; a caller that goes away cancels it."""
        while stream.state == StreamState.RUNNING:
            await self.wait_for_progress()
            if request.is_disconnected:
                self.batch.end(stream, StreamState.CANCELLED, time.monotonic())
        if stream.state != StreamState.COMPLETE:
            raise ConnectionCut

    async def wait_for_progress(self) -> None:
        """Wait until tokens were generated or streams ended, but at most the disconnect poll interval."""
        try:
            await asyncio.wait_for(self.progress.wait(), DISCONNECT_POLL_SECONDS)
        except TimeoutError:
            return

    async def send_events(self, stream: Stream, position: int) -> AsyncIterator[bytes]:
        """Yield the server-sent events of a stream from event number `position` on."""
        self.readers[stream] = self.readers.get(stream, 0) + 1
        try:
            while True:
                if stream.state == StreamState.COMPLETE:
                    events = stream_events(stream, position)
                    if events:
                        yield b"".join(events)
                    return
                if stream.state != StreamState.RUNNING:
                    raise ConnectionCut
                if stream.generated > position:
                    events = stream_events(stream, position)
                    position += len(events)
                    yield b"".join(events)
                else:
                    await self.wait_for_progress()
        finally:
            self.reader_gone(stream)

    def reader_gone(self, stream: Stream) -> None:
        """Cancel a stream that has no reader for `resume_seconds`."""
        self.readers[stream] -= 1
        if self.readers[stream] == 0:
            del self.readers[stream]
            if stream.state == StreamState.RUNNING:
                loop = asyncio.get_running_loop()
                loop.call_later(self.settings.resume_seconds, self.cancel_unread, stream)

    def cancel_unread(self, stream: Stream) -> None:
        """Cancel a stream unless a reader has come back."""
        if stream not in self.readers:
            self.batch.end(stream, StreamState.CANCELLED, time.monotonic())

    def load(self) -> HttpResponse:
        """Answer with the newest load report that is older than the lag."""
        now = time.monotonic()
        while len(self.reports) > 1 and self.reports[1][0] <= now - self.settings.report_lag_seconds:
            self.reports.popleft()
        if not self.reports:
            self.take_report()
        measured, report = self.reports[0]
        return json_response({**report, "report_age_seconds": round(now - measured, 4)})

    def cancel(self, stream_id: str) -> HttpResponse:
        """Cancel a stream."""
        stream = self.streams.get(stream_id)
        if stream is None:
            return error_response(404, f"no such stream: {stream_id!r}")
        self.batch.end(stream, StreamState.CANCELLED, time.monotonic())
        self.batch.admit(time.monotonic())
        self.notify_readers()
        return json_response({"id": stream_id, "state": stream.state})

    def resume(self, stream_id: str, position: int) -> HttpResponse:
        """Continue a stream at event number `position`."""
        stream = self.streams.get(stream_id)
        if stream is None or stream.state in (StreamState.CANCELLED, StreamState.CUT):
            return error_response(404, f"no such stream: {stream_id!r}")
        return HttpResponse(
            content_type="text/event-stream",
            headers={"x-request-id": stream_id, "x-engine-boot-id": self.batch.boot_id},
            chunks=self.send_events(stream, position),
        )

    async def order(self, order: dict) -> HttpResponse:
        """Carry out an order to load a model, adapter and version or to change role."""
        number = int(order["fencing_number"])
        accepted = number >= self.highest_fencing_number or not self.settings.checks_fencing_number
        self.highest_fencing_number = max(self.highest_fencing_number, number)
        self.orders.append({**order, "accepted": accepted, "at": time.time()})
        answer = {"accepted": accepted, "highest_fencing_number": self.highest_fencing_number}
        if not accepted:
            return json_response(answer, status=409)
        task = asyncio.create_task(self.load_model(order))
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        return json_response(answer)

    async def load_model(self, order: dict) -> None:
        """Fetch the weights from the weight store, then serve the model, cold at first."""
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

    def turn_cold(self, options: dict) -> HttpResponse:
        """Turn cold without warning: by a restart, or with `restart` false while work goes on."""
        if options.get("restart", True):
            self.batch.restart(time.monotonic())
            self.break_connections()
        else:
            self.batch.turn_cold(time.monotonic())
        return json_response({"boot_id": self.batch.boot_id})

    def break_connections(self) -> None:
        """Reset the connections and forget the reports of before the restart."""
        self.server.abort_connections(except_paths=CONTROL_PATHS)
        self.reports.clear()
        self.notify_readers()

    def show_record(self) -> HttpResponse:
        """Answer with everything that tests check afterwards."""
        offset = time.time() - time.monotonic()
        requests = [
            {
                "request_id": stream.stream_id,
                "customer": stream.customer,
                "model": stream.body["model"],
                "state": stream.state,
                "prompt_tokens": stream.prompt_tokens,
                "cached_tokens": stream.cached_tokens,
                "generated_tokens": stream.generated,
                "started": stream.submitted_at + offset,
                "admitted": stream.admitted_at and stream.admitted_at + offset,
                "ended": stream.ended_at and stream.ended_at + offset,
            }
            for stream in self.record
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


def usage(stream: Stream) -> dict:
    """Return the usage of a stream in the form of the chat-completions interface."""
    return {
        "prompt_tokens": stream.prompt_tokens,
        "completion_tokens": stream.generated,
        "total_tokens": stream.prompt_tokens + stream.generated,
        "prompt_tokens_details": {"cached_tokens": stream.cached_tokens},
    }


def completion(stream: Stream) -> dict:
    """Return the plain answer."""
    message = {"role": "assistant", "content": "".join(stream.tokens[: stream.generated])}
    return {
        "id": f"chatcmpl-{stream.stream_id}",
        "object": "chat.completion",
        "created": int(time.time()),
        "model": stream.body["model"],
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        "usage": usage(stream),
    }


def stream_events(stream: Stream, position: int) -> list[bytes]:
    """Return the events from number `position` on: one for each token, then end, usage and `[DONE]`."""
    common = {
        "id": f"chatcmpl-{stream.stream_id}",
        "object": "chat.completion.chunk",
        "model": stream.body["model"],
    }
    events = []
    for token in stream.tokens[position : stream.generated]:
        choice = {"index": 0, "delta": {"content": token}, "finish_reason": None}
        events.append({**common, "choices": [choice]})
    encoded = [b"data: %b\n\n" % json.dumps(event).encode() for event in events]
    if stream.state == StreamState.COMPLETE:
        last = {**common, "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}]}
        closing = [last, {**common, "choices": [], "usage": usage(stream)}]
        tail = [b"data: %b\n\n" % json.dumps(event).encode() for event in closing]
        tail.append(b"data: [DONE]\n\n")
        encoded += tail[max(0, position - len(stream.tokens)) :]
    return encoded
