"""Tests of a large configuration that reaches a real router process without processor time to spare."""

import contextlib
import signal
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from builders_flood import FloodProcess
from builders_platform import (
    ROUTES,
    FleetRouterProcess,
    FleetRun,
    configuration_document,
    fleet_run,
    request_text,
    route_document,
    wait_for,
)
from limpetusher.events import Event

pytestmark = [pytest.mark.integration, pytest.mark.timeout(120)]
IN_FORCE_SECONDS = 3.0
ROUTE_COUNT = 1844
LARGEST_ROUTE_COUNT = 5100
"""Routes of a configuration of nearly 1 MB, the largest size that is allowed."""
DESCRIPTORS = 4100
FLOOD_CONNECTIONS = 3000
FLOOD_SECONDS = 9.0
FLOOD_REQUEST = request_text(x_credential="key-f").replace("connection: close\r\n", "").encode()
QUOTA_PERIOD_SECONDS = 0.1
PROCESSOR_SHARE = 0.516
"""Cores that the smaller hosts of one deployment have."""
IN_FORCE = b'"event":%d,"version":5' % Event.CONFIGURATION_IN_FORCE.number


def answer_later(call, _number) -> None:
    time.sleep(0.05)
    call.answer(b"done")


def large_configuration(route_count: int) -> dict:
    """Return a configuration with many more routes."""
    routes = [
        route_document(name=f"r-more-{number}", host=f"more-{number}.example", prefix=f"/more/{number}/")
        for number in range(route_count)
    ]
    tenants = [
        {"name": "acme", "apiKeys": ["key-a"], "priority": 1},
        {"name": "flood", "apiKeys": ["key-f"], "priority": 1},
    ]
    return configuration_document(5, routes=[*ROUTES, *routes], tenants=tenants)


@contextlib.contextmanager
def processor_quota(router: FleetRouterProcess, share: float) -> Iterator[None]:
    """Let a router run for a share of each period only, as the processor quota of a container does."""
    is_over = threading.Event()

    def pause_repeatedly() -> None:
        while not is_over.wait(QUOTA_PERIOD_SECONDS * share):
            router.process.send_signal(signal.SIGSTOP)
            time.sleep(QUOTA_PERIOD_SECONDS * (1 - share))
            router.process.send_signal(signal.SIGCONT)

    thread = threading.Thread(target=pause_repeatedly)
    thread.start()
    try:
        yield
    finally:
        is_over.set()
        thread.join()


@contextlib.contextmanager
def fleet_of_four(folder: Path) -> Iterator[FleetRun]:
    """Run four routers, of which three watch the store."""
    with fleet_run(folder, answer_later, maximum_descriptors=DESCRIPTORS) as run:
        for number in range(2, 5):
            run.start_router(
                ip=f"127.0.0.{number}",
                ports=run.router.ports,
                seeds=(f"127.0.0.1:{run.router.ports}",),
                maximum_descriptors=DESCRIPTORS,
            )
        for router in run.routers:
            router.wait_ready()
        run.put(
            "op/config",
            {**large_configuration(0), "version": 4},
            Event.CONFIGURATION_IN_FORCE,
        )
        time.sleep(2.0)
        yield run


def seconds_until_in_force(run: FleetRun, router: FleetRouterProcess, route_count: int) -> float:
    """Write a large configuration and return the time until a router has it in force."""
    run.store.put("op/config", large_configuration(route_count))
    begun = time.monotonic()
    wait_for(lambda: IN_FORCE in router.log.read_bytes(), None, 4 * IN_FORCE_SECONDS)
    return time.monotonic() - begun


@pytest.mark.parametrize(
    ("index", "route_count"), [*((index, ROUTE_COUNT) for index in range(4)), (1, LARGEST_ROUTE_COUNT)]
)
def test_large_configuration_is_in_force_in_time_at_a_flooded_router(tmp_path, index, route_count):
    """Guards against a router that answers by an old configuration for as long as it is flooded.

    One of the routers takes the configuration from a peer, the others from the store.
    """
    with fleet_of_four(tmp_path) as run, contextlib.ExitStack() as stack:
        router = run.routers[index]
        stack.enter_context(processor_quota(router, PROCESSOR_SHARE))
        options = {"count": FLOOD_CONNECTIONS, "rate": 0.0, "seconds": FLOOD_SECONDS}
        flood = FloodProcess(router.caller, FLOOD_REQUEST, **options)
        stack.callback(flood.close)
        flood.wait_started()
        time.sleep(2.0)
        assert seconds_until_in_force(run, router, route_count) <= IN_FORCE_SECONDS
        assert flood.wait() > 0
