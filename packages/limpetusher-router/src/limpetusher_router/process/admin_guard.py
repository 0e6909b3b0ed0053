"""Request validation for the server of circuits.web, which fails on malformed requests and closed sockets."""

import re
import socket

from circuits.core import BaseComponent, Event, handler
from circuits.net.events import close, read, write

from limpetusher_router.connection.framing import find_head_length, parse_request_head
from limpetusher_router.errors import FramingError

MAXIMUM_HEAD_BYTES = 8_192
PATH_PATTERN = re.compile(r"/[A-Za-z0-9/._-]*")
BAD_REQUEST_RESPONSE = b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"


def is_connected(sock: socket.socket) -> bool:
    """Return whether the socket still has a peer."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


class ValidatedRequest(bytes):
    """Request data that was validated, so that it is not checked again."""


class AdminGuard(BaseComponent):
    """Passes only complete, well-formed requests without a body on to the server.

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
        """Buffer the head of a request, validate it and pass on its method, path and connection header."""
        if isinstance(data, ValidatedRequest) and is_connected(sock):
            return
        event.stop()
        if isinstance(data, ValidatedRequest):
            return
        buffer = self.buffers.setdefault(sock, bytearray())
        buffer += data
        try:
            length = find_head_length(buffer, MAXIMUM_HEAD_BYTES)
            if length is None:
                return
            head = parse_request_head(bytes(buffer[:length]))
        except FramingError:
            head = None
        del self.buffers[sock]
        without_body = head is not None and not head.chunked and head.content_length == 0
        if not without_body or len(buffer) > length or not PATH_PATTERN.fullmatch(head.path):
            self.fire(write(sock, BAD_REQUEST_RESPONSE))
            self.fire(close(sock))
            return
        connection = "keep-alive" if head.keep_alive else "close"
        lines = [f"{head.method} {head.path} HTTP/1.1", "host: admin", f"connection: {connection}", "", ""]
        self.fire(read(sock, ValidatedRequest("\r\n".join(lines).encode())))

    @handler("write", priority=10.0)
    def on_write(self, event: Event, sock: socket.socket, _data: bytes) -> None:
        """Discard data written to a closed connection."""
        if sock.fileno() < 0:
            event.stop()

    @handler("disconnect")
    def on_disconnect(self, sock: socket.socket) -> None:
        """Discard the buffer of a closed connection."""
        self.buffers.pop(sock, None)
