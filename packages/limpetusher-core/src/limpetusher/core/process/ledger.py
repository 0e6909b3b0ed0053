"""Grants, held requests and load reports of the targets that this router may own."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from limpetusher.configuration.compiled import Host, TargetClass
from limpetusher.core.inputs import LoadReported
from limpetusher.core.process.outside_work import OutsideWork
from limpetusher.core.process.slot_leases import SlotLeases
from limpetusher.core.process.target_limit import TargetLimit
from limpetusher.core.settings import PolicySettings
from limpetusher.errors import InvalidInputError
from limpetusher.wire.messages import HeldGrant

MAXIMUM_END_TIMES = 256
"""Number of recent ends of grants kept per target, to be compared with the time of a load report."""


@dataclass(frozen=True, slots=True)
class ChargeChange:
    """Correction of a customer's charge; the amount may be negative."""

    customer: str
    service: str
    amount: float


@dataclass(slots=True)
class GrantEntry:
    """A grant that occupies a slot of its target.

    `charge` is None for a grant that another owner issued and charged. A heartbeat that the holder sent after
    `droppable_after` and that does not list the grant shows that it is not in use. `listed_at` is when the
    holder first listed it.
    """

    grant_id: str
    target_id: str
    holder: str
    customer: str
    service: str
    charge: float | None
    droppable_after: float
    last_seen_at: float
    listed_at: float | None = None
    progress: float = 0.0


@dataclass(frozen=True, slots=True)
class LostGrant:
    """A grant whose slot was freed at `freed_at`, because its holder had been silent for too long."""

    entry: GrantEntry
    freed_at: float


@dataclass(slots=True)
class TargetState:
    """State of one target.

    `lost` are grants of silent holders, the last of them freed at `last_lost_at`; at most
    `maximum_lost_running` of them still run. `changed_at` is the time of the last change of `entries`.
    `no_outside_work_since` is the time of the first report after the last one that showed outside work, that
    is, running requests which are not in the ledger.
    """

    limit: TargetLimit
    entries: dict[str, GrantEntry] = field(default_factory=dict)
    lost: dict[str, LostGrant] = field(default_factory=dict)
    maximum_lost_running: int = 0
    last_lost_at: float = float("-inf")
    outside_work: OutsideWork = field(default_factory=OutsideWork)
    running: int = 0
    measured_at: float = float("-inf")
    changed_at: float = float("-inf")
    end_times: deque[float] = field(default_factory=lambda: deque(maxlen=MAXIMUM_END_TIMES))
    no_outside_work_since: float | None = None

    def tighten_lost_bound(self, maximum: int | None = None) -> None:
        """Lower `maximum_lost_running` to what the reports and `maximum` allow."""
        minimum_work = self.outside_work.minimum_since(self.last_lost_at)
        bounds = (len(self.lost), minimum_work, maximum)
        self.maximum_lost_running = min(
            self.maximum_lost_running, *(bound for bound in bounds if bound is not None)
        )


