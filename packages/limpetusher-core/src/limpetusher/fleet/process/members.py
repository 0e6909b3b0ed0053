"""The routers of the fleet, as far as this one has heard of them.

Each router tells a few others, chosen at random, some of the routers that it knows. What it sends does not
grow with the fleet.
"""

import functools
import itertools
import math
import random
from dataclasses import dataclass

import msgspec

from limpetusher.fleet.messages import MemberEntry
from limpetusher.fleet.version.routing import stable_hash

GOSSIP_SECONDS = 0.4
"""Time between two rounds of gossip."""
GOSSIP_PEERS = 2
"""Routers that hear the gossip of a round."""
REMOTE_ROUNDS = 3
"""One message of each third round goes to another data centre, the others stay within the own one where they
can: the lines between data centres are slower and dearer, and each data centre still hears of each other one
from all of its routers."""
GOSSIP_ENTRIES = 40
"""Entries in one message, about 1,500 bytes."""
WELCOME_ENTRIES = 500
"""Entries in the answer to a router that is new, about 18,000 bytes."""
NEWS_ROUNDS = 4
"""Rounds in which a router that is new or back is named before others, so that all hear of it soon."""
HEARTBEAT_ROUNDS = 5
"""Rounds between two heartbeats of a router, in which most routers have heard of it."""
FRESHEST_PART = 0.7
"""Part of a message's entries that are the most recent ones; old ones bring no news to most routers."""
LIVE_SECONDS = 15.0
"""Age of the newest sign of life up to which a router counts: seven heartbeats, which take seconds to
reach all of a large fleet. Routers that stop answering are noticed sooner by those that wait for them."""
FORGET_SECONDS = 60.0
"""Time without a sign of life after which a router is no longer looked for; longer than the partitions to be
borne."""
SEED_ROUNDS = 5
"""A seed or a silent router hears the gossip of each fifth round, so that separated parts find each other."""
SUSPECT_SECONDS = 2.0
"""How long a router that has not answered is not chosen at least; a host that is slow would otherwise be
chosen and dropped by turns."""
ROSTER_SECONDS = 0.5
"""Age up to which the lists of live and sound routers are used, while nothing is heard that changes them. It
delays only what follows from the time alone, and is short against the times above."""


@dataclass(slots=True)
class Peer:
    """Another router. Times are readings of the monotonic clock."""

    entry: MemberEntry
    alive_at: float
    """When the newest sign of life came, directly or by others."""
    heard_at: float = -math.inf
    """When the newest message came from the router itself."""
    suspected_at: float = -math.inf
    suspected_until: float = -math.inf

    def is_suspected(self, now: float) -> bool:
        """Return whether the router left messages without an answer and is not trusted again."""
        return now < self.suspected_until or self.heard_at < self.suspected_at


@dataclass(slots=True)
class Roster:
    """The routers that are live at a moment, this one included, and those of them that answer."""

    made_at: float
    changes: int
    live: list[MemberEntry]
    sound: list[MemberEntry]
    ordered: list[MemberEntry]
    """The sound ones: the first of each data centre in the common order, then the second of each, ..."""


