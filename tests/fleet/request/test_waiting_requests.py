"""Tests of the order of starts and of refusals, by simulated load on simulated engines."""

import math
import random
from collections import Counter

import pytest

from builders_fleet import (
    ENGINES,
    count_calls,
    make_placement,
    make_request,
    make_target,
    make_waiting,
    sessions_by_engine,
)
from limpetusher.fleet.process.rate_limits import MIN_RATE_PER_SECOND
from limpetusher.fleet.process.target_loads import TargetLoad
from limpetusher.fleet.request.waiting_requests import (
    MAX_CONSIDERED_REQUESTS,
    RefusalDecision,
    StartDecision,
)
from limpetusher.fleet.settings import FleetSettings

PREFILL_RATE = 30_000.0
STEP_SECONDS = 0.005


class SimulatedEngines:
    """Engines that prefill prompts one by one and report the end of each to the placement."""

    def __init__(self, placement):
        self.placement = placement
        self.free_at: dict[str, float] = {}
        self.prefills: list[tuple[float, StartDecision]] = []
        self.output_at: dict[str, float] = {}

    def send(self, start: StartDecision, now: float) -> None:
        target_id = start.choice.target.target_id
        begin = max(now, self.free_at.get(target_id, 0.0))
        end = begin + start.choice.load.prefill_tokens / PREFILL_RATE
        self.free_at[target_id] = end
        self.prefills.append((end, start))

    def advance(self, now: float) -> None:
        for entry in [entry for entry in self.prefills if entry[0] <= now]:
            self.prefills.remove(entry)
            end, start = entry
            self.output_at[start.request.request_id] = end
            target_id = start.choice.target.target_id
            self.placement.record_end(target_id, start.choice.load, now)


def simulate(arrivals, *, seconds: float, engines: int = 3):
    """Simulate requests by their arrival times; return the engines and the decisions with their times."""
    placement = make_placement(engines)
    waiting = make_waiting(placement)
    simulated = SimulatedEngines(placement)
    decisions: list[tuple[float, StartDecision | RefusalDecision]] = []
    arrivals = sorted(arrivals, key=lambda request: request.queued_at)
    for step in range(int(seconds / STEP_SECONDS)):
        now = step * STEP_SECONDS
        simulated.advance(now)
        while arrivals and arrivals[0].queued_at <= now:
            waiting.add(arrivals.pop(0))
        for decision in waiting.decide(now):
            decisions.append((now, decision))
            if isinstance(decision, StartDecision):
                simulated.send(decision, now)
    simulated.advance(seconds)
    return simulated, decisions


def test_flood_of_one_customer_leaves_the_others_their_share():
    """Load: one customer sends ten times the capacity, four others a twelfth of it each."""
    rng = random.Random(3)
    arrivals = []
    for number in range(2_000):
        arrivals.append(
            make_request(f"flood-{number}", at=rng.uniform(0, 8), session=f"f{number % 40}", customer="flood")
        )
    for customer in ("a", "b", "c", "d"):
        for number in range(20):
            request_id = f"{customer}-{number}"
            arrivals.append(
                make_request(
                    request_id, at=rng.uniform(1, 8), session=f"{customer}{number % 3}", customer=customer
                )
            )
    _simulated, decisions = simulate(arrivals, seconds=10.0)
    started = Counter(
        decision.request.customer for _now, decision in decisions if isinstance(decision, StartDecision)
    )
    for customer in ("a", "b", "c", "d"):
        assert started[customer] >= 16, started
    assert started["flood"] > 50


def test_started_requests_reach_their_goal_under_overload():
    """Load: three times the capacity. What is started gets its first output within its goal of 1 s."""
    rng = random.Random(4)
    arrivals = [
        make_request(f"w{number}", at=rng.uniform(0, 6), session=f"s{number % 30}", customer=f"c{number % 8}")
        for number in range(540)
    ]
    by_id = {request.request_id: request for request in arrivals}
    simulated, _decisions = simulate(arrivals, seconds=8.0)
    late = [
        request_id
        for request_id, at in simulated.output_at.items()
        if at - by_id[request_id].queued_at > by_id[request_id].goal_seconds
    ]
    assert len(simulated.output_at) > 100
    assert len(late) <= 0.05 * len(simulated.output_at)


