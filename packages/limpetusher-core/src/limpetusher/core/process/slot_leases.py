"""Slot leases: those that this router grants to owners as a carrier, and those that it holds as an owner."""

from dataclasses import dataclass

from limpetusher.core.connection.peers import Peers
from limpetusher.core.process.membership import Membership
from limpetusher.core.settings import PolicySettings


@dataclass(slots=True)
class CarriedSlots:
    """The slots of one target that this router carries: slots `s` with `s % count == index`.

    They may be lent from `ready_at` on. It is None until all `claimants`, the routers that may lend the same
    slots by another host list, have confirmed the current one.
    """

    index: int
    count: int
    ready_at: float | None
    claimants: frozenset[str]
    lent_to: str | None = None
    lent_at: float = 0.0

    def includes(self, other: "CarriedSlots") -> bool:
        """Return whether these include all slots of `other`, for any number of slots of the target."""
        return other.count % self.count == 0 and other.index % self.count == self.index


@dataclass(slots=True)
class Lease:
    """A lease held from a carrier; it has been valid without interruption since `since`."""

    since: float
    until: float


@dataclass(frozen=True, slots=True)
class HeartbeatContact:
    """The last heartbeat of a peer; `sent_at` is when this router sent the sequence number that it echoes."""

    sent_at: float
    received_at: float
    host_list_version: int


