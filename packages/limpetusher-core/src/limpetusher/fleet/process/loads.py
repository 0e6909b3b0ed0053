"""Open work at targets: the router's own, and that of its peers by their reports."""

from dataclasses import dataclass, field

from limpetusher.fleet.process.shares import WaitingWork


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


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """Newest report of a peer.

    Open work by target, served tokens by customer, what waits by service and customer, and measured reading
    rates by target and by service in tokens a second.
    """

    received_at: float
    work: dict[str, OpenWork] = field(default_factory=dict)
    served: dict[str, float] = field(default_factory=dict)
    waiting: dict[str, dict[str, WaitingWork]] = field(default_factory=dict)
    rates: dict[str, float] = field(default_factory=dict)


class Loads:
    """Open work of the fleet by target.

    Parameters
    ----------
    report_lifetime_seconds
        Age at which a peer's report no longer counts.
    """

    def __init__(self, *, report_lifetime_seconds: float = 2.0):
        self.report_lifetime_seconds = report_lifetime_seconds
        self.own: dict[str, OpenWork] = {}
        self.peers: dict[str, PeerLoad] = {}
        self.sums: dict[str, OpenWork] = {}

    def start(self, target_id: str, work: OpenWork) -> None:
        """Count a request that is sent."""
        self.own.setdefault(target_id, OpenWork()).add(work)

    def read(self, target_id: str, unread_tokens: int) -> None:
        """Note that a request's prompt has been read."""
        self.own[target_id].unread_tokens -= unread_tokens

    def end(self, target_id: str, work: OpenWork) -> None:
        """Forget a request that has ended."""
        own = self.own[target_id]
        own.add(OpenWork(-work.requests, -work.unread_tokens, -work.memory_tokens))
        if own.is_empty:
            del self.own[target_id]

    def report(self, peer: str, load: PeerLoad) -> None:
        """Take a peer's report."""
        self.peers[peer] = load
        self.sum_up(load.received_at)

    def sum_up(self, now: float) -> None:
        """Drop reports that are too old and add up the others."""
        oldest = now - self.report_lifetime_seconds
        self.peers = {peer: load for peer, load in self.peers.items() if load.received_at >= oldest}
        self.sums = {}
        for load in self.peers.values():
            for target_id, work in load.work.items():
                self.sums.setdefault(target_id, OpenWork()).add(work)

    def total(self, target_id: str) -> OpenWork:
        """Return the open work of all routers at a target."""
        total = OpenWork()
        for part in (self.own.get(target_id), self.sums.get(target_id)):
            if part is not None:
                total.add(part)
        return total
