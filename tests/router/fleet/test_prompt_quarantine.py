"""Tests of fleets that get requests on which engines crash."""

import itertools

import pytest

from builders_peers import STEP_SECONDS, FleetInMemory

SETTLE_SECONDS = 5.0
STABLE_WINDOW_SECONDS = 3.0
MAX_LATE_REQUESTS = 3
"""Requests with a deadly part that may reach engines later than the stable window after the fifth crash."""
DEADLY_PART = "deadly"


class TaintedLoad:
    """Requests at random routers, of which every n-th has a part that crashes engines."""

    def __init__(self, fleet: FleetInMemory, per_second: float, *, every: int, sessions: int = 40):
        self.fleet = fleet
        self.per_second = per_second
        self.every = every
        self.sessions = sessions
        self.numbers = itertools.count()
        self.begun_at = fleet.clock.monotonic()
        self.asked = 0
        self.is_tainted: dict[str, bool] = {}

    def arrive(self) -> None:
        fleet = self.fleet
        while self.asked < self.per_second * (fleet.clock.monotonic() - self.begun_at):
            self.asked += 1
            request_id = f"w{next(self.numbers)}"
            is_tainted = self.asked % self.every == 0
            self.is_tainted[request_id] = is_tainted
            fleet.rng.choice(
                [router for router in fleet.routers.values() if not router.is_frozen]
            ).request_target(
                request_id,
                session=f"s{fleet.rng.randrange(self.sessions)}",
                customer=f"c{fleet.rng.randrange(5)}",
                extra_part=DEADLY_PART if is_tainted else None,
            )

    def run(self, seconds: float) -> None:
        until = self.fleet.clock.monotonic() + seconds
        while self.fleet.clock.monotonic() < until:
            self.fleet.run(STEP_SECONDS, self.arrive)

    def granted(self, *, tainted: bool, since: float) -> list[float]:
        """Return the times at which requests of a kind were sent to engines."""
        return sorted(
            granted_at
            for router in self.fleet.routers.values()
            for request_id, granted_at in router.granted_at.items()
            if self.is_tainted.get(request_id) is tainted and granted_at >= since
        )


def make_fleet(seed: int = 1, *, routers: int = 8, engines: int = 8) -> FleetInMemory:
    fleet = FleetInMemory(routers, engines=engines, seed=seed)
    fleet.deadly_parts.add(DEADLY_PART)
    fleet.run(SETTLE_SECONDS)
    return fleet


@pytest.mark.parametrize(("seed", "every"), [(1, 4), (2, 10), (3, 20), (4, 50)])
def test_requests_that_crash_engines_are_kept_from_them(seed, every):
    """Guards against requests of one kind that crash engines one after the other."""
    fleet = make_fleet(seed)
    load = TaintedLoad(fleet, 40.0, every=every)
    load.run(24.0)
    assert len(fleet.crashes) >= 3
    if len(fleet.crashes) >= 5:
        late_from = fleet.crashes[4][0] + STABLE_WINDOW_SECONDS
        assert len(load.granted(tainted=True, since=late_from)) <= MAX_LATE_REQUESTS
