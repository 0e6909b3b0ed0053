"""Errors of the router process."""

from limpetusher.core.refusals import Ran
from limpetusher.errors import LimpetusherError


class RouterError(LimpetusherError):
    """Base class of the errors of the router process."""


class RefusalError(RouterError):
    """A request that is refused before it reaches the decision core, so it did not run.

    Parameters
    ----------
    status
        Status code of the answer.
    code
        Machine-readable reason, sent in the error answer.
    message
        Description of the error and of the allowed values.
    retry_after_seconds
        Time after which the caller may retry, None if a retry would fail as well.
    """

    ran = Ran.NO

    def __init__(self, status: int, code: str, message: str, retry_after_seconds: float | None = None):
        self.status = status
        self.code = code
        self.message = message
        self.retry_after_seconds = retry_after_seconds
        super().__init__(message)


class FramingError(RefusalError):
    """A malformed HTTP/1.1 message, or one that exceeds a size limit, from a caller or a target."""


class RequestError(RefusalError):
    """A well-formed request that is refused before it reaches the decision core."""


class InternalError(RouterError):
    """An event handler raised an exception while it processed a request.

    Parameters
    ----------
    ran
        Whether the request ran at a target, as far as the router knows.
    """

    status = 500
    code = "internal_error"
    message = "an internal error ended the request"
    retry_after_seconds = None

    def __init__(self, ran: Ran):
        self.ran = ran
        super().__init__(self.message)
