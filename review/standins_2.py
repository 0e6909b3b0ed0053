"""Stand-ins of the second review: the platform's store, model and application servers, channels, callers.

Only the standard library is used. All addresses are loopback addresses drawn at random for each run. The
routers are started with the command, the build and the settings template of `deploy/system.toml`.
"""

import base64
import contextlib
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import uuid
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import NoReturn
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_MS = 1_200
HISTORY_S = 20
PAGE_ITEMS = 50
COULD_NOT_RUN = 2
"""Exit status of a case that could not run."""
ALLOWED_MIXED_STREAMS = 2
"""The rule ORDER is broken by more than two such streams."""
RESET = struct.pack("ii", 1, 0)
HOST = "line.example"
BOUNDS = {
    "stableWindowMs": 3_000,
    "drainMs": 2_000,
    "graceS": 8,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtra": 56,
    "coldOver": 1.5,
    "coldSlack": 5,
}
"""Bounds of the smaller deployment, as its sheet gives them."""


class Record:
    """Lines of `record.txt`, with the seconds since the start."""

    def __init__(self, path: Path):
        self.path = path
        self.began_at = time.monotonic()
        self.lock = threading.Lock()
        self.file = path.open("w")

    @property
    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began_at

    def write(self, text: str) -> None:
        """Write one line."""
        with self.lock:
            self.file.write(f"{self.now:8.3f}  {text}\n")
            self.file.flush()


class Store(ThreadingHTTPServer):
    """The platform's store: items, one revision counter, and the history of some seconds."""

    daemon_threads = True
    request_queue_size = 256

    def __init__(self, address: str, record: Record):
        super().__init__(split(address), StoreCalls)
        self.address = address
        self.record = record
        self.condition = threading.Condition()
        self.items: dict[str, dict] = {}
        self.history: list[tuple[float, dict]] = []
        self.revision = 1
        self.compacted = 0
        self.era = 0
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def put(self, key: str, value: object) -> None:
        """Write a value."""
        with self.condition:
            self.revision += 1
            created = self.items.get(key, {}).get("createRevision", self.revision)
            item = {
                "key": key,
                "value": base64.b64encode(json.dumps(value).encode()).decode(),
                "rev": self.revision,
                "createRevision": created,
                "lease": 0,
            }
            self.items[key] = item
            self.remember(item)
        self.record.write(f"store: {key} written at revision {item['rev']}: {json.dumps(value)[:160]}")

    def delete(self, key: str) -> None:
        """Remove a key."""
        with self.condition:
            if self.items.pop(key, None) is None:
                return
            self.revision += 1
            self.remember({"key": key, "rev": self.revision, "deleted": True})
        self.record.write(f"store: {key} removed at revision {self.revision}")

    def compact(self) -> None:
        """Drop the whole history."""
        with self.condition:
            self.history.clear()
            self.compacted = self.revision
            self.condition.notify_all()
        self.record.write(f"store: history up to revision {self.revision} dropped")

    def restore(self) -> None:
        """Come back from a copy that has all items, as after a drill in which nothing was lost."""
        with self.condition:
            self.era += 1
            self.history.clear()
            self.compacted = self.revision
            self.condition.notify_all()
        self.record.write(f"store: restored from a copy at revision {self.revision}, Store-Era {self.era}")

    def remember(self, event: dict) -> None:
        """Add an event to the history and drop what is too old."""
        now = time.monotonic()
        self.history.append((now, event))
        while self.history and self.history[0][0] < now - HISTORY_S:
            self.compacted = self.history.pop(0)[1]["rev"]
        self.condition.notify_all()


