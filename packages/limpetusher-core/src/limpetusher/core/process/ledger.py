"""Grants, held requests and load reports of the targets that this router may own."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from limpetusher.configuration.compiled import Host, TargetClass
from limpetusher.core.inputs import LoadReported
from limpetusher.core.process.limits import TargetLimit
from limpetusher.core.process.outside import OutsideWork
from limpetusher.core.process.shares import Shares
from limpetusher.core.settings import PolicySettings
from limpetusher.errors import PolicyError
from limpetusher.wire.messages import HeldGrant

REMEMBERED_RELEASES = 256
"""Ends of grants per target that are compared with the time of a load report."""


@dataclass(frozen=True, slots=True)
class ChargeChange:
    """An amount by which the charge of a customer has to be corrected; it may be negative."""

    customer: str
    service: str
    amount: float


@dataclass(slots=True)
class GrantEntry:
    """A grant that is counted at its target.

    `charge` is None for a grant that another owner issued and charged. From `droppable_after` on, a heartbeat
    of the holder that does not list the grant shows that it is not in use. `listed_at` is when the holder
    first listed it.
    """

    grant_id: str
    target_id: str
    holder: str
    customer: str
    service: str
    charge: float | None
    droppable_after: float
    seen_at: float
    listed_at: float | None = None
    progress: float = 0.0


@dataclass(frozen=True, slots=True)
class LostGrant:
    """A grant whose holder has been silent too long, and when it was freed."""

    entry: GrantEntry
    freed_at: float


@dataclass(slots=True)
class TargetState:
    """State of one target.

    `lost` are grants of silent holders; at most `lost_running` of them, freed until `lost_at`, still run.
    `changed_at` is the time of the last grant, release or other change of `entries`. `explained_from` is the
    time of the first report since the last one that showed work outside the ledger.
    """

    limit: TargetLimit
    entries: dict[str, GrantEntry] = field(default_factory=dict)
    lost: dict[str, LostGrant] = field(default_factory=dict)
    lost_running: int = 0
    lost_at: float = float("-inf")
    outside: OutsideWork = field(default_factory=OutsideWork)
    running: int = 0
    measured_at: float = float("-inf")
    changed_at: float = float("-inf")
    ended: deque[float] = field(default_factory=lambda: deque(maxlen=REMEMBERED_RELEASES))
    explained_from: float | None = None

    def settle_lost(self, greatest: int | None = None) -> None:
        """Lower the bound of lost grants that still run to what reports and `greatest` allow."""
        least = self.outside.least_since(self.lost_at)
        bounds = (len(self.lost), least, greatest)
        self.lost_running = min(self.lost_running, *(bound for bound in bounds if bound is not None))


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
        """Counted grants by holder, so that a heartbeat costs no search over all targets."""

    def configure(self, targets: Iterable[Host], classes: Mapping[str, TargetClass]) -> None:
        """Take over the listed targets; those that are gone or have no known class are dropped."""
        states: dict[str, TargetState] = {}
        for host in targets:
            target_class = classes.get(host.target_class or "")
            if target_class is None:
                continue
            state = self.targets.get(host.host_id)
            if state is None:
                state = TargetState(TargetLimit.of_class(target_class))
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
        PolicyError
            When the target is not configured.
        """
        try:
            return self.targets[target_id]
        except KeyError:
            raise PolicyError(f"target {target_id!r} is not one of the configured targets") from None

    def limit(self, target_id: str) -> int:
        """Return how many requests the target can bear at once."""
        return self.state(target_id).limit.present

    def is_warm(self, target_id: str) -> bool:
        """Return whether the target counts as warm; its limit may still be growing."""
        return self.state(target_id).limit.warm

    def count(self, target_id: str) -> int:
        """Return how many grants are counted at the target."""
        return len(self.state(target_id).entries)

    def usable(self, target_id: str, shares: Shares, now: float) -> int:
        """Return how many more grants may be issued for the target now."""
        state = self.state(target_id)
        limit = state.limit.present
        borrow = self.may_borrow(target_id, state, shares, now)
        lent = shares.lent_slots(target_id, limit, now, borrow=borrow)
        if lent <= len(state.entries):
            return 0

        def lent_since(since: float) -> int:
            return shares.lent_slots(target_id, limit, now, since=since, borrow=borrow)

        state.settle_lost()
        capacity = state.outside.capacity(limit, lent_since)
        if capacity < lent or state.lost_running:
            known_since = shares.holders_known_since(target_id, now)
            if known_since is not None:
                state.outside.holders_known(known_since)
                state.settle_lost(self.still_lost(state, shares))
                capacity = state.outside.capacity(limit, lent_since)
        # Lost grants occupy own slots, so unlike other outside work they are subtracted in full.
        counted = len(state.entries) + state.lost_running
        running = state.running if state.measured_at > state.changed_at else 0
        return max(0, min(capacity - counted, limit - max(counted, running)))

    def still_lost(self, state: TargetState, shares: Shares) -> int:
        """Return how many lost grants may run when all listed routers have listed what they hold."""
        routers = shares.membership.routers()
        return sum(lost.entry.holder not in routers for lost in state.lost.values())

    def may_borrow(self, target_id: str, state: TargetState, shares: Shares, now: float) -> bool:
        """Return whether slots of silent carriers may be used: only at a warm target without outside work."""
        wait = self.settings.borrow_after_seconds
        return (
            state.limit.warm
            and state.explained_from is not None
            and state.measured_at - state.explained_from >= wait
            and now - state.measured_at < wait
            and shares.may_borrow(target_id, now)
        )

    def resumed(self) -> None:
        """Borrow nothing after a pause until new reports have shown no outside work for long enough.

        Carriers whose heartbeats wait in the socket look silent after a pause.
        """
        for state in self.targets.values():
            state.explained_from = None

    def grant(
        self,
        grant_id: str,
        target_id: str,
        holder: str,
        customer: str,
        service: str,
        charge: float,
        now: float,
    ) -> GrantEntry:
        """Count a grant that is issued now; `usable` must have allowed it."""
        state = self.state(target_id)
        droppable_after = now + self.settings.grant_valid_seconds
        entry = GrantEntry(grant_id, target_id, holder, customer, service, charge, droppable_after, now)
        self.add(state, entry, now)
        return entry

    def add(self, state: TargetState, entry: GrantEntry, now: float) -> None:
        """Count an entry."""
        state.entries[entry.grant_id] = entry
        state.changed_at = now
        self.target_of_grant[entry.grant_id] = entry.target_id
        self.by_holder.setdefault(entry.holder, {})[entry.grant_id] = entry

    def remove(self, grant_id: str, now: float) -> GrantEntry | None:
        """Stop counting a grant and return its entry, None when it is not known."""
        target_id = self.target_of_grant.pop(grant_id, None)
        if target_id is None:
            return None
        state = self.targets[target_id]
        lost = state.lost.pop(grant_id, None)
        if lost is not None:
            return lost.entry
        state.changed_at = now
        state.ended.append(now)
        return self.uncount(state, grant_id)

    def uncount(self, state: TargetState, grant_id: str) -> GrantEntry:
        """Take an entry out of the counted ones."""
        entry = state.entries.pop(grant_id)
        held = self.by_holder[entry.holder]
        del held[grant_id]
        if not held:
            del self.by_holder[entry.holder]
        return entry

    def held(
        self, holder: str, entries: Iterable[HeldGrant], now: float, *, sent_after: float | None = None
    ) -> list[ChargeChange]:
        """Take the grants that a holder lists in a heartbeat.

        A holder lists a grant to the owner in its view and to the router that issued it. Grants of other
        owners are adopted. `sent_after` is a time after which the heartbeat was certainly sent (the send time
        of the sequence number it echoes); own grants that it should list but does not are dropped. Adopted
        ones are not, because the holder may list them to another owner by now.
        """
        changes: list[ChargeChange] = []
        listed = set()
        for held in entries:
            state = self.targets.get(held.target_id)
            if state is None:
                continue
            listed.add(held.grant_id)
            entry = state.entries.get(held.grant_id) or self.adopt(state, holder, held, now)
            changes += self.progressed(entry, held.progress_cost, now)
            if sent_after is not None and entry.listed_at is not None:
                state.outside.explain(entry.grant_id, entry.listed_at, sent_after)
        if sent_after is not None:
            for entry in self.entries_of(holder):
                if (
                    entry.charge is not None
                    and entry.grant_id not in listed
                    and sent_after > entry.droppable_after
                ):
                    changes += self.drop(entry, now)
        return changes

    def adopt(self, state: TargetState, holder: str, held: HeldGrant, now: float) -> GrantEntry:
        """Count a grant of an earlier owner, or again one whose holder was silent."""
        lost = state.lost.pop(held.grant_id, None)
        if lost is not None:
            entry = lost.entry
            entry.droppable_after = now
        else:
            entry = GrantEntry(
                held.grant_id, held.target_id, holder, held.customer, held.service, None, now, now
            )
        self.add(state, entry, now)
        return entry

    def entries_of(self, holder: str) -> list[GrantEntry]:
        """Return the counted grants of a holder."""
        return list(self.by_holder.get(holder, {}).values())

    def progressed(self, entry: GrantEntry, progress: float, now: float) -> list[ChargeChange]:
        """Record that a grant is in use; a charge below the progress is corrected."""
        entry.seen_at = now
        entry.progress = max(entry.progress, progress)
        if entry.listed_at is None:
            entry.listed_at = now
        if entry.charge is None or entry.progress <= entry.charge:
            return []
        amount = entry.progress - entry.charge
        entry.charge = entry.progress
        return [ChargeChange(entry.customer, entry.service, amount)]

    def drop(self, entry: GrantEntry, now: float) -> list[ChargeChange]:
        """Stop counting a grant that its holder does not list; one that was never in use is not charged."""
        self.remove(entry.grant_id, now)
        if entry.charge is None or entry.listed_at is not None:
            return []
        return [ChargeChange(entry.customer, entry.service, -entry.charge)]

    def release(self, grant_id: str, cost: float | None, complete: bool, now: float) -> ChargeChange | None:
        """End a grant and return the correction of its charge, None when the grant is not known.

        Without a known cost, the progress seen is charged.
        """
        entry = self.remove(grant_id, now)
        if entry is None:
            return None
        if complete:
            self.targets[entry.target_id].limit.request_completed()
        final = entry.progress if cost is None else cost
        amount = 0.0 if entry.charge is None else final - entry.charge
        return ChargeChange(entry.customer, entry.service, amount)

    def returned(self, grant_id: str, target_failed: bool, now: float) -> ChargeChange | None:
        """End a grant that was not used; its charge is taken back."""
        entry = self.remove(grant_id, now)
        if entry is None:
            return None
        if target_failed:
            self.connection_failed(entry.target_id, now)
        return ChargeChange(entry.customer, entry.service, -(entry.charge or 0.0))

    def load_reported(self, report: LoadReported, now: float) -> None:
        """Take a load report; reports measured before the newest known one are ignored."""
        state = self.state(report.target_id)
        measured_at = now - report.report_age_seconds
        if measured_at < state.measured_at:
            return
        state.running, state.measured_at = report.running, measured_at
        state.limit.reported(report, measured_at)
        state.settle_lost()
        state.outside.reported(measured_at, report.running)
        ended = sum(1 for time in state.ended if time >= measured_at)
        if report.running > len(state.entries) + ended:
            state.explained_from = None
        elif state.explained_from is None:
            state.explained_from = measured_at

    def connection_failed(self, target_id: str, now: float) -> None:
        """Count the target as cold until a report measured after now says that it is warm."""
        self.state(target_id).limit.connection_failed(now)

    def expire(self, now: float) -> None:
        """Free the grants of holders that have been silent too long; their charges stay.

        As such requests may still run, they count as work outside the ledger until reports show less, or
        until the longest time that a stopping router takes to finish.
        """
        for state in self.targets.values():
            silent = [
                entry
                for entry in state.entries.values()
                if now - entry.seen_at >= self.settings.held_timeout_seconds
            ]
            for entry in silent:
                state.lost[entry.grant_id] = LostGrant(self.uncount(state, entry.grant_id), now)
            if silent:
                state.lost_running += len(silent)
                state.lost_at = state.changed_at = now
            for grant_id, lost in list(state.lost.items()):
                if now - lost.freed_at >= self.settings.stop_grace_seconds:
                    del state.lost[grant_id]
                    del self.target_of_grant[grant_id]
