"""Which owners hear of which waiting requests: first offer, spread and withdrawal."""

import itertools
import math
from collections import deque
from collections.abc import Container, Iterator

from limpetusher.core.context import Context
from limpetusher.core.process.demand_sender import DemandSender
from limpetusher.core.process.dispatch import Dispatcher
from limpetusher.core.process.routes import Routes
from limpetusher.core.request.explanation import Step
from limpetusher.core.request.queue import RequestQueue
from limpetusher.core.request.record import Bucket, RequestRecord
from limpetusher.wire.messages import DemandEntry

MAXIMUM_PREFERRED = 4
MAXIMUM_EXAMINED = 32


class Offers:
    """Decides which owners hear of which waiting requests.

    Parameters
    ----------
    context
        The router's identity, settings and the list of actions.
    queue
        Waiting requests of this router's callers.
    routes
        Owners by service.
    dispatcher
        This router as an owner; the own requests are entered in its demand book directly.
    """

    def __init__(self, context: Context, queue: RequestQueue, routes: Routes, dispatcher: Dispatcher):
        self.context = context
        self.queue = queue
        self.routes = routes
        self.dispatcher = dispatcher
        self.book = dispatcher.book
        self.narrow: dict[Bucket, dict[str, int]] = {}
        """Number of requests offered to one owner only, by bucket and owner."""
        self.spread_times: deque[tuple[float, RequestRecord]] = deque()
        self.free_slots: dict[str, int] = {}
        """Free slots of other owners' targets, as last heard of and reduced by offers made since."""
        self.sender = DemandSender(context, self.entry, self.buckets_for, self.has_free_slots)

    def offer(self, record: RequestRecord) -> None:
        """Offer a request that has just been queued."""
        now = self.context.now
        owners = self.routes.owners(record.bucket.service)
        if len(owners) > 1 and not self.spread_count(record.bucket, excluding=1):
            owner = self.first_owner(record, owners)
            record.offered_to = owner
            narrow = self.narrow.setdefault(record.bucket, {})
            narrow[owner] = narrow.get(owner, 0) + 1
            self.spread_times.append((now + self.context.settings.demand_spread_seconds, record))
            self.context.explain(record.request_id, Step.OFFERED, owner)
            if owner == self.context.own_id:
                self.enter_own(record.bucket)
            else:
                self.sender.first_offer(owner, record.bucket)
        else:
            # Owners that already know of waiting requests of this bucket need no message.
            record.offered_to = None
            self.context.explain(record.request_id, Step.SPREAD)
            self.tell_all(record.bucket)

    def first_owner(self, record: RequestRecord, owners: dict[str, tuple[str, ...]]) -> str:
        """Choose the owner that hears of a request first.

        The order is: a target with the request's prefix in its cache and a free slot, any free slot, the own
        data centre, the number of free slots last heard of, this router itself, a random one.
        """
        for target_id in record.preferred:
            owner = self.routes.owner_of.get(target_id)
            if owner in owners and (owner == self.context.own_id or self.free_slots.get(target_id, 1) > 0):
                self.count_down(target_id)
                return owner
        best_key: tuple | None = None
        best: list[tuple[str, str]] = []
        for owner, target_ids in owners.items():
            own = owner == self.context.own_id
            for target_id in target_ids:
                free = self.dispatcher.free_slots(target_id) if own else self.free_slots.get(target_id, 0)
                key = (free > 0, target_id in self.routes.near, free, own)
                if best_key is None or key > best_key:
                    best_key, best = key, []
                if key == best_key:
                    best.append((owner, target_id))
        owner, target_id = self.context.rng.choice(best)
        self.count_down(target_id)
        return owner

    def keep_targets(self, targets: Container[str]) -> None:
        """Forget targets that are no longer listed or have no known class."""
        self.free_slots = {name: free for name, free in self.free_slots.items() if name in targets}

    def count_down(self, target_id: str) -> None:
        """Count an offer against the free slots last heard of, so that the next offers go elsewhere."""
        if self.free_slots.get(target_id, 0) > 0:
            self.free_slots[target_id] -= 1

    def spread_due(self) -> None:
        """Offer requests to all owners that have waited for the spread time."""
        while self.spread_times and self.spread_times[0][0] <= self.context.now:
            record = self.spread_times.popleft()[1]
            if record.offered_to is None or not self.queue.waits(record):
                continue
            self.widen(record)
            self.context.explain(record.request_id, Step.SPREAD)
            self.tell_all(record.bucket)

    def widen(self, record: RequestRecord) -> None:
        """Count a request as offered to all owners."""
        owner, record.offered_to = record.offered_to, None
        if owner is None:
            return
        narrow = self.narrow[record.bucket]
        narrow[owner] -= 1
        if not narrow[owner]:
            del narrow[owner]
        if not narrow:
            del self.narrow[record.bucket]

    def removed(self, record: RequestRecord, *, granted_by: str | None = None) -> None:
        """Correct the offers after a request has left the queue, by a grant of the given owner if any."""
        self.widen(record)
        bucket = record.bucket
        if granted_by not in (None, self.context.own_id):
            self.sender.count_down(granted_by, bucket)
            if self.count_for(granted_by, bucket) > 0:
                self.sender.unknown_to((granted_by,), bucket)
        for owner in list(self.sender.told_owners.get(bucket, ())):
            if self.count_for(owner, bucket) <= 0:
                self.sender.withdraw(owner, bucket)
        self.enter_own(bucket)

    def spread_count(self, bucket: Bucket, *, excluding: int = 0) -> int:
        """Return how many waiting requests are offered to all owners; `excluding` of them are not counted."""
        return self.queue.count(bucket) - sum(self.narrow.get(bucket, {}).values()) - excluding

    def count_for(self, owner: str, bucket: Bucket) -> int:
        """Return how many waiting requests of the bucket the owner should know of."""
        if owner not in self.routes.owners(bucket.service):
            return 0
        return self.spread_count(bucket) + self.narrow.get(bucket, {}).get(owner, 0)

    def tell_all(self, bucket: Bucket) -> None:
        """Tell all owners of a request that is offered to all of them."""
        if self.spread_count(bucket) > 0:
            owners = self.routes.owners(bucket.service)
            self.sender.unknown_to((owner for owner in owners if owner != self.context.own_id), bucket)
        self.enter_own(bucket)

    def enter_own(self, bucket: Bucket) -> None:
        """Enter the bucket in the own demand book."""
        own_id = self.context.own_id
        if self.count_for(own_id, bucket) <= 0:
            self.book.remove_line(own_id, bucket)
            return
        self.book.set_line(self.entry(own_id, bucket), own_id, self.context.now)
        self.context.wanted_services[bucket.service] = None

    def entry(self, owner: str, bucket: Bucket) -> DemandEntry:
        """Return what to tell an owner about a bucket; costs are those of the oldest request."""
        count = self.count_for(owner, bucket)
        if count <= 0:
            return DemandEntry(bucket.service, bucket.customer, 0, 0.0)
        oldest = self.queue.buckets[bucket].oldest()
        return DemandEntry(
            service=bucket.service,
            customer=bucket.customer,
            waiting=count,
            oldest_wait_seconds=self.context.now - oldest.arrived_at,
            preferred=self.preferred(bucket, owner),
            prompt_cost=oldest.request.prompt_cost,
            cost_hint=oldest.request.cost_hint,
        )

    def buckets_for(self, owner: str) -> Iterator[Bucket]:
        """Return the buckets with waiting requests that the owner has targets for."""
        for service in self.routes.services_of.get(owner, ()):
            yield from self.queue.by_service.get(service, ())

    def has_free_slots(self, owner: str) -> bool:
        """Return whether the owner has free slots for a service that is waited for."""
        return any(
            self.free_slots.get(target_id, 0) > 0
            for service in self.routes.services_of.get(owner, ())
            if service in self.queue.by_service
            for target_id in self.routes.owners(service)[owner]
        )

    def preferred(self, bucket: Bucket, owner: str) -> tuple[str, ...]:
        """Return the owner's targets that waiting requests of the bucket prefer."""
        owner_of = self.routes.owner_of
        examined = itertools.islice(self.queue.buckets[bucket].preferring, MAXIMUM_EXAMINED)
        mine = (target_id for target_id in examined if owner_of.get(target_id) == owner)
        return tuple(itertools.islice(mine, MAXIMUM_PREFERRED))

    def owners_changed(self) -> None:
        """Offer the waiting requests again after the owners of some targets have changed."""
        owners_now: dict[str, None] = {}
        for bucket in self.queue.buckets:
            owners = self.routes.owners(bucket.service)
            for owner in list(self.narrow.get(bucket, ())):
                if owner not in owners:
                    # The only owner that was asked is gone: all others are asked at once.
                    self.narrow.pop(bucket)
                    for record in self.queue.buckets[bucket].records.values():
                        record.offered_to = None
                    break
            owners_now.update(dict.fromkeys(owners))
            self.tell_all(bucket)
        for owner in self.sender.told:
            if owner not in owners_now:
                self.sender.repeated[owner] = None

    def next_due(self) -> float:
        """Return when the next demand, spread or withdrawal is due."""
        while self.spread_times and not self.pending(self.spread_times[0][1]):
            self.spread_times.popleft()
        spread = self.spread_times[0][0] if self.spread_times else math.inf
        return min(spread, self.sender.next_due())

    def pending(self, record: RequestRecord) -> bool:
        """Return whether the request still waits with one owner only."""
        return record.offered_to is not None and self.queue.waits(record)
