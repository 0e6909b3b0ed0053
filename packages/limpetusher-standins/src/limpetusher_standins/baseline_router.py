"""Baseline routers for comparison: first come, first served, and a fixed split of the slots."""

import asyncio
import contextlib
import enum
import hashlib
import json
import logging
import time
import urllib.parse
from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from limpetusher.configuration.compiled import Configuration, Host, HostList, HostRole, HostState
from limpetusher.configuration.document import load_configuration, load_host_list
from limpetusher_standins import http_client
from limpetusher_standins.engine import CUSTOMER_HEADER
from limpetusher_standins.engine_batch import EngineSettings
from limpetusher_standins.http_client import IncompleteAnswerError, OpenAnswer
from limpetusher_standins.http_server import (
    AbortConnection,
    HttpRequest,
    HttpResponse,
    HttpServer,
    json_response,
)

CONFIGURATION_WAIT_SECONDS = 10.0
RETRY_DELAY_SECONDS = 0.25
LOAD_POLL_INTERVAL_SECONDS = 0.25
REPORT_AGE_SECONDS = EngineSettings().report_lag_seconds
FORWARDED_HEADERS = ("content-type", "idempotency-key")

logger = logging.getLogger(__name__)


class BaselinePolicy(enum.StrEnum):
    """How a router chooses targets; each one serves its own requests in order of arrival."""

    FIRST_COME = "first-come"
    """Every router may use all slots of a warm target; it corrects load reports by its own later requests.

    Cold targets fail when overloaded, so their slots are split as with `FIXED_SPLIT`.
    """
    FIXED_SPLIT = "fixed-split"
    """Every slot of a target belongs to one router of the fleet."""


