"""Targets that answer an upload before they have taken it, for tests with a real router process."""

import contextlib
import socket
import struct
from collections.abc import Callable

from builders_platform import SEAL, TargetCall, TargetStandIn, event
from builders_router import read_head

RESET = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a close resets the connection."""
PART = b"p" * 400
EVENTS = event(1) + event(2)


def end_with_fin(sock: socket.socket) -> None:
    """End only the direction to the router; nothing more is read."""
    sock.shutdown(socket.SHUT_WR)


def end_both_directions(sock: socket.socket) -> None:
    """End both directions, after which further bytes of the router reset the connection."""
    sock.shutdown(socket.SHUT_RDWR)


def end_with_reset(sock: socket.socket) -> None:
    """Reset the connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.shutdown(socket.SHUT_RD)
    sock.close()


ENDS: dict[str, Callable[[socket.socket], None]] = {
    "fin": end_with_fin,
    "both directions": end_both_directions,
    "reset": end_with_reset,
}


class EarlyScript:
    """Answers the first requests from their head alone, and the others whole.

    Parameters
    ----------
    end
        Ends the connection after a part of an early answer.
    early_count
        Number of requests that are answered early.
    is_stream
        Whether the answers are streams of events.
    interim
        Bytes before the head of an early answer.
    """

    def __init__(
        self,
        end: Callable[[socket.socket], None],
        *,
        early_count: int = 1,
        is_stream: bool = False,
        interim: bytes = b"",
    ):
        self.end = end
        self.early_left = early_count
        self.is_stream = is_stream
        self.interim = interim

    def answer_early(self, call: TargetCall) -> None:
        """Send the head and a part of an answer without a length, and end the connection."""
        call.sock.sendall(self.interim)
        if self.is_stream:
            call.begin_unframed_stream()
            call.sock.sendall(EVENTS)
        else:
            lines = ["HTTP/1.1 200 OK", SEAL, f"x-request-id: {call.headers['x-request-id']}", "", ""]
            call.sock.sendall("\r\n".join(lines).encode() + PART)
        self.end(call.sock)

    def __call__(self, call: TargetCall, _number: int) -> None:
        if not self.is_stream:
            call.answer(b"whole")
            return
        call.begin_stream()
        call.send_events(int(call.headers.get("last-event-id", 0)) + 1, 4)
        call.end_stream()


class EarlyTarget(TargetStandIn):
    """Target that asks its `EarlyScript` before it reads the body of a request."""

    def serve(self, sock: socket.socket) -> None:
        """Answer the requests of a connection. It stays open on this side after an early answer."""
        with contextlib.suppress(OSError), sock.makefile("rb", buffering=0) as source:
            while head := read_head(source):
                call = TargetCall(sock, head, b"")
                self.calls.append(call)
                if self.script.early_left:
                    self.script.early_left -= 1
                    self.script.answer_early(call)
                    return
                length = int(call.headers.get("content-length", 0))
                while len(call.body) < length:
                    call.body += sock.recv(length - len(call.body))
                self.script(call, len(self.calls))
