"""Demand sent to owners: the first offer of a request, its spread, withdrawal and refresh.

What each owner was told is kept by bucket. A demand is sent at once when an owner knows of no waiting
request of a bucket that has one, a little later when all requests of a bucket are gone, and at intervals
while requests wait. Changes of a count in between cause no message: an owner counts its own grants down by
itself.
"""

import math
from collections import deque

from limpetusher.core.context import Context
from limpetusher.core.process.dispatch import Dispatcher
from limpetusher.core.process.routes import Routes
from limpetusher.core.request.explanation import Step
from limpetusher.core.request.queue import RequestQueue
from limpetusher.core.request.record import Bucket, RequestRecord
from limpetusher.wire.messages import Demand, DemandEntry

WITHDRAW_DELAY_SECONDS = 0.01
MAXIMUM_PREFERRED = 4
DEMANDS_PER_SECOND = 100.0
DEMAND_BURST = 50.0
"""Both bound the control traffic of a router whose requests wait at many owners."""


class SendAllowance:
    """Limits how often demands are sent; first offers may exceed it, and the others then wait."""

    def __init__(self, now: float):
        self.tokens = DEMAND_BURST
        self.updated_at = now

    def available(self, now: float) -> bool:
        """Return whether a demand may be sent now."""
        return self.available_at() <= now

    def available_at(self) -> float:
        """Return when a demand may be sent."""
        return self.updated_at + max(0.0, 1.0 - self.tokens) / DEMANDS_PER_SECOND

    def spend(self, now: float) -> None:
        """Count a demand that is sent."""
        earned = (now - self.updated_at) * DEMANDS_PER_SECOND
        self.tokens = min(DEMAND_BURST, self.tokens + earned) - 1.0
        self.updated_at = now


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
        self.told: dict[str, dict[Bucket, int]] = {}
        """Number of waiting requests that each owner believes in, by owner and bucket."""
        self.told_owners: dict[Bucket, dict[str, None]] = {}
        self.spread_times: deque[tuple[float, RequestRecord]] = deque()
        self.first_offers: dict[str, None] = {}
        self.outdated: dict[str, None] = {}
        """Owners whose knowledge has to be brought up to date as the rate of messages allows."""
        self.allowance = SendAllowance(context.now)
        self.withdraw_at: dict[str, float] = {}
        self.last_grant: dict[str, int] = {}
        self.free_slots: dict[str, int] = {}
        """Free slots of other owners' targets, as last heard of and reduced by offers made since."""
        self.refresh_at = -math.inf

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
            self.touch(record.bucket, owner)
            if owner in self.outdated:
                self.first_offers[owner] = None
        else:
            # Owners that already know of waiting requests of this bucket need no message.
            record.offered_to = None
            self.context.explain(record.request_id, Step.SPREAD)
            for owner in owners:
                self.touch(record.bucket, owner)

    def first_owner(self, record: RequestRecord, owners: dict[str, tuple[str, ...]]) -> str:
        """Choose the owner that hears of a request first.

        The order is: a target with the request's prefix in its cache and a free slot, any free slot, the own
        data centre, the number of free slots last heard of, this router itself, a random one.
        """
        membership = self.context.membership
        for target_id in record.preferred:
            owner = self.routes.owner_of.get(target_id)
            if owner in owners and (owner == self.context.own_id or self.free_slots.get(target_id, 1) > 0):
                self.count_down(target_id)
                return owner
        best: tuple[tuple, str, str] | None = None
        for owner, target_ids in owners.items():
            for target_id in target_ids:
                free = self.free_of(owner, target_id)
                near = membership.target(target_id).data_centre == self.context.data_centre
                own = owner == self.context.own_id
                key = (free > 0, near, free, own, self.context.rng.random())
                if best is None or key > best[0]:
                    best = (key, owner, target_id)
        assert best is not None
        self.count_down(best[2])
        return best[1]

    def free_of(self, owner: str, target_id: str) -> int:
        """Return the free slots of a target as far as this router knows."""
        if owner == self.context.own_id:
            return self.dispatcher.free_slots(target_id)
        return self.free_slots.get(target_id, 0)

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
            for owner in self.routes.owners(record.bucket.service):
                self.touch(record.bucket, owner)

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

    def removed(self, record: RequestRecord) -> None:
        """Correct the offers after a request has left the queue."""
        self.widen(record)
        bucket = record.bucket
        for owner in list(self.told_owners.get(bucket, ())):
            self.touch(bucket, owner)
        self.touch(bucket, self.context.own_id)

    def granted_by(self, owner: str, bucket: Bucket, number: int) -> None:
        """Take note of a grant: the owner counts one waiting request less."""
        self.last_grant[owner] = max(self.last_grant.get(owner, 0), number)
        told = self.told.get(owner)
        if told and bucket in told:
            self.set_told(owner, bucket, told[bucket] - 1)
        self.touch(bucket, owner)

    def spread_count(self, bucket: Bucket, *, excluding: int = 0) -> int:
        """Return how many waiting requests are offered to all owners; `excluding` of them are not counted."""
        return self.queue.count(bucket) - sum(self.narrow.get(bucket, {}).values()) - excluding

    def count_for(self, owner: str, bucket: Bucket) -> int:
        """Return how many waiting requests of the bucket the owner should know of."""
        if owner not in self.routes.owners(bucket.service):
            return 0
        return self.spread_count(bucket) + self.narrow.get(bucket, {}).get(owner, 0)

    def touch(self, bucket: Bucket, owner: str) -> None:
        """Plan a message if what the owner knows of the bucket differs too much from what it should know."""
        count = self.count_for(owner, bucket)
        if owner == self.context.own_id:
            self.enter_own(bucket, count)
            return
        told = self.told.get(owner, {}).get(bucket, 0)
        if count > 0 and told <= 0:
            self.outdated[owner] = None
        elif count <= 0 and told > 0:
            self.withdraw_at.setdefault(owner, self.context.now + WITHDRAW_DELAY_SECONDS)

    def enter_own(self, bucket: Bucket, count: int) -> None:
        """Enter the bucket in the own demand book."""
        own_id = self.context.own_id
        if count <= 0:
            self.book.set_line(own_id, bucket, 0, 0.0, ())
            return
        queue = self.queue.buckets[bucket]
        preferred = self.preferred(bucket, own_id)
        self.book.set_line(own_id, bucket, count, queue.oldest().arrived_at, preferred)
        self.context.wanted_services[bucket.service] = None

    def preferred(self, bucket: Bucket, owner: str) -> tuple[str, ...]:
        """Return the owner's targets that waiting requests of the bucket prefer."""
        owner_of = self.routes.owner_of
        preferring = self.queue.buckets[bucket].preferring
        targets = (target_id for target_id in preferring if owner_of.get(target_id) == owner)
        return tuple(target_id for _, target_id in zip(range(MAXIMUM_PREFERRED), targets, strict=False))

    def set_told(self, owner: str, bucket: Bucket, count: int) -> None:
        """Record what the owner believes after a message or grant."""
        if count > 0:
            self.told.setdefault(owner, {})[bucket] = count
            self.told_owners.setdefault(bucket, {})[owner] = None
            return
        told = self.told.get(owner)
        if told is not None and told.pop(bucket, None) is not None:
            if not told:
                del self.told[owner]
            owners = self.told_owners[bucket]
            del owners[owner]
            if not owners:
                del self.told_owners[bucket]

    def send(self, owner: str) -> None:
        """Send the owner the present demand."""
        context, now = self.context, self.context.now
        self.first_offers.pop(owner, None)
        self.outdated.pop(owner, None)
        self.withdraw_at.pop(owner, None)
        for bucket in list(self.told.get(owner, ())):
            self.set_told(owner, bucket, 0)
        entries = []
        for service in self.routes.services_of.get(owner, ()):
            for bucket, queue in self.queue.by_service.get(service, {}).items():
                count = self.count_for(owner, bucket)
                if count > 0:
                    wait = now - queue.oldest().arrived_at
                    preferred = self.preferred(bucket, owner)
                    entries.append(DemandEntry(service, bucket.customer, count, wait, preferred))
                    self.set_told(owner, bucket, count)
        sequence = context.peers.next_sequence(owner, now)
        context.send(owner, Demand(sequence, self.last_grant.get(owner, 0), tuple(entries)))

    def flush(self) -> None:
        """Send the demands that are due: first offers at once, the others as the rate of messages allows."""
        now = self.context.now
        for owner in list(self.first_offers):
            self.allowance.spend(now)
            self.send(owner)
        if self.withdraw_at:
            for owner in [owner for owner, due in self.withdraw_at.items() if due <= now]:
                self.outdated[owner] = None
        for owner in list(self.outdated):
            if not self.allowance.available(now):
                break
            self.allowance.spend(now)
            self.send(owner)

    def withdraw_all(self) -> None:
        """Withdraw all demand at once, because this router stops."""
        for owner in list(self.told):
            self.send(owner)

    def refresh(self) -> None:
        """Repeat the demand to all owners, because messages may be lost and counts have changed since."""
        now = self.context.now
        if now < self.refresh_at or not self.told:
            return
        self.refresh_at = now + 2.0 * len(self.told) / DEMANDS_PER_SECOND
        self.outdated.update(dict.fromkeys(self.told))

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
            for owner in owners:
                owners_now[owner] = None
                self.touch(bucket, owner)
            self.touch(bucket, self.context.own_id)
        for owner in [owner for owner in self.told if owner not in owners_now]:
            self.withdraw_at.setdefault(owner, self.context.now)

    def forget(self, owner: str) -> None:
        """Forget what a router was told that has restarted, is unreachable or is no longer listed."""
        for bucket in list(self.told.get(owner, ())):
            self.set_told(owner, bucket, 0)
        self.last_grant.pop(owner, None)
        self.first_offers.pop(owner, None)
        self.outdated.pop(owner, None)
        self.withdraw_at.pop(owner, None)

    def next_due(self) -> float:
        """Return when the next demand, spread or withdrawal is due."""
        while self.spread_times and not self.pending(self.spread_times[0][1]):
            self.spread_times.popleft()
        spread = self.spread_times[0][0] if self.spread_times else math.inf
        demand = self.allowance.available_at() if self.outdated else math.inf
        # Withdrawals that are due and wait for the rate of messages are among the outdated ones.
        withdrawals = (due for owner, due in self.withdraw_at.items() if owner not in self.outdated)
        return min(spread, demand, min(withdrawals, default=math.inf))

    def pending(self, record: RequestRecord) -> bool:
        """Return whether the request still waits with one owner only."""
        return record.offered_to is not None and self.queue.waits(record)
