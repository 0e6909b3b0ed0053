"""Transfers of cached prompt parts between engines, which can be faster than repeating the prefill."""

from dataclasses import dataclass

from limpetusher.fleet.model import Engine, Target

SETUP_SECONDS = 0.006
"""Fixed time of a transfer; the descriptions of the users' sites state 1.2 to 5.3 ms."""
REMOTE_TIME_FACTOR = 2.0
"""Time of a transfer between data centres relative to one within, as the platform states it for moves."""
MIN_SPEEDUP = 2.0
"""Minimum ratio of prefill time to transfer time at which a transfer justifies its use of the links."""


@dataclass(frozen=True, slots=True)
class TransferSource:
    """Engine that has cached part of a prompt, and the tokens that it would still have to prefill."""

    target: Target
    prefill_tokens: int


def prefill_tokens_with_transfer(
    source: TransferSource, target: Target, prefill_tokens: int, rate: float, engine: Engine
) -> int:
    """Return the load of a transfer from a source, expressed in prompt tokens to prefill.

    Parameters
    ----------
    source
        Engine that has cached part of the prompt.
    target
        Engine that runs the request.
    prefill_tokens
        Prompt tokens that the target has to prefill without a transfer. Returned unchanged if a transfer
        gains too little.
    rate
        Prefill rate of the target in tokens per second.
    engine
        Capacity of the service's engines.
    """
    tokens = prefill_tokens - source.prefill_tokens
    if tokens <= 0 or source.target.target_id == target.target_id:
        return prefill_tokens
    seconds = SETUP_SECONDS + tokens / engine.transfer_rate
    if source.target.data_centre != target.data_centre:
        seconds *= REMOTE_TIME_FACTOR
    if MIN_SPEEDUP * seconds > tokens / rate:
        return prefill_tokens
    return source.prefill_tokens + int(seconds * rate)
