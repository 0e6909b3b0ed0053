"""Which targets are scheduled together, and which router schedules them.

One router at a time schedules a pool: it alone decides about the order of the waiting requests, the load of
the targets and the limits, so that no router acts on old news of the others. Large services are divided by
data centre, so that a scheduler's work does not grow with the fleet.
"""

import math
from collections import Counter

from limpetusher.fleet.messages import MemberEntry
from limpetusher.fleet.model import Pool
from limpetusher.fleet.process.members import Members, Roster
from limpetusher.fleet.process.placement import Placement
from limpetusher.fleet.version.routing import HASH_BYTES, stable_hash

LOST_SCHEDULERS = 2
"""Routers of another data centre that have to be silent before its pools count as cut off."""


class Pools:
    """Pools of each service, and their schedulers.

    Parameters
    ----------
    placement
        Knows the targets.
    members
        Knows the routers.
    """

    def __init__(self, placement: Placement, members: Members):
        self.placement = placement
        self.members = members
        self.generation = -1
        self.weights: dict[str, dict[Pool, int]] = {}
        """Targets of each pool, by service."""
        self.schedulers: dict[Pool, str | None] = {}
        self.roster: Roster | None = None
        """The routers of which `schedulers` were chosen."""

    def of(self, service: str) -> dict[Pool, int]:
        """Return the pools of a service with the number of their targets."""
        if self.generation != self.placement.generation:
            self.generation = self.placement.generation
            self.weights.clear()
        if service not in self.weights:
            self.weights[service] = self.divide(service)
        return self.weights[service]

    def divide(self, service: str) -> dict[Pool, int]:
        """Divide the targets of a service.

        Engines are divided by data centre if a session has enough of them to choose from in each one.
        """
        placement = self.placement
        counts = Counter(
            target.data_centre
            for target in placement.by_service.get(service, {}).values()
            if placement.is_listed(target)
        )
        known = placement.services.get(service)
        is_large = counts.total() >= placement.settings.candidates * len(counts)
        if known is None or known.engine is None or len(counts) < 2 or not is_large:
            return {Pool(service): counts.total()}
        return {Pool(service, data_centre): counts[data_centre] for data_centre in sorted(counts)}

    def ranked(self, service: str, session: str) -> list[Pool]:
        """Return the pools of a service in the order of a session, by weighted rendezvous hashing."""
        weights = self.of(service)
        if len(weights) == 1:
            return list(weights)
        return sorted(weights, key=lambda pool: score(pool, session, weights[pool]), reverse=True)

    def choose(self, service: str, session: str, now: float, *, tried: frozenset[Pool]) -> Pool | None:
        """Return the pool for a session, None where no other one with a scheduler in reach is left."""
        for pool in self.ranked(service, session):
            if pool not in tried and self.scheduler(pool, now) is not None:
                return pool
        return None

    def scheduler(self, pool: Pool, now: float) -> str | None:
        """Return the address of the router that schedules a pool, None if its data centre is cut off."""
        if pool not in self.schedulers:
            self.schedulers[pool] = self.elect(pool, now)
        return self.schedulers[pool]

    def review(self, now: float) -> None:
        """Choose the schedulers anew when they are next asked for, if the routers may have changed."""
        roster = self.members.roster(now)
        if roster is not self.roster:
            self.roster = roster
            self.schedulers.clear()

    def elect(self, pool: Pool, now: float) -> str | None:
        """Choose among the live routers of the pool's data centre; of all if it has none."""
        members = self.members
        entries = members.live(now, pool.data_centre)
        sound = members.sound(now, pool.data_centre)
        if not entries:
            entries, sound = members.live(now), members.sound(now)
        if pool.data_centre and pool.data_centre != members.own.data_centre:
            is_cut_off = len(entries) - len(sound) >= min(LOST_SCHEDULERS, len(entries))
            if is_cut_off:
                return None
        return min(sound, key=lambda entry: preference(pool, entry)).address if sound else None


def preference(pool: Pool, entry: MemberEntry) -> tuple[float, int]:
    """Return a key for the order of routers that could schedule a pool: strong hosts first."""
    return -entry.capacity, stable_hash(str(pool), entry.address)


def score(pool: Pool, session: str, weight: int) -> float:
    """Return the weighted score of a pool for a session."""
    point = (stable_hash(str(pool), session) + 0.5) / 2 ** (8 * HASH_BYTES)
    return -weight / math.log(point)
