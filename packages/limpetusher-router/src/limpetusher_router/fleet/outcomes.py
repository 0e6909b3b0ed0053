"""What the end of an attempt at a target means for its request and for the target."""

from dataclasses import dataclass

from limpetusher.fleet.messages import Outcome
from limpetusher_router.events import AttemptEnd
from limpetusher_router.fleet.exchange import Exchange, TargetAttempt
from limpetusher_router.platform.requests import announced_rest, is_sealed, says_not_run

SERVER_ERRORS = range(500, 600)
MAXIMUM_SENDS = 4
STREAM_PAUSE_SECONDS = 1.5
"""Pause after which a resumable stream goes on at another target; callers abandon a stream after 2 s."""
SILENT_GOALS = 1.0
"""Goals after which a repeatable request without any output goes to another target."""
LEAST_SILENT_SECONDS = 0.25
"""Several times what a target needs for a short answer, so that a short goal causes no needless repeats."""


@dataclass(frozen=True, slots=True)
class Failure:
    """An attempt that brought no answer of its target.

    `arrived` tells whether the target got any of the request, `is_unreachable` whether no answer came at all.
    """

    reason: str
    may_have_run: bool
    arrived: bool = True
    is_unreachable: bool = False


def failure_of(attempt: TargetAttempt, end: AttemptEnd, detail: str) -> Failure | None:
    """Return why an attempt failed, None for a whole answer of its target."""
    head = attempt.head
    if end in (AttemptEnd.UNREACHABLE, AttemptEnd.EXPIRED):
        return Failure(f"not sent: {detail}", may_have_run=False, arrived=False, is_unreachable=True)
    if end is AttemptEnd.CUT or head is None:
        return Failure(f"cut: {detail}", may_have_run=True, is_unreachable=head is None)
    if says_not_run(head):
        return Failure(f"rejected with {head.status}", may_have_run=False)
    if not is_sealed(head) and head.status not in SERVER_ERRORS:
        return Failure("answer without seal", may_have_run=True)
    return None


def silence_limit(exchange: Exchange) -> float:
    """Return how long the target of an exchange may be silent, in seconds."""
    if exchange.attempt.has_output:
        return STREAM_PAUSE_SECONDS
    return max(LEAST_SILENT_SECONDS, SILENT_GOALS * exchange.route.goal_seconds)


def can_repeat(exchange: Exchange) -> bool:
    """Return whether a request that may have run may be sent again, apart from the budget."""
    route = exchange.route
    return (
        route.is_idempotent
        and exchange.possible_runs < route.attempts
        and exchange.sends < MAXIMUM_SENDS
        and (not exchange.answer_begun or route.is_resumable)
    )


def outcome_of(attempt: TargetAttempt, failure: Failure | None) -> Outcome:
    """Return what an attempt tells about its target; being busy for a while is no failure."""
    if failure is None:
        return Outcome.FAILED if attempt.head.status in SERVER_ERRORS else Outcome.ANSWERED
    if failure.is_unreachable:
        return Outcome.UNREACHABLE
    if attempt.head is not None and announced_rest(attempt.head) > 0:
        return Outcome.ANSWERED
    return Outcome.FAILED
