"""State of one connection to a target or to the platform."""

import enum
import socket

from limpetusher_router.connection.framing import AnswerHead, BodyReader
from limpetusher_router.events import Attempt


class TargetState(enum.Enum):
    """What a connection to a target is doing."""

    CONNECTING = enum.auto()
    """The connection is being made."""
    BUSY = enum.auto()
    """The request is being sent or its answer is being read."""
    IDLE = enum.auto()
    """The connection is kept for a later request."""


class TargetConnection:
    """One connection to a target: the exchange on it, unsent bytes of the request and unparsed bytes."""

    __slots__ = (
        "address",
        "attempt",
        "body",
        "buffer",
        "deadline",
        "due_at",
        "ends_with_connection",
        "head",
        "is_foreign",
        "kept_at",
        "paused",
        "received",
        "reused",
        "sent",
        "sent_before",
        "sock",
        "state",
        "unsent",
        "writing",
    )

    def __init__(self, sock: socket.socket, address: str):
        self.sock = sock
        self.address = address
        self.state = TargetState.CONNECTING
        self.reused = False
        self.writing = False
        self.paused = False
        self.due_at = 0.0
        self.kept_at = 0.0
        """Since when the connection waits for another request."""
        self.deadline = None
        self.begin(None)

    def begin(self, attempt: Attempt | None) -> None:
        """Forget the exchange before and begin another one."""
        self.attempt = attempt
        self.unsent = memoryview(attempt.request if attempt is not None else b"")
        self.sent_before = False
        """Whether the same exchange has sent a byte on a kept connection that broke."""
        self.sent = False
        """Whether at least one byte of the request was handed to the network."""
        self.received = False
        """Whether at least one byte of the answer arrived."""
        self.buffer = bytearray()
        self.head: AnswerHead | None = None
        self.body: BodyReader | None = None
        self.ends_with_connection = False
        self.is_foreign = False
        """Whether the present answer belongs to another request."""

    @property
    def is_clean(self) -> bool:
        """Return whether the connection can carry another exchange."""
        return (
            self.head is not None
            and self.head.keep_alive
            and not self.ends_with_connection
            and not self.unsent
            and not self.buffer
        )
