"""Stand-ins of targets of two software versions, callers of their streams, and a fleet of routers."""

import contextlib
import itertools
import json
import re
import socket
import threading
import time
import zlib
from collections.abc import Callable, Iterable
from pathlib import Path

from builders_platform import (
    FleetRouterProcess,
    StoreGateway,
    StoreStandIn,
    TargetCall,
    configuration_document,
    free_port_pair,
    request_text,
    route_document,
    split_answer,
    target_document,
    unchunk,
    wait_for,
)
from builders_router import TargetListener
from limpetusher.events import Event

LAST_EVENT = 6
"""Number of events of a whole stream."""
ROUTE_SECONDS = 8.0
"""Time that a route allows for a whole stream, for which the callers are ready to wait."""
STREAM_SECONDS = 12.0
"""Time after which a stream has ended in any case."""
ENGINE = {"slots": 64, "kvCapacity": 1_000_000, "models": []}
OLD, NEW = "v1", "v2"
VERSIONS_OF_TARGETS = (OLD, NEW, OLD, NEW)
DATA_CENTRES = ("north", "north", "south", "south")
SCHEDULER_SPEED = 2.0
"""Speed of the router that is to schedule all pools, as the routers with the most cores do."""
ROUTER_SPEED = 1.0
STORE_HISTORY_SECONDS = 3.0
"""Time for which the store retains changes, by the routers' settings."""
CLOCK_STEP = "import time; right = time.time; time.time = lambda: right() + {seconds}"
"""Statement by which the time of day of a process is ahead."""


def versioned_event(version: str, number: int) -> bytes:
    """Return an event of a target that shows its software version."""
    return f"id: {number}\ndata: {version}-token-{number}\n\n".encode()


class VersionedTarget(TargetListener):
    """Target whose events show its software version.

    It stops after the events whose numbers the last part of the path names, as in `/desk/3,5`. There it holds
    the stream open until `cut` is set, and then breaks it off.
    """

    def __init__(self, target_id: str, service: str, version: str, data_centre: str):
        self.target_id = target_id
        self.service = service
        self.version = version
        self.data_centre = data_centre
        self.born = round(1000 * time.time())
        self.cut = threading.Event()
        self.calls: list[TargetCall] = []
        super().__init__()

    def accept_call(self, sock: socket.socket, head: str, body: bytes) -> TargetCall | None:
        """Record and return a call, or refuse one that is meant for another target."""
        call = TargetCall(sock, head, body)
        if call.headers.get("x-target-instance") != self.target_id:
            call.answer(b"", "x-not-executed: 1", status="421 Misdirected Request")
            return None
        self.calls.append(call)
        return call

    def handle(self, sock: socket.socket, head: str, body: bytes) -> None:
        call = self.accept_call(sock, head, body)
        if call is None:
            return
        version, cut = self.version, self.cut
        stops = [int(number) for number in re.findall(r"\d+", call.line.split()[1].rpartition("/")[2])]
        first = int(call.headers.get("last-event-id", 0)) + 1
        last = min((stop for stop in stops if stop >= first), default=LAST_EVENT)
        call.begin_stream()
        for number in range(first, last + 1):
            call.send_chunk(versioned_event(version, number))
        if last < LAST_EVENT:
            cut.wait(STREAM_SECONDS)
            call.cut_connection()
        else:
            call.end_stream()

    def become(self, target_id: str, version: str) -> None:
        """End, and start again as another target or with another version at the same address."""
        self.cut.set()
        socks, self.socks = self.socks, []
        for sock in socks:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self.target_id = target_id
        self.version = version
        self.born = round(1000 * time.time())
        self.cut = threading.Event()

    def close(self) -> None:
        """Stop for good."""
        self.cut.set()
        super().close()


