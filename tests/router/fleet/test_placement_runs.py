"""Tests of how placement runs share the time of the router process."""

import logging
from collections import Counter

import pytest

from builders_peers import STEP_SECONDS, FleetInMemory
from limpetusher.events import Event
from limpetusher.fleet.model import Pool
from limpetusher.fleet.process.prefill_intervals import PrefillInterval

ENGINES = 8
PREFILL_RATE = 90_000.0
OWN_TOKENS = 3_000
CALL_SECONDS = 0.000_002_5
"""Time of a function call on a host with 0.12 cores, from the placement runs on a small twin of scale-1."""
PLACEMENT_RUN_SECONDS = 0.02
"""Duration of a placement run over some hundred waiting requests on a busy host."""


def test_costly_placement_runs_leave_time_for_other_events():
    """Guards against requests that are read a second late because placement runs take all of the time.

    Seen on the day scale-2 of jpr-valley, which reported the rule GONE as broken.
    """
    fleet = FleetInMemory(1, engines=0)
    (router,) = fleet.routers.values()
    clock = fleet.clock
    runs = []

    def decide(now: float) -> list:
        runs.append(now)
        clock.advance(PLACEMENT_RUN_SECONDS)
        return []

    router.request_target("w1")
    router.step()
    router.state.scheduler.decide = decide
    begun = clock.monotonic()
    for _ in range(200):
        router.peers.place_waiting_requests(clock.monotonic())
        clock.advance(0.002)
    assert runs
    assert len(runs) * PLACEMENT_RUN_SECONDS <= 0.5 * (clock.monotonic() - begun)


def test_summary_of_placement_runs_is_logged(caplog):
    """Guards against an overloaded scheduler that can't be told from overloaded engines."""
    fleet = FleetInMemory(1, engines=0)
    (router,) = fleet.routers.values()
    with caplog.at_level(logging.INFO, logger="limpetusher"):
        router.request_target("w1")
        fleet.run(2.0)
    summaries = [
        record.fields
        for record in caplog.records
        if getattr(record, "event", None) is Event.PLACEMENT_SUMMARY
    ]
    assert sum(summary["runs"] for summary in summaries) == router.peers.placement_runs.metrics.placement_runs
    assert sum(summary["refused"] for summary in summaries) == 1
    assert max(summary["waiting"] for summary in summaries) == 1
    assert {summary["met_share"] for summary in summaries} == {1.0}
    assert summaries[0]["run_seconds"] == pytest.approx(router.peers.placement_runs.metrics.placement_seconds)


class UnevenLoad:
    """Requests at a constant rate; customer c0 sends every second one, nine others share the rest."""

    def __init__(self, fleet: FleetInMemory, per_second: float):
        self.fleet = fleet
        self.per_second = per_second
        self.customers: dict[str, str] = {}
        """Customer of each request."""

    def arrive(self) -> None:
        fleet = self.fleet
        while len(self.customers) < self.per_second * fleet.clock.monotonic():
            number = len(self.customers)
            customer = "c0" if number % 2 else f"c{1 + number // 2 % 9}"
            self.customers[f"w{number}"] = customer
            fleet.rng.choice(list(fleet.routers.values())).request_target(
                f"w{number}",
                session=f"{customer}-{fleet.rng.randrange(4)}",
                customer=customer,
                own_tokens=OWN_TOKENS,
            )

    def begun(self, since: float) -> Counter[str]:
        """Return the number of requests of each customer that have begun after a time."""
        return Counter(
            self.customers[request_id]
            for router in self.fleet.routers.values()
            for request_id, granted_at in router.granted_at.items()
            if granted_at >= since
        )


def play_uneven_load(per_second: float) -> Counter[str]:
    """Return the requests of each customer that begin within 6 s after a start-up phase, on slow hosts."""
    fleet = FleetInMemory(
        4,
        engines=ENGINES,
        slots=64,
        goal_seconds=0.5,
        prefill_rate=PREFILL_RATE,
        call_seconds=CALL_SECONDS,
    )
    load = UnevenLoad(fleet, per_second)
    while fleet.clock.monotonic() < 8.0:
        fleet.run(STEP_SECONDS, load.arrive)
    return load.begun(since=2.0)


def test_overload_does_not_reduce_what_begins():
    """Guards against placement runs that take longer the more requests wait, until the engines are idle."""
    near_capacity = play_uneven_load(0.8 * ENGINES * PREFILL_RATE / OWN_TOKENS).total()
    overload = play_uneven_load(4.0 * ENGINES * PREFILL_RATE / OWN_TOKENS).total()
    assert overload >= 0.9 * near_capacity


def test_flood_leaves_other_customers_half_of_their_share():
    """Guards against customers that get a fraction of their fair share while another one floods the fleet."""
    per_second = 1.5 * ENGINES * PREFILL_RATE / OWN_TOKENS
    begun = play_uneven_load(per_second)
    asked = 6.0 * per_second / 2 / 9
    assert min(begun[f"c{number}"] for number in range(1, 10)) >= 0.5 * asked


def test_summary_names_the_customer_that_gets_least_of_what_it_asks_for(caplog):
    """Guards against unfair service that nobody can see from the log of the scheduler."""
    fleet = FleetInMemory(1, engines=0)
    (router,) = fleet.routers.values()
    served = router.state.scheduler.served
    with caplog.at_level(logging.INFO, logger="limpetusher"):
        router.request_target("w1", customer="behind")
        fleet.run(0.5)
        served.add("behind", 0.25 * served.asked["behind"])
        served.add("ahead", 10.0 * served.asked["behind"])
        router.request_target("w2", customer="ahead")
        fleet.run(1.5)
    summaries = [
        record.fields
        for record in caplog.records
        if getattr(record, "event", None) is Event.PLACEMENT_SUMMARY
    ]
    assert summaries[-1]["least_met"] == "behind"
    assert summaries[-1]["met_share"] == pytest.approx(0.25)


def test_uneven_engines_are_logged_and_shown(caplog):
    """Guards against sessions that move, and engines that are avoided, without a trace for the operator."""
    fleet = FleetInMemory(1, engines=3)
    (router,) = fleet.routers.values()
    placement = router.state.placement
    pool = Pool("engines")
    for target_id, speed in zip(sorted(placement.targets), (1.0, 1.0, 1.6), strict=True):
        for _ in range(placement.settings.uneven_engines.min_rate_samples):
            tokens = round(9_000 * speed)
            placement.rates.add_interval("engines", target_id, PrefillInterval(tokens, 9_000 / PREFILL_RATE))
    with caplog.at_level(logging.INFO, logger="limpetusher"):
        for _ in range(5):
            placement.view(pool, fleet.clock.monotonic())
            fleet.run(1.0)
    changes = [record.fields for record in caplog.records if record.event is Event.ENGINE_WEIGHT_CHANGED]
    fastest = max(placement.targets)
    assert [(change["target"], change["weight"]) for change in changes] == [(fastest, 1.562)]
    page = router.peers.placement_runs.metrics.render()[0].decode()
    assert f'limpetusher_engine_prefill_rate{{target="{fastest}"}} 144000' in page
    assert f'limpetusher_engine_session_weight{{target="{fastest}"}} 1.5625' in page
    placement.remove_target(fastest)
    page = router.peers.placement_runs.metrics.render()[0].decode()
    assert fastest not in page
    assert "limpetusher_engines_slow 0" in page
