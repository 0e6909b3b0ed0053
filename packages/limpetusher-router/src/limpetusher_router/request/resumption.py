"""Resumption of a stream whose connection broke; engines keep the events of a stream for a short time."""

from limpetusher_router.connection.framing import AnswerHead
from limpetusher_router.events import REQUESTS, Attempt, AttemptResult
from limpetusher_router.request.context import RequestContext

MAXIMUM_RESUMPTIONS = 3
RESUMED_IDLE_SECONDS = 10.0
BOOT_ID_HEADER = "x-engine-boot-id"


def can_resume(context: RequestContext, end: AttemptResult) -> bool:
    """Return whether the engine can be asked for the rest of a stream that was cut."""
    attempt = context.attempt
    relay = attempt.relay
    return (
        end is AttemptResult.CUT
        and context.request.is_engine
        and relay is not None
        and relay.is_stream
        and relay.head.status == 200
        and not context.caller_disconnected
        and attempt.resumptions < MAXIMUM_RESUMPTIONS
    )


def build_resumption_attempt(context: RequestContext) -> Attempt:
    """Return the attempt that requests the events that were not forwarded, and count the resumption.

    An incomplete event that arrived before the cut is discarded; the engine sends that event again.
    """
    attempt = context.attempt
    attempt.resumptions += 1
    attempt.resuming = True
    attempt.relay.buffer.clear()
    path = f"/streams/{context.request_id}?from={attempt.relay.event_count}"
    return Attempt(
        key=(context.request_id, attempt.number),
        channel=REQUESTS,
        address=attempt.address,
        request=f"GET {path} HTTP/1.1\r\nhost: {attempt.address}\r\n\r\n".encode("latin-1"),
        idle_timeout_seconds=RESUMED_IDLE_SECONDS,
    )


def continues_stream(context: RequestContext, head: AnswerHead) -> bool:
    """Return whether an answer continues the stream; a restarted engine would send another stream."""
    relay = context.attempt.relay
    return (
        head.status == 200
        and head.content_type == relay.head.content_type
        and head.headers.get(BOOT_ID_HEADER) == relay.head.headers.get(BOOT_ID_HEADER)
    )