class StreamCaller:
    """One try of a caller to get a stream, or the rest of it.

    Parameters
    ----------
    address
        Address at which the router takes requests of callers.
    path
        Path of the request.
    request_id
        Identifier of this try.
    earlier
        The try before, whose stream is taken up again.
    resumes
        Identifier that the request names as the one that brought the first event, None for the right one.
    seconds
        Time that the caller has left.
    body_delay
        Time between the head and the body of the request.
    """

    def __init__(
        self,
        address: str,
        path: str,
        request_id: str,
        *,
        earlier: "StreamCaller | None" = None,
        resumes: str | None = None,
        seconds: float = ROUTE_SECONDS,
        body_delay: float = 0.0,
    ):
        self.path = path
        self.request_id = request_id
        self.earlier = earlier
        self.began_at = earlier.began_at if earlier is not None else time.monotonic()
        self.seconds_allowed = earlier.seconds_allowed if earlier is not None else seconds
        self.first_request_id = earlier.first_request_id if earlier is not None else request_id
        self.data = b""
        self.ended_at: float | None = None
        headers = {
            "x_request_id": request_id,
            "x_deadline_ms": str(round(1000 * seconds)),
            "x_token_usage": "100,20",
            "x_prompt_prefix": f"5c1e:60,{zlib.crc32(self.first_request_id.encode()):x}:40",
        }
        if earlier is not None:
            headers["last_event_id"] = str(len(earlier.events))
            headers["resumes"] = earlier.first_request_id if resumes is None else resumes
        host, port = address.split(":")
        self.sent_at = time.monotonic()
        self.sock = socket.create_connection((host, int(port)), timeout=STREAM_SECONDS)
        text = request_text(path, method="POST", body=self.first_request_id, **headers)
        head_length = text.index("\r\n\r\n") + 4 if body_delay else len(text)
        self.sock.sendall(text[:head_length].encode())
        if body_delay:
            threading.Timer(body_delay, self.sock.sendall, (text[head_length:].encode(),)).start()
        self.thread = threading.Thread(target=self.read, daemon=True)
        self.thread.start()

    def read(self) -> None:
        """Receive until the connection ends."""
        with contextlib.suppress(OSError):
            while data := self.sock.recv(65_536):
                self.data += data
        self.ended_at = time.monotonic()

    def wait(self) -> "StreamCaller":
        """Wait until the connection has ended."""
        self.thread.join(STREAM_SECONDS)
        assert self.ended_at is not None, self.data
        return self

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.wait()

    @property
    def head(self) -> str:
        return self.data.partition(b"\r\n\r\n")[0].decode().lower()

    @property
    def status(self) -> int:
        """Return the status of the answer, 0 if the connection ended without one."""
        return split_answer(self.data)[0] if b"\r\n\r\n" in self.data else 0

    @property
    def error(self) -> dict:
        """Return what a refusal says."""
        return json.loads(split_answer(self.data)[1])["error"]

    @property
    def seconds(self) -> float:
        """Return the time from the request to the end of its answer."""
        return self.ended_at - self.sent_at

    @property
    def events(self) -> list[tuple[int, str]]:
        """Return number and version of each whole event, those of the earlier tries first."""
        events = list(self.earlier.events) if self.earlier is not None else []
        if self.status == 200:
            content, _is_complete = unchunk(split_answer(self.data)[1])
            found = re.findall(rb"id: (\d+)\ndata: (\w+)-token-(\d+)\n\n", content)
            assert all(number == token for number, _version, token in found)
            events += [(int(number), version.decode()) for number, version, _token in found]
        return events

    @property
    def versions(self) -> set[str]:
        """Return the versions of all events, those of the earlier tries included."""
        return {version for _number, version in self.events}

    @property
    def version(self) -> str:
        """Return the version that began the stream."""
        return self.events[0][1]

    @property
    def has_gone_on(self) -> bool:
        """Return whether the answer is complete, and goes on at the version that began the stream."""
        return self.is_complete and self.events == [
            (number, self.version) for number in range(1, LAST_EVENT + 1)
        ]

    @property
    def is_complete(self) -> bool:
        """Return whether the answer says that it is complete."""
        if self.status != 200:
            return False
        body = split_answer(self.data)[1]
        # A stream whose caller has all events already is taken up with an empty answer.
        return unchunk(body)[1] or ("content-length: 0" in self.head and not body)

    @property
    def is_joined(self) -> bool:
        """Return whether the stream holds events of two versions."""
        return len(self.versions) > 1

    @property
    def is_refused_unrun(self) -> bool:
        """Return whether the answer says that the request has not run and that no retry is of use."""
        return (
            self.status == 503
            and self.error["ran"] == "no"
            and self.error["code"] == "stream_version_unavailable"
            and "\r\nretry-after:" not in self.head
        )

    def describe(self) -> str:
        """Return what the caller got."""
        got = " ".join(f"{version}-{number}" for number, version in self.events)
        error = self.error if self.status not in (0, 200) else ""
        after = round(self.seconds, 2) if self.ended_at is not None else "not ended"
        return f"{self.request_id}: {got} / status {self.status} {error} after {after} s"


