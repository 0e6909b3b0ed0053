"""Tests of the decoding of values in the platform's store."""

import json

import pytest

from builders_platform import configuration_document, target_document
from limpetusher.errors import ConfigurationError
from limpetusher.fleet.model import RequestKind
from limpetusher_router.platform.documents import decode_configuration, decode_target


def encode(document: object) -> bytes:
    return json.dumps(document).encode()


def test_configuration_is_decoded_into_fleet_types_and_seconds():
    configuration = decode_configuration(encode(configuration_document()))
    stream = next(route for route in configuration.routes if route.name == "r-stream")
    assert stream.kind is RequestKind.STREAMING
    assert stream.timeout_seconds == 20.0
    assert stream.token_gap_goal_seconds == 0.5
    assert stream.is_idempotent
    assert configuration.customers_by_key == {"key-a": "acme"}
    assert configuration.limits.idle_seconds == 15.0


@pytest.mark.parametrize(
    ("name", "expected"), [("r-safe", True), ("r-unsafe", False), ("r-stream", True), ("r-once", False)]
)
def test_only_safe_and_resumable_routes_are_idempotent(name, expected):
    """Guards against repeating streams that are not resumable."""
    configuration = decode_configuration(encode(configuration_document()))
    route = next(route for route in configuration.routes if route.name == name)
    assert route.is_idempotent is expected


def test_unknown_fields_are_ignored():
    document = configuration_document(later={"x": 1})
    document["services"][0]["engine"] = {"slots": 8, "kvCapacity": 1000, "models": []}
    configuration = decode_configuration(encode(document))
    assert configuration.services["desk"].engine.memory_tokens == 1000
    assert configuration.services["desk"].engine.transfer_rate == 0.0


def test_transfer_rate_between_engines():
    """Guards against errors in the conversion from megabits per second and bytes per token."""
    document = configuration_document()
    engine = {"slots": 8, "kvCapacity": 1000, "kvTokenBytes": 131_072, "linkMbps": 280_000.0}
    document["services"][0]["engine"] = engine
    transfer_rate = decode_configuration(encode(document)).services["desk"].engine.transfer_rate
    assert transfer_rate == pytest.approx(267_029, rel=1e-5)


@pytest.mark.parametrize(
    "data",
    [b"", b"[]", b"\xff", encode(configuration_document(version="7")), encode({"version": 1, "routes": []})],
)
def test_malformed_configuration_is_refused(data):
    with pytest.raises(ConfigurationError):
        decode_configuration(data)


def test_target_entry_is_decoded():
    data = encode(target_document("10.0.0.1:80", state="draining", coldLeftMs=1500, born=1_700_000_000_123))
    target = decode_target("i-1", data, revision=9, now=100.0)
    assert target.is_draining
    assert target.cold_until == 101.5
    assert target.started_at_milliseconds == 1_700_000_000_123
    assert target.revision == 9


@pytest.mark.parametrize(
    "changes",
    [
        {"service": 3},
        {"address": "no port"},
        {"address": None},
        {"state": "sleeping"},
        {"slots": "many"},
        {"coldLeftMs": None},
        {"born": 1.5},
        {"address": "10.0.0.1:65536"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:99999999999999999999"},
        {"address": "10.0.0.1:\u0663"},
        {"address": "no-address:80"},
        {"slots": 10**400},
        {"slots": -1},
        {"coldLeftMs": 10**30},
        {"born": 2**64},
    ],
)
def test_malformed_target_entry_is_refused(changes):
    """Guards against requests to an address that no target has announced."""
    document = {**target_document("10.0.0.1:80"), **changes}
    with pytest.raises(ConfigurationError):
        decode_target("i-1", encode(document), revision=1, now=0.0)


@pytest.mark.parametrize(("begin", "end"), [(b"[", b"]"), (b'{"a":', b"}")])
def test_deeply_nested_documents_are_refused(begin, end):
    """Guards against a router that stops following the store because of one entry of another writer."""
    nested = begin * 100_000 + b"1" + end * 100_000
    entry = encode(target_document("10.0.0.1:80"))[:-1] + b', "extra": ' + nested + b"}"
    with pytest.raises(ConfigurationError):
        decode_target("i-1", entry, revision=1, now=0.0)
    with pytest.raises(ConfigurationError):
        decode_configuration(b'{"version": 1, "extra": ' + nested + b"}")
