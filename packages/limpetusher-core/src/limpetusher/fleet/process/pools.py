"""Partition of targets into pools, and election of the router that schedules each pool.

One router at a time schedules a pool. It alone orders the waiting requests, assigns targets and enforces the
limits, so no decision depends on stale state of other routers. Large services are partitioned by data centre
to keep the work of one scheduler independent of the fleet size.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from limpetusher.fleet.messages import MemberEntry
from limpetusher.fleet.model import Pool
from limpetusher.fleet.process.members import Members, MembershipSnapshot
from limpetusher.fleet.process.placement import Placement
from limpetusher.fleet.version.routing import HASH_BYTES, stable_hash

MIN_UNRESPONSIVE_ROUTERS = 2
"""Number of unresponsive routers in another data centre from which on it counts as unreachable."""


MAX_DEPUTIES = 4
"""Number of routers that know the state of a pool which a later scheduler needs, its scheduler among them."""


class Pools:
    """Pools of each service and the routers that schedule them.

    Parameters
    ----------
    placement
        Source of the listed targets.
    members
        Membership of the fleet.
    """

    def __init__(self, placement: Placement, members: Members):
        self.placement = placement
        self.members = members
        self.generation = -1
        self.target_counts: dict[str, dict[Pool, int]] = {}
        """Number of targets of each pool, by service."""
        self.schedulers: dict[Pool, str | None] = {}
        self.snapshot: MembershipSnapshot | None = None
        """Membership snapshot from which `schedulers` were elected."""

    def for_service(self, service: str) -> dict[Pool, int]:
        """Return the pools of a service with their numbers of targets."""
        if self.generation != self.placement.generation:
            self.generation = self.placement.generation
            self.target_counts.clear()
        if service not in self.target_counts:
            self.target_counts[service] = self.partition(service)
        return self.target_counts[service]

    def partition(self, service: str) -> dict[Pool, int]:
        """Partition the targets of a service into pools.

        Engines are partitioned by data centre if the average data centre has at least `max_candidates` of
        them.
        """
        placement = self.placement
        counts = Counter(
            target.data_centre
            for target in placement.by_service.get(service, {}).values()
            if placement.is_listed(target)
        )
        configured = placement.services.get(service)
        is_large = counts.total() >= placement.settings.max_candidates * len(counts)
        if configured is None or configured.engine is None or len(counts) < 2 or not is_large:
            return {Pool(service): counts.total()}
        return {Pool(service, data_centre): counts[data_centre] for data_centre in sorted(counts)}

    def rank_by_session(self, service: str, session: str) -> list[Pool]:
        """Return the pools of a service, ranked for a session by weighted rendezvous hashing."""
        target_counts = self.for_service(service)
        if len(target_counts) == 1:
            return list(target_counts)
        return sorted(
            target_counts, key=lambda pool: rendezvous_score(pool, session, target_counts[pool]), reverse=True
        )

    def choose(self, service: str, session: str, now: float, *, tried: frozenset[Pool]) -> Pool | None:
        """Return the best untried pool for a session whose scheduler is reachable, or None."""
        return next(self.reachable(service, session, now, tried=tried), None)

    def choose_spare(
        self, service: str, session: str, now: float, *, tried: frozenset[Pool], cost: Callable[[Pool], Any]
    ) -> Pool | None:
        """Return the untried pool with the lowest cost, the best one for a session among equal ones."""
        return min(self.reachable(service, session, now, tried=tried), key=cost, default=None)

    def reachable(self, service: str, session: str, now: float, *, tried: frozenset[Pool]) -> Iterator[Pool]:
        """Yield the untried pools whose schedulers are reachable, the best one for a session first."""
        for pool in self.rank_by_session(service, session):
            if pool not in tried and self.scheduler(pool, now) is not None:
                yield pool

    def scheduler(self, pool: Pool, now: float) -> str | None:
        """Return the address of the router that schedules a pool, None if its data centre is unreachable."""
        if pool not in self.schedulers:
            self.schedulers[pool] = self.elect(pool, now)
        return self.schedulers[pool]

    def invalidate_schedulers(self, now: float) -> None:
        """Discard the elected schedulers if membership may have changed."""
        snapshot = self.members.snapshot(now)
        if snapshot is not self.snapshot:
            self.snapshot = snapshot
            self.schedulers.clear()

    def elect(self, pool: Pool, now: float) -> str | None:
        """Elect a responsive router of the pool's data centre, or of any one if it has no live router."""
        members = self.members
        entries = members.live(now, pool.data_centre)
        responsive = members.responsive(now, pool.data_centre)
        if not entries:
            entries, responsive = members.live(now), members.responsive(now)
        if pool.data_centre and pool.data_centre != members.own.data_centre:
            is_unreachable = len(entries) - len(responsive) >= min(MIN_UNRESPONSIVE_ROUTERS, len(entries))
            if is_unreachable:
                return None
        return (
            min(responsive, key=lambda entry: scheduler_preference(pool, entry)).address
            if responsive
            else None
        )

    def deputies(self, pool: Pool, now: float) -> list[str]:
        """Return the routers of which one schedules a pool if its scheduler fails or is partitioned.

        They are the first ones in the order of preference, and the first one of each data centre.
        """
        members = self.members
        entries = members.responsive(now, pool.data_centre) or members.responsive(now)
        ranked = sorted(entries, key=lambda entry: scheduler_preference(pool, entry))
        first_by_data_centre = {entry.data_centre: entry for entry in reversed(ranked)}
        chosen = [*ranked[:MAX_DEPUTIES], *first_by_data_centre.values()]
        return sorted({entry.address for entry in chosen})


def scheduler_preference(pool: Pool, entry: MemberEntry) -> tuple[float, int]:
    """Return a sort key for the routers that could schedule a pool; hosts with more cores come first."""
    return -entry.capacity, stable_hash(str(pool), entry.address)


def rendezvous_score(pool: Pool, session: str, weight: int) -> float:
    """Return the weighted rendezvous score of a pool for a session."""
    point = (stable_hash(str(pool), session) + 0.5) / 2 ** (8 * HASH_BYTES)
    return -weight / math.log(point)
