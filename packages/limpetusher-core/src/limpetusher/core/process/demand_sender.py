"""Messages that tell owners what waits here, and what each owner was told.

An owner is told at once when it knows of no waiting request of a bucket that has one, a little later when all
requests of a bucket are gone, and everything again at intervals. Changes of a count in between cause no
message: an owner counts its own grants down by itself. Except for the repetitions, messages name only the
buckets that changed.
"""

import math
from collections.abc import Callable, Iterable

from limpetusher.core.context import Context
from limpetusher.core.request.record import Bucket
from limpetusher.wire.messages import Demand, DemandEntry

WITHDRAW_DELAY_SECONDS = 0.01
DEMAND_BYTES_PER_SECOND = 8_000.0
"""Part of the 14 KB/s of control traffic that a router may cause."""
DEMAND_BURST_BYTES = 16_000.0
MESSAGE_BYTES = 110
ENTRY_BYTES = 45
"""Approximate sizes of an encoded demand without entries, and of one entry."""


class Allowance:
    """Token bucket for bytes of demands; first offers may overdraw it, and the others then wait."""

    def __init__(self, now: float):
        self.tokens = DEMAND_BURST_BYTES
        self.updated_at = now

    def available_at(self) -> float:
        """Return from when on a demand may be sent."""
        return self.updated_at + max(0.0, -self.tokens) / DEMAND_BYTES_PER_SECOND

    def spend(self, now: float, size: float) -> None:
        """Count a demand that is sent."""
        earned = (now - self.updated_at) * DEMAND_BYTES_PER_SECOND
        self.tokens = min(DEMAND_BURST_BYTES, self.tokens + earned) - size
        self.updated_at = now