class StoreCalls(BaseHTTPRequestHandler):
    """Reading calls of the store."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        """Answer one call."""
        store = self.server
        url = urlsplit(self.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        prefix = query.get("prefix", "")
        if url.path == "/kv-range":
            with store.condition:
                after = query.get("after", "")
                found = [
                    store.items[key] for key in sorted(store.items) if key.startswith(prefix) and key > after
                ]
                page = found[:PAGE_ITEMS]
                body = {"items": page, "hasMore": len(found) > len(page), "currentRev": store.revision}
            self.reply(200, body)
        elif url.path == "/kv-watch":
            self.watch(prefix, int(query["after"]), int(query["waitMs"]) / 1_000)
        elif url.path == "/kv-key":
            item = store.items.get(query.get("key", ""))
            body = {**(item or {}), "currentRev": store.revision}
            self.reply(200 if item else 404, body)
        else:
            self.reply(404, {})

    def watch(self, prefix: str, after: int, seconds: float) -> None:
        """Answer once there is an event."""
        store = self.server

        def events() -> list[dict]:
            return [
                event
                for _at, event in store.history
                if event["rev"] > after and event["key"].startswith(prefix)
            ]

        with store.condition:
            era = store.era
            if after < store.compacted:
                status, body = 410, {"currentRev": store.revision}
            else:
                store.condition.wait_for(lambda: events() or store.era != era, timeout=seconds)
                status, body = 200, {"events": events(), "currentRev": store.revision}
        self.reply(status, body)

    def reply(self, status: int, document: dict) -> None:
        """Send an answer."""
        body = json.dumps(document).encode()
        with contextlib.suppress(OSError):
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(body)))
            self.send_header("Store-Era", str(self.server.era))
            self.end_headers()
            self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        """Log nothing."""


class Call:
    """One request at a server, and its channel."""

    def __init__(self, sock: socket.socket, line: str, headers: dict[str, str], body: bytes):
        self.sock = sock
        self.method, self.target, _version = line.split(" ")
        self.headers = headers
        self.body = body
        self.request_id = headers.get("x-request-id", "")

    def answer(self, status: str, body: bytes = b"", *fields: str, seal: bool = True) -> None:
        """Send a whole answer."""
        lines = [f"HTTP/1.1 {status}", f"X-Request-Id: {self.request_id}", *fields]
        if seal:
            lines.append("X-Server-Seal: 3e1b.07.5a2")
        lines += [f"Content-Length: {len(body)}", "", ""]
        self.sock.sendall("\r\n".join(lines).encode() + body)


class Server:
    """A server of the users: serves channels, and writes its entry into the store.

    `run` gets each call that is meant for this server. A call that names another one gets 421.
    """

    def __init__(
        self,
        server_id: str,
        address: str,
        run: Callable[["Server", Call], None],
        record: Record,
        store: Store,
        **entry: object,
    ):
        self.server_id = server_id
        self.address = address
        self.run = run
        self.record = record
        self.store = store
        self.is_gone = False
        self.entry = {
            "service": "",
            "address": address,
            "zone": "",
            "version": "v1",
            "slots": 128,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
            "born": int(time.time() * 1_000),
            **entry,
        }
        self.channels: set[socket.socket] = set()
        self.listener = socket.create_server(split(address), backlog=256)
        threading.Thread(target=self.accept, daemon=True).start()

    @property
    def version(self) -> str:
        """Return the version of the server's software."""
        return self.entry["version"]

    @property
    def is_leaving(self) -> bool:
        """Return whether the server has announced that it leaves."""
        return self.entry["state"] == "draining"

    def write_entry(self, **changes: object) -> None:
        """Write the entry into the store."""
        self.entry.update(changes)
        self.entry["seq"] += 1
        self.store.put(f"servers/{self.server_id}", self.entry)

    def accept(self) -> None:
        """Accept channels."""
        while True:
            try:
                sock, _peer = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.channels.add(sock)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        """Serve the requests of one channel."""
        try:
            buffer = b""
            while (request := read_request(sock, buffer)) is not None:
                call, buffer = request
                self.handle(call)
        except OSError:
            pass
        finally:
            self.channels.discard(sock)
            sock.close()

    def handle(self, call: Call) -> None:
        """Run a call, or reject it if it is meant for another server."""
        fields = ["Server-Leaving: 1"] if self.is_leaving else []
        if call.headers.get("x-target-instance", self.server_id) != self.server_id:
            call.answer("421 Misdirected Request", b"", "X-Not-Executed: 1", *fields, seal=False)
        elif call.target == "/healthz":
            call.answer("200 OK", b"", f"X-Instance-Id: {self.server_id}", *fields, seal=False)
        else:
            self.run(self, call)

    def close(self) -> None:
        """End the server without a word."""
        self.is_gone = True
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in list(self.channels):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                sock.shutdown(socket.SHUT_RDWR)


