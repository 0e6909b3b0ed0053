"""Tests of slow spells and of the choice of pools, with the messages between routers in virtual time."""

from builders_peers import STEP_SECONDS, FleetInMemory
from limpetusher.fleet.process.prefill_intervals import PrefillInterval

RATE = 91_800.0
OWN_TOKENS = 2_890
SHARED_TOKENS = 3_150
GOAL_SECONDS = 0.4


class SteadyLoad:
    """Requests at a constant rate, whose sessions are taken in turn."""

    def __init__(self, fleet: FleetInMemory, per_second: float, sessions: list[str]):
        self.fleet = fleet
        self.per_second = per_second
        self.sessions = sessions
        self.count = 0

    def arrive(self) -> None:
        routers = list(self.fleet.routers.values())
        while self.count < self.per_second * self.fleet.clock.monotonic():
            self.count += 1
            self.fleet.rng.choice(routers).request_target(
                f"w{self.count}",
                session=self.sessions[self.count % len(self.sessions)],
                customer=f"c{self.count % 9}",
                own_tokens=OWN_TOKENS,
                shared_tokens=SHARED_TOKENS,
            )


def make_fleet(*, data_centres: int, engines: int) -> FleetInMemory:
    """Return a fleet whose routers have measured the rates of all engines."""
    fleet = FleetInMemory(
        6,
        data_centres=data_centres,
        engines=engines,
        slots=24,
        goal_seconds=GOAL_SECONDS,
        prefill_rate=RATE,
    )
    for router in fleet.routers.values():
        for target_id in router.state.placement.targets:
            for _ in range(20):
                interval = PrefillInterval(9_000, 9_000 / RATE)
                router.state.placement.rates.add_interval("engines", target_id, interval)
    return fleet


def begin_spell(fleet: FleetInMemory, load: SteadyLoad, target_id: str, seconds: float) -> list[str]:
    """Slow an engine down; return the routers that find its spell, in the order in which they do."""
    found: list[str] = []

    def arrive() -> None:
        load.arrive()
        for address, router in fleet.routers.items():
            if target_id in router.state.placement.spells.slow and address not in found:
                found.append(address)

    fleet.slowdowns[target_id] = 2.5
    fleet.run(seconds, arrive)
    return found


def test_scheduler_finds_the_slow_spell_of_an_engine():
    """Guards against spells that only a test without messages and other engines shows."""
    fleet = make_fleet(data_centres=1, engines=9)
    load = SteadyLoad(fleet, 0.6 * 9 * RATE / OWN_TOKENS, [f"s{number}" for number in range(90)])
    fleet.run(3.0, load.arrive)
    (scheduler,) = begin_spell(fleet, load, "e4", 0.6)
    spells = fleet.routers[scheduler].state.placement.spells
    fleet.slowdowns.clear()
    fleet.run(3.0, load.arrive)
    assert "e4" not in spells.slow


def test_successor_of_a_scheduler_that_is_lost_in_a_spell_serves_all_requests():
    """Guards against requests that wait for an engine which only the lost scheduler knew to be slow."""
    fleet = make_fleet(data_centres=1, engines=9)
    load = SteadyLoad(fleet, 0.4 * 9 * RATE / OWN_TOKENS, [f"s{number}" for number in range(90)])
    fleet.run(3.0, load.arrive)
    (scheduler,) = begin_spell(fleet, load, "e4", 0.6)
    del fleet.routers[scheduler]
    assert all(not router.state.placement.spells.slow for router in fleet.routers.values())
    fleet.slowdowns.clear()
    fleet.run(3.0, load.arrive)
    fleet.run(2.0)
    assert fleet.unanswered() == []


def test_refused_requests_go_to_the_pool_with_spare_capacity():
    """Guards against refusals by two flooded pools while the engines of the third data centre are idle."""
    fleet = make_fleet(data_centres=3, engines=15)
    pools = next(iter(fleet.routers.values())).state.pools
    full = ("dc0", "dc1")
    sessions = [
        session
        for session in (f"s{number}" for number in range(600))
        if tuple(pool.data_centre for pool in pools.rank_by_session("engines", session)[:2]) == full
        or tuple(pool.data_centre for pool in pools.rank_by_session("engines", session)[1::-1]) == full
    ]
    load = SteadyLoad(fleet, 2.0 * 10 * RATE / OWN_TOKENS, sessions[:150])
    while fleet.clock.monotonic() < 4.0:
        fleet.run(STEP_SECONDS, load.arrive)
    idle = [target.target_id for target in fleet.targets if target.data_centre == "dc2"]
    begun = sum(send.target_id in idle for send in fleet.sends if send.at > 2.0)
    assert begun > 0.5 * 2.0 * 5 * RATE / (OWN_TOKENS + 2 * SHARED_TOKENS)
    by_backlog = sum(
        router.state.scheduler_client.second_pools["backlog"] for router in fleet.routers.values()
    )
    assert by_backlog > 0
