"""Tests of the bound of the memory that request bodies take, with a real router process of 150 MB."""

import contextlib
import json
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from builders_platform import exchange, fleet_run, request_text, route_document, split_answer, wait_for
from builders_router import read_all
from builders_uploads import (
    LARGE_BODY_BYTES,
    accept_large_bodies,
    is_refused_as_not_run,
    open_upload,
    partial_uploads,
    small_requests,
    upload,
    upload_head,
)
from limpetusher.events import Event

pytestmark = pytest.mark.integration
LIMIT_MEGABYTES = 150
UPLOADS = 24
BODY = bytes(range(250)) * (LARGE_BODY_BYTES // 250)


def answer(call, _number) -> None:
    call.answer(b"done")


def answer_slowly(call, _number) -> None:
    time.sleep(0.15)
    call.answer(b"done")


def held_bytes(run) -> float:
    return run.router.metric("limpetusher_request_body_bytes")


@pytest.mark.parametrize("in_chunks", [False, True])
def test_large_bodies_at_the_same_time_do_not_exhaust_memory(tmp_path, in_chunks):
    """Guards against a router that is killed, with the requests of others, as it keeps all bodies."""
    with fleet_run(tmp_path, answer_slowly, memory_megabytes=LIMIT_MEGABYTES) as run:
        accept_large_bodies(run)
        with small_requests(run) as small, ThreadPoolExecutor(UPLOADS) as pool:
            answers = list(
                pool.map(lambda number: upload(run, number, body=BODY, in_chunks=in_chunks), range(UPLOADS))
            )
        assert run.router.highest_resident_megabytes < LIMIT_MEGABYTES
        assert set(small.statuses) == {200}
        served = [number for number, data in enumerate(answers) if split_answer(data)[0] == 200]
        assert all(is_refused_as_not_run(answers[number]) for number in set(range(UPLOADS)) - set(served))
        assert 4 <= len(served) < UPLOADS
        calls = {call.headers["x-request-id"]: call for call in run.calls}
        assert {name for name in calls if name.startswith("upload")} == {f"upload-{n}" for n in served}
        assert all(calls[f"upload-{number}"].body == BODY for number in served)
        assert run.logged_count(Event.BODY_MEMORY_FULL) >= 1
        assert held_bytes(run) == 0
        assert split_answer(upload(run, UPLOADS, body=BODY, in_chunks=in_chunks))[0] == 200


def test_memory_does_not_grow_with_each_burst(tmp_path):
    """Guards against memory that is not returned to the system between bursts of bodies of several sizes."""
    with fleet_run(tmp_path, answer_slowly, memory_megabytes=LIMIT_MEGABYTES) as run:
        accept_large_bodies(run)
        for number in range(3):
            sizes = [LARGE_BODY_BYTES - 600_000 * ((number + index) % 6) for index in range(UPLOADS)]
            with ThreadPoolExecutor(UPLOADS) as pool:
                list(pool.map(lambda size: upload(run, size, body=BODY[:size]), sizes))
        assert run.router.highest_resident_megabytes < LIMIT_MEGABYTES
        assert held_bytes(run) == 0


@pytest.mark.parametrize("in_chunks", [False, True])
def test_bodies_one_after_the_other_take_the_memory_of_a_few(tmp_path, in_chunks):
    """Guards against memory that is returned only when garbage happens to be collected."""
    with fleet_run(tmp_path, answer, memory_megabytes=LIMIT_MEGABYTES) as run:
        accept_large_bodies(run)
        before = run.router.resident_megabytes
        for number in range(30):
            assert split_answer(upload(run, number, body=BODY, in_chunks=in_chunks))[0] == 200
        assert run.router.highest_resident_megabytes < before + 4 * LARGE_BODY_BYTES / 1e6


@pytest.mark.parametrize("sent_bytes", [8_000, LARGE_BODY_BYTES // 2])
def test_stalled_bodies_yield_to_others(tmp_path, sent_bytes):
    """Guards against callers that take the memory of others by announcing bodies which they do not send."""
    with fleet_run(tmp_path, answer, memory_megabytes=LIMIT_MEGABYTES) as run:
        accept_large_bodies(run)
        stalled = partial_uploads(run, 200, length=LARGE_BODY_BYTES, data=BODY[:sent_bytes])
        with stalled, small_requests(run) as small:
            # The bodies stall from the time at which the router has read them.
            wait_for(lambda: small.statuses, run.router.log)
            time.sleep(1.2)
            assert split_answer(upload(run, 1, body=BODY))[0] == 200
        assert set(small.statuses) == {200}
        assert run.router.highest_resident_megabytes < LIMIT_MEGABYTES


def test_many_stalled_small_bodies_leave_room(tmp_path):
    """Guards against callers that each send a part of a body of usual size and then nothing."""
    with fleet_run(tmp_path, answer, memory_megabytes=LIMIT_MEGABYTES) as run:
        accept_large_bodies(run)
        stalled = partial_uploads(run, 250, length=250_001, data=BODY[:250_000])
        with stalled, small_requests(run) as small:
            wait_for(lambda: split_answer(upload(run, 1, body=BODY))[0] == 200, run.router.log)
            time.sleep(0.5)
        assert set(small.statuses) == {200}
        assert run.router.highest_resident_megabytes < LIMIT_MEGABYTES


def test_memory_of_a_body_is_returned_when_its_caller_leaves(tmp_path):
    """Guards against memory that is lost with each broken connection, in each state of a request."""
    with fleet_run(tmp_path, lambda *_: time.sleep(3.0), memory_megabytes=LIMIT_MEGABYTES) as run:
        accept_large_bodies(run)
        head = upload_head("/unsafe/1", "u", length=LARGE_BODY_BYTES)
        partial = [open_upload(run.router.caller, head + BODY[:1_000_000]) for _ in range(3)]
        whole = [open_upload(run.router.caller, head + BODY) for _ in range(3)]
        wait_for(lambda: len(run.calls) == 3, run.router.log)
        assert held_bytes(run) == 6 * LARGE_BODY_BYTES
        before = run.router.resident_megabytes
        for sock in partial + whole:
            sock.close()
        wait_for(lambda: held_bytes(run) == 0, run.router.log)
        wait_for(lambda: run.router.resident_megabytes < before - 12, run.router.log)


def test_body_of_a_waiting_request_counts(tmp_path):
    """Guards against a bound that large bodies pass by waiting for a target."""
    with fleet_run(tmp_path, answer, memory_megabytes=LIMIT_MEGABYTES) as run:
        accept_large_bodies(
            run, route_document(name="r-wait", prefix="/unsafe/", service="none", kind="unsafe")
        )
        with ThreadPoolExecutor(UPLOADS) as pool:
            answers = list(pool.map(lambda number: upload(run, number, body=BODY), range(UPLOADS)))
        assert {split_answer(data)[0] for data in answers} == {503}
        assert run.router.highest_resident_megabytes < LIMIT_MEGABYTES
        wait_for(lambda: held_bytes(run) == 0, run.router.log)


def test_retry_keeps_the_whole_body(tmp_path):
    """Guards against a second attempt with a part of the body only."""

    def fail_first(call, _number) -> None:
        if len(run.calls) == 1:
            call.answer(b"", status="503 Service Unavailable")
        else:
            call.answer(b"done")

    with fleet_run(tmp_path, fail_first, memory_megabytes=LIMIT_MEGABYTES) as run:
        accept_large_bodies(run)
        data = upload_head("/safe/1", "u", length=LARGE_BODY_BYTES, connection="close") + BODY
        with open_upload(run.router.caller, data) as sock:
            assert split_answer(read_all(sock))[0] == 200
        assert [call.body == BODY for call in run.calls] == [True, True]


def test_request_with_a_refused_body_is_answered_before_the_body_arrives(tmp_path):
    """Guards against a caller that has to send a whole body, or gets no answer, if there is no room."""
    with fleet_run(tmp_path, lambda *_: time.sleep(6.0), memory_megabytes=LIMIT_MEGABYTES) as run:
        accept_large_bodies(run, route_document(prefix="/unsafe/", kind="unsafe", timeoutMs=8000))
        with partial_uploads(run, 11, length=LARGE_BODY_BYTES, data=BODY):
            wait_for(lambda: held_bytes(run) == 11 * LARGE_BODY_BYTES)
            head = upload_head("/unsafe/1", "late", length=LARGE_BODY_BYTES, expect="100-continue")
            with open_upload(run.router.caller, head) as sock:
                assert is_refused_as_not_run(read_all(sock))
            head = upload_head("/unsafe/1", "later", length=LARGE_BODY_BYTES)
            with open_upload(run.router.caller, head) as sock:
                # For longer than the time that is left to a caller who sends nothing more.
                for start in range(0, LARGE_BODY_BYTES, LARGE_BODY_BYTES // 5):
                    sock.sendall(BODY[start : start + LARGE_BODY_BYTES // 5])
                    time.sleep(0.6)
                whole = read_all(sock)
            assert is_refused_as_not_run(whole)
            assert b"x-request-id: later\r\n" in whole


def test_pipelined_bytes_count(tmp_path):
    """Guards against callers that fill the memory with bytes behind a request that runs."""

    def run_long(call, _number) -> None:
        time.sleep(1.0)
        call.answer(b"done")

    with fleet_run(tmp_path, run_long, memory_megabytes=20) as run, contextlib.ExitStack() as stack:
        accept_large_bodies(run)
        first = request_text("/safe/1").replace("connection: close\r\n", "").encode()
        socks = [stack.enter_context(open_upload(run.router.caller, first)) for _ in range(200)]
        for sock in socks:
            sock.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                sock.send(BODY[:65_000])
        time.sleep(0.3)
        assert 0 < held_bytes(run) <= 8e6


@pytest.mark.parametrize("sent_when", ["before the head", "after the head"])
def test_request_without_room_behind_another_one_is_refused(tmp_path, sent_when):
    """Guards against a whole request that is dropped when the memory limit of the settings falls."""

    def begin_slowly(call, _number) -> None:
        time.sleep(0.5)
        call.begin_stream()
        call.send_events(1, 1)
        time.sleep(1.0)
        call.end_stream()

    with fleet_run(tmp_path, begin_slowly) as run:
        request = request_text("/stream/1", x_deadline_ms="6000").replace("connection: close\r\n", "")
        with open_upload(run.router.caller, request.encode()) as sock:
            wait_for(lambda: run.calls, run.router.log)
            text = run.router.path.read_text()
            run.router.path.write_text(
                text.replace('"memory_megabytes": 150.0', '"memory_megabytes": 0.0001')
            )
            run.router.process.send_signal(signal.SIGHUP)
            wait_for(lambda: run.logged_count(Event.SETTINGS_RELOADED), run.router.log)
            received = sock.recv(4096) if sent_when == "after the head" else b""
            sock.sendall(request.encode())
            received += read_all(sock)
        first, _, second = received.partition(b"0\r\n\r\n")
        assert split_answer(first)[0] == 200
        status, body = split_answer(second)
        assert (status, json.loads(body)["error"]["ran"]) == (503, "no")


def test_planned_stop_while_bodies_are_held(tmp_path):
    """Guards against a request that is lost when its body ends after the stop signal."""
    with fleet_run(tmp_path, answer_slowly, memory_megabytes=LIMIT_MEGABYTES) as run:
        accept_large_bodies(run)
        head = upload_head("/unsafe/1", "u", length=LARGE_BODY_BYTES)
        socks = [open_upload(run.router.caller, head + BODY[:1_000_000]) for _ in range(12)]
        run.router.process.send_signal(signal.SIGTERM)
        time.sleep(0.3)
        # The last one is refused; the router reads on for 2 s after the last bytes.
        answers = []
        for sock in reversed(socks):
            sock.sendall(BODY[1_000_000:])
            answers.append(read_all(sock))
            sock.close()
        assert is_refused_as_not_run(answers[0])
        assert [split_answer(data)[0] for data in answers[1:]] == [200] * 11
        assert run.router.process.wait(20) == 0


def test_memory_limit_of_reloaded_settings_is_used(tmp_path):
    """Guards against a limit that changes only with a restart."""
    with fleet_run(tmp_path, answer, memory_megabytes=LIMIT_MEGABYTES) as run:
        accept_large_bodies(run)
        assert split_answer(upload(run, 1, body=BODY))[0] == 200
        text = run.router.path.read_text()
        run.router.path.write_text(text.replace('"memory_megabytes": 150', '"memory_megabytes": 10'))
        run.router.process.send_signal(signal.SIGHUP)
        wait_for(lambda: run.logged_count(Event.SETTINGS_RELOADED), run.router.log)
        assert is_refused_as_not_run(upload(run, 2, body=BODY))
        assert split_answer(exchange(run.router.caller, request_text()))[0] == 200