class VersionedFleet:
    """A store, services with targets of two software versions, and routers in two data centres.

    Each service has a route with its name as the prefix. The router `scheduler` schedules all pools.

    Parameters
    ----------
    folder
        Folder for settings and logs.
    services
        Names of the services.
    versions
        Software versions of the targets of each service.
    route_seconds
        Time that a route allows for a whole stream.
    are_engines
        Whether the targets are engines, which generate text.
    routers
        Data centre of each router besides the scheduler.
    speeds
        Speeds of the routers besides the scheduler, by which they succeed it; equal ones if empty.
    cold_seconds
        Time after its start for which a target of a service is cold.
    target_heartbeat_seconds
        Time between two heartbeats of targets, by the routers' settings.
    history_seconds
        Time for which the store retains changes, by the routers' settings.
    """

    def __init__(
        self,
        folder: Path,
        services: Iterable[str],
        *,
        versions: tuple[str, ...] = VERSIONS_OF_TARGETS,
        route_seconds: float = ROUTE_SECONDS,
        are_engines: bool = False,
        routers: tuple[str, ...] = ("north", "north", "south"),
        speeds: tuple[float, ...] = (),
        cold_seconds: float = 0.0,
        target_heartbeat_seconds: float = 1.2,
        history_seconds: float = STORE_HISTORY_SECONDS,
    ):
        self.folder = folder
        self.history_seconds = history_seconds
        self.target_heartbeat_seconds = target_heartbeat_seconds
        self.store = StoreStandIn()
        self.ports = free_port_pair()
        self.numbers = itertools.count(1)
        self.targets: dict[str, list[VersionedTarget]] = {}
        services = list(services)
        self.route_seconds = route_seconds
        self.service_fields = {"coldS": cold_seconds, **({"engine": ENGINE} if are_engines else {})}
        self.configuration_versions = itertools.count(3)
        self.store.put("op/config", self.configuration({service: service for service in services}))
        for service in services:
            for version, data_centre in zip(versions, itertools.cycle(DATA_CENTRES), strict=False):
                self.add_target(service, version, data_centre)
        self.store.compacted_revision = self.store.revision
        self.started_at = time.monotonic()
        self.data_centres = ("north", *routers)
        self.speeds = (SCHEDULER_SPEED, *(speeds or (ROUTER_SPEED,) * len(routers)))
        self.gateway: StoreGateway | None = None
        self.lone_router: FleetRouterProcess | None = None
        self.clock_steps = [0.0] * len(self.data_centres)
        """By how many seconds the time of day of each router is ahead, from its next start on."""
        self.routers: list[FleetRouterProcess] = []
        self.start_routers(is_first_start=True)

    def configuration(self, destinations: dict[str, str]) -> dict:
        """Return the next configuration, with the service that each route leads to."""
        (service_document,) = configuration_document()["services"]
        routes = [
            route_document(
                name=f"r-{route}",
                prefix=f"/{route}/",
                kind="streaming",
                timeoutMs=round(1000 * self.route_seconds),
                attempts=3,
                sticky=True,
                resumable=True,
                gapAimMs=5_000,
                service=service,
            )
            for route, service in destinations.items()
        ]
        documents = [
            {**service_document, **self.service_fields, "name": service}
            for service in sorted({*destinations, *destinations.values()})
        ]
        version = next(self.configuration_versions)
        return configuration_document(version, routes=routes, services=documents)

    def reconfigure(self, destinations: dict[str, str]) -> None:
        """Write another configuration and wait until all routers that run apply it."""
        document = self.configuration(destinations)
        self.store.put("op/config", document)

        def is_applied(router: FleetRouterProcess) -> bool:
            entries = self.log_entries(router, Event.CONFIGURATION_IN_FORCE)
            return any(entry["version"] == document["version"] for entry in entries)

        for router in self.live_routers:
            wait_for(lambda router=router: is_applied(router), router.log)

    def start_routers(self, *, is_first_start: bool) -> None:
        """Start all routers and wait until each of them knows all others."""
        self.routers = [
            self.start_router(number, is_first_start=is_first_start)
            for number in range(len(self.data_centres))
        ]
        for router in self.routers:
            self.wait_joined(router)

    def start_router(
        self,
        number: int,
        *,
        is_first_start: bool = False,
        store_address: str = "",
        history_seconds: float | None = None,
        **bounds: float,
    ) -> FleetRouterProcess:
        """Start one router; the one with the number 0 schedules all pools."""
        ips = [f"127.0.0.{number}" for number in range(1, len(self.data_centres) + 1)]
        return FleetRouterProcess(
            self.folder,
            store_address or self.store.address,
            ip=ips[number],
            ports=self.ports,
            seeds=tuple(f"{ip}:1" for ip in ips if ip != ips[number]),
            data_centre=self.data_centres[number],
            is_first_start=is_first_start,
            settings={
                "processor_speed": self.speeds[number],
                "store_history_seconds": history_seconds or self.history_seconds,
                "target_heartbeat_milliseconds": 1000 * self.target_heartbeat_seconds,
            },
            preamble=CLOCK_STEP.format(seconds=self.clock_steps[number]),
            **bounds,
        )

    def start_lone_router(self) -> FleetRouterProcess:
        """Start a router that no other one reaches, and whose way to the store can be cut."""
        self.gateway = StoreGateway(self.store)
        self.lone_router = FleetRouterProcess(
            self.folder,
            self.gateway.address,
            ip=f"127.0.0.{len(self.data_centres) + 1}",
            seeds=("127.0.0.1:1",),
        )
        self.lone_router.wait_ready()
        return self.lone_router

    def wait_joined(self, router: FleetRouterProcess) -> None:
        """Wait until a router is ready and knows all others."""
        router.wait_ready()
        wait_for(lambda: self.peer_count(router) == len(self.data_centres) - 1, router.log)

    def peer_count(self, router: FleetRouterProcess) -> int:
        """Return the number of other routers that a router knows."""
        return len({entry["peer"] for entry in self.log_entries(router, Event.PEER_REACHABLE)})

    def log_entries(self, router: FleetRouterProcess, *events: Event) -> list[dict]:
        """Return what a router has logged of some events."""
        marks = [b'"event":%d,' % event.number for event in events]
        lines = router.log.read_bytes().splitlines()
        return [json.loads(line) for line in lines if any(mark in line for mark in marks)]

    @property
    def scheduler(self) -> FleetRouterProcess:
        return self.routers[0]

    @property
    def live_routers(self) -> list[FleetRouterProcess]:
        return [router for router in self.routers if router.process.poll() is None]

    def kill(self, *routers: FleetRouterProcess) -> None:
        """Kill routers at the same time."""
        for router in routers:
            router.process.kill()
        for router in routers:
            router.process.wait()

    def restart_scheduler(self) -> None:
        """Kill the scheduler if it still runs, and start it anew."""
        self.kill(self.scheduler)
        self.routers[0] = self.start_router(0)
        self.wait_joined(self.scheduler)

    def restart_routers(self) -> None:
        """Kill the routers that still run, and start all anew."""
        self.kill(*self.live_routers)
        self.start_routers(is_first_start=False)

    def add_target(
        self, service: str, version: str, data_centre: str = "north", **changes: object
    ) -> VersionedTarget:
        """Start another target and list it."""
        targets = self.targets.setdefault(service, [])
        targets.append(VersionedTarget(f"{service}-{len(targets) + 1}", service, version, data_centre))
        self.list_target(targets[-1], **changes)
        return targets[-1]

    def list_target(self, target: VersionedTarget, **changes: object) -> None:
        """Write the entry of a target."""
        entry = target_document(
            target.address,
            service=target.service,
            zone=target.data_centre,
            version=target.version,
            born=target.born,
            slots=64,
            **changes,
        )
        self.store.put(f"servers/{target.target_id}", entry)

    def remove_target(self, target: VersionedTarget) -> None:
        """Remove the entry of a target."""
        self.store.delete(f"servers/{target.target_id}")

    def old_targets(self, service: str) -> list[VersionedTarget]:
        """Return the targets of the old version."""
        return [target for target in self.targets[service] if target.version == OLD]

    def wait_seen(self, condition: Callable[[dict[str, dict]], bool]) -> None:
        """Wait until a condition holds for the last log entry of each target at all routers that run."""

        def is_seen(router: FleetRouterProcess) -> bool:
            entries = self.log_entries(router, Event.TARGET_LISTED, Event.TARGET_UNLISTED)
            return condition({entry["target"]: entry for entry in entries})

        for router in self.live_routers:
            wait_for(lambda router=router: is_seen(router), router.log)

    def begin(
        self, service: str, stops: str = "", *, router: FleetRouterProcess, seconds: float = ROUTE_SECONDS
    ) -> StreamCaller:
        """Send the request for a new stream."""
        name = f"{service}-{next(self.numbers)}"
        return StreamCaller(router.caller, f"/{service}/{stops}", name, seconds=seconds)

    def begin_held(
        self, service: str, count: int, *, router: FleetRouterProcess, seconds: float = ROUTE_SECONDS
    ) -> list[StreamCaller]:
        """Begin streams that their targets hold open after three events."""
        streams = [self.begin(service, "3", router=router, seconds=seconds) for _ in range(count)]
        for stream in streams:
            wait_for(lambda stream=stream: len(stream.events) == 3, router.log)
        return streams

    def take_up(
        self,
        stream: StreamCaller,
        *,
        router: FleetRouterProcess,
        resumes: str | None = None,
        seconds: float | None = None,
        body_delay: float = 0.0,
    ) -> StreamCaller:
        """Take a stream up again in the time that its caller has left."""
        left = stream.seconds_allowed - (time.monotonic() - stream.began_at) if seconds is None else seconds
        name = f"{stream.request_id}-again-{next(self.numbers)}"
        return StreamCaller(
            router.caller,
            stream.path,
            name,
            earlier=stream,
            resumes=resumes,
            seconds=max(0.5, left),
            body_delay=body_delay,
        )

    def close(self) -> None:
        """Stop everything."""
        self.kill(*self.live_routers)
        if self.lone_router is not None:
            self.kill(self.lone_router)
            self.gateway.is_cut = False
            self.gateway.close()
        for targets in self.targets.values():
            for target in targets:
                target.close()
        self.store.shutdown()
        self.store.server_close()


