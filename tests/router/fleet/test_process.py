"""Tests of the router process of a platform host, between stand-ins of the platform's store and targets."""

import json
import socket
import threading
import time

import pytest

from builders_platform import (
    SEAL,
    configuration_document,
    event,
    exchange,
    fleet_run,
    request_text,
    route_document,
    split_answer,
    target_document,
    unchunk,
    wait_for,
)

pytestmark = pytest.mark.integration


def answer(call, _number) -> None:
    call.answer(b"done")


def test_request_reaches_a_target_unchanged_and_marked(tmp_path):
    """Guards against keys or reserved headers of callers reaching a target, and against a changed request."""
    with fleet_run(tmp_path, answer) as run:
        status, body = run.ask(
            "/safe/a%20b?x=%31&y",
            method="POST",
            body="text",
            x_tenant="someone-else",
            x_hold="1",
            kv_from="10.0.0.1:80/3",
            x_other="kept",
        )
        assert (status, body) == (200, b"done")
        (call,) = run.calls
        assert call.line == "POST /safe/a%20b?x=%31&y HTTP/1.1"
        assert call.body == b"text"
        assert call.headers["x-tenant"] == "acme"
        assert call.headers["x-other"] == "kept"
        assert call.headers["x-request-id"] == "req-1"
        assert call.headers["x-target-instance"] in run.targets
        assert 1000 < int(call.headers["x-deadline-ms"]) <= 1500
        assert not {"x-credential", "x-hold", "kv-from"} & set(call.headers)


@pytest.mark.parametrize(
    ("path", "key", "expected"),
    [("/safe/1", "wrong", 401), ("/safe/1", "", 401), ("/none/1", "key-a", 404), ("/open/1", "", 200)],
)
def test_keys_and_routes(tmp_path, path, key, expected):
    with fleet_run(tmp_path, answer) as run:
        assert run.ask(path, x_credential=key)[0] == expected


def test_unsafe_request_is_never_sent_twice(tmp_path):
    """Guards against a crew that is dispatched twice because its answer was lost."""
    with fleet_run(tmp_path, lambda call, _number: call.break_off()) as run:
        status, body = run.ask("/unsafe/1", method="POST", body="x")
        assert status == 502
        assert json.loads(body)["error"]["ran"] == "unknown"
        assert len(run.calls) == 1


def test_unsafe_request_goes_on_after_a_refusal_by_the_target(tmp_path):
    """Guards against failing a request that another target can still run."""

    def shed_first(call, _number) -> None:
        if call.headers["x-target-instance"] == first[0]:
            call.answer(b"", "x-not-executed: 1", status="503 Service Unavailable")
        else:
            call.answer(b"ran")

    first = [""]
    with fleet_run(tmp_path, shed_first) as run:
        first[0] = "t1"
        answers = [run.ask("/unsafe/1", method="POST", body="x") for _ in range(4)]
        assert answers == [(200, b"ran")] * 4


def test_refusals_of_all_targets_are_told_as_not_run_with_a_time(tmp_path):
    def shed(call, _number) -> None:
        call.answer(b"", "x-not-executed: 1", status="503 Service Unavailable")

    with fleet_run(tmp_path, shed) as run:
        whole = exchange(run.router.caller, request_text("/unsafe/1", method="POST", body="x"))
        status, body = split_answer(whole)
        assert status == 503
        assert json.loads(body)["error"]["ran"] == "no"
        assert b"retry-after: " in whole
        assert SEAL.encode() not in whole


def test_error_of_a_safe_request_is_repeated_elsewhere_but_not_that_of_an_unsafe_one(tmp_path):
    def fail_first(call, _number) -> None:
        if failed:
            call.answer(b"fine")
        else:
            failed.append(call)
            call.answer(b"broken", status="500 Internal Server Error")

    failed = []
    with fleet_run(tmp_path, fail_first) as run:
        assert run.ask() == (200, b"fine")
        failed.clear()
        whole = exchange(run.router.caller, request_text("/unsafe/1", method="POST", body="x"))
        assert split_answer(whole) == (500, b"broken")
        assert SEAL.encode() in whole


def test_answer_to_another_request_is_skipped(tmp_path):
    """Guards against callers getting each other's answers when a target sends one too many."""

    def cross(call, _number) -> None:
        own = call.headers["x-request-id"]
        call.headers["x-request-id"] = "somebody-else"
        call.answer(b"wrong")
        call.headers["x-request-id"] = own
        call.answer(b"right")

    with fleet_run(tmp_path, cross) as run:
        assert run.ask() == (200, b"right")


