"""Tests of the start, the stop and the admin pages of a real router process."""

import contextlib
import json
import os
import signal
import threading
import time

import pytest

from builders_router import (
    answer_bytes,
    completions_body,
    error_of,
    read_all,
    read_until,
    request_bytes,
    running_router,
)

pytestmark = [pytest.mark.integration, pytest.mark.timeout(60)]
RESIDENT_LIMIT_BYTES = 64_000_000
STREAM_EVENT = b"data: {}\n\n"


def answer_by_script(connection) -> None:
    """Send a stream of three seconds, or a body of the requested size at once."""
    body = json.loads(connection.body)
    if body.get("stream"):
        connection.send_stream_head()
        for _ in range(30):
            connection.send_chunk(STREAM_EVENT)
            time.sleep(0.1)
        connection.send_chunk(b"data: [DONE]\n\n")
        connection.send(b"0\r\n\r\n")
    else:
        connection.send(answer_bytes(b"x" * int(body.get("size", 1))))


def test_stop_finishes_streams_and_refuses_new_requests(tmp_path):
    """Guards against a graceful stop that truncates streams, or does not refuse new requests as not run."""
    with (
        running_router(tmp_path, answer_by_script) as run,
        run.connect() as stream,
        run.connect() as idle_connection,
    ):
        idle_connection.sendall(request_bytes(body=completions_body()))
        read_until(idle_connection, b"\r\n\r\nx")
        stream.sendall(request_bytes(body=completions_body(stream=True)))
        assert stream.recv(10_000)
        run.process.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        assert run.page("/readyz")[0] == 503
        idle_connection.sendall(request_bytes(body=completions_body()))
        for refused in (read_all(idle_connection), run.exchange(request_bytes(body=completions_body()))):
            assert refused.startswith(b"HTTP/1.1 503 ")
            assert b"connection: close" in refused
            assert error_of(refused)["ran"] == "no"
        body = read_all(stream)
        assert body.count(STREAM_EVENT) + 2 >= 30
        assert body.endswith(b"0\r\n\r\n")
        assert run.process.wait(5) == 0


def test_stop_under_load_cuts_off_nothing(tmp_path):
    """Guards against a stop that resets a connection whose request has arrived but was not read yet."""
    with running_router(tmp_path, answer_by_script) as run:
        answers = []

        def call_until_refused() -> None:
            with contextlib.suppress(ConnectionRefusedError):
                while True:
                    answers.append(run.exchange(request_bytes(body=completions_body(), connection="close")))

        threads = [threading.Thread(target=call_until_refused) for _ in range(16)]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        assert run.stop() == 0
        for thread in threads:
            thread.join()
        assert len(answers) > 16
        for answer in answers:
            assert answer.endswith(b"x") or error_of(answer)["ran"] == "no"


def test_first_request_on_a_new_connection_is_answered_during_a_stop(tmp_path):
    """Guards against an exit between the accept of a connection and the arrival of its first request."""
    with running_router(tmp_path, answer_by_script) as run, run.connect() as sock:
        run.process.send_signal(signal.SIGTERM)
        time.sleep(0.5)
        sock.sendall(request_bytes(body=completions_body()))
        assert error_of(read_all(sock))["ran"] == "no"
        assert run.process.wait(10) == 0


def test_stop_waits_until_the_answer_is_read(tmp_path):
    """Guards against an exit before a slow caller has read its whole answer."""
    size = 20_000_000
    with (
        running_router(tmp_path, answer_by_script, caller_buffer_bytes=2 * size) as run,
        run.connect() as sock,
    ):
        sock.sendall(request_bytes(body=completions_body(size=size)))
        time.sleep(0.5)
        run.process.send_signal(signal.SIGTERM)
        time.sleep(0.5)
        assert len(read_all(sock).partition(b"\r\n\r\n")[2]) == size
        assert run.process.wait(10) == 0


def test_idle_router_stops_at_once(tmp_path):
    """Guards against a stop of an idle router that hangs or fails, on either signal."""
    for number in (signal.SIGTERM, signal.SIGINT):
        with running_router(tmp_path, answer_by_script) as run:
            run.process.send_signal(number)
            assert run.process.wait(5) == 0
            assert "traceback" not in run.log.read_text()


def test_memory_and_idle_processor_time(tmp_path):
    """Guards against resident memory above 64 MB, and against a busy event loop in an idle router."""
    with running_router(tmp_path, answer_by_script) as run:

        def send_requests() -> None:
            for _ in range(50):
                assert run.exchange(request_bytes(body=completions_body(), connection="close")).endswith(b"x")

        threads = [threading.Thread(target=send_requests) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert read_metric(run, "limpetusher_process_resident_memory_bytes") < RESIDENT_LIMIT_BYTES
        before = read_metric(run, "limpetusher_process_cpu_seconds_total")
        time.sleep(2)
        assert read_metric(run, "limpetusher_process_cpu_seconds_total") - before < 0.2
        assert 'limpetusher_answers_total{code="200"} 200' in run.page("/metrics")[1]


def test_pause_beyond_the_grant(tmp_path):
    """Guards against a request that is sent under an expired grant after the process was paused."""
    with running_router(tmp_path, answer_by_script) as run, run.connect() as sock:
        os.kill(run.process.pid, signal.SIGSTOP)
        sock.sendall(request_bytes(body=completions_body(), connection="close"))
        time.sleep(1.5)
        os.kill(run.process.pid, signal.SIGCONT)
        assert read_all(sock).endswith(b"x")
        assert len(run.engine.requests) == 1


def test_admin_pages(tmp_path):
    """Guards against missing pages, and against pages with values that can not be encoded as JSON."""
    with running_router(tmp_path, answer_by_script) as run:
        answer = run.exchange(request_bytes(body=completions_body(), connection="close"))
        request_id = answer.partition(b"x-request-id: ")[2].split(b"\r\n")[0].decode()
        assert json.loads(run.page(f"/explain/{request_id}")[1])["customer"] == "acme"
        assert json.loads(run.page("/configuration")[1])["version"] == 1
        assert json.loads(run.page("/status")[1])["ready"] is True
        assert run.page("/healthz")[0] == 200
        assert run.page("/explain/other")[0] == 404
        assert run.page("/other")[0] == 404


@pytest.mark.parametrize(
    "data",
    [
        b"GET /status\\x0 HTTP/1.1\r\nhost: a\r\n\r\n",
        b"GET /status HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n",
        b"POST /status HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nhello",
        b"GET /status?" + b"a" * 9000,
        b"\x16\x03\x01\r\n\r\n",
    ],
)
def test_malformed_admin_requests(admin_router, data):
    """Guards against tracebacks, which may contain secrets, for malformed requests to the admin server."""
    with admin_router.connect(admin_router.admin) as sock:
        sock.sendall(data)
        assert read_all(sock).startswith(b"HTTP/1.1 400 ")
    assert admin_router.page("/readyz")[0] == 200
    assert "traceback" not in admin_router.log.read_text()


@pytest.fixture(scope="module")
def admin_router(tmp_path_factory):
    with running_router(tmp_path_factory.mktemp("admin"), answer_by_script) as run:
        yield run


def read_metric(run, name: str) -> float:
    with contextlib.suppress(StopIteration):
        return float(
            next(line.split()[1] for line in run.page("/metrics")[1].splitlines() if line.startswith(name))
        )
    return 0.0
