"""Time-outs of connections, with at most one entry in the deadline heap for each connection."""

import math
from typing import Protocol

from limpetusher_router.events import DeadlineReached
from limpetusher_router.process.deadlines import Deadline, Deadlines


class TimedConnection(Protocol):
    """A connection with a time-out. `timeout_at` is a reading of the monotonic clock."""

    timeout_at: float
    deadline: Deadline | None


class Timeouts:
    """Sets and moves the time-outs of one component's connections.

    Extending a time-out, as each read does, leaves the heap unchanged; an entry that fires before the
    time-out is scheduled again.

    Parameters
    ----------
    deadlines
        Heap of deadlines.
    channel
        Channel of the component, on which `DeadlineReached` is fired with the connection.
    """

    def __init__(self, deadlines: Deadlines, channel: str):
        self.deadlines = deadlines
        self.channel = channel

    def set_timeout(self, connection: TimedConnection, seconds: float) -> None:
        """Set the time-out of a connection to `seconds` from now; infinity disables it."""
        connection.timeout_at = self.deadlines.clock.monotonic() + seconds
        self.schedule_entry(connection)

    def schedule_entry(self, connection: TimedConnection) -> None:
        """Ensure that the heap has an entry for the connection that is not later than its time-out."""
        entry = connection.deadline
        if math.isinf(connection.timeout_at) or (entry is not None and entry.when <= connection.timeout_at):
            return
        if entry is not None:
            entry.cancel()
        connection.deadline = self.deadlines.schedule(
            connection.timeout_at, DeadlineReached(connection), self.channel
        )

    def check_expired(self, connection: TimedConnection) -> bool:
        """Return whether a connection whose entry fired has timed out; schedule the entry again if not."""
        connection.deadline = None
        if self.deadlines.clock.monotonic() >= connection.timeout_at:
            return True
        self.schedule_entry(connection)
        return False
