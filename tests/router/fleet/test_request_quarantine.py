"""Tests of fleets that get a request again and again which crashes the targets that run it."""

import pytest

from builders_peers import APPLICATION, FleetInMemory
from builders_repeats import DEADLY_DIGEST, RepeatedLoad
from limpetusher.fleet.model import Pool

SETTLE_SECONDS = 5.0
MAX_LATE_SENDS = 3
"""Sends of a request that may reach targets later than the stable window after its third crash."""
KINDS = {
    "safe": (APPLICATION, {}),
    "unsafe": (APPLICATION, {"is_idempotent": False}),
    "resumable stream": ("engines", {}),
    "other stream": ("engines", {"is_idempotent": False}),
    "stream without parts": ("engines", {"has_parts": False}),
}


def make_fleet(seed: int = 1, *, routers: int = 8, engines: int = 8, **options: object) -> FleetInMemory:
    fleet = FleetInMemory(
        routers, engines=engines, application_targets=options.pop("targets", 4), seed=seed, **options
    )
    fleet.deadly_digests.add(DEADLY_DIGEST)
    fleet.run(SETTLE_SECONDS)
    return fleet


def make_load(fleet: FleetInMemory, kind: str, **rates: float) -> RepeatedLoad:
    service, options = KINDS[kind]
    return RepeatedLoad(fleet, service, **rates, **options)


def scheduler_of(fleet: FleetInMemory, service: str = APPLICATION) -> str:
    router = next(iter(fleet.routers.values()))
    return router.state.pools.scheduler(Pool(service), fleet.clock.monotonic())


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(("seed", "per_second"), [(1, 0.6), (2, 2.0), (3, 8.0)])
def test_request_that_crashes_targets_is_kept_from_them(kind, seed, per_second):
    """Guards against targets that crash one after the other of one request that comes again."""
    fleet = make_fleet(seed)
    load = make_load(fleet, kind, deadly_per_second=per_second)
    load.run(18.0)
    assert len(fleet.crashes) >= 3
    assert load.late_sends() <= MAX_LATE_SENDS


@pytest.mark.parametrize("crash_delay_seconds", [0.01, 0.25])
@pytest.mark.parametrize("seed", [1, 2])
def test_stream_that_crashes_engines_after_output_is_kept_from_them(seed, crash_delay_seconds):
    """Guards against a deadly stream whose output before the crash hides it."""
    fleet = make_fleet(seed)
    fleet.crash_delay_seconds = crash_delay_seconds
    load = make_load(fleet, "resumable stream")
    load.run(18.0)
    assert len(fleet.crashes) >= 3
    assert load.late_sends() <= MAX_LATE_SENDS


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    ("services", "options"),
    [
        (("engines",), {"has_parts": False}),
        ((APPLICATION, "engines"), {"has_parts": False}),
        ((APPLICATION, "engines"), {"has_parts": False, "is_idempotent": False}),
    ],
    ids=["data centres", "services", "services, single runs"],
)
def test_repeats_in_other_pools_count(seed, services, options):
    """Guards against crashes that the schedulers of data centres or services count separately."""
    fleet = make_fleet(seed, engines=24)
    load = RepeatedLoad(fleet, *services, deadly_per_second=0.8, **options)
    load.run(20.0)
    assert len(fleet.crashes) >= 3
    assert load.late_sends() <= MAX_LATE_SENDS


@pytest.mark.parametrize("kind", ["safe", "unsafe", "resumable stream"])
@pytest.mark.parametrize("killed_after", [0.05, 0.3, 2.0])
@pytest.mark.parametrize("is_scheduler", [False, True])
def test_killed_router_does_not_let_the_request_through(kind, killed_after, is_scheduler):
    """Guards against crashes that are forgotten with the router that counted them."""
    fleet = make_fleet(4)
    load = make_load(fleet, kind)
    load.run_until_crashes(3)
    load.run(killed_after)
    scheduler = scheduler_of(fleet, load.services[0])
    victim = next(address for address in fleet.routers if (address == scheduler) == is_scheduler)
    fleet.restart(victim)
    load.run(15.0)
    assert load.late_sends() <= MAX_LATE_SENDS


