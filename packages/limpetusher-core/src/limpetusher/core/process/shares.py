"""Slot carriers: leases lent to owners and leases held from carriers."""

from dataclasses import dataclass

from limpetusher.core.connection.peers import Peers
from limpetusher.core.process.membership import Membership
from limpetusher.core.settings import PolicySettings


@dataclass(slots=True)
class CarriedSlots:
    """The slots of one target that this router carries: slots `s` with `s % count == index`.

    They may be lent from `ready_at` on; it is None until all routers of `claimants`, which may use the slots
    under another host list, have confirmed the present one.
    """

    index: int
    count: int
    ready_at: float | None
    claimants: frozenset[str]
    lent_to: str | None = None
    lent_at: float = 0.0

    def includes(self, other: "CarriedSlots") -> bool:
        """Return whether all slots of `other` are among these, whatever the target's number of slots."""
        return other.count % self.count == 0 and other.index % self.count == self.index


@dataclass(slots=True)
class Lease:
    """A lease held from a carrier. `since` is when it became valid without interruption."""

    since: float
    until: float


@dataclass(frozen=True, slots=True)
class Contact:
    """The last heartbeat of a peer: when the number it echoes was sent, and the sender's host list."""

    sent_at: float
    received_at: float
    host_list_version: int


class Shares:
    """Slot shares of this router as a carrier and as an owner.

    A carrier whose slots have grown lends them when all earlier and present carriers of the target that are
    listed have confirmed its host list version, and the takeover wait has passed since. Otherwise a carrier
    that sees a host list late would still lend the same slots. A router that has just started does not know
    the earlier carriers and waits for all listed routers.

    Parameters
    ----------
    settings
        Constants of the policy.
    own_id
        Host id of this router.
    membership
        Host list and ownership.
    peers
        Sequence numbers and reachability.
    started_at
        Monotonic time at which the process started.
    """

    def __init__(
        self,
        settings: PolicySettings,
        own_id: str,
        membership: Membership,
        peers: Peers,
        started_at: float,
    ):
        self.settings = settings
        self.own_id = own_id
        self.membership = membership
        self.peers = peers
        self.started_at = started_at
        self.carried: dict[str, CarriedSlots] = {}
        self.leases: dict[str, dict[str, Lease]] = {}
        self.layouts: dict[str, tuple[str, ...]] = {}
        self.confirmed: dict[str, float] = {}
        self.contacts: dict[str, Contact] = {}
        self.version: int | None = None
        self.stopping = False
        """Whether heartbeats say that this router is leaving; other routers then name another owner."""

    def hosts_changed(self, now: float) -> None:
        """Take over the carriers of a new host list: slots are lost at once and gained late."""
        membership = self.membership
        first = self.version is None
        if membership.version != self.version:
            self.version = membership.version
            self.confirmed.clear()
        layouts = {host.host_id: membership.carriers(host.host_id) for host in membership.targets()}
        self.carried = {
            target_id: self.carry(target_id, carriers, first, now)
            for target_id, carriers in layouts.items()
            if self.own_id in carriers
        }
        self.leases = {
            target_id: held
            for target_id, held in self.leases.items()
            if layouts.get(target_id) == self.layouts[target_id]
        }
        self.layouts = layouts
        self.confirm_ready(now)

    def carry(self, target_id: str, carriers: tuple[str, ...], first: bool, now: float) -> CarriedSlots:
        """Return the slots carried under a new host list, with what stays valid of the old ones."""
        claimants = {*carriers, *self.layouts.get(target_id, ())}
        if first:
            claimants.update(self.membership.routers())
        new = CarriedSlots(carriers.index(self.own_id), len(carriers), None, frozenset())
        if first and self.settings.fresh_fleet:
            new.ready_at = now
        old = self.carried.get(target_id)
        if old is not None:
            new.lent_to, new.lent_at = old.lent_to, old.lent_at
            if old.ready_at is None:
                claimants |= old.claimants
            elif old.includes(new):
                new.ready_at = old.ready_at
        new.claimants = frozenset(claimants.intersection(self.membership.routers()) - {self.own_id})
        return new

    def peer_confirmed(self, peer: str, version: int, echo: int, now: float) -> None:
        """Record the host list version of a heartbeat; one sent before this router started does not count."""
        if (
            version == self.version
            and peer not in self.confirmed
            and self.peers.sent_at(peer, echo) is not None
        ):
            self.confirmed[peer] = now
            self.confirm_ready(now)

    def confirm_ready(self, now: float) -> None:
        """Start the takeover wait of slots whose claimants have all confirmed the host list."""
        for slots in self.carried.values():
            if slots.ready_at is None and slots.claimants <= self.confirmed.keys():
                slots.ready_at = now + self.settings.takeover_wait_seconds

    def lend(self, now: float) -> dict[str, tuple[str, ...]]:
        """Lend the carried slots to the present owners and return the targets lent to each other router.

        Slots of targets that this router owns itself are leased to itself.
        """
        lent: dict[str, list[str]] = {}
        for target_id, slots in self.carried.items():
            if slots.ready_at is None or now < slots.ready_at:
                continue
            owner = self.membership.owner(target_id, now)
            if owner is None or not self.may_lend(slots, owner, now):
                continue
            slots.lent_to, slots.lent_at = owner, now
            if owner == self.own_id:
                self.extend(target_id, owner, now, now + self.settings.share_lease_seconds)
            else:
                lent.setdefault(owner, []).append(target_id)
        return {owner: tuple(targets) for owner, targets in lent.items()}

    def may_lend(self, slots: CarriedSlots, owner: str, now: float) -> bool:
        """Return whether no other owner can still use the slots."""
        if slots.lent_to is None or slots.lent_to == owner:
            return True
        return now > slots.lent_at + self.settings.takeover_wait_seconds

    def accept(
        self, lender: str, echo: int, targets: tuple[str, ...], now: float, *, host_list_version: int
    ) -> None:
        """Take the leases of a heartbeat, counted from when this router sent the echoed sequence number.

        A lease is refused when the lender's host list may give it other slots than this router's does.
        """
        self.peer_confirmed(lender, host_list_version, echo, now)
        sent_at = self.peers.sent_at(lender, echo)
        if sent_at is None:
            return
        self.contacts[lender] = Contact(sent_at, now, host_list_version)
        until = sent_at + self.settings.share_lease_seconds
        for target_id in targets:
            if lender in self.layouts.get(target_id, ()) and self.membership.same_carriers(
                target_id, host_list_version
            ):
                self.extend(target_id, lender, now, until)

    def extend(self, target_id: str, lender: str, now: float, until: float) -> None:
        """Lengthen the lease of `lender`, or begin a new one when there is none that is valid."""
        if until <= now:
            return
        held = self.leases.setdefault(target_id, {})
        lease = held.get(lender)
        if lease is None or lease.until <= now:
            held[lender] = Lease(since=now, until=until)
        else:
            lease.until = max(lease.until, until)

    def lenders(self, target_id: str, now: float) -> set[str]:
        """Return the carriers whose lease is valid now."""
        held = self.leases.get(target_id, {})
        return {lender for lender, lease in held.items() if lease.until > now}

    def lent_slots(
        self, target_id: str, limit: int, now: float, *, since: float | None = None, borrow: bool = False
    ) -> int:
        """Return how many slots below `limit` are leased to this router now.

        With `since`, only leases count that have been valid without interruption from then on. With `borrow`,
        the slots of silent carriers count too, and own slots that wait for the confirmation of others.
        """
        carriers = self.layouts.get(target_id, ())
        usable = {
            lender
            for lender, lease in self.leases.get(target_id, {}).items()
            if lease.until > now and (since is None or lease.since <= since)
        }
        if borrow:
            usable.update(self.silent_carriers(target_id, now))
            if self.waits_for_silent(target_id, now):
                usable.add(self.own_id)
        if not usable:
            return 0
        return sum(carriers[slot % len(carriers)] in usable for slot in range(limit))

    def silent_carriers(self, target_id: str, now: float) -> tuple[str, ...]:
        """Return the other carriers that have been silent for `borrow_after_seconds`."""
        carriers = self.layouts.get(target_id, ())
        return tuple(name for name in carriers if name != self.own_id and self.is_silent(name, now))

    def is_silent(self, router: str, now: float) -> bool:
        """Return whether another router has been silent for `borrow_after_seconds`."""
        heard_at = self.peers.heard_at(router)
        since = self.started_at if heard_at is None else heard_at
        return now - since >= self.settings.borrow_after_seconds

    def waits_for_silent(self, target_id: str, now: float) -> bool:
        """Return whether the own slots of the target wait only for confirmations of silent routers."""
        own = self.carried.get(target_id)
        if own is None or own.ready_at is not None:
            return False
        return all(self.is_silent(name, now) for name in own.claimants - self.confirmed.keys())

    def may_borrow(self, target_id: str, now: float) -> bool:
        """Return whether only silent routers keep slots of the target from being leased to this router.

        While a carrier that is not silent lends to another owner, that owner may borrow the same slots.
        """
        missing = set(self.layouts.get(target_id, ())) - self.lenders(target_id, now)
        silent = set(self.silent_carriers(target_id, now))
        if self.waits_for_silent(target_id, now):
            silent.add(self.own_id)
        return bool(missing) and missing <= silent

    def holders_known_since(self, target_id: str, now: float) -> float | None:
        """Return a time after which every listed router has reported the grants it holds for the target.

        Holders report to the owner in their view. That all of them mean this router is certain when it is
        the first carrier, all use the same host list, and all have heard this router within the timeout.
        Otherwise the result is None.
        """
        if self.layouts.get(target_id, ())[:1] != (self.own_id,):
            return None
        if self.stopping or self.membership.is_leaving(self.own_id):
            return None
        timeout = self.settings.peer_timeout_seconds
        since = now
        for router in self.membership.routers():
            if router == self.own_id:
                continue
            contact = self.contacts.get(router)
            if (
                contact is None
                or contact.host_list_version != self.version
                or now - contact.received_at > timeout
                or contact.received_at - contact.sent_at > timeout
            ):
                return None
            since = min(since, contact.sent_at)
        return since

    def has_majority(self, target_id: str, now: float) -> bool:
        """Return whether leases of more than half of the target's carriers are valid now."""
        carriers = self.layouts.get(target_id, ())
        return 2 * len(self.lenders(target_id, now)) > len(carriers)
