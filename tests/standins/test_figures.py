"""Tests of the figures computed from the engines' records."""

import dataclasses

import pytest

from limpetusher_standins.deployment import SMALL
from limpetusher_standins.figures import (
    Interval,
    fairness_bound,
    fairness_gap,
    intervals,
    utilisation,
)

LARGE, NORMAL = SMALL.customer_plans()[:2]


def interval(customer: str, started: float, ended: float, cost: float) -> Interval:
    return Interval(customer, "engine-1", started, ended, cost)


def test_gap_counts_service_by_share():
    """Guards against a gap that takes the greater service of a customer with a greater share for unfair."""
    fair = [interval(LARGE.customer_id, 0, 10, 400), interval(NORMAL.customer_id, 0, 10, 100)]
    assert fairness_gap(fair, [LARGE, NORMAL], 0, 10) == pytest.approx(0)
    unfair = [fair[0], dataclasses.replace(fair[1], cost=150)]
    assert fairness_gap(unfair, [LARGE, NORMAL], 0, 10) == pytest.approx(50)


def test_gap_sees_an_interruption_in_the_middle():
    """Guards against a gap taken only at the end, where a customer that starved has caught up."""
    work = [
        interval(LARGE.customer_id, 0, 5, 400),
        interval(NORMAL.customer_id, 5, 10, 100),
    ]
    assert fairness_gap(work, [LARGE, NORMAL], 0, 10) == pytest.approx(100)


def test_utilisation_does_not_count_requests_beyond_the_slots():
    """Guards against an overloaded engine that makes up for an idle one."""
    work = [interval("customer", 0, 20, 1) for _ in range(4)]
    assert utilisation(work, engines=2, slots=2, begin=0, end=10) == pytest.approx(0.5)


def test_requests_that_still_run_and_those_never_admitted():
    """Guards against service that is lost at the end of a run, or counted without having been given."""
    entry = {"customer": "c", "generated_tokens": 10, "prompt_tokens": 8, "admitted": 1.0, "ended": None}
    record = {"requests": [entry, {**entry, "admitted": None, "ended": 3.0}]}
    assert intervals({"engine-1": record}, 5.0) == [Interval("c", "engine-1", 1.0, 5.0, 12.0)]


def test_bound_is_that_of_the_design_page():
    """Guards against a bound that drifts from its derivation."""
    bound = fairness_bound(
        exchange_seconds=0.25,
        delay_seconds=0.05,
        tokens_per_second=1000,
        slots=16,
        owners=2,
        largest_cost=100,
        smallest_share=2,
    )
    assert bound == pytest.approx((0.3 * 1000 + 18 * 100) / 2)
