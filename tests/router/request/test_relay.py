"""Tests of the relaying of answers: forwarded bytes, event count and cost."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limpetusher_router.connection.framing import AnswerHead
from limpetusher_router.request.relay import ANSWER_BUFFER_LIMIT_BYTES, AnswerRelay, find_usage

USAGE = (
    b'data: {"choices": [], "usage": {"prompt_tokens": 8, "completion_tokens": 3, "details": {"a": 1}}}\n\n'
)
DONE = b"data: [DONE]\n\n"


def new_relay(content_type: str = "text/event-stream; charset=utf-8") -> AnswerRelay:
    return AnswerRelay(AnswerHead(200, {"content-type": content_type}, None, True, True))


@given(
    st.lists(st.sampled_from([b'data: {"a": "data: b"}\n\n', b": note\n\n", b"data: {}\r\n\r\n"])), st.data()
)
def test_only_whole_events_are_passed_on(events, data):
    """Guards against forwarding a partial event of a stream that is cut, and against changed streams."""
    stream = b"".join(events) + USAGE + DONE
    cut = data.draw(st.integers(0, len(stream)))
    relay, passed, position = new_relay(), b"", 0
    while position < cut:
        size = data.draw(st.integers(1, cut - position))
        passed += relay.feed(stream[position : position + size])
        position += size
    assert stream.startswith(passed)
    assert not passed or passed.endswith((b"\n\n", b"\r\n\r\n"))
    assert relay.done == (cut >= len(stream))
    if relay.done:
        assert passed == stream
        assert relay.final_cost(prompt_cost=100, prompt_token_cost=0.25) == 5
        assert relay.event_count == sum(event.startswith(b"data:") for event in events) + 2


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
def test_event_with_several_lines_of_data_counts_once(line_end):
    """Guards against resuming a stream too late, as its next event is the one with the counted number."""
    relay = new_relay()
    for block in (b"event: a\ndata: 1\ndata: 2\n\n", b": data: b\n\n", b"data: 3\n\ndata: 4\n\n"):
        relay.feed(block.replace(b"\n", line_end))
    assert relay.event_count == 3


def test_done_within_text_does_not_end_a_stream():
    """Guards against treating a stream as complete because its text contains the end marker."""
    relay = new_relay()
    relay.feed(b'data: {"text": "data: [DONE]"}\n\n')
    assert not relay.done


def test_plain_answer_is_held_until_it_is_large():
    """Guards against forwarding the start of an answer that could still be replaced by an error."""
    relay = new_relay("application/json")
    assert relay.feed(b"x" * ANSWER_BUFFER_LIMIT_BYTES) == b""
    assert relay.feed(b"y") == b"x" * ANSWER_BUFFER_LIMIT_BYTES + b"y"
    assert relay.feed(b"z") == b"z"


def test_cost_of_plain_answers():
    """Guards against wrong costs: usage is found in buffered and in forwarded answers, else it is unknown."""
    body = b'{"choices": [], "usage": {"prompt_tokens": 4, "completion_tokens": 7}}'
    for size in (0, ANSWER_BUFFER_LIMIT_BYTES):
        relay = new_relay("application/json")
        relay.feed(b" " * size + body)
        assert relay.final_cost(prompt_cost=9, prompt_token_cost=0.5) == 9
    assert new_relay("application/json").final_cost(prompt_cost=9, prompt_token_cost=0.5) is None


@pytest.mark.parametrize(
    "tail", [b'"usage": ', b'"usage": [1]', b'"usage": {"prompt_tokens": "x"}', b"\xff", b""]
)
def test_malformed_usage_is_ignored(tail):
    """Guards against exceptions on answers whose usage is cut, has another type or is not text."""
    assert find_usage(tail) is None
