"""Two faults at a time (requirements 3, 4, 5, 7 and 10)."""

import pytest

from builders_integration import (
    CONFIGURATION_LIMIT_SECONDS,
    DRAIN_LIMIT_SECONDS,
    TAKEOVER_SECONDS,
    BackgroundCallers,
    broken_links,
    call_run_counts,
    make_chat,
    make_mixed,
    owned_target,
    paused_processes,
    router_status,
    small_plan,
    start_times,
    wait_for_owner,
    wait_for_wall_time,
)
from limpetusher_standins.audit import audit
from limpetusher_standins.caller import Outcome
from limpetusher_standins.fleet import PLATFORM, Fleet
from limpetusher_standins.proxy import LinkMode

pytestmark = pytest.mark.integration
ENGINE = "engine-1"
COLD_SLOTS = 3
SLOTS = 6
COLD_SECONDS = 5.0
MINIMUM_RESULTS = 40
SERVED_TIMEOUT_SECONDS = 10.0


@pytest.fixture(scope="module")
def fleet():
    """Start four routers in two data centres."""
    with Fleet(small_plan(cold_slots=6)) as started:
        yield started


def make_longer(caller, name):
    """Return a request that runs for about 0.2 s."""
    return make_chat(caller, name, tokens=20)


def test_engine_turns_cold_while_its_owner_is_paused():
    """Guards against a resumed owner that uses the limit from before the engine turned cold.

    During the pause, another owner uses the slots that the other routers hold.
    """
    plan = small_plan(
        data_centres=("north",),
        routers=3,
        engines=1,
        applications=0,
        slots=SLOTS,
        cold_slots=COLD_SLOTS,
        cold_seconds=COLD_SECONDS,
        with_proxy=False,
    )
    with (
        Fleet(plan) as fleet,
        BackgroundCallers(fleet, workers=6, make_request=make_longer, finish_open_requests=False) as callers,
    ):
        owner = wait_for_owner(fleet, ENGINE)
        others = [router for router in fleet.routers if router != owner]

        def has_granted_slots(router: str, slots: int) -> bool:
            target = owned_target(fleet, router, ENGINE)
            return target is not None and target["granted"] >= slots

        fleet.wait_until(
            lambda: has_granted_slots(owner, SLOTS),
            "the engine is fully used",
            COLD_SECONDS + TAKEOVER_SECONDS,
        )
        with paused_processes(fleet, owner):
            fleet.post_control(ENGINE, "/control/cold", {})
            second_owner = wait_for_owner(fleet, ENGINE, others)
            fleet.wait_until(
                lambda: has_granted_slots(second_owner, COLD_SLOTS - 1),
                "the second owner uses its slots",
                TAKEOVER_SECONDS,
            )
        fleet.wait_until(lambda: has_granted_slots(owner, COLD_SLOTS), "the owner is back", TAKEOVER_SECONDS)
        assert fleet.fetch_record(ENGINE)["overloads"] == []
    assert not [result for result in callers.results if result.outcome == Outcome.WRONG]


def test_data_centre_is_drained_while_it_is_partitioned_from_the_other(fleet):
    """Guards against a drain that depends on the other data centre, or is undone when the partition ends."""
    routers = set(fleet.routers)
    north = fleet.hosts_in("north")
    targets = sorted(north & set(fleet.targets))
    with BackgroundCallers(fleet, make_request=make_chat, label="split") as callers:
        fleet.wait_until(
            lambda: callers.complete_answers_since(0) >= MINIMUM_RESULTS,
            "callers are served",
            SERVED_TIMEOUT_SECONDS,
        )
        split = fleet.links_between(north & routers, fleet.hosts_in("east") & routers)
        with broken_links(fleet, split, LinkMode.BLACK_HOLE):
            fleet.set_out_of_service("north")
            limit = fleet.fetch_record(PLATFORM)["versions"][-1]["at"] + DRAIN_LIMIT_SECONDS
            wait_for_wall_time(fleet, limit)
            before = callers.complete_answers_since(limit)
            fleet.wait_until(
                lambda: callers.complete_answers_since(limit) > before,
                "callers are served",
                SERVED_TIMEOUT_SECONDS,
            )
        fleet.wait_until(
            lambda: callers.complete_answers_since(limit) >= MINIMUM_RESULTS,
            "callers are served again",
            SERVED_TIMEOUT_SECONDS,
        )
        late = [at - limit for name in targets for at in start_times(fleet, name) if at > limit]
        assert late == []
    fleet.set_out_of_service()
    found = audit(fleet, callers.results)
    assert found.is_clean, found
    assert {result.outcome for result in callers.results} <= {Outcome.WHOLE, Outcome.REFUSED}


