"""Bounds of the work at a target that is not in this router's ledger."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

PENDING_REPORTS = 8
"""Load reports per target that later heartbeats may still explain."""


@dataclass(frozen=True, slots=True)
class Bound:
    """At most `work` requests outside the ledger occupy slots that were leased by `since`."""

    since: float
    work: int


@dataclass(slots=True)
class PendingReport:
    """A running count, and the counted grants that were certainly running when it was measured."""

    measured_at: float
    running: int
    explained: set[str] = field(default_factory=set)

    @property
    def outside(self) -> int:
        """Return the greatest possible work outside the ledger at the time of the measurement."""
        return max(0, self.running - len(self.explained))


class OutsideWork:
    """Work outside the ledger that may occupy leased slots of one target.

    Nobody else may begin work in a slot while it is leased to this router, so work of others in it began
    before the lease and can only end. A bound that was true once stays true for the leases of that time.
    """

    def __init__(self):
        self.bounds: list[Bound] = []
        """Useful bounds: later ones cover more leases and allow for more work."""
        self.reports: deque[PendingReport] = deque()

    def reported(self, measured_at: float, running: int) -> None:
        """Take the running count of a load report."""
        if len(self.reports) == PENDING_REPORTS:
            oldest = self.reports.popleft()
            self.bounds = with_bound(self.bounds, Bound(oldest.measured_at, oldest.outside))
        self.reports.append(PendingReport(measured_at, running))

    def explain(self, grant_id: str, running_from: float, running_until: float) -> None:
        """Attribute a counted grant to the reports measured while it was certainly running."""
        for report in self.reports:
            if running_from <= report.measured_at <= running_until:
                report.explained.add(grant_id)

    def holders_known(self, since: float) -> None:
        """Record that all routers have listed what they held at `since`."""
        self.bounds = with_bound(self.bounds, Bound(since, 0))

    def least_since(self, time: float) -> int | None:
        """Return the least outside work by the reports measured after `time`, None if there is none."""
        return min((report.outside for report in self.reports if report.measured_at > time), default=None)

    def capacity(self, limit: int, lent_since: Callable[[float], int]) -> int:
        """Return how many grants the leased slots allow by the best known bound.

        Outside work is taken from the leased slots in proportion: each owner sees the same outside work, and
        the owners together have to leave room for it once.

        Parameters
        ----------
        limit
            Limit of the target, at least 1.
        lent_since
            Returns the number of slots leased without interruption from a given time on.
        """
        bounds = self.bounds
        for report in self.reports:
            bounds = with_bound(bounds, Bound(report.measured_at, report.outside))
        return max(
            (
                (limit - bound.work) * lent_since(bound.since) // limit
                for bound in bounds
                if bound.work < limit
            ),
            default=0,
        )


def with_bound(bounds: list[Bound], new: Bound) -> list[Bound]:
    """Return `bounds` with `new` in its place, without those that another one makes useless."""
    if any(bound.since >= new.since and bound.work <= new.work for bound in bounds):
        return bounds
    kept = [bound for bound in bounds if bound.since > new.since or bound.work < new.work]
    return sorted([*kept, new], key=lambda bound: bound.since)
