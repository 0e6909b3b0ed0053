"""Pages for the platform and for peers: readiness, metrics and the copy of the store."""

from collections.abc import Callable

from circuits.core import BaseComponent, handler

from limpetusher_router.connection.framing import RequestHead
from limpetusher_router.events import SendAnswer
from limpetusher_router.fleet.store_reader import COPY_PATH
from limpetusher_router.platform.names import READY_PATH
from limpetusher_router.process.metrics import Metrics

METRICS_PATH = "/metrics"
OK = 200
NOT_FOUND = 404
NOT_READY = 503
BINARY = "application/octet-stream"
TEXT = "text/plain"


class Pages(BaseComponent):
    """Answers the requests of a port that callers don't use.

    Parameters
    ----------
    channel
        Channel on which requests arrive.
    answers_channel
        Channel of the port, on which answers are sent.
    """

    def __init__(
        self,
        *,
        channel: str,
        answers_channel: str,
        is_ready: Callable[[], bool],
        copy: Callable[[], bytes],
        metrics: Metrics,
    ):
        super().__init__(channel=channel)
        self.answers_channel = answers_channel
        self.is_ready = is_ready
        self.copy = copy
        self.metrics = metrics

    @handler("RequestReceived")
    def on_request(self, request_id: str, head: RequestHead, _body: bytes) -> None:
        """Answer a request."""
        status, content_type, body = self.page(head.path)
        self.fire(SendAnswer(request_id, status, {"content-type": content_type}, body), self.answers_channel)

    def page(self, path: str) -> tuple[int, str, bytes]:
        """Return status, content type and content of a page."""
        if path == READY_PATH:
            ready = self.is_ready()
            return (OK, TEXT, b"ready\n") if ready else (NOT_READY, TEXT, b"not ready\n")
        if path == COPY_PATH:
            return OK, BINARY, self.copy()
        if path == METRICS_PATH:
            body, content_type = self.metrics.render()
            return OK, content_type, body
        return NOT_FOUND, TEXT, b"no such page\n"
