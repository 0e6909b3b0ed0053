"""Tests of the parsing and authentication of requests."""

import json

import pytest

from builders_router import AUTHORIZATION, KEY_ID, completions_body, configuration
from limpetusher.core.settings import PolicySettings
from limpetusher_router.connection.framing import parse_request_head
from limpetusher_router.errors import RequestError
from limpetusher_router.request.authentication import Authenticator
from limpetusher_router.request.parsing import ServiceRequest, parse_service_request


def parse(path: str, body: bytes = b"", method: str = "POST", *lines: str) -> ServiceRequest:
    head = "\r\n".join([f"{method} {path} HTTP/1.1", "host: a", *lines, "", ""]).encode()
    compiled = configuration()
    return parse_service_request(
        parse_request_head(head),
        body,
        customer=compiled.customers["acme"],
        configuration=compiled,
        policy=PolicySettings(),
    )


def completions(*contents: str, **fields: object) -> ServiceRequest:
    messages = [{"role": "user", "content": content} for content in contents]
    return parse("/v1/chat/completions", completions_body(messages=messages, **fields))


def test_prompt_cost_and_cost_hint():
    """Guards against cost hints without the prompt, and prompt costs that do not follow its length."""
    request = completions("x" * 4000, max_tokens=50)
    assert request.prompt_cost == pytest.approx(250, rel=0.02)
    assert request.cost_hint == request.prompt_cost + 50
    assert completions("x").cost_hint is None
    assert request.idempotent


def test_prefix_digest_is_stable_while_a_conversation_grows():
    """Guards against lost cache hits: later messages of a conversation must not change its digest."""
    assert completions("a", "b").prefix == completions("a", "b", "c", "d" * 5000).prefix
    assert completions("x" * 2000, "b").prefix == completions("x" * 2000, "c").prefix
    assert completions("a", "b").prefix != completions("a", "c").prefix


@pytest.mark.parametrize(
    "body",
    [b"", b"[]", b"\xff", b'{"model": 1}', b'{"model": "chatter", "messages": []}', b'{"model": "chatter"}',
     completions_body(max_tokens=0), completions_body(max_tokens="x"), completions_body(stream="yes")],
)  # fmt: skip
def test_bad_bodies(body):
    """Guards against exceptions and 500 answers for bodies of any form."""
    with pytest.raises(RequestError) as caught:
        parse("/v1/chat/completions", body)
    assert caught.value.status == 400


def test_route_matching():
    """Guards against treating a non-idempotent route as idempotent, and against partial path matches."""
    assert not parse("/apps/crew/dispatch/7?a=1").idempotent
    assert parse("/apps/crew/dispatch/7?a=1").target_path == "/dispatch/7?a=1"
    assert parse("/apps/crew/status", method="GET").idempotent
    for path, method in [("/dispatchx", "POST"), ("/dispatch", "GET"), ("", "POST"), ("/Dispatch", "POST")]:
        with pytest.raises(RequestError) as caught:
            parse(f"/apps/crew{path}", b"", method)
        assert caught.value.status == 404


def test_body_digest_covers_the_whole_call():
    """Guards against replaying the answer to another call with the same key."""
    digests = [
        parse("/apps/crew/dispatch", b"a").body_digest,
        parse("/apps/crew/dispatch", b"b").body_digest,
        parse("/apps/crew/dispatch?x=1", b"a").body_digest,
        parse("/apps/crew/dispatch/1", b"a").body_digest,
    ]
    assert len(set(digests)) == len(digests)


def test_idempotency_key_bounds():
    """Guards against unbounded idempotency keys, which witnesses store."""
    assert parse("/apps/crew/dispatch", b"", "POST", "idempotency-key: k").idempotency_key == "k"
    with pytest.raises(RequestError):
        parse("/apps/crew/dispatch", b"", "POST", f"idempotency-key: {'k' * 201}")


def test_authentication():
    """Guards against accepting anything but the complete secret of a known key."""
    authenticator = Authenticator(configuration())
    assert authenticator.authenticate(AUTHORIZATION).customer_id == "acme"
    assert authenticator.authenticate(AUTHORIZATION.replace("Bearer", "bearer")).customer_id == "acme"
    cut = (f"Bearer {KEY_ID}", f"Bearer {KEY_ID}.", AUTHORIZATION + "x", AUTHORIZATION[:-1])
    for wrong in (None, "", "Bearer", "Bearer .", "Bearer \xe9.\xe9", json.dumps(AUTHORIZATION), *cut):
        with pytest.raises(RequestError) as caught:
            authenticator.authenticate(wrong)
        assert caught.value.status == 401
