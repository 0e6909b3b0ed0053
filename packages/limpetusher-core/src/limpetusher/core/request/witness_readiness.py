"""When a witness may promise: synchronisation after a start and after a change of the host list.

Two rules keep the majorities of a key overlapping in time.

- A router that has started may have forgotten records that it promised. It promises for a key only when so
  many of the key's other witnesses have sent their records that every majority contains one of them, or
  when the window has passed.
- After a change of the host list, an attempt may have been registered with the witnesses of an earlier list.
  A router promises for a key only when a majority of the key's witnesses under each earlier list has sent its
  records under the new list. Those no longer promise under the earlier list.
"""

import random
from dataclasses import dataclass

from limpetusher.core.request.witness_sets import (
    Rank,
    RouterList,
    majority,
    most_witnesses_within,
    witnesses,
)
from limpetusher.core.settings import PolicySettings
from limpetusher.wire.messages import EarlierList, KeySync, KeySyncRequest

MAXIMUM_WITNESS_SETS = 20_000
SLOWEST_RETRY_SECONDS = 5.0


@dataclass(slots=True)
class LeftList:
    """A host list that is no longer in force here."""

    router_list: RouterList
    left_at: float


@dataclass(slots=True)
class Exchange:
    """The latest request for records to a peer, and the parts of its answer that have arrived."""

    number: int
    sent_at: float
    retry_seconds: float
    parts: set[int]

    @property
    def retry_at(self) -> float:
        """Return when to ask again."""
        return self.sent_at + self.retry_seconds


