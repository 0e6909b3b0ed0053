"""Several decision cores that exchange messages while messages, routers and targets fail."""

import random
from collections import Counter

import pytest

from builders_decision import (
    load_small_configuration,
    make_booking,
    make_configuration,
    make_host_list,
    make_request,
)
from core_harness import Fleet
from limpetusher.core.actions import Refuse
from limpetusher.core.inputs import CallerGone, ConfigurationReceived, Outcome, StopRequested
from limpetusher.core.process.demand_sender import DEMAND_BURST_BYTES, DEMAND_BYTES_PER_SECOND
from limpetusher.core.refusals import Ran, RefusalCode

START_SECONDS = 5.0
"""Routers that start claim their own slots first, and lend them to the owner after the takeover wait."""


def make_fleet(routers=2, engines=2, *, data_centres="a", configuration=None, **settings) -> Fleet:
    """Return a fleet that has run until all slots are lent to the owners."""

    def places(prefix, count):
        return {f"{prefix}{i}": data_centres[i % len(data_centres)] for i in range(count)}

    hosts = make_host_list(
        routers=places("r", routers), engines=places("e", engines), applications=places("p", 2)
    )
    fleet = Fleet(hosts, configuration or make_configuration(), **settings)
    fleet.run(START_SECONDS)
    return fleet


def offer(fleet, seconds, rate, *, seed=1, make=make_request):
    """Let requests arrive at random routers; return their identifiers and when they arrived."""
    rng = random.Random(seed)
    routers = sorted(fleet.cores)
    arrivals: dict[str, float] = {}

    def arrive(request_id, router):
        if router in fleet.cores:
            arrivals[request_id] = fleet.now
            fleet.request(router, make(request_id))

    delay, number = rng.expovariate(rate), 0
    while delay < seconds:
        request_id, router = f"q{number}", rng.choice(routers)
        fleet.at(delay, lambda request_id=request_id, router=router: arrive(request_id, router))
        delay, number = delay + rng.expovariate(rate), number + 1
    return arrivals


def outcomes(fleet):
    """Return how often callers got each kind of answer."""
    return Counter(how.code if isinstance(how, Refuse) else how for _, how in fleet.answers.values())


def free_slots(fleet):
    """Return the free slots by target, as their owners see them."""
    return {t.target_id: t.free for core in fleet.cores.values() for t in core.status().targets}


def first_owner(fleet, target_id="e0"):
    """Return the router that owns the target in its own view."""
    return next(name for name, core in fleet.cores.items() if target_id in core.owned_targets)


def test_all_slots_are_used_and_every_request_is_answered():
    """Guards against requests that get lost between demand, grant and release, and against idle slots."""
    fleet = make_fleet()
    for number in range(40):
        fleet.request(f"r{number % 2}", make_request(f"q{number}"))
    fleet.run(2.0)
    assert outcomes(fleet) == {Outcome.COMPLETE: 40}
    assert {name: fleet.targets[name].most_running for name in ("e0", "e1")} == {"e0": 4, "e1": 4}


