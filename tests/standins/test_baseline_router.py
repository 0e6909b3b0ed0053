"""Tests of the baseline routers, together with caller, load tool and audit."""

import asyncio
import dataclasses

import pytest

from limpetusher_standins import baseline_router
from limpetusher_standins.audit import audit, fill_in_hosts
from limpetusher_standins.caller import Caller, Outcome
from limpetusher_standins.deployment import SMALL, with_baseline
from limpetusher_standins.fleet import Fleet
from limpetusher_standins.load_generator import LoadSettings, run_load, summarise

pytestmark = pytest.mark.integration
FAST_PLAN = dataclasses.replace(SMALL, cold_seconds=0.2, engine_options={"token_seconds": 0.005})


@pytest.mark.parametrize("policy", ["first-come", "fixed-split"])
def test_every_answer_under_load_is_whole(policy: str):
    """Guards against a comparison with baselines that fail for reasons other than their policy."""
    with Fleet(with_baseline(FAST_PLAN, policy)) as fleet:
        routers = [host.caller_address for host in fleet.routers.values()]
        settings = LoadSettings(seconds=2.0, workers=3, flood_factor=3.0, most_tokens=30)
        run = asyncio.run(run_load(fleet.plan, fleet.customers, routers, settings))
        found = audit(fleet, run.results)
        report = summarise(run, fleet.customers)
        fill_in_hosts(fleet, run.results)
    assert found.is_clean, found
    assert report["outcomes"] == {"whole": len(run.results)}
    assert all(customer["answers"] for customer in report["customers"].values())
    assert {result.router for result in run.results} == set(fleet.routers)
    assert {result.target for result in run.results} == set(fleet.targets)


def test_own_requests_since_the_report_count(monkeypatch):
    """Guards against a first-come baseline that overfills targets because load reports lag."""
    clock = [100.0]
    monkeypatch.setattr(baseline_router.time, "monotonic", lambda: clock[0])
    view = baseline_router.TargetView(host=None)
    view.apply_report(2, warm=True)
    for _ in range(3):
        view.count_start()
    assert view.expected_running == 5
    view.count_end()
    assert view.expected_running == 4
    # The report was measured before the requests started, so it does not include them.
    clock[0] += 0.1
    view.apply_report(2, warm=True)
    assert view.expected_running == 4
    clock[0] += baseline_router.REPORT_AGE_SECONDS
    view.apply_report(4, warm=True)
    assert view.expected_running == 4


def test_failed_target_is_cold_until_a_newer_report(monkeypatch):
    """Guards against a baseline that overloads a restarted engine because of a report from before."""
    clock = [100.0]
    monkeypatch.setattr(baseline_router.time, "monotonic", lambda: clock[0])
    view = baseline_router.TargetView(host=None)
    view.mark_failed()
    view.apply_report(0, warm=True)
    assert not view.is_warm
    clock[0] += 1.0
    view.apply_report(0, warm=True)
    assert view.is_warm


def test_unknown_key_is_refused_and_reported():
    """Guards against a caller that counts a refusal as an answer."""
    with Fleet(with_baseline(FAST_PLAN, "first-come")) as fleet:
        address = fleet.routers["router-1"].caller_address
        caller = Caller(address, "nobody", "Bearer key01.wrong")
        result = asyncio.run(caller.call_application("crew", "GET", "/status", "call"))
        calls = [record["calls"] for record in fleet.fetch_records("application").values()]
    assert (result.outcome, result.status, result.ran) == (Outcome.REFUSED, 401, "no")
    assert calls == [[], []]
