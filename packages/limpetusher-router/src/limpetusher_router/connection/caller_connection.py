"""State of one caller's connection, and the listening socket for callers."""

import ctypes
import enum
import itertools
import socket
import struct
from collections import deque

from limpetusher_router.connection.framing import BodyReader, RequestHead
from limpetusher_router.connection.settings import split_address
from limpetusher_router.errors import RouterError
from limpetusher_router.request.answers import reason_phrase

LISTEN_BACKLOG = 1024
BUFFERS_PER_WRITE = 16
SO_ATTACH_FILTER = 26
"""Linux option, without a name in the socket module."""
DROP_NEW_CONNECTIONS = b"".join(
    struct.pack("HBBI", *instruction)
    for instruction in (
        (0x30, 0, 0, 13),  # load the flags of the TCP header
        (0x54, 0, 0, 0x12),  # keep SYN and ACK
        (0x15, 0, 1, 0x02),  # SYN without ACK:
        (0x06, 0, 0, 0),  # drop the packet
        (0x06, 0, 0, 0xFFFFFFFF),  # otherwise accept all of it
    )
)
"""Classic BPF program that drops the first packet of each new connection."""
BPF_INSTRUCTION_BYTES = 8
LAST_DATA_RECEIVED = struct.Struct("=I")
LAST_DATA_RECEIVED_OFFSET = 52
"""Place of `tcpi_last_data_recv`, in milliseconds, in the structure `tcp_info` of Linux."""
TCP_INFO_BYTES = LAST_DATA_RECEIVED_OFFSET + LAST_DATA_RECEIVED.size
BODYLESS_STATUSES = frozenset({204, 304})
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a close resets the connection, also by the kernel when the process ends."""
FINISH_ON_CLOSE = struct.pack("ii", 0, 0)
"""Value of SO_LINGER with which a close sends the remaining output and ends the connection regularly."""


def create_listener(address: str) -> socket.socket:
    """Return a non-blocking listening socket.

    Raises
    ------
    RouterError
        If the address can't be used.
    """
    try:
        listener = socket.create_server(split_address(address), backlog=LISTEN_BACKLOG)
    except OSError as error:
        raise RouterError(f"can't listen on caller address {address}: {error.strerror}") from error
    listener.setblocking(False)
    return listener


def drop_new_connections(listener: socket.socket) -> None:
    """Let no further connection enter the listen queue; those in it can still be accepted.

    Callers repeat their first packet after about a second, and are refused once the socket is closed.

    Raises
    ------
    OSError
        If the system does not support it.
    """
    program = ctypes.create_string_buffer(DROP_NEW_CONNECTIONS, len(DROP_NEW_CONNECTIONS))
    count = len(DROP_NEW_CONNECTIONS) // BPF_INSTRUCTION_BYTES
    option = struct.pack("@HP", count, ctypes.addressof(program))
    listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, option)


class CallerConnectionState(enum.Enum):
    """What a caller's connection waits for."""

    HEAD = enum.auto()
    """The head of the next request."""
    BODY = enum.auto()
    """The rest of a request's body."""
    ANSWER = enum.auto()
    """The answer to the request."""
    LINGER = enum.auto()
    """The caller's close after the last answer; further bytes from the caller are discarded."""