def test_engines_are_kept_busy_under_overload():
    """Load: three times the capacity with short pauses between bursts. Engines mostly do prefill."""
    rng = random.Random(5)
    arrivals = [
        make_request(f"w{number}", at=rng.uniform(0, 6), session=f"s{number % 30}", customer=f"c{number % 8}")
        for number in range(540)
    ]
    _simulated, decisions = simulate(arrivals, seconds=6.0)
    prefilled = sum(
        decision.choice.load.prefill_tokens
        for _now, decision in decisions
        if isinstance(decision, StartDecision)
    )
    assert prefilled >= 0.7 * 3 * PREFILL_RATE * 6.0


def test_customer_at_a_single_router_gets_as_much_as_one_at_all_routers():
    """Guards against fair shares by router instead of by customer.

    Load: one customer sends five times the capacity to one of six routers, another one twice the capacity to
    all six, four small ones a twentieth each to all.
    """
    rng = random.Random(6)
    arrivals = []
    for number in range(1_400):
        arrivals.append(
            make_request(f"flood-{number}", at=rng.uniform(0, 8), session=f"f{number % 40}", customer="flood")
        )
    for number in range(560):
        arrivals.append(
            make_request(
                f"big-{number}",
                at=rng.uniform(0, 8),
                session=f"b{number % 40}",
                customer="big",
                client=f"10.0.0.{number % 6}",
            )
        )
    for number in range(60):
        arrivals.append(
            make_request(
                f"small-{number}",
                at=rng.uniform(0, 8),
                session=f"s{number % 4}",
                customer=f"small-{number % 4}",
                client=f"10.0.0.{number % 6}",
            )
        )
    _simulated, decisions = simulate(arrivals, seconds=8.0, engines=4)
    started = Counter(
        decision.request.customer
        for now, decision in decisions
        if isinstance(decision, StartDecision) and now >= 2.0
    )
    assert started["flood"] >= 0.8 * started["big"], started
    assert sum(started[f"small-{number}"] for number in range(4)) >= 36, started


def test_long_queue_of_a_customer_does_not_count_as_service():
    """Guards against a customer that comes last because many of its requests wait for a busy engine."""
    placement = make_placement(2, settings=FleetSettings(max_candidates=1))
    sessions = sessions_by_engine(placement, 400)
    placement.take_over("e1", TargetLoad(1, 50_000, 0), 0.0)
    waiting = make_waiting(placement)
    waiting.served.add("other", 100_000.0)
    for number in range(50):
        waiting.add(make_request(f"a{number}", session=sessions["e1"][number]))
    waiting.add(make_request("a-free", at=0.001, session=sessions["e2"][0]))
    waiting.add(make_request("other", session=sessions["e2"][1], customer="other"))
    first = next(decision for decision in waiting.decide(0.01) if isinstance(decision, StartDecision))
    assert first.request.request_id == "a-free"


def test_customer_served_most_before_does_not_wait_until_another_has_caught_up():
    """Guards against a customer that waits for seconds since it was served while others asked for little."""
    arrivals = [
        make_request(f"{customer}{number}", at=number / 60, session=f"s{number % 40}", customer=customer)
        for customer, first_number in (("early", 0), ("late", 240))
        for number in range(first_number, 600)
    ]
    _engines, decisions = simulate(arrivals, seconds=10.0)
    started = Counter(
        decision.request.customer
        for at, decision in decisions
        if at >= 4.0 and isinstance(decision, StartDecision)
    )
    assert started["early"] >= 0.8 * started["late"]


def test_service_counts_while_no_engine_is_usable():
    """Guards against a flood that gets the share of others after an outage, when nothing could be served."""
    waiting = make_waiting(make_placement(0))
    waiting.served.add("flood", 100_000.0)
    waiting.add(make_request("flood", customer="flood"))
    waiting.add(make_request("other", customer="other"))
    waiting.decide(0.0)
    assert waiting.served.total("flood") == 100_000.0


