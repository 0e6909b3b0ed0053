"""Splitting of an event stream into whole events, so that another target can resume it."""

import re

EVENT_END = b"\n\n"
UNNUMBERED_EVENT_ENDS = (EVENT_END, b"\r\n\r\n")
LINE_ENDS = b"\r\n"
FIRST_EVENT_NUMBER = 1
MAXIMUM_DIGITS = 18
COMMON_EVENT_PATTERN = re.compile(rb"id: ?([0-9]+)\ndata:[^\r\n]*\n\n")
"""An event as targets usually send it, which needs no further checks than its number."""
IDENTIFIER_PATTERN = re.compile(rb"^id: ?([0-9]+)\n", re.MULTILINE)
"""A whole line with the number of an event."""
FIELD_PATTERN = re.compile(rb"([A-Za-z-]*):(?: ?)([^\r\n]*)")
"""A line of an event. Without a name it is a comment. None may contain a CR, as callers end a line there."""
MAXIMUM_QUOTED_CHARACTERS = 40


class EventRelay:
    """Collects the parts of a stream and returns whole events, across all attempts that produce it.

    Only the events of the run are returned: each has the number after that of the event before. What else a
    target sends between empty lines ends the attempt, except for comments and further empty lines, which are
    left out.

    Numbers that only increase are not enough, even in constant steps: an event does not state how many
    numbers it stands for, so that a missing event looks the same as an event of several tokens, at the start
    of an attempt and after each resumption.

    Parameters
    ----------
    last_event_id
        Identifier of the event after which the caller resumes the stream, None from its beginning.
    is_numbered
        Whether the events have numbers. Otherwise all bytes up to the end of an event are returned.

    Attributes
    ----------
    buffer
        Bytes after the last whole event.
    last_event_id
        Identifier of the last event that was returned; before the first, that which the caller has sent.
    due_number
        Number of the next event, None if any may follow.
    event_count
        Number of events that were returned.
    has_partial_event
        Whether an attempt has sent a part of the event that is due, with its number.
    error
        Why the bytes after the last event are no event of the run, empty if they may be one.
    """

    def __init__(self, last_event_id: str | None = None, *, is_numbered: bool = True):
        self.last_event_id = last_event_id
        self.is_numbered = is_numbered
        self.due_number = number_after(last_event_id) if is_numbered else None
        self.buffer = bytearray()
        self.event_count = 0
        self.has_partial_event = False
        self.error = ""

    def feed(self, data: bytes) -> bytes:
        """Add a part of the stream and return the next events; `error` tells why no more follow."""
        self.buffer += data
        if not self.is_numbered:
            return self.take_unnumbered()
        events = []
        position = 0
        while not self.error:
            while self.buffer.startswith(b"\n", position):
                position += 1
            end = self.buffer.find(EVENT_END, position)
            if end < 0:
                break
            end += len(EVENT_END)
            block = bytes(self.buffer[position:end])
            if self.accept(block):
                events.append(block)
            if not self.error:
                position = end
        del self.buffer[:position]
        self.event_count += len(events)
        return b"".join(events)

    def take_unnumbered(self) -> bytes:
        """Return the buffered bytes up to the end of the last event and the line ends after it, unchanged."""
        end = max(
            self.buffer.rfind(mark) + len(mark) if mark in self.buffer else 0
            for mark in UNNUMBERED_EVENT_ENDS
        )
        if end or self.event_count:
            while end < len(self.buffer) and self.buffer[end] in LINE_ENDS:
                end += 1
        part = bytes(self.buffer[:end])
        del self.buffer[:end]
        self.event_count += sum(part.count(mark) for mark in UNNUMBERED_EVENT_ENDS)
        return part

    def accept(self, block: bytes) -> bool:
        """Return whether a block of lines is the next event; set `error` if it must not be skipped either."""
        match = COMMON_EVENT_PATTERN.fullmatch(block)
        if match is not None:
            return self.accept_identifier(match[1])
        fields = [FIELD_PATTERN.fullmatch(line) for line in block.removesuffix(EVENT_END).split(b"\n")]
        if None in fields:
            self.error = "invalid event: a line is no field of an event"
            return False
        if not any(field[1] for field in fields):
            return False
        identifiers = [field[2] for field in fields if field[1] == b"id"]
        if len(identifiers) != 1:
            self.error = f"invalid event: {len(identifiers)} identifiers"
            return False
        if not any(field[1] == b"data" for field in fields):
            self.error = "invalid event: no data"
            return False
        return self.accept_identifier(identifiers[0])

    def accept_identifier(self, identifier: bytes) -> bool:
        """Return whether an identifier is that of the next event, and store it then."""
        text = identifier.decode("latin-1")
        following = number_after(text)
        if following is None or self.due_number not in (None, following - 1):
            expected = "a number" if self.due_number is None else self.due_number
            self.error = f"invalid event: id {text[:MAXIMUM_QUOTED_CHARACTERS]!r} instead of {expected}"
            return False
        self.due_number = following
        self.has_partial_event = False
        self.last_event_id = text
        return True

    @property
    def awaits_first_event(self) -> bool:
        """Return whether no event of the whole stream has been received, neither by its caller before."""
        return self.due_number == FIRST_EVENT_NUMBER

    def discard_partial_event(self) -> None:
        """Discard what an attempt that has ended had sent after its last event."""
        match = IDENTIFIER_PATTERN.search(self.buffer)
        if match is not None and not self.error and int(match[1][:MAXIMUM_DIGITS]) == self.due_number:
            self.has_partial_event = True
        self.buffer.clear()
        self.error = ""


def number_after(identifier: str | None) -> int | None:
    """Return the number of the event after one with an identifier, None if that is no number."""
    if identifier is None:
        return FIRST_EVENT_NUMBER
    if len(identifier) <= MAXIMUM_DIGITS and identifier.isdecimal() and identifier.isascii():
        return int(identifier) + 1
    return None