class CallerConnection:
    """One caller's connection: unread bytes, the request in progress and unsent bytes.

    `accepted_at` and `timeout_at` are readings of the monotonic clock. Each connection has at most one entry
    in the deadline heap, `deadline`; an entry that fires before `timeout_at` is scheduled again.
    """

    __slots__ = (
        "accepted_at",
        "body_bytes_since_reset",
        "body_parts",
        "body_progress_at",
        "body_progress_bytes",
        "body_reader",
        "body_received_at",
        "buffer",
        "buffered_at",
        "chunked_answer",
        "closing",
        "deadline",
        "discard_until",
        "has_sent_head",
        "head",
        "head_started",
        "held_bytes",
        "is_admitted",
        "is_rest_dropped",
        "large_body",
        "output",
        "output_bytes",
        "reading_paused",
        "remaining_answer",
        "request_id",
        "sender_paused",
        "sock",
        "state",
        "timeout_at",
        "writer_registered",
    )

    def __init__(self, sock: socket.socket, *, accepted_at: float = 0.0):
        self.sock = sock
        self.accepted_at = accepted_at
        self.state = CallerConnectionState.HEAD
        self.buffer = bytearray()
        self.buffered_at = 0.0
        """Monotonic time at which the first of the bytes in `buffer` arrived at this host."""
        self.output: deque[bytes | memoryview] = deque()
        self.output_bytes = 0
        self.timeout_at = 0.0
        self.discard_until = 0.0
        """Time until which the rest of a refused body is read and discarded."""
        self.held_bytes = 0
        """Bytes that the account of body memory holds for this connection."""
        self.deadline = None
        self.has_sent_head = False
        """Whether the caller has sent a whole head on this connection."""
        self.reading_paused = False
        """Whether reading is paused because too many bytes of later requests are buffered."""
        self.writer_registered = False
        """Whether the poller reports when the socket is writable."""
        self.sender_paused = False
        """Whether the component that produces the answer was told to pause."""
        self.closing = False
        """Whether the connection closes after the current answer."""
        self.is_rest_dropped = False
        """Whether bytes of later requests were dropped, so that the next request can only be refused."""
        self.begin_request()

    def begin_request(self) -> None:
        """Reset the state of the previous request."""
        self.request_id = ""
        self.head: RequestHead | None = None
        self.head_started = False
        self.is_admitted = False
        """Whether the next request is known not to be shed."""
        self.body_reader: BodyReader | None = None
        self.body_parts: list[bytes] = []
        self.body_received_at = 0.0
        """When bytes of an incomplete body arrived last."""
        self.body_progress_at = 0.0
        """When the progress of the body was last checked; at first, when its first bytes arrived."""
        self.body_progress_bytes = 0
        """Bytes of the body that had arrived by then."""
        self.large_body: memoryview | None = None
        """Memory for a large body of known length."""
        self.body_bytes_since_reset = 0
        self.chunked_answer = False
        self.remaining_answer: int | None = None

    def allocate_large_body(self) -> None:
        """Allocate the memory for a body of known length, so that its parts need not be joined later."""
        self.large_body = memoryview(bytearray(self.head.content_length))

    def add_body(self, data: bytes) -> None:
        """Add bytes of the body."""
        if self.large_body is None:
            self.body_parts.append(data)
        else:
            end = self.body_reader.received_bytes
            self.large_body[end - len(data) : end] = data

    def take_body(self) -> bytes | memoryview:
        """Return the whole body and keep no reference to it."""
        if self.large_body is not None:
            body, self.large_body = self.large_body, None
            return body
        body = b"".join(self.body_parts)
        self.body_parts = []
        return body

    def add_output(self, data: bytes) -> None:
        """Append bytes to the output buffer."""
        if data:
            self.output.append(data)
            self.output_bytes += len(data)

    def add_answer_head(self, status: int, headers: dict[str, str], length: int | None) -> None:
        """Append the head of an answer; without a length its body is chunked (HTTP/1.0: until the close)."""
        is_http_1_0 = self.head is not None and self.head.version == (1, 0)
        if is_http_1_0 and length is None:
            # The caller takes a regular end of the connection for the end of the answer.
            self.closing = True
            self.reset_on_close()
        self.chunked_answer = length is None and not is_http_1_0
        self.remaining_answer = length
        lines = [f"HTTP/1.1 {status} {reason_phrase(status)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if self.chunked_answer:
            lines.append("transfer-encoding: chunked")
        elif length is not None and status not in BODYLESS_STATUSES:
            lines.append(f"content-length: {length}")
        if self.closing:
            lines.append("connection: close")
        elif is_http_1_0:
            lines.append("connection: keep-alive")
        self.add_output("\r\n".join([*lines, "", ""]).encode("latin-1"))

    def reset_on_close(self) -> None:
        """Have the connection reset if it is closed from now on, so that the caller detects a truncation."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def shut_down(self) -> None:
        """Shut down the sending side after the whole output, which a later close does not discard.

        Raises
        ------
        OSError
            If the connection is broken.
        """
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, FINISH_ON_CLOSE)
        self.sock.shutdown(socket.SHUT_WR)

    @property
    def is_busy(self) -> bool:
        """Return whether a request is in progress or an answer is not fully written."""
        return bool(self.output or self.head_started or self.request_id)

    @property
    def seconds_since_arrival(self) -> float | None:
        """Return the time since the last bytes arrived at this host, None if the system does not tell.

        They may have waited to be read for many rounds of the event loop.
        """
        try:
            data = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
            (milliseconds,) = LAST_DATA_RECEIVED.unpack_from(data, LAST_DATA_RECEIVED_OFFSET)
        except (OSError, struct.error):
            return None
        return milliseconds / 1000

    @property
    def has_unread_bytes(self) -> bool:
        """Return whether the socket has unread bytes; the end of the stream does not count."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    @property
    def has_ended(self) -> bool:
        """Return whether the caller has closed the connection and all that it sent has been read."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True

    def answer_has_body(self, status: int) -> bool:
        """Return whether an answer with the status has a body."""
        is_head_request = self.head is not None and self.head.method == "HEAD"
        return not is_head_request and status not in BODYLESS_STATUSES

    def write(self) -> int:
        """Write as much buffered output as the socket accepts and return the number of bytes written.

        Raises
        ------
        OSError
            If the connection is broken.
        """
        written = 0
        while self.output:
            buffers = list(itertools.islice(self.output, BUFFERS_PER_WRITE))
            try:
                count = self.sock.sendmsg(buffers)
            except (BlockingIOError, InterruptedError):
                break
            written += count
            self.output_bytes -= count
            for item in buffers:
                if count < len(item):
                    break
                count -= len(item)
                self.output.popleft()
            if count:
                # A memoryview avoids copying the rest of a large answer at each write.
                self.output[0] = memoryview(self.output[0])[count:]
                break
        return written
