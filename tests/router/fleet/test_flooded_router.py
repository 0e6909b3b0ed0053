"""Tests of a real router process that one customer floods while others connect anew."""

import contextlib
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from builders_flood import FloodProcess, NewCall, NewCallers
from builders_platform import (
    FleetRun,
    configuration_document,
    fleet_run,
    request_text,
    split_answer,
    wait_for,
)
from builders_router import read_all
from limpetusher.events import Event

pytestmark = [pytest.mark.integration, pytest.mark.timeout(120)]
ACCEPT_SECONDS = 0.25
ACCEPTED_FRACTION = 0.99
DESCRIPTORS = 4100
FLOOD_CONNECTIONS = 3000
FEW_DESCRIPTORS = 1024
FEW_CONNECTIONS = 324
"""Limit of connections with that number of descriptors."""
FLOOD_REQUEST = request_text(x_credential="key-f").replace("connection: close\r\n", "").encode()
PIPELINED_REQUESTS = 5000


def answer_later(call, _number) -> None:
    time.sleep(0.05)
    call.answer(b"done")


@contextlib.contextmanager
def router_of_two_customers(folder: Path, descriptors: int) -> Iterator[FleetRun]:
    """Run a router with the customers `acme` and `flood`."""
    tenants = [
        {"name": "acme", "apiKeys": ["key-a"], "priority": 1},
        {"name": "flood", "apiKeys": ["key-f"], "priority": 1},
    ]
    with fleet_run(folder, answer_later, maximum_descriptors=descriptors) as run:
        document = configuration_document(5, tenants=tenants)
        run.put("op/config", document, Event.CONFIGURATION_IN_FORCE)
        yield run


def new_callers(run: FleetRun) -> NewCallers:
    """Return callers of the customer `acme`."""
    request = request_text(method="POST", content_length=str(len(NewCallers.BODY)), expect="100-continue")
    return NewCallers(run.router.caller, request.encode())


def check_accepted(calls: list[NewCall]) -> None:
    """Check that nearly all calls were accepted in time, and answered."""
    times = sorted(call.accepted for call in calls)
    late = [seconds for seconds in times if seconds > ACCEPT_SECONDS]
    assert len(late) <= (1 - ACCEPTED_FRACTION) * len(times), (len(times), late)
    assert [call.status for call in calls].count(200) >= ACCEPTED_FRACTION * len(calls)


@pytest.mark.parametrize("factor", [0, 4])
def test_new_callers_are_accepted_and_answered_beside_a_flood_on_open_connections(tmp_path, factor):
    """Guards against a flood that keeps new connections waiting; with factor 0 it waits for its answers."""
    with router_of_two_customers(tmp_path, DESCRIPTORS) as run, contextlib.ExitStack() as stack:
        options = {"count": FLOOD_CONNECTIONS, "rate": 0.0, "seconds": 4.0}
        answered_per_second = 0.0
        if factor:
            flood = FloodProcess(run.router.caller, FLOOD_REQUEST, **options)
            stack.callback(flood.close)
            answered_per_second = flood.wait()
        options = {**options, "rate": factor * answered_per_second, "seconds": 11.0}
        flood = FloodProcess(run.router.caller, FLOOD_REQUEST, **options)
        stack.callback(flood.close)
        flood.wait_started()
        time.sleep(2.0)
        check_accepted(new_callers(run).run(8.0))
        assert flood.wait() > 0


def test_new_callers_are_accepted_beside_silent_connections(tmp_path):
    """Guards against a caller that blocks all others by open connections on which it sends nothing."""
    with router_of_two_customers(tmp_path, FEW_DESCRIPTORS) as run:
        socks = [connect(run) for _ in range(2 * FEW_CONNECTIONS)]
        check_accepted(new_callers(run).run(3.0))
        for sock in socks:
            sock.close()


def test_new_callers_are_refused_at_once_beside_slow_ones_and_served_after_them(tmp_path):
    """Guards against silence, and against connections that stay for as long as they send a byte a second."""
    with router_of_two_customers(tmp_path, FEW_DESCRIPTORS) as run:
        socks = [connect(run) for _ in range(FEW_CONNECTIONS)]
        started = time.monotonic()
        statuses = []
        for second in range(3):
            for sock in socks:
                with contextlib.suppress(OSError):
                    sock.sendall(FLOOD_REQUEST[second : second + 1])
            if second == 0:
                wait_for(lambda: new_callers(run).run(0.01)[0].status == 503, run.router.log)
            calls = new_callers(run).run(0.5)
            statuses += [call.status for call in calls]
            assert all(call.accepted <= ACCEPT_SECONDS for call in calls)
            time.sleep(max(0.0, started + second + 1 - time.monotonic()))
        assert set(statuses) <= {200, 503}
        answers = [read_all(sock) for sock in socks]
        assert {split_answer(answer)[0] for answer in answers} == {408}
        wait_for(lambda: new_callers(run).run(0.01)[0].status == 200, run.router.log)
        check_accepted(new_callers(run).run(1.0))


def test_new_callers_are_accepted_beside_thousands_of_pipelined_requests(tmp_path):
    """Guards against a connection whose pipelined requests keep all others waiting."""
    with router_of_two_customers(tmp_path, FEW_DESCRIPTORS) as run, connect(run) as sock:
        sock.setblocking(False)
        data = memoryview(PIPELINED_REQUESTS * FLOOD_REQUEST)
        sent = sock.send(data)
        check_accepted(new_callers(run).run(4.0))
        assert sent > 100 * len(FLOOD_REQUEST)


def connect(run: FleetRun) -> socket.socket:
    """Return a connection to the port for callers."""
    host, port = run.router.caller.split(":")
    return socket.create_connection((host, int(port)), timeout=10)
