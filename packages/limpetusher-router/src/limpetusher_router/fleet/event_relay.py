"""Splitting of an event stream into whole events, so that another target can resume it."""

import re

EVENT_END = b"\n\n"
EVENT_ID_PATTERN = re.compile(rb"^id: ?([^\n\r]*)", re.MULTILINE)


class EventRelay:
    """Collects the parts of a stream and returns whole events, across all attempts that produce it.

    Attributes
    ----------
    buffer
        Bytes after the last whole event.
    last_event_id
        Identifier of the last event that was returned, None before the first.
    event_count
        Number of events that were returned.
    """

    def __init__(self):
        self.buffer = bytearray()
        self.last_event_id: str | None = None
        self.event_count = 0

    def feed(self, data: bytes) -> bytes:
        """Add a part of the stream and return the events that are complete."""
        self.buffer += data
        end = self.buffer.rfind(EVENT_END)
        if end < 0:
            return b""
        end += len(EVENT_END)
        part = bytes(self.buffer[:end])
        del self.buffer[:end]
        identifiers = EVENT_ID_PATTERN.findall(part)
        if identifiers:
            self.last_event_id = identifiers[-1].decode("latin-1")
        self.event_count += part.count(EVENT_END)
        return part

    def discard_partial_event(self) -> None:
        """Discard the incomplete event of an attempt that was cut off."""
        self.buffer.clear()
