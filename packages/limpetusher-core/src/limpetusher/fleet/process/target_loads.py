"""Load of open requests at targets, as known to their scheduler."""

from dataclasses import dataclass


@dataclass(slots=True)
class TargetLoad:
    """Load of requests that have been sent to a target and have not ended.

    `prefill_tokens` are the uncached prompt tokens of requests without a first output, `memory_tokens` the
    engine memory that all open requests may take.
    """

    requests: int = 0
    prefill_tokens: int = 0
    memory_tokens: int = 0

    def add(self, other: "TargetLoad") -> None:
        """Add another load."""
        self.requests += other.requests
        self.prefill_tokens += other.prefill_tokens
        self.memory_tokens += other.memory_tokens

    @property
    def is_empty(self) -> bool:
        """Return whether no request is open."""
        return self.requests == 0


NO_LOAD = TargetLoad()


class TargetLoads:
    """Load of open requests by target."""

    def __init__(self):
        self.by_target: dict[str, TargetLoad] = {}

    def add(self, target_id: str, load: TargetLoad) -> None:
        """Add the load of a request that is sent."""
        self.by_target.setdefault(target_id, TargetLoad()).add(load)

    def end_prefill(self, target_id: str, prefill_tokens: int) -> None:
        """Subtract the prompt tokens of a request whose prefill has ended."""
        self.by_target[target_id].prefill_tokens -= prefill_tokens

    def subtract(self, target_id: str, load: TargetLoad) -> None:
        """Subtract the load of a request that has ended."""
        total = self.by_target[target_id]
        total.add(TargetLoad(-load.requests, -load.prefill_tokens, -load.memory_tokens))
        if total.is_empty:
            del self.by_target[target_id]

    def total(self, target_id: str) -> TargetLoad:
        """Return the total load of a target; the caller must not modify it."""
        return self.by_target.get(target_id, NO_LOAD)
