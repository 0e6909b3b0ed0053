"""Tests of requests that are open or arrive while the configuration changes, with a real router process."""

import http.client
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from builders_platform import (
    HOST,
    ROUTES,
    configuration_document,
    event,
    fleet_run,
    request_text,
    route_document,
    split_answer,
    unchunk,
    wait_for,
)
from builders_router import read_all
from limpetusher.events import Event

pytestmark = pytest.mark.integration

LAST_EVENT = 8
EVENTS = b"".join(event(number) for number in range(1, LAST_EVENT + 1))
SMALL_LIMITS = {"maxHeaderBytes": 256, "maxBodyBytes": 1, "headerTimeoutMs": 100, "idleTimeoutMs": 100}
ENGINE = {"name": "desk", "engine": {"slots": 8, "kvCapacity": 100_000}}
CHANGES = {
    "shorter timeouts": {"routes": [{**route, "timeoutMs": 100} for route in ROUTES]},
    "no routes": {"routes": []},
    "another service": {"routes": [route_document(service="lamp")], "services": [{"name": "lamp"}]},
    "no keys": {"tenants": [{"name": "acme", "apiKeys": []}]},
    "small limits": {"limits": SMALL_LIMITS},
}


def answer_slowly(call, _number) -> None:
    """Answer within 1.6 s, a stream with an event each 0.2 s."""
    if not call.line.split()[1].startswith("/stream/"):
        time.sleep(0.3)
        call.answer(b"done")
        return
    call.begin_stream()
    for number in range(1, LAST_EVENT + 1):
        call.send_events(number, number)
        time.sleep(0.2)
    call.end_stream()


@pytest.mark.parametrize("change", CHANGES)
def test_open_requests_are_finished_under_the_configuration_that_admitted_them(tmp_path, change):
    """Guards against a change of the configuration that ends requests without an answer."""
    with fleet_run(tmp_path, answer_slowly) as run, ThreadPoolExecutor() as pool:
        run.store.put("op/config", configuration_document(4, services=[ENGINE]))
        wait_for(lambda: run.logged_count(Event.CONFIGURATION_IN_FORCE) == 2, run.router.log)
        stream = pool.submit(run.ask, "/stream/1", method="POST", body="x", x_deadline_ms="6000")
        plain = pool.submit(run.ask, "/unsafe/1", method="POST", body="x")
        wait_for(lambda: len(run.calls) == 2, run.router.log)
        run.store.put("op/config", configuration_document(5, **CHANGES[change]))
        wait_for(lambda: run.logged_count(Event.CONFIGURATION_IN_FORCE) == 3, run.router.log)
        assert plain.result() == (200, b"done")
        status, body = stream.result()
        assert (status, unchunk(body)) == (200, (EVENTS, True))
        assert "exception in a handler" not in run.router.log.read_text()


@pytest.mark.parametrize("change", CHANGES)
def test_request_whose_body_arrives_during_a_change_is_answered(tmp_path, change):
    """Guards against a request that is read under two configurations and gets no answer."""
    with fleet_run(tmp_path, answer_slowly) as run:
        host, port = run.router.caller.split(":")
        with socket.create_connection((host, int(port)), timeout=10) as sock:
            request = request_text("/unsafe/1", method="POST", body="x" * 2_000).encode()
            sock.sendall(request[:-1_000])
            run.put("op/config", configuration_document(5, **CHANGES[change]), Event.CONFIGURATION_IN_FORCE)
            sock.sendall(request[-1_000:])
            status, body = split_answer(read_all(sock))
        assert status in {200, 401, 404, 504}
        assert body


def test_requests_on_kept_connections_are_answered_in_a_storm_of_changes(tmp_path):
    """Guards against requests without an answer or a refusal beside changes of the configuration."""
    stopped = threading.Event()
    statuses: list[int] = []

    def send_requests(run) -> None:
        connection = http.client.HTTPConnection(run.router.caller, timeout=10)
        while not stopped.is_set():
            headers = {
                "host": HOST,
                "x-request-id": "req-1",
                "x-credential": "key-a",
                "x-deadline-ms": "1500",
            }
            connection.request("POST", "/unsafe/1", body=b"x" * 500, headers=headers)
            answer = connection.getresponse()
            answer.read()
            statuses.append(answer.status)
            if answer.will_close:
                connection.close()

    with fleet_run(tmp_path, lambda call, _number: call.answer(b"done")) as run, ThreadPoolExecutor() as pool:
        callers = [pool.submit(send_requests, run) for _ in range(6)]
        changes = [*CHANGES.values(), {}] * 5
        for version, change in enumerate(changes, 4):
            run.store.put("op/config", configuration_document(version, **change))
            time.sleep(0.1)
        stopped.set()
        for caller in callers:
            caller.result()
    assert {200, 401, 404} <= set(statuses) <= {200, 400, 401, 404, 413, 431, 503}