@pytest.mark.parametrize("kind", ["safe", "unsafe", "resumable stream"])
def test_schedulers_killed_again_and_again_do_not_let_the_request_through(kind):
    """Guards against crashes that no scheduler lives long enough to count."""
    fleet = make_fleet(5)
    load = make_load(fleet, kind)
    for _ in range(12):
        load.run(1.5)
        fleet.restart(scheduler_of(fleet, load.services[0]))
    assert load.late_sends() <= MAX_LATE_SENDS


@pytest.mark.parametrize("kind", ["safe", "unsafe", "resumable stream"])
@pytest.mark.parametrize("is_one_left", [False, True])
def test_restarted_routers_do_not_let_the_request_through(kind, is_one_left):
    """Guards against routers that have started after the quarantine and do not know it."""
    fleet = make_fleet(6)
    load = make_load(fleet, kind)
    load.run_until_crashes(3)
    load.run(4.0)
    for address in list(fleet.routers)[int(is_one_left) :]:
        fleet.restart(address)
    load.run(15.0)
    assert load.late_sends() <= MAX_LATE_SENDS


@pytest.mark.parametrize("kind", ["safe", "unsafe", "resumable stream"])
@pytest.mark.parametrize("customer", ["acme", "bolt"])
def test_sound_requests_beside_a_deadly_one_are_served(kind, customer):
    """Guards against refusing other requests to the same path, of the same caller or of others."""
    fleet = make_fleet(7)
    load = make_load(fleet, kind)
    load.sound_options["customer"] = customer
    load.run(16.0)
    now = fleet.clock.monotonic()
    assert load.served_share(now - 8.0, now - 1.0) >= 0.97


def test_parts_that_a_deadly_request_shares_with_sound_ones_are_not_quarantined():
    """Guards against repeats of one request that count as different requests with its parts."""
    fleet = make_fleet(8)
    load = RepeatedLoad(fleet, "engines", session="s1", sound_per_second=20.0)
    load.run(14.0)
    now = fleet.clock.monotonic()
    assert load.served_share(now - 6.0, now - 1.0) >= 0.97
    assert load.late_sends() <= MAX_LATE_SENDS


def shares_served_while_targets_crash(
    seed: int, gap_seconds: float, digest: str | None
) -> tuple[float, float]:
    """Return the shares of the requests that are served while targets crash by chance, and afterwards."""
    fleet = make_fleet(seed, targets=16)
    load = RepeatedLoad(fleet, deadly_per_second=0.0, sound_per_second=30.0, customer="acme")
    load.sound_options["digest"] = digest
    begun_at = fleet.clock.monotonic()
    while fleet.clock.monotonic() < begun_at + 10.0:
        load.run(gap_seconds)
        fleet.crash(f"d{fleet.rng.randrange(16)}")
    ended_at = fleet.clock.monotonic()
    load.run(6.0)
    now = fleet.clock.monotonic()
    return load.served_share(begun_at, ended_at), load.served_share(now - 2.0, now - 0.5)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("gap_seconds", [0.3, 0.8, 1.5])
def test_identical_sound_requests_are_served_while_targets_crash(seed, gap_seconds):
    """Guards against refusing a caller that asks the same again and again for crashes of other causes."""
    distinct, _ = shares_served_while_targets_crash(seed, gap_seconds, None)
    identical, afterwards = shares_served_while_targets_crash(seed, gap_seconds, "poll")
    assert identical >= distinct - 0.05
    assert afterwards >= 0.97


@pytest.mark.parametrize("is_scheduler_killed", [False, True])
def test_reset_connections_do_not_quarantine_identical_requests(is_scheduler_killed):
    """Guards against refusing a caller that asks the same again and again while connections are reset."""
    fleet = make_fleet(9)
    load = RepeatedLoad(fleet, deadly_per_second=0.0, sound_per_second=30.0, customer="acme")
    load.sound_options["digest"] = "poll"
    for _ in range(12):
        load.run(0.4)
        fleet.reset_connections()
        if is_scheduler_killed:
            load.run(0.05)
            fleet.restart(scheduler_of(fleet))
    load.run(1.5)
    now = fleet.clock.monotonic()
    assert load.served_share(now - 1.2, now - 0.3) >= 0.97
