"""Tests of the memory that connections hold for bodies, and of bodies that are stalled."""

import socket

import pytest

from limpetusher.clock import ManualClock
from limpetusher_router.connection.caller_connection import CallerConnection
from limpetusher_router.connection.framing import BodyReader, parse_request_head
from limpetusher_router.connection.held_bodies import HeldBodies
from limpetusher_router.process.body_memory import LARGE_BODY_BYTES, BodyMemory
from limpetusher_router.process.metrics import Metrics

LENGTH = 2 * LARGE_BODY_BYTES
LIMIT = 4 * LENGTH


@pytest.fixture
def pair():
    """Return both ends of a connection."""
    sock, caller = socket.socketpair()
    sock.setblocking(False)
    with sock, caller:
        yield sock, caller


def make_bodies() -> tuple[HeldBodies, ManualClock]:
    clock = ManualClock()
    return HeldBodies(BodyMemory(LIMIT, clock=clock, metrics=Metrics()), clock=clock), clock


def begin_body(bodies: HeldBodies, sock: socket.socket) -> CallerConnection:
    """Return a connection that has sent the head of a request with a large body."""
    connection = CallerConnection(sock)
    connection.head = parse_request_head(
        f"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {LENGTH}\r\n\r\n".encode()
    )
    connection.body_reader = BodyReader(length=LENGTH)
    assert bodies.hold_body(connection, LENGTH)
    connection.allocate_large_body()
    return connection


def receive(bodies: HeldBodies, connection: CallerConnection, data: bytes) -> None:
    body, _rest = connection.body_reader.feed(data)
    connection.add_body(body)
    if not connection.body_reader.complete:
        bodies.continue_receiving(connection)


def test_complete_body_is_held_until_the_request_ends(pair):
    """Guards against bodies that are changed, or not counted while their requests wait and run."""
    bodies, _ = make_bodies()
    connection = begin_body(bodies, pair[0])
    data = bytes(range(256)) * (LENGTH // 256)
    receive(bodies, connection, data[:1000])
    receive(bodies, connection, data[1000:])
    assert bodies.complete(connection) == data
    assert not bodies.receiving
    assert bodies.memory.held_bytes == LENGTH
    assert bodies.hold_pipelined(connection, 100)
    bodies.end(connection)
    bodies.end(connection)
    assert bodies.memory.held_bytes == connection.held_bytes == 0


@pytest.mark.parametrize(
    ("first_bytes", "pause", "later_bytes", "expected"),
    [
        (LENGTH // 2, 0.9, 0, False),
        (LENGTH // 2, 1.1, 0, True),
        (LENGTH // 2, 0.9, 1, False),
        (1000, 1.1, 1, True),
        (1000, 1.1, LENGTH // 2, False),
    ],
)
def test_stalled_bodies_are_those_without_progress(pair, first_bytes, pause, later_bytes, expected):
    """Guards against bodies that are refused although they arrive, and against ones that keep memory."""
    bodies, clock = make_bodies()
    connection = begin_body(bodies, pair[0])
    receive(bodies, connection, b"x" * first_bytes)
    clock.advance(pause)
    if later_bytes:
        receive(bodies, connection, b"x" * later_bytes)
    asking = CallerConnection(pair[0])
    assert bodies.find_stalled(connection) == []
    assert bodies.find_stalled(asking) == ([connection] if expected else [])


def test_body_whose_bytes_were_not_read_is_not_stalled(pair):
    """Guards against refusing the bodies of all callers after the process was held up."""
    bodies, clock = make_bodies()
    sock, caller = pair
    connection = begin_body(bodies, sock)
    receive(bodies, connection, b"x")
    caller.send(b"x")
    clock.advance(5.0)
    assert bodies.find_stalled(CallerConnection(sock)) == []


def test_large_body_of_one_connection_does_not_cost_its_later_requests(pair):
    """Guards against dropping small pipelined requests because a large body of their connection is held."""
    bodies, _ = make_bodies()
    connections = [begin_body(bodies, pair[0]) for _ in range(3)]
    assert not bodies.hold_body(connections[0], LENGTH)
    connections[0].buffer += b"x" * 100
    assert bodies.hold_pipelined(connections[0], 100)
