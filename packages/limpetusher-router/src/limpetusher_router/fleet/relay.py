"""Passing one event stream on, so that another target can go on after its last whole event."""

import re

EVENT_END = b"\n\n"
EVENT_ID_PATTERN = re.compile(rb"^id: ?([^\n\r]*)", re.MULTILINE)


class EventRelay:
    """Whole events of a stream, over all targets that produce it.

    Attributes
    ----------
    last_event_id
        Identifier of the last event that was passed on, None before the first.
    """

    def __init__(self):
        self.held = bytearray()
        self.last_event_id: str | None = None
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        """Take a part of the stream and return the events that are complete."""
        self.held += data
        end = self.held.rfind(EVENT_END)
        if end < 0:
            return b""
        end += len(EVENT_END)
        part = bytes(self.held[:end])
        del self.held[:end]
        identifiers = EVENT_ID_PATTERN.findall(part)
        if identifiers:
            self.last_event_id = identifiers[-1].decode("latin-1")
        self.events += part.count(EVENT_END)
        return part

    def restart(self) -> None:
        """Drop the part of an event that a broken connection left behind."""
        self.held.clear()

    def rest(self) -> bytes:
        """Return what follows the last whole event at the end of a complete answer."""
        rest = bytes(self.held)
        self.held.clear()
        return rest
