"""Bounds of the outside work at a target: running requests that are not in this router's ledger."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

MAXIMUM_PENDING_REPORTS = 8
"""Number of load reports per target to which later heartbeats may still attribute grants."""


@dataclass(frozen=True, slots=True)
class WorkBound:
    """At most `work` requests outside the ledger occupy slots that have been leased since `since`."""

    since: float
    work: int


@dataclass(slots=True)
class PendingReport:
    """A reported number of running requests, and the grants in the ledger that were certainly among them."""

    measured_at: float
    running: int
    attributed_grants: set[str] = field(default_factory=set)

    @property
    def maximum_outside_work(self) -> int:
        """Return the greatest possible number of requests outside the ledger when the report was measured."""
        return max(0, self.running - len(self.attributed_grants))


class OutsideWork:
    """Requests outside the ledger that may occupy leased slots of one target.

    No other owner may start a request in a slot while it is leased to this router. Requests of others in
    such a slot started before the lease, and their number can only fall. A bound that was true once
    therefore stays true for the leases held at that time.
    """

    def __init__(self):
        self.bounds: list[WorkBound] = []
        """Bounds that no other one implies, by time: later ones cover more leases and allow more requests."""
        self.reports: deque[PendingReport] = deque()

    def add_report(self, measured_at: float, running: int) -> None:
        """Add the number of running requests in a load report."""
        if len(self.reports) == MAXIMUM_PENDING_REPORTS:
            oldest = self.reports.popleft()
            self.bounds = insert_bound(
                self.bounds, WorkBound(oldest.measured_at, oldest.maximum_outside_work)
            )
        self.reports.append(PendingReport(measured_at, running))

    def attribute_grant(self, grant_id: str, running_from: float, running_until: float) -> None:
        """Attribute a grant in the ledger to the reports measured while it was certainly running."""
        for report in self.reports:
            if running_from <= report.measured_at <= running_until:
                report.attributed_grants.add(grant_id)

    def record_all_holders_reported(self, since: float) -> None:
        """Record that all routers have listed the grants that they held at `since`."""
        self.bounds = insert_bound(self.bounds, WorkBound(since, 0))

    def minimum_since(self, time: float) -> int | None:
        """Return the least outside work in reports measured after `time`, None without such reports."""
        return min(
            (report.maximum_outside_work for report in self.reports if report.measured_at > time),
            default=None,
        )

    def capacity(self, limit: int, leased_since: Callable[[float], int]) -> int:
        """Return how many grants the leased slots allow, by the bound that allows most.

        Outside work is subtracted in proportion to the leased slots: every owner sees the same outside work,
        and together they need to leave room for it only once.

        Parameters
        ----------
        limit
            Limit of the target, at least 1.
        leased_since
            Returns the number of slots leased without interruption since a given time.
        """
        bounds = self.bounds
        for report in self.reports:
            bounds = insert_bound(bounds, WorkBound(report.measured_at, report.maximum_outside_work))
        return max(
            (
                (limit - bound.work) * leased_since(bound.since) // limit
                for bound in bounds
                if bound.work < limit
            ),
            default=0,
        )


def insert_bound(bounds: list[WorkBound], new: WorkBound) -> list[WorkBound]:
    """Return `bounds` with `new`, sorted by time, without those that another one implies."""
    if any(bound.since >= new.since and bound.work <= new.work for bound in bounds):
        return bounds
    kept = [bound for bound in bounds if bound.since > new.since or bound.work < new.work]
    return sorted([*kept, new], key=lambda bound: bound.since)
