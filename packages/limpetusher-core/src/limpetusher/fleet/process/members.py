"""Gossip-based membership of the routers in the fleet.

In each round a router sends a bounded number of the entries that it knows to a few random peers, so its
gossip traffic does not grow with the fleet.
"""

import functools
import itertools
import math
import random
from dataclasses import dataclass

import msgspec

from limpetusher.fleet.messages import MemberEntry, MemberSilences
from limpetusher.fleet.version.routing import stable_hash

GOSSIP_INTERVAL_SECONDS = 0.4
"""Interval between two gossip rounds."""
GOSSIP_FANOUT = 2
"""Number of routers that receive the gossip of a round."""
REMOTE_GOSSIP_INTERVAL_ROUNDS = 3
"""Every third round, one message goes to another data centre; all others stay within the local one if it has
enough routers. Links between data centres are slower and cost more, and all routers of a data centre together
still keep the other data centres informed."""
MAX_GOSSIP_ENTRIES = 40
"""Maximum number of entries in one message, about 1,500 bytes."""
MAX_TOLD_SILENCES = 20
"""Maximum number of silences in one message, so that it fits into a datagram."""
MAX_JOIN_ENTRIES = 500
"""Maximum number of entries sent to a router that joins, about 18,000 bytes."""
PRIORITY_ROUNDS = 4
"""Rounds in which the entry of a new or returning router takes precedence, so that it spreads quickly."""
HEARTBEAT_INTERVAL_ROUNDS = 5
"""Rounds between two heartbeats of a router, enough for one heartbeat to reach most routers."""
RECENT_ENTRIES_FRACTION = 0.7
"""Fraction of a message reserved for the most recently updated entries; most receivers already have the
others."""
LIVENESS_TIMEOUT_SECONDS = 15.0
"""A router counts as live for this long after its last sign of life. Covers seven heartbeats, since one takes
seconds to reach all of a large fleet. Routers that wait for an answer detect a failure sooner."""
FORGET_TIMEOUT_SECONDS = 60.0
"""Time without a sign of life after which a router is removed; longer than any partition that
has to be survived."""
LOST_SECONDS = 120.0
"""Time without a sign of life after which a router that was not about to stop is taken to have stopped. Until
then it may be cut off and serve by an old list of targets."""
SEED_INTERVAL_ROUNDS = 5
"""Every fifth round, gossip also goes to a seed or a silent router, so that a partition heals."""
MIN_SUSPICION_SECONDS = 2.0
"""Minimum time for which an unresponsive router is avoided; without it, a slow host alternates between chosen
and suspected."""
CATCH_UP_SECONDS = 5.0
"""Time after a silence in which a router may not have read the changes of the store that it has missed."""
CUT_SECONDS = 10.0
"""Silence from which on a router that has restarted may have served before, cut off from the others. One that
was killed is usually back sooner."""
ALONE_SECONDS = 2.0
"""Time after a router was found within which it finds others itself, some gossip rounds."""
CUT_OFF_SECONDS = 2.0
"""Time without a message of any router after which this one may be cut off; some come in each second."""
CUT_OFF_ELSEWHERE_SECONDS = 3.0
"""Time without a sign of life from other data centres after which this one may be cut off from them. A router
gets a message of them at random, once a second on average, and their heartbeats through others of its own."""
ASSUMED_SCHEDULERS = 16
"""Number of routers that a router which has found no other one takes to be in the same state. It can't count
them, as seeds name a few machines of a fleet of any size. With 16, up to 19 such routers stay below what a
cold target tolerates that takes 22 requests a second."""
SNAPSHOT_MAX_AGE_SECONDS = 0.5
"""Maximum age of a cached snapshot if no membership change has occurred. Only delays changes caused by
timeouts, which are much longer."""


