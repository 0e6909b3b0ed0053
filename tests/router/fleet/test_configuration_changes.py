"""Tests of requests that are open or arrive while the configuration changes, with a real router process."""

import http.client
import json
import signal
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
    target_document,
    unchunk,
    wait_for,
)
from builders_router import read_all, read_head
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


SILENCE_SECONDS = 1.8
"""Longer than the silence after which another target is requested."""


def apply_change(run, change: str, version: int = 5) -> None:
    """Put a changed configuration in force."""
    run.put("op/config", configuration_document(version, **CHANGES[change]), Event.CONFIGURATION_IN_FORCE)


def fall_silent_once(call, _number) -> None:
    """Answer after a silence, a stream with one after its third event."""
    if not call.line.split()[1].startswith("/stream/"):
        time.sleep(0.8)
        call.answer(b"done")
        return
    call.begin_stream()
    call.send_events(1, 3)
    time.sleep(SILENCE_SECONDS)
    call.send_events(4, LAST_EVENT)
    call.end_stream()


def read_answer(source) -> tuple[int, bytes]:
    """Read one answer with a length, status 0 if the connection ends without one."""
    head = read_head(source)
    if not head:
        return 0, b""
    lines = [line.partition(":") for line in head.lower().split("\r\n")]
    length = next(int(value) for name, _, value in lines if name == "content-length")
    return int(head.split()[1]), source.read(length)


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
            apply_change(run, change)
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


@pytest.mark.parametrize("path", ["/stream/1", "/safe/1"])
@pytest.mark.parametrize("change", CHANGES)
def test_answer_of_a_silent_target_is_delivered_beside_a_change(tmp_path, change, path):
    """Guards against an answer that ends as its target is silent for a while beside a change."""
    with fleet_run(tmp_path, fall_silent_once) as run, ThreadPoolExecutor() as pool:
        run.store.delete("servers/t2")
        wait_for(lambda: run.logged_count(Event.TARGET_UNLISTED), run.router.log)
        # The goal of the safe route is 0.4 s, which the silence exceeds.
        pending = pool.submit(run.ask, path, method="POST", body="x", x_deadline_ms="6000")
        wait_for(lambda: run.calls, run.router.log)
        apply_change(run, change)
        status, body = pending.result()
        assert status == 200
        assert (unchunk(body) if path == "/stream/1" else body) in {(EVENTS, True), b"done"}


@pytest.mark.parametrize("path", ["/stream/1", "/safe/1", "/unsafe/1"])
@pytest.mark.parametrize("change", CHANGES)
def test_request_that_waits_for_a_target_during_a_change_is_answered(tmp_path, change, path):
    """Guards against a waiting request that is forgotten when its route, service or customer leaves."""
    with fleet_run(tmp_path, answer_slowly) as run, ThreadPoolExecutor() as pool:
        documents = {name: target_document(target.address, slots=0) for name, target in run.targets.items()}
        for name, document in documents.items():
            run.put(f"servers/{name}", document, Event.TARGET_LISTED)
        pending = pool.submit(run.ask, path, method="POST", body="x")
        wait_for(lambda: run.router.metric("limpetusher_requests_waiting") == 1, run.router.log)
        apply_change(run, change)
        for name, document in documents.items():
            run.store.put(f"servers/{name}", {**document, "slots": 6})
        status, body = pending.result()
        assert status in {200, 503}
        assert body
        assert "exception in a handler" not in run.router.log.read_text()


@pytest.mark.parametrize("change", CHANGES)
def test_request_whose_head_arrives_during_a_change_is_answered(tmp_path, change):
    """Guards against a connection that is closed with a part of a request in it."""
    with fleet_run(tmp_path, answer_slowly) as run:
        host, port = run.router.caller.split(":")
        with socket.create_connection((host, int(port)), timeout=10) as sock:
            request = request_text("/unsafe/1", method="POST", body="x" * 20).encode()
            sock.sendall(request[:60])
            time.sleep(0.1)
            apply_change(run, change)
            sock.sendall(request[60:])
            status, body = split_answer(read_all(sock))
        assert status in {200, 401, 404, 413, 431, 504}
        assert body


@pytest.mark.parametrize("change", CHANGES)
def test_requests_that_follow_on_a_connection_are_answered_after_a_change(tmp_path, change):
    """Guards against a connection that a change closes although requests follow on it."""
    with fleet_run(tmp_path, answer_slowly) as run:
        host, port = run.router.caller.split(":")
        request = request_text("/unsafe/1", method="POST", body="x").replace("connection: close\r\n", "")
        with socket.create_connection((host, int(port)), timeout=10) as sock, sock.makefile("rb") as source:
            sock.sendall(2 * request.encode())
            wait_for(lambda: run.calls, run.router.log)
            apply_change(run, change)
            assert read_answer(source) == (200, b"done")
            # The second one was sent before the change, the third one is sent long after it.
            assert read_answer(source)[0] in {200, 401, 404, 504}
            time.sleep(0.5)
            sock.sendall(request.encode())
            assert read_answer(source)[0] in {200, 401, 404, 504}


def test_open_requests_are_finished_when_limits_of_the_host_fall_beside_a_change(tmp_path):
    """Guards against connections that are closed as the host may have fewer of them."""
    with fleet_run(tmp_path, answer_slowly) as run, ThreadPoolExecutor() as pool:
        pending = [
            pool.submit(run.ask, path, method="POST", body="x", x_deadline_ms="6000")
            for path in ("/stream/1", "/stream/1", "/unsafe/1")
        ]
        wait_for(lambda: len(run.calls) == 3, run.router.log)
        settings = json.loads(run.router.path.read_text())
        settings.update(maximum_descriptors=230, memory_megabytes=100.0)
        run.router.path.write_text(json.dumps(settings))
        run.router.process.send_signal(signal.SIGHUP)
        apply_change(run, "small limits")
        wait_for(lambda: run.logged_count(Event.SETTINGS_RELOADED), run.router.log)
        answers = [answer.result() for answer in pending]
        assert [status for status, _body in answers] == [200, 200, 200]
        assert [unchunk(body) for _status, body in answers[:2]] == 2 * [(EVENTS, True)]
