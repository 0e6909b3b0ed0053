"""Selection of the owners to which each waiting request is announced: one first, later all."""

import itertools
import math
from collections import deque
from collections.abc import Container, Iterator

from limpetusher.core.context import Context
from limpetusher.core.process.demand_sender import DemandSender
from limpetusher.core.process.dispatcher import Dispatcher
from limpetusher.core.process.routes import Routes
from limpetusher.core.request.explanation import Step
from limpetusher.core.request.queue import RequestQueue
from limpetusher.core.request.record import Bucket, RequestRecord
from limpetusher.wire.messages import DemandEntry

MAXIMUM_PREFERRED_TARGETS = 4
MAXIMUM_EXAMINED_TARGETS = 32


class Offers:
    """Decides to which owners each waiting request is announced.

    A request is offered to one owner first. If it still waits after `demand_spread_seconds`, it is offered to
    all owners of its service.

    Parameters
    ----------
    context
        Components and state of the router.
    queue
        Waiting requests of this router's callers.
    routes
        Owners by service.
    dispatcher
        Dispatcher of this router; requests of this router are entered in its demand book directly.
    """

    def __init__(self, context: Context, queue: RequestQueue, routes: Routes, dispatcher: Dispatcher):
        self.context = context
        self.queue = queue
        self.routes = routes
        self.dispatcher = dispatcher
        self.demand_book = dispatcher.demand_book
        self.single_owner_offers: dict[Bucket, dict[str, int]] = {}
        """Number of requests that are offered to a single owner, by bucket and owner."""
        self.spread_deadlines: deque[tuple[float, RequestRecord]] = deque()
        self.free_slots: dict[str, int] = {}
        """Free slots of other owners' targets by their last heartbeat, minus the offers made since."""
        self.sender = DemandSender(context, self.demand_entry, self.buckets_for, self.has_free_slots)

    def offer(self, record: RequestRecord) -> None:
        """Offer a newly queued request to one owner, or to all if another of its bucket is offered to all."""
        now = self.context.now
        owners = self.routes.owners(record.bucket.service)
        if len(owners) > 1 and not self.offered_to_all_count(record.bucket, excluding=1):
            owner = self.choose_first_owner(record, owners)
            record.offered_to = owner
            single_owner_offers = self.single_owner_offers.setdefault(record.bucket, {})
            single_owner_offers[owner] = single_owner_offers.get(owner, 0) + 1
            self.spread_deadlines.append((now + self.context.settings.demand_spread_seconds, record))
            self.context.explain(record.request_id, Step.OFFERED, owner)
            if owner == self.context.own_id:
                self.update_own_demand(record.bucket)
            else:
                self.sender.announce_first_offer(owner, record.bucket)
        else:
            # Owners that already know of waiting requests of this bucket get no further message.
            record.offered_to = None
            self.context.explain(record.request_id, Step.SPREAD)
            self.announce_to_all(record.bucket)

    def choose_first_owner(self, record: RequestRecord, owners: dict[str, tuple[str, ...]]) -> str:
        """Choose the owner to which a request is offered first.

        Preferred are, in this order: a target with the request's prefix in its cache and a free slot, any
        free slot, targets in this data centre, more free slots, targets of this router. Ties are broken at
        random.
        """
        for target_id in record.preferred:
            owner = self.routes.owner_of.get(target_id)
            if owner in owners and (owner == self.context.own_id or self.free_slots.get(target_id, 1) > 0):
                self.decrement_free_slots(target_id)
                return owner
        best_key: tuple | None = None
        best: list[tuple[str, str]] = []
        for owner, target_ids in owners.items():
            own = owner == self.context.own_id
            for target_id in target_ids:
                free = self.dispatcher.free_slots(target_id) if own else self.free_slots.get(target_id, 0)
                key = (free > 0, target_id in self.routes.local_targets, free, own)
                if best_key is None or key > best_key:
                    best_key, best = key, []
                if key == best_key:
                    best.append((owner, target_id))
        owner, target_id = self.context.rng.choice(best)
        self.decrement_free_slots(target_id)
        return owner

    def keep_targets(self, targets: Container[str]) -> None:
        """Remove the state of all targets except `targets`, which are listed and have a known class."""
        self.free_slots = {name: free for name, free in self.free_slots.items() if name in targets}

    def decrement_free_slots(self, target_id: str) -> None:
        """Subtract an offer from the target's known free slots, so that the next ones go elsewhere."""
        if self.free_slots.get(target_id, 0) > 0:
            self.free_slots[target_id] -= 1

    def offer_due_to_all(self) -> None:
        """Offer the requests that have waited for `demand_spread_seconds` to all owners."""
        while self.spread_deadlines and self.spread_deadlines[0][0] <= self.context.now:
            record = self.spread_deadlines.popleft()[1]
            if record.offered_to is None or not self.queue.is_waiting(record):
                continue
            self.mark_offered_to_all(record)
            self.context.explain(record.request_id, Step.SPREAD)
            self.announce_to_all(record.bucket)

    def mark_offered_to_all(self, record: RequestRecord) -> None:
        """Record that a request is offered to all owners."""
        owner, record.offered_to = record.offered_to, None
        if owner is None:
            return
        single_owner_offers = self.single_owner_offers[record.bucket]
        single_owner_offers[owner] -= 1
        if not single_owner_offers[owner]:
            del single_owner_offers[owner]
        if not single_owner_offers:
            del self.single_owner_offers[record.bucket]

    def on_request_removed(self, record: RequestRecord, *, granted_by: str | None = None) -> None:
        """Update the offers after a request has left the queue, by a grant of `granted_by` if given."""
        self.mark_offered_to_all(record)
        bucket = record.bucket
        if granted_by not in (None, self.context.own_id):
            self.sender.decrement_announced(granted_by, bucket)
            if self.demand_count(granted_by, bucket) > 0:
                self.sender.announce_if_unknown((granted_by,), bucket)
        for owner in list(self.sender.announced_owners.get(bucket, ())):
            if self.demand_count(owner, bucket) <= 0:
                self.sender.withdraw(owner, bucket)
        self.update_own_demand(bucket)

    def offered_to_all_count(self, bucket: Bucket, *, excluding: int = 0) -> int:
        """Return how many waiting requests are offered to all owners, minus `excluding`."""
        return self.queue.count(bucket) - sum(self.single_owner_offers.get(bucket, {}).values()) - excluding

    def demand_count(self, owner: str, bucket: Bucket) -> int:
        """Return how many waiting requests of the bucket are offered to the owner."""
        if owner not in self.routes.owners(bucket.service):
            return 0
        return self.offered_to_all_count(bucket) + self.single_owner_offers.get(bucket, {}).get(owner, 0)

    def announce_to_all(self, bucket: Bucket) -> None:
        """Announce the bucket to all owners that know of no waiting request of it."""
        if self.offered_to_all_count(bucket) > 0:
            owners = self.routes.owners(bucket.service)
            self.sender.announce_if_unknown(
                (owner for owner in owners if owner != self.context.own_id), bucket
            )
        self.update_own_demand(bucket)

    def update_own_demand(self, bucket: Bucket) -> None:
        """Update the bucket in this router's own demand book."""
        own_id = self.context.own_id
        if self.demand_count(own_id, bucket) <= 0:
            self.demand_book.remove_line(own_id, bucket)
            return
        self.demand_book.set_line(self.demand_entry(own_id, bucket), own_id, self.context.now)
        self.context.demanded_services[bucket.service] = None

    def demand_entry(self, owner: str, bucket: Bucket) -> DemandEntry:
        """Return the demand for a bucket to announce to an owner, with the costs of the oldest request."""
        count = self.demand_count(owner, bucket)
        if count <= 0:
            return DemandEntry(bucket.service, bucket.customer, 0, 0.0)
        oldest = self.queue.buckets[bucket].oldest()
        return DemandEntry(
            service=bucket.service,
            customer=bucket.customer,
            waiting=count,
            oldest_wait_seconds=self.context.now - oldest.arrived_at,
            preferred=self.preferred_targets(bucket, owner),
            prompt_cost=oldest.request.prompt_cost,
            cost_hint=oldest.request.cost_hint,
        )

    def buckets_for(self, owner: str) -> Iterator[Bucket]:
        """Return the buckets with waiting requests that the owner has targets for."""
        for service in self.routes.services_of.get(owner, ()):
            yield from self.queue.by_service.get(service, ())

    def has_free_slots(self, owner: str) -> bool:
        """Return whether the owner has free slots for a service with waiting requests."""
        return any(
            self.free_slots.get(target_id, 0) > 0
            for service in self.routes.services_of.get(owner, ())
            if service in self.queue.by_service
            for target_id in self.routes.owners(service)[owner]
        )

    def preferred_targets(self, bucket: Bucket, owner: str) -> tuple[str, ...]:
        """Return the owner's targets that waiting requests of the bucket prefer."""
        owner_of = self.routes.owner_of
        examined = itertools.islice(self.queue.buckets[bucket].by_preferred_target, MAXIMUM_EXAMINED_TARGETS)
        owned_targets = (target_id for target_id in examined if owner_of.get(target_id) == owner)
        return tuple(itertools.islice(owned_targets, MAXIMUM_PREFERRED_TARGETS))

    def owners_changed(self) -> None:
        """Offer the waiting requests again after owners of targets have changed."""
        owners_now: dict[str, None] = {}
        for bucket in self.queue.buckets:
            owners = self.routes.owners(bucket.service)
            for owner in list(self.single_owner_offers.get(bucket, ())):
                if owner not in owners:
                    # The single owner that was asked is gone: offer the bucket to all others at once.
                    self.single_owner_offers.pop(bucket)
                    for record in self.queue.buckets[bucket].records.values():
                        record.offered_to = None
                    break
            owners_now.update(dict.fromkeys(owners))
            self.announce_to_all(bucket)
        for owner in self.sender.announced_counts:
            if owner not in owners_now:
                self.sender.full_updates_due[owner] = None

    def next_due(self) -> float:
        """Return when the next demand message or offer to all owners is due."""
        while self.spread_deadlines and not self.is_offered_to_one_owner(self.spread_deadlines[0][1]):
            self.spread_deadlines.popleft()
        spread = self.spread_deadlines[0][0] if self.spread_deadlines else math.inf
        return min(spread, self.sender.next_due())

    def is_offered_to_one_owner(self, record: RequestRecord) -> bool:
        """Return whether the request still waits and is offered to a single owner."""
        return record.offered_to is not None and self.queue.is_waiting(record)
