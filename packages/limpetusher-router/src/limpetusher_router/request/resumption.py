"""Going on with a stream after its connection broke: the engine keeps the stream for a short time."""

from limpetusher_router.connection.framing import AnswerHead
from limpetusher_router.events import REQUESTS, Attempt, AttemptEnd
from limpetusher_router.request.exchange import Exchange

MAXIMUM_RESUMPTIONS = 3
RESUMED_IDLE_SECONDS = 10.0
BOOT_HEADER = "x-engine-boot-id"


def may_resume(exchange: Exchange, end: AttemptEnd) -> bool:
    """Return whether it is worth asking the engine for the rest of a stream that broke."""
    attempt = exchange.attempt
    relay = attempt.relay
    return (
        end is AttemptEnd.CUT
        and exchange.request.is_engine
        and relay is not None
        and relay.is_stream
        and relay.head.status == 200
        and not exchange.caller_lost
        and attempt.resumptions < MAXIMUM_RESUMPTIONS
    )


def resumption(exchange: Exchange) -> Attempt:
    """Return the exchange that asks for the events that have not been passed on.

    A part of an event that arrived before the break is dropped; the engine sends that event again.
    """
    attempt = exchange.attempt
    attempt.resumptions += 1
    attempt.resuming = True
    attempt.relay.held.clear()
    path = f"/streams/{exchange.request_id}?from={attempt.relay.events}"
    return Attempt(
        key=(exchange.request_id, attempt.number),
        channel=REQUESTS,
        address=attempt.address,
        request=f"GET {path} HTTP/1.1\r\nhost: {attempt.address}\r\n\r\n".encode("latin-1"),
        idle_seconds=RESUMED_IDLE_SECONDS,
    )


def continues(exchange: Exchange, head: AnswerHead) -> bool:
    """Return whether an answer goes on with the stream; another start of the engine has another stream."""
    relay = exchange.attempt.relay
    return (
        head.status == 200
        and head.content_type == relay.head.content_type
        and head.headers.get(BOOT_HEADER) == relay.head.headers.get(BOOT_HEADER)
    )
