"""Deadlines of the process in one heap. circuits polls each of its own timers in every loop iteration."""

import heapq
import itertools

from circuits.core import BaseComponent, Event, handler

from limpetusher.clock import Clock

COMPACTION_THRESHOLD_ENTRIES = 1024
HELD_UP_SECONDS = 0.05
"""Delay of a deadline from which on the process was held up, as by other processes or a long message."""


class Deadline:
    """An event that is fired at a given time unless it is cancelled before."""

    __slots__ = ("cancelled", "channel", "event", "when")

    def __init__(self, when: float, event: Event, channel: str):
        self.when = when
        self.event: Event | None = event
        self.channel = channel
        self.cancelled = False

    def cancel(self) -> None:
        """Cancel the deadline, so that its event is not fired."""
        self.cancelled = True
        # The heap keeps the entry until its time, but not what the event refers to, such as a connection.
        self.event = None


class Deadlines(BaseComponent):
    """Fires events at times of the monotonic clock, and limits how long the poller blocks accordingly.

    Parameters
    ----------
    clock
        Source of time.
    reads_first
        Whether a process that was held up handles what has arrived meanwhile before its deadlines. Otherwise
        time-outs end connections whose data has only not been read yet. Not for deadlines that end a right
        which the messages would use, such as leases.
    """

    channel = "deadlines"

    def __init__(self, clock: Clock, *, reads_first: bool = False):
        super().__init__()
        self.reads_first = reads_first
        self.clock = clock
        self.heap: list[tuple[float, int, Deadline]] = []
        self.sequence_numbers = itertools.count()
        self.compaction_threshold = COMPACTION_THRESHOLD_ENTRIES
        self.is_io_due = False
        """Whether the process was held up and polls for I/O before it fires deadlines."""

    def schedule(self, when: float, event: Event, channel: str) -> Deadline:
        """Fire `event` on `channel` at `when`, a reading of the monotonic clock in seconds."""
        deadline = Deadline(when, event, channel)
        heapq.heappush(self.heap, (when, next(self.sequence_numbers), deadline))
        if len(self.heap) > self.compaction_threshold:
            self.compact()
        return deadline

    def schedule_in(self, seconds: float, event: Event, channel: str) -> Deadline:
        """Fire `event` on `channel` after `seconds`."""
        return self.schedule(self.clock.monotonic() + seconds, event, channel)

    def compact(self) -> None:
        """Remove cancelled entries; the next time is when the heap has doubled."""
        self.heap = [entry for entry in self.heap if not entry[2].cancelled]
        heapq.heapify(self.heap)
        self.compaction_threshold = max(COMPACTION_THRESHOLD_ENTRIES, 2 * len(self.heap))

    @handler("generate_events", channel="*", priority=10)
    def on_generate_events(self, event: Event) -> None:
        """Fire the events that are due, and let the poller block no longer than until the next deadline."""
        now = self.clock.monotonic()
        was_held_up = bool(self.heap) and self.heap[0][0] + HELD_UP_SECONDS < now
        self.is_io_due = self.reads_first and was_held_up and not self.is_io_due
        if self.is_io_due:
            event.reduce_time_left(0)
            return
        while self.heap and (self.heap[0][2].cancelled or self.heap[0][0] <= now):
            deadline = heapq.heappop(self.heap)[2]
            if not deadline.cancelled:
                self.fire(deadline.event, deadline.channel)
                event.reduce_time_left(0)
        if self.heap:
            event.reduce_time_left(max(0.0, self.heap[0][0] - now))
