"""Callers for tests of a flooded router: a flood in its own process, and callers that connect anew."""

import contextlib
import multiprocessing
import select
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

RECEIVE_BYTES = 65_536
ANSWER_START = b"HTTP/1.1 "


class FloodCaller:
    """Open connections on which one customer sends requests without waiting for answers.

    Parameters
    ----------
    address
        Address of the router.
    request
        Bytes of one request.
    count
        Number of connections.
    rate
        Requests per second over all connections; with 0, each connection sends its next request once the
        previous one is answered.
    """

    def __init__(self, address: str, request: bytes, *, count: int, rate: float):
        self.host, self.port = address.rsplit(":", 1)
        self.request = request
        self.count = count
        self.rate = rate
        self.answers = 0
        self.poller = select.epoll()
        self.socks: dict[int, socket.socket] = {}
        self.order: list[int] = []
        for index in range(count):
            self.order.append(0)
            self.open_connection(index)

    def open_connection(self, index: int) -> None:
        """Open a connection in place of one that has ended."""
        sock = socket.create_connection((self.host, int(self.port)), timeout=10)
        sock.setblocking(False)
        self.socks[sock.fileno()] = sock
        self.order[index] = sock.fileno()
        self.poller.register(sock, select.EPOLLIN)

    def send(self, descriptor: int) -> None:
        """Send a request, or nothing if the connection takes no more bytes."""
        sock = self.socks.get(descriptor)
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.send(self.request)

    def receive(self, descriptor: int) -> None:
        """Count the answers that have arrived, and forget a connection that the router has closed."""
        sock = self.socks[descriptor]
        try:
            data = sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.poller.unregister(sock)
            del self.socks[descriptor]
            sock.close()
            return
        count = data.count(ANSWER_START)
        self.answers += count
        if count and not self.rate:
            self.send(descriptor)

    def run(self, seconds: float) -> None:
        """Send requests for some time."""
        started = time.monotonic()
        sent = 0
        if not self.rate:
            for descriptor in self.order:
                self.send(descriptor)
        while (elapsed := time.monotonic() - started) < seconds:
            due = int(elapsed * self.rate)
            while sent < due:
                self.send(self.order[sent % self.count])
                sent += 1
            for descriptor, _events in self.poller.poll(0.005):
                self.receive(descriptor)

    def close(self) -> None:
        """Close all connections."""
        for sock in self.socks.values():
            sock.close()
        self.poller.close()


def run_flood(
    address: str, request: bytes, count: int, rate: float, seconds: float, started, results
) -> None:
    """Flood a router for some time and report the answers per second."""
    caller = FloodCaller(address, request, count=count, rate=rate)
    started.set()
    caller.run(seconds)
    results.put(caller.answers / seconds)
    caller.close()


class FloodProcess:
    """A process that floods a router for a bounded time."""

    def __init__(self, address: str, request: bytes, *, count: int, rate: float, seconds: float):
        context = multiprocessing.get_context("spawn")
        self.started = context.Event()
        self.results = context.Queue()
        arguments = (address, request, count, rate, seconds, self.started, self.results)
        self.process = context.Process(target=run_flood, args=arguments, daemon=True)
        self.process.start()

    def wait_started(self) -> None:
        """Wait until all connections are open."""
        assert self.started.wait(30)

    def wait(self) -> float:
        """Wait for the end of the flood and return the number of answers per second."""
        rate = self.results.get(timeout=120)
        self.process.join(30)
        return rate

    def close(self) -> None:
        """End the process."""
        self.process.kill()
        self.process.join()


@dataclass(frozen=True, slots=True)
class NewCall:
    """A call on a new connection, with times in seconds."""

    accepted: float
    """Until the router had accepted the connection and read the head, infinity if it did not."""
    answered: float
    status: int


def call_anew(address: str, head: bytes, body: bytes, *, timeout: float) -> NewCall:
    """Send a request with `Expect: 100-continue` on a new connection.

    The interim answer is the first sign that the router itself, not only its kernel, has the connection.
    """
    host, port = address.rsplit(":", 1)
    started = time.monotonic()
    accepted = answered = float("inf")
    data = b""
    with contextlib.suppress(OSError), socket.create_connection((host, int(port)), timeout=timeout) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.sendall(head)
        data = sock.recv(RECEIVE_BYTES)
        if data:
            accepted = time.monotonic() - started
        sock.sendall(body)
        if data.startswith(b"HTTP/1.1 100"):
            data = sock.recv(RECEIVE_BYTES)
        if data:
            answered = time.monotonic() - started
    status = int(data.split()[1]) if data else 0
    return NewCall(accepted, answered, status)


class NewCallers:
    """Callers that connect anew for each request, some at a time.

    Parameters
    ----------
    address
        Address of the router.
    request
        Request with `Expect: 100-continue` and a body of `BODY`.
    """

    BODY = b"body"
    THREADS = 4
    PAUSE_SECONDS = 0.05
    TIMEOUT_SECONDS = 3.0

    def __init__(self, address: str, request: bytes):
        self.address = address
        self.request = request

    def call_until(self, end: float) -> list[NewCall]:
        """Call again and again until a time of the monotonic clock."""
        calls = []
        while time.monotonic() < end:
            calls.append(call_anew(self.address, self.request, self.BODY, timeout=self.TIMEOUT_SECONDS))
            time.sleep(self.PAUSE_SECONDS)
        return calls

    def run(self, seconds: float) -> list[NewCall]:
        """Return the calls of all callers within some time."""
        end = time.monotonic() + seconds
        with ThreadPoolExecutor(self.THREADS) as executor:
            batches = list(executor.map(self.call_until, [end] * self.THREADS))
        return [call for batch in batches for call in batch]
