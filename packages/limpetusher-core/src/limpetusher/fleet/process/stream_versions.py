"""Software versions of the targets that began streams, for callers that take a stream up again.

What targets of different versions write must not be joined to one stream, and targets don't check this. A
caller that takes a stream up names the request that brought its first event, to any router.
"""

import math
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from limpetusher.fleet.messages import StreamOrigins

RETENTION_SECONDS = 30.0
"""Time after the begin of a stream, or after it was last taken up, for which its origin is kept at least.
Twice the longest time for which callers of the known deployments wait."""
MAX_STREAMS = 20_000
"""Maximum number of streams that begin within the retention time, about 3 MB."""
MAX_ANNOUNCED_STREAMS = 2_000
"""Maximum number of streams that a router without any is told, the most recent ones."""
MAX_STREAMS_PER_UPDATE = 60
"""Maximum number of streams in one message, so that it fits into a datagram."""


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Service and software version that began a stream, None if targets of several versions may have."""

    service: str
    version: str | None


class StreamVersions:
    """Origins of the streams that began lately, by the identifier of the request that began them.

    Entries are kept in two generations, of which the older one is dropped as a whole, so that the age of each
    entry is bounded without a clean-up.
    """

    def __init__(self):
        self.recent: dict[int, StreamOrigin] = {}
        self.older: dict[int, StreamOrigin] = {}
        self.recent_since = -math.inf
        self.unannounced: deque[int] = deque(maxlen=MAX_ANNOUNCED_STREAMS)
        """Streams of which other routers have to be told."""

    def find(self, stream: int, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, None if it is not known."""
        self.drop_old(now)
        return self.recent.get(stream) or self.older.get(stream)

    def record(self, stream: int, origin: StreamOrigin, now: float) -> None:
        """Record the origin of a stream; of one that is recorded with several versions, none is known."""
        known = self.find(stream, now)
        if known is not None and known != origin:
            origin = StreamOrigin(origin.service, None)
        if len(self.recent) >= MAX_STREAMS:
            self.start_generation(now)
        self.recent[stream] = origin

    def discard(self, stream: int) -> None:
        """Forget a stream that has not begun."""
        self.recent.pop(stream, None)
        self.older.pop(stream, None)

    def drop_old(self, now: float) -> None:
        """Start another generation if the present one is old enough."""
        if now >= self.recent_since + RETENTION_SECONDS:
            self.start_generation(now)

    def start_generation(self, now: float) -> None:
        """Start another generation of entries and drop the one before the last."""
        is_outdated = now >= self.recent_since + 2 * RETENTION_SECONDS
        self.older = {} if is_outdated else self.recent
        self.recent = {}
        self.recent_since = now

    def take_unannounced(self, now: float) -> list[StreamOrigins]:
        """Return messages with the streams of which other routers have not been told."""
        streams, self.unannounced = self.unannounced, deque(maxlen=MAX_ANNOUNCED_STREAMS)
        return list(self.messages(streams, now))

    def known(self, now: float) -> list[StreamOrigins]:
        """Return messages with the streams that a router without any has to be told."""
        self.drop_old(now)
        streams = [*self.older, *self.recent][-MAX_ANNOUNCED_STREAMS:]
        return list(self.messages(streams, now))

    def messages(self, streams: Iterable[int], now: float) -> Iterator[StreamOrigins]:
        """Yield messages with the origins of streams."""
        by_origin: dict[StreamOrigin, list[int]] = {}
        for stream in streams:
            origin = self.find(stream, now)
            if origin is not None:
                by_origin.setdefault(origin, []).append(stream)
        for origin, members in by_origin.items():
            for first in range(0, len(members), MAX_STREAMS_PER_UPDATE):
                part = tuple(members[first : first + MAX_STREAMS_PER_UPDATE])
                yield StreamOrigins(origin.service, origin.version, part)

    def apply(self, message: StreamOrigins, now: float) -> None:
        """Record what another router has told."""
        origin = StreamOrigin(message.service, message.version)
        for stream in message.streams:
            self.record(stream, origin, now)
