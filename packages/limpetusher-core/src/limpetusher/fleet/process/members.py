"""The routers of the fleet, as far as this one has heard of them."""

from dataclasses import dataclass

from limpetusher.fleet.version.routing import stable_hash


@dataclass(slots=True)
class Member:
    """A peer. `heard_at` is None until its first message."""

    address: str
    heard_at: float | None = None
    added_at: float = 0.0


class Members:
    """Peers by address; they are found through seeds and through each other.

    Parameters
    ----------
    own
        Address at which peers reach this router; it is the router's name among peers.
    reachable_seconds
        Age of the newest message up to which a peer is reachable.
    forget_seconds
        Time without a message after which a peer is forgotten. Longer than the partitions to be
        borne, so that
        the routers' parts of fleet-wide limits stay the same while some can't hear each other.
    """

    def __init__(self, own: str, *, reachable_seconds: float = 2.0, forget_seconds: float = 60.0):
        self.own = own
        self.reachable_seconds = reachable_seconds
        self.forget_seconds = forget_seconds
        self.peers: dict[str, Member] = {}
        self.seeds: tuple[str, ...] = ()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Use other addresses to find the fleet."""
        self.seeds = tuple(seed for seed in seeds if seed != self.own)

    def heard(self, address: str, now: float) -> bool:
        """Note a message; return whether the peer was not reachable before."""
        member = self.peers.setdefault(address, Member(address, added_at=now))
        was_reachable = self.is_reachable(member, now)
        member.heard_at = now
        return not was_reachable

    def told(self, addresses: list[str], now: float) -> None:
        """Note peers that another peer knows."""
        for address in addresses:
            if address != self.own and address not in self.peers:
                self.peers[address] = Member(address, added_at=now)

    def is_reachable(self, member: Member, now: float) -> bool:
        """Return whether a peer was heard lately."""
        return member.heard_at is not None and now - member.heard_at <= self.reachable_seconds

    def reachable(self, now: float) -> list[str]:
        """Return the peers that were heard lately."""
        return [address for address, member in self.peers.items() if self.is_reachable(member, now)]

    def rank(self, now: float) -> int:
        """Return how many reachable routers come before this one in an order common to all."""
        own = stable_hash(self.own)
        return sum(stable_hash(address) < own for address in self.reachable(now))

    def forget(self, now: float) -> None:
        """Forget peers that have been silent for long."""
        for address, member in list(self.peers.items()):
            if (
                now - (member.heard_at if member.heard_at is not None else member.added_at)
                > self.forget_seconds
            ):
                del self.peers[address]

    def addressees(self) -> list[str]:
        """Return the addresses to which messages go: known peers, and seeds that may be new."""
        return list(dict.fromkeys([*self.peers, *self.seeds]))

    def routers(self) -> list[str]:
        """Return the names of all routers that share fleet-wide limits, in an order common to all."""
        heard = [address for address, member in self.peers.items() if member.heard_at is not None]
        return sorted([self.own, *heard], key=stable_hash)
