"""HTTP client for targets and the platform: one component that owns all of these connections."""

import errno
import logging
import math
import socket
from collections.abc import Callable, Hashable
from http import HTTPStatus

from circuits.core import BaseComponent, handler
from circuits.core.pollers import EPoll

from limpetusher.clock import Clock
from limpetusher_router.connection.framing import AnswerHead, BodyReader, find_head_length, parse_answer_head
from limpetusher_router.connection.keepalive import configure_socket
from limpetusher_router.connection.settings import ConnectionSettings, split_address
from limpetusher_router.connection.target_connection import TargetConnection, TargetConnectionState
from limpetusher_router.connection.timeouts import Timeouts
from limpetusher_router.errors import FramingError
from limpetusher_router.events import (
    TARGETS,
    AnswerHeadReceived,
    AnswerPartReceived,
    Attempt,
    AttemptEnded,
    AttemptResult,
    AttemptSendDelayed,
    AttemptSendStarted,
)
from limpetusher_router.process.deadlines import Deadlines
from limpetusher_router.process.metrics import Metrics

READ_BYTES = 16_384
CONTROL_READ_BYTES = 1 << 20
"""Bytes of an answer of the store or a router that are read at once: a whole configuration of the largest
allowed size in a few rounds of a busy event loop."""
CONNECT_FRACTION_OF_SEND_WINDOW = 0.8
"""Fraction of the time until `send_before` that may be spent on connecting."""
CONNECT_DELAY_SECONDS = 0.05
"""Time after which a connection that is not established is reported as delayed; several round trips."""
CONFIRMATION_DELAY_SECONDS = 0.05
"""Time between the close of a connection and the check whether its target still accepts connections. The
kernel may close the listening socket of a killed process after its connections; 1 ms later was measured."""
IDLE_CONNECTION_SECONDS = 15.0
IDLE_FRACTION_OF_KEEP_ALIVE = 0.7
"""Fraction of a target's keep-alive timeout after which an idle connection is closed.

The rest covers the network delay, so that the target does not close a connection that is being reused.
"""
IDLE_CONNECTIONS_PER_ADDRESS = 64
MISMATCHED_ANSWER_LIMIT_BYTES = 1 << 20
"""Maximum size of an answer to another request that is skipped before the connection is closed."""
BODYLESS_STATUSES = frozenset({204, 304})
INTERIM_STATUSES = range(100, 200)
CLOSED_BY_TARGET = "closed by the target"
"""Detail of a connection that has ended without an error."""

logger = logging.getLogger(__name__)


class ControlSource:
    """Source of the sockets to the store and to routers, by which the poller gives them priority."""

    channel = TARGETS
    is_control = True


