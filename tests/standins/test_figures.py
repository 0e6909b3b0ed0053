"""Tests of the figures computed from the engines' records."""

import dataclasses

import pytest

from limpetusher_standins.caller import CallResult
from limpetusher_standins.deployment import SMALL
from limpetusher_standins.figures import (
    ServiceInterval,
    fairness_bound,
    fairness_gap,
    idle_while_waiting,
    service_intervals,
    service_per_share,
    utilisation,
    waiting_spans,
)
from limpetusher_standins.load_generator import LoadRun

LARGE, NORMAL = SMALL.customer_plans()[:2]


def interval(customer: str, started: float, ended: float, cost: float) -> ServiceInterval:
    return ServiceInterval(customer, "engine-1", started, ended, cost)


def test_gap_counts_service_by_share():
    """Guards against a gap that counts the greater service of a customer with a larger share as unfair."""
    fair = [interval(LARGE.customer_id, 0, 10, 400), interval(NORMAL.customer_id, 0, 10, 100)]
    assert fairness_gap(fair, [LARGE, NORMAL], 0, 10) == pytest.approx(0)
    unfair = [fair[0], dataclasses.replace(fair[1], cost=150)]
    assert fairness_gap(unfair, [LARGE, NORMAL], 0, 10) == pytest.approx(50)


def test_gap_includes_temporary_starvation():
    """Guards against a gap computed only at the end, when a customer that starved has caught up."""
    work = [
        interval(LARGE.customer_id, 0, 5, 400),
        interval(NORMAL.customer_id, 5, 10, 100),
    ]
    assert fairness_gap(work, [LARGE, NORMAL], 0, 10) == pytest.approx(100)


def test_utilisation_does_not_count_requests_beyond_the_slots():
    """Guards against requests beyond one engine's slots that hide idle slots of another."""
    work = [interval("customer", 0, 20, 1) for _ in range(4)]
    assert utilisation(work, engines=2, slots=2, begin=0, end=10) == pytest.approx(0.5)


def test_running_and_never_admitted_requests():
    """Guards against service that is lost at the end of a run, or counted for requests that never ran."""
    entry = {"customer": "c", "generated_tokens": 10, "prompt_tokens": 8, "admitted": 1.0, "ended": None}
    record = {"requests": [entry, {**entry, "admitted": None, "ended": 3.0}]}
    assert service_intervals({"engine-1": record}, 5.0) == [ServiceInterval("c", "engine-1", 1.0, 5.0, 12.0)]


def test_bound_matches_the_design_page():
    """Guards against a bound that differs from its derivation."""
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


def idle_seconds(
    work: list[ServiceInterval], waiting: list[tuple[float, float]], *, engines: int = 1, slots: int = 2
) -> float:
    return idle_while_waiting(work, waiting, engines=engines, slots=slots, begin=0, end=10)


def test_idle_slots_count_only_while_work_waits():
    """Guards against idle time that counts without waiting work, or is missed beside a busy slot."""
    work = [interval("a", 0, 10, 1), interval("a", 0, 4, 1), interval("a", 6, 10, 1)]
    assert idle_seconds(work, [(3, 5), (4.5, 5.5), (9, 12)]) == pytest.approx(1.5)
    assert idle_seconds(work, []) == 0
    assert idle_seconds(work, [(0, 10)]) == pytest.approx(2)


def test_idle_time_up_to_an_exchange_interval_is_allowed():
    """Guards against counting idle time that the exchange interval explains."""
    work = [interval("a", 0, 4, 1), interval("a", 4.25, 10, 1)]
    assert idle_seconds(work, [(0, 10)], slots=1) == 0
    later = [interval("a", 0, 4, 1), interval("a", 4.3, 10, 1)]
    assert idle_seconds(later, [(0, 10)], slots=1) == pytest.approx(0.3)


def test_idle_time_of_engines_without_any_request():
    """Guards against leaving out an engine that never received work."""
    work = [interval("a", 0, 10, 1), interval("a", 0, 10, 1)]
    assert idle_seconds(work, [(2, 4)], engines=2) == pytest.approx(4)


def test_requests_beyond_the_slots_do_not_hide_idle_time():
    """Guards against wrong idle spans when more requests run than there are slots."""
    work = [interval("a", 0, 3, 1) for _ in range(4)]
    assert idle_seconds(work, [(0, 5)]) == pytest.approx(4)


def test_waiting_ends_with_admission_or_with_the_caller():
    """Guards against requests that count as waiting while they run, or that never count as waiting."""
    run = LoadRun(
        results=[CallResult("c", "m", request_id="r1", started_wall=1.0, seconds=9.0)],
        abandoned=[CallResult("c", "", started_wall=2.0, seconds=3.0)],
    )
    records = {"engine-1": {"requests": [{"request_id": "r1", "admitted": 4.0}]}}
    assert waiting_spans(run, records) == [(1.0, 4.0), (2.0, 5.0)]


def test_service_series_starts_at_zero_and_counts_by_share():
    """Guards against service from before the begin in the plot."""
    series = service_per_share([interval(LARGE.customer_id, 0, 10, 400)], LARGE, 5, 10)
    assert series[0] == 0
    assert series[-1] == pytest.approx(200 / LARGE.share)
