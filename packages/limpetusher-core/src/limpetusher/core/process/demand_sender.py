"""Demand messages, which announce this router's waiting requests to owners.

A first waiting request of a bucket is announced at once. After the last one, the bucket is withdrawn with a
short delay. Other changes of a count cause no message, because an owner subtracts its own grants itself.
These messages name only the changed buckets; full updates with all buckets are sent at intervals.
"""

import math
from collections.abc import Callable, Iterable

from limpetusher.core.context import Context
from limpetusher.core.request.record import Bucket
from limpetusher.wire.messages import Demand, DemandEntry

WITHDRAW_DELAY_SECONDS = 0.01
DEMAND_BYTES_PER_SECOND = 8_000.0
"""Part of the 14 KB/s of control traffic that a router may send."""
DEMAND_BURST_BYTES = 16_000.0
EMPTY_DEMAND_BYTES = 110
DEMAND_ENTRY_BYTES = 45
"""Approximate sizes of an encoded demand without entries, and of one entry."""


class DemandRateLimit:
    """Token bucket for the bytes of demands; first offers may overdraw it, other messages then wait."""

    def __init__(self, now: float):
        self.tokens = DEMAND_BURST_BYTES
        self.updated_at = now

    def available_at(self) -> float:
        """Return the time from which the next demand may be sent."""
        return self.updated_at + max(0.0, -self.tokens) / DEMAND_BYTES_PER_SECOND

    def consume(self, now: float, size: float) -> None:
        """Subtract the size of a demand that is sent."""
        earned = (now - self.updated_at) * DEMAND_BYTES_PER_SECOND
        self.tokens = min(DEMAND_BURST_BYTES, self.tokens + earned) - size
        self.updated_at = now


