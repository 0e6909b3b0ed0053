"""Waiting requests by customer and service, their deadlines, and estimates of their waiting time."""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Iterator

from limpetusher.core.request.record import Bucket, RequestRecord
from limpetusher.core.settings import PolicySettings

MINIMUM_RATE_SAMPLES = 5
MINIMUM_RATE_SECONDS = 1.0
MINIMUM_RETRY_AFTER_SECONDS = 1.0
MAXIMUM_RETRY_AFTER_SECONDS = 60.0
HEAP_SLACK_ENTRIES = 64


class ServiceRate:
    """Measures how fast waiting requests of one bucket are granted while the bucket has a backlog.

    Only intervals within one uninterrupted backlog count: the time between two requests of an idle customer
    says nothing about the capacity. An estimate is given after `MINIMUM_RATE_SAMPLES` intervals and
    `MINIMUM_RATE_SECONDS`, because grants may come in bursts.
    """

    def __init__(self, weight: float):
        self.weight = weight
        self.backlogged_since: float | None = None
        self.last_granted_at = 0.0
        self.samples = 0
        self.mean_interval_seconds = 0.0

    def start_backlog(self, now: float) -> None:
        """Start a new backlog."""
        self.backlogged_since = self.last_granted_at = now
        self.samples = 0

    def record_granted(self, now: float) -> None:
        """Record that a waiting request was granted."""
        sample = now - self.last_granted_at
        self.last_granted_at = now
        self.samples += 1
        # An arithmetic mean until the weight of a sample falls to that of the moving average.
        weight = max(self.weight, 1.0 / self.samples)
        self.mean_interval_seconds += weight * (sample - self.mean_interval_seconds)

    def estimated_wait(self, ahead: int, now: float) -> float | None:
        """Return how long a request waits that has `ahead` requests before it, None when unknown."""
        if self.backlogged_since is None or self.samples < MINIMUM_RATE_SAMPLES:
            return None
        if now - self.backlogged_since < MINIMUM_RATE_SECONDS:
            return None
        stall = max(0.0, now - self.last_granted_at - self.mean_interval_seconds)
        return ahead * self.mean_interval_seconds + stall


class BucketQueue:
    """Waiting requests of one bucket, oldest first."""

    def __init__(self, weight: float):
        self.records: OrderedDict[str, RequestRecord] = OrderedDict()
        self.by_preferred_target: dict[str, OrderedDict[str, RequestRecord]] = {}
        self.rate = ServiceRate(weight)

    def add(self, record: RequestRecord, *, at_front: bool) -> None:
        """Append a request, or insert it in front if it waited before."""
        self.records[record.request_id] = record
        if at_front:
            self.records.move_to_end(record.request_id, last=False)
        for target_id in record.preferred:
            self.by_preferred_target.setdefault(target_id, OrderedDict())[record.request_id] = record

    def discard(self, record: RequestRecord) -> None:
        """Remove a request."""
        del self.records[record.request_id]
        for target_id in record.preferred:
            preferring_records = self.by_preferred_target[target_id]
            del preferring_records[record.request_id]
            if not preferring_records:
                del self.by_preferred_target[target_id]

    def oldest(self) -> RequestRecord:
        """Return the request that has waited longest."""
        return next(iter(self.records.values()))

    def newest(self) -> RequestRecord:
        """Return the request that joined last."""
        return next(reversed(self.records.values()))


