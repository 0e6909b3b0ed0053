"""Tests of a real router process that sheds requests at its port for callers."""

import re
import signal
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from builders_platform import FleetRun, exchange, fleet_run, request_text, split_answer, wait_for
from builders_router import read_all

pytestmark = [pytest.mark.integration, pytest.mark.timeout(60)]
SHED_KEY = "key-shed"
CALLERS = 16
SHED_EVERYTHING_OF_UNKNOWN_KEYS = """
from limpetusher.fleet.process.load_shedding import LoadShedder, Verdict

def decide(shedder, customer, is_return, now):
    return Verdict.ADMITTED if customer else Verdict.SHED

LoadShedder.is_shedding = property(lambda shedder: True, lambda shedder, value: None)
LoadShedder.decide = decide
"""
"""Preamble of a router process that sheds all requests whose API key is not known."""


@pytest.fixture(scope="module")
def run(tmp_path_factory) -> FleetRun:
    folder: Path = tmp_path_factory.mktemp("shedding")
    options = {"preamble": SHED_EVERYTHING_OF_UNKNOWN_KEYS}
    with fleet_run(folder, lambda call, _number: call.answer(b"done"), **options) as run:
        yield run
        assert "Traceback" not in run.router.log.read_text()
        assert "traceback" not in run.router.log.read_text()


def connect(run: FleetRun) -> socket.socket:
    host, port = run.router.caller.split(":")
    return socket.create_connection((host, int(port)), timeout=10)


def shed_request(*, keep: bool = False, **options: str) -> str:
    text = request_text(x_credential=SHED_KEY, **options)
    return text.replace("connection: close\r\n", "") if keep else text


def check_shed(answer: bytes) -> None:
    """Check that an answer states that the request has not run and may be sent again at once."""
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503 ")
    assert b"\r\nx-request-id: req-1\r\n" in head
    assert float(re.search(rb"retry-after: ([0-9.]+)", head)[1]) <= 0.5
    assert int(re.search(rb"content-length: ([0-9]+)", head)[1]) == len(body)
    assert b'"code":"overloaded"' in body
    assert b'"ran":"no"' in body


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("keep", [False, True])
@pytest.mark.parametrize("delay", [0.0, 0.1])
def test_shed_request_is_answered_and_sent_nowhere(run, method, keep, delay):
    """Load: more than the host can handle. Guards against a refused request that has run."""
    calls = len(run.calls)
    body = "x" * 100 if method == "POST" else ""
    with connect(run) as sock:
        time.sleep(delay)
        sock.sendall(shed_request(method=method, body=body, keep=keep).encode())
        if keep:
            sock.shutdown(socket.SHUT_WR)
        check_shed(read_all(sock))
    assert len(run.calls) == calls


def test_others_are_served_meanwhile(run):
    """Guards against an admitted request that is lost on the short path of new connections."""
    for body in ("", "x" * 50_000):
        status, answer = run.ask(method="POST", body=body)
        assert (status, answer) == (200, b"done")


def test_connection_stays_open_after_a_shed_request(run):
    """Guards against new connections that retries would need, and against mixed-up answers."""
    with connect(run) as sock:
        sock.settimeout(10)
        for _ in range(2):
            sock.sendall(shed_request(keep=True, method="POST", body="abc").encode())
            check_shed(sock.recv(65_536))
        sock.sendall(request_text().encode())
        assert split_answer(read_all(sock)) == (200, b"done")


def test_thousands_of_pipelined_requests_are_shed_in_order(run):
    """Load: 3,000 requests on one connection. Guards against recursion, and against unbounded answers."""
    with connect(run) as sock:
        sock.sendall(3_000 * shed_request(keep=True).encode() + request_text().encode())
        answers = read_all(sock)
    assert answers.count(b"HTTP/1.1 503 ") == 3_000
    assert answers.endswith(b"done")


@pytest.mark.parametrize("keep", [False, True])
def test_answer_is_not_lost_while_the_caller_still_sends_its_body(run, keep):
    """Load: a body of 90 KB, most of it sent after the refusal. Guards against a reset of the connection."""
    with connect(run) as sock:
        head, _, _ = shed_request(method="POST", body="-", keep=keep).partition("\r\n\r\n")
        sock.sendall(head.replace("content-length: 1", "content-length: 90000").encode() + b"\r\n\r\nxx")
        time.sleep(0.2)
        for _ in range(10):
            sock.sendall(b"x" * 8_900)
            time.sleep(0.01)
        answer = read_all(sock)
    check_shed(answer)
    assert b"connection: close" in answer


def test_caller_that_asks_before_its_body_is_refused_without_it(run):
    """Guards against an interim answer that asks for the body of a request that is shed."""
    text = shed_request(method="POST", content_length="5", expect="100-continue")
    check_shed(exchange(run.router.caller, text))


@pytest.mark.parametrize("is_connected_before", [False, True])
def test_request_of_a_caller_that_has_left_is_sent_nowhere(run, is_connected_before):
    """Load: requests wait unread until their callers give up. Guards against work that nobody waits for."""
    request_id = f"left-{is_connected_before}"
    sock = connect(run) if is_connected_before else None
    time.sleep(0.2)
    run.router.process.send_signal(signal.SIGSTOP)
    try:
        wait_for(lambda: run.router.is_paused, run.router.log)
        sock = sock or connect(run)
        sock.sendall(request_text(x_request_id=request_id).encode())
        sock.close()
    finally:
        run.router.process.send_signal(signal.SIGCONT)
    assert split_answer(exchange(run.router.caller, request_text()))[0] == 200
    assert not [call for call in run.calls if call.headers["x-request-id"] == request_id]


def test_malformed_request_is_refused_as_malformed(run):
    """Guards against a promise of another try for a request that no host accepts."""
    text = shed_request(method="POST", content_length="ten")
    assert split_answer(exchange(run.router.caller, text))[0] == 400


def test_refusal_takes_a_tenth_of_the_processor_time_of_a_served_request(run):
    """Load: requests on new connections. Guards against refusals that leave no time for other requests."""
    served = processor_seconds(run, 400, request_text())
    shed = processor_seconds(run, 2_000, shed_request())
    assert shed <= 0.1 * served, (shed, served)


def processor_seconds(run: FleetRun, count: int, request: str) -> float:
    """Return the processor time that the router takes for a request on a new connection.

    Requests arrive several at a time, as they do at a busy host.
    """
    before = run.router.metric("limpetusher_process_cpu_seconds_total")
    with ThreadPoolExecutor(CALLERS) as executor:
        list(executor.map(lambda _: exchange(run.router.caller, request), range(count)))
    return (run.router.metric("limpetusher_process_cpu_seconds_total") - before) / count
