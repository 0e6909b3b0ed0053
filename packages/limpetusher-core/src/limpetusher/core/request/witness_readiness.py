"""When a router may act as a witness: synchronisation after a start and after a change of the host list.

A witness that records an attempt promises to record no other one for its key while the record lasts, unless
the holder abandons the attempt.

Two rules ensure that any two majorities for a key within a window have a witness in common.

- A router that has started may have lost records that it promised to keep. It promises for a key only when
  so many of the key's other witnesses have sent their records that every majority contains one of them, or
  when the window has passed.
- After a change of the host list, an attempt may have been registered with the witnesses of an earlier list.
  A router promises for a key only when a majority of the key's witnesses under each earlier list has sent its
  records under the new list. Those witnesses no longer promise under the earlier list.
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
from limpetusher.wire.messages import EarlierHostList, KeySync, KeySyncRequest

MAXIMUM_WITNESS_SETS = 20_000
MAXIMUM_SYNC_RETRY_SECONDS = 5.0


@dataclass(slots=True)
class SupersededList:
    """A router list that is no longer in force at this router.

    It is closed for a key when the witnesses of the key can no longer form a majority under it.
    """

    router_list: RouterList
    superseded_at: float


@dataclass(slots=True)
class PendingSync:
    """The latest request for records to a peer, and the parts of its answer that have arrived."""

    number: int
    sent_at: float
    retry_seconds: float
    parts: set[int]

    @property
    def retry_at(self) -> float:
        """Return when to send the request again."""
        return self.sent_at + self.retry_seconds


class WitnessReadiness:
    """Decides for which keys this router may act as a witness.

    The state of other routers is taken from their answers to requests for records: `complete_peers` have lost
    no record within the window, `ready_peers` may also act as witnesses of every key.

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
        self.records_complete = settings.fresh_fleet
        self.current: RouterList | None = None
        self.superseded_lists: dict[bytes, SupersededList] = {}
        self.pending_syncs: dict[str, PendingSync] = {}
        self.peers_on_current_list: set[str] = set()
        self.majority_on_current_list_at: float | None = None
        self.complete_peers: set[str] = set()
        self.ready_peers: set[str] = set()
        self.witness_cache: dict[bytes, tuple[str, ...]] = {}

    @property
    def digest(self) -> bytes:
        """Return the digest of the router list in force, empty without one."""
        return self.current.digest if self.current else b""

    @property
    def synchronise_from(self) -> float:
        """Return when requests for records may begin.

        An attempt that a former process of this router recorded can still get its majority until its
        registration times out. Records that were requested earlier could miss that attempt.
        """
        return (
            self.started_at
            if self.records_complete
            else self.started_at + self.settings.register_timeout_seconds
        )

    def witnesses(self, key: bytes) -> tuple[str, ...]:
        """Return the witnesses of a key under the list in force."""
        if self.current is None:
            return ()
        found = self.witness_cache.get(key)
        if found is None:
            if len(self.witness_cache) >= MAXIMUM_WITNESS_SETS:
                self.witness_cache.clear()
            found = self.witness_cache[key] = self._select_witnesses(self.current, key)
        return found

    def adopt_router_list(self, router_list: RouterList, now: float) -> None:
        """Put a router list in force."""
        if self.current is not None:
            if router_list.digest == self.current.digest:
                return
            self.superseded_lists[self.current.digest] = SupersededList(self.current, now)
        self.superseded_lists.pop(router_list.digest, None)
        self.current = router_list
        self.witness_cache.clear()
        self.pending_syncs.clear()
        self.peers_on_current_list.clear()
        self.majority_on_current_list_at = None
        self.complete_peers.clear()
        self.ready_peers.clear()

    def refresh(self, now: float) -> None:
        """Drop earlier lists that no longer matter, and check whether this router has all records."""
        if not self.records_complete and self.current is not None:
            others = self.current.ids - {self.own_id}
            synchronised = bool(others) and others <= self.ready_peers
            # Fewer than a majority of the listed routers could all be new ones, while the others still
            # use an earlier list that this router has never seen. They still promise under it until they
            # adopt the new list, so the window counts from then.
            if len(self.peers_on_current_list & others) + 1 >= majority(len(others) + 1):
                if self.majority_on_current_list_at is None:
                    self.majority_on_current_list_at = now
            else:
                self.majority_on_current_list_at = None
            window = self.settings.idempotency_window_seconds
            since = self.majority_on_current_list_at
            window_passed = since is not None and now >= since + window
            self.records_complete = synchronised or window_passed
        for digest, superseded in list(self.superseded_lists.items()):
            expired = now >= superseded.superseded_at + self.settings.idempotency_window_seconds
            if expired and self._is_closed_for_all_keys(superseded, now):
                del self.superseded_lists[digest]

    def is_ready_for_all_keys(self, now: float) -> bool:
        """Return whether this router may be a witness of every key."""
        self.refresh(now)
        closed = all(
            self._is_closed_for_all_keys(superseded, now) for superseded in self.superseded_lists.values()
        )
        return self.current is not None and self.records_complete and closed

    def is_ready_for_key(self, key: bytes, now: float) -> bool:
        """Return whether this router may promise for a key under the list in force."""
        self.refresh(now)
        chosen = self.witnesses(key)
        if self.own_id not in chosen:
            return False
        if not self.records_complete:
            needed = len(chosen) - majority(len(chosen)) + 1
            if len(self.ready_peers.intersection(chosen)) < needed:
                return False
        return all(
            self._is_closed_for_key(superseded, key, now) for superseded in self.superseded_lists.values()
        )

    def due_sync_requests(self, now: float) -> list[tuple[str, KeySyncRequest]]:
        """Return the requests for records to send now."""
        if self.current is None or now < self.synchronise_from:
            return []
        self.refresh(now)
        due = []
        for peer in sorted(self._peers_to_ask()):
            pending = self.pending_syncs.get(peer)
            if pending is None or now >= pending.retry_at:
                number = self.rng.getrandbits(48)
                retry_seconds = self.settings.register_timeout_seconds
                if pending is not None:
                    retry_seconds = min(2 * pending.retry_seconds, MAXIMUM_SYNC_RETRY_SECONDS)
                self.pending_syncs[peer] = PendingSync(number, now, retry_seconds, set())
                due.append((peer, KeySyncRequest(self.current.digest, number)))
        return due

    def next_due(self, now: float) -> float:
        """Return when `due_sync_requests` or `refresh` may have something to do, infinity if never."""
        if self.current is None:
            return float("inf")
        window = self.settings.idempotency_window_seconds
        times = [superseded.superseded_at + window for superseded in self.superseded_lists.values()]
        if not self.records_complete:
            times.append((self.majority_on_current_list_at or now) + window)
        times = [time for time in times if time >= now]
        for peer in self._peers_to_ask():
            pending = self.pending_syncs.get(peer)
            times.append(max(pending.retry_at if pending else now, self.synchronise_from))
        return min(times, default=float("inf"))

    def record_sync_answer(self, peer: str, answer: KeySync, now: float) -> None:
        """Record that a peer has sent its records, once they have been merged."""
        pending = self.pending_syncs.get(peer)
        if pending is None or pending.number != answer.number:
            return
        self._record_earlier_lists(answer, now)
        if answer.host_list_digest != self.digest:
            return
        pending.parts.add(answer.part)
        if len(pending.parts) < answer.parts:
            return
        self.peers_on_current_list.add(peer)
        if answer.records_complete:
            self.complete_peers.add(peer)
        if answer.records_complete and answer.ready_for_all_keys:
            self.ready_peers.add(peer)
        self.refresh(now)

    def earlier_lists(self, now: float, *, with_current: bool) -> tuple[EarlierHostList, ...]:
        """Return the router lists to report to a peer."""
        lists = [
            EarlierHostList(
                superseded.router_list.digest, superseded.router_list.routers, now - superseded.superseded_at
            )
            for superseded in self.superseded_lists.values()
        ]
        if with_current and self.current is not None:
            lists.append(EarlierHostList(self.current.digest, self.current.routers, 0.0))
        return tuple(lists)

    def _record_earlier_lists(self, answer: KeySync, now: float) -> None:
        for earlier in answer.earlier_lists:
            if earlier.digest == self.digest:
                continue
            superseded_at = now - max(earlier.age_seconds, 0.0)
            known = self.superseded_lists.get(earlier.digest)
            if known is None:
                self.superseded_lists[earlier.digest] = SupersededList(
                    RouterList(earlier.digest, earlier.routers), superseded_at
                )
            else:
                known.superseded_at = max(known.superseded_at, superseded_at)

    def _peers_to_ask(self) -> set[str]:
        if self.records_complete and not self.superseded_lists:
            return set()
        listed = self.current.ids - {self.own_id}
        needed = set() if self.records_complete else listed - self.ready_peers
        for superseded in self.superseded_lists.values():
            needed |= (superseded.router_list.ids & listed) - self.complete_peers
        return needed

    def _has_left_earlier_lists(self, router: str) -> bool:
        return self.records_complete if router == self.own_id else router in self.complete_peers

    def _may_presume_stopped(self, superseded: SupersededList, remaining: list[str], now: float) -> bool:
        """Return whether the `remaining` routers of an earlier list may be presumed to have stopped.

        They may when a window has passed and all of them were removed from the list. A router that is still
        listed may use the earlier list without limit, and form a majority with a removed one that still runs.
        """
        window_passed = now >= superseded.superseded_at + self.settings.idempotency_window_seconds
        return window_passed and self.current.ids.isdisjoint(remaining)

    def _is_closed_for_key(self, superseded: SupersededList, key: bytes, now: float) -> bool:
        chosen = self._select_witnesses(superseded.router_list, key)
        remaining = [router for router in chosen if not self._has_left_earlier_lists(router)]
        if len(chosen) - len(remaining) >= majority(len(chosen)):
            return True
        return self._may_presume_stopped(superseded, remaining, now)

    def _is_closed_for_all_keys(self, superseded: SupersededList, now: float) -> bool:
        routers = superseded.router_list.ids
        remaining = [router for router in routers if not self._has_left_earlier_lists(router)]
        size = min(self.settings.witness_count, len(routers))
        maximum_remaining = most_witnesses_within(
            superseded.router_list, remaining, self.settings.witness_count
        )
        if size - maximum_remaining >= majority(size):
            return True
        return self._may_presume_stopped(superseded, remaining, now)

    def _select_witnesses(self, router_list: RouterList, key: bytes) -> tuple[str, ...]:
        return witnesses(router_list, key, self.settings.witness_count, self.rank)
