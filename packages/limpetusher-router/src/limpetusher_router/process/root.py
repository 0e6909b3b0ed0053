"""What the root components of all router processes share."""

import gc
import logging

from circuits.core import BaseComponent, handler
from circuits.core.events import signal as signal_event

from limpetusher_router.events import PROCESS, REQUESTS, FailRequest
from limpetusher_router.process.failures import request_id_of
from limpetusher_router.process.metrics import Metrics

CHAINED_STEPS = 10
"""Steps of a chain of messages that are handled before the poller is asked; a request has about ten."""

logger = logging.getLogger(__name__)


class StopSignal(signal_event):
    """SIGTERM or SIGINT arrived; a subclass of circuits' event because only that wakes the poller."""


class ProcessRoot(BaseComponent):
    """Root of a component tree, with the loop step and the handling of exceptions.

    Parameters
    ----------
    metrics
        Metrics of the process.
    """

    channel = PROCESS

    def __init__(self, metrics: Metrics):
        super().__init__()
        self.metrics = metrics
        self.finished = False
        """Whether the process has stopped as it was asked to."""

    def tick(self, timeout: float = -1) -> None:
        """Handle the messages that follow from each other before the poller is asked again.

        circuits polls after each step of such a chain.
        """
        for _ in range(CHAINED_STEPS):
            if not len(self):
                break
            self.flush()
        super().tick(timeout)

    @handler("exception", channel="*")
    def on_exception(
        self,
        error_type: type[BaseException],
        error: BaseException,
        traceback: object,
        handler: object = None,
        fevent: object = None,
    ) -> None:
        """Log an exception of a handler, and answer the request that it concerned."""
        request_id = request_id_of(fevent)
        # Only the name of the event is logged: its arguments may hold bodies and API keys.
        name = getattr(fevent, "name", "unknown")
        logger.error("exception in a handler of %s, request %s", name, request_id, exc_info=error)
        self.metrics.handler_errors.inc({})
        if request_id is not None and not isinstance(fevent, FailRequest):
            self.fire(FailRequest(request_id), REQUESTS)

    def run_until_stopped(self) -> int:
        """Run the process until it is stopped, and return the exit status."""
        # What exists now lives as long as the process, so later collections need not visit it.
        gc.collect()
        gc.freeze()
        self.run()
        return 0 if self.finished else 1
