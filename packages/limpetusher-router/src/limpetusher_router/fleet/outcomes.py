"""Classification of how attempts end, and the rules for retrying a request."""

from dataclasses import dataclass

from limpetusher.fleet.messages import Outcome
from limpetusher_router.connection.framing import AnswerHead
from limpetusher_router.events import AttemptResult
from limpetusher_router.fleet.exchange import EVENT_STREAM, Exchange, TargetAttempt
from limpetusher_router.platform import names
from limpetusher_router.platform.requests import (
    has_seal,
    requested_backoff_seconds,
    states_not_run,
    would_deny_run,
)

SUCCESS_STATUSES = range(200, 300)
SERVER_ERROR_STATUSES = range(500, 600)
MAXIMUM_ATTEMPTS_PER_REQUEST = 4
STREAM_SILENCE_SECONDS = 1.5
"""Silence after which a resumable stream moves to another target; callers abandon a stream after 2 s."""
SILENCE_GOAL_FACTOR = 1.0
"""Silence before the first output, as a multiple of the route's goal, after which a request is retried."""
MINIMUM_SILENCE_SECONDS = 0.25
"""Several times what a target needs for a short answer, so that a short goal causes no needless retries."""


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """Why an attempt ended without a valid answer of its target.

    Attributes
    ----------
    reason
        Description for the log; the part before a colon is the label in metrics.
    may_have_run
        Whether the target may have run the request.
    request_arrived
        Whether the target may have received any part of the request.
    is_unreachable
        Whether the target could not be reached or sent no answer at all.
    is_cut
        Whether the target has broken the connection before the end of the answer.
    is_local
        Whether this process could not start the attempt, which says nothing of the target.
    """

    reason: str
    may_have_run: bool
    request_arrived: bool = True
    is_unreachable: bool = False
    is_cut: bool = False
    is_local: bool = False


def classify_failure(
    attempt: TargetAttempt, end: AttemptResult, detail: str, *, request_id: str = ""
) -> AttemptFailure | None:
    """Return why an attempt failed, None for a complete answer of its target.

    A rejection without `request_id`, the identifier of the request, may be one of an earlier request that
    the target has sent again.
    """
    head = attempt.head
    if end is AttemptResult.NOT_STARTED:
        return AttemptFailure(f"not sent: {detail}", may_have_run=False, request_arrived=False, is_local=True)
    if end in (AttemptResult.UNREACHABLE, AttemptResult.EXPIRED):
        return AttemptFailure(
            f"not sent: {detail}", may_have_run=False, request_arrived=False, is_unreachable=True
        )
    if end is AttemptResult.CUT or head is None:
        return AttemptFailure(
            f"cut: {detail}",
            may_have_run=True,
            is_unreachable=head is None,
            is_cut=end is AttemptResult.CUT,
        )
    if states_not_run(head) and request_id and names.REQUEST_ID not in head.headers:
        return AttemptFailure("rejected without the identifier of the request", may_have_run=True)
    if states_not_run(head):
        return AttemptFailure(f"rejected with {head.status}", may_have_run=False)
    if would_deny_run(head):
        return AttemptFailure(f"{head.status} without a statement that it has not run", may_have_run=True)
    if not has_usable_body(head):
        return AttemptFailure("answer without seal", may_have_run=True)
    return None


def has_usable_body(head: AnswerHead) -> bool:
    """Return whether the body of an answer may reach a caller, as `classify_failure` decides at its end."""
    if states_not_run(head) or would_deny_run(head):
        return False
    return has_seal(head) or head.status in SERVER_ERROR_STATUSES


def lacks_request_id(head: AnswerHead, request_id: str) -> bool:
    """Return whether a sealed success lacks the identifier of its request; it may be that of another one."""
    return (
        head.status in SUCCESS_STATUSES
        and has_seal(head)
        and bool(request_id)
        and not states_not_run(head)
        and names.REQUEST_ID not in head.headers
    )


def silence_timeout(exchange: Exchange) -> float:
    """Return how long the target of an exchange may stay silent, in seconds."""
    if exchange.attempt.has_output:
        return STREAM_SILENCE_SECONDS
    return max(MINIMUM_SILENCE_SECONDS, SILENCE_GOAL_FACTOR * exchange.route.goal_seconds)


def is_silent(exchange: Exchange, now: float) -> bool:
    """Return whether the target of an exchange has been silent for too long."""
    attempt = exchange.attempt
    return (
        attempt is not None
        and not exchange.is_caller_blocked
        and now - attempt.last_received_at >= silence_timeout(exchange)
    )


def can_retry(exchange: Exchange) -> bool:
    """Return whether a request that may have run may be sent again, leaving aside the retry budget.

    Only a stream of numbered events can be continued once its caller has received a part of the answer.
    """
    route = exchange.route
    relay = exchange.relay
    return (
        route.is_idempotent
        and exchange.possible_runs < route.attempts
        and exchange.attempt_count < MAXIMUM_ATTEMPTS_PER_REQUEST
        and (
            not exchange.is_head_sent or (route.is_resumable and relay.is_numbered and relay.event_count > 0)
        )
    )


def target_outcome(attempt: TargetAttempt, failure: AttemptFailure | None) -> Outcome:
    """Return the outcome that is counted for the target.

    A rejection with a back-off is no failure, nor does it show that the target survives the request.
    """
    if failure is None:
        return Outcome.FAILED if attempt.head.status in SERVER_ERROR_STATUSES else Outcome.ANSWERED
    if failure.is_cut:
        is_stream = attempt.head is not None and attempt.head.content_type == EVENT_STREAM
        has_begun = attempt.has_output or (attempt.head is not None and not is_stream)
        return Outcome.BROKEN_OFF if has_begun else Outcome.CUT
    if failure.is_local:
        return Outcome.WITHDRAWN
    if failure.is_unreachable:
        return Outcome.UNREACHABLE
    is_rejected = attempt.head is not None and states_not_run(attempt.head)
    if is_rejected and requested_backoff_seconds(attempt.head) > 0:
        return Outcome.REJECTED
    return Outcome.FAILED
