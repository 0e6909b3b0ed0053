"""Stand-in for the platform: configuration service, host list and weight store."""

import asyncio
import json
import logging
from collections import deque
from dataclasses import dataclass

from limpetusher.clock import Clock, SystemClock
from limpetusher_standins.http_server import (
    AbortConnection,
    HttpRequest,
    HttpResponse,
    HttpServer,
    error_response,
    json_response,
)

MAXIMUM_DOCUMENT_BYTES = 1_000_000
MAXIMUM_WAIT_SECONDS = 60.0
CONTROL_PATHS = ("/control", "/record")

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """Properties of the platform; times in seconds."""

    calls_per_second: int = 2000
    host_lag_seconds: float = 0.0
    weight_loads_per_minute: float = 60.0
    weight_seconds: float = 0.2


class SlidingWindowLimit:
    """Limits the number of events within a sliding window."""

    def __init__(self, limit: float, window_seconds: float):
        self.limit = limit
        self.window_seconds = window_seconds
        self.times: deque[float] = deque()

    def allow(self, now: float) -> bool:
        """Count an event if the limit allows it, and return whether it does."""
        while self.times and self.times[0] <= now - self.window_seconds:
            self.times.popleft()
        if len(self.times) >= self.limit:
            return False
        self.times.append(now)
        return True


class Platform:
    """Platform behind one HTTP port.

    Routers can only read. Tests act as the operator through paths below `/control`, which answer even while
    the switch `down` is set.

    Parameters
    ----------
    settings
        Properties of the platform.
    clock
        Source of time; the time-outs of watches use the event loop's clock instead.
    """

    def __init__(self, settings: PlatformSettings, clock: Clock | None = None):
        self.settings = settings
        self.clock = clock or SystemClock()
        self.host_lag_seconds = settings.host_lag_seconds
        self.call_limit = SlidingWindowLimit(settings.calls_per_second, 1.0)
        self.weight_load_limit = SlidingWindowLimit(settings.weight_loads_per_minute, 60.0)
        self.configurations: list[tuple[float, int, bytes]] = []
        self.host_lists: list[tuple[float, dict]] = []
        self.configuration_published = asyncio.Event()
        self.down = False
        self.stale_since: float | None = None
        self.counters = {"calls": 0, "refused": 0, "watches": 0, "maximum_watches": 0}
        self.weight_load_record: list[dict] = []
        self.server = HttpServer(self.handle)

    async def run(self, address: str) -> None:
        """Serve on `address` until cancelled."""
        logger.info("platform listens on %s", await self.server.start(address))
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            await self.server.stop()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        if request.path.startswith(CONTROL_PATHS):
            return self.handle_control(request)
        if self.down:
            raise AbortConnection
        match (request.method, request.path.strip("/").split("/")):
            case ("GET", ["configuration"]):
                return await self.serve_configuration(request)
            case ("GET", ["hosts"]):
                return self.serve_host_list()
            case ("GET", ["weights", model, version]):
                return await self.serve_weights(model, version)
        return error_response(404, f"no such route: {request.method} {request.path}")

    def handle_control(self, request: HttpRequest) -> HttpResponse:
        """Publish documents or set switches."""
        match (request.method, request.path):
            case ("PUT", "/control/configuration"):
                return self.publish(request.body, force="force" in request.query)
            case ("PUT", "/control/hosts"):
                self.host_lists.append((self.clock.monotonic(), request.json()))
                return json_response({"version": request.json()["version"]})
            case ("POST", "/control/switches"):
                return self.set_switches(request.json())
            case ("GET", "/record"):
                versions = [{"version": version, "at": at} for at, version, _ in self.configurations]
                record = {**self.counters, "versions": versions, "weights": self.weight_load_record}
                return json_response(record)
        return error_response(404, f"no such route: {request.method} {request.path}")

    def publish(self, document: bytes, *, force: bool) -> HttpResponse:
        """Publish a configuration; its version must be newer unless forced."""
        version = int(json.loads(document)["version"])
        if len(document) > MAXIMUM_DOCUMENT_BYTES:
            return error_response(413, f"document of {len(document)} bytes, allowed {MAXIMUM_DOCUMENT_BYTES}")
        newest = self.configurations[-1][1] if self.configurations else 0
        if version <= newest and not force:
            return error_response(409, f"version {version} is not newer than {newest}")
        self.configurations.append((self.clock.wall(), version, document))
        self.configuration_published.set()
        self.configuration_published = asyncio.Event()
        return json_response({"version": version})

    def set_switches(self, options: dict) -> HttpResponse:
        """Set the switches `down`, `stale` and `host_lag_seconds` that the request names."""
        if "down" in options:
            self.down = bool(options["down"])
            if self.down:
                self.server.abort_connections(except_paths=CONTROL_PATHS)
        if "stale" in options:
            self.stale_since = self.clock.wall() if options["stale"] else None
            self.configuration_published.set()
            self.configuration_published = asyncio.Event()
        self.host_lag_seconds = float(options.get("host_lag_seconds", self.host_lag_seconds))
        return json_response(
            {
                "down": self.down,
                "stale": self.stale_since is not None,
                "host_lag_seconds": self.host_lag_seconds,
            }
        )

    def count_call(self) -> bool:
        """Count a router's call and return whether the rate limit allows it."""
        self.counters["calls"] += 1
        if self.call_limit.allow(self.clock.monotonic()):
            return True
        self.counters["refused"] += 1
        return False

    def visible_configuration(self) -> tuple[int, bytes] | None:
        """Return version and document of the newest configuration that routers can read."""
        for at, version, document in reversed(self.configurations):
            if self.stale_since is None or at <= self.stale_since:
                return version, document
        return None

    async def serve_configuration(self, request: HttpRequest) -> HttpResponse:
        """Answer with a document newer than `after`, at once or within `wait` seconds."""
        if not self.count_call():
            return error_response(429, "too many calls", {"retry-after": "1"})
        after = int(request.query.get("after", "-1"))
        wait = min(float(request.query.get("wait", "0")), MAXIMUM_WAIT_SECONDS)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait
        self.counters["watches"] += 1
        self.counters["maximum_watches"] = max(self.counters["maximum_watches"], self.counters["watches"])
        try:
            while True:
                newest = self.visible_configuration()
                if newest is not None and newest[0] > after:
                    return HttpResponse(body=newest[1])
                try:
                    await asyncio.wait_for(self.configuration_published.wait(), deadline - loop.time())
                except TimeoutError:
                    return HttpResponse(status=204)
        finally:
            self.counters["watches"] -= 1

    def serve_host_list(self) -> HttpResponse:
        """Answer with the host list of `host_lag_seconds` ago."""
        if not self.count_call():
            return error_response(429, "too many calls", {"retry-after": "1"})
        seen = self.clock.monotonic() - self.host_lag_seconds
        older = [host_list for at, host_list in self.host_lists if at <= seen]
        if older:
            return json_response(older[-1])
        if self.host_lists:
            return json_response(self.host_lists[0][1])
        return error_response(404, "no host list published")

    async def serve_weights(self, model: str, version: str) -> HttpResponse:
        """Answer with the weights of a model, within the rate limit."""
        allowed = self.weight_load_limit.allow(self.clock.monotonic())
        self.weight_load_record.append(
            {"model": model, "version": version, "at": self.clock.wall(), "allowed": allowed}
        )
        if not allowed:
            return error_response(429, "too many weight loads", {"retry-after": "1"})
        await asyncio.sleep(self.settings.weight_seconds)
        return json_response({"model": model, "version": version})
