"""HTTP server for callers: one component that owns the listening socket and all callers' connections."""

import errno
import itertools
import logging
import math
import socket
from dataclasses import dataclass

from circuits.core import BaseComponent, handler
from circuits.core.pollers import BasePoller

from limpetusher.core.refusals import RefusalCode
from limpetusher_router.connection.caller_connection import (
    CallerConnection,
    CallerConnectionState,
    create_listener,
    drop_new_connections,
)
from limpetusher_router.connection.framing import (
    BodyReader,
    find_head_length,
    parse_request_head,
    parse_single_request,
)
from limpetusher_router.connection.held_bodies import HeldBodies
from limpetusher_router.connection.keepalive import configure_socket
from limpetusher_router.connection.settings import ConnectionSettings
from limpetusher_router.connection.targets import TargetClient
from limpetusher_router.connection.timeouts import Timeouts
from limpetusher_router.errors import FramingError
from limpetusher_router.events import (
    CALLERS,
    REQUESTS,
    BodyRefused,
    CallerBufferAvailable,
    CallerBufferFull,
    CallerDisconnected,
    DeadlineReached,
    RequestReceived,
)
from limpetusher_router.platform.shedding import encode_shed_answer
from limpetusher_router.process.body_memory import LARGE_BODY_BYTES, BodyMemory
from limpetusher_router.process.deadlines import Deadlines
from limpetusher_router.process.metrics import Metrics
from limpetusher_router.process.poller import PriorityPoller
from limpetusher_router.process.port_activity import PortActivity
from limpetusher_router.process.rounds import PollerRounds
from limpetusher_router.process.shedding import CallerShedding
from limpetusher_router.request.answers import error_answer
from limpetusher_router.request.id_generator import RequestIdGenerator

ACCEPTS_PER_EVENT = 64
ACCEPT_PAUSE_SECONDS = 0.1
READ_ROUNDS_BEFORE_REFUSAL = 2
"""Poller rounds in which connections are read before a new one is refused.

Reading the last bytes of a closed connection and its end takes one round each.
"""
IDLE_CONNECTIONS_CHECKED = 16
"""Number of idle connections that are checked for one without unread bytes, which can be closed."""
BODY_PROGRESS_BYTES = 1024
COPIES_OF_CHUNKED_BODY = 2
"""The parts of a body of unknown length are joined at its end."""
FIRST_REQUEST_SECONDS = 1.0
"""Time after its accept for which a connection stays open in a stop although no request has arrived on it."""
LINGER_SECONDS = 2.0
READ_BYTES = 65_536
OTHER_DESCRIPTORS = 250
"""Descriptors that are neither of callers nor of connections to targets: other ports, copies of the store,
the interpreter, and those that are opened before idle callers' connections have been closed for them."""
MIN_CALLER_CONNECTIONS = 64
"""Connections of callers that are allowed however many targets are connected."""
UNAVAILABLE = 503
CONTINUE_ANSWER = b"HTTP/1.1 100 Continue\r\n\r\n"

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class FirstBytes:
    """What was read from a new connection before it is registered."""

    data: bytes = b""
    is_admitted: bool = False
    """Whether they are a request that is known not to be shed."""
    is_last: bool = False
    """Whether the connection is finished."""