class DemandSender:
    """Keeps what each owner was told and sends what it should know.

    Parameters
    ----------
    context
        The router's parts.
    entry_for
        Returns what an owner should know of a bucket; `waiting` is 0 when nothing waits for it.
    buckets_for
        Returns the buckets with waiting requests that an owner has targets for.
    has_free_slots
        Returns whether an owner has said that it has free slots.
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
        self.told: dict[str, dict[Bucket, int]] = {}
        """Number of waiting requests that each owner believes in, by owner and bucket."""
        self.told_owners: dict[Bucket, dict[str, None]] = {}
        self.last_grant: dict[str, int] = {}
        self.first_offers: dict[str, dict[Bucket, None]] = {}
        self.outdated: dict[str, dict[Bucket, None]] = {}
        self.withdrawn: dict[str, dict[Bucket, None]] = {}
        self.withdraw_at: dict[str, float] = {}
        self.repeated: dict[str, None] = {}
        self.repeat_at = -math.inf
        self.allowance = Allowance(context.now)

    # What has changed

    def told_count(self, owner: str, bucket: Bucket) -> int:
        """Return how many waiting requests of the bucket the owner believes in."""
        return self.told.get(owner, {}).get(bucket, 0)

    def first_offer(self, owner: str, bucket: Bucket) -> None:
        """Tell an owner at once that a request of the bucket waits, unless it knows already."""
        if not self.told_count(owner, bucket):
            self.first_offers.setdefault(owner, {})[bucket] = None

    def unknown_to(self, owners: Iterable[str], bucket: Bucket) -> None:
        """Tell those of the owners that know of no waiting request of the bucket."""
        knowing = self.told_owners.get(bucket, ())
        for owner in owners:
            if owner not in knowing:
                self.outdated.setdefault(owner, {})[bucket] = None

    def withdraw(self, owner: str, bucket: Bucket) -> None:
        """Tell an owner soon that nothing of the bucket waits for it any more."""
        self.withdrawn.setdefault(owner, {})[bucket] = None
        self.withdraw_at.setdefault(owner, self.context.now + WITHDRAW_DELAY_SECONDS)

    def received_grant(self, owner: str, number: int) -> None:
        """Take note of a grant's number, so that the owner does not count it as on its way any more."""
        self.last_grant[owner] = max(self.last_grant.get(owner, 0), number)

    def count_down(self, owner: str, bucket: Bucket) -> None:
        """Take note that the owner counts one waiting request less, because its grant was used."""
        told = self.told_count(owner, bucket)
        if told:
            self.set_told(owner, bucket, told - 1)

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

    def forget(self, owner: str) -> None:
        """Forget what a router was told that has restarted, is unreachable or is no longer listed."""
        for bucket in list(self.told.get(owner, ())):
            self.set_told(owner, bucket, 0)
        self.last_grant.pop(owner, None)
        self.repeated.pop(owner, None)
        self.pending_buckets(owner)

    # Messages

    def pending_buckets(self, owner: str) -> dict[Bucket, None]:
        """Return the buckets that the owner has to be told about, and clear them."""
        self.withdraw_at.pop(owner, None)
        return {
            **self.first_offers.pop(owner, {}),
            **self.outdated.pop(owner, {}),
            **self.withdrawn.pop(owner, {}),
        }

    def send(self, owner: str) -> None:
        """Tell an owner about the buckets that have changed."""
        self.send_entries(owner, self.pending_buckets(owner), partial=True)

    def send_all(self, owner: str) -> None:
        """Tell an owner everything that waits for it; it forgets the rest."""
        self.repeated.pop(owner, None)
        self.pending_buckets(owner)
        for bucket in list(self.told.get(owner, ())):
            self.set_told(owner, bucket, 0)
        self.send_entries(owner, self.buckets_for(owner), partial=False)

    def send_entries(self, owner: str, buckets: Iterable[Bucket], *, partial: bool) -> None:
        """Send one demand."""
        entries = []
        for bucket in buckets:
            entry = self.entry_for(owner, bucket)
            if entry.waiting > 0 or self.told_count(owner, bucket) > 0:
                entries.append(entry)
            self.set_told(owner, bucket, entry.waiting)
        if partial and not entries:
            return
        now = self.context.now
        self.allowance.spend(now, MESSAGE_BYTES + ENTRY_BYTES * len(entries))
        sequence = self.context.peers.next_sequence(owner, now)
        last_grant = self.last_grant.get(owner, 0)
        self.context.send(owner, Demand(sequence, last_grant, tuple(entries), partial))

    def flush(self) -> None:
        """Send what is due: first offers at once, the others as the allowance permits.

        Owners with free slots come first, so that no capacity is idle while messages wait.
        """
        now = self.context.now
        for owner in list(self.first_offers):
            self.send(owner)
        if self.withdraw_at:
            for owner in [owner for owner, due in self.withdraw_at.items() if due <= now]:
                del self.withdraw_at[owner]
                self.outdated.setdefault(owner, {}).update(self.withdrawn.pop(owner))
        if self.outdated and self.allowance.available_at() <= now:
            for owner in sorted(self.outdated, key=lambda owner: not self.has_free_slots(owner)):
                if self.allowance.available_at() > now:
                    return
                self.send(owner)
        for owner in list(self.repeated):
            if self.allowance.available_at() > now:
                return
            self.send_all(owner)

    def repeat(self) -> None:
        """Plan to tell all owners everything again, as messages may be lost and counts have changed since.

        This takes at most half of the allowance.
        """
        now = self.context.now
        if now < self.repeat_at or not self.told:
            return
        size = sum(MESSAGE_BYTES + ENTRY_BYTES * len(told) for told in self.told.values())
        self.repeat_at = now + 2.0 * size / DEMAND_BYTES_PER_SECOND
        self.repeated.update(dict.fromkeys(self.told))

    def withdraw_all(self) -> None:
        """Withdraw all demand at once, because this router stops."""
        for owner in list(self.told):
            self.send_all(owner)

    def next_due(self) -> float:
        """Return when a message is due."""
        planned = self.allowance.available_at() if self.outdated or self.repeated else math.inf
        return min(planned, min(self.withdraw_at.values(), default=math.inf))
