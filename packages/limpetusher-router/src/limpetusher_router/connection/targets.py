"""HTTP exchanges with targets and the platform: one component that owns all of these connections."""

import errno
import logging
import math
import socket
from collections.abc import Hashable

from circuits.core import BaseComponent, handler
from circuits.core.pollers import EPoll

from limpetusher.clock import Clock
from limpetusher_router.connection.framing import AnswerHead, BodyReader, find_head, parse_answer_head
from limpetusher_router.connection.keepalive import prepare
from limpetusher_router.connection.settings import ConnectionSettings, split_address
from limpetusher_router.connection.target_connection import TargetConnection, TargetState
from limpetusher_router.connection.timeouts import Timeouts
from limpetusher_router.errors import FramingError
from limpetusher_router.events import (
    TARGETS,
    AnswerEnded,
    AnswerPart,
    AnswerStarted,
    Attempt,
    AttemptEnd,
    AttemptSent,
)
from limpetusher_router.process.deadlines import Deadlines
from limpetusher_router.process.metrics import Metrics

READ_BYTES = 16_384
CONNECT_PART_OF_GRANT = 0.8
KEPT_SECONDS = 15.0
KEPT_PART_OF_ANNOUNCED = 0.7
"""Part of the time that a target announces to keep a connection; the rest covers the way there."""
KEPT_PER_ADDRESS = 64
FOREIGN_BYTES = 1 << 20
"""Size up to which an answer to another request is skipped."""
BODYLESS_STATUSES = frozenset({204, 304})
INTERIM_STATUSES = range(100, 200)

logger = logging.getLogger(__name__)


