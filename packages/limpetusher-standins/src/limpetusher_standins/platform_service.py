"""Stand-in for the platform: configuration service, host list and weight store."""

import asyncio
import json
import logging
from collections import deque
from dataclasses import dataclass

from limpetusher.clock import Clock, SystemClock
from limpetusher_standins.http_server import (
    ConnectionCut,
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
    """Properties of the platform."""

    calls_per_second: int = 2000
    host_lag_seconds: float = 0.0
    weight_loads_per_minute: float = 60.0
    weight_seconds: float = 0.2


class RateLimit:
    """Counts events in a sliding window."""

    def __init__(self, limit: float, window_seconds: float):
        self.limit = limit
        self.window_seconds = window_seconds
        self.times: deque[float] = deque()

    def allow(self, now: float) -> bool:
        """Count an event unless the limit is reached."""
        while self.times and self.times[0] <= now - self.window_seconds:
            self.times.popleft()
        if len(self.times) >= self.limit:
            return False
        self.times.append(now)
        return True


class Platform:
    """Platform behind one HTTP port.

    Routers can only read. Tests publish as the operator through paths below `/control`, which stay reachable
    while the service is switched down.

    Parameters
    ----------
    settings
        Properties of the platform.
    clock
        Source of time; waits of watches follow the event loop's own clock.
    """

    def __init__(self, settings: PlatformSettings, clock: Clock | None = None):
        self.settings = settings
        self.clock = clock or SystemClock()
        self.host_lag_seconds = settings.host_lag_seconds
        self.calls = RateLimit(settings.calls_per_second, 1.0)
        self.weight_loads = RateLimit(settings.weight_loads_per_minute, 60.0)
        self.documents: list[tuple[float, int, bytes]] = []
        self.host_lists: list[tuple[float, dict]] = []
        self.published = asyncio.Event()
        self.down = False
        self.stale_since: float | None = None
        self.counts = {"calls": 0, "refused": 0, "watches": 0, "maximum_watches": 0}
        self.weight_record: list[dict] = []
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
            return self.control(request)
        if self.down:
            raise ConnectionCut
        match (request.method, request.path.strip("/").split("/")):
            case ("GET", ["configuration"]):
                return await self.configuration(request)
            case ("GET", ["hosts"]):
                return self.hosts()
            case ("GET", ["weights", model, version]):
                return await self.weights(model, version)
        return error_response(404, f"no such route: {request.method} {request.path}")

    def control(self, request: HttpRequest) -> HttpResponse:
        """Publish documents or set switches."""
        match (request.method, request.path):
            case ("PUT", "/control/configuration"):
                return self.publish(request.body, force="force" in request.query)
            case ("PUT", "/control/hosts"):
                self.host_lists.append((self.clock.monotonic(), request.json()))
                return json_response({"version": request.json()["version"]})
            case ("POST", "/control/switches"):
                return self.switch(request.json())
            case ("GET", "/record"):
                versions = [{"version": version, "at": at} for at, version, _ in self.documents]
                record = {**self.counts, "versions": versions, "weights": self.weight_record}
                return json_response(record)
        return error_response(404, f"no such route: {request.method} {request.path}")

    def publish(self, document: bytes, *, force: bool) -> HttpResponse:
        """Publish a configuration; its version must be newer unless forced."""
        version = int(json.loads(document)["version"])
        if len(document) > MAXIMUM_DOCUMENT_BYTES:
            return error_response(413, f"document of {len(document)} bytes, allowed {MAXIMUM_DOCUMENT_BYTES}")
        newest = self.documents[-1][1] if self.documents else 0
        if version <= newest and not force:
            return error_response(409, f"version {version} is not newer than {newest}")
        self.documents.append((self.clock.wall(), version, document))
        self.published.set()
        self.published = asyncio.Event()
        return json_response({"version": version})

    def switch(self, options: dict) -> HttpResponse:
        """Set the switches `down`, `stale` and `host_lag_seconds`."""
        if "down" in options:
            self.down = bool(options["down"])
            if self.down:
                self.server.abort_connections(except_paths=CONTROL_PATHS)
        if "stale" in options:
            self.stale_since = self.clock.wall() if options["stale"] else None
            self.published.set()
            self.published = asyncio.Event()
        self.host_lag_seconds = float(options.get("host_lag_seconds", self.host_lag_seconds))
        return json_response(
            {
                "down": self.down,
                "stale": self.stale_since is not None,
                "host_lag_seconds": self.host_lag_seconds,
            }
        )

    def count_call(self) -> bool:
        """Count a call of a reader; return False when the limit is reached."""
        self.counts["calls"] += 1
        if self.calls.allow(self.clock.monotonic()):
            return True
        self.counts["refused"] += 1
        return False

    def newest_document(self) -> tuple[int, bytes] | None:
        """Return the version and the document that readers see."""
        for at, version, document in reversed(self.documents):
            if self.stale_since is None or at <= self.stale_since:
                return version, document
        return None

    async def configuration(self, request: HttpRequest) -> HttpResponse:
        """Answer with a document newer than `after`, at once or within `wait` seconds."""
        if not self.count_call():
            return error_response(429, "too many calls", {"retry-after": "1"})
        after = int(request.query.get("after", "-1"))
        wait = min(float(request.query.get("wait", "0")), MAXIMUM_WAIT_SECONDS)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait
        self.counts["watches"] += 1
        self.counts["maximum_watches"] = max(self.counts["maximum_watches"], self.counts["watches"])
        try:
            while True:
                newest = self.newest_document()
                if newest is not None and newest[0] > after:
                    return HttpResponse(body=newest[1])
                try:
                    await asyncio.wait_for(self.published.wait(), deadline - loop.time())
                except TimeoutError:
                    return HttpResponse(status=204)
        finally:
            self.counts["watches"] -= 1

    def hosts(self) -> HttpResponse:
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

    async def weights(self, model: str, version: str) -> HttpResponse:
        """Answer with the weights of a model, within the rate limit."""
        allowed = self.weight_loads.allow(self.clock.monotonic())
        self.weight_record.append(
            {"model": model, "version": version, "at": self.clock.wall(), "allowed": allowed}
        )
        if not allowed:
            return error_response(429, "too many weight loads", {"retry-after": "1"})
        await asyncio.sleep(self.settings.weight_seconds)
        return json_response({"model": model, "version": version})
