"""Builders of requests with large bodies, for a real router process."""

import contextlib
import json
import socket
import threading
import time
from collections.abc import Iterator

from builders_platform import HOST, FleetRun, configuration_document, exchange, request_text, split_answer
from builders_router import read_all
from limpetusher.events import Event

LARGE_BODY_BYTES = 4_000_000
PIECE_BYTES = 250_000


def accept_large_bodies(run: FleetRun, *routes: dict) -> None:
    """Put a configuration in force with the users' limit of the size of bodies."""
    document = configuration_document(4, **({"routes": list(routes)} if routes else {}))
    document["limits"]["maxBodyBytes"] = 4_194_304
    run.put("op/config", document, Event.CONFIGURATION_IN_FORCE)


def upload_head(path: str, request_id: str, *, length: int | None, **headers: str) -> bytes:
    """Return the head of a request with a body of a length, or in chunks if it is None."""
    fields = {"x_request_id": request_id, "x_credential": "key-a", "x_deadline_ms": "5000", **headers}
    fields |= {"transfer_encoding": "chunked"} if length is None else {"content_length": str(length)}
    lines = [f"POST {path} HTTP/1.1", f"host: {HOST}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode()


def chunked(body: bytes) -> bytes:
    pieces = [body[start : start + PIECE_BYTES] for start in range(0, len(body), PIECE_BYTES)]
    return b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n"


def open_upload(address: str, data: bytes) -> socket.socket:
    """Open a connection and send the first bytes of a request."""
    host, port = address.split(":")
    sock = socket.create_connection((host, int(port)), timeout=20)
    sock.sendall(data)
    return sock


@contextlib.contextmanager
def partial_uploads(run: FleetRun, count: int, *, length: int, data: bytes = b"") -> Iterator[None]:
    """Keep connections open that have sent the head and a part of a body, unless the router refuses it."""
    with contextlib.ExitStack() as stack:
        for number in range(count):
            head = upload_head("/unsafe/1", f"partial-{number}", length=length)
            sock = stack.enter_context(open_upload(run.router.caller, head))
            with contextlib.suppress(OSError):
                sock.sendall(data)
        yield


def upload(run: FleetRun, number: int, *, body: bytes, in_chunks: bool = False) -> bytes:
    """Send a request with a large body on its own connection and return the whole answer."""
    length = None if in_chunks else len(body)
    data = upload_head("/unsafe/1", f"upload-{number}", length=length, connection="close")
    with open_upload(run.router.caller, data) as sock:
        sock.sendall(chunked(body) if in_chunks else body)
        return read_all(sock)


class SmallRequests:
    """Callers that send one small request after the other, and what they get.

    `statuses` has one entry for each request; 0 stands for a connection that ended without an answer.
    """

    def __init__(self, run: FleetRun, callers: int = 4):
        self.run = run
        self.statuses: list[int] = []
        self.longest_seconds = 0.0
        self.is_over = threading.Event()
        self.threads = [threading.Thread(target=self.ask, args=(number,)) for number in range(callers)]

    def ask(self, caller: int) -> None:
        number = 0
        while not self.is_over.is_set():
            number += 1
            begun = time.monotonic()
            text = request_text(method="POST", body="x" * 1000, x_request_id=f"small-{caller}-{number}")
            try:
                self.statuses.append(split_answer(exchange(self.run.router.caller, text))[0])
            except (OSError, IndexError):
                self.statuses.append(0)
            self.longest_seconds = max(self.longest_seconds, time.monotonic() - begun)
            time.sleep(0.01)


@contextlib.contextmanager
def small_requests(run: FleetRun) -> Iterator[SmallRequests]:
    """Send small requests meanwhile."""
    requests = SmallRequests(run)
    for thread in requests.threads:
        thread.start()
    try:
        yield requests
    finally:
        requests.is_over.set()
        for thread in requests.threads:
            thread.join()


def is_refused_as_not_run(answer: bytes) -> bool:
    """Return whether an answer refuses a request for lack of memory, with the time until a retry."""
    status, body = split_answer(answer)
    error = json.loads(body)["error"] if status == 503 else {}
    return error.get("code") == "no_memory" and error["ran"] == "no" and b"\r\nretry-after: " in answer