def test_answer_without_seal_is_not_passed_on(tmp_path):
    def forge(call, _number) -> None:
        call.sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfake")

    with fleet_run(tmp_path, forge) as run:
        status, body = run.ask("/unsafe/1", method="POST", body="x")
        assert status == 502
        assert b"fake" not in body


def test_resumable_stream_goes_on_without_gap_or_repetition(tmp_path):
    """Guards against a broken target ending a stream, and against a half event that is joined to the next."""

    def break_once(call, _number) -> None:
        call.begin_stream()
        if "last-event-id" not in call.headers:
            call.send_events(1, 3)
            call.send_chunk(event(4)[:9])
            time.sleep(0.1)
            call.break_off()
        else:
            call.send_events(int(call.headers["last-event-id"]) + 1, 6)
            call.end_stream()

    with fleet_run(tmp_path, break_once) as run:
        _status, body = run.ask("/stream/1", method="POST", body="x")
        assert unchunk(body) == (b"".join(event(number) for number in range(1, 7)), True)
        assert len(run.calls) == 2


def pause_once(call, number) -> None:
    call.begin_stream()
    first = int(call.headers.get("last-event-id", 0)) + 1
    call.send_events(first, 3)
    if number == 1 and first == 1:
        time.sleep(1.8)
    call.send_events(max(first, 4), 6)
    call.end_stream()


def test_silent_stream_goes_on_at_another_target(tmp_path):
    """Guards against callers that give a stream up because its target has stopped sending."""
    with fleet_run(tmp_path, pause_once) as run:
        _status, body = run.ask("/stream/1", method="POST", body="x", x_deadline_ms="5000")
        assert unchunk(body) == (b"".join(event(number) for number in range(1, 7)), True)
        assert len(run.calls) == 2


def test_slow_stream_is_not_broken_off_without_a_retry_budget(tmp_path):
    """Guards against a slow answer being replaced by none when all of the retry budget is used."""
    with fleet_run(tmp_path, pause_once, retry_ratio=0.0, retry_extra=0.0) as run:
        _status, body = run.ask("/stream/1", method="POST", body="x", x_deadline_ms="5000")
        assert unchunk(body) == (b"".join(event(number) for number in range(1, 7)), True)
        assert len(run.calls) == 1


def test_broken_stream_that_can_not_go_on_does_not_look_complete(tmp_path):
    def break_off(call, _number) -> None:
        call.begin_stream()
        call.send_events(1, 2)
        time.sleep(0.1)
        call.break_off()

    with fleet_run(tmp_path, break_off) as run:
        _status, body = run.ask("/once/1", method="POST", body="x")
        content, is_complete = unchunk(body)
        assert content == event(1) + event(2)
        assert not is_complete
        assert len(run.calls) == 1


def test_route_timeout_ends_a_request(tmp_path):
    """Guards against callers that wait longer than the operator allows."""
    with fleet_run(tmp_path, lambda _call, _number: time.sleep(5)) as run:
        begun = time.monotonic()
        status, _body = run.ask("/unsafe/1", method="POST", body="x", x_deadline_ms="60000")
        assert status == 504
        assert 1.9 < time.monotonic() - begun < 2.5


def test_leaving_caller_cancels_the_request_at_its_target(tmp_path):
    with fleet_run(tmp_path, lambda _call, _number: None) as run:
        host, port = run.router.caller.split(":")
        with socket.create_connection((host, int(port))) as sock:
            sock.sendall(request_text("/unsafe/1", method="POST", body="x").encode())
            wait_for(lambda: run.calls)
        run.calls[0].sock.settimeout(1.0)
        assert run.calls[0].sock.recv(1) == b""


def test_changes_of_the_store_are_in_force_soon(tmp_path):
    """Guards against requests to targets that drain or whose data centre is evacuated, and to old routes."""
    with fleet_run(tmp_path, answer) as run:
        run.store.put("servers/t1", target_document(run.targets["t1"].address, state="draining"))
        time.sleep(0.5)
        before = len(run.targets["t1"].calls)
        assert {run.ask()[0] for _ in range(6)} == {200}
        assert len(run.targets["t1"].calls) == before
        run.store.put("op/evacuate/north", {})
        time.sleep(0.5)
        assert run.ask()[0] == 503
        run.store.delete("op/evacuate/north")
        run.store.put("op/config", configuration_document(5, routes=[route_document(prefix="/new/")]))
        wait_for(lambda: run.ask("/new/1")[0] == 200)
        run.store.put("op/config", configuration_document(4))
        time.sleep(0.3)
        assert run.ask("/safe/1")[0] == 404


