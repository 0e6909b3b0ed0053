"""Tests of the order of the kinds of a customer's requests while its share is short."""

import random
from collections import Counter, defaultdict

import pytest

from builders_fleet import make_request
from limpetusher.errors import ConfigurationError
from limpetusher.fleet.model import QueuedRequest
from limpetusher.fleet.process.kind_shares import (
    PURGE_INTERVAL_SECONDS,
    KindQueue,
    KindShares,
    queues_by_customer,
    request_cost,
)
from limpetusher.fleet.settings import FleetSettings

STEP_SECONDS = 0.01
SETTLE_SECONDS = 5.0
CAPACITY = 400_000.0
"""Tokens per second that the simulated engines take."""


def acme_queue(shares: KindShares, requests: list[QueuedRequest], now: float = 0.0) -> KindQueue:
    """Return the queue of the default customer, whose share is short."""
    return queues_by_customer(requests, {"acme"}, shares, now)["acme"]


def simulate_kinds(goals: dict[float, float], *, demand: float, seconds: float = 25.0) -> dict[float, float]:
    """Return the fraction of each kind's requests that start within half of its goal, after settling.

    Parameters
    ----------
    goals
        Share of the requests of each goal.
    demand
        Requested tokens relative to the capacity.
    seconds
        Simulated time.
    """
    rng = random.Random(7)
    shares = KindShares(0.0)
    waiting: list = []
    asked, started = Counter(), Counter()
    free_tokens = 0.0
    cost = request_cost(make_request())
    for step in range(int(seconds / STEP_SECONDS)):
        now = step * STEP_SECONDS
        arrivals = demand * CAPACITY / cost * STEP_SECONDS
        for _ in range(int(arrivals) + (rng.random() < arrivals % 1.0)):
            (goal,) = rng.choices(list(goals), list(goals.values()))
            request = make_request(f"w{step}", at=now, goal_seconds=goal)
            request.latest_start_at = now + goal / 2
            shares.add_asked(request, now)
            waiting.append(request)
            asked[goal] += now >= SETTLE_SECONDS
        waiting = sorted((r for r in waiting if r.latest_start_at > now), key=lambda r: r.latest_start_at)
        free_tokens = min(free_tokens + CAPACITY * STEP_SECONDS, 2 * cost)
        queue = acme_queue(shares, waiting, now) if waiting else None
        while queue and free_tokens >= cost:
            request = queue.popleft()
            waiting.remove(request)
            shares.add_served(request, now)
            queue.rank_again()
            free_tokens -= cost
            started[request.goal_seconds] += request.queued_at >= SETTLE_SECONDS
    return {goal: started[goal] / asked[goal] for goal in goals}


@pytest.mark.parametrize("share_of_short", [0.2, 0.5, 0.8])
def test_kinds_get_equal_fractions_of_their_demand(share_of_short):
    """Guards against a kind that is served less often because it can't wait as long.

    Load: one customer, kinds with goals of 0.4 and 1.0 s, demand of twice the capacity.
    """
    fractions = simulate_kinds({0.4: share_of_short, 1.0: 1.0 - share_of_short}, demand=2.0)
    assert fractions[0.4] == pytest.approx(fractions[1.0], rel=0.05)
    assert min(fractions.values()) > 0.45


def served_kinds(**served: float) -> KindShares:
    """Return shares in which two kinds asked for ten requests each, with numbers of served ones."""
    shares = KindShares(0.0)
    for goal, number in ((0.4, served["short"]), (1.0, served["long"])):
        for _ in range(10):
            shares.add_asked(make_request(goal_seconds=goal), 0.0)
        for _ in range(number):
            shares.add_served(make_request(goal_seconds=goal), 0.0)
    return shares


def starts(queue: KindQueue) -> list[str]:
    """Return the order in which the requests of a queue start if a target takes each."""
    started = []
    while queue:
        request = queue.popleft()
        queue.shares.add_served(request, 0.0)
        queue.rank_again()
        started.append(request.request_id)
    return started


def test_least_served_kind_comes_first_until_fractions_are_equal():
    """Guards against starts in order of urgency alone, which prefers one kind for the whole overload."""
    requests = [make_request(f"short-{n}", goal_seconds=0.4) for n in range(3)]
    requests += [make_request(f"long-{n}", goal_seconds=1.0) for n in range(4)]
    queue = acme_queue(served_kinds(short=4, long=2), requests)
    assert starts(queue)[:3] == ["long-0", "long-1", "short-0"]


def test_order_is_by_urgency_while_fractions_differ_little():
    """Guards against patient requests that start before urgent ones of a kind served about as well."""
    shares = served_kinds(short=4, long=2)
    shares.tolerance = 0.3
    requests = [make_request("long", goal_seconds=1.0), make_request("short", goal_seconds=0.4)]
    requests[0].latest_start_at, requests[1].latest_start_at = 0.5, 0.2
    assert starts(acme_queue(shares, requests)) == ["short", "long"]


def test_requests_that_no_target_takes_do_not_hold_up_other_kinds():
    """Guards against a least served kind whose requests wait for one engine while the others are idle."""
    requests = [make_request("short", goal_seconds=0.4), make_request("long", goal_seconds=1.0)]
    queue = acme_queue(served_kinds(short=0, long=5), requests)
    assert [queue.popleft().request_id, queue.popleft().request_id] == ["short", "long"]
    assert not queue


def test_take_ups_come_first():
    """Guards against streams that are taken up again and wait behind new requests of a less served kind."""
    requests = [make_request("new", goal_seconds=0.4), make_request("taken-up", resumes=7)]
    assert starts(acme_queue(served_kinds(short=0, long=9), requests)) == ["taken-up", "new"]


def test_service_that_did_not_run_is_given_back():
    """Guards against a kind that counts as served although its requests never reached a target."""
    shares = served_kinds(short=3, long=3)
    request = make_request(goal_seconds=0.4)
    shares.add_served(request, 1.0)
    shares.retract_served(request, 1.0, 2.0)
    fractions = defaultdict(float)
    for kind in list(shares.sums):
        fractions[kind[2]] = shares.sums_of(kind, 2.0).fraction()
    assert fractions[0.4] == pytest.approx(fractions[1.0])


def test_sums_of_kinds_without_requests_are_dropped():
    """Guards against memory that grows with each goal that a configuration ever had."""
    shares = KindShares(0.0)
    for number in range(100):
        shares.add_asked(make_request(goal_seconds=1.0 + number), 0.0)
    shares.add_asked(make_request(), 60.0 + PURGE_INTERVAL_SECONDS)
    assert len(shares.sums) == 1


@pytest.mark.parametrize("tolerance", [-0.1, 1.1, float("nan")])
def test_tolerance_out_of_range_is_refused(tolerance):
    """Guards against a setting that turns the order by kind off without a word."""
    with pytest.raises(ConfigurationError, match="kind_tolerance"):
        FleetSettings(kind_tolerance=tolerance)