def test_requests_without_contention_are_served_within_milliseconds():
    """Guards against added latency at half load: the median stays below 3 ms (design, 1.1)."""
    fleet = make_fleet(8, 10, data_centres="abcd")
    arrivals = offer(fleet, 8.0, rate=200.0)
    fleet.run(10.0)
    starts = {request_id: at for t in fleet.targets.values() for at, request_id in t.starts}
    waits = sorted(starts[request_id] - at for request_id, at in arrivals.items())
    assert waits[len(waits) // 2] < 0.003
    assert outcomes(fleet) == {Outcome.COMPLETE: len(arrivals)}


def test_request_spreads_to_other_owners_when_the_first_has_no_slot():
    """Guards against work that waits at one owner while the target of another is idle.

    The first offer goes to the owner whose target has the prefix cached, although its slots are in use.
    """
    fleet = make_fleet(2, 2, data_centres="ab")
    fleet.request("r0", make_request("first", prefix=b"history"))
    fleet.run(1.0)
    fleet.targets["e0"].seconds = fleet.targets["e1"].seconds = 5.0
    for number in range(5):
        fleet.request("r0", make_request(f"q{number}", prefix=b"history"))
    asked_at = fleet.now
    fleet.run(0.05)
    assert len(fleet.targets["e0"].running) == 4
    ((started_at, _),) = fleet.targets["e1"].starts
    assert 0.01 <= started_at - asked_at <= 0.015


def test_utilisation_stays_high_while_work_waits():
    """Guards against idle slots under backlog: at least 97% of the capacity is used (design, 1.1)."""
    fleet = make_fleet(8, 10, data_centres="abcd")
    offer(fleet, 10.0, rate=800.0, make=lambda name: make_request(name, patience_seconds=300.0))
    fleet.run(2.0)
    before = fleet.runs.total()
    fleet.run(8.0)
    possible = 8.0 * 10 * 4 / fleet.targets["e0"].seconds
    assert (fleet.runs.total() - before) / possible >= 0.97


def test_flooding_customer_does_not_starve_another():
    """Guards against starvation when one customer floods all routers (requirements 1 and 2).

    The bound of design section 6 with c = 100, S = 16, O = 4, w = 1, R = 100 / 0.1 * 16 and d = 1 ms.
    """
    fleet = make_fleet(4, 4, data_centres="ab", configuration=make_configuration(queue_limit=100_000))
    patient = {"patience_seconds": 300.0}
    for router in fleet.cores:
        for number in range(2000):
            fleet.request(router, make_request(f"flood-{router}-{number}", **patient))
    for number in range(800):
        fleet.request("r0", make_request(f"beta-{number}", customer="beta", **patient))
    fleet.run(8.0)
    served = Counter(request_id.split("-")[0] for request_id in fleet.runs)
    bound = (0.25 + 0.001) * 16_000 + (16 + 4) * 100
    assert abs(served["flood"] - served["beta"]) * 100 <= bound


def test_idle_customer_saves_no_credit():
    """Guards against a customer that comes back after a pause and takes all capacity for its past share."""
    fleet = make_fleet(2, 2, configuration=make_configuration(queue_limit=100_000))
    patient = {"patience_seconds": 300.0}
    fleet.request("r0", make_request("first"))
    for number in range(1600):
        fleet.request(f"r{number % 2}", make_request(f"beta-{number}", customer="beta", **patient))
    fleet.run(10.0)
    for number in range(800):
        fleet.request(f"r{number % 2}", make_request(f"alpha-{number}", **patient))
    before = Counter(request_id.split("-")[0] for request_id in fleet.runs)
    fleet.run(5.0)
    served = Counter(request_id.split("-")[0] for request_id in fleet.runs) - before
    bound = (0.25 + 0.001) * 8_000 + (8 + 2) * 100
    assert abs(served["alpha"] - served["beta"]) * 100 <= bound


def test_lost_messages_cost_no_slot_and_no_request():
    """Guards against slots or requests that stay lost after a demand, grant or release was lost."""
    fleet = make_fleet(4, 4, data_centres="ab")
    fleet.loss = 0.2
    arrivals = offer(fleet, 20.0, rate=60.0)
    fleet.run(20.0)
    fleet.loss = 0.0
    fleet.run(10.0)
    assert outcomes(fleet) == {Outcome.COMPLETE: len(arrivals)}
    assert {free_slots(fleet)[name] for name in ("e0", "e1", "e2", "e3")} == {4}
    for core in fleet.cores.values():
        kept = (core.lifecycle.records, core.queue.buckets, core.offers.narrow, core.offers.sender.told)
        assert (*kept, core.book.open_lines, core.context.ledger.by_holder) == ({},) * 6


def test_killed_owner_is_replaced():
    """Guards against targets that stay unused after their owner was killed."""
    fleet = make_fleet(3, 3)
    owner = first_owner(fleet)
    fleet.kill(owner)
    fleet.run(10.0)
    survivor = next(iter(fleet.cores))
    for number in range(30):
        fleet.request(survivor, make_request(f"q{number}"))
    fleet.run(5.0)
    assert outcomes(fleet) == {Outcome.COMPLETE: 30}
    assert first_owner(fleet) != owner


def test_restarted_router_takes_part_again():
    """Guards against a router without state that is not believed, or that believes old grants and demands."""
    fleet = make_fleet(3, 3)
    offer(fleet, 5.0, rate=50.0)
    fleet.run(2.0)
    owner = first_owner(fleet)
    fleet.kill(owner)
    fleet.run(0.1)
    fleet.start(owner)
    fleet.run(20.0)
    assert first_owner(fleet) == owner
    assert free_slots(fleet) == dict.fromkeys(free_slots(fleet), 4)
    fleet.answers.clear()
    fleet.request(owner, make_request("after"))
    fleet.run(1.0)
    assert outcomes(fleet) == {Outcome.COMPLETE: 1}


def test_partitioned_data_centre_goes_on_serving():
    """Guards against a data centre that stops serving because it can't reach the others."""
    fleet = make_fleet(4, 4, data_centres="ab")
    fleet.cut = {frozenset((a, b)) for a in ("r0", "r2") for b in ("r1", "r3")}
    fleet.run(2.0)
    arrivals = offer(fleet, 10.0, rate=80.0)
    fleet.run(15.0)
    assert outcomes(fleet) == {Outcome.COMPLETE: len(arrivals)}


def test_drained_data_centre_gets_nothing_within_five_seconds():
    """Guards against late dispatches into a drained data centre, and errors meanwhile (requirement 4)."""
    fleet = make_fleet(4, 4, data_centres="ab")
    arrivals = offer(fleet, 20.0, rate=60.0)
    fleet.run(5.0)
    fleet.publish(make_configuration(version=2, out=("a",)))
    published = fleet.now
    fleet.run(25.0)
    late = [at - published for name in ("e0", "e2") for at, _ in fleet.targets[name].starts if at > published]
    assert max(late, default=0.0) <= 5.0
    assert outcomes(fleet) == {Outcome.COMPLETE: len(arrivals)}


@pytest.mark.parametrize("stopping", [1, 3])
def test_planned_stop_cuts_off_no_request(stopping):
    """Guards against requests that are lost when one router, or all of them, stop (requirement 9)."""
    fleet = make_fleet(3, 3)
    for target in fleet.targets.values():
        target.seconds = 1.0
    for number in range(60):
        fleet.request(f"r{number % 3}", make_request(f"q{number}"))
    fleet.run(0.5)
    for number in range(stopping):
        fleet.give(f"r{number}", StopRequested())
    fleet.run(20.0)
    assert outcomes(fleet) == {Outcome.COMPLETE: 60}
    assert fleet.stopped == {f"r{number}" for number in range(stopping)}


def test_stopped_router_leaves_no_request_without_an_owner():
    """Guards against a data centre whose targets stay unused while its only router stops."""
    fleet = make_fleet(1, 1)
    for number in range(12):
        fleet.request("r0", make_request(f"q{number}"))
    fleet.give("r0", StopRequested())
    fleet.run(5.0)
    assert outcomes(fleet) == {Outcome.COMPLETE: 12}


def test_broken_connections_are_retried_elsewhere():
    """Guards against errors for callers of idempotent requests when an engine dies."""
    fleet = make_fleet(2, 2)
    for number in range(8):
        fleet.request("r0", make_request(f"q{number}"))
    fleet.run(0.05)
    fleet.targets["e0"].refuses_connections = True
    fleet.break_connections("e0")
    fleet.run(5.0)
    assert outcomes(fleet) == {Outcome.COMPLETE: 8}


def test_newer_configuration_reaches_the_other_routers():
    """Guards against a configuration that stays at the router that first got it (requirement 10)."""
    fleet = make_fleet(4, 4, data_centres="ab")
    fleet.give("r0", ConfigurationReceived(load_small_configuration(version=9)))
    fleet.run(2.0)
    assert {core.status().configuration_version for core in fleet.cores.values()} == {9}


def test_router_without_configuration_gets_it_from_a_peer():
    """Guards against a router that stays unready while the configuration service is down (requirement 10)."""
    fleet = make_fleet(2, 2, configuration=load_small_configuration(version=3))
    fleet.kill("r1")
    fleet.start("r1", configured=False)
    assert not fleet.cores["r1"].is_ready
    fleet.run(1.0)
    assert fleet.cores["r1"].is_ready


def test_requests_with_one_prefix_go_to_the_target_that_has_it_cached():
    """Guards against prompts that are computed again on every target."""
    fleet = make_fleet(3, 6)
    for number in range(30):
        fleet.request("r1", make_request(f"q{number}", prefix=b"history"))
        fleet.run(0.2)
    assert max(len(target.starts) for target in fleet.targets.values()) == 30


def test_demand_stays_within_the_allowance_of_control_traffic():
    """Guards against a flood of demands when many customers wait at many owners."""
    shares = {f"c{number}": 1.0 for number in range(200)}
    fleet = make_fleet(12, 12, data_centres="abcdefghijkl", configuration=make_configuration(shares=shares))
    fleet.sizes.clear()
    offer(fleet, 10.0, rate=150.0, make=lambda name: make_request(name, customer=f"c{int(name[1:]) % 200}"))
    for target in fleet.targets.values():
        target.seconds = 60.0
    fleet.run(10.0)
    first_offers = len(fleet.received) * 160
    assert fleet.sizes["Demand"] <= 12 * (10.0 * DEMAND_BYTES_PER_SECOND + DEMAND_BURST_BYTES) + first_offers


def play_failures(fleet, seconds, rng):
    """Pause, cut off, kill and restart routers, and break connections, at random."""
    routers = sorted(fleet.cores)

    def fail(kind, router, duration):
        if router not in fleet.cores or router in fleet.paused:
            return
        links = {frozenset((router, other)) for other in routers if other != router}
        match kind:
            case "pause":
                fleet.paused[router] = []
                fleet.at(duration, lambda: fleet.wake(router))
            case "cut":
                fleet.cut |= links
                fleet.at(duration, lambda: fleet.cut.difference_update(links))
            case "kill":
                fleet.kill(router)
                fleet.at(duration, lambda: fleet.start(router))
            case "break":
                fleet.break_connections(rng.choice(["e0", "e1", "p0", "p1"]))

    delay = 0.0
    while (delay := delay + rng.uniform(1.0, 4.0)) < seconds:
        kind = rng.choice(["pause", "cut", "kill", "break"])
        router, duration = rng.choice(routers), rng.uniform(0.2, 6.0)
        fleet.at(delay, lambda arguments=(kind, router, duration): fail(*arguments))


@pytest.mark.parametrize("seed", range(1, 5))
def test_nothing_forbidden_happens_while_everything_fails(seed):
    """Guards against overload of cold targets, second runs and wrong claims under random failures.

    The targets never become warm, so that no slot may be borrowed (requirements 3, 6 and 7).
    """
    fleet = make_fleet(
        6, 4, data_centres="ab", configuration=make_configuration(slots=6, cold_slots=3), seed=seed
    )
    for target in fleet.targets.values():
        target.seconds, target.warm = 0.4, False
    rng = random.Random(seed)
    keys: dict[str, str] = {}

    def make(request_id):
        keys[request_id] = f"key-{rng.randrange(300)}" if rng.random() < 0.3 else ""
        if keys[request_id]:
            return make_booking(request_id, key=keys[request_id], patience_seconds=8.0)
        return make_request(request_id, patience_seconds=8.0)

    fleet.run(START_SECONDS)
    fleet.loss = 0.03
    offer(fleet, 40.0, rate=30.0, seed=seed, make=make)
    play_failures(fleet, 40.0, rng)
    fleet.run(60.0)
    assert max(fleet.targets[f"e{number}"].most_running for number in range(4)) <= 3
    runs_of_key = Counter()
    for request_id, key in keys.items():
        runs_of_key[key] += fleet.runs[request_id]
    del runs_of_key[""]
    assert max(runs_of_key.values()) == 1
    refused = {request_id: how for request_id, (_, how) in fleet.answers.items() if isinstance(how, Refuse)}
    assert not [name for name, how in refused.items() if how.ran is Ran.NO and fleet.runs[name]]
    assert RefusalCode.UNKNOWN_SERVICE not in outcomes(fleet)
    killed = {name for name in keys if name not in fleet.answers}
    assert killed <= {name for name, router in fleet.received.items() if router in fleet.killed}


def test_restarted_router_takes_over_virtual_times():
    """Guards against a customer that gets its whole past service again at a router that has restarted."""
    fleet = make_fleet(3, 3)
    offer(fleet, 10.0, rate=60.0)
    fleet.run(12.0)
    fleet.kill("r1")
    fleet.start("r1")
    fleet.run(3.0)
    times = [core.context.fairness.virtual_time("alpha") for core in fleet.cores.values()]
    assert min(times) > 0.0
    assert max(times) - min(times) <= 100.0


def test_caller_that_leaves_does_not_disturb_the_others():
    """Guards against grants and slots that are lost when waiting and running callers leave."""
    fleet = make_fleet(2, 2)
    for number in range(40):
        fleet.request(f"r{number % 2}", make_request(f"q{number}"))
    fleet.run(0.05)
    for number in range(0, 40, 4):
        fleet.give(f"r{number % 2}", CallerGone(f"q{number}"))
    fleet.run(5.0)
    assert outcomes(fleet) == {Outcome.COMPLETE: 30}
    assert set(free_slots(fleet).values()) == {4}


def test_same_inputs_lead_to_the_same_actions():
    """Guards against hidden state, such as the order of a set, that makes a failure impossible to replay."""
    traces = []
    for _ in range(2):
        fleet = make_fleet(3, 3)
        offer(fleet, 5.0, rate=80.0)
        fleet.run(10.0)
        traces.append((sorted(fleet.answers.items(), key=str), dict(fleet.messages), dict(fleet.runs)))
    assert traces[0] == traces[1]