@dataclass(slots=True)
class Peer:
    """Another router. Times are readings of the monotonic clock."""

    entry: MemberEntry
    last_alive_at: float
    """Time of the last sign of life, received directly or through other routers."""
    last_message_at: float = -math.inf
    """Time of the last message received from the router itself."""
    suspected_at: float = -math.inf
    suspected_until: float = -math.inf
    silent_until: float = -math.inf
    """When a sign of life came after it had not counted as live."""
    found_at: float = -math.inf
    """When its process was found, which may not have known of other routers until then."""
    silent_since: float = math.inf
    """Time of the last sign of life before it was suspected or did not count as live."""

    def record_alive(self, now: float) -> None:
        """Record a sign of life."""
        if now - self.last_alive_at > LIVENESS_TIMEOUT_SECONDS:
            self.note_silence()
            self.silent_until = now
        self.last_alive_at = now

    def note_silence(self) -> None:
        """Record a silence since the last sign of life, which may go on one that was hardly interrupted."""
        is_continued = self.last_alive_at <= max(self.suspected_at, self.silent_until) + CATCH_UP_SECONDS
        since = self.silent_since if is_continued else math.inf
        self.silent_since = min(since, self.last_alive_at)

    def record_restart(self, now: float) -> None:
        """Record that another process of the router was found, which knows of the fleet what it has read.

        Streams that the process before began during a long silence may still be taken up.
        """
        was_cut = now - self.last_alive_at > CUT_SECONDS
        if was_cut:
            self.note_silence()
        self.suspected_at = self.suspected_until = -math.inf
        self.silent_until = now if was_cut else -math.inf
        self.found_at = now

    def record_told_silence(self, since: float, until: float) -> None:
        """Record a silence that another router has noticed."""
        self.silent_since = min(self.silent_since, since)
        self.silent_until = max(self.silent_until, until)

    def is_suspected(self, now: float) -> bool:
        """Return whether the router has left messages unanswered and has not been heard since."""
        return now < self.suspected_until or self.last_message_at < self.suspected_at


@dataclass(slots=True)
class Contact:
    """When other routers, whichever, have shown signs of life."""

    max_silence_seconds: float
    heard_at: float = -math.inf
    silent_until: float = -math.inf
    """When one came after the last long silence."""
    silent_since: float = math.inf
    """When the last one had come before it."""

    def record(self, now: float) -> None:
        """Record a sign of life."""
        if -math.inf < self.heard_at < now - self.max_silence_seconds:
            is_continued = self.heard_at <= self.silent_until + CATCH_UP_SECONDS
            self.silent_since = min(self.silent_since if is_continued else math.inf, self.heard_at)
            self.silent_until = now
        self.heard_at = now

    def lost_since(self, since: float, now: float) -> float:
        """Return when the silence began of which `was_lost` tells, infinite if there was none.

        It is also infinite if there was no sign of life before.
        """
        began_at = self.silent_since if self.silent_until >= since else math.inf
        if -math.inf < self.heard_at < now - self.max_silence_seconds:
            began_at = min(began_at, self.heard_at)
        return began_at

    def was_lost(self, since: float, now: float) -> bool:
        """Return whether there was a long silence since a time, or is one now."""
        had_silence = self.silent_until >= since and math.isfinite(self.silent_until)
        return had_silence or self.heard_at < now - self.max_silence_seconds


@dataclass(slots=True)
class MembershipSnapshot:
    """Live routers at one time, including this one unless it stops, and the responsive ones."""

    created_at: float
    changes: int
    live: list[MemberEntry]
    responsive: list[MemberEntry]
    interleaved: list[MemberEntry]
    """Responsive routers, interleaved by data centre: the first of each, then the second of each, and so
    on."""


