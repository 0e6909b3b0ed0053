"""Checks in front of circuits.web's server, which fails at malformed requests and at closed sockets."""

import re
import socket

from circuits.core import BaseComponent, Event, handler
from circuits.net.events import close, read, write

from limpetusher_router.connection.framing import find_head, parse_request_head
from limpetusher_router.errors import FramingError

HEAD_LIMIT_BYTES = 8_192
PATH_PATTERN = re.compile(r"/[A-Za-z0-9/._-]*")
REFUSAL = b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"


def is_connected(sock: socket.socket) -> bool:
    """Return whether the other side is still there."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


class CheckedRequest(bytes):
    """A request that has passed the checks."""


class AdminGuard(BaseComponent):
    """Hands only whole, well-formed requests without a body on to the server.

    Parameters
    ----------
    channel
        Channel of the server.
    """

    def __init__(self, channel: str):
        super().__init__(channel=channel)
        self.buffers: dict[socket.socket, bytearray] = {}

    @handler("read", priority=10.0)
    def on_read(self, event: Event, sock: socket.socket, data: bytes) -> None:
        """Collect the head of a request, and hand on what the pages need of it."""
        if isinstance(data, CheckedRequest) and is_connected(sock):
            return
        event.stop()
        if isinstance(data, CheckedRequest):
            return
        buffer = self.buffers.setdefault(sock, bytearray())
        buffer += data
        try:
            length = find_head(buffer, HEAD_LIMIT_BYTES)
            if length is None:
                return
            head = parse_request_head(bytes(buffer[:length]))
        except FramingError:
            head = None
        del self.buffers[sock]
        without_body = head is not None and not head.chunked and head.content_length == 0
        if not without_body or len(buffer) > length or not PATH_PATTERN.fullmatch(head.path):
            self.fire(write(sock, REFUSAL))
            self.fire(close(sock))
            return
        connection = "keep-alive" if head.keep_alive else "close"
        lines = [f"{head.method} {head.path} HTTP/1.1", "host: admin", f"connection: {connection}", "", ""]
        self.fire(read(sock, CheckedRequest("\r\n".join(lines).encode())))

    @handler("write", priority=10.0)
    def on_write(self, event: Event, sock: socket.socket, _data: bytes) -> None:
        """Drop what is written to a connection that has been closed."""
        if sock.fileno() < 0:
            event.stop()

    @handler("disconnect")
    def on_disconnect(self, sock: socket.socket) -> None:
        """Forget a connection."""
        self.buffers.pop(sock, None)
