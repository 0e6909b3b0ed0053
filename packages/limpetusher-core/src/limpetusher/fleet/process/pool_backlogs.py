"""Backlogs of pools, as their schedulers have told, for the choice of another pool after a refusal."""

import math
from collections.abc import Iterable

from limpetusher.fleet.model import Pool

MAX_AGE_SECONDS = 1.0
"""Age from which a backlog is unknown; several times the interval at which schedulers tell theirs."""
MAX_BACKLOG_SECONDS = 3_600.0
"""Greatest backlog that is accepted; requests wait for seconds at most."""
MAX_POOLS = 1_000
"""Maximum number of pools, so that malformed messages don't take up memory."""
COMPARED_STEP_SECONDS = 0.02
"""Backlogs within the same step count as equal, so that sessions keep their order of pools. A full pool with
a short goal has only some steps to do, as what can't start in time is refused."""


class PoolBacklogs:
    """Time to prefill the prompts that wait for each pool, in seconds, while it is known."""

    def __init__(self):
        self.known: dict[Pool, tuple[float, float]] = {}
        """Backlog of each pool and the time at which it was told."""
        self.ignored = 0
        """Number of invalid backlogs."""

    def record(self, pool: Pool, seconds: float, now: float) -> None:
        """Record the backlog of a pool; an invalid one is counted and ignored."""
        if pool not in self.known and len(self.known) >= MAX_POOLS:
            self.drop_old(now)
        is_valid = math.isfinite(seconds) and 0 <= seconds <= MAX_BACKLOG_SECONDS
        if not is_valid or (pool not in self.known and len(self.known) >= MAX_POOLS):
            self.ignored += 1
            return
        self.known[pool] = (seconds, now)

    def seconds(self, pool: Pool, now: float) -> float | None:
        """Return the backlog of a pool, None if it is unknown."""
        seconds, at = self.known.get(pool, (0.0, -math.inf))
        return seconds if now <= at + MAX_AGE_SECONDS else None

    def step(self, pool: Pool, now: float) -> int:
        """Return the backlog of a pool in steps that are worth a comparison, 0 if it is unknown."""
        return int((self.seconds(pool, now) or 0.0) / COMPARED_STEP_SECONDS)

    def by_data_centre(self, pools: Iterable[Pool], now: float) -> tuple[tuple[str, float], ...]:
        """Return the known backlogs of the pools of one service, by data centre."""
        found = ((pool.data_centre, self.seconds(pool, now)) for pool in pools)
        return tuple((data_centre, seconds) for data_centre, seconds in found if seconds is not None)

    def drop_old(self, now: float) -> None:
        """Remove the backlogs that are too old to be used."""
        self.known = {pool: entry for pool, entry in self.known.items() if now <= entry[1] + MAX_AGE_SECONDS}
