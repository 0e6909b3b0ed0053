"""Requirement 9: a planned stop cuts off no request."""

import pytest

from builders_integration import BackgroundCallers, make_chat, make_mixed, small_plan, status
from limpetusher_standins.audit import audit
from limpetusher_standins.caller import Outcome
from limpetusher_standins.calls import status_of
from limpetusher_standins.fleet import Fleet

pytestmark = pytest.mark.integration
SERVED_SECONDS = 10.0
TOKENS = 60
"""Length of answers that take more than 0.6 s, so that a stop meets running and waiting requests."""


@pytest.fixture(scope="module")
def fleet():
    """Start four routers in two data centres."""
    plan = small_plan(cold_slots=6, with_proxy=False, application_options={"delay_seconds": 0.2})
    with Fleet(plan) as started:
        yield started


def check_not_cut(fleet: Fleet, callers: BackgroundCallers) -> None:
    """Check that every request has its whole answer, or was refused as not run, or met a closed port."""
    found = audit(fleet, callers.results)
    assert found.is_clean, found
    failed = [result for result in callers.results if result.outcome != Outcome.WHOLE]
    refused = [result for result in failed if result.outcome == Outcome.REFUSED]
    assert {(result.status, result.ran) for result in refused} <= {(503, "no")}
    assert {result.outcome for result in failed} <= {Outcome.REFUSED, Outcome.NO_CONNECTION}, [
        result for result in failed if result.outcome not in (Outcome.REFUSED, Outcome.NO_CONNECTION)
    ]


def start_again(fleet: Fleet, *routers: str) -> None:
    """Start stopped routers and wait until they are ready."""
    for router in routers:
        fleet.processes[router].start()
    fleet.wait_until_ready(routers)


def test_routers_that_stop_one_after_the_other_cut_off_nothing(fleet):
    """Guards against a rolling restart that breaks streams, calls or waiting requests."""
    with BackgroundCallers(fleet, workers=6, make=make_mixed, label="rolling") as callers:
        for router in ("router-1", "router-2"):
            fleet.wait_until(
                lambda router=router: status(fleet, router)["running"] > 0,
                "the router has work",
                SERVED_SECONDS,
            )
            assert fleet.processes[router].terminate() == 0
            start_again(fleet, router)
    check_not_cut(fleet, callers)


def test_whole_data_centre_of_routers_that_stops_finishes_its_work(fleet):
    """Guards against waiting requests that get no slot once their routers and the targets' owners stop."""
    stopping = sorted(fleet.hosts_in("north") & set(fleet.routers))
    make = lambda caller, name: make_chat(caller, name, tokens=TOKENS)  # noqa: E731 - a maker of requests
    with BackgroundCallers(fleet, workers=6, make=make, label="stop") as callers:
        fleet.wait_until(
            lambda: all(status(fleet, router)["running"] > 0 for router in stopping),
            "the routers have work",
            SERVED_SECONDS,
        )
        for router in stopping:
            fleet.processes[router].terminate(wait_seconds=None)
        unready = [status_of(fleet.routers[router].admin_address, "/readyz") for router in stopping]
        assert set(unready) <= {503, None}
        fleet.wait_until(
            lambda: all(fleet.processes[router].exit_status is not None for router in stopping),
            "the routers end",
            SERVED_SECONDS,
        )
        assert [fleet.processes[router].exit_status for router in stopping] == [0, 0]
    start_again(fleet, *stopping)
    check_not_cut(fleet, callers)