class SlotLeases:
    """Slot leases of this router, as a carrier and as an owner.

    A carrier lends the slots that it has gained by a host list after all listed earlier and current carriers
    of the target have confirmed the version of the list, and the takeover wait has passed since then. Without
    this wait, a carrier that receives the host list late could still lend the same slots. A router that has
    just started does not know the earlier carriers and waits for all listed routers.

    Parameters
    ----------
    settings
        Constants of the policy.
    own_id
        Host id of this router.
    membership
        Host list and ownership.
    peers
        Sequence numbers and reachability of the other routers.
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
        self.carried_slots: dict[str, CarriedSlots] = {}
        self.leases: dict[str, dict[str, Lease]] = {}
        self.carriers_by_target: dict[str, tuple[str, ...]] = {}
        self.confirmed_at: dict[str, float] = {}
        self.contacts: dict[str, HeartbeatContact] = {}
        self.version: int | None = None
        self.stopping = False
        """Whether heartbeats say that this router is leaving; other routers then choose another owner."""

    def hosts_changed(self, now: float) -> None:
        """Apply a new host list: lost slots are given up at once, gained slots are lent only after a wait."""
        membership = self.membership
        is_first_list = self.version is None
        if membership.version != self.version:
            self.version = membership.version
            self.confirmed_at.clear()
        carriers_by_target = {
            host.host_id: membership.carriers(host.host_id) for host in membership.targets()
        }
        self.carried_slots = {
            target_id: self.carried_slots_of(target_id, carriers, is_first_list, now)
            for target_id, carriers in carriers_by_target.items()
            if self.own_id in carriers
        }
        self.leases = {
            target_id: held
            for target_id, held in self.leases.items()
            if carriers_by_target.get(target_id) == self.carriers_by_target[target_id]
        }
        self.carriers_by_target = carriers_by_target
        self.start_takeover_waits(now)

    def carried_slots_of(
        self, target_id: str, carriers: tuple[str, ...], is_first_list: bool, now: float
    ) -> CarriedSlots:
        """Return the slots carried under a new host list, keeping the state of old ones that stays valid."""
        claimants = {*carriers, *self.carriers_by_target.get(target_id, ())}
        if is_first_list:
            claimants.update(self.membership.routers())
        new = CarriedSlots(carriers.index(self.own_id), len(carriers), None, frozenset())
        if is_first_list and self.settings.fresh_fleet:
            new.ready_at = now
        old = self.carried_slots.get(target_id)
        if old is not None:
            new.lent_to, new.lent_at = old.lent_to, old.lent_at
            if old.ready_at is None:
                claimants |= old.claimants
            elif old.includes(new):
                new.ready_at = old.ready_at
        new.claimants = frozenset(claimants.intersection(self.membership.routers()) - {self.own_id})
        return new

    def record_confirmation(self, peer: str, version: int, echo: int, now: float) -> None:
        """Record the host list version of a heartbeat; one sent before this router started is ignored."""
        if (
            version == self.version
            and peer not in self.confirmed_at
            and self.peers.sent_at(peer, echo) is not None
        ):
            self.confirmed_at[peer] = now
            self.start_takeover_waits(now)

    def start_takeover_waits(self, now: float) -> None:
        """Start the takeover wait of the slots whose claimants have all confirmed the host list."""
        for slots in self.carried_slots.values():
            if slots.ready_at is None and slots.claimants <= self.confirmed_at.keys():
                slots.ready_at = now + self.settings.takeover_wait_seconds

    def lend_slots(self, now: float) -> dict[str, tuple[str, ...]]:
        """Lend the carried slots to the current owners and return the targets lent to each other router.

        This router leases the slots of its own targets to itself.
        """
        lent: dict[str, list[str]] = {}
        for target_id, slots in self.carried_slots.items():
            if slots.ready_at is None or now < slots.ready_at:
                continue
            owner = self.membership.owner(target_id, now)
            if owner is None or not self.may_lend(slots, owner, now):
                continue
            slots.lent_to, slots.lent_at = owner, now
            if owner == self.own_id:
                self.extend_lease(target_id, owner, now, now + self.settings.share_lease_seconds)
            else:
                lent.setdefault(owner, []).append(target_id)
        return {owner: tuple(targets) for owner, targets in lent.items()}

    def may_lend(self, slots: CarriedSlots, owner: str, now: float) -> bool:
        """Return whether the slots may be lent to `owner`, because no other owner can still use them."""
        if slots.lent_to is None or slots.lent_to == owner:
            return True
        return now > slots.lent_at + self.settings.takeover_wait_seconds

    def accept_leases(
        self, lender: str, echo: int, targets: tuple[str, ...], now: float, *, host_list_version: int
    ) -> None:
        """Accept the leases of a heartbeat; they start when this router sent the echoed sequence number.

        A lease is ignored if the lender may carry other slots by its host list than by that of this router.
        """
        self.record_confirmation(lender, host_list_version, echo, now)
        sent_at = self.peers.sent_at(lender, echo)
        if sent_at is None:
            return
        self.contacts[lender] = HeartbeatContact(sent_at, now, host_list_version)
        until = sent_at + self.settings.share_lease_seconds
        for target_id in targets:
            if lender in self.carriers_by_target.get(target_id, ()) and self.membership.same_carriers(
                target_id, host_list_version
            ):
                self.extend_lease(target_id, lender, now, until)

    def extend_lease(self, target_id: str, lender: str, now: float, until: float) -> None:
        """Extend the lease from `lender`, or start a new one if none is valid."""
        if until <= now:
            return
        held = self.leases.setdefault(target_id, {})
        lease = held.get(lender)
        if lease is None or lease.until <= now:
            held[lender] = Lease(since=now, until=until)
        else:
            lease.until = max(lease.until, until)

    def lenders(self, target_id: str, now: float) -> set[str]:
        """Return the carriers whose leases are valid now."""
        held = self.leases.get(target_id, {})
        return {lender for lender, lease in held.items() if lease.until > now}

    def leased_slots(
        self, target_id: str, limit: int, now: float, *, since: float | None = None, borrow: bool = False
    ) -> int:
        """Return how many slots below `limit` are leased to this router now.

        With `since`, only leases that have been valid without interruption from then on are counted. With
        `borrow`, the slots of silent carriers are counted too, and own slots that wait only for confirmations
        of silent routers.
        """
        carriers = self.carriers_by_target.get(target_id, ())
        usable = {
            lender
            for lender, lease in self.leases.get(target_id, {}).items()
            if lease.until > now and (since is None or lease.since <= since)
        }
        if borrow:
            usable.update(self.silent_carriers(target_id, now))
            if self.waits_only_for_silent(target_id, now):
                usable.add(self.own_id)
        if not usable:
            return 0
        return sum(carriers[slot % len(carriers)] in usable for slot in range(limit))

    def silent_carriers(self, target_id: str, now: float) -> tuple[str, ...]:
        """Return the other carriers of the target that have been silent for `borrow_after_seconds`."""
        carriers = self.carriers_by_target.get(target_id, ())
        return tuple(name for name in carriers if name != self.own_id and self.is_silent(name, now))

    def is_silent(self, router: str, now: float) -> bool:
        """Return whether another router has been silent for `borrow_after_seconds`."""
        last_heartbeat_at = self.peers.last_heartbeat_at(router)
        since = self.started_at if last_heartbeat_at is None else last_heartbeat_at
        return now - since >= self.settings.borrow_after_seconds

    def waits_only_for_silent(self, target_id: str, now: float) -> bool:
        """Return whether this router's slots of the target wait only for confirmations of silent routers."""
        own = self.carried_slots.get(target_id)
        if own is None or own.ready_at is not None:
            return False
        return all(self.is_silent(name, now) for name in own.claimants - self.confirmed_at.keys())

    def may_borrow(self, target_id: str, now: float) -> bool:
        """Return whether only silent routers keep slots of the target from being leased to this router.

        While a carrier that is not silent lends to another owner, that owner may borrow the same slots.
        """
        missing = set(self.carriers_by_target.get(target_id, ())) - self.lenders(target_id, now)
        silent = set(self.silent_carriers(target_id, now))
        if self.waits_only_for_silent(target_id, now):
            silent.add(self.own_id)
        return bool(missing) and missing <= silent

    def all_grants_reported_since(self, target_id: str, now: float) -> float | None:
        """Return a time after which every listed router has reported the grants it holds for the target.

        Routers report to the one that they regard as the owner. They all certainly regard this router as the
        owner if it is the first carrier, all use the same host list, and all have received a heartbeat of it
        within the timeout. Otherwise, the result is None.
        """
        if self.carriers_by_target.get(target_id, ())[:1] != (self.own_id,):
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
        carriers = self.carriers_by_target.get(target_id, ())
        return 2 * len(self.lenders(target_id, now)) > len(carriers)