def keep_all(fleet: VersionedFleet, service: str) -> None:
    """Let the targets of both versions go on to serve."""


def drain_old(fleet: VersionedFleet, service: str) -> None:
    """Let all targets of the old version drain."""
    for target in fleet.old_targets(service):
        fleet.list_target(target, state="draining")
    fleet.wait_seen(
        lambda entries: all(entries[target.target_id]["draining"] for target in fleet.old_targets(service))
    )


def remove_old(fleet: VersionedFleet, service: str) -> None:
    """Let all targets of the old version leave."""
    targets = fleet.old_targets(service)
    for target in targets:
        fleet.remove_target(target)
    fleet.wait_seen(lambda entries: all(is_unlisted(entries, target.target_id) for target in targets))


def take_over_address(fleet: VersionedFleet, service: str) -> None:
    """Let a target of the new version take over the address of one of the old version; another one stays."""
    target = fleet.old_targets(service)[0]
    earlier = target.target_id
    fleet.remove_target(target)
    target.become(f"{earlier}-next", NEW)
    fleet.list_target(target)
    fleet.wait_seen(lambda entries: is_unlisted(entries, earlier) and target.target_id in entries)


def restart_as_new(fleet: VersionedFleet, service: str) -> None:
    """Let a target of the old version start again under its id with the new version; another one stays."""
    target = fleet.old_targets(service)[0]
    target.become(target.target_id, NEW)
    fleet.list_target(target)
    _value, revision = fleet.store.items[f"servers/{target.target_id}"]
    fleet.wait_seen(lambda entries: entries[target.target_id]["revision"].endswith(f":{revision}"))


def is_unlisted(entries: dict[str, dict], target_id: str) -> bool:
    """Return whether a router lists a target no longer, or never has."""
    return target_id not in entries or entries[target_id]["event"] == Event.TARGET_UNLISTED.number


CHANGES: dict[str, Callable[[VersionedFleet, str], None]] = {
    "both-serve": keep_all,
    "old-drains": drain_old,
    "old-has-left": remove_old,
    "address-taken-over": take_over_address,
    "restarted-as-new": restart_as_new,
}
"""What becomes of the targets of the old version, by the name of the service with which it is tried."""
