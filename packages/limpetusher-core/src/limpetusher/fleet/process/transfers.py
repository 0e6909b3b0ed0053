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


class TransferQueues:
    """Transfers that engines have been asked for and that are not complete yet, by their source.

    An engine sends the parts for one request after those for another.
    """

    def __init__(self):
        self.free_at: dict[str, float] = {}

    def queued_seconds(self, source_id: str, now: float) -> float:
        """Return the time until a source has sent what it was asked for."""
        return max(0.0, self.free_at.get(source_id, now) - now)

    def record(self, source_id: str, seconds: float, now: float) -> None:
        """Record a transfer that takes `seconds`."""
        self.free_at[source_id] = now + self.queued_seconds(source_id, now) + seconds

    def forget(self, source_id: str) -> None:
        """Remove the state of an engine."""
        self.free_at.pop(source_id, None)


def transfer_seconds(source: Target, target: Target, tokens: int, engine: Engine) -> float:
    """Return the duration of a transfer of cached prompt tokens."""
    seconds = SETUP_SECONDS + tokens / engine.transfer_rate
    return seconds * REMOTE_TIME_FACTOR if source.data_centre != target.data_centre else seconds


def prefill_tokens_with_transfer(
    source: TransferSource,
    target: Target,
    prefill_tokens: int,
    rate: float,
    engine: Engine,
    queued_seconds: float = 0.0,
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
    queued_seconds
        Time until the source has sent what it was asked for before.
    """
    tokens = prefill_tokens - source.prefill_tokens
    if tokens <= 0 or source.target.target_id == target.target_id:
        return prefill_tokens
    seconds = queued_seconds + transfer_seconds(source.target, target, tokens, engine)
    if MIN_SPEEDUP * seconds > tokens / rate:
        return prefill_tokens
    return source.prefill_tokens + int(seconds * rate)