class Members:
    """Routers by address; they are found through seeds and through each other.

    Parameters
    ----------
    own
        Entry of this router.
    rng
        Source of the random choices.
    """

    def __init__(self, own: MemberEntry, *, rng: random.Random):
        self.own = own
        self.rng = rng
        self.peers: dict[str, Peer] = {}
        self.seeds: tuple[str, ...] = ()
        self.round = 0
        self.news: dict[str, int] = {}
        """Rounds in which routers are still named before others."""
        self.changes = 0
        """Counts what changes the lists of live and sound routers, apart from the time."""
        self.known_roster: Roster | None = None

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Use other addresses to find the fleet."""
        self.seeds = tuple(seed for seed in seeds if seed != self.own.address)

    def leave(self) -> None:
        """Tell the others from now on that this router is about to stop."""
        self.own = msgspec.structs.replace(self.own, is_leaving=True)
        self.changes += 1

    def merge(self, entries: tuple[MemberEntry, ...], now: float) -> list[str]:
        """Take entries from another router; return the addresses that are new or alive again."""
        news = []
        for entry in entries:
            if entry.address == self.own.address:
                self.outlive(entry.incarnation)
                continue
            peer = self.peers.get(entry.address)
            if peer is None:
                self.peers[entry.address] = Peer(entry, now)
                news.append(entry.address)
            elif entry.age_key > peer.entry.age_key:
                if not self.is_live(entry.address, now):
                    news.append(entry.address)
                if entry.incarnation > peer.entry.incarnation:
                    peer.suspected_at = peer.suspected_until = -math.inf
                    self.changes += 1
                if entry.is_leaving != peer.entry.is_leaving:
                    self.changes += 1
                peer.entry = entry
                peer.alive_at = now
        if news:
            self.news.update(dict.fromkeys(news, NEWS_ROUNDS))
            self.changes += 1
        return news

    def outlive(self, incarnation: int) -> None:
        """Take a greater incarnation than that of an earlier process, whose clock may have been ahead."""
        if incarnation > self.own.incarnation:
            self.own = msgspec.structs.replace(self.own, incarnation=incarnation + 1)

    def heard(self, address: str, now: float) -> None:
        """Note a message that came from a router itself."""
        peer = self.peers.get(address)
        if peer is not None:
            peer.alive_at = peer.heard_at = now

    def suspect(self, address: str, now: float) -> bool:
        """Note that a router has left messages without an answer; return whether that is news."""
        peer = self.peers.get(address)
        if peer is None:
            return False
        is_news = not peer.is_suspected(now)
        peer.suspected_at = now
        peer.suspected_until = now + SUSPECT_SECONDS
        self.changes += is_news
        return is_news

    def is_live(self, address: str, now: float) -> bool:
        """Return whether a router was alive lately and is not about to stop."""
        if address == self.own.address:
            return True
        peer = self.peers.get(address)
        return peer is not None and now - peer.alive_at <= LIVE_SECONDS and not peer.entry.is_leaving

    def is_suspected(self, address: str, now: float) -> bool:
        """Return whether a router has lately left messages without an answer."""
        peer = self.peers.get(address)
        return peer is not None and peer.is_suspected(now)

    def roster(self, now: float) -> Roster:
        """Return the lists of routers, renewed if they may have changed."""
        known = self.known_roster
        if known is None or known.changes != self.changes or not 0 <= now - known.made_at < ROSTER_SECONDS:
            live = [peer.entry for address, peer in self.peers.items() if self.is_live(address, now)]
            if not self.own.is_leaving:
                live.append(self.own)
            sound = [entry for entry in live if not self.is_suspected(entry.address, now)]
            self.known_roster = known = Roster(now, self.changes, live, sound, in_common_order(sound))
        return known

    def live(self, now: float, data_centre: str = "") -> list[MemberEntry]:
        """Return the live routers, this one included unless it stops, of one data centre or of all."""
        return in_data_centre(self.roster(now).live, data_centre)

    def sound(self, now: float, data_centre: str = "") -> list[MemberEntry]:
        """Return the live routers that answer, of one data centre or of all."""
        return in_data_centre(self.roster(now).sound, data_centre)

    def rank(self, now: float) -> int:
        """Return how many sound routers of the own data centre come before this one in the common order."""
        own = order_of(self.own.address)
        return sum(order_of(entry.address) < own for entry in self.sound(now, self.own.data_centre))

    def first_in_each(self, now: float) -> list[MemberEntry]:
        """Return the sound routers: the first of each data centre, then the second of each, and so on."""
        return self.roster(now).ordered

    def is_among_first(self, count: int, now: float) -> bool:
        """Return whether this router is one of the first `count` routers in that order."""
        return any(entry.address == self.own.address for entry in self.first_in_each(now)[:count])

    def gossip(self, now: float) -> tuple[tuple[MemberEntry, ...], list[str]]:
        """Begin a round; return the entries of its message and the addresses that get it."""
        self.round += 1
        if self.round % HEARTBEAT_ROUNDS == 1:
            self.own = msgspec.structs.replace(self.own, heartbeat=self.own.heartbeat + 1)
        fresh = self.fresh(now)
        entries = self.entries(fresh)
        addresses = [entry.address for entry in fresh]
        chosen = self.gossip_peers(fresh)
        if self.round % SEED_ROUNDS == 1 or not addresses:
            others = [address for address in self.seeds if address not in chosen]
            others += [address for address in self.peers if address not in addresses]
            if others:
                chosen.append(self.rng.choice(others))
        return (self.own, *entries), chosen

    def gossip_peers(self, fresh: list[MemberEntry]) -> list[str]:
        """Choose the live routers that hear the gossip of a round, most of them in the own data centre."""
        near = [entry.address for entry in fresh if entry.data_centre == self.own.data_centre]
        far = [entry.address for entry in fresh if entry.data_centre != self.own.data_centre]
        far_count = max(GOSSIP_PEERS - len(near), int(self.round % REMOTE_ROUNDS == 0))
        far_count = min(far_count, len(far))
        near_count = min(GOSSIP_PEERS - far_count, len(near))
        return self.rng.sample(far, far_count) + self.rng.sample(near, near_count)

    def fresh(self, now: float) -> list[MemberEntry]:
        """Return the other routers with a recent sign of life."""
        return [peer.entry for peer in self.peers.values() if now - peer.alive_at <= LIVE_SECONDS]

    def entries(self, fresh: list[MemberEntry]) -> tuple[MemberEntry, ...]:
        """Choose the entries of a round: routers that are new or back, then others at random."""
        named = [entry for entry in fresh if entry.address in self.news][: GOSSIP_ENTRIES - 1]
        for entry in named:
            self.news[entry.address] -= 1
            if self.news[entry.address] <= 0:
                del self.news[entry.address]
        room = GOSSIP_ENTRIES - 1 - len(named)
        addresses = {entry.address for entry in named}
        others = [entry for entry in fresh if entry.address not in addresses]
        if len(others) > room:
            others.sort(key=lambda entry: self.peers[entry.address].alive_at, reverse=True)
            freshest = others[: int(FRESHEST_PART * room)]
            others = freshest + self.rng.sample(others[len(freshest) :], room - len(freshest))
        return (*named, *others)

    def is_ahead_of(self, entries: tuple[MemberEntry, ...], now: float) -> bool:
        """Return whether the sender of a message knows so few routers that the message had room for all."""
        return 2 * len(entries) < min(GOSSIP_ENTRIES, len(self.fresh(now)))

    def welcome(self, now: float) -> tuple[MemberEntry, ...]:
        """Return the entries that a new router gets at once."""
        return (self.own, *self.fresh(now)[: WELCOME_ENTRIES - 1])

    def forget(self, now: float) -> list[str]:
        """Forget routers that have been silent for long, and return their addresses."""
        gone = [address for address, peer in self.peers.items() if now - peer.alive_at > FORGET_SECONDS]
        for address in gone:
            del self.peers[address]
            self.news.pop(address, None)
            self.changes += 1
        return gone


@functools.lru_cache(maxsize=4096)
def order_of(name: str) -> int:
    """Return a key that orders addresses or data centres alike everywhere."""
    return stable_hash(name)


def in_data_centre(entries: list[MemberEntry], data_centre: str) -> list[MemberEntry]:
    """Return the routers of one data centre, all of them if none is named."""
    return [entry for entry in entries if not data_centre or entry.data_centre == data_centre]


def in_common_order(entries: list[MemberEntry]) -> list[MemberEntry]:
    """Return the first router of each data centre, then the second of each, and so on."""
    by_data_centre: dict[str, list[MemberEntry]] = {}
    for entry in entries:
        by_data_centre.setdefault(entry.data_centre, []).append(entry)
    for column in by_data_centre.values():
        column.sort(key=lambda entry: order_of(entry.address))
    columns = [by_data_centre[name] for name in sorted(by_data_centre, key=order_of)]
    return [entry for row in itertools.zip_longest(*columns) for entry in row if entry is not None]