class StreamRun:
    """Runs streaming requests: one event each `interval_s`, numbered on from `Last-Event-Id`."""

    def __init__(self, events: int, interval_s: float):
        self.events = events
        self.interval_s = interval_s

    def __call__(self, server: Server, call: Call) -> None:
        """Run one request to its end, or until its channel is closed."""
        first = int(call.headers.get("last-event-id") or 0) + 1
        server.record.write(
            f"{server.server_id} ({server.entry['service']} {server.version}) runs {call.request_id} "
            f"from event {first}"
        )
        lines = ["HTTP/1.1 200 OK", f"X-Request-Id: {call.request_id}", "X-Server-Seal: 3e1b.07.5a2"]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        lines += ["Server-Leaving: 1"] if server.is_leaving else []
        call.sock.sendall("\r\n".join([*lines, "", ""]).encode())
        for number in range(first, self.events + 1):
            text = f"id: {number}\ndata: {server.entry['service']} {server.version} {server.server_id}\n\n"
            call.sock.sendall(b"%x\r\n%b\r\n" % (len(text), text.encode()))
            if is_closed(call.sock, self.interval_s):
                server.record.write(
                    f"{server.server_id} ends {call.request_id} after event {number}: channel closed"
                )
                raise ConnectionResetError
        call.sock.sendall(b"0\r\n\r\n")