class Members:
    """Routers by address, discovered through seeds and gossip.

    Parameters
    ----------
    own
        Entry of this router.
    rng
        Random number generator for the choice of peers and entries.
    is_first_start
        Whether the whole fleet starts for the first time.
    """

    def __init__(self, own: MemberEntry, *, rng: random.Random, is_first_start: bool = False):
        self.own = own
        self.rng = rng
        self.is_first_start = is_first_start
        self.peers: dict[str, Peer] = {}
        self.lost: dict[str, Peer] = {}
        """Removed routers that were not about to stop, until they are taken to have stopped, and routers of
        whose silence others have told."""
        self.announced_silences: set[str] = set()
        """Routers out of contact of which those that were found since have been told."""
        self.seeds: tuple[str, ...] = ()
        self.round = 0
        self.priority_rounds: dict[str, int] = {}
        """Remaining rounds in which the entry of a router takes precedence, by address."""
        self.contact = Contact(CUT_OFF_SECONDS)
        self.contact_elsewhere = Contact(CUT_OFF_ELSEWHERE_SECONDS)
        """Contact with routers of other data centres, also through others of the own one."""
        self.changes = 0
        """Number of membership changes, apart from timeouts; a snapshot is valid for one value."""
        self.cached_snapshot: MembershipSnapshot | None = None

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the addresses used to discover the fleet."""
        self.seeds = tuple(seed for seed in seeds if seed != self.own.address)

    def set_load(self, load: int) -> None:
        """Set the load of this router, which its next heartbeat states."""
        self.own = msgspec.structs.replace(self.own, load=load)

    def leave(self) -> None:
        """Announce in all further gossip that this router is about to stop."""
        self.own = msgspec.structs.replace(self.own, is_leaving=True)
        self.changes += 1

    def merge(self, entries: tuple[MemberEntry, ...], now: float) -> list[str]:
        """Merge entries from another router; return the addresses that are new or live again."""
        new_addresses = []
        for entry in entries:
            if entry.address == self.own.address:
                self.supersede_incarnation(entry.incarnation)
                continue
            peer = self.peers.get(entry.address)
            if peer is None:
                self.peers[entry.address] = self.find_again(entry, now)
                new_addresses.append(entry.address)
            elif entry.freshness_key > peer.entry.freshness_key:
                if not self.is_live(entry.address, now):
                    new_addresses.append(entry.address)
                if entry.incarnation > peer.entry.incarnation:
                    peer.record_restart(now)
                    self.changes += 1
                peer.record_alive(now)
                if entry.is_leaving != peer.entry.is_leaving:
                    self.changes += 1
                peer.entry = entry
                self.note_contact_elsewhere(entry, now)
        if new_addresses:
            self.priority_rounds.update(dict.fromkeys(new_addresses, PRIORITY_ROUNDS))
            self.changes += 1
        return new_addresses

    def find_again(self, entry: MemberEntry, now: float) -> Peer:
        """Return a router that is not known, or the one that was removed, with the silence since then."""
        lost = self.lost.pop(entry.address, None)
        if lost is None:
            return Peer(entry, now, found_at=now)
        if lost.entry.incarnation == entry.incarnation:
            lost.note_silence()
            lost.silent_until = now
        else:
            lost.record_restart(now)
        lost.last_alive_at = now
        lost.entry = entry
        return lost

    def silences(self, now: float) -> list[MemberSilences]:
        """Return messages with the routers that are out of contact, or were so lately."""
        found = []
        for peer in (*self.peers.values(), *self.lost.values()):
            is_lost = peer.entry.address in self.lost or self.is_silent(peer, now)
            if is_lost or peer.is_suspected(now):
                found.append((peer.entry, now - peer.last_alive_at, 0.0))
            elif self.was_out_of_reach(peer, now - LOST_SECONDS, now):
                until = max(peer.suspected_at, peer.silent_until)
                found.append((peer.entry, now - min(peer.silent_since, until), now - until))
        return [
            MemberSilences(tuple(found[first : first + MAX_TOLD_SILENCES]))
            for first in range(0, len(found), MAX_TOLD_SILENCES)
        ]

    def unannounced_silences(self, now: float) -> list[tuple[MemberSilences, list[str]]]:
        """Return messages with new silences, each with the routers that were found since the silence began.

        Others have noticed it themselves, or were told when they were found.
        """
        out_of_contact = {
            address: peer
            for address, peer in self.peers.items()
            if peer.is_suspected(now) or self.is_silent(peer, now)
        }
        new = out_of_contact.keys() - self.announced_silences
        self.announced_silences = set(out_of_contact)
        found = []
        for address in sorted(new):
            peer = out_of_contact[address]
            receivers = [
                other.entry.address
                for other in self.peers.values()
                if other is not peer and other.found_at >= peer.last_alive_at - MIN_SUSPICION_SECONDS
            ]
            message = MemberSilences(((peer.entry, now - peer.last_alive_at, 0.0),))
            found.append((message, receivers))
        return found

    def record_silences(self, message: MemberSilences, now: float) -> None:
        """Record the routers that are or were out of contact with another one."""
        for entry, since_seconds, until_seconds in message.silences:
            since, until = now - since_seconds, now - until_seconds
            if entry.is_leaving:
                continue
            known = self.peers.get(entry.address) or self.lost.get(entry.address)
            if known is None:
                # Also an earlier process of this router, which may have begun streams that are taken up here.
                known = self.lost[entry.address] = Peer(entry, since)
            if known.entry.incarnation == entry.incarnation:
                known.record_told_silence(since, until)

    def supersede_incarnation(self, incarnation: int) -> None:
        """Raise the own incarnation above that of an earlier process, whose clock may have been ahead."""
        if incarnation > self.own.incarnation:
            self.own = msgspec.structs.replace(self.own, incarnation=incarnation + 1)

    def record_message(self, address: str, now: float) -> None:
        """Record a message received from a router itself."""
        peer = self.peers.get(address)
        if peer is not None:
            peer.record_alive(now)
            peer.last_message_at = now
            self.contact.record(now)
            self.note_contact_elsewhere(peer.entry, now)

    def note_contact_elsewhere(self, entry: MemberEntry, now: float) -> None:
        """Record a sign of life of a router, received directly or through others."""
        if entry.data_centre != self.own.data_centre:
            self.contact_elsewhere.record(now)

    def suspect(self, address: str, now: float) -> bool:
        """Mark a router as unresponsive; return whether it was not suspected before."""
        peer = self.peers.get(address)
        if peer is None:
            return False
        is_newly_suspected = not peer.is_suspected(now)
        if is_newly_suspected:
            peer.note_silence()
        peer.suspected_at = now
        peer.suspected_until = now + MIN_SUSPICION_SECONDS
        self.changes += is_newly_suspected
        return is_newly_suspected

    def is_live(self, address: str, now: float) -> bool:
        """Return whether a router has shown a recent sign of life and is not about to stop."""
        if address == self.own.address:
            return True
        peer = self.peers.get(address)
        return (
            peer is not None
            and now - peer.last_alive_at <= LIVENESS_TIMEOUT_SECONDS
            and not peer.entry.is_leaving
        )

    def may_be_divided(self, since: float, now: float) -> bool:
        """Return whether other routers may have elected other schedulers than this one since a time.

        They may if some of them were out of reach of this one, and have not restarted since then. Of a router
        to which no request has gone, only its silence tells that.
        """
        own = self.own.data_centre
        has_others = any(peer.entry.data_centre != own for peer in self.peers.values())
        if self.contact.was_lost(since, now) and (self.peers or self.seeds):
            return True
        if has_others and self.contact_elsewhere.was_lost(since, now):
            return True
        return bool(self.lost) or any(
            self.was_out_of_reach(peer, since, now) or self.is_silent(peer, now)
            for peer in self.peers.values()
        )

    def others_alone_until(self) -> float:
        """Return the time until which a router that was found may have elected itself, knowing no others."""
        return max((peer.found_at for peer in self.peers.values()), default=-math.inf) + ALONE_SECONDS

    def was_out_of_reach(self, peer: Peer, since: float, now: float) -> bool:
        """Return whether a router has been suspected or silent since a time, without a restart."""
        return (
            peer.is_suspected(now)
            or max(peer.suspected_at, peer.silent_until) > since - MIN_SUSPICION_SECONDS
        )

    def is_silent(self, peer: Peer, now: float) -> bool:
        """Return whether a router that is not about to stop shows no sign of life."""
        return not (peer.entry.is_leaving or self.is_live(peer.entry.address, now))

    def divided_since(self, since: float, now: float) -> float:
        """Return since when a router may have been out of contact that was so at any time since `since`.

        That is when it was last heard, but not later than `since`. What such a router knows of the store may
        be as old.
        """
        times = [since, self.contact.lost_since(since, now), self.contact_elsewhere.lost_since(since, now)]
        for peer in self.peers.values():
            if self.was_out_of_reach(peer, since, now):
                times.append(peer.silent_since)
            if self.is_silent(peer, now):
                times.append(peer.last_alive_at)
        return min(times + [min(peer.last_alive_at, peer.silent_since) for peer in self.lost.values()])

    def in_contact_until(self, now: float) -> float:
        """Return until when this router has surely heard of changes through others.

        It is infinite while it hears others, also of other data centres if there are any.
        """
        own = self.own.data_centre
        if any(peer.entry.data_centre != own for peer in self.peers.values()):
            contacts = [self.contact, self.contact_elsewhere]
        else:
            contacts = [self.contact] if self.peers or self.seeds else []
        lost = [contact.heard_at for contact in contacts if contact.was_lost(math.inf, now)]
        return min(lost, default=math.inf)

    def possible_schedulers(self, now: float) -> int:
        """Return how many routers may each schedule the same pool, not knowing of the others.

        It is 1 while this router hears others, as one scheduler is elected then. If it has lost them, each of
        them may be as alone as this one; if it knows none, their number is assumed.
        """
        heard_at = self.contact.heard_at
        if heard_at >= now - CUT_OFF_SECONDS:
            return 1
        if self.peers:
            return 1 + sum(not peer.entry.is_leaving for peer in self.peers.values())
        is_fleet_starting = self.is_first_start and heard_at == -math.inf
        return 1 if is_fleet_starting or not self.seeds else ASSUMED_SCHEDULERS

    def is_suspected(self, address: str, now: float) -> bool:
        """Return whether a router is suspected of being unreachable."""
        peer = self.peers.get(address)
        return peer is not None and peer.is_suspected(now)

    def snapshot(self, now: float) -> MembershipSnapshot:
        """Return the current snapshot; it is rebuilt if membership may have changed."""
        known = self.cached_snapshot
        if (
            known is None
            or known.changes != self.changes
            or not 0 <= now - known.created_at < SNAPSHOT_MAX_AGE_SECONDS
        ):
            live = [peer.entry for address, peer in self.peers.items() if self.is_live(address, now)]
            if not self.own.is_leaving:
                live.append(self.own)
            responsive = [entry for entry in live if not self.is_suspected(entry.address, now)]
            self.cached_snapshot = known = MembershipSnapshot(
                now, self.changes, live, responsive, interleave_by_data_centre(responsive)
            )
        return known

    def live(self, now: float, data_centre: str = "") -> list[MemberEntry]:
        """Return the live routers of one data centre or of all, including this one unless it is stopping."""
        return filter_by_data_centre(self.snapshot(now).live, data_centre)

    def responsive(self, now: float, data_centre: str = "") -> list[MemberEntry]:
        """Return the responsive live routers of one data centre or of all."""
        return filter_by_data_centre(self.snapshot(now).responsive, data_centre)

    def rank(self, now: float) -> int:
        """Return how many responsive routers of the local data centre precede this one in hash order."""
        own = ordering_key(self.own.address)
        return sum(ordering_key(entry.address) < own for entry in self.responsive(now, self.own.data_centre))

    def interleaved_members(self, now: float) -> list[MemberEntry]:
        """Return the responsive routers: the first of each data centre, then the second of each, etc."""
        return self.snapshot(now).interleaved

    def is_among_first(self, count: int, now: float) -> bool:
        """Return whether this router is one of the first `count` routers in that order."""
        return any(entry.address == self.own.address for entry in self.interleaved_members(now)[:count])

    def gossip(self, now: float) -> tuple[tuple[MemberEntry, ...], list[str]]:
        """Start a gossip round; return the entries of its message and the receiving addresses."""
        self.round += 1
        if self.round % HEARTBEAT_INTERVAL_ROUNDS == 1:
            self.own = msgspec.structs.replace(self.own, heartbeat=self.own.heartbeat + 1)
        recently_alive = self.recently_alive(now)
        entries = self.choose_gossip_entries(recently_alive)
        addresses = [entry.address for entry in recently_alive]
        chosen = self.choose_gossip_peers(recently_alive)
        if self.round % SEED_INTERVAL_ROUNDS == 1 or not addresses:
            others = [address for address in self.seeds if address not in chosen]
            others += [address for address in self.peers if address not in addresses]
            if others:
                chosen.append(self.rng.choice(others))
        return (self.own, *entries), chosen

    def choose_gossip_peers(self, recently_alive: list[MemberEntry]) -> list[str]:
        """Choose the receivers of a gossip round, most of them in the local data centre."""
        near = [entry.address for entry in recently_alive if entry.data_centre == self.own.data_centre]
        far = [entry.address for entry in recently_alive if entry.data_centre != self.own.data_centre]
        far_count = max(GOSSIP_FANOUT - len(near), int(self.round % REMOTE_GOSSIP_INTERVAL_ROUNDS == 0))
        far_count = min(far_count, len(far))
        near_count = min(GOSSIP_FANOUT - far_count, len(near))
        return self.rng.sample(far, far_count) + self.rng.sample(near, near_count)

    def recently_alive(self, now: float) -> list[MemberEntry]:
        """Return the other routers with a recent sign of life."""
        return [
            peer.entry for peer in self.peers.values() if now - peer.last_alive_at <= LIVENESS_TIMEOUT_SECONDS
        ]

    def choose_gossip_entries(self, recently_alive: list[MemberEntry]) -> tuple[MemberEntry, ...]:
        """Choose the entries of a round: new or returning routers, then recent ones, then random ones."""
        prioritised = [entry for entry in recently_alive if entry.address in self.priority_rounds][
            : MAX_GOSSIP_ENTRIES - 1
        ]
        for entry in prioritised:
            self.priority_rounds[entry.address] -= 1
            if self.priority_rounds[entry.address] <= 0:
                del self.priority_rounds[entry.address]
        remaining = MAX_GOSSIP_ENTRIES - 1 - len(prioritised)
        addresses = {entry.address for entry in prioritised}
        others = [entry for entry in recently_alive if entry.address not in addresses]
        if len(others) > remaining:
            others.sort(key=lambda entry: self.peers[entry.address].last_alive_at, reverse=True)
            most_recent = others[: int(RECENT_ENTRIES_FRACTION * remaining)]
            others = most_recent + self.rng.sample(others[len(most_recent) :], remaining - len(most_recent))
        return (*prioritised, *others)

    def is_sender_behind(self, entries: tuple[MemberEntry, ...], now: float) -> bool:
        """Return whether the sender named fewer than half of the routers known here that fit a message."""
        return 2 * len(entries) < min(MAX_GOSSIP_ENTRIES, len(self.recently_alive(now)))

    def join_entries(self, now: float) -> tuple[MemberEntry, ...]:
        """Return the entries to send to a router that joins."""
        return (self.own, *self.recently_alive(now)[: MAX_JOIN_ENTRIES - 1])

    def forget(self, now: float) -> list[str]:
        """Remove routers silent for longer than `FORGET_TIMEOUT_SECONDS`; return their addresses."""
        gone = [
            address
            for address, peer in self.peers.items()
            if now - peer.last_alive_at > FORGET_TIMEOUT_SECONDS
        ]
        self.lost = {
            address: peer
            for address, peer in self.lost.items()
            if now - max(peer.last_alive_at, peer.silent_until) <= LOST_SECONDS
        }
        for address in gone:
            peer = self.peers.pop(address)
            if not peer.entry.is_leaving:
                self.lost[address] = peer
            self.priority_rounds.pop(address, None)
            self.changes += 1
        return gone


@functools.lru_cache(maxsize=4096)
def ordering_key(name: str) -> int:
    """Return a sort key for addresses or data centres that is the same on all routers."""
    return stable_hash(name)


def filter_by_data_centre(entries: list[MemberEntry], data_centre: str) -> list[MemberEntry]:
    """Return the routers of one data centre, or all of them if `data_centre` is empty."""
    return [entry for entry in entries if not data_centre or entry.data_centre == data_centre]


def interleave_by_data_centre(entries: list[MemberEntry]) -> list[MemberEntry]:
    """Return the first router of each data centre, then the second of each, and so on."""
    by_data_centre: dict[str, list[MemberEntry]] = {}
    for entry in entries:
        by_data_centre.setdefault(entry.data_centre, []).append(entry)
    for routers in by_data_centre.values():
        routers.sort(key=lambda entry: ordering_key(entry.address))
    groups = [by_data_centre[name] for name in sorted(by_data_centre, key=ordering_key)]
    return [entry for same_rank in itertools.zip_longest(*groups) for entry in same_rank if entry is not None]
