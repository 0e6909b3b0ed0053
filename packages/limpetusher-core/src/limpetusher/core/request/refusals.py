"""Refusals of requests with an idempotency key."""

from limpetusher.core.refusals import Ran, RefusalCode
from limpetusher.core.request.witness_results import AttemptRejected

NO_QUORUM_RETRY_SECONDS = 2.0
KEY_IN_USE_RETRY_SECONDS = 5.0


def no_quorum(request_id: str) -> AttemptRejected:
    """Return the refusal of a request whose key no majority of its witnesses has recorded."""
    return AttemptRejected(
        request_id,
        503,
        RefusalCode.NO_QUORUM,
        "the idempotency key could not be registered with a majority of its witnesses; not run",
        Ran.NO,
        NO_QUORUM_RETRY_SECONDS,
    )


def key_in_use(request_id: str) -> AttemptRejected:
    """Return the refusal of a key whose earlier attempt is running or ended in an unknown state."""
    return AttemptRejected(
        request_id,
        409,
        RefusalCode.KEY_IN_USE,
        "an earlier attempt with this idempotency key is running, or it is not known whether it ran",
        Ran.UNKNOWN,
        KEY_IN_USE_RETRY_SECONDS,
    )


def key_reused(request_id: str) -> AttemptRejected:
    """Return the refusal of a key that was used before with another body."""
    return AttemptRejected(
        request_id,
        422,
        RefusalCode.KEY_REUSED,
        "this idempotency key was used before with another request; use a new key",
        Ran.NO,
    )


def already_run(request_id: str) -> AttemptRejected:
    """Return the refusal of a key whose attempt ran, when its answer can't be replayed."""
    return AttemptRejected(
        request_id,
        409,
        RefusalCode.ALREADY_RUN,
        "the request with this idempotency key has run; its answer is no longer available",
        Ran.YES,
    )
