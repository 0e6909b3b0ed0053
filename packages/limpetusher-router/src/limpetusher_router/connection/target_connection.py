"""State of one connection to a target or to the platform."""

import enum
import fcntl
import socket
import sys
import termios

from limpetusher_router.connection.framing import AnswerHead, BodyReader
from limpetusher_router.events import Attempt

UNACKNOWLEDGED_BYTES_SIZE = 4
"""Size of the C integer that the kernel returns for TIOCOUTQ."""


class TargetConnectionState(enum.Enum):
    """State of a connection to a target."""

    CONNECTING = enum.auto()
    """The TCP connection is being established."""
    BUSY = enum.auto()
    """A request is being sent or its answer is being read."""
    ENDED = enum.auto()
    """The target has closed the connection, which has to be confirmed as the end of the answer."""
    IDLE = enum.auto()
    """The connection stays open for a later request."""


class TargetConnection:
    """One connection to a target: its current attempt, unsent request bytes and unparsed answer bytes.

    `timeout_at`, `connect_by` and `idle_since` are readings of the monotonic clock.
    """

    __slots__ = (
        "address",
        "attempt",
        "body",
        "buffer",
        "connect_by",
        "deadline",
        "ends_at_close",
        "has_received",
        "has_sent",
        "head",
        "idle_since",
        "is_confirmation",
        "is_control",
        "is_mismatched",
        "reading_paused",
        "reused",
        "sent_on_previous_connection",
        "sock",
        "state",
        "timeout_at",
        "unsent",
        "writer_registered",
    )

    def __init__(self, sock: socket.socket, address: str):
        self.sock = sock
        self.address = address
        self.state = TargetConnectionState.CONNECTING
        self.is_control = False
        """Whether the connection is to the store or a router."""
        self.reused = False
        self.writer_registered = False
        self.reading_paused = False
        self.timeout_at = 0.0
        self.connect_by = 0.0
        """Time by which the connection has to be established."""
        self.idle_since = 0.0
        """Time at which the last exchange on the connection ended."""
        self.deadline = None
        self.reset(None)

    def reset(self, attempt: Attempt | None) -> None:
        """Reset the state of the previous exchange and set the next attempt, None for an idle connection."""
        self.attempt = attempt
        self.unsent: list[memoryview] = []
        if attempt is not None:
            self.unsent = [memoryview(data) for data in (attempt.request, attempt.body) if data]
        self.sent_on_previous_connection = False
        """Whether a byte of the same request was sent on a reused connection that broke."""
        self.has_sent = False
        """Whether at least one byte of the request was written to the socket."""
        self.has_received = False
        """Whether at least one byte of the answer arrived."""
        self.buffer = bytearray()
        self.head: AnswerHead | None = None
        self.body: BodyReader | None = None
        self.ends_at_close = False
        """Whether the close of the connection marks the end of the answer."""
        self.is_mismatched = False
        """Whether the current answer belongs to another request."""
        self.is_confirmation = False
        """Whether the connection is only opened to see if the target still accepts connections."""

    def drop_sent(self, count: int) -> None:
        """Remove the first `count` bytes of the unsent ones."""
        while count:
            first = self.unsent[0]
            if count < len(first):
                self.unsent[0] = first[count:]
                return
            count -= len(first)
            del self.unsent[0]

    @property
    def is_request_taken(self) -> bool:
        """Return whether the whole request was written and the target's host has acknowledged all of it."""
        if self.unsent or self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return False
        try:
            data = fcntl.ioctl(self.sock, termios.TIOCOUTQ, bytes(UNACKNOWLEDGED_BYTES_SIZE))
        except OSError:
            # Not every system tells what was acknowledged; what was written counts as taken there.
            return True
        return int.from_bytes(data, sys.byteorder) == 0

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection can be used for another exchange."""
        return (
            self.head is not None
            and self.head.keep_alive
            and not self.ends_at_close
            and not self.unsent
            and not self.buffer
        )
