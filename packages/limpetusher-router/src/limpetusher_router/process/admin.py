"""Admin server: health, readiness, metrics and the state of the decision core."""

import logging
from collections.abc import Callable
from dataclasses import asdict, is_dataclass

import msgspec
from circuits.core import BaseComponent, Event, handler
from circuits.web import Server
from circuits.web.wrappers import Request, Response

from limpetusher.core.decision import DecisionCore
from limpetusher_router.connection.settings import split_address
from limpetusher_router.errors import RouterError
from limpetusher_router.process.metrics import Metrics
from limpetusher_router.settings import RouterSettings

WEB_CHANNEL = "web"
JSON_CONTENT_TYPE = "application/json"
EXPLAIN_PREFIX = "/explain/"

logger = logging.getLogger(__name__)


class AdminServer(Server):
    """Web server of circuits, without the banner that it writes to standard error."""

    def __init__(self, settings: RouterSettings):
        try:
            super().__init__(split_address(settings.admin_address), channel=WEB_CHANNEL)
        except OSError as error:
            message = f"can't listen on admin address {settings.admin_address}: {error.strerror}"
            raise RouterError(message) from error

    @handler("ready", override=True)
    def _on_ready(self, *_: object) -> None:
        logger.debug("admin server ready")


def encode_json(value: object) -> bytes:
    """Encode a value of the core as JSON."""
    return msgspec.json.encode(value, enc_hook=encode_custom_type)


def encode_custom_type(value: object) -> object:
    """Convert a value of a type that msgspec can not encode."""
    if is_dataclass(value):
        return asdict(value)
    if isinstance(value, frozenset):
        return sorted(value)
    return str(value)


class AdminPages(BaseComponent):
    """Answers the requests of the admin server.

    Parameters
    ----------
    core
        Decision core.
    metrics
        Metrics of the process.
    configuration_document
        Returns the configuration document in force, None without one.
    """

    channel = WEB_CHANNEL

    def __init__(
        self, core: DecisionCore, *, metrics: Metrics, configuration_document: Callable[[], bytes | None]
    ):
        super().__init__()
        self.core = core
        self.metrics = metrics
        self.configuration_document = configuration_document

    @handler("request", priority=1.0)
    def on_request(self, event: Event, request: Request, response: Response) -> bytes:
        """Answer one request."""
        event.stop()
        try:
            status, content_type, body = self.render_page(request.method, request.path)
        except Exception:
            logger.exception("failed to render an admin page")
            status, content_type, body = 500, JSON_CONTENT_TYPE, encode_json({"error": "internal error"})
        response.status = status
        response.headers["Content-Type"] = content_type
        return body

    def render_page(self, method: str, path: str) -> tuple[int, str, bytes]:
        """Return the status, the content type and the body of a page."""
        if method not in ("GET", "HEAD"):
            return 405, JSON_CONTENT_TYPE, encode_json({"error": f"the method is {method}; allowed: GET"})
        if path.startswith(EXPLAIN_PREFIX):
            return self.render_explanation(path.removeprefix(EXPLAIN_PREFIX))
        match path:
            case "/healthz":
                return 200, JSON_CONTENT_TYPE, encode_json({"healthy": True})
            case "/readyz":
                ready = self.core.is_ready
                return 200 if ready else 503, JSON_CONTENT_TYPE, encode_json({"ready": ready})
            case "/metrics":
                body, content_type = self.metrics.render()
                return 200, content_type, body
            case "/status":
                return 200, JSON_CONTENT_TYPE, encode_json(self.core.status())
            case "/configuration":
                return self.render_configuration()
        return 404, JSON_CONTENT_TYPE, encode_json({"error": f"there is no page {path!r}"})

    def render_explanation(self, request_id: str) -> tuple[int, str, bytes]:
        """Return the decisions about a request."""
        explanation = self.core.explain(request_id)
        if explanation is None:
            return (
                404,
                JSON_CONTENT_TYPE,
                encode_json({"error": f"nothing is known about request {request_id!r}"}),
            )
        return 200, JSON_CONTENT_TYPE, encode_json(explanation)

    def render_configuration(self) -> tuple[int, str, bytes]:
        """Return the configuration document in force."""
        document = self.configuration_document()
        if document is None:
            return 404, JSON_CONTENT_TYPE, encode_json({"error": "there is no configuration yet"})
        return 200, JSON_CONTENT_TYPE, document