@dataclass(slots=True, eq=False)
class TargetView:
    """What a router knows about a target."""

    host: Host
    in_flight: int = 0
    recent_changes: deque[tuple[float, int]] = field(default_factory=deque)
    """Times of starts (+1) and ends (-1) of own requests that the last load report may not include."""
    reported_running: int = 0
    is_warm: bool = False
    cold_until: float = 0.0
    """Time until which reports that the target is warm are ignored, because a connection to it failed."""

    def count_start(self) -> None:
        """Count the start of one of this router's requests."""
        self.in_flight += 1
        self.recent_changes.append((time.monotonic(), 1))

    def count_end(self) -> None:
        """Count the end of one of this router's requests."""
        self.in_flight -= 1
        self.recent_changes.append((time.monotonic(), -1))

    def mark_failed(self) -> None:
        """Treat the target as cold until reports made after this failure arrive."""
        self.is_warm, self.cold_until = (
            False,
            time.monotonic() + REPORT_AGE_SECONDS + LOAD_POLL_INTERVAL_SECONDS,
        )

    def apply_report(self, running: int, *, warm: bool) -> None:
        """Apply a load report; starts and ends after its measurement still count."""
        now = time.monotonic()
        self.reported_running, self.is_warm = running, warm and now >= self.cold_until
        while self.recent_changes and self.recent_changes[0][0] < now - REPORT_AGE_SECONDS:
            self.recent_changes.popleft()

    @property
    def expected_running(self) -> int:
        """Return the estimated number of requests that the target runs now."""
        return max(self.in_flight, self.reported_running + sum(step for _, step in self.recent_changes))


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request that waits for a slot of a target that serves `service`."""

    service: str
    request: HttpRequest
    assigned_target: asyncio.Future = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class BaselineRouter:
    """Router without messages to other routers.

    Parameters
    ----------
    host_id
        Name of this router in the host list.
    platform_address
        Address of the platform.
    policy
        How targets are chosen.
    """

    def __init__(self, host_id: str, platform_address: str, policy: BaselinePolicy):
        self.host_id = host_id
        self.platform_address = platform_address
        self.policy = policy
        self.configuration: Configuration | None = None
        self.host_list: HostList | None = None
        self.targets: dict[str, TargetView] = {}
        self.waiting: deque[WaitingRequest] = deque()
        self.request_count = 0
        self.server = HttpServer(self.handle)
        self.admin_server = HttpServer(self.handle_admin)

    async def run(self, caller_address: str, admin_address: str) -> None:
        """Serve until cancelled."""
        await self.server.start(caller_address)
        await self.admin_server.start(admin_address)
        async with asyncio.TaskGroup() as group:
            for work in (self.watch_configuration, self.read_hosts, self.read_loads):
                group.create_task(self.repeat_forever(work))

    async def repeat_forever(self, work) -> None:
        """Repeat `work`, with a pause after a failure."""
        while True:
            try:
                await work()
            except (OSError, IncompleteAnswerError) as error:
                logger.warning("%s: %r", work.__name__, error)
                await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def watch_configuration(self) -> None:
        """Wait for a newer configuration."""
        version = self.configuration.version if self.configuration else 0
        path = f"/configuration?after={version}&wait={CONFIGURATION_WAIT_SECONDS}"
        answer = await http_client.request(self.platform_address, "GET", path)
        if answer.status == 200:
            self.configuration = load_configuration(answer.body)
            self.assign_slots()
        elif answer.status != 204:
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def read_hosts(self) -> None:
        """Read the host list."""
        answer = await http_client.request(self.platform_address, "GET", "/hosts")
        if answer.status == 200:
            self.host_list = load_host_list(answer.body)
            hosts = [host for host in self.host_list.hosts if host.role == HostRole.TARGET]
            old = self.targets
            self.targets = {host.host_id: old.get(host.host_id, TargetView(host)) for host in hosts}
            for host in hosts:
                self.targets[host.host_id].host = host
            self.assign_slots()
        await asyncio.sleep(RETRY_DELAY_SECONDS * 4)

    async def read_loads(self) -> None:
        """Read the load reports of all targets."""
        await asyncio.gather(*(self.read_load(view) for view in self.targets.values()))
        self.assign_slots()
        await asyncio.sleep(LOAD_POLL_INTERVAL_SECONDS)

    async def read_load(self, view: TargetView) -> None:
        """Read one load report; a target without one counts as cold."""
        try:
            answer = await http_client.request(view.host.address, "GET", "/load")
        except (OSError, IncompleteAnswerError):
            view.mark_failed()
            return
        report = answer.json()
        view.apply_report(report["running"], warm=report["warm"])

    def has_free_slot(self, view: TargetView, service: str) -> bool:
        """Return whether this router may send a request for `service` to a target now."""
        configuration, host = self.configuration, view.host
        target_class = configuration.target_classes[host.target_class]
        if service not in target_class.services or host.state != HostState.LIVE:
            return False
        if configuration.data_centres[host.data_centre] != "in":
            return False
        limit = target_class.slots if view.is_warm else target_class.cold_slots
        if self.policy == BaselinePolicy.FIXED_SPLIT or not view.is_warm:
            return view.in_flight < self.own_slots(host, limit)
        return view.expected_running < limit

    def own_slots(self, target: Host, limit: int) -> int:
        """Return how many of a target's slots belong to this router.

        The remainder goes to other routers for each target, so that it is spread evenly.
        """
        routers = sorted(host.host_id for host in self.host_list.hosts if host.role == HostRole.ROUTER)
        first = int.from_bytes(hashlib.blake2b(target.host_id.encode(), digest_size=4).digest())
        position = (routers.index(self.host_id) - first) % len(routers)
        return limit // len(routers) + (position < limit % len(routers))

    def assign_slots(self) -> None:
        """Assign free slots to waiting requests in order of arrival; skip those without a free target."""
        if self.configuration is None or self.host_list is None:
            return
        for request in list(self.waiting):
            if request.request.is_caller_disconnected:
                self.waiting.remove(request)
                request.assigned_target.set_exception(AbortConnection())
                continue
            free = [view for view in self.targets.values() if self.has_free_slot(view, request.service)]
            if not free:
                continue
            view = min(free, key=lambda view: (view.expected_running, view.in_flight))
            view.count_start()
            self.waiting.remove(request)
            request.assigned_target.set_result(view)

    @contextlib.asynccontextmanager
    async def hold_slot(
        self, service: str, patience_seconds: float, caller_request: HttpRequest
    ) -> AsyncIterator[TargetView]:
        """Wait for a slot and hold it during the block."""
        request = WaitingRequest(service, caller_request)
        self.waiting.append(request)
        self.assign_slots()
        try:
            view = await asyncio.wait_for(asyncio.shield(request.assigned_target), patience_seconds)
        except (TimeoutError, asyncio.CancelledError):
            if request in self.waiting:
                self.waiting.remove(request)
            else:
                self.release_slot(request.assigned_target.result())
            raise
        try:
            yield view
        finally:
            self.release_slot(view)

    def release_slot(self, view: TargetView) -> None:
        """Release a slot and assign it to a waiting request."""
        view.count_end()
        self.assign_slots()

    async def handle_admin(self, request: HttpRequest) -> HttpResponse:
        """Answer whether the router is ready."""
        ready = self.configuration is not None and bool(self.targets)
        return json_response({"ready": ready}, status=200 if ready else 503)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Relay a caller's request to a target."""
        self.request_count += 1
        request_id = f"{self.host_id}-0-{self.request_count}"
        customer = self.authenticate(request)
        if customer is None:
            return refusal_response(401, "unknown_key", request_id)
        if request.path.startswith("/apps/"):
            service = request.path.split("/")[2]
            path = request.path.removeprefix(f"/apps/{service}")
        else:
            service, path = json.loads(request.body)["model"], request.path
        chunks = self.relay_answer(request, request_id, customer, service, path)
        first = await anext(chunks)
        if isinstance(first, HttpResponse):
            await chunks.aclose()
            return first
        headers = {"x-request-id": request_id}
        return HttpResponse(first.status, b"", first.headers["content-type"], headers, chunks)

    def authenticate(self, request: HttpRequest) -> str | None:
        """Return the customer that the request's API key belongs to, or None."""
        key_id, _, secret = request.headers.get("authorization", "").removeprefix("Bearer ").partition(".")
        for customer in self.configuration.customers.values():
            for key in customer.api_keys:
                digest = hashlib.sha256(bytes.fromhex(key.salt) + secret.encode()).hexdigest()
                if key.key_id == key_id and key.digest == digest:
                    return customer.customer_id
        return None

    async def relay_answer(
        self, request: HttpRequest, request_id: str, customer: str, service: str, path: str
    ) -> AsyncIterator[OpenAnswer | HttpResponse | bytes]:
        """Yield the head of the target's answer or a refusal, then the parts of the body."""
        headers = {name: request.headers[name] for name in FORWARDED_HEADERS if name in request.headers}
        headers |= {"x-request-id": request_id, CUSTOMER_HEADER: customer}
        if request.query:
            path += "?" + urllib.parse.urlencode(request.query)
        patience = self.configuration.customers[customer].patience_for(service)
        head_received, view = False, None
        try:
            async with (
                self.hold_slot(service, patience, request) as view,
                http_client.open_request(
                    view.host.address, request.method, path, body=request.body, headers=headers
                ) as answer,
            ):
                head_received = True
                yield answer
                async for chunk in answer.chunks():
                    if request.is_caller_disconnected:
                        raise AbortConnection
                    yield chunk
        except TimeoutError:
            yield refusal_response(504, "deadline", request_id)
        except (IncompleteAnswerError, OSError) as error:
            if view is not None:
                view.mark_failed()
            if head_received:
                raise AbortConnection from error
            yield refusal_response(502, "target_failed", request_id, ran="unknown")


def refusal_response(status: int, code: str, request_id: str, ran: str = "no") -> HttpResponse:
    """Return an error answer in the routers' form."""
    error = {"code": code, "message": code, "request_id": request_id, "ran": ran}
    return json_response({"error": error}, status=status, headers={"x-request-id": request_id})