class Readiness:
    """Tells for which keys this router may act as a witness.

    Parameters
    ----------
    settings
        Policy settings.
    own_id
        Host identifier of this router.
    rank
        Rendezvous ranking of host identifiers for a key.
    rng
        Source of request numbers.
    started_at
        Monotonic time of the start.
    """

    def __init__(
        self,
        settings: PolicySettings,
        own_id: str,
        rank: Rank,
        rng: random.Random,
        started_at: float,
    ):
        self.settings = settings
        self.own_id = own_id
        self.rank = rank
        self.rng = rng
        self.started_at = started_at
        self.intact = settings.fresh_fleet
        self.current: RouterList | None = None
        self.left: dict[bytes, LeftList] = {}
        self.exchanges: dict[str, Exchange] = {}
        self.on_list: set[str] = set()
        self.majority_on_list_at: float | None = None
        self.intact_peers: set[str] = set()
        self.settled_peers: set[str] = set()
        self.witness_cache: dict[bytes, tuple[str, ...]] = {}

    @property
    def digest(self) -> bytes:
        """Return the digest of the router list in force, empty without one."""
        return self.current.digest if self.current else b""

    @property
    def synchronise_from(self) -> float:
        """Return when requests for records may begin.

        A registration that a former process of this router promised can still get its majority for the
        time that registrations may take. Records that were requested before that could miss it.
        """
        return self.started_at if self.intact else self.started_at + self.settings.register_timeout_seconds

    def witnesses(self, key: bytes) -> tuple[str, ...]:
        """Return the witnesses of a key under the list in force."""
        if self.current is None:
            return ()
        found = self.witness_cache.get(key)
        if found is None:
            if len(self.witness_cache) >= MAXIMUM_WITNESS_SETS:
                self.witness_cache.clear()
            found = self.witness_cache[key] = self._witnesses(self.current, key)
        return found

    def hosts_changed(self, router_list: RouterList, now: float) -> None:
        """Put a router list in force."""
        if self.current is not None:
            if router_list.digest == self.current.digest:
                return
            self.left[self.current.digest] = LeftList(self.current, now)
        self.left.pop(router_list.digest, None)
        self.current = router_list
        self.witness_cache.clear()
        self.exchanges.clear()
        self.on_list.clear()
        self.majority_on_list_at = None
        self.intact_peers.clear()
        self.settled_peers.clear()

    def refresh(self, now: float) -> None:
        """Forget earlier lists that no longer matter, and note when the window since the start has passed."""
        if not self.intact and self.current is not None:
            others = self.current.ids - {self.own_id}
            synchronised = bool(others) and others <= self.settled_peers
            # Fewer than a majority of the listed routers could all be new ones, while the others still
            # use an earlier list that this router has never seen. Until they change, they go on promising
            # under it, so the window counts from then.
            if len(self.on_list & others) + 1 >= majority(len(others) + 1):
                if self.majority_on_list_at is None:
                    self.majority_on_list_at = now
            else:
                self.majority_on_list_at = None
            window = self.settings.idempotency_window_seconds
            since = self.majority_on_list_at
            window_passed = since is not None and now >= since + window
            self.intact = synchronised or window_passed
        for digest, left in list(self.left.items()):
            expired = now >= left.left_at + self.settings.idempotency_window_seconds
            if expired and self._is_closed_for_all(left, now):
                del self.left[digest]

    def is_settled(self, now: float) -> bool:
        """Return whether this router may be a witness of every key."""
        self.refresh(now)
        closed = all(self._is_closed_for_all(left, now) for left in self.left.values())
        return self.current is not None and self.intact and closed

    def is_ready(self, key: bytes, now: float) -> bool:
        """Return whether this router may promise for a key under the list in force."""
        self.refresh(now)
        chosen = self.witnesses(key)
        if self.own_id not in chosen:
            return False
        if not self.intact:
            needed = len(chosen) - majority(len(chosen)) + 1
            if len(self.settled_peers.intersection(chosen)) < needed:
                return False
        return all(self._is_closed(left, key, now) for left in self.left.values())

    def requests(self, now: float) -> list[tuple[str, KeySyncRequest]]:
        """Return the requests for records to send now."""
        if self.current is None or now < self.synchronise_from:
            return []
        self.refresh(now)
        due = []
        for peer in sorted(self._needed()):
            exchange = self.exchanges.get(peer)
            if exchange is None or now >= exchange.retry_at:
                number = self.rng.getrandbits(48)
                retry = self.settings.register_timeout_seconds
                if exchange is not None:
                    retry = min(2 * exchange.retry_seconds, SLOWEST_RETRY_SECONDS)
                self.exchanges[peer] = Exchange(number, now, retry, set())
                due.append((peer, KeySyncRequest(self.current.digest, number)))
        return due

    def next_due(self, now: float) -> float:
        """Return when `requests` or `refresh` may have something to do, infinity if never."""
        if self.current is None:
            return float("inf")
        window = self.settings.idempotency_window_seconds
        times = [left.left_at + window for left in self.left.values()]
        if not self.intact:
            times.append((self.majority_on_list_at or now) + window)
        times = [time for time in times if time >= now]
        for peer in self._needed():
            exchange = self.exchanges.get(peer)
            times.append(max(exchange.retry_at if exchange else now, self.synchronise_from))
        return min(times, default=float("inf"))

    def answered(self, peer: str, answer: KeySync, now: float) -> None:
        """Take note of an answer whose records have been taken over."""
        exchange = self.exchanges.get(peer)
        if exchange is None or exchange.number != answer.number:
            return
        self._learn_lists(answer, now)
        if answer.host_list_digest != self.digest:
            return
        exchange.parts.add(answer.part)
        if len(exchange.parts) < answer.parts:
            return
        self.on_list.add(peer)
        if answer.intact:
            self.intact_peers.add(peer)
        if answer.intact and answer.settled:
            self.settled_peers.add(peer)
        self.refresh(now)

    def earlier_lists(self, now: float, *, with_current: bool) -> tuple[EarlierList, ...]:
        """Return the lists to tell a peer about."""
        lists = [
            EarlierList(left.router_list.digest, left.router_list.routers, now - left.left_at)
            for left in self.left.values()
        ]
        if with_current and self.current is not None:
            lists.append(EarlierList(self.current.digest, self.current.routers, 0.0))
        return tuple(lists)

    def _learn_lists(self, answer: KeySync, now: float) -> None:
        for earlier in answer.earlier_lists:
            if earlier.digest == self.digest:
                continue
            left_at = now - max(earlier.age_seconds, 0.0)
            known = self.left.get(earlier.digest)
            if known is None:
                self.left[earlier.digest] = LeftList(RouterList(earlier.digest, earlier.routers), left_at)
            else:
                known.left_at = max(known.left_at, left_at)

    def _needed(self) -> set[str]:
        if self.intact and not self.left:
            return set()
        listed = self.current.ids - {self.own_id}
        needed = set() if self.intact else listed - self.settled_peers
        for left in self.left.values():
            needed |= (left.router_list.ids & listed) - self.intact_peers
        return needed

    def _has_left(self, router: str) -> bool:
        return self.intact if router == self.own_id else router in self.intact_peers

    def _may_count_on_removal(self, left: LeftList, remaining: list[str], now: float) -> bool:
        """Return whether those that have not left the list are taken to have stopped.

        That is so when a window has passed and all of them were removed from the list. A router that is still
        listed may use the earlier list for ever, and form a majority with a removed one that still runs.
        """
        window_passed = now >= left.left_at + self.settings.idempotency_window_seconds
        return window_passed and self.current.ids.isdisjoint(remaining)

    def _is_closed(self, left: LeftList, key: bytes, now: float) -> bool:
        chosen = self._witnesses(left.router_list, key)
        remaining = [router for router in chosen if not self._has_left(router)]
        if len(chosen) - len(remaining) >= majority(len(chosen)):
            return True
        return self._may_count_on_removal(left, remaining, now)

    def _is_closed_for_all(self, left: LeftList, now: float) -> bool:
        routers = left.router_list.ids
        remaining = [router for router in routers if not self._has_left(router)]
        size = min(self.settings.witness_count, len(routers))
        most = most_witnesses_within(left.router_list, remaining, self.settings.witness_count)
        if size - most >= majority(size):
            return True
        return self._may_count_on_removal(left, remaining, now)

    def _witnesses(self, router_list: RouterList, key: bytes) -> tuple[str, ...]:
        return witnesses(router_list, key, self.settings.witness_count, self.rank)
