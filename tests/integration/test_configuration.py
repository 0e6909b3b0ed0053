"""Requirement 10: an accepted configuration is in force everywhere within 19 s and never reverts."""

import concurrent.futures

import pytest

from builders_integration import (
    CONFIGURATION_SECONDS,
    broken_links,
    caller_of,
    make_chat,
    send,
    small_plan,
    status,
)
from limpetusher_standins.caller import Outcome
from limpetusher_standins.calls import call
from limpetusher_standins.fleet import PLATFORM, Fleet
from limpetusher_standins.proxy import Mode

pytestmark = pytest.mark.integration


@pytest.fixture(scope="module")
def fleet():
    """Start four routers in two data centres."""
    with Fleet(small_plan(engines=2, applications=0)) as started:
        yield started


def document_in_force(fleet: Fleet, router: str) -> bytes:
    """Return the configuration document that a router uses."""
    return call(fleet.routers[router].admin_address, "GET", "/configuration").body


def wait_in_force(fleet: Fleet, version: int, routers: list[str] | None = None) -> None:
    """Wait until the routers, or all, use the version; the limit is that of the requirement."""
    names = routers or list(fleet.routers)
    fleet.wait_until(
        lambda: all(status(fleet, router)["configuration_version"] == version for router in names),
        f"configuration {version} is in force",
        CONFIGURATION_SECONDS,
    )


def publish_next(fleet: Fleet) -> int:
    """Publish a newer configuration and return its version."""
    version = fleet.configuration_version + 1
    assert fleet.publish(fleet.plan.configuration(version=version)).status == 200
    return version


@pytest.mark.parametrize("mode", [Mode.CUT, Mode.BLACK_HOLE])
def test_configuration_reaches_routers_that_cannot_read_the_platform(fleet, mode):
    """Guards against routers that stay behind while their own path to the platform is broken."""
    reader, *others = fleet.routers
    with broken_links(fleet, fleet.links_between(set(others), {PLATFORM}), mode):
        wait_in_force(fleet, publish_next(fleet))
        assert send(make_chat(caller_of(fleet, others[-1]), f"{reader}/{mode}"))[0].outcome == Outcome.WHOLE


def test_restarted_router_gets_the_newest_configuration_while_the_platform_is_down(fleet):
    """Guards against a router that stays without configuration, or serves with none."""
    version = publish_next(fleet)
    wait_in_force(fleet, version)
    fleet.switch_platform(down=True)
    try:
        fleet.processes["router-3"].kill()
        assert send(make_chat(caller_of(fleet, "router-1"), "down/1"))[0].outcome == Outcome.WHOLE
        version += 1
        fleet.publish(fleet.plan.configuration(version=version))
    finally:
        fleet.switch_platform(down=False)
    fleet.processes["router-3"].start()
    wait_in_force(fleet, version, ["router-1", "router-2", "router-4"])
    fleet.wait_until_ready(("router-3",))
    wait_in_force(fleet, version)


def test_stale_platform_turns_no_router_back(fleet):
    """Guards against a router that starts with an old document and spreads or keeps it."""
    old = fleet.configuration_version
    fleet.switch_platform(stale=True)
    try:
        behind = fleet.links_between({"router-2"}, {"router-1", "router-3", "router-4"})
        assert behind
    finally:
        fleet.switch_platform(stale=False)
    new = publish_next(fleet)
    wait_in_force(fleet, new)
    # From here on the platform shows readers only the old version, as one of its replicas may.
    assert fleet.publish(fleet.plan.configuration(version=old), force=True).status == 200
    fleet.processes["router-2"].kill()
    fleet.processes["router-2"].start()
    fleet.wait_until_ready(("router-2",))
    assert status(fleet, "router-2")["configuration_version"] == new
    wait_in_force(fleet, new)
    publish_next(fleet)
    wait_in_force(fleet, fleet.configuration_version)


def test_two_operators_that_publish_at_once_end_with_one_configuration(fleet):
    """Guards against routers that disagree for ever about two documents with one version."""
    version = fleet.configuration_version + 1
    one, two = (fleet.plan.configuration(version=version) for _ in range(2))
    two["customers"][0]["queue_limit"] += 1
    north = fleet.hosts_in("north") & set(fleet.routers)
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        replies = list(pool.map(lambda document: fleet.publish(document, force=True).status, (one, two)))
    assert replies == [200, 200]
    assert north
    fleet.wait_until(
        lambda: (
            status(fleet, "router-1")["configuration_version"] == version
            and len({document_in_force(fleet, router) for router in fleet.routers}) == 1
        ),
        "all routers use one document",
        CONFIGURATION_SECONDS,
    )
