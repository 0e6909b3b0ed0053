"""Tests of relaying: what is passed on, and what is counted."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limpetusher_router.connection.framing import AnswerHead
from limpetusher_router.request.relay import HELD_ANSWER_BYTES, Relay, find_usage

USAGE = (
    b'data: {"choices": [], "usage": {"prompt_tokens": 8, "completion_tokens": 3, "details": {"a": 1}}}\n\n'
)
DONE = b"data: [DONE]\n\n"


def relay(content_type: str = "text/event-stream; charset=utf-8") -> Relay:
    return Relay(AnswerHead(200, {"content-type": content_type}, None, True, True))


@given(
    st.lists(st.sampled_from([b'data: {"a": "data: b"}\n\n', b": note\n\n", b"data: {}\r\n\r\n"])), st.data()
)
def test_only_whole_events_are_passed_on(events, data):
    """Guards against a part of an event reaching the caller before a break, and against changed streams."""
    stream = b"".join(events) + USAGE + DONE
    cut = data.draw(st.integers(0, len(stream)))
    tested, passed, position = relay(), b"", 0
    while position < cut:
        size = data.draw(st.integers(1, cut - position))
        passed += tested.feed(stream[position : position + size])
        position += size
    assert stream.startswith(passed)
    assert not passed or passed.endswith((b"\n\n", b"\r\n\r\n"))
    assert tested.done == (cut >= len(stream))
    if tested.done:
        assert passed == stream
        assert tested.final_cost(prompt_cost=100, prompt_token_cost=0.25) == 5
        assert tested.events == sum(event.startswith(b"data:") for event in events) + 2


def test_done_within_text_does_not_end_a_stream():
    """Guards against a stream that is called whole because its text mentions the end marker."""
    tested = relay()
    tested.feed(b'data: {"text": "data: [DONE]"}\n\n')
    assert not tested.done


def test_plain_answer_is_held_until_it_is_large():
    """Guards against passing on the begin of an answer that could still be replaced by an error."""
    tested = relay("application/json")
    assert tested.feed(b"x" * HELD_ANSWER_BYTES) == b""
    assert tested.feed(b"y") == b"x" * HELD_ANSWER_BYTES + b"y"
    assert tested.feed(b"z") == b"z"


def test_cost_of_plain_answers():
    """Guards against wrong charges: usage is read from held and from passed-on answers, else unknown."""
    body = b'{"choices": [], "usage": {"prompt_tokens": 4, "completion_tokens": 7}}'
    for size in (0, HELD_ANSWER_BYTES):
        tested = relay("application/json")
        tested.feed(b" " * size + body)
        assert tested.final_cost(prompt_cost=9, prompt_token_cost=0.5) == 9
    assert relay("application/json").final_cost(prompt_cost=9, prompt_token_cost=0.5) is None


@pytest.mark.parametrize(
    "tail", [b'"usage": ', b'"usage": [1]', b'"usage": {"prompt_tokens": "x"}', b"\xff", b""]
)
def test_malformed_usage_is_ignored(tail):
    """Guards against exceptions on answers whose usage is cut, of another form or not text."""
    assert find_usage(tail) is None
