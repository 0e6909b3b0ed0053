"""The caller port: one component that owns the listening socket and all callers' connections."""

import errno
import itertools
import logging
import math
import socket
import struct

from circuits.core import BaseComponent, handler
from circuits.core.pollers import EPoll

from limpetusher.core.refusals import RefusalCode
from limpetusher_router.connection.caller_connection import CallerConnection, CallerState, listen
from limpetusher_router.connection.framing import BodyReader, find_head, parse_request_head
from limpetusher_router.connection.keepalive import prepare
from limpetusher_router.connection.settings import ConnectionSettings
from limpetusher_router.connection.timeouts import Timeouts
from limpetusher_router.errors import FramingError
from limpetusher_router.events import (
    CALLERS,
    REQUESTS,
    CallerBlocked,
    CallerLost,
    CallerUnblocked,
    Due,
    RequestReceived,
)
from limpetusher_router.process.deadlines import Deadlines
from limpetusher_router.process.metrics import Metrics
from limpetusher_router.request.answers import error_answer
from limpetusher_router.request.identifiers import RequestIdentifiers

ACCEPTS_PER_EVENT = 64
ACCEPT_PAUSE_SECONDS = 0.1
ROUNDS_BEFORE_REFUSAL = 2
"""Rounds of reads before a refusal; the bytes and the end of a connection take a round each."""
IDLE_LOOKS = 16
"""Idle connections that are looked at for one without unread bytes, when one has to make room."""
BODY_PROGRESS_BYTES = 1024
LINGER_SECONDS = 2.0
READ_BYTES = 65_536
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

logger = logging.getLogger(__name__)


