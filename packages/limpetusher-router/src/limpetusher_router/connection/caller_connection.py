"""State of one caller's connection, and the socket on which callers connect."""

import enum
import itertools
import socket
from collections import deque

from limpetusher_router.connection.framing import BodyReader, RequestHead
from limpetusher_router.connection.settings import split_address
from limpetusher_router.errors import RouterError
from limpetusher_router.request.answers import reason_phrase

BACKLOG = 1024
PIECES_PER_WRITE = 16
BODYLESS_STATUSES = frozenset({204, 304})


def listen(address: str) -> socket.socket:
    """Return a listening socket.

    Raises
    ------
    RouterError
        If the address can't be used.
    """
    try:
        listener = socket.create_server(split_address(address), backlog=BACKLOG)
    except OSError as error:
        raise RouterError(f"can't listen on caller address {address}: {error.strerror}") from error
    listener.setblocking(False)
    return listener


class CallerState(enum.Enum):
    """What a caller's connection is waiting for."""

    HEAD = enum.auto()
    """The head of a request, or its first byte."""
    BODY = enum.auto()
    """The rest of a request's body."""
    ANSWER = enum.auto()
    """The answer to the request."""
    LINGER = enum.auto()
    """The caller's close, after the last answer; what it still sends is discarded."""


class CallerConnection:
    """One caller's connection: unread bytes, the request in progress and unsent bytes.

    `due_at` is when the connection times out, a reading of the monotonic clock. One entry of the deadline
    heap is kept per connection and is set anew when it fires early.
    """

    __slots__ = (
        "body_parts",
        "body_reader",
        "body_since_reset",
        "buffer",
        "chunked_answer",
        "closing",
        "deadline",
        "due_at",
        "head",
        "head_started",
        "out",
        "out_bytes",
        "paused",
        "reader_blocked",
        "remaining_answer",
        "request_id",
        "sock",
        "state",
        "writing",
    )

    def __init__(self, sock: socket.socket):
        self.sock = sock
        self.state = CallerState.HEAD
        self.buffer = bytearray()
        self.out: deque[bytes | memoryview] = deque()
        self.out_bytes = 0
        self.due_at = 0.0
        self.deadline = None
        self.paused = False
        """Whether reading is stopped because too many bytes of later requests have arrived."""
        self.writing = False
        """Whether the poller watches for room to write."""
        self.reader_blocked = False
        """Whether the sender of the answer was told to wait."""
        self.closing = False
        """Whether the connection closes after the present answer."""
        self.begin_request()

    def begin_request(self) -> None:
        """Forget the request that has been answered."""
        self.request_id = ""
        self.head: RequestHead | None = None
        self.head_started = False
        self.body_reader: BodyReader | None = None
        self.body_parts: list[bytes] = []
        self.body_since_reset = 0
        self.chunked_answer = False
        self.remaining_answer: int | None = None

    def add_output(self, data: bytes) -> None:
        """Append bytes for the caller."""
        if data:
            self.out.append(data)
            self.out_bytes += len(data)

    def add_head(self, status: int, headers: dict[str, str], length: int | None) -> None:
        """Append the head of an answer; without a length the body follows in chunks, or up to the close."""
        old = self.head is not None and self.head.version == (1, 0)
        self.closing = self.closing or (old and length is None)
        self.chunked_answer = length is None and not old
        self.remaining_answer = length
        lines = [f"HTTP/1.1 {status} {reason_phrase(status)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if self.chunked_answer:
            lines.append("transfer-encoding: chunked")
        elif length is not None and status not in BODYLESS_STATUSES:
            lines.append(f"content-length: {length}")
        if self.closing:
            lines.append("connection: close")
        elif old:
            lines.append("connection: keep-alive")
        self.add_output("\r\n".join([*lines, "", ""]).encode("latin-1"))

    @property
    def is_busy(self) -> bool:
        """Return whether a request is in progress or an answer is not written yet."""
        return bool(self.out or self.head_started or self.request_id)

    @property
    def has_unread(self) -> bool:
        """Return whether bytes wait in the socket; a caller's close does not count."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def takes_body(self, status: int) -> bool:
        """Return whether an answer with the status has a body."""
        head_only = self.head is not None and self.head.method == "HEAD"
        return not head_only and status not in BODYLESS_STATUSES

    def write(self) -> int:
        """Write as much as the socket takes and return how much that was.

        Raises
        ------
        OSError
            If the connection is broken.
        """
        written = 0
        while self.out:
            pieces = list(itertools.islice(self.out, PIECES_PER_WRITE))
            try:
                count = self.sock.sendmsg(pieces)
            except (BlockingIOError, InterruptedError):
                break
            written += count
            self.out_bytes -= count
            for piece in pieces:
                if count < len(piece):
                    break
                count -= len(piece)
                self.out.popleft()
            if count:
                # A view, since each write would otherwise copy the rest of a large answer.
                self.out[0] = memoryview(self.out[0])[count:]
                break
        return written
