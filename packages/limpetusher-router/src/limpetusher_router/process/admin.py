"""The admin port: health, readiness, metrics and the state of the decision core."""

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

WEB = "web"
JSON = "application/json"
EXPLAIN_PREFIX = "/explain/"

logger = logging.getLogger(__name__)


class AdminServer(Server):
    """circuits' web server without its banner on standard error."""

    def __init__(self, settings: RouterSettings):
        try:
            super().__init__(split_address(settings.admin_address), channel=WEB)
        except OSError as error:
            message = f"can't listen on admin address {settings.admin_address}: {error.strerror}"
            raise RouterError(message) from error

    @handler("ready", override=True)
    def _on_ready(self, *_: object) -> None:
        logger.debug("admin server ready")


def encode(value: object) -> bytes:
    """Return a value of the core as JSON."""
    return msgspec.json.encode(value, enc_hook=encode_other)


def encode_other(value: object) -> object:
    """Return a JSON-like value for objects that msgspec does not know."""
    if is_dataclass(value):
        return asdict(value)
    if isinstance(value, frozenset):
        return sorted(value)
    return str(value)


class AdminPages(BaseComponent):
    """Answers the requests of the admin port."""

    channel = WEB

    def __init__(self, core: DecisionCore, *, metrics: Metrics, document: Callable[[], bytes | None]):
        super().__init__()
        self.core = core
        self.metrics = metrics
        self.document = document

    @handler("request", priority=1.0)
    def on_request(self, event: Event, request: Request, response: Response) -> bytes:
        """Answer one request."""
        event.stop()
        try:
            status, content_type, body = self.page(request.method, request.path)
        except Exception:
            logger.exception("an admin page failed")
            status, content_type, body = 500, JSON, encode({"error": "internal error"})
        response.status = status
        response.headers["Content-Type"] = content_type
        return body

    def page(self, method: str, path: str) -> tuple[int, str, bytes]:
        """Return status, content type and body of a page."""
        if method not in ("GET", "HEAD"):
            return 405, JSON, encode({"error": f"the method is {method}; allowed: GET"})
        if path.startswith(EXPLAIN_PREFIX):
            return self.explain(path.removeprefix(EXPLAIN_PREFIX))
        match path:
            case "/healthz":
                return 200, JSON, encode({"healthy": True})
            case "/readyz":
                ready = self.core.is_ready
                return 200 if ready else 503, JSON, encode({"ready": ready})
            case "/metrics":
                body, content_type = self.metrics.render()
                return 200, content_type, body
            case "/status":
                return 200, JSON, encode(self.core.status())
            case "/configuration":
                return self.configuration()
        return 404, JSON, encode({"error": f"there is no page {path!r}"})

    def explain(self, request_id: str) -> tuple[int, str, bytes]:
        """Return what was decided about a request."""
        explanation = self.core.explain(request_id)
        if explanation is None:
            return 404, JSON, encode({"error": f"nothing is known about request {request_id!r}"})
        return 200, JSON, encode(explanation)

    def configuration(self) -> tuple[int, str, bytes]:
        """Return the configuration document in force."""
        document = self.document()
        if document is None:
            return 404, JSON, encode({"error": "there is no configuration yet"})
        return 200, JSON, document