def test_unusable_entries_name_no_target_and_harm_no_other(tmp_path):
    with fleet_run(tmp_path, answer) as run:
        run.store.put("servers/t1", b"\xff\xfe not json")
        run.store.put("servers/t9", {"service": "desk", "address": 7})
        time.sleep(0.5)
        assert {run.ask()[0] for _ in range(4)} == {200}
        assert len(run.targets["t1"].calls) == 0


def test_change_that_the_watch_does_not_tell_is_noticed_after_a_compaction(tmp_path):
    """Guards against an old configuration in force when the store drops its history."""
    with fleet_run(tmp_path, answer) as run:
        run.store.silent_watches = True
        run.store.put("op/config", configuration_document(5, routes=[route_document(prefix="/new/")]))
        run.store.oldest = run.store.revision
        run.store.silent_watches = False
        wait_for(lambda: run.ask("/new/1")[0] == 200, run.router.log, seconds=2.0)


def test_router_serves_on_while_the_store_is_down(tmp_path):
    with fleet_run(tmp_path, answer) as run:
        run.store.failing = True
        time.sleep(1.5)
        assert run.ask()[0] == 200
        assert run.router.page()[0] == 200


def test_router_that_the_store_turns_away_learns_from_a_peer(tmp_path):
    """Guards against a router without configuration, or with an old one, while the store serves its peers."""
    with fleet_run(tmp_path, answer) as run:
        other = run.start_router(
            ip="127.0.0.2", store="127.0.0.1:9", ports=run.router.ports, seeds=("127.0.0.1:1",)
        )
        other.wait_ready()
        run.store.put("op/config", configuration_document(5, routes=[route_document(prefix="/new/")]))

        def asked_by_peer() -> bool:
            return split_answer(exchange(other.caller, request_text("/new/1")))[0] == 200

        wait_for(asked_by_peer, other.log, seconds=2.0)


def test_stop_finishes_what_runs_and_refuses_nothing_before(tmp_path):
    """Guards against requests that a planned stop cuts off."""

    def slow(call, _number) -> None:
        time.sleep(1.0)
        call.answer(b"late")

    with fleet_run(tmp_path, slow) as run:
        answers = []
        thread = threading.Thread(
            target=lambda: answers.append(run.ask("/unsafe/1", method="POST", body="x"))
        )
        thread.start()
        wait_for(lambda: run.calls)
        run.router.process.terminate()
        wait_for(lambda: run.router.page()[0] == 503)
        assert run.ask("/unsafe/2", method="POST", body="x") == (200, b"late")
        thread.join()
        assert answers == [(200, b"late")]
        assert run.router.process.wait(8) == 0


def test_request_late_in_a_stop_is_refused_as_not_run(tmp_path):
    """Guards against a stream that is taken at the end of the grace time and then cut off."""

    def slow(call, _number) -> None:
        time.sleep(4.5)
        call.answer(b"late")

    patient = configuration_document(5, routes=[route_document(timeoutMs=7000)])
    with fleet_run(tmp_path, slow) as run:
        run.store.put("op/config", patient)
        time.sleep(0.5)
        answers = []
        ask = threading.Thread(target=lambda: answers.append(run.ask(x_deadline_ms="7000")))
        host, port = run.router.caller.split(":")
        with (
            socket.create_connection((host, int(port)), timeout=10) as idle,
            socket.create_connection((host, int(port)), timeout=10) as begun,
        ):
            ask.start()
            wait_for(lambda: run.calls)
            run.router.process.terminate()
            time.sleep(2.0)
            begun.sendall(b"GET /safe/1 HTTP/1.1\r\nHost: llm.example\r\n")
            time.sleep(1.3)
            assert idle.recv(1) == b""
            begun.sendall(b"X-Credential: key-a\r\n\r\n")
            status, body = split_answer(begun.recv(65_536))
            assert status == 503
            assert json.loads(body)["error"]["ran"] == "no"
        ask.join()
        assert answers == [(200, b"late")]
        assert run.router.process.wait(8) == 0
