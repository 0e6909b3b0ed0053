"""State of one caller's connection."""

import enum
import socket
from collections import deque

from limpetusher_router.connection.framing import BodyReader, RequestHead


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
        self.out: deque[bytes] = deque()
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

    def write(self) -> int:
        """Write as much as the socket takes and return how much that was.

        Raises
        ------
        OSError
            If the connection is broken.
        """
        written = 0
        while self.out:
            data = self.out[0]
            try:
                count = self.sock.send(data)
            except (BlockingIOError, InterruptedError):
                break
            written += count
            self.out_bytes -= count
            if count < len(data):
                self.out[0] = data[count:]
                break
            self.out.popleft()
        return written
