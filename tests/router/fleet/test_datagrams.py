"""Tests of datagrams between routers that are damaged or malicious."""

import contextlib

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from builders_peers import FleetInMemory
from limpetusher.fleet.messages import (
    PROTOCOL_VERSION,
    Ask,
    Datagram,
    Ended,
    Gossip,
    MemberEntry,
    Opened,
    Packet,
    Progress,
)
from limpetusher_router.events import EXCHANGE, DatagramsReceived

NUMBERS = st.integers(-(2**40), 2**40)
FLOATS = st.floats(allow_nan=True, allow_infinity=True)
TEXT = st.text(max_size=8)
ASKS = st.builds(
    Ask,
    TEXT,
    NUMBERS,
    st.sampled_from(("engines", "", "none")),
    st.sampled_from(("", "dc0", "nowhere")),
    TEXT,
    FLOATS,
    FLOATS,
    FLOATS,
    NUMBERS,
    NUMBERS,
    st.lists(st.tuples(TEXT, NUMBERS), max_size=3).map(tuple),
    st.lists(TEXT, max_size=3).map(tuple),
    TEXT,
    st.booleans(),
)
MESSAGES = st.one_of(
    ASKS,
    st.builds(Ended, TEXT, NUMBERS, NUMBERS),
    st.builds(Opened, TEXT, NUMBERS, TEXT, TEXT, TEXT, NUMBERS, NUMBERS),
    st.builds(Progress, TEXT, NUMBERS, FLOATS),
)
PACKETS = st.builds(
    Packet,
    st.just(PROTOCOL_VERSION),
    st.integers(0, 3),
    st.integers(0, 3),
    st.integers(0, 3),
    st.lists(MESSAGES, max_size=4).map(tuple),
    st.integers(-1, 3),
    st.integers(-1, 3),
    NUMBERS,
)
GOSSIP = st.builds(
    Gossip,
    st.just(PROTOCOL_VERSION),
    st.lists(st.builds(MemberEntry, TEXT, TEXT, FLOATS, NUMBERS, NUMBERS, st.booleans()), max_size=3).map(
        tuple
    ),
    NUMBERS,
)


@given(st.binary(max_size=200))
@settings(max_examples=3_000)
def test_any_bytes_are_decoded_or_refused(data):
    """Guards against an error that the socket does not expect."""
    with contextlib.suppress(msgspec.DecodeError, UnicodeDecodeError):
        msgspec.msgpack.decode(data, type=Datagram)


@given(st.lists(st.one_of(PACKETS, GOSSIP), max_size=6))
@settings(max_examples=60)
def test_well_formed_nonsense_does_not_stop_a_router(datagrams):
    """Guards against one message that takes the process, or the requests of others, down."""
    fleet = FleetInMemory(1, engines=2)
    (router,) = fleet.routers.values()
    router.peers.fire(DatagramsReceived([("10.9.9.9", datagram) for datagram in datagrams]), EXCHANGE)
    fleet.run(0.02)
    router.ask("sound")
    # Routers that exist in gossip only are noticed by their silence, one after the other.
    fleet.run(2.0)
    assert "sound" in router.granted_at or "sound" in router.refused
