"""Small stand-ins of the platform for the scripts of the review: store, replicas, requesters and routers.

Everything runs in one asyncio process on loopback addresses, apart from the routers, which are started with
the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.request
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "llm.example"
KEY = "key-a"
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
START_SECONDS = 30.0
STREAM_LIMIT_BYTES = 1 << 22
BROKEN, HELD, NOT_RUN = 1, 0, 2


class CaseError(Exception):
    """The case could not be run."""


class Record:
    """Lines of `record.txt`: what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path):
        self.path = path
        self.started_at = time.monotonic()
        path.write_text("")

    def add(self, text: str) -> None:
        """Add a line."""
        with self.path.open("a") as file:
            file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")


def free_port(ip: str) -> int:
    """Return a TCP port that is free at an address, below those of outgoing channels."""
    for _ in range(200):
        port = random.randrange(12_000, 31_000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((ip, port))
            return port
    raise CaseError("no free ports")


def free_pair(ips: list[str]) -> int:
    """Return a port that is free together with the next one, for TCP and UDP, at all addresses."""
    for _ in range(200):
        port = free_port(ips[0])
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    for offset in (0, 1):
                        sock = stack.enter_context(socket.socket(socket.AF_INET, kind))
                        sock.bind((ip, port + offset))
            return port
    raise CaseError("no free ports")


@dataclass
class Message:
    """A request or an answer. Header names are in lower case."""

    line: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.line.split()[1])

    @property
    def path(self) -> str:
        """Return the target of a request."""
        return self.line.split()[1]

    @property
    def request_id(self) -> str:
        """Return the identifier of the request."""
        return self.headers.get("x-request-id", "")


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the next head, None at the end of the channel."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    line, *fields = data.decode("latin-1").strip("\r\n").split("\r\n")
    headers = {}
    for text in fields:
        name, _, value = text.partition(":")
        headers[name.lower()] = value.strip()
    return Message(line, headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body of a message that has a length or chunks.

    Raises
    ------
    asyncio.IncompleteReadError
        If the body is cut off.
    """
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            line = await reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return
            message.body += chunk[:-2]
    message.body += await reader.readexactly(int(message.headers.get("content-length", "0")))


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next whole message, None if the channel ends or is reset before its end."""
    try:
        message = await read_head(reader)
        if message is not None:
            await read_body(reader, message)
    except (asyncio.IncompleteReadError, OSError):
        return None
    return message


def encode(line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    lines = [line, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode("latin-1") + body


def sealed(request: Message, body: bytes, status: str = "200 OK", **headers: str) -> bytes:
    """Return a whole answer of a replica. Underscores in the names of headers stand for dashes."""
    fields = {"X-Request-Id": request.request_id, "X-Server-Seal": SEAL}
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    return encode(f"HTTP/1.1 {status}", fields, body)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a channel."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """Stand-in of the platform's store: range reads and watches over one revision counter."""

    def __init__(self, record: Record):
        self.record = record
        self.items: dict[str, tuple[bytes, int]] = {}
        self.history: list[dict] = []
        self.revision = 100
        self.is_down = False
        self.changed = asyncio.Condition()
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def put(self, key: str, value: object) -> None:
        """Write a value as JSON."""
        async with self.changed:
            self.revision += 1
            self.items[key] = (json.dumps(value).encode(), self.revision)
            self.history.append(self.item(key))
            self.changed.notify_all()
        self.record.add(f"store: {key} written at revision {self.revision}")

    async def delete(self, key: str) -> None:
        """Remove a key."""
        async with self.changed:
            self.revision += 1
            del self.items[key]
            self.history.append({"key": key, "rev": self.revision, "deleted": True})
            self.changed.notify_all()
        self.record.add(f"store: {key} removed at revision {self.revision}")

    def item(self, key: str) -> dict:
        """Return an item as it is sent."""
        data, revision = self.items[key]
        value = base64.b64encode(data).decode()
        return {"key": key, "value": value, "rev": revision, "createRevision": revision, "lease": 0}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the calls on one channel."""
        CHANNELS.add(writer)
        with contextlib.suppress(OSError):
            while (request := await read_message(reader)) is not None:
                status, document = await self.answer(request)
                headers = {"Content-Type": "application/json", "Store-Era": "1"}
                writer.write(encode(f"HTTP/1.1 {status} X", headers, json.dumps(document).encode()))
                await writer.drain()
        writer.close()

    async def answer(self, request: Message) -> tuple[int, dict]:
        """Return the answer to a call."""
        url = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        if self.is_down:
            return 503, {}
        if url.path == "/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query.get("prefix", "")))
            keys = [key for key in keys if key > query.get("after", "")]
            items = [self.item(key) for key in keys[:500]]
            return 200, {"items": items, "hasMore": len(keys) > 500, "currentRev": self.revision}
        after = int(query["after"])
        async with self.changed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self.changed.wait_for(lambda: self.revision > after or self.is_down),
                    int(query["waitMs"]) / 1000,
                )
        if self.is_down:
            return 503, {}
        events = [event for event in self.history if event["rev"] > after]
        return 200, {"events": events, "currentRev": self.revision}


Handler = Callable[["Replica", Message, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class Replica:
    """Stand-in of a replica. `handler` runs a request and writes its answer."""

    name: str
    service: str
    handler: Handler
    record: Record
    zone: str = "lalit"
    slots: int = 64
    address: str = ""
    server: asyncio.Server | None = None
    runs: list[Message] = field(default_factory=list)
    born: int = field(default_factory=lambda: int(time.time() * 1000))

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=STREAM_LIMIT_BYTES)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    @property
    def entry(self) -> dict:
        """Return the entry of the replica in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "born": self.born,
            "seq": 4,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one channel, one at a time."""
        CHANNELS.add(writer)
        with contextlib.suppress(OSError):
            while (request := await read_message(reader)) is not None:
                if request.headers.get("x-target-instance", self.name) != self.name:
                    writer.write(encode("HTTP/1.1 421 X", {"X-Instance-Id": self.name}))
                    continue
                self.runs.append(request)
                self.record.add(f"replica {self.name}: runs {request.request_id} {request.line}")
                await self.handler(self, request, writer)
                await writer.drain()
        writer.close()


@dataclass
class Router:
    """A router process, started with the command of the deploy file."""

    ip: str
    caller: str
    ready: str
    settings: Path
    log: Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["router"]["run"].split()
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        variables = {"LIMPETUSHER_NODE_FILE": str(self.settings), "PYTHONPATH": str(ROOT / "target/deps")}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=kept | variables, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def is_ready(self) -> bool:
        """Return whether the process says that it is ready."""
        try:
            with urllib.request.urlopen(f"http://{self.ready}/readyz", timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    async def wait_ready(self) -> None:
        """Wait until the process is ready."""
        deadline = time.monotonic() + START_SECONDS
        while not await asyncio.to_thread(self.is_ready):
            if self.process.poll() is not None or time.monotonic() > deadline:
                raise CaseError(f"the router at {self.ip} did not start: {self.log.read_text()[-2000:]}")
            await asyncio.sleep(0.1)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()


class Deployment:
    """A store, replicas and routers of one case."""

    def __init__(self, case: Path):
        self.record = Record(case / "record.txt")
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.record)
        self.replicas: dict[str, Replica] = {}
        self.routers: list[Router] = []

    async def add_replica(self, name: str, service: str, handler: Handler, **options: object) -> Replica:
        """Start a replica and enter it into the store."""
        replica = Replica(name, service, handler, self.record, **options)
        await replica.start()
        self.replicas[name] = replica
        await self.store.put(f"servers/{name}", replica.entry)
        return replica

    async def start_routers(self, zones: list[str]) -> list[Router]:
        """Start a router in each of the zones and wait until all are ready."""
        ips = [f"127.0.1.{number + 1}" for number in range(len(zones))]
        port = free_pair(ips)
        seeds = [f"{ip}:8785" for ip in ips[:3]]
        for ip, zone in zip(ips, zones, strict=True):
            router = Router(
                ip,
                f"{ip}:{free_port(ip)}",
                f"{ip}:{free_port(ip)}",
                self.folder / f"{ip}.json",
                self.folder / f"{ip}.log",
            )
            settings = {
                "host_id": f"front-{ip}",
                "data_centre": zone,
                "ip": ip,
                "caller_address": router.caller,
                "ready_address": router.ready,
                "internal_ports": [port, port + 15],
                "seeds": seeds,
                "store_address": self.store.address,
                "target_heartbeat_milliseconds": 1200,
                "maximum_descriptors": 4100,
                "metrics_port": free_port(ip),
                "processor_share": 0.537,
                "processor_speed": 2,
                "bounds": {
                    "retry_ratio": 0.2,
                    "retry_extra": 52,
                    "retry_window_seconds": 10,
                    "stop_grace_seconds": 8,
                },
            }
            router.settings.write_text(json.dumps(settings))
            self.routers.append(router)
            router.start()
        for router in self.routers:
            await router.wait_ready()
        self.record.add(f"{len(ips)} routers are ready")
        return self.routers

    def end(self) -> None:
        """End all processes and remove the temporary folder."""
        for router in self.routers:
            router.end()
        if os.environ.get("KEEP_LOGS"):
            sys.stderr.write(f"{self.folder}\n")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name: str, kind: str, service: str, **changes: object) -> dict:
    """Return a route of the configuration; its prefix is its name."""
    values = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 800,
        "goalMs": 300,
        "priority": 2,
        "service": service,
        "attempts": 2 if kind == "safe" else 1,
        "public": False,
    }
    return values | changes


def configuration(version: int, routes: list[dict], **changes: object) -> dict:
    """Return a configuration like those of the small deployments."""
    plain = {"healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": False}
    plain |= {"coldS": 0.0, "coldPerS": 0.0}
    engine = {"slots": 128, "kvCapacity": 323_208, "stride": 5}
    values = {
        "version": version,
        "routes": routes,
        "services": [{"name": "desk", **plain}, {"name": "lm-pool", **plain, "engine": engine}],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
            "tokensPerS": 430_000,
        },
        "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}],
    }
    return values | changes


def request(path: str, request_id: str, *, method: str = "GET", body: bytes = b"", **headers: str) -> bytes:
    """Return a request. Underscores in the names of headers stand for dashes; empty headers are left out."""
    fields = {"Host": HOST, "X-Request-Id": request_id, "X-Credential": KEY, "X-Deadline-Ms": "1500"}
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    fields = {name: value for name, value in fields.items() if value}
    if method == "GET":
        lines = [f"GET {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
        return "\r\n".join([*lines, "", ""]).encode("latin-1")
    return encode(f"{method} {path} HTTP/1.1", fields, body)


class Channels:
    """Open channels of the stand-ins, which are closed at the end of a case."""

    def __init__(self):
        self.writers: set[asyncio.StreamWriter] = set()

    def add(self, writer: asyncio.StreamWriter) -> None:
        """Add a channel, and drop those that are closed."""
        self.writers = {known for known in self.writers if not known.is_closing()} | {writer}

    def close_all(self) -> None:
        """Close all channels."""
        for writer in self.writers:
            writer.transport.abort()


CHANNELS = Channels()


async def connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a channel."""
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port), limit=STREAM_LIMIT_BYTES)
    CHANNELS.add(writer)
    return reader, writer


async def ask(address: str, data: bytes, seconds: float = 10.0) -> Message | None:
    """Send a request on a new channel; return the whole answer, None if there is none."""
    try:
        reader, writer = await connect(address)
        writer.write(data)
        return await asyncio.wait_for(read_message(reader), seconds)
    except (OSError, TimeoutError):
        return None
    finally:
        with contextlib.suppress(UnboundLocalError):
            writer.close()


def run_case(case: Path, play: Callable[[Deployment], Awaitable[bool]]) -> int:
    """Play a case; return 1 if the rule was broken, 0 if it held and 2 if the case could not run."""
    deployment = Deployment(case)

    async def start() -> bool:
        await deployment.store.start()
        try:
            return await play(deployment)
        finally:
            deployment.end()
            CHANNELS.close_all()
            await asyncio.sleep(0.1)

    try:
        is_broken = asyncio.run(asyncio.wait_for(start(), 115))
    except Exception as error:  # any failure of the set-up means that the case could not run
        deployment.record.add(f"the case could not run: {type(error).__name__}: {error}")
        return NOT_RUN
    finally:
        deployment.end()
    deployment.record.add("the rule was broken" if is_broken else "the rule held")
    return BROKEN if is_broken else HELD
