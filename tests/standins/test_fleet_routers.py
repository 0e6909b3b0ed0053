"""Tests of the fleet runner with routers and the fault-injecting proxy."""

import asyncio
import dataclasses

import pytest

from builders_standins import chat
from limpetusher_standins.caller import Caller, CallResult, Outcome
from limpetusher_standins.deployment import SMALL
from limpetusher_standins.fleet import PLATFORM, Fleet, link_name
from limpetusher_standins.proxy import LinkMode

pytestmark = pytest.mark.integration


def complete(fleet: Fleet, host_id: str, **changes: object) -> CallResult:
    customer = fleet.customers[0]
    caller = Caller(fleet.routers[host_id].caller_address, customer.customer_id, customer.authorization)
    return asyncio.run(caller.complete_chat(chat(**changes)))


def test_traffic_of_routers_passes_through_the_links():
    """Guards against traffic that bypasses the links, so that a fault on them has no effect."""
    with Fleet(dataclasses.replace(SMALL, with_proxy=True, patience_seconds=3.0)) as fleet:
        for host_id in fleet.routers:
            assert complete(fleet, host_id, stream=True).outcome == Outcome.WHOLE
        forwarded = {link["name"]: link["forwarded_bytes"] for link in fleet.link_states()}
        for source, target in (("router-1", "router-2"), ("router-2", "router-1")):
            assert forwarded[link_name(source, target)] > 0
            assert forwarded[link_name(source, PLATFORM)] > 0
        engines = fleet.links_between({"router-1"}, {"engine-1", "engine-2"})
        assert len(engines) == 2
        fleet.set_links(engines, LinkMode.CUT)
        assert complete(fleet, "router-1").outcome == Outcome.REFUSED
        fleet.set_links(engines, LinkMode.FORWARD)


def test_router_is_stopped_and_started_again():
    """Guards against a restart that keeps the fresh-fleet setting or changes other arguments."""
    with Fleet(SMALL) as fleet:
        router = fleet.processes["router-2"]
        assert router.terminate() == 0
        router.start()
        fleet.wait_until_ready(("router-2",))
        assert "--fresh-fleet" not in router.arguments
        assert complete(fleet, "router-2").outcome == Outcome.WHOLE