def test_requests_with_a_short_goal_come_first():
    """Guards against refusing requests with a short goal because of requests with a long one ahead."""
    waiting = make_waiting()
    long_goal = make_request("patient", goal_seconds=5.0)
    short_goal = make_request("urgent", at=0.01, goal_seconds=0.5)
    for target_id in waiting.placement.targets:
        waiting.placement.caches.record_use(target_id, short_goal.parts[:-1], 1e6)
    waiting.add(long_goal)
    waiting.add(short_goal)
    queue = waiting.by_customer(ENGINES, math.inf, 0.02)["acme"]
    assert [request.request_id for request in queue] == ["urgent", "patient"]
    starts = [decision.request.request_id for decision in waiting.decide(0.02)]
    assert starts == ["urgent", "patient"]


def test_stream_that_is_taken_up_again_is_not_overtaken_by_new_ones_of_its_customer():
    """Guards against new streams that keep one with a part of its answer waiting until it is refused."""
    arrivals = [
        make_request(f"n{number}", at=number * 0.05, session=f"s{number % 7}") for number in range(120)
    ]
    taken_up = make_request("t1", at=1.0, session="s1", resumes=7)
    _engines, decisions = simulate([*arrivals, taken_up], seconds=6.0, engines=1)
    started = [
        decision.request
        for now, decision in decisions
        if now >= taken_up.queued_at and isinstance(decision, StartDecision)
    ]
    earlier = started[: started.index(taken_up)] if taken_up in started else started
    assert [request.request_id for request in earlier if request.queued_at > taken_up.queued_at] == []
    assert taken_up in started


def test_request_that_cannot_start_in_time_is_refused_at_once():
    """Guards against holding a request until its maximum wait although the backlog already exceeds it."""
    placement = make_placement(1)
    placement.take_over("e1", TargetLoad(1, 50_000, 0), 0.0)
    waiting = make_waiting(placement)
    for number in range(3):
        waiting.add(
            make_request(f"other-{number}", customer="other", unshared_tokens=8_000, goal_seconds=2.0)
        )
    for number in range(3):
        request = make_request(f"own-{number}")
        waiting.add(request)
    (refusal,) = waiting.decide(0.0)
    assert isinstance(refusal, RefusalDecision)
    assert refusal.request is request
    assert refusal.retry_after_seconds > 0
    assert request not in waiting.by_pool[ENGINES]


@pytest.mark.parametrize("per_second", [0.0, 1.0, 3.0])
def test_request_that_limited_targets_cannot_take_in_time_is_refused_at_once(per_second):
    """Guards against holding requests for capacity that targets with a limited request rate do not have."""
    placement = make_placement(3)
    for target_id in placement.targets:
        placement.limits.learn(target_id, per_second, 0.0)
    waiting = make_waiting(placement)
    requests = [make_request(f"w{number}", session=f"s{number}") for number in range(60)]
    for request in requests:
        waiting.add(request)
    decisions = [decision for step in range(10) for decision in waiting.decide(step * STEP_SECONDS)]
    wait = requests[0].latest_start_at
    refused = [decision for decision in decisions if isinstance(decision, RefusalDecision)]
    assert wait > 0.5
    assert len(refused) >= len(requests) - 3 * (2 + max(per_second, MIN_RATE_PER_SECOND) * wait)


def test_request_without_any_target_is_refused_after_its_maximum_wait():
    waiting = make_waiting(make_placement(0))
    request = make_request()
    waiting.add(request)
    assert waiting.decide(request.latest_start_at - 0.01) == []
    (refusal,) = waiting.decide(request.latest_start_at)
    assert isinstance(refusal, RefusalDecision)
    assert refusal.request is request


def calls_of_a_run(waiting_requests: int) -> int:
    """Return the function calls of a placement run with free engines and requests of ten customers."""
    waiting = make_waiting(make_placement(10))
    for number in range(waiting_requests):
        customer = f"c{number % 10}"
        waiting.add(make_request(f"w{number}", session=f"{customer}-{number % 4}", customer=customer))
    waiting.refusals_scanned_at[ENGINES] = 0.01
    _decisions, calls = count_calls(lambda: waiting.decide(0.01))
    return calls


def test_work_of_a_run_does_not_grow_with_the_queue():
    """Guards against runs so long that engines are idle between them: the more requests wait, the longer."""
    assert calls_of_a_run(2_000) <= 2 * calls_of_a_run(400)