class TargetClient(BaseComponent):
    """Sends requests and streams the answers as byte chunks.

    Messages about an exchange go to the channel that its attempt names. A paused exchange does not read from
    its socket, so that the target has to wait for a slow caller.
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
        self.metrics = metrics
        self.connections: dict[socket.socket, TargetConnection] = {}
        self.exchanges: dict[tuple[str, Hashable], TargetConnection] = {}
        self.kept: dict[str, list[TargetConnection]] = {}

    @handler("StartAttempt")
    def on_start(self, attempt: Attempt) -> None:
        """Begin an exchange on a kept or a new connection."""
        try:
            connection = self.take_kept(attempt)
            if connection is None:
                self.connect(attempt)
            else:
                self.begin(connection, attempt)
        except Exception:
            connection = self.exchanges.get((attempt.channel, attempt.key))
            if connection is not None:
                self.fail(connection)
                return
            logger.exception("starting an exchange failed")
            self.fire(AnswerEnded(attempt.key, AttemptEnd.UNREACHABLE, "internal error"), attempt.channel)

    def take_kept(self, attempt: Attempt) -> TargetConnection | None:
        """Return a kept connection that is still open, None when there is none."""
        kept = self.kept.get(attempt.address, [])
        longest = attempt.reuse_idle_seconds
        if longest is None:
            longest = math.inf if attempt.repeatable else -math.inf
        oldest = self.clock.monotonic() - longest
        while kept and kept[-1].kept_at >= oldest:
            connection = kept.pop()
            try:
                connection.sock.recv(1, socket.MSG_PEEK)
            except (BlockingIOError, InterruptedError):
                connection.reused = True
                return connection
            except OSError:
                pass
            self.close(connection)
        return None

    def connect(self, attempt: Attempt, *, sent_before: bool = False) -> None:
        """Open a connection without waiting for it."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        prepare(sock)
        connection = TargetConnection(sock, attempt.address)
        connection.begin(attempt)
        connection.sent_before = sent_before
        result = sock.connect_ex(split_address(self.settings.reach(attempt.address)))
        if result not in (0, errno.EINPROGRESS):
            sock.close()
            end = AttemptEnd.CUT if sent_before else AttemptEnd.UNREACHABLE
            detail = errno.errorcode.get(result, str(result))
            self.fire(AnswerEnded(attempt.key, end, detail), attempt.channel)
            return
        self.connections[sock] = connection
        self.exchanges[attempt.channel, attempt.key] = connection
        self.watch_writing(connection, True)
        self.timeouts.set(connection, self.connect_seconds(attempt))

    def connect_seconds(self, attempt: Attempt) -> float:
        """Return the time for connecting.

        It ends before `send_before`, so that a target that can't be reached is told apart from a late send.
        """
        seconds = self.settings.connect_timeout_seconds
        if attempt.send_before is not None:
            seconds = min(seconds, (attempt.send_before - self.clock.monotonic()) * CONNECT_PART_OF_GRANT)
        return max(seconds, 0.0)

    def idle_seconds(self, attempt: Attempt) -> float:
        """Return how long the target may be silent."""
        return attempt.idle_seconds or self.settings.target_idle_timeout_seconds

    def begin(self, connection: TargetConnection, attempt: Attempt) -> None:
        """Send the request on an open connection."""
        sent_before = connection.sent_before
        connection.begin(attempt)
        connection.sent_before = sent_before
        connection.state = TargetState.BUSY
        self.exchanges[attempt.channel, attempt.key] = connection
        self.timeouts.set(connection, self.idle_seconds(attempt))
        self.send(connection)

    def send(self, connection: TargetConnection) -> None:
        """Send as much of the request as the socket takes; the first byte only in time."""
        attempt = connection.attempt
        if not connection.sent and attempt.send_before is not None:
            now = self.clock.monotonic()
            if now >= attempt.send_before:
                self.end(connection, AttemptEnd.EXPIRED, f"{now - attempt.send_before:.3f} s too late")
                return
        try:
            count = connection.sock.send(connection.unsent)
        except (BlockingIOError, InterruptedError):
            count = 0
        except OSError as error:
            self.broken(connection, errno.errorcode.get(error.errno, str(error)))
            return
        if count and not connection.sent:
            connection.sent = True
            if attempt.send_before is not None:
                self.fire(AttemptSent(attempt.key), attempt.channel)
        connection.unsent = connection.unsent[count:]
        self.watch_writing(connection, bool(connection.unsent))

    def watch_writing(self, connection: TargetConnection, writing: bool) -> None:
        """Let the poller tell when the socket has room, or stop that."""
        if writing == connection.writing:
            return
        connection.writing = writing
        if writing:
            self.poller.addWriter(self, connection.sock)
        else:
            self.poller.removeWriter(connection.sock)

    @handler("_write")
    def on_writable(self, sock: socket.socket) -> None:
        """Finish connecting, or go on sending."""
        connection = self.connections.get(sock)
        if connection is None or not connection.writing:
            return
        try:
            self.proceed(connection)
        except Exception:
            self.fail(connection)

    def proceed(self, connection: TargetConnection) -> None:
        """Finish connecting, or go on sending."""
        sock = connection.sock
        if connection.state is TargetState.CONNECTING:
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                self.broken(connection, errno.errorcode.get(error, str(error)))
                return
            if not connection.paused:
                self.poller.addReader(self, sock)
            self.begin(connection, connection.attempt)
        elif connection.state is TargetState.BUSY:
            self.send(connection)

    @handler("_read")
    def on_readable(self, sock: socket.socket) -> None:
        """Read a part of an answer."""
        connection = self.connections.get(sock)
        if connection is None or connection.paused:
            return
        try:
            data = sock.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.broken(connection, errno.errorcode.get(error.errno, str(error)))
            return
        if connection.state is TargetState.IDLE:
            if data:
                self.metrics.unrequested_answers.inc({})
                logger.warning("bytes without a request from %s", connection.address)
            self.close(connection)
        elif not data:
            self.broken(connection, "closed by the target")
        else:
            self.receive(connection, data)

    def receive(self, connection: TargetConnection, data: bytes) -> None:
        """Take bytes of an answer."""
        connection.received = True
        attempt = connection.attempt
        self.timeouts.set(connection, self.idle_seconds(attempt))
        try:
            if connection.head is None:
                connection.buffer += data
                data = self.receive_head(connection)
                if connection.head is None:
                    return
            payload, rest = connection.body.feed(data)
        except FramingError as error:
            self.end(connection, AttemptEnd.CUT, error.message)
            return
        except Exception:
            self.fail(connection)
            return
        connection.buffer[:] = rest
        if connection.is_foreign:
            self.skip_foreign(connection)
            return
        if payload:
            self.fire(AnswerPart(attempt.key, payload), attempt.channel)
        if connection.body.complete:
            self.end(connection, AttemptEnd.COMPLETE)

    def skip_foreign(self, connection: TargetConnection) -> None:
        """Go on to the next answer after one that belongs to another request."""
        if not connection.body.complete:
            if connection.body.received > FOREIGN_BYTES:
                self.end(connection, AttemptEnd.CUT, "too many bytes of another answer")
            return
        connection.head = None
        connection.is_foreign = False
        rest = bytes(connection.buffer)
        connection.buffer.clear()
        if rest:
            self.receive(connection, rest)

    def receive_head(self, connection: TargetConnection) -> bytes:
        """Parse the head once it is complete, skip interim ones, and return the bytes after it."""
        buffer = connection.buffer
        while True:
            length = find_head(buffer, self.settings.max_header_bytes)
            if length is None:
                return b""
            head = parse_answer_head(bytes(buffer[:length]))
            del buffer[:length]
            if head.status not in INTERIM_STATUSES:
                break
        attempt = connection.attempt
        empty = attempt.without_body or head.status in BODYLESS_STATUSES
        connection.head = head
        connection.ends_with_connection = not empty and not head.chunked and head.content_length is None
        connection.body = BodyReader(
            length=0 if empty else head.content_length, chunked=head.chunked and not empty
        )
        connection.is_foreign = self.is_foreign(attempt, head)
        if connection.is_foreign:
            self.metrics.unrequested_answers.inc({})
            logger.warning("an answer to another request from %s", connection.address)
        else:
            self.fire(AnswerStarted(attempt.key, head), attempt.channel)
        rest = bytes(buffer)
        buffer.clear()
        return rest

    def is_foreign(self, attempt: Attempt, head: AnswerHead) -> bool:
        """Return whether an answer names another request than the one that was sent."""
        if attempt.answer_id is None:
            return False
        name, value = attempt.answer_id
        return head.headers.get(name, value) != value

    @handler("_disconnect", "_error")
    def on_disconnect(self, sock: socket.socket, *_: object) -> None:
        """Take note of a connection that the poller reports as broken."""
        connection = self.connections.get(sock)
        if connection is None:
            return
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self.broken(connection, errno.errorcode.get(error, "closed by the target"))

    def broken(self, connection: TargetConnection, detail: str) -> None:
        """End the exchange on a connection that broke."""
        attempt = connection.attempt
        if connection.state is TargetState.IDLE:
            self.close(connection)
        elif not connection.sent:
            self.retry_or_end(connection, AttemptEnd.UNREACHABLE, detail)
        elif (
            connection.ends_with_connection and detail == "closed by the target" and not connection.is_foreign
        ):
            self.end(connection, AttemptEnd.CLOSED)
        elif connection.received or attempt is None:
            self.end(connection, AttemptEnd.CUT, detail)
        else:
            self.retry_or_end(connection, AttemptEnd.CUT, detail)

    def retry_or_end(self, connection: TargetConnection, end: AttemptEnd, detail: str) -> None:
        """Send again on a new connection if a kept one had been closed meanwhile, otherwise end."""
        attempt = connection.attempt
        if not (connection.reused and attempt.repeatable):
            self.end(connection, end, detail)
            return
        connection.attempt = None
        self.exchanges.pop((attempt.channel, attempt.key), None)
        self.close(connection)
        for kept in self.kept.pop(attempt.address, []):
            self.close(kept)
        self.connect(attempt, sent_before=connection.sent)

    def fail(self, connection: TargetConnection) -> None:
        """End the exchange on a connection after an exception in a handler."""
        logger.exception("an exchange with %s failed", connection.address)
        self.metrics.handler_errors.inc({})
        end = AttemptEnd.CUT if connection.sent else AttemptEnd.UNREACHABLE
        self.end(connection, end, "internal error")

    def end(self, connection: TargetConnection, end: AttemptEnd, detail: str = "") -> None:
        """Report the end of an exchange and keep or close its connection."""
        attempt = connection.attempt
        self.exchanges.pop((attempt.channel, attempt.key), None)
        unused = end is AttemptEnd.EXPIRED and connection.state is TargetState.BUSY
        if connection.sent_before and end in (AttemptEnd.EXPIRED, AttemptEnd.UNREACHABLE):
            end = AttemptEnd.CUT
        if unused or (end is AttemptEnd.COMPLETE and connection.is_clean):
            self.keep(connection)
        else:
            self.close(connection)
        self.fire(AnswerEnded(attempt.key, end, detail), attempt.channel)

    def keep(self, connection: TargetConnection) -> None:
        """Keep an open connection for a later exchange."""
        self.watch_writing(connection, False)
        kept = self.kept.setdefault(connection.address, [])
        if len(kept) >= KEPT_PER_ADDRESS:
            self.close(connection)
            return
        announced = connection.head.kept_seconds if connection.head is not None else None
        connection.begin(None)
        connection.state = TargetState.IDLE
        connection.reused = False
        kept.append(connection)
        connection.kept_at = self.clock.monotonic()
        if connection.paused:
            connection.paused = False
            self.poller.addReader(self, connection.sock)
        seconds = KEPT_SECONDS
        if announced is not None:
            seconds = min(seconds, announced * KEPT_PART_OF_ANNOUNCED)
        self.timeouts.set(connection, seconds)

    def close(self, connection: TargetConnection) -> None:
        """Close a connection."""
        if self.connections.pop(connection.sock, None) is None:
            return
        kept = self.kept.get(connection.address)
        if kept is not None:
            if connection in kept:
                kept.remove(connection)
            if not kept:
                del self.kept[connection.address]
        if connection.deadline is not None:
            connection.deadline.cancel()
        self.poller.discard(connection.sock)
        connection.sock.close()

    @handler("StopAttempt")
    def on_stop(self, key: Hashable, channel: str) -> None:
        """Abandon an exchange."""
        connection = self.exchanges.pop((channel, key), None)
        if connection is not None:
            self.close(connection)

    @handler("PauseAttempt")
    def on_pause(self, key: Hashable, channel: str) -> None:
        """Stop reading an answer."""
        connection = self.exchanges.get((channel, key))
        if connection is not None and not connection.paused:
            connection.paused = True
            if connection.state is TargetState.BUSY:
                connection.due_at = math.inf
                self.poller.removeReader(connection.sock)

    @handler("ContinueAttempt")
    def on_continue(self, key: Hashable, channel: str) -> None:
        """Go on reading an answer."""
        connection = self.exchanges.get((channel, key))
        if connection is not None and connection.paused:
            connection.paused = False
            if connection.state is TargetState.BUSY:
                self.poller.addReader(self, connection.sock)
                self.timeouts.set(connection, self.idle_seconds(connection.attempt))

    @handler("Due")
    def on_due(self, connection: TargetConnection) -> None:
        """Time out a connection unless its time-out was moved."""
        if connection.sock not in self.connections or not self.timeouts.has_expired(connection):
            return
        if connection.state is TargetState.IDLE:
            self.close(connection)
        elif connection.state is TargetState.CONNECTING:
            self.end(connection, AttemptEnd.UNREACHABLE, "connecting took too long")
        else:
            end = AttemptEnd.CUT if connection.sent else AttemptEnd.UNREACHABLE
            self.end(connection, end, "the target was silent for too long")
