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
from core_harness import SimulatedFleet
from limpetusher.core.actions import Refuse
from limpetusher.core.inputs import CallerGone, ConfigurationReceived, Outcome, StopRequested
from limpetusher.core.process.demand_sender import DEMAND_BURST_BYTES, DEMAND_BYTES_PER_SECOND
from limpetusher.core.refusals import Ran, RefusalCode

START_SECONDS = 5.0
"""A router that starts first claims its own slots, and lends them to the owner after the takeover wait."""


def make_fleet(routers=2, engines=2, *, data_centres="a", configuration=None, **settings) -> SimulatedFleet:
    """Return a fleet that has run until all slots have been lent to the owners."""

    def spread_over_data_centres(prefix, count):
        return {f"{prefix}{i}": data_centres[i % len(data_centres)] for i in range(count)}

    hosts = make_host_list(
        routers=spread_over_data_centres("r", routers),
        engines=spread_over_data_centres("e", engines),
        applications=spread_over_data_centres("p", 2),
    )
    fleet = SimulatedFleet(hosts, configuration or make_configuration(), **settings)
    fleet.run(START_SECONDS)
    return fleet


def schedule_arrivals(fleet, seconds, rate, *, seed=1, make=make_request):
    """Schedule requests at random routers; return their arrival times, recorded while simulated time runs."""
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
        fleet.schedule(delay, lambda request_id=request_id, router=router: arrive(request_id, router))
        delay, number = delay + rng.expovariate(rate), number + 1
    return arrivals


def count_outcomes(fleet):
    """Count the answers to callers by outcome or refusal code."""
    return Counter(
        result.code if isinstance(result, Refuse) else result for _, result in fleet.answers.values()
    )


def free_slots(fleet):
    """Return the free slots by target, in the view of the owners."""
    return {t.target_id: t.free for core in fleet.cores.values() for t in core.status().targets}


def choose_first_owner(fleet, target_id="e0"):
    """Return the router that owns the target in its own view."""
    return next(name for name, core in fleet.cores.items() if target_id in core.owned_targets)


def test_all_slots_are_used_and_every_request_is_answered():
    """Guards against requests that are lost between demand, grant and release, and against idle slots."""
    fleet = make_fleet()
    for number in range(40):
        fleet.request(f"r{number % 2}", make_request(f"q{number}"))
    fleet.run(2.0)
    assert count_outcomes(fleet) == {Outcome.COMPLETE: 40}
    assert {name: fleet.targets[name].peak_running for name in ("e0", "e1")} == {"e0": 4, "e1": 4}


