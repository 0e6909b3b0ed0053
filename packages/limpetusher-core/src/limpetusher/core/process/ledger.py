"""Work granted at each owned target: limits, grants, held requests and load reports."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from limpetusher.configuration.compiled import Host, TargetClass
from limpetusher.core.inputs import LoadReported
from limpetusher.core.process.shares import Shares
from limpetusher.core.settings import PolicySettings
from limpetusher.errors import PolicyError
from limpetusher.wire.messages import HeldGrant

PENDING_REPORTS = 8
"""Load reports per target that later heartbeats may still explain."""


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
    of the holder that does not list the grant shows that it is not in use. `listed_at` is when the grant was
    first listed by its holder.
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


@dataclass(slots=True)
class PendingReport:
    """A running count, and the counted grants that were running when it was measured."""

    measured_at: float
    running: int
    explained: set[str] = field(default_factory=set)

    @property
    def outside(self) -> int:
        """Return the greatest possible work outside the ledger at the time of the measurement."""
        return max(0, self.running - len(self.explained))


@dataclass(slots=True)
class TargetState:
    """State of one target.

    `outside` bounds the work outside the ledger that began before `outside_from`; such work can only end.
    """

    slots: int
    cold_slots: int
    limit: int
    warm: bool = False
    boot_id: str | None = None
    failed_at: float | None = None
    completed: int = 0
    entries: dict[str, GrantEntry] = field(default_factory=dict)
    running: int = 0
    measured_at: float = float("-inf")
    changed_at: float = float("-inf")
    released: deque[float] = field(default_factory=lambda: deque(maxlen=256))
    outside: int = 0
    outside_from: float = float("-inf")
    reports: deque[PendingReport] = field(default_factory=lambda: deque(maxlen=PENDING_REPORTS))
    explained_since: float | None = None

    def turn_cold(self) -> None:
        """Go back to the cold limit."""
        self.warm = False
        self.limit = min(self.cold_slots, self.slots)
        self.completed = 0


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

    def configure(self, targets: Iterable[Host], classes: Mapping[str, TargetClass]) -> None:
        """Take over the listed targets; those that are gone or have no known class are dropped."""
        states: dict[str, TargetState] = {}
        for host in targets:
            target_class = classes.get(host.target_class or "")
            if target_class is None:
                continue
            state = self.targets.get(host.host_id)
            if state is None:
                limit = min(target_class.cold_slots, target_class.slots)
                state = TargetState(target_class.slots, target_class.cold_slots, limit)
                if self.settings.fresh_fleet:
                    state.outside_from = 0.0
            elif (state.slots, state.cold_slots) != (target_class.slots, target_class.cold_slots):
                full = state.warm and state.limit >= state.slots
                state.slots, state.cold_slots = target_class.slots, target_class.cold_slots
                state.limit = state.slots if full else min(state.limit, state.slots)
                if not state.warm:
                    state.turn_cold()
            states[host.host_id] = state
        self.targets = states
        self.target_of_grant = {
            grant_id: target_id for target_id, state in states.items() for grant_id in state.entries
        }

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
        return self.state(target_id).limit

    def is_warm(self, target_id: str) -> bool:
        """Return whether the target counts as warm; its limit may still be growing."""
        return self.state(target_id).warm

    def count(self, target_id: str) -> int:
        """Return how many grants are counted at the target."""
        return len(self.state(target_id).entries)

    def usable(self, target_id: str, shares: Shares, now: float) -> int:
        """Return how many more grants may be issued for the target now."""
        state = self.state(target_id)
        lent = shares.lent_slots(target_id, state.limit, now)
        counted = len(state.entries)
        if state.measured_at > state.changed_at:
            counted = max(counted, state.running)
        return max(0, min(state.limit, lent) - counted)

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
        entry = GrantEntry(
            grant_id,
            target_id,
            holder,
            customer,
            service,
            charge,
            droppable_after=now + self.settings.grant_valid_seconds,
            seen_at=now,
        )
        self.add(state, entry)
        state.changed_at = now
        return entry

    def add(self, state: TargetState, entry: GrantEntry) -> None:
        """Count an entry."""
        state.entries[entry.grant_id] = entry
        self.target_of_grant[entry.grant_id] = entry.target_id

    def remove(self, grant_id: str, now: float) -> tuple[TargetState, GrantEntry] | None:
        """Stop counting a grant and return its entry, None when it is not counted."""
        target_id = self.target_of_grant.pop(grant_id, None)
        if target_id is None:
            return None
        state = self.targets[target_id]
        state.changed_at = now
        state.released.append(now)
        return state, state.entries.pop(grant_id)

    def held(
        self, holder: str, entries: Iterable[HeldGrant], now: float, *, sent_after: float | None = None
    ) -> list[ChargeChange]:
        """Take the grants that a holder lists in a heartbeat.

        Grants of earlier owners are adopted. `sent_after` is a time after which the heartbeat was certainly
        sent (the send time of the sequence number it echoes); grants that it should list but does not are
        dropped.
        """
        changes: list[ChargeChange] = []
        listed = set()
        for held in entries:
            state = self.targets.get(held.target_id)
            if state is None:
                continue
            listed.add(held.grant_id)
            entry = state.entries.get(held.grant_id)
            if entry is None:
                entry = GrantEntry(
                    held.grant_id, held.target_id, holder, held.customer, held.service, None, now, now
                )
                self.add(state, entry)
            changes += self.progressed(entry, held.progress_cost, now)
        if sent_after is not None:
            for entry in self.entries_of(holder):
                if entry.grant_id not in listed and sent_after > entry.droppable_after:
                    changes += self.dropped(entry, now)
        return changes

    def entries_of(self, holder: str) -> list[GrantEntry]:
        """Return the counted grants of a holder."""
        return [
            entry
            for state in self.targets.values()
            for entry in state.entries.values()
            if entry.holder == holder
        ]

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

    def dropped(self, entry: GrantEntry, now: float) -> list[ChargeChange]:
        """Stop counting a grant that its holder no longer lists."""
        self.remove(entry.grant_id, now)
        if entry.charge is None or entry.listed_at is not None:
            return []
        return [ChargeChange(entry.customer, entry.service, -entry.charge)]

    def release(self, grant_id: str, cost: float | None, complete: bool, now: float) -> ChargeChange | None:
        """End a grant and return the correction of its charge, None when the grant is not counted.

        Without a known cost, the progress seen is charged.
        """
        removed = self.remove(grant_id, now)
        if removed is None:
            return None
        state, entry = removed
        if complete:
            self.completed(state)
        final = entry.progress if cost is None else cost
        amount = 0.0 if entry.charge is None else final - entry.charge
        return ChargeChange(entry.customer, entry.service, amount)

    def completed(self, state: TargetState) -> None:
        """Double the limit of a warm target when it has completed as many requests as the limit."""
        if not state.warm or state.limit >= state.slots:
            return
        state.completed += 1
        if state.completed >= state.limit:
            state.limit = min(state.slots, 2 * max(1, state.limit))
            state.completed = 0

    def returned(self, grant_id: str, target_failed: bool, now: float) -> ChargeChange | None:
        """End a grant that was not used; its charge is taken back."""
        removed = self.remove(grant_id, now)
        if removed is None:
            return None
        _, entry = removed
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
        first = state.boot_id is None
        rebooted = not first and report.boot_id != state.boot_id
        state.boot_id = report.boot_id
        if rebooted or not report.warm:
            state.turn_cold()
            if rebooted:
                state.failed_at = measured_at
        elif not state.warm and (state.failed_at is None or measured_at > state.failed_at):
            state.warm = True
            if first:
                # A warm target that another owner used before bears at least what runs on it.
                state.limit = max(state.limit, min(state.slots, report.running))

    def connection_failed(self, target_id: str, now: float) -> None:
        """Count the target as cold until a report measured after now says that it is warm."""
        state = self.state(target_id)
        state.failed_at = now
        state.turn_cold()

    def expire(self, now: float) -> list[ChargeChange]:
        """Free the grants of holders that have been silent too long.

        Their charges stay: the requests may have run.
        """
        for state in self.targets.values():
            silent = [
                entry
                for entry in state.entries.values()
                if now - entry.seen_at >= self.settings.held_timeout_seconds
            ]
            for entry in silent:
                self.remove(entry.grant_id, now)
        return []
