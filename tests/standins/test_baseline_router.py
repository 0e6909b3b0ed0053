"""Tests of the baseline routers, and of caller, load tool and audit with them."""

import asyncio
import dataclasses

import pytest

from limpetusher_standins.audit import audit, name_targets
from limpetusher_standins.caller import Caller, Outcome
from limpetusher_standins.deployment import SMALL, with_baseline
from limpetusher_standins.fleet import Fleet
from limpetusher_standins.load import LoadSettings, run_load, summarise

pytestmark = pytest.mark.integration
FAST = dataclasses.replace(SMALL, cold_seconds=0.2, engine_options={"token_seconds": 0.005})


@pytest.mark.parametrize("policy", ["first-come", "fixed-split"])
def test_every_answer_under_load_is_whole(policy: str):
    """Guards against a comparison with baselines that fail for reasons other than their policy."""
    with Fleet(with_baseline(FAST, policy)) as fleet:
        routers = [host.caller_address for host in fleet.routers.values()]
        settings = LoadSettings(seconds=2.0, workers=3, flood_factor=3.0, most_tokens=30)
        run = asyncio.run(run_load(fleet.plan, fleet.customers, routers, settings))
        found = audit(fleet, run.results)
        report = summarise(run, fleet.customers)
        name_targets(fleet, run.results)
    assert found.is_clean, found
    assert report["outcomes"] == {"whole": len(run.results)}
    assert all(customer["answers"] for customer in report["customers"].values())
    assert {result.router for result in run.results} == set(fleet.routers)
    assert {result.target for result in run.results} == set(fleet.targets)


def test_unknown_key_is_refused_and_reported():
    """Guards against a caller that counts a refusal as an answer."""
    with Fleet(with_baseline(FAST, "first-come")) as fleet:
        address = fleet.routers["router-1"].caller_address
        caller = Caller(address, "nobody", "Bearer key01.wrong")
        result = asyncio.run(caller.call_application("crew", "GET", "/status", "call"))
        calls = [record["calls"] for record in fleet.records("application").values()]
    assert (result.outcome, result.status, result.ran) == (Outcome.REFUSED, 401, "no")
    assert calls == [[], []]
