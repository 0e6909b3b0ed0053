"""Tests of requests to the platform's store and of decoding its answers."""

import json

import pytest

from limpetusher.errors import CodecError
from limpetusher.fleet.version.mirror import StoredItem
from limpetusher_router.platform.store import decode_range, decode_watch, range_request, watch_request


def test_request_targets_are_encoded():
    assert range_request("h:1", after="a/b c").startswith(b"GET /kv-range?prefix=&after=a%2Fb+c HTTP/1.1\r\n")
    request = watch_request("h:1", after=7, wait_seconds=1.0)
    assert request.startswith(b"GET /kv-watch?prefix=&after=7&waitMs=1000 HTTP/1.1\r\n")


def test_watch_returns_writes_and_deletions():
    body = json.dumps(
        {
            "events": [
                {"key": "a", "value": "eA==", "rev": 4, "createRevision": 1, "lease": 0},
                {"key": "b", "rev": 5, "deleted": True},
            ],
            "currentRev": 6,
        }
    )
    changes = decode_watch(body.encode())
    assert changes.items == [StoredItem("a", b"x", 4, created_revision=1)]
    assert changes.removed == [("b", 5)]
    assert changes.revision == 6


def test_invalid_base64_is_decoded_as_an_empty_value():
    body = json.dumps({"items": [{"key": "a", "value": "*", "rev": 4}], "hasMore": True, "currentRev": 4})
    page = decode_range(body.encode())
    assert page.items == [StoredItem("a", b"", 4)]
    assert page.has_more


@pytest.mark.parametrize("decode", [decode_range, decode_watch])
@pytest.mark.parametrize("body", [b"", b"{}", b"\xff", b'{"items": 3, "events": 3, "currentRev": 1}'])
def test_malformed_answers_raise_codec_errors(decode, body):
    with pytest.raises(CodecError):
        decode(body)
