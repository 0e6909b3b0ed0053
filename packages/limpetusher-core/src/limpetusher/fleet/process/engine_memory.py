"""Memory of engines: which requests fit, and which engines are kept for requests that wait for memory."""

from collections.abc import Iterable

from limpetusher.fleet.model import Engine, QueuedRequest
from limpetusher.fleet.process.pool_view import TargetView
from limpetusher.fleet.process.target_loads import TargetLoad
from limpetusher.fleet.settings import FleetSettings


def cache_capacity_tokens(engine: Engine, load: TargetLoad, settings: FleetSettings) -> float:
    """Return the capacity of an engine's prompt cache in tokens: what the open requests leave.

    Where engines transfer no cached parts, it is a fixed fraction of the memory.
    """
    if not engine.transfer_rate:
        return settings.cache_fraction * engine.memory_tokens
    return max(engine.memory_tokens - load.memory_tokens, 0)


class MemoryReservations:
    """Engines at which smaller requests don't take the memory that a waiting request needs.

    Memory that becomes free in small pieces would otherwise always go to small requests. A reservation ends
    when its request starts, is refused or withdrawn.

    Parameters
    ----------
    settings
        Constants of the placement policy.
    """

    def __init__(self, settings: FleetSettings):
        self.settings = settings
        self.by_target: dict[str, QueuedRequest] = {}

    def fits(self, state: TargetView, request: QueuedRequest, limit_tokens: float) -> bool:
        """Return whether the memory of a request fits into what an engine has left and not reserved.

        An engine without requests takes any request, as nothing running can be preempted there.
        """
        load = state.load
        reserved = self.reserved_tokens(state.target.target_id, request) if self.by_target else 0
        if not load.requests and not reserved:
            return True
        return load.memory_tokens + reserved + request.memory_tokens <= limit_tokens

    def reserved_tokens(self, target_id: str, request: QueuedRequest) -> int:
        """Return the memory that is reserved at an engine for another request."""
        holder = self.by_target.get(target_id)
        if holder is None or holder is request:
            return 0
        if not holder.is_queued:
            del self.by_target[target_id]
            return 0
        return holder.memory_tokens

    def record_shortage(self, request: QueuedRequest, states: Iterable[TargetView], now: float) -> None:
        """Record that a request finds no memory; reserve an engine if that is so for too long.

        A customer above its share gets no reservation, as its requests must not hold up those of others.
        """
        if request.memory_short_since is None:
            request.memory_short_since = now
        max_seconds = self.settings.max_overtaken_goal_fraction * request.goal_seconds
        if now < request.memory_short_since + max_seconds or request.share_used >= 1.0:
            return
        if not request.is_queued or any(holder is request for holder in self.by_target.values()):
            return
        free = [state for state in states if not self.reserved_tokens(state.target.target_id, request)]
        if free:
            chosen = min(free, key=lambda state: (state.load.memory_tokens, state.target.target_id))
            self.by_target[chosen.target.target_id] = request

    def forget(self, target_id: str) -> None:
        """Remove the reservation of an engine."""
        self.by_target.pop(target_id, None)
