"""Memory that the connections of one port hold for bodies, and the bodies that are still being received."""

import itertools

from limpetusher.clock import Clock
from limpetusher_router.connection.caller_connection import CallerConnection
from limpetusher_router.process.body_memory import BodyMemory

STALLED_BODY_SECONDS = 1.0
"""Time without bytes after which a body counts as stalled, and the shortest over which its rate is judged."""
STALLED_BODY_BYTES_PER_SECOND = 65_536
"""Rate below which a body counts as stalled and is refused if another one needs its memory."""
BODIES_CHECKED = 64
"""Number of bodies that are checked for stalled ones at a time, the oldest first."""


class HeldBodies:
    """Holds memory in the account of the process for connections, and finds stalled bodies.

    Parameters
    ----------
    memory
        Account of the process, which all ports share.
    clock
        Source of time.
    """

    def __init__(self, memory: BodyMemory, *, clock: Clock):
        self.memory = memory
        self.clock = clock
        self.receiving: dict[CallerConnection, None] = {}
        """Connections that have sent a part of a body, the first to begin first."""

    def hold_body(self, connection: CallerConnection, count: int) -> bool:
        """Hold more bytes for the body of a connection and return whether there is room."""
        return self.hold(connection, count, total=connection.held_bytes + count)

    def hold_pipelined(self, connection: CallerConnection, count: int) -> bool:
        """Hold bytes behind the current request and return whether there is room."""
        return self.hold(connection, count, total=len(connection.buffer))

    def hold(self, connection: CallerConnection, count: int, *, total: int) -> bool:
        """Hold more bytes for a connection and return whether there is room."""
        if not self.memory.try_hold(count, total=total):
            return False
        connection.held_bytes += count
        return True

    def release(self, connection: CallerConnection, count: int) -> None:
        """Release bytes that are held for a connection."""
        connection.held_bytes -= count
        self.memory.release(count)

    def end(self, connection: CallerConnection) -> None:
        """Release all that is held for a connection, whose request has ended."""
        self.receiving.pop(connection, None)
        self.release(connection, connection.held_bytes)

    def continue_receiving(self, connection: CallerConnection) -> None:
        """Record that a part of a body has arrived, and that more is to come."""
        connection.body_received_at = self.clock.monotonic()
        if connection not in self.receiving:
            connection.body_progress_at = connection.body_received_at
            self.receiving[connection] = None

    def complete(self, connection: CallerConnection) -> bytes | memoryview:
        """Return a body that is complete, for which its own length is held from now on."""
        self.receiving.pop(connection, None)
        body = connection.take_body()
        self.release(connection, connection.held_bytes - len(body))
        return body

    def find_stalled(self, asking: CallerConnection) -> list[CallerConnection]:
        """Return connections other than `asking` whose bodies arrive too slowly."""
        return [
            connection
            for connection in itertools.islice(self.receiving, BODIES_CHECKED)
            if connection is not asking and self.is_stalled(connection)
        ]

    def is_stalled(self, connection: CallerConnection) -> bool:
        """Return whether no byte of a body has arrived for a while, or too few since the last check."""
        now = self.clock.monotonic()
        is_slow = now - connection.body_received_at >= STALLED_BODY_SECONDS
        seconds = now - connection.body_progress_at
        if seconds >= STALLED_BODY_SECONDS:
            received = connection.body_reader.received_bytes
            progress = received - connection.body_progress_bytes
            connection.body_progress_at, connection.body_progress_bytes = now, received
            is_slow = is_slow or progress < seconds * STALLED_BODY_BYTES_PER_SECOND
        # Bytes that wait to be read show that the process was held up, not the caller.
        return is_slow and not connection.has_unread_bytes
