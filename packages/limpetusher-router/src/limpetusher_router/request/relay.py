"""Relaying of one answer to its caller, with a count of its progress."""

import json
import re

import msgspec

from limpetusher_router.connection.framing import AnswerHead

EVENT_STREAM = "text/event-stream"
DONE_PATTERN = re.compile(rb"^data: ?\[DONE\]\s*\Z", re.MULTILINE)
DONE_SEARCH_BYTES = 64
EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")
EMPTY_LINE_PATTERN = re.compile(rb"\n\r?\n")
EVENT_BUFFER_LIMIT_BYTES = 262_144
ANSWER_BUFFER_LIMIT_BYTES = 65_536
TAIL_BYTES = 4_096
USAGE_NAME = b'"usage"'


class Usage(msgspec.Struct):
    """Token counts that an engine reports at the end of an answer."""

    prompt_tokens: int
    completion_tokens: int


def find_usage(tail: bytes) -> Usage | None:
    """Return the last usage object in the end of an answer, None when there is none."""
    position = tail.rfind(USAGE_NAME)
    if position < 0:
        return None
    text = tail[position + len(USAGE_NAME) :].lstrip(b" :\r\n\t").decode("utf-8", "replace")
    try:
        value, _end = json.JSONDecoder().raw_decode(text)
        return msgspec.convert(value, Usage)
    except (ValueError, RecursionError, msgspec.ValidationError):
        return None


class AnswerRelay:
    """Buffers the answer to one attempt, releases what may be forwarded and counts its progress.

    Only complete events of a stream are forwarded, so that a cut never leaves the caller with a partial
    event. A plain answer is buffered until it is complete or exceeds the buffer, so that one that is cut can
    be replaced by an error.

    Parameters
    ----------
    head
        Head of the answer.
    """

    def __init__(self, head: AnswerHead):
        self.head = head
        self.is_stream = head.content_type == EVENT_STREAM
        self.buffer = bytearray()
        self.tail = b""
        self.event_count = 0
        self.done = False
        """Whether the final event of a stream, `[DONE]`, has arrived."""
        self.has_forwarded = False
        """Whether a part of the answer was forwarded."""

    def feed(self, data: bytes) -> bytes:
        """Add a part of the answer and return the bytes that may be forwarded."""
        if self.is_stream:
            return self.feed_events(data)
        if self.has_forwarded:
            return self.forward(data)
        self.buffer += data
        if len(self.buffer) <= ANSWER_BUFFER_LIMIT_BYTES:
            return b""
        return self.flush_buffer()

    def feed_events(self, data: bytes) -> bytes:
        """Add a part of a stream and return the complete events; an event above the size limit is split."""
        if self.done:
            return b""
        self.buffer += data
        end = max(
            self.buffer.rfind(terminator) + len(terminator) if terminator in self.buffer else 0
            for terminator in EVENT_TERMINATORS
        )
        if end == 0:
            if len(self.buffer) <= EVENT_BUFFER_LIMIT_BYTES:
                return b""
            end = len(self.buffer)
        part = bytes(self.buffer[:end])
        del self.buffer[:end]
        for block in EMPTY_LINE_PATTERN.split(part):
            self.event_count += block.startswith(b"data:") or b"\ndata:" in block
        self.done = DONE_PATTERN.search(part, max(0, len(part) - DONE_SEARCH_BYTES)) is not None
        return self.forward(part)

    def flush_buffer(self) -> bytes:
        """Return the buffered part of a plain answer."""
        part = bytes(self.buffer)
        self.buffer.clear()
        return self.forward(part)

    def forward(self, part: bytes) -> bytes:
        """Store the end of the answer, where its usage is found, and return the part."""
        self.has_forwarded = self.has_forwarded or bool(part)
        self.tail = (self.tail + part)[-TAIL_BYTES:]
        return part

    @property
    def generated_tokens(self) -> int:
        """Return an estimate of the tokens so far: one for each event, although the last events have none."""
        return self.event_count

    def final_cost(self, *, prompt_cost: float, prompt_token_cost: float) -> float | None:
        """Return the cost of a complete answer, None when it can't be determined."""
        usage = find_usage(self.tail if self.has_forwarded else bytes(self.buffer[-TAIL_BYTES:]))
        if usage is not None:
            return usage.prompt_tokens * prompt_token_cost + usage.completion_tokens
        if self.is_stream:
            return prompt_cost + self.event_count
        return None
