"""Poller that reports control traffic first, and a limited number of the other sockets in each round."""

import contextlib
import enum
import select
import socket
from collections.abc import Callable, Mapping
from typing import Protocol

from circuits.core.events import Event
from circuits.core.pollers import BasePoller, _disconnect, _read, _write

from limpetusher.clock import Clock
from limpetusher_router.process.rounds import STALL_SECONDS

ROUND_SECONDS = 0.025
"""Time that a round should take; half of the 50 ms that 99% of the rounds have to stay under."""
MINIMUM_EVENTS = 16
"""Lowest limit of a round, so that polling stays a small part of it."""
MAXIMUM_EVENTS = 1_023
"""Highest limit of a round, which is what `epoll.poll` returns at most by default."""
INITIAL_EVENTS = 64
GROWTH = 1.5
"""Factor on the limit after a round that took less than half of its time and reached the limit."""
DISCONNECTED = select.EPOLLHUP | select.EPOLLERR


class Priority(enum.IntEnum):
    """Order in which the sockets that are ready in a round are reported."""

    CONTROL = 0
    """Messages of routers, the store, copies of the store, readiness."""
    ANSWERS = 1
    """Connections to targets, whose requests are admitted already."""
    CALLERS = 2


class Source(Protocol):
    """Receiver of the events of a socket, on a channel."""

    channel: str


