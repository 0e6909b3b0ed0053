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
"""Time after the begin of a stream, or after it was last taken up, for which its record is kept at least.
Twice the longest time for which callers of the known deployments wait."""
MAX_STREAMS = 60_000
"""Maximum number of streams that begin within the retention time, about 9 MB. The known deployments begin up
to 675 a second."""
MAX_UNANNOUNCED_STREAMS = 6_000
"""Maximum number of streams of which others have to be told, once another version is in service."""
MAX_ANNOUNCED_STREAMS = 2_000
"""Maximum number of streams that a router without any is told, the most recent ones."""
MAX_STREAMS_PER_UPDATE = 60
"""Maximum number of streams in one message, so that it fits into a datagram."""
MAX_ORIGINS = 6
"""Maximum number of services in a record, the last ones, so that a message fits into a datagram."""
MAX_SHARED_RECORDS = 1_000
"""Maximum number of records that are kept to be shared by streams."""


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Service and software version of events, None if they may be of several versions."""

    service: str
    version: str | None


@dataclass(frozen=True, slots=True)
class StreamRecord:
    """Services and software versions of which a stream may hold events."""

    origins: tuple[StreamOrigin, ...]
    is_whole: bool = True
    """Whether the record goes back to the begin of the stream."""

    def origin_at(self, service: str) -> StreamOrigin | None:
        """Return the origin of the events of a service, None if none are known."""
        return next((origin for origin in self.origins if origin.service == service), None)

    def merge(self, other: "StreamRecord") -> "StreamRecord":
        """Return what both records tell of a stream; of a service with several versions, none is known."""
        versions = {origin.service: origin.version for origin in self.origins}
        for origin in other.origins:
            known = versions.pop(origin.service, origin.version)
            versions[origin.service] = known if known == origin.version else None
        origins = tuple(StreamOrigin(service, version) for service, version in versions.items())
        is_whole = (self.is_whole or other.is_whole) and len(origins) <= MAX_ORIGINS
        return StreamRecord(origins[-MAX_ORIGINS:], is_whole)


class StreamVersions:
    """Records of the streams that began lately, by the identifier of the request that began them.

    Entries are kept in two generations, of which the older one is dropped as a whole, so that the age of each
    entry is bounded without a clean-up.
    """

    def __init__(self):
        self.recent: dict[int, StreamRecord] = {}
        self.older: dict[int, StreamRecord] = {}
        self.recent_since = -math.inf
        self.dropped_until = -math.inf
        """Time up to which records were dropped before their retention time, so that none proves nothing."""
        self.shared: dict[StreamRecord, StreamRecord] = {}
        """Equal records, of which one is kept for all streams."""
        self.unannounced: deque[int] = deque(maxlen=MAX_UNANNOUNCED_STREAMS)
        """Streams of which other routers have to be told."""

    def find(self, stream: int, now: float) -> StreamRecord | None:
        """Return the record of a stream, None if it is not known."""
        self.drop_old(now)
        return self.recent.get(stream) or self.older.get(stream)

    def record(self, stream: int, origin: StreamOrigin, now: float, *, is_whole: bool = True) -> None:
        """Record an origin of a stream, which is the only one so far if `is_whole` is set."""
        self.put(stream, StreamRecord((origin,), is_whole), now)

    def put(self, stream: int, record: StreamRecord, now: float) -> None:
        """Add a record of a stream to what is known of it."""
        known = self.find(stream, now)
        if known is not None and known != record:
            record = known.merge(record)
        if len(self.recent) >= MAX_STREAMS:
            self.start_generation(now)
        if len(self.shared) >= MAX_SHARED_RECORDS:
            self.shared.clear()
        self.recent[stream] = self.shared.setdefault(record, record)

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
        if self.older and now < self.recent_since + RETENTION_SECONDS:
            self.dropped_until = self.recent_since
        is_outdated = now >= self.recent_since + 2 * RETENTION_SECONDS
        self.older = {} if is_outdated else self.recent
        self.recent = {}
        self.recent_since = now

    def take_unannounced(self, now: float) -> list[StreamOrigins]:
        """Return messages with the streams of which other routers have not been told."""
        streams, self.unannounced = self.unannounced, deque(maxlen=MAX_UNANNOUNCED_STREAMS)
        return list(self.messages(streams, now))

    def known(self, now: float) -> list[StreamOrigins]:
        """Return messages with the streams that a router without any has to be told."""
        self.drop_old(now)
        streams = [*self.older, *self.recent][-MAX_ANNOUNCED_STREAMS:]
        return list(self.messages(streams, now))

    def messages(self, streams: Iterable[int], now: float) -> Iterator[StreamOrigins]:
        """Yield messages with the records of streams."""
        by_record: dict[StreamRecord, list[int]] = {}
        for stream in streams:
            record = self.find(stream, now)
            if record is not None:
                by_record.setdefault(record, []).append(stream)
        for record, members in by_record.items():
            origins = tuple((origin.service, origin.version) for origin in record.origins)
            for first in range(0, len(members), MAX_STREAMS_PER_UPDATE):
                part = tuple(members[first : first + MAX_STREAMS_PER_UPDATE])
                yield StreamOrigins(origins, record.is_whole, part)

    def apply(self, message: StreamOrigins, now: float) -> None:
        """Record what another router has told."""
        origins = tuple(StreamOrigin(service, version) for service, version in message.origins)
        record = StreamRecord(origins, message.is_whole)
        for stream in message.streams:
            self.put(stream, record, now)
