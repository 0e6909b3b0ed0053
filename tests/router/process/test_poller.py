"""Tests of the order and the number of the sockets that a round of the event loop reports."""

import socket
from collections.abc import Iterator
from dataclasses import dataclass
from types import SimpleNamespace

import pytest

from limpetusher.clock import ManualClock
from limpetusher_router.process.poller import (
    INITIAL_EVENTS,
    MAXIMUM_EVENTS,
    MINIMUM_EVENTS,
    ROUND_SECONDS,
    Priority,
    PriorityPoller,
)
from limpetusher_router.process.rounds import STALL_SECONDS

CALLERS = 100


@dataclass(frozen=True)
class Source:
    """Component or marker that registers a socket."""

    channel: str
    is_control: bool = False


class PollerRun:
    """A poller with many readable sockets of callers, and what its rounds report."""

    def __init__(self):
        self.clock = ManualClock()
        self.poller = PriorityPoller(self.clock, {"targets": Priority.ANSWERS, "peers": Priority.CONTROL})
        self.reported: list[tuple[socket.socket, str]] = []
        self.poller.fire = lambda event, channel: self.reported.append((event.args[0], channel))
        self.socks: list[socket.socket] = []
        self.callers = [self.readable(Source("callers")) for _ in range(CALLERS)]

    def readable(self, source: Source) -> socket.socket:
        """Register a socket from which a byte can be read."""
        sock, other = socket.socketpair()
        self.socks += [sock, other]
        other.sendall(b"x")
        self.poller.addReader(source, sock)
        return sock

    def round(self, busy_seconds: float = 0.0) -> list[socket.socket]:
        """Return the sockets that the next round reports, after one that took some time."""
        self.clock.advance(busy_seconds)
        self.reported.clear()
        self.poller._generate_events(SimpleNamespace(time_left=0.0))
        return [sock for sock, _channel in self.reported]


@pytest.fixture
def run() -> Iterator[PollerRun]:
    run = PollerRun()
    yield run
    for sock in run.socks:
        run.poller.discard(sock)
        sock.close()


def test_control_socket_is_reported_first_in_each_round(run):
    """Guards against messages of routers that wait behind the requests of a flood."""
    answer = run.readable(Source("targets"))
    store = run.readable(Source("targets", is_control=True))
    peers = run.readable(Source("peers"))
    for _ in range(3):
        reported = run.round(2 * ROUND_SECONDS)
        assert set(reported[:2]) == {store, peers}
        assert reported[2] is answer
        assert len(reported) < CALLERS


def test_every_caller_is_reported_in_turn(run):
    """Guards against callers that are never read while others keep the router busy."""
    reported = [sock for _ in range(10) for sock in run.round(2 * ROUND_SECONDS)]
    assert {*reported[:CALLERS]} == {*run.callers}


def test_long_rounds_lower_the_limit_and_short_ones_raise_it(run):
    """Guards against rounds that grow with the number of callers."""
    assert len(run.round()) == INITIAL_EVENTS
    assert len(run.round(2 * ROUND_SECONDS)) == INITIAL_EVENTS // 2
    for _ in range(9):
        run.round(2 * ROUND_SECONDS)
    assert len(run.round(2 * ROUND_SECONDS)) == MINIMUM_EVENTS
    for _ in range(20):
        run.round()
    assert run.poller.limits[Priority.CALLERS].value <= MAXIMUM_EVENTS
    assert len(run.round()) == CALLERS


def test_answers_are_not_limited_while_requests_are_shed(run):
    """Guards against requests with a target that wait for their answers behind the refusals of a flood."""
    answers = {run.readable(Source("targets")) for _ in range(2 * INITIAL_EVENTS)}
    run.poller.is_shedding = lambda: True
    for _ in range(5):
        assert answers <= {*run.round(2 * ROUND_SECONDS)}


def test_round_after_a_stall_is_not_limited(run):
    """Guards against time-outs of connections whose bytes have arrived during a stall of the process."""
    assert len(run.round(2 * STALL_SECONDS)) == CALLERS


def test_discarded_socket_is_not_reported(run):
    """Guards against events of a connection that has ended, whose descriptor may be in use again."""
    for sock in run.callers[1:]:
        run.poller.discard(sock)
    run.poller.removeReader(run.callers[0])
    assert run.round() == []
    run.poller.addWriter(Source("callers"), run.callers[0])
    assert run.round() == [run.callers[0]]
