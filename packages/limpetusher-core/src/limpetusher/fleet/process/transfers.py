"""Transfers of kept prompt parts between engines, which take less time than reading the parts again."""

from dataclasses import dataclass

from limpetusher.fleet.model import Engine, Target

SETUP_SECONDS = 0.006
"""Time of a transfer without any tokens; 1.2 to 5.3 ms by the descriptions of the users' sites."""
REMOTE_FACTOR = 2.0
"""Time of a transfer to another data centre relative to one within; the platform states it for moves."""
LEAST_GAIN = 2.0
"""Time of reading relative to that of a transfer from which on a transfer is worth its use of the links."""


@dataclass(frozen=True, slots=True)
class Source:
    """An engine that keeps part of a prompt, and the prompt tokens that it would still have to read."""

    target: Target
    unread_tokens: int


def transferred_tokens(source: Source, target: Target, unread: int, rate: float, engine: Engine) -> int:
    """Return the load on an engine that takes what a source keeps, as prompt tokens that it could have read.

    Parameters
    ----------
    source
        The engine that keeps part of the prompt.
    target
        The engine that is to run the request.
    unread
        Prompt tokens that the target would have to read by itself, which is also returned where a transfer
        gains too little.
    rate
        Prompt tokens that the target reads in a second.
    engine
        Capacity of the service's engines.
    """
    tokens = unread - source.unread_tokens
    if tokens <= 0 or source.target.target_id == target.target_id:
        return unread
    seconds = SETUP_SECONDS + tokens / engine.transfer_rate
    if source.target.data_centre != target.data_centre:
        seconds *= REMOTE_FACTOR
    if LEAST_GAIN * seconds > tokens / rate:
        return unread
    return source.unread_tokens + int(seconds * rate)