class RequestQueue:
    """Waiting requests of this router's callers."""

    def __init__(self, settings: PolicySettings):
        self.settings = settings
        self.records: dict[str, RequestRecord] = {}
        self.buckets: dict[Bucket, BucketQueue] = {}
        self.by_service: dict[str, dict[Bucket, BucketQueue]] = {}
        self.customer_counts: dict[str, int] = {}
        self.customers_changed = False
        """Set when the set of customers with waiting requests changes; reset by the reader."""
        self.deadlines: list[tuple[float, int, RequestRecord]] = []
        self.tie_breaker = itertools.count()

    def __len__(self) -> int:
        return len(self.records)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self.records

    def count(self, bucket: Bucket) -> int:
        """Return how many requests of the bucket wait."""
        queue = self.buckets.get(bucket)
        return len(queue.records) if queue is not None else 0

    def customer_count(self, customer: str) -> int:
        """Return how many requests of the customer wait, over all services."""
        return self.customer_counts.get(customer, 0)

    def customers(self) -> Iterator[str]:
        """Return the customers with waiting requests."""
        return iter(self.customer_counts)

    def add(self, record: RequestRecord, now: float, *, at_front: bool = False) -> None:
        """Queue a request; `at_front` puts a request that waited before in front of the others."""
        bucket = record.bucket
        queue = self.buckets.get(bucket)
        if queue is None:
            queue = self.buckets[bucket] = BucketQueue(self.settings.estimate_weight)
            queue.rate.start_backlog(now)
            self.by_service.setdefault(bucket.service, {})[bucket] = queue
        queue.add(record, at_front=at_front)
        self.records[record.request_id] = record
        self.customer_counts[bucket.customer] = self.customer_count(bucket.customer) + 1
        self.customers_changed |= self.customer_counts[bucket.customer] == 1
        heapq.heappush(self.deadlines, (record.deadline, next(self.tie_breaker), record))

    def next_for(self, bucket: Bucket, target_id: str) -> RequestRecord | None:
        """Return the oldest request that prefers the target, or else the oldest one."""
        queue = self.buckets.get(bucket)
        if queue is None:
            return None
        preferring_records = queue.by_preferred_target.get(target_id)
        if preferring_records:
            return next(iter(preferring_records.values()))
        return queue.oldest()

    def remove(self, request_id: str) -> RequestRecord | None:
        """Remove a request and return it, None if it is not in the queue."""
        record = self.records.pop(request_id, None)
        if record is None:
            return None
        bucket = record.bucket
        queue = self.buckets[bucket]
        queue.discard(record)
        if not queue.records:
            self.discard_bucket(bucket)
        self.customer_counts[bucket.customer] -= 1
        if not self.customer_counts[bucket.customer]:
            del self.customer_counts[bucket.customer]
            self.customers_changed = True
        self.compact_deadlines()
        return record

    def discard_bucket(self, bucket: Bucket) -> None:
        """Drop a bucket that has become empty."""
        del self.buckets[bucket]
        service_buckets = self.by_service[bucket.service]
        del service_buckets[bucket]
        if not service_buckets:
            del self.by_service[bucket.service]

    def take_granted(self, request_id: str, now: float) -> RequestRecord | None:
        """Remove a request that was granted, and measure the service rate."""
        record = self.records.get(request_id)
        if record is not None:
            self.buckets[record.bucket].rate.record_granted(now)
        return self.remove(request_id)

    def compact_deadlines(self) -> None:
        """Rebuild the heap when most entries belong to requests that are no longer in the queue."""
        if len(self.deadlines) > 2 * len(self.records) + HEAP_SLACK_ENTRIES:
            self.deadlines = [entry for entry in self.deadlines if self.is_waiting(entry[2])]
            heapq.heapify(self.deadlines)

    def is_waiting(self, record: RequestRecord) -> bool:
        """Return whether this record is in the queue; another one with the same identifier does not count."""
        return self.records.get(record.request_id) is record

    def remove_expired(self, now: float) -> list[RequestRecord]:
        """Remove and return the requests whose deadline has passed."""
        expired = []
        while self.deadlines and self.deadlines[0][0] <= now:
            record = heapq.heappop(self.deadlines)[2]
            if self.is_waiting(record):
                self.remove(record.request_id)
                expired.append(record)
        return expired

    def remove_unmeetable(self, now: float) -> list[RequestRecord]:
        """Remove and return the newest requests that can't be served before their deadline.

        Each queue is examined from its end only until a request can be served in time, so that the cost is
        bounded by the number of buckets and of removed requests.
        """
        removed = []
        for bucket in list(self.buckets):
            while queue := self.buckets.get(bucket):
                newest = queue.newest()
                wait = queue.rate.estimated_wait(len(queue.records) - 1, now)
                if wait is None or now + wait <= newest.deadline:
                    break
                self.remove(newest.request_id)
                removed.append(newest)
        return removed

    def estimated_wait(self, bucket: Bucket, now: float) -> float | None:
        """Return how long a request that joins now waits, None when unknown."""
        queue = self.buckets.get(bucket)
        return queue.rate.estimated_wait(len(queue.records), now) if queue is not None else 0.0

    def retry_after(self, bucket: Bucket, now: float) -> float:
        """Return after how many seconds a refused caller may retry: when the present queue is served."""
        wait = self.estimated_wait(bucket, now) or 0.0
        return min(max(wait, MINIMUM_RETRY_AFTER_SECONDS), MAXIMUM_RETRY_AFTER_SECONDS)

    def next_deadline(self) -> float:
        """Return the earliest deadline of a waiting request, infinity when none waits."""
        while self.deadlines and not self.is_waiting(self.deadlines[0][2]):
            heapq.heappop(self.deadlines)
        return self.deadlines[0][0] if self.deadlines else float("inf")
