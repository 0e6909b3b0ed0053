"""Requirement 9: a planned stop cuts off no request."""

import pytest

from builders_integration import BackgroundCallers, make_chat, make_mixed, router_status, small_plan
from limpetusher_standins.audit import audit
from limpetusher_standins.blocking_http import get_status
from limpetusher_standins.caller import Outcome
from limpetusher_standins.fleet import Fleet

pytestmark = pytest.mark.integration
SERVED_TIMEOUT_SECONDS = 10.0
ANSWER_TOKENS = 60
"""Length of answers that take more than 0.6 s, so that a stop finds running and waiting requests."""


@pytest.fixture(scope="module")
def fleet():
    """Start four routers in two data centres."""
    plan = small_plan(cold_slots=6, with_proxy=False, application_options={"delay_seconds": 0.2})
    with Fleet(plan) as started:
        yield started


def check_no_request_cut_off(fleet: Fleet, callers: BackgroundCallers) -> None:
    """Check that every request was answered completely, refused as not run, or found the port closed."""
    found = audit(fleet, callers.results)
    assert found.is_clean, found
    failed = [result for result in callers.results if result.outcome != Outcome.WHOLE]
    refused = [result for result in failed if result.outcome == Outcome.REFUSED]
    assert {(result.status, result.ran) for result in refused} <= {(503, "no")}
    assert {result.outcome for result in failed} <= {Outcome.REFUSED, Outcome.NO_CONNECTION}, [
        result for result in failed if result.outcome not in (Outcome.REFUSED, Outcome.NO_CONNECTION)
    ]


def restart_routers(fleet: Fleet, *routers: str) -> None:
    """Start stopped routers and wait until they are ready."""
    for router in routers:
        fleet.processes[router].start()
    fleet.wait_until_ready(routers)


def test_rolling_restart_cuts_off_no_request(fleet):
    """Guards against a rolling restart that breaks streams, calls or waiting requests."""
    with BackgroundCallers(fleet, workers=6, make_request=make_mixed, label="rolling") as callers:
        for router in ("router-1", "router-2"):
            fleet.wait_until(
                lambda router=router: router_status(fleet, router)["running"] > 0,
                "the router has work",
                SERVED_TIMEOUT_SECONDS,
            )
            assert fleet.processes[router].terminate() == 0
            restart_routers(fleet, router)
    check_no_request_cut_off(fleet, callers)


def test_stop_of_all_routers_of_a_data_centre_finishes_their_work(fleet):
    """Guards against waiting requests that get no slot when their routers and the targets' owners stop."""
    stopping = sorted(fleet.hosts_in("north") & set(fleet.routers))
    make = lambda caller, name: make_chat(caller, name, tokens=ANSWER_TOKENS)  # noqa: E731 - a maker of requests
    with BackgroundCallers(fleet, workers=6, make_request=make, label="stop") as callers:
        fleet.wait_until(
            lambda: all(router_status(fleet, router)["running"] > 0 for router in stopping),
            "the routers have work",
            SERVED_TIMEOUT_SECONDS,
        )
        for router in stopping:
            fleet.processes[router].terminate(wait_seconds=None)
        unready = [get_status(fleet.routers[router].admin_address, "/readyz") for router in stopping]
        assert set(unready) <= {503, None}
        fleet.wait_until(
            lambda: all(fleet.processes[router].exit_status is not None for router in stopping),
            "the routers end",
            SERVED_TIMEOUT_SECONDS,
        )
        assert [fleet.processes[router].exit_status for router in stopping] == [0, 0]
    restart_routers(fleet, *stopping)
    check_no_request_cut_off(fleet, callers)
