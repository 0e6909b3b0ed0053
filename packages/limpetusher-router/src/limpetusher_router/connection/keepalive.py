"""TCP keep-alive: notices hosts that have gone without closing their connections."""

import socket

IDLE_SECONDS = 5
INTERVAL_SECONDS = 2
PROBES = 3


def prepare(sock: socket.socket) -> None:
    """Make a connection non-blocking, without delay for small writes and with keep-alive probes."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