def test_router_is_killed_while_the_platform_is_down(fleet):
    """Guards against survivors that need the platform to take over, and a router that stays unready."""
    version = router_status(fleet, "router-1")["configuration_version"]
    killed, *survivors = sorted(fleet.routers)
    with BackgroundCallers(fleet, routers=survivors, make_request=make_mixed, label="down") as callers:
        fleet.wait_until(
            lambda: callers.complete_answers_since(0) >= MINIMUM_RESULTS,
            "callers are served",
            SERVED_TIMEOUT_SECONDS,
        )
        fleet.set_platform_switches(down=True)
        fleet.processes[killed].kill()
        for engine in ("engine-1", "engine-2"):
            wait_for_owner(fleet, engine, survivors)
        before = callers.complete_answers_since(0)
        fleet.wait_until(
            lambda: callers.complete_answers_since(0) >= before + MINIMUM_RESULTS,
            "survivors serve",
            SERVED_TIMEOUT_SECONDS,
        )
        fleet.set_platform_switches(down=False)
        fleet.processes[killed].start()
        fleet.wait_until_ready((killed,))
    assert router_status(fleet, killed)["configuration_version"] >= version
    found = audit(fleet, callers.results)
    assert found.is_clean, found
    wrong = [result for result in callers.results if result.outcome not in (Outcome.WHOLE, Outcome.REFUSED)]
    assert wrong == []


def test_keyed_calls_run_once_while_one_router_is_paused_and_another_is_cut_off(fleet):
    """Guards against a majority of witnesses that loses a key when two routers fail at the same time."""
    before = call_run_counts(fleet)
    paused_router, isolated = "router-1", "router-2"
    others = set(fleet.routers) - {isolated}
    with BackgroundCallers(fleet, workers=2, make_request=make_same_call, label="pair") as callers:
        fleet.wait_until(lambda: callers.complete_answers_since(0) >= 4, "calls run", SERVED_TIMEOUT_SECONDS)
        with (
            paused_processes(fleet, paused_router),
            broken_links(fleet, fleet.links_between({isolated}, others), LinkMode.BLACK_HOLE),
        ):
            count = len(callers.results)
            wait_for_owner(fleet, "application-1", ["router-3", "router-4"])
            fleet.wait_until(
                lambda: len(callers.results) >= count + MINIMUM_RESULTS,
                "calls are answered",
                SERVED_TIMEOUT_SECONDS,
            )
        done = callers.complete_answers_since(0)
        fleet.wait_until(
            lambda: callers.complete_answers_since(0) >= done + 4,
            "calls run again",
            CONFIGURATION_LIMIT_SECONDS,
        )
    runs = call_run_counts(fleet) - before
    assert max(runs.values()) == 1
    found = audit(fleet, callers.results)
    assert found.is_clean, found


def make_same_call(caller, name):
    """Return a call with a key that callers at the other routers use too."""
    _label, _worker, count = name.split("/")
    call_id = f"same/{count}"
    return caller.call_application("crew", "POST", "/dispatch", call_id, idempotency_key=call_id)
