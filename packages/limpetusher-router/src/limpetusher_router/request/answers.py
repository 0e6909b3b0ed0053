"""Error answers and error events in the one form that callers see."""

import math
from http import HTTPStatus

import msgspec

from limpetusher.core.actions import Ran

ERROR_CONTENT_TYPE = "application/json"
UNAUTHORIZED = 401


class ErrorBody(msgspec.Struct, frozen=True):
    """What is wrong, and whether the request ran."""

    code: str
    message: str
    request_id: str
    ran: Ran


class ErrorDocument(msgspec.Struct, frozen=True):
    """Body of an error answer."""

    error: ErrorBody


def error_body(*, code: str, message: str, request_id: str, ran: Ran) -> bytes:
    """Return the JSON body of an error answer."""
    return msgspec.json.encode(ErrorDocument(ErrorBody(str(code), message, request_id, ran)))


def error_headers(*, status: int, retry_after_seconds: float | None = None) -> dict[str, str]:
    """Return the header fields of an error answer."""
    headers = {"content-type": ERROR_CONTENT_TYPE}
    if status == UNAUTHORIZED:
        headers["www-authenticate"] = "Bearer"
    if retry_after_seconds is not None:
        headers["retry-after"] = str(max(1, math.ceil(retry_after_seconds)))
    return headers


def error_event(body: bytes) -> bytes:
    """Return the server-sent event that ends a broken stream."""
    return b"event: error\ndata: " + body + b"\n\n"


def reason_phrase(status: int) -> str:
    """Return the standard reason phrase of a status code."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Status"
