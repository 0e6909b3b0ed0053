"""Tests of the encoding of messages between routers."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limpetusher.errors import CodecError
from limpetusher.wire.codec import HEADER_BYTES, MAGIC, Codec
from limpetusher.wire.messages import (
    ConfigurationDocument,
    ConfigurationRequest,
    Demand,
    DemandEntry,
    Heartbeat,
    HeldGrant,
    KeySync,
    PeerPayload,
)

KEY = b"0123456789abcdef"
HEARTBEAT = Heartbeat(
    sequence=2**40,
    echo=7,
    ready=True,
    leaving=False,
    configuration_version=3,
    configuration_digest=b"\xff\x00",
    host_list_version=4,
    lent_targets=("engine-1",),
    held=(HeldGrant("g", "engine-1", "press", "assessor", 1.5),),
    cumulative_charges={"press": 2.5},
)


def decode_error_reason(codec: Codec, frame: bytes) -> str:
    """Return the reason for which a frame is refused."""
    with pytest.raises(CodecError) as caught:
        codec.decode(frame)
    return caught.value.reason


@pytest.mark.parametrize(
    "payload",
    [
        HEARTBEAT,
        ConfigurationRequest(),
        Demand(1, 2, (DemandEntry("assessor", "press", 3, 0.5, ("engine-1",)),)),
        KeySync(b"digest", ()),
    ],
)
def test_message_round_trip(payload: PeerPayload):
    """Guards against encoding that changes a message or its sender."""
    frame = Codec(KEY).encode(payload, sender="router-1", incarnation=2**64 - 1)
    envelope = Codec(KEY).decode(frame)
    assert (envelope.sender, envelope.incarnation, envelope.payload) == ("router-1", 2**64 - 1, payload)


@settings(derandomize=True, deadline=None)
@given(st.data())
def test_changed_frame_is_refused(data: st.DataObject):
    """Guards against accepting a message that was altered in transit."""
    frame = bytearray(Codec(KEY).encode(HEARTBEAT, sender="router-1", incarnation=1))
    frame[data.draw(st.integers(0, len(frame) - 1))] ^= data.draw(st.integers(1, 255))
    assert decode_error_reason(Codec(KEY), bytes(frame)) in {"foreign", "version", "unauthenticated"}


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=300))
def test_any_authentic_body_is_decoded_or_refused(body: bytes):
    """Guards against an authenticated but malformed body that raises another exception."""
    codec = Codec(KEY)
    frame = codec.prefix + codec._compute_tag(body) + body
    reasons = set()
    try:
        codec.decode(frame)
    except CodecError as error:
        reasons.add(error.reason)
    assert reasons <= {"malformed"}


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=300))
def test_any_frame_is_refused(frame: bytes):
    """Guards against frames of other protocols that raise another exception."""
    assert decode_error_reason(Codec(KEY), frame) in {"foreign", "version", "unauthenticated"}


def test_other_key_is_refused():
    """Guards against accepting messages of another fleet."""
    frame = Codec(b"another key of 16").encode(HEARTBEAT, sender="router-1", incarnation=1)
    assert decode_error_reason(Codec(KEY), frame) == "unauthenticated"


def test_other_version_is_refused():
    """Guards against decoding messages whose fields differ in another protocol version."""
    frame = Codec(KEY, protocol_version=2).encode(HEARTBEAT, sender="router-1", incarnation=1)
    assert decode_error_reason(Codec(KEY), frame) == "version"


def test_size_limit_applies_to_encoding_and_decoding():
    """Guards against messages of unbounded size."""
    large = ConfigurationDocument(1, b"x" * 1000)
    frame = Codec(KEY).encode(large, sender="router-1", incarnation=1)
    limited = Codec(KEY, maximum_bytes=len(frame) - 1)
    assert decode_error_reason(limited, frame) == "oversized"
    with pytest.raises(CodecError, match="oversized"):
        limited.encode(large, sender="router-1", incarnation=1)


def test_deeply_nested_body_is_refused():
    """Guards against a message that exhausts the stack."""
    codec = Codec(KEY)
    body = b"\x91" * 100_000
    assert decode_error_reason(codec, codec.prefix + codec._compute_tag(body) + body) == "malformed"


def test_short_keys_are_refused_and_long_keys_are_used_in_full():
    """Guards against weak keys, and against truncating long keys."""
    with pytest.raises(ValueError, match="at least 16"):
        Codec(b"short")
    frame = Codec(b"k" * 100 + b"a").encode(HEARTBEAT, sender="router-1", incarnation=1)
    assert decode_error_reason(Codec(b"k" * 100 + b"b"), frame) == "unauthenticated"


def test_frame_is_authenticated_before_it_is_parsed():
    """Guards against parsing the body of an unauthenticated frame."""
    body = msgspec.msgpack.encode(["router-1", 1, ["cq"]])
    assert (
        decode_error_reason(Codec(KEY), MAGIC + b"\x01" + bytes(HEADER_BYTES - 4) + body) == "unauthenticated"
    )
