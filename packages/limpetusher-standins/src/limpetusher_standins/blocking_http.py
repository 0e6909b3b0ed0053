"""Blocking HTTP calls for the fleet runner and for tests."""

import http.client
import json
from dataclasses import dataclass

CALL_TIMEOUT_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete answer to a call. Header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> object:
        """Return the body as JSON."""
        return json.loads(self.body)


def call(
    address: str,
    method: str,
    path: str,
    body: object = None,
    headers: dict[str, str] | None = None,
    *,
    timeout_seconds: float = CALL_TIMEOUT_SECONDS,
) -> Reply:
    """Send one HTTP request; a `body` that is not bytes is sent as JSON."""
    content = body if body is None or isinstance(body, bytes) else json.dumps(body).encode()
    connection = http.client.HTTPConnection(address, timeout=timeout_seconds)
    try:
        connection.request(method, path, content, headers or {})
        response = connection.getresponse()
        return Reply(response.status, {k.lower(): v for k, v in response.getheaders()}, response.read())
    finally:
        connection.close()


def get_status(address: str, path: str) -> int | None:
    """Return the status of a GET, or None when there is no answer."""
    try:
        return call(address, "GET", path).status
    except (OSError, http.client.HTTPException):
        return None