class Ledger:
    """Grants, held requests and limits of all targets that this router may own.

    Parameters
    ----------
    settings
        Constants of the policy.
    """

    def __init__(self, settings: PolicySettings):
        self.settings = settings
        self.targets: dict[str, TargetState] = {}
        self.target_of_grant: dict[str, str] = {}
        self.by_holder: dict[str, dict[str, GrantEntry]] = {}
        """Counted grants by holder, so that a heartbeat needs no search over all targets."""

    def configure(self, targets: Iterable[Host], classes: Mapping[str, TargetClass]) -> None:
        """Apply the listed targets; the state of those that are gone or have no known class is removed."""
        states: dict[str, TargetState] = {}
        for host in targets:
            target_class = classes.get(host.target_class or "")
            if target_class is None:
                continue
            state = self.targets.get(host.host_id)
            if state is None:
                state = TargetState(TargetLimit.for_class(target_class))
            else:
                state.limit.configure(target_class)
            states[host.host_id] = state
        self.targets = states
        self.target_of_grant = {
            grant_id: target_id
            for target_id, state in states.items()
            for grant_id in (*state.entries, *state.lost)
        }
        self.by_holder = {}
        for state in states.values():
            for entry in state.entries.values():
                self.by_holder.setdefault(entry.holder, {})[entry.grant_id] = entry

    def state(self, target_id: str) -> TargetState:
        """Return the state of a target.

        Raises
        ------
        InvalidInputError
            When the target is not configured.
        """
        try:
            return self.targets[target_id]
        except KeyError:
            raise InvalidInputError(f"target {target_id!r} is not one of the configured targets") from None

    def limit(self, target_id: str) -> int:
        """Return how many requests the target may run at once."""
        return self.state(target_id).limit.current

    def is_warm(self, target_id: str) -> bool:
        """Return whether the target is warm; its limit may still be growing."""
        return self.state(target_id).limit.warm

    def granted_count(self, target_id: str) -> int:
        """Return how many grants are counted at the target."""
        return len(self.state(target_id).entries)

    def usable_slots(self, target_id: str, slot_leases: SlotLeases, now: float) -> int:
        """Return how many more grants may be issued for the target now."""
        state = self.state(target_id)
        limit = state.limit.current
        borrow = self.may_borrow(target_id, state, slot_leases, now)
        lent = slot_leases.leased_slots(target_id, limit, now, borrow=borrow)
        if lent <= len(state.entries):
            return 0

        def leased_since(since: float) -> int:
            return slot_leases.leased_slots(target_id, limit, now, since=since, borrow=borrow)

        state.tighten_lost_bound()
        capacity = state.outside_work.capacity(limit, leased_since)
        if capacity < lent or state.maximum_lost_running:
            known_since = slot_leases.all_grants_reported_since(target_id, now)
            if known_since is not None:
                state.outside_work.record_all_holders_reported(known_since)
                state.tighten_lost_bound(self.lost_of_unlisted_holders(state, slot_leases))
                capacity = state.outside_work.capacity(limit, leased_since)
        # Lost grants occupy slots of this router, so unlike other outside work they are subtracted in full.
        counted = len(state.entries) + state.maximum_lost_running
        running = state.running if state.measured_at > state.changed_at else 0
        return max(0, min(capacity - counted, limit - max(counted, running)))

    def lost_of_unlisted_holders(self, state: TargetState, slot_leases: SlotLeases) -> int:
        """Return how many lost grants may still run when all listed routers have listed theirs."""
        routers = slot_leases.membership.routers()
        return sum(lost.entry.holder not in routers for lost in state.lost.values())

    def may_borrow(self, target_id: str, state: TargetState, slot_leases: SlotLeases, now: float) -> bool:
        """Return whether slots of silent carriers may be used: only at a warm target without outside work."""
        wait = self.settings.borrow_after_seconds
        return (
            state.limit.warm
            and state.no_outside_work_since is not None
            and state.measured_at - state.no_outside_work_since >= wait
            and now - state.measured_at < wait
            and slot_leases.may_borrow(target_id, now)
        )

    def restart_borrow_wait(self) -> None:
        """Restart the wait before borrowing slots after this process was paused.

        Carriers whose heartbeats are still in the socket buffer appear silent after a pause. Slots are
        borrowed again when new reports have shown no outside work for `borrow_after_seconds`.
        """
        for state in self.targets.values():
            state.no_outside_work_since = None

    def add_grant(
        self,
        grant_id: str,
        target_id: str,
        holder: str,
        customer: str,
        service: str,
        charge: float,
        now: float,
    ) -> GrantEntry:
        """Count a grant that is issued now; the caller has checked `usable_slots`."""
        state = self.state(target_id)
        droppable_after = now + self.settings.grant_valid_seconds
        entry = GrantEntry(grant_id, target_id, holder, customer, service, charge, droppable_after, now)
        self.add_entry(state, entry, now)
        return entry

    def add_entry(self, state: TargetState, entry: GrantEntry, now: float) -> None:
        """Add an entry to the target and the indexes."""
        state.entries[entry.grant_id] = entry
        state.changed_at = now
        self.target_of_grant[entry.grant_id] = entry.target_id
        self.by_holder.setdefault(entry.holder, {})[entry.grant_id] = entry

    def remove_grant(self, grant_id: str, now: float) -> GrantEntry | None:
        """Remove a counted or lost grant and return its entry, None when it is not known."""
        target_id = self.target_of_grant.pop(grant_id, None)
        if target_id is None:
            return None
        state = self.targets[target_id]
        lost = state.lost.pop(grant_id, None)
        if lost is not None:
            return lost.entry
        state.changed_at = now
        state.end_times.append(now)
        return self.remove_entry(state, grant_id)

    def remove_entry(self, state: TargetState, grant_id: str) -> GrantEntry:
        """Remove an entry from the counted ones of the target and its holder."""
        entry = state.entries.pop(grant_id)
        held = self.by_holder[entry.holder]
        del held[grant_id]
        if not held:
            del self.by_holder[entry.holder]
        return entry

    def apply_held_grants(
        self, holder: str, entries: Iterable[HeldGrant], now: float, *, sent_after: float | None = None
    ) -> list[ChargeChange]:
        """Apply the grants that a holder lists in a heartbeat, and return the corrections of charges.

        A holder lists a grant to the router that it regards as the target's owner and to the router that
        issued the grant. Grants that another owner issued are adopted.

        `sent_after` is a time after which the heartbeat was certainly sent: the send time of the sequence
        number that it echoes. Grants of this router that the heartbeat should list but does not are dropped.
        Adopted grants are kept, because the holder may now list them to another owner.
        """
        changes: list[ChargeChange] = []
        listed = set()
        for held in entries:
            state = self.targets.get(held.target_id)
            if state is None:
                continue
            listed.add(held.grant_id)
            entry = state.entries.get(held.grant_id) or self.adopt_grant(state, holder, held, now)
            changes += self.record_progress(entry, held.progress_cost, now)
            if sent_after is not None and entry.listed_at is not None:
                state.outside_work.attribute_grant(entry.grant_id, entry.listed_at, sent_after)
        if sent_after is not None:
            for entry in self.entries_of_holder(holder):
                if (
                    entry.charge is not None
                    and entry.grant_id not in listed
                    and sent_after > entry.droppable_after
                ):
                    changes += self.drop_unlisted(entry, now)
        return changes

    def adopt_grant(self, state: TargetState, holder: str, held: HeldGrant, now: float) -> GrantEntry:
        """Count a grant that an earlier owner issued, or a lost grant whose holder is heard from again."""
        lost = state.lost.pop(held.grant_id, None)
        if lost is not None:
            entry = lost.entry
            entry.droppable_after = now
        else:
            entry = GrantEntry(
                held.grant_id, held.target_id, holder, held.customer, held.service, None, now, now
            )
        self.add_entry(state, entry, now)
        return entry

    def entries_of_holder(self, holder: str) -> list[GrantEntry]:
        """Return the counted grants of a holder."""
        return list(self.by_holder.get(holder, {}).values())

    def record_progress(self, entry: GrantEntry, progress: float, now: float) -> list[ChargeChange]:
        """Record that a grant is in use; a charge below the progress is raised to it."""
        entry.last_seen_at = now
        entry.progress = max(entry.progress, progress)
        if entry.listed_at is None:
            entry.listed_at = now
        if entry.charge is None or entry.progress <= entry.charge:
            return []
        amount = entry.progress - entry.charge
        entry.charge = entry.progress
        return [ChargeChange(entry.customer, entry.service, amount)]

    def drop_unlisted(self, entry: GrantEntry, now: float) -> list[ChargeChange]:
        """Remove a grant that its holder does not list; if it was never listed, its charge is taken back."""
        self.remove_grant(entry.grant_id, now)
        if entry.charge is None or entry.listed_at is not None:
            return []
        return [ChargeChange(entry.customer, entry.service, -entry.charge)]

    def release(self, grant_id: str, cost: float | None, complete: bool, now: float) -> ChargeChange | None:
        """End a grant and return the correction of its charge, None when the grant is not known.

        If the cost is not known, the progress recorded last is charged.
        """
        entry = self.remove_grant(grant_id, now)
        if entry is None:
            return None
        if complete:
            self.targets[entry.target_id].limit.record_completion()
        final = entry.progress if cost is None else cost
        amount = 0.0 if entry.charge is None else final - entry.charge
        return ChargeChange(entry.customer, entry.service, amount)

    def return_grant(self, grant_id: str, target_failed: bool, now: float) -> ChargeChange | None:
        """End an unused grant and return the correction that takes back its charge."""
        entry = self.remove_grant(grant_id, now)
        if entry is None:
            return None
        if target_failed:
            self.record_connection_failure(entry.target_id, now)
        return ChargeChange(entry.customer, entry.service, -(entry.charge or 0.0))

    def apply_load_report(self, report: LoadReported, now: float) -> None:
        """Apply a load report; reports measured before the newest known one are ignored."""
        state = self.state(report.target_id)
        measured_at = now - report.report_age_seconds
        if measured_at < state.measured_at:
            return
        state.running, state.measured_at = report.running, measured_at
        state.limit.apply_report(report, measured_at)
        state.tighten_lost_bound()
        state.outside_work.add_report(measured_at, report.running)
        ended = sum(1 for time in state.end_times if time >= measured_at)
        if report.running > len(state.entries) + ended:
            state.no_outside_work_since = None
        elif state.no_outside_work_since is None:
            state.no_outside_work_since = measured_at

    def record_connection_failure(self, target_id: str, now: float) -> None:
        """Treat the target as cold until a report measured after now says that it is warm."""
        self.state(target_id).limit.record_connection_failure(now)

    def expire_silent_holders(self, now: float) -> None:
        """Count the grants of holders that have been silent for too long as lost; their charges stay.

        Their requests may still run. They count as outside work until reports show less or
        `stop_grace_seconds` have passed, the longest time that a stopping router takes to finish.
        """
        for state in self.targets.values():
            silent = [
                entry
                for entry in state.entries.values()
                if now - entry.last_seen_at >= self.settings.held_timeout_seconds
            ]
            for entry in silent:
                state.lost[entry.grant_id] = LostGrant(self.remove_entry(state, entry.grant_id), now)
            if silent:
                state.maximum_lost_running += len(silent)
                state.last_lost_at = state.changed_at = now
            for grant_id, lost in list(state.lost.items()):
                if now - lost.freed_at >= self.settings.stop_grace_seconds:
                    del state.lost[grant_id]
                    del self.target_of_grant[grant_id]
