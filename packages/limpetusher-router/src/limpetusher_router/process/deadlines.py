"""One heap of deadlines for the whole process; circuits' Timer would be visited on every pass of the loop."""

import heapq
import itertools

from circuits.core import BaseComponent, Event, handler

from limpetusher.clock import Clock

COMPACTION_ENTRIES = 1024


class Deadline:
    """An event that will be fired at a time unless it is cancelled."""

    __slots__ = ("cancelled", "channel", "event", "when")

    def __init__(self, when: float, event: Event, channel: str):
        self.when = when
        self.event = event
        self.channel = channel
        self.cancelled = False

    def cancel(self) -> None:
        """Do not fire the event."""
        self.cancelled = True


class Deadlines(BaseComponent):
    """Fires events at readings of the monotonic clock and limits the poller's waiting time accordingly."""

    channel = "deadlines"

    def __init__(self, clock: Clock):
        super().__init__()
        self.clock = clock
        self.heap: list[tuple[float, int, Deadline]] = []
        self.numbers = itertools.count()
        self.compact_above = COMPACTION_ENTRIES

    def schedule(self, when: float, event: Event, channel: str) -> Deadline:
        """Fire `event` on `channel` at `when`, a reading of the monotonic clock in seconds."""
        deadline = Deadline(when, event, channel)
        heapq.heappush(self.heap, (when, next(self.numbers), deadline))
        if len(self.heap) > self.compact_above:
            self.compact()
        return deadline

    def schedule_in(self, seconds: float, event: Event, channel: str) -> Deadline:
        """Fire `event` on `channel` after `seconds`."""
        return self.schedule(self.clock.monotonic() + seconds, event, channel)

    def compact(self) -> None:
        """Remove cancelled entries; the next time is when the heap has doubled."""
        self.heap = [entry for entry in self.heap if not entry[2].cancelled]
        heapq.heapify(self.heap)
        self.compact_above = max(COMPACTION_ENTRIES, 2 * len(self.heap))

    @handler("generate_events", channel="*", priority=10)
    def on_generate_events(self, event: Event) -> None:
        """Fire what is due and let the poller wait no longer than until the next deadline."""
        now = self.clock.monotonic()
        while self.heap and (self.heap[0][2].cancelled or self.heap[0][0] <= now):
            deadline = heapq.heappop(self.heap)[2]
            if not deadline.cancelled:
                self.fire(deadline.event, deadline.channel)
                event.reduce_time_left(0)
        if self.heap:
            event.reduce_time_left(max(0.0, self.heap[0][0] - now))
