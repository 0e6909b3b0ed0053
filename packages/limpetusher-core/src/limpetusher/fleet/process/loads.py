"""Work that is open at targets, as their scheduler knows it."""

from dataclasses import dataclass


@dataclass(slots=True)
class OpenWork:
    """Work that has been sent to a target and not ended.

    `unread_tokens` are prompt tokens of requests whose first output has not come, `memory_tokens` the engine
    memory that all open requests may take.
    """

    requests: int = 0
    unread_tokens: int = 0
    memory_tokens: int = 0

    def add(self, other: "OpenWork") -> None:
        """Add another sum."""
        self.requests += other.requests
        self.unread_tokens += other.unread_tokens
        self.memory_tokens += other.memory_tokens

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is open."""
        return self.requests == 0


NOTHING = OpenWork()


class Loads:
    """Open work by target."""

    def __init__(self):
        self.work: dict[str, OpenWork] = {}

    def start(self, target_id: str, work: OpenWork) -> None:
        """Count a request that is sent."""
        self.work.setdefault(target_id, OpenWork()).add(work)

    def read(self, target_id: str, unread_tokens: int) -> None:
        """Note that a request's prompt has been read."""
        self.work[target_id].unread_tokens -= unread_tokens

    def end(self, target_id: str, work: OpenWork) -> None:
        """Forget a request that has ended."""
        total = self.work[target_id]
        total.add(OpenWork(-work.requests, -work.unread_tokens, -work.memory_tokens))
        if total.is_empty:
            del self.work[target_id]

    def total(self, target_id: str) -> OpenWork:
        """Return the open work at a target; the caller must not change it."""
        return self.work.get(target_id, NOTHING)