class EventLimit:
    """Number of sockets of one priority that are reported in a round, learned from the time of the rounds."""

    def __init__(self):
        self.value = INITIAL_EVENTS

    def record_round(self, seconds: float, *, is_reached: bool) -> None:
        """Adjust the limit to the time that the last round took."""
        if seconds > ROUND_SECONDS:
            self.value = max(MINIMUM_EVENTS, self.value // 2)
        elif is_reached and seconds < ROUND_SECONDS / 2:
            self.value = min(MAXIMUM_EVENTS, int(self.value * GROWTH))


class Descriptors(set):
    """Registered sockets. Only the two methods of a list that the base class uses are added."""

    def append(self, item: object) -> None:
        """Add a socket."""
        self.add(item)


class PriorityPoller(BasePoller):
    """Polls one epoll object for each priority, and an outer one that contains them to wait.

    Control sockets that are ready are reported in every round, before the others. Of the other priorities,
    a limited number is reported; epoll puts those to the end of its list of ready sockets, so that each is
    reported in turn. The messages that these events cause are limited with them.

    Parameters
    ----------
    clock
        Source of time.
    priorities
        Priority of the sockets of each channel; those of other channels have the lowest one. A source with
        the attribute `is_control` has the highest one.
    """

    channel = "poller"

    def __init__(self, clock: Clock, priorities: Mapping[str, Priority]):
        super().__init__()
        self.clock = clock
        self.priorities = priorities
        self._read = Descriptors(self._read)
        self._write = Descriptors(self._write)
        self.outer = select.epoll()
        self.outer.register(self._ctrl_recv, select.EPOLLIN)
        self.epolls = {priority: select.epoll() for priority in Priority}
        for epoll in self.epolls.values():
            self.outer.register(epoll.fileno(), select.EPOLLIN)
        self.limits = {Priority.ANSWERS: EventLimit(), Priority.CALLERS: EventLimit()}
        self.reported = dict.fromkeys(Priority, 0)
        """Number of sockets that were reported in the last round."""
        self.is_shedding: Callable[[], bool] = lambda: False
        """Returns whether requests of callers are shed, which bounds the time of their reads itself."""
        self.round_began_at = clock.monotonic()
        self.registered: dict[int, tuple[socket.socket, Priority]] = {}
        """Socket and priority of each descriptor."""

    def priority_of(self, source: Source) -> Priority:
        """Return the priority of the sockets of a source."""
        if getattr(source, "is_control", False):
            return Priority.CONTROL
        return self.priorities.get(source.channel, Priority.CALLERS)

    def addReader(self, source: Source, fd: socket.socket) -> None:  # noqa: N802 (name of the base class)
        """Report when a socket is readable."""
        super().addReader(source, fd)
        self.update(fd, self.priority_of(source))

    def addWriter(self, source: Source, fd: socket.socket) -> None:  # noqa: N802 (name of the base class)
        """Report when a socket is writable."""
        super().addWriter(source, fd)
        self.update(fd, self.priority_of(source))

    def removeReader(self, fd: socket.socket) -> None:  # noqa: N802 (name of the base class)
        """Report no longer when a socket is readable."""
        super().removeReader(fd)
        self.update(fd)

    def removeWriter(self, fd: socket.socket) -> None:  # noqa: N802 (name of the base class)
        """Report no longer when a socket is writable."""
        super().removeWriter(fd)
        self.update(fd)

    def discard(self, fd: socket.socket) -> None:
        """Report nothing more about a socket, which has to be called before it is closed."""
        super().discard(fd)
        self.update(fd)

    def update(self, sock: socket.socket, priority: Priority | None = None) -> None:
        """Register a socket for what is to be reported about it, or end its registration."""
        descriptor = sock.fileno()
        _sock, registered = self.registered.pop(descriptor, (None, None))
        if registered is not None:
            with contextlib.suppress(OSError, ValueError):
                self.epolls[registered].unregister(descriptor)
        mask = select.EPOLLIN if sock in self._read else 0
        mask |= select.EPOLLOUT if sock in self._write else 0
        priority = registered if priority is None else priority
        if mask and priority is not None:
            self.epolls[priority].register(descriptor, mask)
            self.registered[descriptor] = sock, priority

    def _generate_events(self, event: Event) -> None:
        """Wait for sockets, and fire an event for each one that is reported."""
        busy_seconds = self.clock.monotonic() - self.round_began_at
        for priority, limit in self.limits.items():
            limit.record_round(busy_seconds, is_reached=self.reported[priority] >= limit.value)
        timeout = event.time_left
        try:
            ready = self.outer.poll(timeout if timeout >= 0 else None)
        except InterruptedError:
            ready = []
        now = self.clock.monotonic()
        # After a stall, what has arrived meanwhile is read before the deadlines that are due.
        was_stalled = now > self.round_began_at + STALL_SECONDS
        self.round_began_at = now
        ready_descriptors = {descriptor for descriptor, _mask in ready}
        if self._ctrl_recv in ready_descriptors:
            self._read_ctrl()
        for priority, epoll in self.epolls.items():
            self.reported[priority] = 0
            if epoll.fileno() in ready_descriptors:
                # While requests are shed, admissions bound the time of answers, and reads of callers end with
                # the round. A limit would let callers wait until they give up, and answers behind refusals.
                is_limited = priority in self.limits and not was_stalled and not self.is_shedding()
                limit = self.limits[priority].value if is_limited else MAXIMUM_EVENTS
                found = epoll.poll(0, limit)
                self.reported[priority] = len(found)
                for descriptor, mask in found:
                    self.report(descriptor, mask)

    def reported_part(self, sockets: int) -> float:
        """Return which part of the sockets of callers was reported in this round if they were ready.

        `sockets` is their number. Without a limit, all of them were.
        """
        reported = self.reported[Priority.CALLERS]
        if reported < self.limits[Priority.CALLERS].value:
            return 1.0
        return min(1.0, reported / max(1, sockets))

    def report(self, descriptor: int, mask: int) -> None:
        """Fire the events of a socket that is ready."""
        sock, _priority = self.registered[descriptor]
        target = self.getTarget(sock)
        if mask & DISCONNECTED and not mask & select.EPOLLIN:
            self.discard(sock)
            self.fire(_disconnect(sock), target)
            return
        if mask & select.EPOLLIN:
            self.fire(_read(sock), target)
        if mask & select.EPOLLOUT:
            self.fire(_write(sock), target)