def test_requests_without_contention_are_served_within_milliseconds():
    """Guards against added latency at half load: the median stays below 3 ms (design, 1.1)."""
    fleet = make_fleet(8, 10, data_centres="abcd")
    arrivals = schedule_arrivals(fleet, 8.0, rate=200.0)
    fleet.run(10.0)
    starts = {request_id: at for t in fleet.targets.values() for at, request_id in t.starts}
    waits = sorted(starts[request_id] - at for request_id, at in arrivals.items())
    assert waits[len(waits) // 2] < 0.003
    assert count_outcomes(fleet) == {Outcome.COMPLETE: len(arrivals)}


def test_request_is_offered_to_other_owners_when_the_first_has_no_slot():
    """Guards against requests that wait at one owner while the target of another is idle.

    The first offer goes to the owner whose target has the prefix cached, although its slots are in use.
    """
    fleet = make_fleet(2, 2, data_centres="ab")
    fleet.request("r0", make_request("first", prefix=b"history"))
    fleet.run(1.0)
    fleet.targets["e0"].answer_seconds = fleet.targets["e1"].answer_seconds = 5.0
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
    schedule_arrivals(fleet, 10.0, rate=800.0, make=lambda name: make_request(name, patience_seconds=300.0))
    fleet.run(2.0)
    before = fleet.run_counts.total()
    fleet.run(8.0)
    possible = 8.0 * 10 * 4 / fleet.targets["e0"].answer_seconds
    assert (fleet.run_counts.total() - before) / possible >= 0.97


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
    served = Counter(request_id.split("-")[0] for request_id in fleet.run_counts)
    bound = (0.25 + 0.001) * 16_000 + (16 + 4) * 100
    assert abs(served["flood"] - served["beta"]) * 100 <= bound


def test_idle_customer_accumulates_no_credit():
    """Guards against a customer that takes all capacity after an idle time, to make up its unused share."""
    fleet = make_fleet(2, 2, configuration=make_configuration(queue_limit=100_000))
    patient = {"patience_seconds": 300.0}
    fleet.request("r0", make_request("first"))
    for number in range(1600):
        fleet.request(f"r{number % 2}", make_request(f"beta-{number}", customer="beta", **patient))
    fleet.run(10.0)
    for number in range(800):
        fleet.request(f"r{number % 2}", make_request(f"alpha-{number}", **patient))
    before = Counter(request_id.split("-")[0] for request_id in fleet.run_counts)
    fleet.run(5.0)
    served = Counter(request_id.split("-")[0] for request_id in fleet.run_counts) - before
    bound = (0.25 + 0.001) * 8_000 + (8 + 2) * 100
    assert abs(served["alpha"] - served["beta"]) * 100 <= bound


def test_lost_messages_leak_no_slot_and_no_request():
    """Guards against slots or requests that stay lost after a demand, grant or release was lost."""
    fleet = make_fleet(4, 4, data_centres="ab")
    fleet.loss_ratio = 0.2
    arrivals = schedule_arrivals(fleet, 20.0, rate=60.0)
    fleet.run(20.0)
    fleet.loss_ratio = 0.0
    fleet.run(10.0)
    assert count_outcomes(fleet) == {Outcome.COMPLETE: len(arrivals)}
    assert {free_slots(fleet)[name] for name in ("e0", "e1", "e2", "e3")} == {4}
    for core in fleet.cores.values():
        kept = (
            core.lifecycle.records,
            core.queue.buckets,
            core.offers.single_owner_offers,
            core.offers.sender.announced_counts,
        )
        assert (*kept, core.demand_book.open_lines, core.context.ledger.by_holder) == ({},) * 6


def test_killed_owner_is_replaced():
    """Guards against targets that stay unused after their owner was killed."""
    fleet = make_fleet(3, 3)
    owner = choose_first_owner(fleet)
    fleet.kill(owner)
    fleet.run(10.0)
    survivor = next(iter(fleet.cores))
    for number in range(30):
        fleet.request(survivor, make_request(f"q{number}"))
    fleet.run(5.0)
    assert count_outcomes(fleet) == {Outcome.COMPLETE: 30}
    assert choose_first_owner(fleet) != owner


def test_restarted_router_rejoins_the_fleet():
    """Guards against a restarted router that peers ignore, or that accepts old grants and demands."""
    fleet = make_fleet(3, 3)
    schedule_arrivals(fleet, 5.0, rate=50.0)
    fleet.run(2.0)
    owner = choose_first_owner(fleet)
    fleet.kill(owner)
    fleet.run(0.1)
    fleet.start(owner)
    fleet.run(20.0)
    assert choose_first_owner(fleet) == owner
    assert free_slots(fleet) == dict.fromkeys(free_slots(fleet), 4)
    fleet.answers.clear()
    fleet.request(owner, make_request("after"))
    fleet.run(1.0)
    assert count_outcomes(fleet) == {Outcome.COMPLETE: 1}


def test_partitioned_data_centre_continues_to_serve():
    """Guards against a data centre that stops serving because it can't reach the others."""
    fleet = make_fleet(4, 4, data_centres="ab")
    fleet.broken_links = {frozenset((a, b)) for a in ("r0", "r2") for b in ("r1", "r3")}
    fleet.run(2.0)
    arrivals = schedule_arrivals(fleet, 10.0, rate=80.0)
    fleet.run(15.0)
    assert count_outcomes(fleet) == {Outcome.COMPLETE: len(arrivals)}


def test_drained_data_centre_gets_nothing_within_five_seconds():
    """Guards against late dispatches into a drained data centre, and errors meanwhile (requirement 4)."""
    fleet = make_fleet(4, 4, data_centres="ab")
    arrivals = schedule_arrivals(fleet, 20.0, rate=60.0)
    fleet.run(5.0)
    fleet.publish(make_configuration(version=2, out=("a",)))
    published = fleet.now
    fleet.run(25.0)
    late = [at - published for name in ("e0", "e2") for at, _ in fleet.targets[name].starts if at > published]
    assert max(late, default=0.0) <= 5.0
    assert count_outcomes(fleet) == {Outcome.COMPLETE: len(arrivals)}


@pytest.mark.parametrize("stopping", [1, 3])
def test_planned_stop_cuts_off_no_request(stopping):
    """Guards against requests that are lost when one router, or all of them, stop (requirement 9)."""
    fleet = make_fleet(3, 3)
    for target in fleet.targets.values():
        target.answer_seconds = 1.0
    for number in range(60):
        fleet.request(f"r{number % 3}", make_request(f"q{number}"))
    fleet.run(0.5)
    for number in range(stopping):
        fleet.deliver(f"r{number}", StopRequested())
    fleet.run(20.0)
    assert count_outcomes(fleet) == {Outcome.COMPLETE: 60}
    assert fleet.stopped == {f"r{number}" for number in range(stopping)}


def test_only_router_completes_its_requests_before_it_stops():
    """Guards against a data centre whose targets stay unused while its only router stops."""
    fleet = make_fleet(1, 1)
    for number in range(12):
        fleet.request("r0", make_request(f"q{number}"))
    fleet.deliver("r0", StopRequested())
    fleet.run(5.0)
    assert count_outcomes(fleet) == {Outcome.COMPLETE: 12}


def test_broken_connections_are_retried_elsewhere():
    """Guards against errors for callers of idempotent requests when an engine fails."""
    fleet = make_fleet(2, 2)
    for number in range(8):
        fleet.request("r0", make_request(f"q{number}"))
    fleet.run(0.05)
    fleet.targets["e0"].refuses_connections = True
    fleet.break_connections("e0")
    fleet.run(5.0)
    assert count_outcomes(fleet) == {Outcome.COMPLETE: 8}


def test_newer_configuration_reaches_the_other_routers():
    """Guards against a configuration that stays at the router that first got it (requirement 10)."""
    fleet = make_fleet(4, 4, data_centres="ab")
    fleet.deliver("r0", ConfigurationReceived(load_small_configuration(version=9)))
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
    """Guards against recomputing a prompt on every target."""
    fleet = make_fleet(3, 6)
    for number in range(30):
        fleet.request("r1", make_request(f"q{number}", prefix=b"history"))
        fleet.run(0.2)
    assert max(len(target.starts) for target in fleet.targets.values()) == 30


def test_demand_stays_within_the_limit_of_control_traffic():
    """Guards against a flood of demands when many customers wait at many owners."""
    shares = {f"c{number}": 1.0 for number in range(200)}
    fleet = make_fleet(12, 12, data_centres="abcdefghijkl", configuration=make_configuration(shares=shares))
    fleet.message_bytes.clear()
    schedule_arrivals(
        fleet, 10.0, rate=150.0, make=lambda name: make_request(name, customer=f"c{int(name[1:]) % 200}")
    )
    for target in fleet.targets.values():
        target.answer_seconds = 60.0
    fleet.run(10.0)
    first_offers = len(fleet.router_by_request) * 160
    assert (
        fleet.message_bytes["Demand"]
        <= 12 * (10.0 * DEMAND_BYTES_PER_SECOND + DEMAND_BURST_BYTES) + first_offers
    )


def schedule_failures(fleet, seconds, rng):
    """Schedule random pauses, partitions, kills and restarts of routers, and broken connections."""
    routers = sorted(fleet.cores)

    def inject_failure(kind, router, duration):
        if router not in fleet.cores or router in fleet.paused:
            return
        links = {frozenset((router, other)) for other in routers if other != router}
        match kind:
            case "pause":
                fleet.paused[router] = []
                fleet.schedule(duration, lambda: fleet.resume(router))
            case "cut":
                fleet.broken_links |= links
                fleet.schedule(duration, lambda: fleet.broken_links.difference_update(links))
            case "kill":
                fleet.kill(router)
                fleet.schedule(duration, lambda: fleet.start(router))
            case "break":
                fleet.break_connections(rng.choice(["e0", "e1", "p0", "p1"]))

    delay = 0.0
    while (delay := delay + rng.uniform(1.0, 4.0)) < seconds:
        kind = rng.choice(["pause", "cut", "kill", "break"])
        router, duration = rng.choice(routers), rng.uniform(0.2, 6.0)
        fleet.schedule(delay, lambda arguments=(kind, router, duration): inject_failure(*arguments))


@pytest.mark.parametrize("seed", range(1, 5))
def test_invariants_hold_under_random_failures(seed):
    """Guards against overload of cold targets, second runs and false reports of "not run".

    The targets never become warm, so no slot may be borrowed (requirements 3, 6 and 7).
    """
    fleet = make_fleet(
        6, 4, data_centres="ab", configuration=make_configuration(slots=6, cold_slots=3), seed=seed
    )
    for target in fleet.targets.values():
        target.answer_seconds, target.warm = 0.4, False
    rng = random.Random(seed)
    keys: dict[str, str] = {}

    def make(request_id):
        keys[request_id] = f"key-{rng.randrange(300)}" if rng.random() < 0.3 else ""
        if keys[request_id]:
            return make_booking(request_id, key=keys[request_id], patience_seconds=8.0)
        return make_request(request_id, patience_seconds=8.0)

    fleet.run(START_SECONDS)
    fleet.loss_ratio = 0.03
    schedule_arrivals(fleet, 40.0, rate=30.0, seed=seed, make=make)
    schedule_failures(fleet, 40.0, rng)
    fleet.run(60.0)
    assert max(fleet.targets[f"e{number}"].peak_running for number in range(4)) <= 3
    runs_of_key = Counter()
    for request_id, key in keys.items():
        runs_of_key[key] += fleet.run_counts[request_id]
    del runs_of_key[""]
    assert max(runs_of_key.values()) == 1
    refused = {
        request_id: result for request_id, (_, result) in fleet.answers.items() if isinstance(result, Refuse)
    }
    assert not [name for name, result in refused.items() if result.ran is Ran.NO and fleet.run_counts[name]]
    assert RefusalCode.UNKNOWN_SERVICE not in count_outcomes(fleet)
    killed = {name for name in keys if name not in fleet.answers}
    assert killed <= {name for name, router in fleet.router_by_request.items() if router in fleet.killed}


def test_restarted_router_takes_over_virtual_times():
    """Guards against a customer whose past service is ignored by a restarted router."""
    fleet = make_fleet(3, 3)
    schedule_arrivals(fleet, 10.0, rate=60.0)
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
        fleet.deliver(f"r{number % 2}", CallerGone(f"q{number}"))
    fleet.run(5.0)
    assert count_outcomes(fleet) == {Outcome.COMPLETE: 30}
    assert set(free_slots(fleet).values()) == {4}


def test_same_inputs_lead_to_the_same_actions():
    """Guards against hidden state, such as the order of a set, that makes failures irreproducible."""
    traces = []
    for _ in range(2):
        fleet = make_fleet(3, 3)
        schedule_arrivals(fleet, 5.0, rate=80.0)
        fleet.run(10.0)
        traces.append(
            (sorted(fleet.answers.items(), key=str), dict(fleet.message_counts), dict(fleet.run_counts))
        )
    assert traces[0] == traces[1]
