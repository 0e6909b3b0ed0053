"""Passing one answer on to its caller, and counting its progress on the way."""

import json
import re

import msgspec

from limpetusher_router.connection.framing import AnswerHead

EVENT_STREAM = "text/event-stream"
DONE_PATTERN = re.compile(rb"^data: ?\[DONE\]\s*\Z", re.MULTILINE)
DONE_BYTES = 64
EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
HELD_EVENT_BYTES = 262_144
HELD_ANSWER_BYTES = 65_536
TAIL_BYTES = 4_096
USAGE_NAME = b'"usage"'


class Usage(msgspec.Struct):
    """Token counts that an engine reports at the end of an answer."""

    prompt_tokens: int
    completion_tokens: int


def find_usage(tail: bytes) -> Usage | None:
    """Return the last usage in the end of an answer, None when there is none."""
    position = tail.rfind(USAGE_NAME)
    if position < 0:
        return None
    text = tail[position + len(USAGE_NAME) :].lstrip(b" :\r\n\t").decode("utf-8", "replace")
    try:
        value, _end = json.JSONDecoder().raw_decode(text)
        return msgspec.convert(value, Usage)
    except (ValueError, RecursionError, msgspec.ValidationError):
        return None


class Relay:
    """The answer to one attempt: what may be passed on, and how far it has come.

    Of a stream, whole events are passed on, so that a break never leaves the caller with a part of one. A
    plain answer is held until it is whole or too large to hold, so that one that breaks can be replaced by an
    error.

    Parameters
    ----------
    head
        Head of the answer.
    """

    def __init__(self, head: AnswerHead):
        self.head = head
        self.is_stream = head.content_type == EVENT_STREAM
        self.held = bytearray()
        self.tail = b""
        self.events = 0
        self.done = False
        """Whether the event that ends a stream has come."""
        self.begun = False
        """Whether a part of the answer was passed on."""

    def feed(self, data: bytes) -> bytes:
        """Take a part of the answer and return what may be passed on now."""
        if self.is_stream:
            return self.feed_events(data)
        if self.begun:
            return self.pass_on(data)
        self.held += data
        if len(self.held) <= HELD_ANSWER_BYTES:
            return b""
        return self.release()

    def feed_events(self, data: bytes) -> bytes:
        """Take a part of a stream and return the events that are complete."""
        if self.done:
            return b""
        self.held += data
        end = max(self.held.rfind(mark) + len(mark) if mark in self.held else 0 for mark in EVENT_ENDS)
        if end == 0:
            if len(self.held) <= HELD_EVENT_BYTES:
                return b""
            end = len(self.held)
        part = bytes(self.held[:end])
        del self.held[:end]
        self.events += part.count(b"\ndata:") + part.startswith(b"data:")
        self.done = DONE_PATTERN.search(part, max(0, len(part) - DONE_BYTES)) is not None
        return self.pass_on(part)

    def release(self) -> bytes:
        """Return what is held of a plain answer."""
        part = bytes(self.held)
        self.held.clear()
        return self.pass_on(part)

    def pass_on(self, part: bytes) -> bytes:
        """Keep the end of the answer for its usage, and return the part."""
        self.begun = self.begun or bool(part)
        self.tail = (self.tail + part)[-TAIL_BYTES:]
        return part

    @property
    def generated_tokens(self) -> int:
        """Return how many tokens have been seen; a stream has one in each event but the last ones."""
        return self.events

    def final_cost(self, *, prompt_cost: float, prompt_token_cost: float) -> float | None:
        """Return the cost of the whole answer, None when the answer does not tell it."""
        usage = find_usage(self.tail if self.begun else bytes(self.held[-TAIL_BYTES:]))
        if usage is not None:
            return usage.prompt_tokens * prompt_token_cost + usage.completion_tokens
        if self.is_stream:
            return prompt_cost + self.events
        return None
