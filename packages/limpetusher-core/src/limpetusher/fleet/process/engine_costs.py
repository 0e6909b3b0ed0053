"""Costs of the engines that may run a request: expected time to first output, and time taken from others.

An engine that has cached the prefix of a prompt answers sooner, unless the wait there is longer than what
the cache saves. While capacity is scarce, prefill that another engine would not need is charged in addition,
as it takes time from other requests. Costs are seconds. The module only calculates: the caller passes in the
state of the engines.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from limpetusher.fleet.model import EngineBasis, QueuedRequest
from limpetusher.fleet.process.pool_view import PoolView, SessionEngine, TargetView
from limpetusher.fleet.settings import FleetSettings

LATE_COST = 100.0
"""Cost of an engine that a request can't start at in time, so that it is chosen only if no other one is left.
Lower than the cost of a target with a high error rate."""
MIN_WEIGHING_INTERVAL_SECONDS = 0.01
"""Minimum time after which a waiting request is weighed again shortly before its latest start."""
WEIGHING_INTERVAL_SECONDS = 0.05
"""Minimum time after which other waiting requests are weighed again, which bounds the work of the runs."""
LAST_WEIGHING_SECONDS = 0.02
"""Time before the latest start of a request at which it is weighed once more."""


@dataclass(slots=True)
class EngineCosts:
    """Weighing of the candidate engines of one request.

    Parameters
    ----------
    request
        The request.
    least_prefill_tokens
        Lowest number of prompt tokens that one of the candidates has to prefill.
    avoidable_weight
        Additional cost of prefill beyond that number, relative to the prefill itself.
    burst_seconds
        Maximum duration of a burst.
    burst_factor
        Length to which the customer of the request may extend a burst, relative to a full one.
    now
        Reading of the monotonic clock.
    session_engines
        Number of engines, in the session's order, that may hold its parts without a charge.
    """

    request: QueuedRequest
    least_prefill_tokens: int
    avoidable_weight: float
    burst_seconds: float
    burst_factor: float
    now: float
    session_engines: int = 1

    @classmethod
    def of(
        cls,
        request: QueuedRequest,
        engines: Iterable[SessionEngine],
        view: PoolView,
        settings: FleetSettings,
        session_engines: int = 1,
    ) -> "EngineCosts":
        """Return the weighing of a request's candidates.

        A request whose customer gets too little is charged less for avoidable prefill: fairness comes first.
        """
        weight = view.scarcity * settings.avoidable_token_cost * request.patience
        factor = 1.0
        if view.is_scarce:
            factor += settings.burst_extension_fraction * max(0.0, 1.0 - request.share_used)
        least = max(request.prompt_tokens - max([engine.cached_tokens for engine in engines]), 1)
        return cls(request, least, weight, view.burst_seconds, factor, view.now, session_engines)

    def seconds(self, state: TargetView, prefill_tokens: int, rank: int) -> float:
        """Return the cost of an engine that has to prefill so many tokens of the request.

        `rank` is the position of the engine in the session's order. The parts of a session in high demand are
        wanted at several engines, so these are not charged for them.
        """
        rate = state.speed.rate
        own = prefill_tokens / rate
        if self.session_engines == 1 or rank >= self.session_engines:
            own += self.avoidable_weight * (prefill_tokens - self.least_prefill_tokens) / rate
        ahead = state.load.prefill_tokens / rate
        room = self.burst_seconds * rate * self.burst_factor - state.burst_tokens
        if state.admits_prompt and (prefill_tokens <= room or not state.burst_tokens):
            return ahead + own
        wait = state.burst_wait_seconds
        # The tokens ahead are prefilled during the wait.
        seconds = max(wait, ahead) + own
        return seconds + LATE_COST if self.now + wait > self.request.latest_start_at else seconds


def engine_basis(request: QueuedRequest, engine: SessionEngine) -> EngineBasis:
    """Return how an engine gets the shared prompt parts of a request."""
    if engine.source_id:
        return EngineBasis.TRANSFERRED
    if engine.cached_tokens > 0:
        return EngineBasis.CACHED
    return EngineBasis.PREFILLED if len(request.parts) > 1 else EngineBasis.UNKNOWN


def next_weighing(request: QueuedRequest, wait_seconds: float, now: float) -> float:
    """Return the time at which a request that waits for an engine is weighed again."""
    seconds = min(
        max(wait_seconds, WEIGHING_INTERVAL_SECONDS), request.latest_start_at - now - LAST_WEIGHING_SECONDS
    )
    return now + max(seconds, MIN_WEIGHING_INTERVAL_SECONDS)
