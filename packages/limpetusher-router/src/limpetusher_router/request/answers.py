"""Error answers and error events for callers."""

import math
from http import HTTPStatus
from typing import Protocol

import msgspec

from limpetusher.core.refusals import Ran
from limpetusher_router.events import SendAnswer

ERROR_CONTENT_TYPE = "application/json"
UNAUTHORIZED = 401


class ErrorBody(msgspec.Struct, frozen=True):
    """Description of an error. `ran` states whether the request ran."""

    code: str
    message: str
    request_id: str
    ran: Ran


class ErrorDocument(msgspec.Struct, frozen=True):
    """Body of an error answer."""

    error: ErrorBody


class ErrorReason(Protocol):
    """A refusal by the core or an error in the process that is reported to the caller."""

    status: int
    code: str
    message: str
    ran: Ran
    retry_after_seconds: float | None


def error_body(request_id: str, error: ErrorReason) -> bytes:
    """Return the JSON body of an error answer."""
    return encode_error(ErrorDocument(ErrorBody(str(error.code), error.message, request_id, error.ran)))


def encode_error(document: ErrorDocument) -> bytes:
    """Return the JSON form of an error document."""
    return msgspec.json.encode(document)


def error_answer(request_id: str, error: ErrorReason) -> SendAnswer:
    """Return the message that answers a caller with an error."""
    headers = {"content-type": ERROR_CONTENT_TYPE, "x-request-id": request_id}
    if error.status == UNAUTHORIZED:
        headers["www-authenticate"] = "Bearer"
    if error.retry_after_seconds is not None:
        headers["retry-after"] = str(max(1, math.ceil(error.retry_after_seconds)))
    return SendAnswer(request_id, error.status, headers, error_body(request_id, error))


def error_event(request_id: str, error: ErrorReason) -> bytes:
    """Return the server-sent event that ends a stream that was cut."""
    return b"event: error\ndata: " + error_body(request_id, error) + b"\n\n"


def reason_phrase(status: int) -> str:
    """Return the standard reason phrase of a status code."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Status"