class Channel:
    """A way between a caller and a router that can be reset, as a network would."""

    def __init__(self, address: str, destination: str):
        self.address = address
        self.destination = destination
        self.pairs: list[tuple[socket.socket, socket.socket]] = []
        self.is_cut = False
        """Whether nothing is passed on, without a reset."""
        self.listener = socket.create_server(split(address), backlog=256)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Accept channels and pass them on."""
        while True:
            try:
                near, _peer = self.listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(split(self.destination), timeout=1.0)
                far.settimeout(None)
            except OSError:
                near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                near.close()
                continue
            self.pairs.append((near, far))
            for source, sink in ((near, far), (far, near)):
                threading.Thread(target=self.copy, args=(source, sink), daemon=True).start()

    def copy(self, source: socket.socket, sink: socket.socket) -> None:
        """Copy bytes until one side closes."""
        with contextlib.suppress(OSError):
            while data := source.recv(65_536):
                while self.is_cut:
                    time.sleep(0.02)
                sink.sendall(data)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)

    def reset(self, share: float) -> int:
        """Reset a share of the open channels, chosen at random, and return their number."""
        self.pairs = [pair for pair in self.pairs if pair[0].fileno() >= 0]
        chosen = random.sample(self.pairs, int(share * len(self.pairs)))
        for pair in chosen:
            self.pairs.remove(pair)
            for sock in pair:
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    sock.shutdown(socket.SHUT_RD)
                    sock.close()
        return len(chosen)


class Router:
    """One process of the deploy file's role."""

    def __init__(self, deployment: "Deployment", ip: str, zone: str, number: int):
        self.deployment = deployment
        self.ip = ip
        self.zone = zone
        self.name = f"front-{zone}-{number}"
        self.front = f"{ip}:8783"
        self.ready = f"{ip}:8780"
        self.control = f"{ip}:8785"
        self.settings = deployment.folder / f"{self.name}.json"
        self.log = deployment.folder / f"{self.name}.log"
        self.process: subprocess.Popen | None = None
        self.store_address = deployment.store.address

    def write_settings(self, seeds: Iterable[str], *, bootstrap: bool) -> None:
        """Fill in the template of the settings, as the platform does at a start."""
        deployment = self.deployment
        fields = {
            "node": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "listen": {"front": self.front, "ready": self.ready, "control": self.control},
            "portRange": [7400, 7415],
            "seeds": list(seeds),
            "provider": {"address": self.store_address, "historyS": HISTORY_S},
            "heartbeatMs": HEARTBEAT_MS,
            "limits": {"maxFds": 4_100, "memoryMb": 300, "cpuShare": 0.537, "cores": 2},
            "bootstrap": bootstrap,
            "bounds": deployment.bounds,
        }
        template = ROOT / deployment.role["template"]
        text = re.sub(
            r"\{\{([a-zA-Z.]+)\|json\}\}", lambda found: lookup(fields, found[1]), template.read_text()
        )
        other = self.settings.with_suffix(".new")
        other.write_text(text)
        other.rename(self.settings)

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        variables = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["LIMPETUSHER_NODE_FILE"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                shlex.split(self.deployment.role["run"]),
                cwd=ROOT,
                env=variables,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.deployment.record.write(f"{self.name} started as process {self.process.pid}")

    def kill(self, number: int = signal.SIGKILL) -> None:
        """Send a signal to the process."""
        self.deployment.record.write(f"{self.name} gets signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    @property
    def is_ready(self) -> bool:
        """Return whether the process says that it is ready."""
        try:
            with socket.create_connection(split(self.ready), timeout=1.0) as sock:
                sock.sendall(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                return sock.recv(64).split(b" ")[1:2] == [b"200"]
        except OSError:
            return False


class Deployment:
    """A store, servers and routers on loopback addresses, which all end with it."""

    def __init__(self, record: Record, zones: Iterable[str], **bounds: object):
        # A case that takes too long is ended by a signal, and ends its processes then as well.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
        self.record = record
        self.bounds = {**BOUNDS, **bounds}
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["router"]
        self.network = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        self.last_host = 0
        self.store = Store(self.new_address(8781), record)
        self.servers: dict[str, Server] = {}
        self.routers = [
            Router(self, self.new_address().rpartition(":")[0], zone, number)
            for number, zone in enumerate(zones, 1)
        ]

    def new_address(self, port: int = 8000) -> str:
        """Return an address that is not in use."""
        self.last_host += 1
        return f"{self.network}.{self.last_host}:{port}"

    def add_server(self, server_id: str, run: Callable[[Server, Call], None], **entry: object) -> Server:
        """Start a server and write its entry."""
        server = Server(server_id, self.new_address(), run, self.record, self.store, **entry)
        self.servers[server_id] = server
        server.write_entry()
        return server

    def start_all(self, *, bootstrap: bool, alone: Iterable[Router] = ()) -> None:
        """Start all routers; those that are alone reach none of their seeds."""
        for router in self.routers:
            known = [other.control for other in self.routers[:3]]
            if router in alone:
                known = [self.new_address(8785) for _seed in known]
            router.write_settings(known, bootstrap=bootstrap)
            router.start()

    def wait_ready(self, seconds: float = 30.0) -> bool:
        """Wait until all routers are ready, and return whether they are."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if all(router.is_ready for router in self.routers):
                return True
            if any(router.process.poll() is not None for router in self.routers):
                return False
            time.sleep(0.05)
        return False

    def close(self) -> None:
        """End all processes that were started."""
        for router in self.routers:
            if router.process is not None and router.process.poll() is None:
                router.process.kill()
                router.process.wait()
        for server in self.servers.values():
            server.close()
        self.store.shutdown()
        shutil.rmtree(self.folder, ignore_errors=True)


@dataclass
class Attempt:
    """One attempt of a caller to get its stream, or the rest of it."""

    address: str
    sent_at: float
    is_takeup: bool
    status: int = 0
    goes_on: bool = False
    """Whether it brought events."""


class StreamCaller(threading.Thread):
    """A caller that takes its stream up again after each broken channel, within its time budget.

    `address_of` tells to which address an attempt is sent, by the numbers of the caller and the attempt.
    """

    def __init__(
        self,
        number: int,
        address_of: Callable[[int, int], str],
        record: Record,
        *,
        retry_s: float,
        max_attempts: int = 8,
        budget_s: float = 15.0,
    ):
        super().__init__(daemon=True)
        self.number = number
        self.address_of = address_of
        self.record = record
        self.retry_s = retry_s
        self.max_attempts = max_attempts
        self.budget_s = budget_s
        self.events: list[tuple[int, str]] = []
        self.attempts: list[Attempt] = []
        self.first_id = ""
        """Identifier of the attempt that brought the first event."""

    def run(self) -> None:
        """Ask until the stream is complete, the time is over or there were enough attempts."""
        ends_at = time.monotonic() + self.budget_s
        while len(self.attempts) < self.max_attempts and (left := ends_at - time.monotonic()) > 0.5:
            if self.try_once(left):
                return
            time.sleep(self.retry_s)

    def try_once(self, left_s: float) -> bool:
        """Send one attempt, and return whether the stream is complete."""
        request_id = uuid.uuid4().hex[:16]
        part = 16 * self.number
        headers = {
            "X_Request_Id": request_id,
            "X_Model": "m",
            "X_Token_Usage": "400,120",
            "X_Prompt_Prefix": f"{part:x}:200,{part + 1:x}:200",
            "X_Deadline_Ms": str(int(left_s * 1_000)),
            "X_Credential": f"key-{self.number % 4 + 1}",
        }
        if self.events:
            headers |= {"Last_Event_Id": str(self.events[-1][0]), "Resumes": self.first_id}
        address = self.address_of(self.number, len(self.attempts))
        attempt = Attempt(address, self.record.now, bool(self.events))
        self.attempts.append(attempt)
        answer = ask(address, f"/chat/{self.number}", **headers)
        attempt.status = answer.status
        events = answer.events if answer.status == 200 else []
        attempt.goes_on = bool(events)
        if events and not self.first_id:
            self.first_id = request_id
        self.events += events
        content = f"events {events[0]} to {events[-1]}" if events else answer.body[:120]
        self.record.write(
            f"caller {self.number}, attempt {len(self.attempts)} ({request_id}) at {address}: status "
            f"{answer.status}, complete {answer.is_complete}, {content}"
        )
        return answer.status == 200 and answer.is_complete


def run_case(play: Callable[[Record], int], folder: Path) -> NoReturn:
    """Play a case, and exit with its status; a case that fails itself could not run."""
    record = Record(folder / "record.txt")
    try:
        status = play(record)
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        status = COULD_NOT_RUN
    sys.exit(status)


def judge_order(callers: list[StreamCaller], record: Record) -> int:
    """Return 1 if more than two streams hold events from two software versions of one service."""
    mixed = 0
    for caller in callers:
        writers = sorted({tuple(data.split()[:2]) for _number, data in caller.events})
        services = [service for service, _version in writers]
        mixed += len(services) > len(set(services))
        statuses = [attempt.status for attempt in caller.attempts]
        record.write(
            f"caller {caller.number}: {len(caller.events)} events from {writers}, statuses {statuses}"
        )
    if not all(caller.events for caller in callers):
        record.write("not all streams have begun")
        return COULD_NOT_RUN
    record.write(f"streams with events from two software versions of one service: {mixed} of {len(callers)}")
    return 1 if mixed > ALLOWED_MIXED_STREAMS else 0


class Answer:
    """What a caller has got for one attempt."""

    def __init__(self):
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_complete = False

    @property
    def events(self) -> list[tuple[int, str]]:
        """Return the whole events of a stream."""
        found = []
        for block in self.body.split(b"\n\n")[:-1]:
            fields = dict(line.split(": ", 1) for line in block.decode().split("\n") if ": " in line)
            found.append((int(fields["id"]), fields["data"]))
        return found


def ask(address: str, path: str, *, method: str = "POST", body: bytes = b"{}", **headers: str) -> Answer:
    """Send one request on a new channel, and return what came back.

    Underscores in names of headers stand for dashes.
    """
    answer = Answer()
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", "Connection: close"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    try:
        with socket.create_connection(split(address), timeout=1.0) as sock:
            sock.settimeout(float(headers.get("X_Deadline_Ms", 5_000)) / 1_000 + 1.0)
            sock.sendall("\r\n".join(lines).encode() + body)
            read_answer(sock, answer)
    except OSError:
        pass
    return answer


def read_answer(sock: socket.socket, answer: Answer) -> None:
    """Read an answer into `answer`, which keeps what has come if the channel breaks."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(65_536)
        if not part:
            return
        data += part
    head, _, data = data.partition(b"\r\n\r\n")
    line, *fields = head.decode("latin-1").split("\r\n")
    answer.headers = {name.lower(): value.strip() for name, _, value in (f.partition(":") for f in fields)}
    answer.status = int(line.split(" ")[1])
    if answer.headers.get("transfer-encoding") != "chunked":
        length = int(answer.headers.get("content-length", 0))
        answer.body = data
        while len(answer.body) < length and (part := sock.recv(65_536)):
            answer.body += part
        answer.is_complete = len(answer.body) == length
        return
    while True:
        size, separator, rest = data.partition(b"\r\n")
        count = int(size, 16) if separator else 0
        if separator and count == 0:
            answer.is_complete = True
            return
        if separator and len(rest) >= count + 2:
            answer.body += rest[:count]
            data = rest[count + 2 :]
            continue
        part = sock.recv(65_536)
        if not part:
            return
        data += part


def read_request(sock: socket.socket, buffer: bytes) -> tuple[Call, bytes] | None:
    """Read one request with a length, None at the end of the channel."""
    while b"\r\n\r\n" not in buffer:
        part = sock.recv(65_536)
        if not part:
            return None
        buffer += part
    head, _, buffer = buffer.partition(b"\r\n\r\n")
    line, *fields = head.decode("latin-1").split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (field.partition(":") for field in fields)}
    length = int(headers.get("content-length", 0))
    while len(buffer) < length:
        part = sock.recv(65_536)
        if not part:
            return None
        buffer += part
    return Call(sock, line, headers, buffer[:length]), buffer[length:]


def is_closed(sock: socket.socket, seconds: float) -> bool:
    """Wait for some time and return whether the other side has closed the channel meanwhile."""
    sock.settimeout(seconds)
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except TimeoutError:
        return False
    finally:
        sock.settimeout(None)


def split(address: str) -> tuple[str, int]:
    """Return host and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def lookup(fields: dict, path: str) -> str:
    """Return a field of the settings as JSON."""
    value: object = fields
    for name in path.split("."):
        value = value[name]
    return json.dumps(value)


def service_document(name: str, **changes: object) -> dict:
    """Return a service of the configuration."""
    values = {
        "name": name,
        "healthPath": "/healthz",
        "maxConns": 620,
        "protocol": "h1",
        "tls": False,
        "coldS": 0.0,
        "coldPerS": 0.0,
    }
    return {**values, **changes}


ENGINE = {
    "slots": 128,
    "kvCapacity": 242_398,
    "kvTokenBytes": 131_072,
    "linkMbps": 280_000.0,
    "moves": True,
    "backups": True,
    "stride": 3,
    "most": 12,
    "pinMs": 4_000.0,
    "holdMs": 2_000.0,
    "handleS": 5.0,
    "models": [{"name": "m"}],
}


def stream_route(name: str, prefix: str, service: str, **changes: object) -> dict:
    """Return a route of resumable streams."""
    values = {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": "streaming",
        "timeoutMs": 15_000,
        "goalMs": 2_000,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "public": False,
        "sticky": True,
        "resumable": True,
        "gapAimMs": 500,
    }
    return {**values, **changes}


def configuration(version: int, routes: list[dict], services: list[dict], tenants: int = 4) -> dict:
    """Return a configuration; the key of the tenant `tenant-1` is `key-1`, and so on."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
            "tokensPerS": 75_000,
        },
        "tenants": [
            {"name": f"tenant-{number}", "apiKeys": [f"key-{number}"], "priority": 1}
            for number in range(1, tenants + 1)
        ],
    }
