"""Account of the memory that request bodies take in the process."""

from limpetusher.clock import Clock
from limpetusher.events import Event
from limpetusher_router.process.logs import log_event
from limpetusher_router.process.metrics import Metrics

LARGE_BODY_BYTES = 262_144
"""Size above which a body counts as large; the requests of the users' sheets have up to 110,000 bytes."""
SMALL_BODY_BYTES = 16_384
LARGE_BODIES_FRACTION = 0.75
"""Fraction of the limit up to which large bodies are held; the rest is for smaller ones."""
MEDIUM_BODIES_FRACTION = 0.9
"""Fraction of the limit up to which bodies that are neither small nor large are held."""
LOG_INTERVAL_SECONDS = 1.0


class BodyMemory:
    """Account of the bytes of request bodies that the process holds, over all ports and connections.

    Bytes are held from their arrival, or from the head that announces a large body, to the end of the answer.

    Parameters
    ----------
    limit_bytes
        Maximum number of bytes held at a time.
    clock
        Source of time.
    metrics
        Metrics of the process, which show the held bytes.
    """

    def __init__(self, limit_bytes: int, *, clock: Clock, metrics: Metrics):
        self.limit_bytes = limit_bytes
        self.clock = clock
        self.metrics = metrics
        self.held_bytes = 0
        self.refused_bodies = 0
        """Bodies refused since the last log line about it."""
        self.logged_at = -LOG_INTERVAL_SECONDS

    def try_hold(self, count: int, *, total: int) -> bool:
        """Hold `count` more bytes for a request that then holds `total`, and return whether there is room."""
        held = self.held_bytes + count
        if held > self.limit_for(total):
            return False
        self.held_bytes = self.metrics.held_body_bytes = held
        return True

    def limit_for(self, total: int) -> float:
        """Return up to how many held bytes a request that holds `total` finds room."""
        if total <= SMALL_BODY_BYTES:
            return self.limit_bytes
        fraction = MEDIUM_BODIES_FRACTION if total <= LARGE_BODY_BYTES else LARGE_BODIES_FRACTION
        return fraction * self.limit_bytes

    def release(self, count: int) -> None:
        """Release held bytes."""
        self.held_bytes -= count
        self.metrics.held_body_bytes = self.held_bytes

    def record_refusal(self) -> None:
        """Count a refused body; log at most one line a second."""
        self.refused_bodies += 1
        now = self.clock.monotonic()
        if now < self.logged_at + LOG_INTERVAL_SECONDS:
            return
        log_event(
            Event.BODY_MEMORY_FULL,
            held=self.held_bytes,
            limit=self.limit_bytes,
            refused=self.refused_bodies,
        )
        self.logged_at = now
        self.refused_bodies = 0
