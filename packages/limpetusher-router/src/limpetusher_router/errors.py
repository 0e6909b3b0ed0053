"""Errors of the router process."""

from limpetusher.core.refusals import Ran
from limpetusher.errors import LimpetusherError


class RouterError(LimpetusherError):
    """Base class of the errors of the router process."""


class RefusalError(RouterError):
    """A request that is refused before the core sees it, so it did not run.

    Parameters
    ----------
    status
        Status code of the answer.
    code
        Machine-readable reason in the error answer.
    message
        What is wrong and what is allowed.
    retry_after_seconds
        When the caller may try again, None where that does not help.
    """

    ran = Ran.NO

    def __init__(self, status: int, code: str, message: str, retry_after_seconds: float | None = None):
        self.status = status
        self.code = code
        self.message = message
        self.retry_after_seconds = retry_after_seconds
        super().__init__(message)


class FramingError(RefusalError):
    """Bytes from a caller or a target that are not a well-formed and bounded HTTP/1.1 message."""


class RequestError(RefusalError):
    """A well-formed request that is refused before the core sees it."""


class InternalError(RouterError):
    """A handler failed while it worked on a request.

    Parameters
    ----------
    ran
        What is known about whether the request ran.
    """

    status = 500
    code = "internal_error"
    message = "an internal error ended the request"
    retry_after_seconds = None

    def __init__(self, ran: Ran):
        self.ran = ran
        super().__init__(self.message)
