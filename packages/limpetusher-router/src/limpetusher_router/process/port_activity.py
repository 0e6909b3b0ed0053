"""What a port for callers does, for the metrics and for a log line about a busy port."""

import math
import socket
import struct
from collections.abc import Sized
from dataclasses import astuple, dataclass, fields

from limpetusher.events import Event
from limpetusher_router.process.logs import log_event
from limpetusher_router.process.rounds import PollerRounds

LOG_INTERVAL_SECONDS = 1.0
LONG_UNREAD_SECONDS = 0.1
"""Time for which the listening socket is left unread from which on the port counts as busy."""
LONG_ROUND_SECONDS = 0.25
"""Length of a round of the event loop from which on the port counts as busy."""
TCP_INFO_BYTES = 32
QUEUED_OFFSET = 24
"""Offset of the number of connections that wait for an accept in the TCP_INFO of a listening socket."""


@dataclass(slots=True)
class PortCounts:
    """Connections and times of a port since its start."""

    accepted: int = 0
    refused: int = 0
    """Connections above the limit, which are accepted and closed after an answer that refuses them."""
    closed_for_room: int = 0
    """Idle connections that were closed to accept others."""
    failed: int = 0
    """Accepts that failed, such as for lack of descriptors."""
    abandoned: int = 0
    """Connections that their caller closed before it had sent a whole head."""
    unread_seconds: float = 0.0
    """Time for which the listening socket was left unread while connections were pending."""

    def since(self, earlier: "PortCounts") -> "PortCounts":
        """Return the counts since earlier ones."""
        return PortCounts(*(now - then for now, then in zip(astuple(self), astuple(earlier), strict=True)))


class PortActivity:
    """Records what a port does, and logs it at most once a second if the port is busy.

    Parameters
    ----------
    port
        Name of the port.
    rounds
        Rounds of the event loop.
    connections
        The port's open connections.
    limit
        Maximum number of open connections.
    """

    def __init__(self, port: str, rounds: PollerRounds, *, connections: Sized, limit: int):
        self.port = port
        self.rounds = rounds
        self.connections = connections
        self.limit = limit
        self.counts = PortCounts()
        self.unread_since = math.inf
        """Since when the listening socket is readable and was not read, infinity while it is empty."""
        self.accepts_began_at = rounds.began_at
        self.longest_unread = 0.0
        """Longest such time since the last check."""
        self.checked_at = rounds.began_at
        self.checked_counts = PortCounts()

    def begin_accepts(self) -> None:
        """Record that the listening socket is read."""
        now = self.accepts_began_at = self.rounds.clock.monotonic()
        if math.isinf(self.unread_since):
            self.unread_since = self.rounds.began_at
        self.longest_unread = max(self.longest_unread, now - self.unread_since)

    def end_accepts(self, *, accepted: int, is_empty: bool) -> None:
        """Record that the listening socket is read no further in this round, and whether it is empty now."""
        now = self.rounds.clock.monotonic()
        self.rounds.accept_seconds += now - self.accepts_began_at
        self.counts.accepted += accepted
        if accepted or is_empty:
            self.counts.unread_seconds += self.accepts_began_at - self.unread_since
            self.unread_since = math.inf if is_empty else now

    @property
    def is_check_due(self) -> bool:
        """Return whether the last check is long enough ago, by the time at which the round began."""
        return self.rounds.began_at >= self.checked_at + LOG_INTERVAL_SECONDS

    def check(self, listener: socket.socket | None, **more_fields: int) -> None:
        """Log the activity since the last check, with more fields, if the port was busy meanwhile."""
        seconds = self.rounds.began_at - self.checked_at
        recent = self.counts.since(self.checked_counts)
        longest_unread = max(self.longest_unread, self.rounds.clock.monotonic() - self.unread_since)
        self.longest_unread = 0.0
        self.checked_at = self.rounds.began_at
        self.checked_counts = PortCounts(*astuple(self.counts))
        longest = self.rounds.longest
        is_busy = longest_unread >= LONG_UNREAD_SECONDS or longest.total >= LONG_ROUND_SECONDS
        if not (is_busy or recent.refused or recent.closed_for_room or recent.failed):
            return
        log_event(
            Event.CALLER_PORT_BUSY,
            port=self.port,
            seconds=round(seconds, 3),
            open=len(self.connections),
            limit=self.limit,
            **more_fields,
            **rounded_fields(recent),
            longest_unread=round(longest_unread, 3),
            queued=count_queued(listener),
            longest_round=rounded_fields(longest),
        )


def rounded_fields(record: object) -> dict[str, float]:
    """Return the numbers of a data class by name, with times in milliseconds' precision."""
    return {entry.name: round(getattr(record, entry.name), 3) for entry in fields(record)}


def count_queued(listener: socket.socket | None) -> int | None:
    """Return how many connections wait for an accept, None if that is unknown."""
    if listener is None:
        return None
    try:
        info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        return struct.unpack_from("=I", info, QUEUED_OFFSET)[0]
    except (OSError, struct.error):
        return None
