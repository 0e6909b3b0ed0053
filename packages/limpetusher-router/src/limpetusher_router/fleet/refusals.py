"""Error answers of the router itself."""

from limpetusher.core.refusals import Ran
from limpetusher.fleet.process.prompt_quarantine import Quarantine
from limpetusher.fleet.request.waiting_requests import PROMPT_QUARANTINED, REQUEST_QUARANTINED
from limpetusher_router.events import SendAnswer
from limpetusher_router.platform.requests import error_headers
from limpetusher_router.request.answers import error_body

UNAUTHORIZED = 401
NOT_FOUND = 404
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
STOPPING_RETRY_SECONDS = 0.05
"""Short, as another router can serve the request at once."""

NO_MEMORY_RETRY_SECONDS = 0.3
"""Roughly how long a few large bodies take to be received and answered."""


class FleetRefusal:
    """Reason and status of an error answer.

    Parameters
    ----------
    status
        Status code of the answer.
    code
        Machine-readable reason.
    message
        Description of what happened.
    ran
        Whether the request ran, as far as the router knows.
    retry_after_seconds
        Time after which the caller may retry, None if a retry is of no use.
    digest
        Digest of a request that was not admitted, empty if unknown.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        *,
        ran: Ran,
        retry_after_seconds: float | None = None,
        digest: str = "",
    ):
        self.status = status
        self.code = code
        self.message = message
        self.ran = ran
        self.retry_after_seconds = retry_after_seconds
        self.digest = digest


def quarantine_refusal(quarantine: Quarantine, now: float, *, digest: str) -> FleetRefusal:
    """Return the refusal of a request that did not run because it or a part of its prompt is quarantined."""
    return FleetRefusal(
        UNAVAILABLE,
        "request_quarantined" if quarantine.is_request else "prompt_quarantined",
        REQUEST_QUARANTINED if quarantine.is_request else PROMPT_QUARANTINED,
        ran=Ran.NO,
        retry_after_seconds=quarantine.until - now,
        digest=digest,
    )


def no_memory_refusal() -> FleetRefusal:
    """Return the refusal of a request that did not run because there is no memory for its body."""
    return FleetRefusal(
        UNAVAILABLE,
        "no_memory",
        "no memory for the body",
        ran=Ran.NO,
        retry_after_seconds=NO_MEMORY_RETRY_SECONDS,
    )


def stopping_refusal(*, ran: Ran) -> FleetRefusal:
    """Return the refusal of a request that the router can't complete because it stops."""
    if ran is Ran.NO:
        return FleetRefusal(
            UNAVAILABLE, "stopping", "this router stops", ran=ran, retry_after_seconds=STOPPING_RETRY_SECONDS
        )
    return FleetRefusal(GATEWAY_TIMEOUT, "stopping", "this router stops", ran=ran)


def error_answer(request_id: str, caller_request_id: str, refusal: FleetRefusal) -> SendAnswer:
    """Return the message that sends a refusal to its caller."""
    headers = error_headers(caller_request_id, refusal.retry_after_seconds)
    return SendAnswer(request_id, refusal.status, headers, error_body(caller_request_id, refusal))
