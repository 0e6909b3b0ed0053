"""Errors that the router itself answers with."""

from limpetusher.core.refusals import Ran
from limpetusher_router.events import SendAnswer
from limpetusher_router.platform.requests import error_headers
from limpetusher_router.request.answers import error_body

UNAUTHORIZED = 401
NOT_FOUND = 404
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


class FleetRefusal:
    """Why a request gets an error.

    Parameters
    ----------
    status
        Status code of the answer.
    code
        Machine-readable reason.
    message
        What happened.
    ran
        What is known about whether the request ran.
    retry_after_seconds
        When the caller may try again, None where that does not help.
    """

    def __init__(
        self, status: int, code: str, message: str, *, ran: Ran, retry_after_seconds: float | None = None
    ):
        self.status = status
        self.code = code
        self.message = message
        self.ran = ran
        self.retry_after_seconds = retry_after_seconds


def error_answer(request_id: str, caller_request_id: str, refusal: FleetRefusal) -> SendAnswer:
    """Return the message that answers a caller with an error."""
    headers = error_headers(caller_request_id, refusal.retry_after_seconds)
    return SendAnswer(request_id, refusal.status, headers, error_body(caller_request_id, refusal))