class CallerServer(BaseComponent):
    """Reads requests from callers and writes answers to them.

    Requests of one connection are handed on one at a time, on `requests_channel`. Bytes of later requests
    stay in the connection's buffer, or in the socket once the buffer is full, and are read when the answer
    before them is finished.
    """

    channel = CALLERS

    def __init__(
        self,
        settings: ConnectionSettings,
        *,
        deadlines: Deadlines,
        poller: EPoll,
        identifiers: RequestIdentifiers,
        metrics: Metrics,
        channel: str = CALLERS,
        requests_channel: str = REQUESTS,
        address: str | None = None,
    ):
        super().__init__(channel=channel)
        self.settings = settings
        self.requests_channel = requests_channel
        self.deadlines = deadlines
        self.timeouts = Timeouts(deadlines, channel)
        self.poller = poller
        self.identifiers = identifiers
        self.metrics = metrics
        self.connections: dict[socket.socket, CallerConnection] = {}
        self.in_progress: dict[str, CallerConnection] = {}
        self.idle: dict[CallerConnection, None] = {}
        """Connections that wait for the first byte of a request, longest idle first."""
        self.full_rounds = 0
        """Rounds in which connections were read since the limit of connections was found to be reached."""
        self.stopping = False
        self.listener: socket.socket | None = listen(address or settings.caller_address)
        poller.addReader(self, self.listener)

    @handler("_read")
    def on_readable(self, sock: socket.socket) -> None:
        """Accept connections, or read from one."""
        if sock is self.listener:
            self.accept()
            return
        connection = self.connections.get(sock)
        if connection is None:
            return
        try:
            self.read(connection)
        except FramingError as error:
            self.refuse(connection, error)
        except Exception:
            logger.exception("reading from a caller failed")
            self.drop(connection)

    @handler("_write")
    def on_writable(self, sock: socket.socket) -> None:
        """Write what waits for a caller."""
        connection = self.connections.get(sock)
        if connection is not None:
            self.flush_output(connection)

    @handler("_disconnect", "_error")
    def on_disconnect(self, sock: socket.socket, *_: object) -> None:
        """Forget a connection that the poller reports as broken."""
        connection = self.connections.get(sock)
        if connection is not None:
            self.drop(connection)

    @property
    def is_full(self) -> bool:
        """Return whether there is no room for another connection, as all wait for answers or bytes."""
        return len(self.connections) >= self.settings.max_caller_connections and self.spare() is None

    def spare(self) -> CallerConnection | None:
        """Return the connection that is idle for longest; one whose request waits to be read is not idle."""
        for connection in itertools.islice(self.idle, IDLE_LOOKS):
            if not connection.has_unread:
                return connection
        return None

    def accept(self) -> bool:
        """Accept some waiting connections, with others served in between; return whether more may wait."""
        for number in range(ACCEPTS_PER_EVENT):
            if self.is_full and self.full_rounds < ROUNDS_BEFORE_REFUSAL:
                # Reads of this round may end connections; the poller comes back to the listener after them.
                # Only before the first accept is it known that a connection waits for them.
                self.full_rounds = self.full_rounds + 1 if number == 0 else 0
                return number > 0
            try:
                sock, _address = self.listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                self.full_rounds = 0
                return False
            except OSError as error:
                logger.warning("accepting a connection failed: %s", errno.errorcode.get(error.errno, error))
                self.poller.removeReader(self.listener)
                self.deadlines.schedule_in(ACCEPT_PAUSE_SECONDS, Due(), self.channel)
                return False
            prepare(sock)
            connection = CallerConnection(sock)
            if len(self.connections) >= self.settings.max_caller_connections:
                spare = self.spare()
                if spare is not None:
                    self.drop(spare)
            if not self.is_full:
                self.full_rounds = 0
            self.connections[sock] = connection
            self.poller.addReader(self, sock)
            if len(self.connections) > self.settings.max_caller_connections:
                error = FramingError(503, RefusalCode.NO_CAPACITY, "too many connections", 1.0)
                self.refuse(connection, error)
            else:
                self.become_idle(connection)
        return True

    def become_idle(self, connection: CallerConnection) -> None:
        """Wait for the first byte of a request."""
        self.idle[connection] = None
        self.timeouts.set(connection, self.settings.idle_timeout_seconds)

    def read(self, connection: CallerConnection) -> None:
        """Read from a connection and hand on a request that is complete."""
        try:
            data = connection.sock.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.drop(connection)
            return
        if not data:
            self.drop(connection)
        elif connection.state is not CallerState.LINGER:
            connection.buffer += data
            self.parse(connection)
            if len(connection.buffer) > self.settings.max_header_bytes and not connection.paused:
                connection.paused = True
                self.poller.removeReader(connection.sock)

    def parse(self, connection: CallerConnection) -> None:
        """Parse the buffered bytes up to the end of one request."""
        if connection.state is CallerState.HEAD:
            self.parse_head(connection)
        if connection.state is CallerState.BODY:
            self.parse_body(connection)

    def parse_head(self, connection: CallerConnection) -> None:
        """Parse a head once it is complete."""
        buffer = connection.buffer
        while buffer.startswith(b"\r\n"):
            del buffer[:2]
        if not buffer:
            return
        if not connection.head_started:
            connection.head_started = True
            self.idle.pop(connection, None)
            self.timeouts.set(connection, self.settings.header_timeout_seconds)
        length = find_head(buffer, self.settings.max_header_bytes)
        if length is None:
            return
        head = parse_request_head(bytes(buffer[:length]))
        connection.request_id = self.identifiers.next()
        connection.head = head
        connection.body_reader = BodyReader(
            length=None if head.chunked else head.content_length,
            chunked=head.chunked,
            limit=self.settings.max_body_bytes,
        )
        del buffer[:length]
        connection.state = CallerState.BODY
        self.timeouts.set(connection, self.settings.idle_timeout_seconds)
        if head.expects_continue and not connection.body_reader.complete and not buffer:
            connection.add_output(CONTINUE)
            self.flush_output(connection)

    def parse_body(self, connection: CallerConnection) -> None:
        """Collect the body and hand on the request once it is complete."""
        body, rest = connection.body_reader.feed(bytes(connection.buffer))
        connection.buffer[:] = rest
        connection.body_parts.append(body)
        connection.body_since_reset += len(body)
        if connection.body_reader.complete:
            connection.state = CallerState.ANSWER
            connection.closing = not connection.head.keep_alive
            self.timeouts.set(connection, math.inf)
            self.in_progress[connection.request_id] = connection
            whole = b"".join(connection.body_parts)
            connection.body_parts = []
            self.fire(RequestReceived(connection.request_id, connection.head, whole), self.requests_channel)
        elif connection.body_since_reset >= BODY_PROGRESS_BYTES:
            # A body must make some progress in the idle time, so that single bytes can't hold a connection.
            connection.body_since_reset = 0
            self.timeouts.set(connection, self.settings.idle_timeout_seconds)

    def refuse(self, connection: CallerConnection, error: FramingError) -> None:
        """Answer bytes that are no acceptable request and close the connection."""
        if connection.sock not in self.connections:
            return
        answer = error_answer(connection.request_id or self.identifiers.next(), error)
        _request_id, status, headers, body = answer.args
        connection.closing = True
        connection.buffer.clear()
        self.write_head(connection, status, headers, len(body))
        connection.add_output(body)
        self.finish(connection)

    def write_head(
        self, connection: CallerConnection, status: int, headers: dict[str, str], length: int | None
    ) -> None:
        """Queue the head of an answer."""
        connection.closing = connection.closing or self.stopping
        connection.add_head(status, headers, length)
        self.metrics.answered(status)

    @handler("SendAnswer")
    def on_answer(self, request_id: str, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send a whole answer."""
        connection = self.in_progress.get(request_id)
        if connection is None:
            return
        self.write_head(connection, status, headers, len(body))
        connection.add_output(body if connection.takes_body(status) else b"")
        self.finish(connection)

    @handler("SendHead")
    def on_head(self, request_id: str, status: int, headers: dict[str, str], length: int | None) -> None:
        """Begin an answer."""
        connection = self.in_progress.get(request_id)
        if connection is not None:
            self.write_head(connection, status, headers, length)

    @handler("SendPart")
    def on_part(self, request_id: str, data: bytes) -> None:
        """Send a part of an answer."""
        connection = self.in_progress.get(request_id)
        if connection is None or not data:
            return
        if connection.chunked_answer:
            connection.add_output(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            connection.add_output(data)
            if connection.remaining_answer is not None:
                connection.remaining_answer -= len(data)
        self.flush_output(connection)

    @handler("SendEnd")
    def on_end(self, request_id: str) -> None:
        """Finish an answer; one that is shorter than announced is reset."""
        connection = self.in_progress.get(request_id)
        if connection is None:
            return
        if connection.chunked_answer:
            connection.add_output(b"0\r\n\r\n")
        elif connection.remaining_answer and connection.head.method != "HEAD":
            self.on_abort(request_id)
            return
        self.finish(connection)

    @handler("AbortAnswer")
    def on_abort(self, request_id: str) -> None:
        """Reset the connection of a truncated answer."""
        connection = self.in_progress.pop(request_id, None)
        if connection is not None:
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.drop(connection)

    @handler("SettingsChanged")
    def on_settings(self, settings: ConnectionSettings) -> None:
        """Use other limits for connections from now on."""
        self.settings = settings

    @handler("CloseAfterAnswers")
    def on_close_after_answers(self) -> None:
        """Announce with each answer from now on that the connection closes."""
        self.stopping = True

    @handler("StopAccepting")
    def on_stop_accepting(self) -> None:
        """Accept what waits and close the listening socket."""
        if self.listener is not None:
            self.full_rounds = ROUNDS_BEFORE_REFUSAL
            while self.accept():
                self.full_rounds = ROUNDS_BEFORE_REFUSAL
            self.poller.discard(self.listener)
            self.listener.close()
            self.listener = None

    @handler("CloseIdle")
    def on_close_idle(self) -> None:
        """Close the connections on which no request has begun; one on its way may be sent elsewhere."""
        for connection in list(self.idle):
            if not (connection.buffer or connection.out or connection.has_unread):
                self.drop(connection)

    @property
    def is_busy(self) -> bool:
        """Return whether a request waits to be read or is in progress, or an answer is not written yet."""
        return any(connection.is_busy for connection in self.connections.values()) or any(
            connection.has_unread for connection in self.idle
        )

    def finish(self, connection: CallerConnection) -> None:
        """Go on to the caller's next request, or close the connection, after an answer was queued."""
        self.in_progress.pop(connection.request_id, None)
        connection.begin_request()
        connection.reader_blocked = False
        if connection.closing or self.stopping:
            connection.state = CallerState.LINGER
            connection.buffer.clear()
        else:
            connection.state = CallerState.HEAD
            self.become_idle(connection)
        self.flush_output(connection)
        if connection.sock not in self.connections:
            return
        if connection.paused:
            connection.paused = False
            self.poller.addReader(self, connection.sock)
        if connection.buffer:
            try:
                self.parse(connection)
            except FramingError as error:
                self.refuse(connection, error)

    def flush_output(self, connection: CallerConnection) -> None:
        """Write queued bytes, watch for room for the rest and tell the sender when to wait."""
        try:
            written = connection.write()
        except OSError:
            self.drop(connection)
            return
        if bool(connection.out) != connection.writing:
            connection.writing = bool(connection.out)
            if connection.writing:
                self.poller.addWriter(self, connection.sock)
            else:
                self.poller.removeWriter(connection.sock)
        if connection.out:
            if written or math.isinf(connection.due_at):
                self.timeouts.set(connection, self.settings.idle_timeout_seconds)
        elif connection.state is CallerState.ANSWER:
            connection.due_at = math.inf
        elif connection.state is CallerState.LINGER:
            self.linger(connection)
        self.signal_sender(connection)

    def signal_sender(self, connection: CallerConnection) -> None:
        """Stop or restart the sender of the answer according to the buffered bytes."""
        if connection.state is not CallerState.ANSWER:
            return
        limit = self.settings.caller_buffer_bytes
        if not connection.reader_blocked and connection.out_bytes > limit:
            connection.reader_blocked = True
            self.fire(CallerBlocked(connection.request_id), self.requests_channel)
        elif connection.reader_blocked and connection.out_bytes <= limit // 2:
            connection.reader_blocked = False
            self.fire(CallerUnblocked(connection.request_id), self.requests_channel)

    def linger(self, connection: CallerConnection) -> None:
        """Close the sending side; a close with unread bytes would reset the answer on its way."""
        try:
            connection.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.drop(connection)
            return
        self.timeouts.set(connection, LINGER_SECONDS)

    def drop(self, connection: CallerConnection) -> None:
        """Close a connection; the request in progress on it loses its caller."""
        if self.connections.pop(connection.sock, None) is None:
            return
        self.idle.pop(connection, None)
        self.poller.discard(connection.sock)
        connection.sock.close()
        if connection.deadline is not None:
            connection.deadline.cancel()
        if self.in_progress.pop(connection.request_id, None) is not None:
            self.fire(CallerLost(connection.request_id), self.requests_channel)

    @handler("Due")
    def on_due(self, connection: CallerConnection | None) -> None:
        """Go on accepting, or time out a connection unless its time-out was moved."""
        if connection is None:
            if self.listener is not None:
                self.poller.addReader(self, self.listener)
            return
        if connection.sock not in self.connections or not self.timeouts.has_expired(connection):
            return
        if connection.head_started and connection.state is not CallerState.ANSWER and not connection.out:
            limit = self.settings.header_timeout_seconds
            if connection.state is CallerState.BODY:
                limit = self.settings.idle_timeout_seconds
            message = f"the request did not arrive within {limit:g} s"
            self.refuse(connection, FramingError(408, RefusalCode.REQUEST_TIMEOUT, message))
        elif connection in self.idle and connection.has_unread:
            self.timeouts.set(connection, self.settings.header_timeout_seconds)
        else:
            self.drop(connection)