class CallerServer(BaseComponent):
    """Reads requests from callers and writes answers to them.

    Requests of one connection are fired one at a time on `requests_channel`. Bytes of pipelined requests
    stay in the connection's buffer, or in the socket once the buffer is full, until the current answer is
    finished.

    The bytes of bodies and of pipelined requests count in `body_memory`, which the ports of a process share.
    A request for whose body there is no room is refused, for a large body of known length before it is read.

    With `shedding`, an overloaded host refuses requests by their heads alone (docs/design/load-shedding.md).
    """

    channel = CALLERS

    def __init__(
        self,
        settings: ConnectionSettings,
        *,
        deadlines: Deadlines,
        poller: BasePoller,
        id_generator: RequestIdGenerator,
        metrics: Metrics,
        rounds: PollerRounds,
        body_memory: BodyMemory,
        channel: str = CALLERS,
        requests_channel: str = REQUESTS,
        address: str | None = None,
        shedding: CallerShedding | None = None,
    ):
        super().__init__(channel=channel)
        self.shedding = shedding
        self.settings = settings
        self.requests_channel = requests_channel
        self.deadlines = deadlines
        self.timeouts = Timeouts(deadlines, channel)
        self.poller = poller
        self.id_generator = id_generator
        self.metrics = metrics
        self.bodies = HeldBodies(body_memory, clock=deadlines.clock)
        self.connections: dict[socket.socket, CallerConnection] = {}
        self.connections_by_request: dict[str, CallerConnection] = {}
        self.idle_connections: dict[CallerConnection, None] = {}
        """Connections that wait for the first byte of a request, the longest idle first."""
        self.read_rounds_while_full = 0.0
        """Poller rounds in which connections were read since the connection limit was reached. A round that
        reports only some of the ready connections counts in part."""
        self.accepted_count = 0
        """Connections accepted since the listening socket was reported as readable."""
        self.is_listener_empty = False
        """Whether the last accept found no connection."""
        self.is_accepting_paused = False
        """Whether accepts wait for a moment, as one failed."""
        self.targets: TargetClient | None = None
        """Client whose connections take descriptors of the process as well."""
        self.awaited_connections: dict[CallerConnection, None] = {}
        """Connections accepted while shedding, before their first request had arrived; as many as one event
        accepts at most."""
        self.accepted_in_round = -1
        """Number of the last round in which connections were accepted before others were read."""
        self.close_after_answers = False
        """Whether each connection closes after its next answer behind which nothing was read, because the
        process stops."""
        self.activity = PortActivity(
            channel, rounds, connections=self.connections, limit=settings.max_caller_connections
        )
        metrics.ports.append(self.activity)
        self.listener: socket.socket | None = create_listener(address or settings.caller_address)
        poller.addReader(self, self.listener)

    @handler("_read")
    def on_readable(self, sock: socket.socket) -> None:
        """Accept connections, or read from one."""
        if self.activity.is_check_due:
            self.check_activity()
        if sock is self.listener:
            self.read_listener()
            return
        self.accept_first()
        connection = self.connections.get(sock)
        if connection is None or self.is_read_postponed(connection):
            return
        try:
            if self.shedding is not None:
                self.shedding.begin_read()
            self.read_connection(connection)
        except FramingError as error:
            self.refuse(connection, error)
        except Exception:
            logger.exception("reading from a caller failed")
            self.close_connection(connection)

    def accept_first(self) -> None:
        """Accept connections once in each round while shedding, before others are read.

        The poller reports a limited number of sockets at a time, so that a listener behind thousands of
        readable connections would be read in every third round only.
        """
        is_due = self.accepted_in_round != self.activity.rounds.count
        if is_due and self.shedding is not None and self.shedding.is_active:
            self.accepted_in_round = self.activity.rounds.count
            if self.listener is not None and not self.is_accepting_paused:
                self.read_listener()
            self.read_awaited()

    def await_request(self, connection: CallerConnection) -> None:
        """Read from a new connection before others, so that it does not wait behind those of a flood."""
        if len(self.awaited_connections) < ACCEPTS_PER_EVENT:
            self.awaited_connections[connection] = None

    def read_awaited(self) -> None:
        """Read from connections that were accepted lately without a request."""
        since = self.activity.rounds.began_at - FIRST_REQUEST_SECONDS
        for connection in list(self.awaited_connections):
            is_open = connection.sock in self.connections and not connection.head_started
            if is_open and not connection.has_sent_head and connection.accepted_at >= since:
                self.shedding.begin_read()
                self.read_connection(connection)
            else:
                self.awaited_connections.pop(connection, None)

    def is_read_postponed(self, connection: CallerConnection) -> bool:
        """Return whether a new request is read in a later round, as this one has taken long enough.

        The poller reports the connection again. Bodies and connections with an answer are read in any case.
        """
        return (
            self.shedding is not None
            and connection.state is CallerConnectionState.HEAD
            and self.shedding.is_round_full(self.activity.rounds.began_at)
        )

    @handler("_write")
    def on_writable(self, sock: socket.socket) -> None:
        """Write buffered output to a caller."""
        connection = self.connections.get(sock)
        if connection is not None:
            self.flush_output(connection)

    @handler("_disconnect", "_error")
    def on_disconnect(self, sock: socket.socket, *_: object) -> None:
        """Close a connection that the poller reports as broken."""
        connection = self.connections.get(sock)
        if connection is not None:
            self.close_connection(connection)

    def check_activity(self) -> None:
        """Log what the port did since the last check, if it was busy."""
        self.activity.limit = self.connection_limit
        self.activity.check(
            self.listener, idle=len(self.idle_connections), answering=len(self.connections_by_request)
        )

    def read_listener(self) -> None:
        """Accept connections, and record for how long they were pending."""
        self.accepted_count, self.is_listener_empty = 0, False
        self.activity.begin_accepts()
        if self.shedding is not None:
            self.shedding.record_unread(self.activity.accepts_began_at - self.activity.unread_since)
        self.accept_connections()
        self.activity.end_accepts(accepted=self.accepted_count, is_empty=self.is_listener_empty)

    @property
    def connection_limit(self) -> int:
        """Return the maximum number of open connections, which leaves descriptors for all others."""
        settings = self.settings
        if settings.max_descriptors is None or self.targets is None:
            return settings.max_caller_connections
        left = settings.max_descriptors - OTHER_DESCRIPTORS - len(self.targets.connections)
        return max(MIN_CALLER_CONNECTIONS, min(settings.max_caller_connections, left))

    @property
    def is_full(self) -> bool:
        """Return whether the connection limit is reached and no idle connection can be closed."""
        return len(self.connections) >= self.connection_limit and self.find_closable() is None

    def close_for_room(self, new_connections: int = 0) -> None:
        """Close idle connections, the longest idle first, while there are more than may be open.

        `new_connections` of callers are about to be added.
        """
        while len(self.connections) + new_connections > self.connection_limit:
            closable = self.find_closable()
            if closable is None:
                return
            self.activity.counts.closed_for_room += 1
            self.close_connection(closable)

    def find_closable(self) -> CallerConnection | None:
        """Return the longest idle connection that has no unread bytes, None when none is found."""
        for connection in itertools.islice(self.idle_connections, IDLE_CONNECTIONS_CHECKED):
            if not connection.has_unread_bytes:
                return connection
        return None

    def accept_connections(self) -> bool:
        """Accept a limited number of pending connections and return whether more may be pending."""
        for number in range(ACCEPTS_PER_EVENT):
            if self.is_full and self.read_rounds_while_full < READ_ROUNDS_BEFORE_REFUSAL:
                # Reads in this round may close connections; the poller then reports the listener again.
                # The round counts only before the first accept: later, no connection may be pending.
                part = self.reported_part()
                self.read_rounds_while_full = self.read_rounds_while_full + part if number == 0 else 0.0
                return number > 0
            try:
                sock, _address = self.listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                self.read_rounds_while_full = 0.0
                self.is_listener_empty = True
                return False
            except OSError as error:
                self.activity.counts.failed += 1
                logger.warning("accepting a connection failed: %s", errno.errorcode.get(error.errno, error))
                self.poller.removeReader(self.listener)
                self.is_accepting_paused = True
                self.deadlines.schedule_in(ACCEPT_PAUSE_SECONDS, DeadlineReached(), self.channel)
                return False
            self.accepted_count += 1
            first = FirstBytes()
            if self.shedding is not None and self.shedding.is_active:
                self.shedding.begin_read()
                first = self.read_new(sock)
                if first.is_last:
                    self.read_rounds_while_full = 0.0
                    continue
            configure_socket(sock)
            connection = CallerConnection(sock, accepted_at=self.deadlines.clock.monotonic())
            self.close_for_room(new_connections=1)
            if not self.is_full:
                self.read_rounds_while_full = 0.0
            self.connections[sock] = connection
            self.poller.addReader(self, sock)
            if len(self.connections) > self.connection_limit:
                self.activity.counts.refused += 1
                error = FramingError(503, RefusalCode.NO_CAPACITY, "too many connections", 1.0)
                self.refuse(connection, error)
            else:
                self.mark_idle(connection)
                connection.is_admitted = first.is_admitted
                if first.data:
                    self.receive(connection, first.data)
                elif self.shedding is not None and self.shedding.is_active:
                    self.await_request(connection)
        return True

    def read_new(self, sock: socket.socket) -> FirstBytes:
        """Read from a new connection, and shed its request if it is complete and the last one.

        That takes none of the system calls that configure and register a connection.
        """
        sock.setblocking(False)
        try:
            data = sock.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return FirstBytes()
        except OSError:
            data = b""
        if not data:
            self.activity.counts.abandoned += 1
            sock.close()
            return FirstBytes(is_last=True)
        head = parse_single_request(data, self.settings.max_header_bytes)
        if head is None:
            return FirstBytes(data)
        retry_after_seconds = self.shedding.retry_after_seconds(head)
        if retry_after_seconds is None:
            return FirstBytes(data, is_admitted=True)
        self.shed_new(sock, encode_shed_answer(head, retry_after_seconds, closes=True))
        self.shedding.end_refusal()
        return FirstBytes(is_last=True)

    def shed_new(self, sock: socket.socket, answer: bytes) -> None:
        """Answer the request of a new connection and close it, unless the close would lose the answer."""
        self.metrics.count_answer(UNAVAILABLE)
        try:
            count = sock.send(answer)
        except OSError:
            sock.close()
            return
        connection = CallerConnection(sock)
        if count == len(answer) and not connection.has_unread_bytes:
            sock.close()
            return
        configure_socket(sock)
        connection.closing = connection.has_sent_head = True
        connection.state = CallerConnectionState.LINGER
        connection.add_output(answer[count:])
        self.connections[sock] = connection
        self.poller.addReader(self, sock)
        self.flush_output(connection)

    def reported_part(self) -> float:
        """Return which part of the connections the poller has reported in this round if they were ready."""
        if isinstance(self.poller, PriorityPoller):
            return self.poller.reported_part(len(self.connections))
        return 1.0

    def mark_idle(self, connection: CallerConnection) -> None:
        """Add a connection to the idle ones and start its idle time-out."""
        self.idle_connections[connection] = None
        self.timeouts.set_timeout(connection, self.settings.idle_timeout_seconds)

    def read_connection(self, connection: CallerConnection) -> None:
        """Read from a connection and process the received bytes."""
        if connection.large_body is not None:
            self.read_large_body(connection)
            return
        try:
            data = connection.sock.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.close_connection(connection)
            return
        if not data:
            if not connection.has_sent_head:
                self.activity.counts.abandoned += 1
            self.close_connection(connection)
        elif connection.state is not CallerConnectionState.LINGER:
            self.receive(connection, data)
        elif connection.discard_until:
            seconds_left = connection.discard_until - self.deadlines.clock.monotonic()
            self.timeouts.set_timeout(connection, min(LINGER_SECONDS, seconds_left))

    def receive(self, connection: CallerConnection, data: bytes) -> None:
        """Process bytes of requests; refuse what is malformed."""
        if not connection.buffer:
            connection.buffered_at = self.arrival_time(connection)
        connection.buffer += data
        try:
            if connection.state is CallerConnectionState.ANSWER:
                self.hold_pipelined(connection, len(data))
            else:
                self.parse_buffer(connection)
            if len(connection.buffer) > self.settings.max_header_bytes:
                self.pause_reading(connection)
        except FramingError as error:
            self.refuse(connection, error)

    def arrival_time(self, connection: CallerConnection) -> float:
        """Return the time at which the bytes that were just read arrived at this host."""
        rounds = self.metrics.rounds
        unread_seconds = rounds.unread_seconds if rounds is not None else 0.0
        # The system tells of the last bytes only; the first ones may have arrived before a stall.
        seconds = max(connection.seconds_since_arrival or 0.0, unread_seconds)
        return self.deadlines.clock.monotonic() - seconds

    def read_large_body(self, connection: CallerConnection) -> None:
        """Read a part of a large body to its place in the memory that is held for it."""
        received = connection.body_reader.received_bytes
        try:
            count = connection.sock.recv_into(connection.large_body[received : received + READ_BYTES])
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.close_connection(connection)
            return
        if not count:
            self.close_connection(connection)
            return
        connection.body_reader.count_received(count)
        self.continue_body(connection, count)

    def has_left(self, connection: CallerConnection) -> bool:
        """Return whether the caller of a request that was read completely has left an overloaded host.

        Requests may have waited unread for longer than their callers do, and must not be sent on then.
        """
        if self.shedding is None or not self.shedding.is_active or not connection.has_ended:
            return False
        self.activity.counts.abandoned += 1
        return True

    def pause_reading(self, connection: CallerConnection) -> None:
        """Read no more from a connection until its answer is finished."""
        if not connection.reading_paused:
            connection.reading_paused = True
            self.poller.removeReader(connection.sock)

    def parse_buffer(self, connection: CallerConnection) -> None:
        """Parse buffered bytes up to the end of the first request that is not shed."""
        shed_count = 0
        while connection.state is CallerConnectionState.HEAD and self.parse_head(connection):
            shed_count += 1
        if shed_count:
            self.flush_output(connection)
            if connection.sock not in self.connections:
                return
        if connection.state is CallerConnectionState.BODY:
            self.parse_body(connection)

    def parse_head(self, connection: CallerConnection) -> bool:
        """Parse the head of a request once it is complete, and return whether the request was shed."""
        buffer = connection.buffer
        while buffer.startswith(b"\r\n"):
            del buffer[:2]
        if not buffer:
            return False
        if not connection.head_started:
            connection.head_started = True
            self.idle_connections.pop(connection, None)
            self.timeouts.set_timeout(connection, self.settings.header_timeout_seconds)
        length = find_head_length(buffer, self.settings.max_header_bytes)
        if length is None:
            return False
        head = parse_request_head(bytes(buffer[:length]), connection.buffered_at)
        connection.has_sent_head = True
        connection.request_id = self.id_generator.next_id()
        connection.head = head
        connection.body_reader = BodyReader(
            length=None if head.chunked else head.content_length,
            chunked=head.chunked,
            limit=self.settings.max_body_bytes,
        )
        del buffer[:length]
        if self.shedding is not None and not connection.is_admitted and self.shed(connection):
            return True
        connection.state = CallerConnectionState.BODY
        if head.content_length > LARGE_BODY_BYTES:
            if not self.hold_body(connection, head.content_length):
                self.refuse_body(connection)
                return False
            connection.allocate_large_body()
        self.timeouts.set_timeout(connection, self.settings.idle_timeout_seconds)
        if head.expects_continue and not connection.body_reader.complete and not buffer:
            connection.add_output(CONTINUE_ANSWER)
            self.flush_output(connection)
        return False

    def shed(self, connection: CallerConnection) -> bool:
        """Answer a request whose head has been read if it is to be shed, and return whether it was.

        The connection stays open if its caller wants that and the whole request has been read.
        """
        retry_after_seconds = self.shedding.retry_after_seconds(connection.head)
        if retry_after_seconds is None:
            return False
        reader = connection.body_reader
        if not reader.complete:
            _body, rest = reader.feed(bytes(connection.buffer))
            connection.buffer[:] = rest
        is_stopping = self.close_after_answers and not connection.buffer
        is_slow = connection.output_bytes > self.settings.caller_buffer_bytes
        closes = not (reader.complete and connection.head.keep_alive) or is_stopping or is_slow
        connection.add_output(encode_shed_answer(connection.head, retry_after_seconds, closes=closes))
        self.metrics.count_answer(UNAVAILABLE)
        connection.closing = closes
        self.end_request(connection)
        self.shedding.end_refusal()
        return True

    def parse_body(self, connection: CallerConnection) -> None:
        """Collect the body and fire the request once it is complete."""
        body, rest = connection.body_reader.feed(bytes(connection.buffer))
        connection.buffer[:] = rest
        if connection.large_body is None and body:
            copies = COPIES_OF_CHUNKED_BODY if connection.head.chunked else 1
            if not self.hold_body(connection, copies * len(body)):
                self.refuse_body(connection)
                return
        connection.add_body(body)
        self.continue_body(connection, len(body))

    def continue_body(self, connection: CallerConnection, count: int) -> None:
        """Fire the request if the last `count` bytes complete its body, otherwise wait for more."""
        connection.body_bytes_since_reset += count
        if connection.body_reader.complete:
            if self.has_left(connection):
                connection.buffer.clear()
                self.close_connection(connection)
                return
            connection.state = CallerConnectionState.ANSWER
            connection.closing = not connection.head.keep_alive
            self.timeouts.set_timeout(connection, math.inf)
            self.connections_by_request[connection.request_id] = connection
            body = self.bodies.complete(connection)
            self.fire(RequestReceived(connection.request_id, connection.head, body), self.requests_channel)
            if connection.buffer:
                self.hold_pipelined(connection, len(connection.buffer))
            return
        self.bodies.continue_receiving(connection)
        if connection.body_bytes_since_reset >= BODY_PROGRESS_BYTES:
            # The time-out is extended only after some progress, so that sending single bytes does not keep a
            # connection open.
            connection.body_bytes_since_reset = 0
            self.timeouts.set_timeout(connection, self.settings.idle_timeout_seconds)

    def hold_body(self, connection: CallerConnection, count: int) -> bool:
        """Hold memory for a body, if need be that of stalled ones, and return whether there is room."""
        if self.bodies.hold_body(connection, count):
            return True
        stalled = self.bodies.find_stalled(connection)
        for other in stalled:
            message = "the body arrived too slowly while memory for others was needed"
            self.refuse(other, FramingError(408, RefusalCode.REQUEST_TIMEOUT, message))
        return bool(stalled) and self.bodies.hold_body(connection, count)

    def hold_pipelined(self, connection: CallerConnection, count: int) -> None:
        """Hold memory for bytes of later requests; without room they are dropped, and later refused."""
        if not self.bodies.hold_pipelined(connection, count):
            connection.is_rest_dropped = True
            connection.buffer.clear()
            self.pause_reading(connection)

    def refuse_body(self, connection: CallerConnection) -> None:
        """Have a request refused, and read the rest of its body without keeping it."""
        self.bodies.memory.record_refusal()
        self.bodies.end(connection)
        connection.body_parts = []
        connection.buffer.clear()
        connection.state = CallerConnectionState.ANSWER
        connection.closing = True
        self.pause_reading(connection)
        self.timeouts.set_timeout(connection, math.inf)
        self.connections_by_request[connection.request_id] = connection
        self.fire(BodyRefused(connection.request_id, connection.head), self.requests_channel)

    def refuse(self, connection: CallerConnection, error: FramingError) -> None:
        """Answer an unacceptable request or connection with an error and close the connection."""
        if connection.sock not in self.connections:
            return
        answer = error_answer(connection.request_id or self.id_generator.next_id(), error)
        _request_id, status, headers, body = answer.args
        connection.closing = True
        connection.buffer.clear()
        self.write_head(connection, status, headers, len(body))
        connection.add_output(body)
        self.finish_answer(connection)

    def write_head(
        self, connection: CallerConnection, status: int, headers: dict[str, str], length: int | None
    ) -> None:
        """Buffer the head of an answer."""
        # What was read behind the request is answered as well: its caller may not send it again.
        is_last = not connection.buffer and not connection.is_rest_dropped
        connection.closing = connection.closing or (self.close_after_answers and is_last)
        connection.add_answer_head(status, headers, length)
        self.metrics.count_answer(status)

    @handler("SendAnswer")
    def on_send_answer(self, request_id: str, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send a complete answer."""
        connection = self.connections_by_request.get(request_id)
        if connection is None:
            return
        self.write_head(connection, status, headers, len(body))
        connection.add_output(body if connection.answer_has_body(status) else b"")
        self.finish_answer(connection)

    @handler("SendHead")
    def on_send_head(self, request_id: str, status: int, headers: dict[str, str], length: int | None) -> None:
        """Start an answer by sending its head."""
        connection = self.connections_by_request.get(request_id)
        if connection is not None:
            self.write_head(connection, status, headers, length)

    @handler("SendPart")
    def on_send_part(self, request_id: str, data: bytes) -> None:
        """Send a part of an answer."""
        connection = self.connections_by_request.get(request_id)
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
    def on_send_end(self, request_id: str) -> None:
        """Finish an answer; reset the connection if the body is shorter than its Content-Length."""
        connection = self.connections_by_request.get(request_id)
        if connection is None:
            return
        if connection.chunked_answer:
            connection.add_output(b"0\r\n\r\n")
        elif connection.remaining_answer and connection.head.method != "HEAD":
            self.on_abort_answer(request_id)
            return
        self.finish_answer(connection)

    @handler("AbortAnswer")
    def on_abort_answer(self, request_id: str) -> None:
        """Reset the connection of a truncated answer, so that the caller detects the truncation."""
        connection = self.connections_by_request.pop(request_id, None)
        if connection is not None:
            connection.reset_on_close()
            self.close_connection(connection)

    @handler("SettingsChanged")
    def on_settings_changed(self, settings: ConnectionSettings) -> None:
        """Replace the settings; new limits apply from now on."""
        self.settings = settings
        self.bodies.memory.limit_bytes = settings.max_held_body_bytes
        self.activity.limit = settings.max_caller_connections

    @handler("CloseAfterAnswers")
    def on_close_after_answers(self) -> None:
        """Close each connection after its next answer, announced by `Connection: close`.

        Answers that have begun can't announce it any more, nor do those that read requests follow.
        """
        self.close_after_answers = True

    @handler("StopAccepting")
    def on_stop_accepting(self) -> None:
        """Accept all pending connections and close the listening socket."""
        if self.listener is not None:
            # The close resets connections that are made after the last accept.
            try:
                drop_new_connections(self.listener)
            except OSError as error:
                logger.warning("connections may be reset by the close of the port: %s", error)
            self.read_rounds_while_full = READ_ROUNDS_BEFORE_REFUSAL
            while self.accept_connections():
                self.read_rounds_while_full = READ_ROUNDS_BEFORE_REFUSAL
            self.poller.discard(self.listener)
            self.listener.close()
            self.listener = None

    @handler("CloseIdleConnections")
    def on_close_idle(self) -> None:
        """Close idle connections without unread bytes; requests in transit can be resent to other routers.

        The callers of new connections have their first request still to send, and get the time for it.
        """
        for connection in list(self.idle_connections):
            if connection.buffer or connection.output or connection.has_unread_bytes:
                continue
            seconds_left = self.first_request_seconds_left(connection)
            if seconds_left > 0:
                self.timeouts.set_timeout(connection, seconds_left)
            else:
                self.close_connection(connection)

    def first_request_seconds_left(self, connection: CallerConnection) -> float:
        """Return for how long a connection is kept for its first request, 0 or less if it is not."""
        if connection.has_sent_head:
            return 0.0
        return connection.accepted_at + FIRST_REQUEST_SECONDS - self.deadlines.clock.monotonic()

    @property
    def is_busy(self) -> bool:
        """Return whether a request is expected, unread or in progress, or an answer is not fully written."""
        return any(connection.is_busy for connection in self.connections.values()) or any(
            self.first_request_seconds_left(connection) > 0 or connection.has_unread_bytes
            for connection in self.idle_connections
        )

    def finish_answer(self, connection: CallerConnection) -> None:
        """Continue with the caller's next request, or start to close, once the whole answer is buffered."""
        self.connections_by_request.pop(connection.request_id, None)
        self.bodies.end(connection)
        connection.sender_paused = False
        self.end_request(connection)
        self.flush_output(connection)
        if connection.sock not in self.connections:
            return
        if connection.reading_paused:
            connection.reading_paused = False
            self.poller.addReader(self, connection.sock)
        if connection.is_rest_dropped and not connection.closing:
            message = "no memory for requests behind another one"
            self.refuse(connection, FramingError(503, RefusalCode.NO_CAPACITY, message, 1.0))
            return
        if connection.buffer:
            try:
                self.parse_buffer(connection)
            except FramingError as error:
                self.refuse(connection, error)

    def end_request(self, connection: CallerConnection) -> None:
        """Wait for the caller's next request, or for its close if the connection is to be closed."""
        has_unread_body = connection.body_reader is not None and not connection.body_reader.complete
        connection.begin_request()
        if connection.closing:
            connection.state = CallerConnectionState.LINGER
            connection.buffer.clear()
            if has_unread_body:
                now = self.deadlines.clock.monotonic()
                connection.discard_until = now + self.settings.idle_timeout_seconds
        else:
            connection.state = CallerConnectionState.HEAD
            self.mark_idle(connection)

    def flush_output(self, connection: CallerConnection) -> None:
        """Write buffered output, poll for writability if some is left, and pause or resume the sender."""
        try:
            written = connection.write()
        except OSError:
            self.close_connection(connection)
            return
        if bool(connection.output) != connection.writer_registered:
            connection.writer_registered = bool(connection.output)
            if connection.writer_registered:
                self.poller.addWriter(self, connection.sock)
            else:
                self.poller.removeWriter(connection.sock)
        if connection.output:
            if written or math.isinf(connection.timeout_at):
                self.timeouts.set_timeout(connection, self.settings.idle_timeout_seconds)
        elif connection.state is CallerConnectionState.ANSWER:
            connection.timeout_at = math.inf
        elif connection.state is CallerConnectionState.LINGER:
            self.start_linger(connection)
        self.update_sender(connection)

    def update_sender(self, connection: CallerConnection) -> None:
        """Pause or resume the sender of the answer, depending on the number of buffered bytes."""
        if connection.state is not CallerConnectionState.ANSWER:
            return
        limit = self.settings.caller_buffer_bytes
        if not connection.sender_paused and connection.output_bytes > limit:
            connection.sender_paused = True
            self.fire(CallerBufferFull(connection.request_id), self.requests_channel)
        elif connection.sender_paused and connection.output_bytes <= limit // 2:
            connection.sender_paused = False
            self.fire(CallerBufferAvailable(connection.request_id), self.requests_channel)

    def start_linger(self, connection: CallerConnection) -> None:
        """Shut down the sending side and wait for the caller's close.

        Closing a socket with unread bytes would reset the connection and lose the answer in transit. The time
        is extended while a caller still sends a body that was refused.
        """
        try:
            connection.shut_down()
        except OSError:
            self.close_connection(connection)
            return
        self.timeouts.set_timeout(connection, LINGER_SECONDS)

    def close_connection(self, connection: CallerConnection) -> None:
        """Close a connection and report its request in progress, if any, as lost."""
        if self.connections.pop(connection.sock, None) is None:
            return
        self.idle_connections.pop(connection, None)
        self.awaited_connections.pop(connection, None)
        self.bodies.end(connection)
        self.poller.discard(connection.sock)
        connection.sock.close()
        if connection.deadline is not None:
            connection.deadline.cancel()
        if self.connections_by_request.pop(connection.request_id, None) is not None:
            self.fire(CallerDisconnected(connection.request_id), self.requests_channel)

    @handler("DeadlineReached")
    def on_due(self, connection: CallerConnection | None) -> None:
        """Resume accepting, or handle the time-out of a connection unless it was extended meanwhile."""
        if connection is None:
            self.is_accepting_paused = False
            if self.listener is not None:
                self.poller.addReader(self, self.listener)
            return
        if connection.sock not in self.connections or not self.timeouts.check_expired(connection):
            return
        if (
            connection.head_started
            and connection.state is not CallerConnectionState.ANSWER
            and not connection.output
        ):
            limit = self.settings.header_timeout_seconds
            if connection.state is CallerConnectionState.BODY:
                limit = self.settings.idle_timeout_seconds
            message = f"the request did not arrive within {limit:g} s"
            self.refuse(connection, FramingError(408, RefusalCode.REQUEST_TIMEOUT, message))
        elif connection in self.idle_connections and connection.has_unread_bytes:
            self.timeouts.set_timeout(connection, self.settings.header_timeout_seconds)
        else:
            self.close_connection(connection)
