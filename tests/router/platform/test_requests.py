"""Tests of decoding and encoding the platform's request headers."""

import math

import pytest

from builders_fleet import make_target
from limpetusher.fleet.model import PromptPart
from limpetusher_router.connection.framing import parse_answer_head, parse_request_head
from limpetusher_router.platform.requests import (
    announced_rate_limit,
    decode_parts,
    decode_request,
    decode_tokens,
    encode_target_head,
)


def head(*fields: str):
    lines = ["POST /a%2Fb/?q=%20 HTTP/1.1", "Host: llm.example:80", *fields, "", ""]
    return parse_request_head("\r\n".join(lines).encode())


def test_request_headers_are_decoded():
    fields = decode_request(
        head(
            "X-Request-Id: r1",
            "X-Deadline-Ms: 1500",
            "X-Credential: k",
            "X-Token-Usage: 1460,80",
            "X-Prompt-Prefix: 5c1e07a2:800,e4402b7d:660",
        )
    )
    assert fields.host == "llm.example"
    assert fields.path == "/a%2Fb/"
    assert fields.seconds_left == 1.5
    assert (fields.prompt_tokens, fields.output_tokens) == (1460, 80)
    assert fields.parts == (PromptPart("5c1e07a2", 800), PromptPart("e4402b7d", 660))


@pytest.mark.parametrize("text", ["", "x", "a:b", "a:1,", "a:-1"])
def test_malformed_parts_are_ignored(text):
    assert decode_parts(text) == ()


@pytest.mark.parametrize("text", ["", "12", "a,b"])
def test_malformed_token_counts_are_zero(text):
    assert decode_tokens(text) == (0, 0)


@pytest.mark.parametrize("source", [None, make_target("i-2", address="10.0.0.2:80")])
def test_transfer_source_is_set_by_the_router_only(source):
    """Guards against a caller that sets the engine from which targets fetch cached prompt parts."""
    data = encode_target_head(
        head("Kv-Fetch: 10.9.9.9:80"),
        0,
        target=make_target("i-1"),
        customer="acme",
        seconds_left=1.0,
        last_event_id=None,
        source=source,
    )
    lines = [line for line in data.decode().split("\r\n") if line.lower().startswith("kv-fetch")]
    assert lines == ([] if source is None else ["kv-fetch: 10.0.0.2:80"])


def test_hop_by_hop_headers_are_not_forwarded():
    """Guards against conflicting framing headers and request smuggling."""
    data = encode_target_head(
        head("Connection: x-private", "X-Private: 1", "Keep-Alive: timeout=5", "TE: trailers", "X-Kept: 1"),
        len(b"body"),
        target=make_target("i-1"),
        customer="acme",
        seconds_left=1.2345,
        last_event_id="12",
    )
    lines, _, rest = data.decode().partition("\r\n\r\n")
    fields = dict(line.split(": ", 1) for line in lines.split("\r\n")[1:])
    assert lines.startswith("POST /a%2Fb/?q=%20 HTTP/1.1\r\n")
    assert rest == ""
    assert fields == {
        "host": "llm.example:80",
        "x-kept": "1",
        "x-target-instance": "i-1",
        "x-deadline-ms": "1234",
        "x-tenant": "acme",
        "last-event-id": "12",
        "content-length": "4",
    }


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ((), math.inf),
        (("Server-Limit: 3.2",), 3.2),
        (("Server-Limit: 0",), 0.0),
        (("Server-Limit: -1",), math.inf),
        (("Server-Limit: nan",), math.inf),
        (("Server-Limit: few",), math.inf),
    ],
)
def test_announced_rate_limit_is_decoded(fields, expected):
    """Guards against a malformed limit that stops or corrupts the scheduling of its target."""
    lines = ["HTTP/1.1 200 OK", "Content-Length: 0", *fields, "", ""]
    assert announced_rate_limit(parse_answer_head("\r\n".join(lines).encode())) == expected
