"""Time-outs of connections: one lazy entry of the deadline heap for each connection."""

import math
from typing import Protocol

from limpetusher_router.events import Due
from limpetusher_router.process.deadlines import Deadline, Deadlines


class TimedConnection(Protocol):
    """A connection with a time-out. `due_at` is a reading of the monotonic clock."""

    due_at: float
    deadline: Deadline | None


class Timeouts:
    """Sets and moves the time-outs of one component's connections.

    A time-out that moves to a later time, as it does with each read, leaves the heap as it is; its entry is
    set anew when it comes early.

    Parameters
    ----------
    deadlines
        Heap of deadlines.
    channel
        Channel of the component, on which `Due` is fired with the connection.
    """

    def __init__(self, deadlines: Deadlines, channel: str):
        self.deadlines = deadlines
        self.channel = channel

    def set(self, connection: TimedConnection, seconds: float) -> None:
        """Let a connection time out after `seconds`; infinity for never."""
        connection.due_at = self.deadlines.clock.monotonic() + seconds
        self.watch(connection)

    def watch(self, connection: TimedConnection) -> None:
        """Keep an entry of the heap no later than the connection's time-out."""
        present = connection.deadline
        if math.isinf(connection.due_at) or (present is not None and present.when <= connection.due_at):
            return
        if present is not None:
            present.cancel()
        connection.deadline = self.deadlines.schedule(connection.due_at, Due(connection), self.channel)

    def has_expired(self, connection: TimedConnection) -> bool:
        """Return whether a connection whose entry has come is really due; set the entry anew if not."""
        connection.deadline = None
        if self.deadlines.clock.monotonic() >= connection.due_at:
            return True
        self.watch(connection)
        return False
