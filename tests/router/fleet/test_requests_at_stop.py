"""Tests of requests that follow others on a connection of a router that is asked to stop."""

import signal
import socket
import time

import pytest

from builders_platform import FleetRun, event, fleet_run, request_text, wait_for
from builders_router import read_all
from limpetusher.events import Event

pytestmark = pytest.mark.integration

LAST_EVENT = 4


def answer_slowly(call, _number) -> None:
    """Answer within a second, a stream with an event each 0.25 s."""
    if not call.line.split()[1].startswith("/stream/"):
        time.sleep(0.5)
        call.answer(b"done")
        return
    call.begin_stream()
    for number in range(1, LAST_EVENT + 1):
        call.send_events(number, number)
        time.sleep(0.25)
    call.end_stream()


def kept_request(path: str, **fields: str) -> bytes:
    """Return a request after which the connection stays open."""
    text = request_text(path, method="POST", body="x", x_deadline_ms="6000", **fields)
    return text.replace("connection: close\r\n", "").encode()


def stop_router(run: FleetRun) -> None:
    """Ask the router to stop and wait until it does."""
    run.router.process.send_signal(signal.SIGTERM)
    wait_for(lambda: run.logged_count(Event.ROUTER_STOPPING), run.router.log)


@pytest.mark.parametrize("first", ["/stream/1", "/unsafe/1"])
def test_requests_that_were_read_behind_another_one_are_answered_by_a_router_that_stops(tmp_path, first):
    """Guards against dropping whole requests that the router has read before it was asked to stop."""
    with fleet_run(tmp_path, answer_slowly) as run:
        host, port = run.router.caller.split(":")
        with socket.create_connection((host, int(port)), timeout=10) as sock:
            sock.sendall(kept_request(first) + kept_request("/unsafe/2") + kept_request("/unsafe/3"))
            wait_for(lambda: run.calls, run.router.log)
            time.sleep(0.3)
            stop_router(run)
            answer = read_all(sock)
        assert answer.count(b"HTTP/1.1 200 OK") == 3
        assert answer.count(b"\r\nconnection: close\r\n") == 1
        assert answer.endswith(b"done")


def test_request_that_follows_a_stream_is_answered_by_a_router_that_stops(tmp_path):
    """Guards against an unannounced close after a stream whose head was sent before the stop."""
    with fleet_run(tmp_path, answer_slowly) as run:
        host, port = run.router.caller.split(":")
        with socket.create_connection((host, int(port)), timeout=10) as sock:
            sock.sendall(kept_request("/stream/1"))
            received = b""
            while event(1) not in received:
                received += sock.recv(4096)
            stop_router(run)
            while not received.endswith(b"0\r\n\r\n"):
                received += sock.recv(4096)
            time.sleep(0.1)
            sock.sendall(kept_request("/unsafe/2"))
            answer = read_all(sock)
        assert answer.startswith(b"HTTP/1.1 200 OK")
        assert b"\r\nconnection: close\r\n" in answer
