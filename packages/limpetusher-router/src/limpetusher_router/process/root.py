"""Common base class of the root components of the router processes."""

import gc
import logging

from circuits.core import BaseComponent, handler
from circuits.core.events import signal as signal_event

from limpetusher.clock import Clock
from limpetusher_router.events import PROCESS, REQUESTS, FailRequest
from limpetusher_router.process.failures import request_id_of
from limpetusher_router.process.metrics import Metrics
from limpetusher_router.process.rounds import PollerRounds

MAXIMUM_FLUSHES_PER_TICK = 10
"""Queue flushes before each poll; a request causes a chain of about ten messages."""

logger = logging.getLogger(__name__)


class StopSignal(signal_event):
    """SIGTERM or SIGINT was received. Derived from circuits' signal event, as only that wakes the poller."""


class ProcessRoot(BaseComponent):
    """Root of a component tree, with the event loop step and the exception handler.

    Parameters
    ----------
    metrics
        Metrics of the process.
    clock
        Source of time.
    """

    channel = PROCESS

    def __init__(self, metrics: Metrics, *, clock: Clock):
        super().__init__()
        self.metrics = metrics
        self.rounds = metrics.rounds = PollerRounds(clock)
        self.stopped_cleanly = False
        """Whether the process stopped because of a stop request, not because of a failure."""

    def tick(self, timeout: float = -1) -> None:
        """Handle messages, and the messages that their handlers fire, before polling for I/O.

        circuits itself polls after each flush of the message queue.
        """
        rounds = self.rounds
        for number in range(MAXIMUM_FLUSHES_PER_TICK):
            if not len(self):
                break
            self.flush()
            if number == 0:
                rounds.end_sockets()
        is_backlogged = bool(len(self))
        if not is_backlogged:
            rounds.end()
        super().tick(timeout)
        if is_backlogged:
            # The poller did not wait, but the rest of the messages was handled.
            rounds.end()
        rounds.begin()

    @handler("exception", channel="*")
    def on_exception(
        self,
        error_type: type[BaseException],
        error: BaseException,
        traceback: object,
        handler: object = None,
        fevent: object = None,
    ) -> None:
        """Log an exception raised by a handler, and answer the request that it concerned."""
        request_id = request_id_of(fevent)
        # Only the name of the event is logged: its arguments may hold bodies and API keys.
        name = getattr(fevent, "name", "unknown")
        logger.error("exception in a handler of %s, request %s", name, request_id, exc_info=error)
        self.metrics.handler_errors.inc({})
        if request_id is not None and not isinstance(fevent, FailRequest):
            self.fire(FailRequest(request_id), REQUESTS)

    def run_until_stopped(self) -> int:
        """Run the process until it stops, and return the exit status."""
        # Objects created at start live as long as the process, so garbage collection can skip them.
        gc.collect()
        gc.freeze()
        self.run()
        return 0 if self.stopped_cleanly else 1