@pytest.mark.parametrize("interval", [0.002, 0.2])
def test_requests_beyond_the_limit_of_a_run_are_considered_in_the_next(interval):
    """Guards against requests that are never considered because others always come before them."""
    placement = make_placement(2, settings=FleetSettings(max_candidates=1))
    sessions = sessions_by_engine(placement, 2_000)
    placement.take_over("e1", TargetLoad(1, 4_000, 0), 0.0)
    waiting = make_waiting(placement)
    waiting.served.add("other", 100_000.0)
    for number in range(MAX_CONSIDERED_REQUESTS):
        waiting.add(make_request(f"a{number}", session=sessions["e1"][number], unshared_tokens=20_000))
    waiting.add(make_request("other", session=sessions["e2"][0], customer="other"))
    waiting.refusals_scanned_at[ENGINES] = 0.01
    assert interval < waiting.by_pool[ENGINES][0].latest_start_at
    started = [
        decision.request.request_id
        for now in (0.01, 0.01 + interval)
        for decision in waiting.decide(now)
        if isinstance(decision, StartDecision)
    ]
    assert started == ["other"]


def make_saturated_waiting():
    """Return a queue whose only engine is busy and whose customer acme has as much waiting as fits."""
    placement = make_placement(1)
    placement.take_over("e1", TargetLoad(1, 50_000, 0), 0.0)
    waiting = make_waiting(placement)
    for number in range(6):
        waiting.add(make_request(f"w{number}"))
    assert waiting.decide(0.0) == []
    return waiting


def test_request_behind_a_long_backlog_is_refused_on_arrival():
    """Guards against a queue that grows with the load, and with it the time of each placement run."""
    waiting = make_saturated_waiting()
    refusal = waiting.refuse_on_arrival(make_request("late", at=0.01), 0.01)
    assert refusal is not None
    assert refusal.retry_after_seconds > 0
    assert waiting.count == 6


def test_customer_with_little_service_is_queued_in_overload():
    """Guards against refusing a customer because of the backlog of others that come after it."""
    waiting = make_saturated_waiting()
    waiting.served.add("acme", 100_000.0)
    request = make_request("small", at=0.01, customer="other", session="s9")
    assert waiting.refuse_on_arrival(request, 0.01) is None


def test_urgent_request_is_queued_before_patient_ones_of_its_customer():
    """Guards against refusing a request because of requests that start after it."""
    placement = make_placement(1)
    placement.take_over("e1", TargetLoad(1, 50_000, 0), 0.0)
    waiting = make_waiting(placement)
    for number in range(12):
        waiting.add(make_request(f"w{number}", goal_seconds=5.0))
    assert waiting.decide(0.0) == []
    assert waiting.refuse_on_arrival(make_request("urgent", at=0.01), 0.01) is None


def test_request_is_queued_while_an_engine_can_accept_it():
    """Guards against idle engines beside refused requests."""
    waiting = make_saturated_waiting()
    waiting.placement.put_target(make_target("e2"))
    waiting.decide(0.01)
    assert waiting.refuse_on_arrival(make_request("late", at=0.02), 0.02) is None


@pytest.mark.parametrize(("served", "first"), [(100_000.0, "long"), (50_000.0, "short")])
def test_starved_kind_of_a_customer_with_its_share_starts_first(served, first):
    """Guards against a kind that is hardly served while others of its customer are served in full.

    A customer with less service than others goes on with its most urgent request.
    """
    waiting = make_waiting(make_placement(1, settings=FleetSettings(kind_tolerance=0.3)))
    waiting.served.add("acme", served)
    waiting.served.add("other", 100_000.0)
    requests = [
        make_request(f"{name}-{n}", goal_seconds=goal, unshared_tokens=20_000)
        for name, goal in (("short", 0.6), ("long", 2.0))
        for n in range(4)
    ]
    for request in requests:
        waiting.kinds.add_asked(request, 0.0)
        waiting.add(request)
        if request.goal_seconds < 1.0:
            waiting.kinds.add_served(request, 0.0)
    waiting.add(make_request("other", customer="other"))
    starts = [d.request for d in waiting.decide(0.0) if isinstance(d, StartDecision)]
    own = [request.request_id for request in starts if request.customer == "acme"]
    assert own[0] == f"{first}-0"