class TargetClient(BaseComponent):
    """Sends requests and streams the answers as byte chunks.

    Messages about an exchange are fired on the channel of its attempt. A paused exchange does not read from
    its socket, so that TCP flow control slows the target down to the speed of the caller.
    """

    channel = TARGETS

    def __init__(
        self,
        settings: ConnectionSettings,
        *,
        clock: Clock,
        deadlines: Deadlines,
        poller: EPoll,
        metrics: Metrics,
    ):
        super().__init__()
        self.settings = settings
        self.clock = clock
        self.timeouts = Timeouts(deadlines, TARGETS)
        self.poller = poller
        self.control_source = ControlSource()
        self.metrics = metrics
        self.connections: dict[socket.socket, TargetConnection] = {}
        self.connections_by_attempt: dict[tuple[str, Hashable], TargetConnection] = {}
        self.idle_connections: dict[str, list[TargetConnection]] = {}
        self.make_room: Callable[[], None] = lambda: None
        """Called before a connection is opened, to close others that may take its descriptor."""

    @handler("StartAttempt")
    def on_start_attempt(self, attempt: Attempt) -> None:
        """Start an exchange on an idle or a new connection."""
        try:
            connection = self.take_idle_connection(attempt)
            if connection is None:
                self.connect(attempt)
            else:
                self.start_request(connection, attempt)
        except Exception:
            connection = self.connections_by_attempt.get((attempt.channel, attempt.key))
            if connection is not None:
                self.fail_exchange(connection)
                return
            logger.exception("starting an exchange failed with an exception")
            self.fire(AttemptEnded(attempt.key, AttemptResult.UNREACHABLE, "internal error"), attempt.channel)

    def take_idle_connection(self, attempt: Attempt) -> TargetConnection | None:
        """Return an idle connection that is still open, None when there is none."""
        idle = self.idle_connections.get(attempt.address, [])
        longest_idle_seconds = attempt.maximum_reuse_idle_seconds
        if longest_idle_seconds is None:
            longest_idle_seconds = math.inf if attempt.repeatable else -math.inf
        idle_since_limit = self.clock.monotonic() - longest_idle_seconds
        while idle and idle[-1].idle_since >= idle_since_limit:
            connection = idle.pop()
            try:
                connection.sock.recv(1, socket.MSG_PEEK)
            except (BlockingIOError, InterruptedError):
                connection.reused = True
                return connection
            except OSError:
                pass
            self.close_connection(connection)
        return None

    def connect(
        self, attempt: Attempt, *, sent_on_previous_connection: bool = False, is_confirmation: bool = False
    ) -> None:
        """Start to open a connection without blocking."""
        self.make_room()
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            end = AttemptResult.CUT if sent_on_previous_connection else AttemptResult.NOT_STARTED
            if is_confirmation:
                # Only a refusal shows that the target's process has ended.
                end = AttemptResult.CLOSED
            detail = errno.errorcode.get(error.errno, str(error))
            self.fire(AttemptEnded(attempt.key, end, detail), attempt.channel)
            return
        configure_socket(sock)
        connection = TargetConnection(sock, attempt.address)
        connection.is_control = attempt.is_control
        if attempt.is_control:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CONTROL_READ_BYTES)
        connection.reset(attempt)
        connection.sent_on_previous_connection = sent_on_previous_connection
        connection.is_confirmation = is_confirmation
        result = sock.connect_ex(split_address(self.settings.mapped_address(attempt.address)))
        if result not in (0, errno.EINPROGRESS):
            sock.close()
            end = AttemptResult.CUT if sent_on_previous_connection else AttemptResult.UNREACHABLE
            detail = errno.errorcode.get(result, str(result))
            self.fire(AttemptEnded(attempt.key, end, detail), attempt.channel)
            return
        self.connections[sock] = connection
        self.connections_by_attempt[attempt.channel, attempt.key] = connection
        self.watch_writing(connection, True)
        seconds = self.connect_seconds(attempt)
        connection.connect_by = self.clock.monotonic() + seconds
        self.timeouts.set_timeout(connection, min(seconds, CONNECT_DELAY_SECONDS))

    def connect_seconds(self, attempt: Attempt) -> float:
        """Return the connect timeout.

        It ends before `send_before`, so that an unreachable target is not reported as an expired attempt.
        """
        seconds = self.settings.connect_timeout_seconds
        if attempt.send_before is not None:
            seconds = min(
                seconds, (attempt.send_before - self.clock.monotonic()) * CONNECT_FRACTION_OF_SEND_WINDOW
            )
        return max(seconds, 0.0)

    def read_timeout_seconds(self, attempt: Attempt) -> float:
        """Return how long the exchange may go without a byte from the target."""
        return attempt.idle_timeout_seconds or self.settings.target_idle_timeout_seconds

    def start_request(self, connection: TargetConnection, attempt: Attempt) -> None:
        """Send the request on an open connection."""
        sent_on_previous_connection = connection.sent_on_previous_connection
        connection.reset(attempt)
        connection.sent_on_previous_connection = sent_on_previous_connection
        connection.state = TargetConnectionState.BUSY
        self.connections_by_attempt[attempt.channel, attempt.key] = connection
        self.timeouts.set_timeout(connection, self.read_timeout_seconds(attempt))
        self.send_request(connection)

    def send_request(self, connection: TargetConnection) -> None:
        """Send as much of the request as the socket accepts; the first byte only before `send_before`."""
        attempt = connection.attempt
        if not connection.has_sent and attempt.send_before is not None:
            now = self.clock.monotonic()
            if now >= attempt.send_before:
                self.end_exchange(
                    connection, AttemptResult.EXPIRED, f"{now - attempt.send_before:.3f} s too late"
                )
                return
        try:
            count = connection.sock.sendmsg(connection.unsent)
        except (BlockingIOError, InterruptedError):
            count = 0
        except OSError as error:
            self.handle_broken_connection(connection, errno.errorcode.get(error.errno, str(error)))
            return
        if count and not connection.has_sent:
            connection.has_sent = True
            if attempt.send_before is not None:
                self.fire(AttemptSendStarted(attempt.key), attempt.channel)
        connection.drop_sent(count)
        self.watch_writing(connection, bool(connection.unsent))

    def source_of(self, connection: TargetConnection) -> "TargetClient | ControlSource":
        """Return the source of a connection's socket for the poller."""
        return self.control_source if connection.is_control else self

    def watch_writing(self, connection: TargetConnection, writing: bool) -> None:
        """Start or stop polling the socket for writability."""
        if writing == connection.writer_registered:
            return
        connection.writer_registered = writing
        if writing:
            self.poller.addWriter(self.source_of(connection), connection.sock)
        else:
            self.poller.removeWriter(connection.sock)

    @handler("_write")
    def on_writable(self, sock: socket.socket) -> None:
        """Handle a writable socket; an exception ends the exchange."""
        connection = self.connections.get(sock)
        if connection is None or not connection.writer_registered:
            return
        try:
            self.handle_writable(connection)
        except Exception:
            self.fail_exchange(connection)

    def handle_writable(self, connection: TargetConnection) -> None:
        """Finish connecting, or continue sending."""
        sock = connection.sock
        if connection.state is TargetConnectionState.CONNECTING:
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                self.handle_broken_connection(connection, errno.errorcode.get(error, str(error)))
                return
            if not connection.reading_paused:
                self.poller.addReader(self.source_of(connection), sock)
            if connection.is_confirmation:
                self.end_exchange(connection, AttemptResult.CLOSED)
                return
            self.start_request(connection, connection.attempt)
        elif connection.state is TargetConnectionState.BUSY:
            self.send_request(connection)

    @handler("_read")
    def on_readable(self, sock: socket.socket) -> None:
        """Read a part of an answer."""
        connection = self.connections.get(sock)
        if connection is None or connection.reading_paused:
            return
        try:
            data = sock.recv(CONTROL_READ_BYTES if connection.is_control else READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.handle_broken_connection(connection, errno.errorcode.get(error.errno, str(error)))
            return
        if connection.state is TargetConnectionState.IDLE:
            if data:
                self.metrics.unrequested_answers.inc({})
                logger.warning("received bytes without a request from %s", connection.address)
            self.close_connection(connection)
        elif not data:
            self.handle_broken_connection(connection, CLOSED_BY_TARGET)
        else:
            self.receive_bytes(connection, data)

    def receive_bytes(self, connection: TargetConnection, data: bytes) -> None:
        """Process received bytes of an answer, after those of answers that belong to other requests."""
        connection.has_received = True
        attempt = connection.attempt
        self.timeouts.set_timeout(connection, self.read_timeout_seconds(attempt))
        while True:
            try:
                if connection.head is None:
                    connection.buffer += data
                    data = self.receive_head(connection)
                    if connection.head is None:
                        return
                payload, rest = connection.body.feed(data)
            except FramingError as error:
                self.end_exchange(connection, AttemptResult.CUT, error.message)
                return
            except Exception:
                self.fail_exchange(connection)
                return
            if not connection.is_mismatched:
                break
            if not self.skip_mismatched_answer(connection) or not rest:
                return
            data = rest
        connection.buffer[:] = rest
        if payload:
            self.fire(AnswerPartReceived(attempt.key, payload), attempt.channel)
        if connection.body.complete:
            self.end_exchange(connection, AttemptResult.COMPLETE)

    def skip_mismatched_answer(self, connection: TargetConnection) -> bool:
        """Discard what was read of an answer that belongs to another request; return whether it has ended."""
        if connection.body.complete:
            connection.head = None
            connection.is_mismatched = False
            return True
        if connection.body.received_bytes > MISMATCHED_ANSWER_LIMIT_BYTES:
            self.end_exchange(connection, AttemptResult.CUT, "too many bytes of another answer")
        return False

    def receive_head(self, connection: TargetConnection) -> bytes:
        """Parse the head once it is complete, skip interim (1xx) answers, and return the bytes after it."""
        buffer = connection.buffer
        while True:
            length = find_head_length(buffer, self.settings.max_header_bytes)
            if length is None:
                return b""
            head = parse_answer_head(bytes(buffer[:length]))
            del buffer[:length]
            if head.status not in INTERIM_STATUSES:
                break
        attempt = connection.attempt
        empty = attempt.answer_has_no_body or head.status in BODYLESS_STATUSES
        connection.head = head
        connection.ends_at_close = not empty and not head.chunked and head.content_length is None
        connection.body = BodyReader(
            length=0 if empty else head.content_length, chunked=head.chunked and not empty
        )
        connection.is_mismatched = self.is_mismatched(attempt, head)
        if connection.is_mismatched:
            self.metrics.unrequested_answers.inc({})
            logger.warning("received an answer to another request from %s", connection.address)
        else:
            self.fire(AnswerHeadReceived(attempt.key, head), attempt.channel)
        rest = bytes(buffer)
        buffer.clear()
        return rest

    def is_mismatched(self, attempt: Attempt, head: AnswerHead) -> bool:
        """Return whether the answer carries the identifier of another request."""
        if attempt.expected_answer_header is None:
            return False
        name, value = attempt.expected_answer_header
        return head.headers.get(name, value) != value

    @handler("_disconnect", "_error")
    def on_disconnect(self, sock: socket.socket, *_: object) -> None:
        """Handle a connection that the poller reports as broken."""
        connection = self.connections.get(sock)
        if connection is None:
            return
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self.handle_broken_connection(connection, errno.errorcode.get(error, CLOSED_BY_TARGET))

    def handle_broken_connection(self, connection: TargetConnection, detail: str) -> None:
        """End or resend the exchange on a broken connection."""
        attempt = connection.attempt
        if connection.state is TargetConnectionState.IDLE:
            self.close_connection(connection)
        elif not connection.has_sent:
            self.resend_or_end(connection, AttemptResult.UNREACHABLE, detail)
        elif connection.ends_at_close and detail == CLOSED_BY_TARGET and not connection.is_mismatched:
            # A target that closes before it has taken the request has broken off.
            confirms_close = attempt.confirms_close and connection.head.status == HTTPStatus.OK
            if connection.is_request_taken and confirms_close:
                connection.state = TargetConnectionState.ENDED
                self.poller.discard(connection.sock)
                self.timeouts.set_timeout(connection, CONFIRMATION_DELAY_SECONDS)
            elif connection.is_request_taken:
                self.end_exchange(connection, AttemptResult.CLOSED)
            else:
                self.end_exchange(connection, AttemptResult.CUT, "closed before the request was taken")
        elif connection.has_received or attempt is None:
            self.end_exchange(connection, AttemptResult.CUT, detail)
        else:
            self.resend_or_end(connection, AttemptResult.CUT, detail)

    def confirm_close(self, connection: TargetConnection) -> None:
        """Replace a connection that its target has closed, whose exchange is cut if the target refuses that.

        The new connection is kept for a later exchange.
        """
        attempt = connection.attempt
        connection.attempt = None
        self.connections_by_attempt.pop((attempt.channel, attempt.key), None)
        self.close_connection(connection)
        try:
            self.connect(attempt, sent_on_previous_connection=True, is_confirmation=True)
        except OSError as error:
            detail = f"no socket to confirm the end: {error.strerror}"
            self.fire(AttemptEnded(attempt.key, AttemptResult.CUT, detail), attempt.channel)

    def resend_or_end(self, connection: TargetConnection, end: AttemptResult, detail: str) -> None:
        """Resend a repeatable request on a new connection if a reused one broke, otherwise end the exchange.

        The other idle connections to the address are closed as well.
        """
        attempt = connection.attempt
        if not (connection.reused and attempt.repeatable):
            self.end_exchange(connection, end, detail)
            return
        connection.attempt = None
        self.connections_by_attempt.pop((attempt.channel, attempt.key), None)
        self.close_connection(connection)
        for idle in self.idle_connections.pop(attempt.address, []):
            self.close_connection(idle)
        self.connect(attempt, sent_on_previous_connection=connection.has_sent)

    def fail_exchange(self, connection: TargetConnection) -> None:
        """End the exchange on a connection after an exception in a handler."""
        logger.exception("exchange with %s failed with an exception", connection.address)
        self.metrics.handler_errors.inc({})
        end = AttemptResult.CUT if connection.has_sent else AttemptResult.UNREACHABLE
        self.end_exchange(connection, end, "internal error")

    def end_exchange(self, connection: TargetConnection, end: AttemptResult, detail: str = "") -> None:
        """Report the end of an exchange, and keep its connection open or close it."""
        attempt = connection.attempt
        self.connections_by_attempt.pop((attempt.channel, attempt.key), None)
        is_unused = end is AttemptResult.EXPIRED and connection.state is TargetConnectionState.BUSY
        if connection.sent_on_previous_connection and end in (
            AttemptResult.EXPIRED,
            AttemptResult.UNREACHABLE,
        ):
            end = AttemptResult.CUT
        is_confirmed = end is AttemptResult.CLOSED and connection.is_confirmation and not detail
        if is_unused or is_confirmed or (end is AttemptResult.COMPLETE and connection.is_reusable):
            self.keep_idle(connection)
        else:
            self.close_connection(connection)
        self.fire(AttemptEnded(attempt.key, end, detail), attempt.channel)

    def keep_idle(self, connection: TargetConnection) -> None:
        """Keep a connection open for a later exchange, unless enough are idle already."""
        self.watch_writing(connection, False)
        idle = self.idle_connections.setdefault(connection.address, [])
        if len(idle) >= IDLE_CONNECTIONS_PER_ADDRESS:
            self.close_connection(connection)
            return
        keep_alive_seconds = connection.head.keep_alive_seconds if connection.head is not None else None
        connection.reset(None)
        connection.state = TargetConnectionState.IDLE
        connection.reused = False
        idle.append(connection)
        connection.idle_since = self.clock.monotonic()
        if connection.reading_paused:
            connection.reading_paused = False
            self.poller.addReader(self.source_of(connection), connection.sock)
        seconds = IDLE_CONNECTION_SECONDS
        if keep_alive_seconds is not None:
            seconds = min(seconds, keep_alive_seconds * IDLE_FRACTION_OF_KEEP_ALIVE)
        self.timeouts.set_timeout(connection, seconds)

    def close_connection(self, connection: TargetConnection) -> None:
        """Close a connection and forget its state."""
        if self.connections.pop(connection.sock, None) is None:
            return
        idle = self.idle_connections.get(connection.address)
        if idle is not None:
            if connection in idle:
                idle.remove(connection)
            if not idle:
                del self.idle_connections[connection.address]
        if connection.deadline is not None:
            connection.deadline.cancel()
        self.poller.discard(connection.sock)
        connection.sock.close()

    @handler("CancelAttempt")
    def on_stop_attempt(self, key: Hashable, channel: str) -> None:
        """Cancel an exchange and close its connection."""
        connection = self.connections_by_attempt.pop((channel, key), None)
        if connection is not None:
            self.close_connection(connection)

    @handler("PauseAttempt")
    def on_pause_attempt(self, key: Hashable, channel: str) -> None:
        """Pause reading an answer."""
        connection = self.connections_by_attempt.get((channel, key))
        if connection is not None and not connection.reading_paused:
            connection.reading_paused = True
            if connection.state is TargetConnectionState.BUSY:
                connection.timeout_at = math.inf
                self.poller.removeReader(connection.sock)

    @handler("ResumeAttempt")
    def on_continue_attempt(self, key: Hashable, channel: str) -> None:
        """Resume reading an answer."""
        connection = self.connections_by_attempt.get((channel, key))
        if connection is not None and connection.reading_paused:
            connection.reading_paused = False
            if connection.state is TargetConnectionState.BUSY:
                self.poller.addReader(self.source_of(connection), connection.sock)
                self.timeouts.set_timeout(connection, self.read_timeout_seconds(connection.attempt))

    @handler("DeadlineReached")
    def on_due(self, connection: TargetConnection) -> None:
        """Handle the time-out of a connection, unless it was extended meanwhile."""
        if connection.sock not in self.connections or not self.timeouts.check_expired(connection):
            return
        if connection.state is TargetConnectionState.IDLE:
            self.close_connection(connection)
        elif connection.state is TargetConnectionState.CONNECTING:
            self.handle_slow_connect(connection)
        elif connection.state is TargetConnectionState.ENDED:
            self.confirm_close(connection)
        else:
            end = AttemptResult.CUT if connection.has_sent else AttemptResult.UNREACHABLE
            self.end_exchange(connection, end, "the target was silent for too long")

    def handle_slow_connect(self, connection: TargetConnection) -> None:
        """Report that a connection is delayed, or end its exchange when its time is over."""
        seconds_left = connection.connect_by - self.clock.monotonic()
        if seconds_left <= 0:
            # Only a refusal shows that the target's process has ended; a full accept queue is slow as well.
            end = AttemptResult.CLOSED if connection.is_confirmation else AttemptResult.UNREACHABLE
            self.end_exchange(connection, end, "connecting took too long")
            return
        if not connection.is_confirmation:
            self.fire(AttemptSendDelayed(connection.attempt.key), connection.attempt.channel)
        self.timeouts.set_timeout(connection, seconds_left)
