"""HTTP pages for the platform and for peers: readiness, metrics and the copy of the store."""

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
NO_MEMORY = 503
BINARY_CONTENT_TYPE = "application/octet-stream"
TEXT_CONTENT_TYPE = "text/plain"


class InternalPages(BaseComponent):
    """Answers the requests on a port that is not open to callers.

    Parameters
    ----------
    channel
        Channel on which requests arrive.
    answers_channel
        Channel of the port, on which answers are sent.
    is_ready
        Returns whether the router should get requests.
    store_copy
        Returns the encoded copy of the store.
    metrics
        Metrics of the process.
    """

    def __init__(
        self,
        *,
        channel: str,
        answers_channel: str,
        is_ready: Callable[[], bool],
        store_copy: Callable[[], bytes],
        metrics: Metrics,
    ):
        super().__init__(channel=channel)
        self.answers_channel = answers_channel
        self.is_ready = is_ready
        self.store_copy = store_copy
        self.metrics = metrics

    @handler("RequestReceived")
    def on_request(self, request_id: str, head: RequestHead, _body: bytes) -> None:
        """Answer a request."""
        status, content_type, body = self.render_page(head.path)
        self.fire(SendAnswer(request_id, status, {"content-type": content_type}, body), self.answers_channel)

    @handler("BodyRefused")
    def on_body_refused(self, request_id: str, _head: RequestHead) -> None:
        """Refuse a request for whose body there is no memory; no page needs one."""
        self.fire(
            SendAnswer(
                request_id, NO_MEMORY, {"content-type": TEXT_CONTENT_TYPE}, b"no memory for the body\n"
            ),
            self.answers_channel,
        )

    def render_page(self, path: str) -> tuple[int, str, bytes]:
        """Return status, content type and body of a page."""
        if path == READY_PATH:
            ready = self.is_ready()
            return (
                (OK, TEXT_CONTENT_TYPE, b"ready\n")
                if ready
                else (NOT_READY, TEXT_CONTENT_TYPE, b"not ready\n")
            )
        if path == COPY_PATH:
            return OK, BINARY_CONTENT_TYPE, self.store_copy()
        if path == METRICS_PATH:
            body, content_type = self.metrics.render()
            return OK, content_type, body
        return NOT_FOUND, TEXT_CONTENT_TYPE, b"no such page\n"
