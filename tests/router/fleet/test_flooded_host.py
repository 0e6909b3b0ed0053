"""Tests of four real router processes of one data centre, one of which gets most of the requests."""

import contextlib
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from builders_callers import count_calls
from builders_platform import FleetRouterProcess, FleetRun, configuration_document, fleet_run, wait_for
from limpetusher.events import Event

pytestmark = [pytest.mark.integration, pytest.mark.timeout(180)]
REQUEST_SECONDS = 0.04
CAPACITY = 1 / REQUEST_SECONDS
"""Requests per second of one host."""
SLOW_ADMISSION = f"""
import time
from limpetusher_router.fleet.admission import Admission

admit = Admission.admit

def slow_admit(*arguments):
    time.sleep({REQUEST_SECONDS})
    return admit(*arguments)

Admission.admit = slow_admit
"""
"""Preamble of a router process on which each admitted request takes a while, whatever the machine."""
LEAD_SECONDS = 5.0
"""Time for the start of shedding, and for the loads of the hosts to spread, which takes some heartbeats."""
MEASURED_SECONDS = 6.0


@contextlib.contextmanager
def four_routers(folder: Path) -> Iterator[tuple[FleetRun, list[FleetRouterProcess]]]:
    """Run four slow routers that know each other."""
    options = {"preamble": SLOW_ADMISSION, "maximum_descriptors": 4100}
    with fleet_run(folder, lambda call, _number: call.answer(b"done"), **options) as run:
        first = run.router
        for number in range(2, 5):
            ip = f"127.0.0.{number}"
            run.start_router(ip=ip, ports=first.ports, seeds=(f"{first.ip}:{first.ports}",), **options)
        for router in run.routers:
            router.wait_ready()
        run.put("op/config", configuration_document(5), Event.CONFIGURATION_IN_FORCE)
        yield run, run.routers


def served_per_second(routers: list[FleetRouterProcess], firsts: list[FleetRouterProcess]) -> float:
    """Return how many callers are served while 20 times the capacity of a host is requested."""
    counts = count_calls(
        [router.caller for router in routers],
        [router.caller for router in firsts],
        rate=20 * CAPACITY,
        lead=LEAD_SECONDS,
        seconds=MEASURED_SECONDS,
    )
    return counts.served / MEASURED_SECONDS


def test_flooded_host_and_three_others_serve_what_four_equally_loaded_hosts_do(tmp_path):
    """Load: 20 times the capacity of a host at one of four. Guards against callers lost at a flooded host."""
    with four_routers(tmp_path) as (_run, routers):
        evenly = served_per_second(routers, routers)
        time.sleep(3.0)
        flooded = served_per_second(routers, routers[:1])
        assert evenly >= 0.5 * 4 * CAPACITY, (evenly, flooded)
        assert flooded >= 0.9 * evenly, (evenly, flooded)
        assert all(router.page()[0] == 200 for router in routers)


def test_flooded_host_goes_on_after_its_peers_were_killed(tmp_path):
    """Load: 20 times the capacity, all other hosts killed. Guards against a host that depends on them."""
    with four_routers(tmp_path) as (_run, routers):
        first, *others = routers
        count_calls([first.caller, others[0].caller], [first.caller], rate=20 * CAPACITY, seconds=3.0)
        for router in others:
            router.close()
        counts = count_calls(
            [first.caller, others[0].caller],
            [first.caller],
            rate=20 * CAPACITY,
            lead=LEAD_SECONDS,
            seconds=MEASURED_SECONDS,
        )
        assert counts.served >= 0.5 * CAPACITY * MEASURED_SECONDS, counts
        wait_for(lambda: b'"event":1605,' in first.log.read_bytes(), first.log)