class DemandSender:
    """Sends demands to owners and records what was announced to each of them.

    Parameters
    ----------
    context
        Components and state of the router.
    entry_for
        Returns the demand for a bucket to announce to an owner; `waiting` is 0 when nothing waits for it.
    buckets_for
        Returns the buckets with waiting requests that an owner has targets for.
    has_free_slots
        Returns whether an owner has announced free slots for a service with waiting requests.
    """

    def __init__(
        self,
        context: Context,
        entry_for: Callable[[str, Bucket], DemandEntry],
        buckets_for: Callable[[str], Iterable[Bucket]],
        has_free_slots: Callable[[str], bool],
    ):
        self.context = context
        self.entry_for = entry_for
        self.buckets_for = buckets_for
        self.has_free_slots = has_free_slots
        self.announced_counts: dict[str, dict[Bucket, int]] = {}
        """Number of waiting requests that each owner knows of, by owner and bucket."""
        self.announced_owners: dict[Bucket, dict[str, None]] = {}
        self.last_grant_number: dict[str, int] = {}
        self.first_offers: dict[str, dict[Bucket, None]] = {}
        self.unannounced: dict[str, dict[Bucket, None]] = {}
        self.withdrawn: dict[str, dict[Bucket, None]] = {}
        self.withdraw_at: dict[str, float] = {}
        self.full_updates_due: dict[str, None] = {}
        self.next_full_updates_at = -math.inf
        self.rate_limit = DemandRateLimit(context.now)

    # Changes to announce

    def announced_count(self, owner: str, bucket: Bucket) -> int:
        """Return how many waiting requests of the bucket the owner knows of."""
        return self.announced_counts.get(owner, {}).get(bucket, 0)

    def announce_first_offer(self, owner: str, bucket: Bucket) -> None:
        """Announce the bucket to an owner at once, unless it knows of a waiting request already."""
        if not self.announced_count(owner, bucket):
            self.first_offers.setdefault(owner, {})[bucket] = None

    def announce_if_unknown(self, owners: Iterable[str], bucket: Bucket) -> None:
        """Announce the bucket to those of the owners that know of no waiting request of it."""
        announced_to = self.announced_owners.get(bucket, ())
        for owner in owners:
            if owner not in announced_to:
                self.unannounced.setdefault(owner, {})[bucket] = None

    def withdraw(self, owner: str, bucket: Bucket) -> None:
        """Withdraw a bucket without waiting requests from an owner after `WITHDRAW_DELAY_SECONDS`."""
        self.withdrawn.setdefault(owner, {})[bucket] = None
        self.withdraw_at.setdefault(owner, self.context.now + WITHDRAW_DELAY_SECONDS)

    def received_grant(self, owner: str, number: int) -> None:
        """Record the number of a received grant, so that the owner no longer counts it as in flight."""
        self.last_grant_number[owner] = max(self.last_grant_number.get(owner, 0), number)

    def decrement_announced(self, owner: str, bucket: Bucket) -> None:
        """Record that the owner counts one waiting request less, because its grant was used."""
        count = self.announced_count(owner, bucket)
        if count:
            self.set_announced(owner, bucket, count - 1)

    def set_announced(self, owner: str, bucket: Bucket, count: int) -> None:
        """Record how many waiting requests the owner knows of after a message or grant."""
        if count > 0:
            self.announced_counts.setdefault(owner, {})[bucket] = count
            self.announced_owners.setdefault(bucket, {})[owner] = None
            return
        counts = self.announced_counts.get(owner)
        if counts is not None and counts.pop(bucket, None) is not None:
            if not counts:
                del self.announced_counts[owner]
            owners = self.announced_owners[bucket]
            del owners[owner]
            if not owners:
                del self.announced_owners[bucket]

    def forget_owner(self, owner: str) -> None:
        """Remove the state of an owner that has restarted, is unreachable or is no longer listed."""
        for bucket in list(self.announced_counts.get(owner, ())):
            self.set_announced(owner, bucket, 0)
        self.last_grant_number.pop(owner, None)
        self.full_updates_due.pop(owner, None)
        self.take_pending_buckets(owner)

    # Messages

    def take_pending_buckets(self, owner: str) -> dict[Bucket, None]:
        """Return and clear the buckets whose changes have not been sent to the owner."""
        self.withdraw_at.pop(owner, None)
        return {
            **self.first_offers.pop(owner, {}),
            **self.unannounced.pop(owner, {}),
            **self.withdrawn.pop(owner, {}),
        }

    def send_changes(self, owner: str) -> None:
        """Send an owner the buckets that have changed."""
        self.send_entries(owner, self.take_pending_buckets(owner), partial=True)

    def send_full_update(self, owner: str) -> None:
        """Send an owner all buckets with waiting requests for it; the owner removes all others."""
        self.full_updates_due.pop(owner, None)
        self.take_pending_buckets(owner)
        for bucket in list(self.announced_counts.get(owner, ())):
            self.set_announced(owner, bucket, 0)
        self.send_entries(owner, self.buckets_for(owner), partial=False)

    def send_entries(self, owner: str, buckets: Iterable[Bucket], *, partial: bool) -> None:
        """Send one demand, unless it is partial and without entries."""
        entries = []
        for bucket in buckets:
            entry = self.entry_for(owner, bucket)
            if entry.waiting > 0 or self.announced_count(owner, bucket) > 0:
                entries.append(entry)
            self.set_announced(owner, bucket, entry.waiting)
        if partial and not entries:
            return
        now = self.context.now
        self.rate_limit.consume(now, EMPTY_DEMAND_BYTES + DEMAND_ENTRY_BYTES * len(entries))
        sequence = self.context.peers.next_sequence(owner, now)
        last_grant_number = self.last_grant_number.get(owner, 0)
        self.context.send(owner, Demand(sequence, last_grant_number, tuple(entries), partial))

    def send_due(self) -> None:
        """Send due messages: first offers at once, the others as the rate limit allows.

        Owners with free slots come first, so that no slot stays idle while its owner's message waits.
        """
        now = self.context.now
        for owner in list(self.first_offers):
            self.send_changes(owner)
        if self.withdraw_at:
            for owner in [owner for owner, due in self.withdraw_at.items() if due <= now]:
                del self.withdraw_at[owner]
                self.unannounced.setdefault(owner, {}).update(self.withdrawn.pop(owner))
        if self.unannounced and self.rate_limit.available_at() <= now:
            for owner in sorted(self.unannounced, key=lambda owner: not self.has_free_slots(owner)):
                if self.rate_limit.available_at() > now:
                    return
                self.send_changes(owner)
        for owner in list(self.full_updates_due):
            if self.rate_limit.available_at() > now:
                return
            self.send_full_update(owner)

    def schedule_full_updates(self) -> None:
        """Schedule full updates of all owners, because messages may have been lost and counts have changed.

        They use at most half of the rate limit.
        """
        now = self.context.now
        if now < self.next_full_updates_at or not self.announced_counts:
            return
        size = sum(
            EMPTY_DEMAND_BYTES + DEMAND_ENTRY_BYTES * len(counts) for counts in self.announced_counts.values()
        )
        self.next_full_updates_at = now + 2.0 * size / DEMAND_BYTES_PER_SECOND
        self.full_updates_due.update(dict.fromkeys(self.announced_counts))

    def withdraw_all(self) -> None:
        """Withdraw all demand at once, when this router stops."""
        for owner in list(self.announced_counts):
            self.send_full_update(owner)

    def next_due(self) -> float:
        """Return when the next message is due."""
        planned = self.rate_limit.available_at() if self.unannounced or self.full_updates_due else math.inf
        return min(planned, min(self.withdraw_at.values(), default=math.inf))
