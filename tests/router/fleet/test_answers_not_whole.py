"""Tests of answers that are not whole, with a real router process and targets that send them."""

import json
import time

import pytest

from builders_early_answers import ENDS, EVENTS, PART, EarlyScript, EarlyTarget
from builders_platform import (
    ROUTES,
    SEAL,
    configuration_document,
    event,
    fleet_run,
    request_text,
    split_answer,
    unchunk,
    wait_for,
)
from builders_router import read_all
from builders_uploads import (
    LARGE_BODY_BYTES,
    accept_large_bodies,
    chunked,
    open_upload,
    upload_head,
)
from limpetusher.events import Event

pytestmark = pytest.mark.integration

BODY = b"b" * LARGE_BODY_BYTES
ALL_EVENTS = b"".join(event(number) for number in range(1, 5))
INVALID_STATUS_LINES = [
    "HTTP/1.1 000 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 999 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 -200 OK",
    "HTTP/1.1 +20 OK",
    "HTTP/1.1 0x200 OK",
    "HTTP/1.1 2OO OK",
    "HTTP/1.1  200 OK",
    "HTTP/1.1\t200 OK",
    "HTTP/1.1 200\x00 OK",
    "HTTP/1.1 \u0662\u0660\u0660 OK",
    "HTTP/1.1",
    "HTTP/2 200 OK",
    "HTTP/1.1 200,200 OK",
]


def send_upload(run, path: str, *, form: str = "length", expect: bool = False, body: bytes = BODY) -> bytes:
    """Send a large upload and return the whole answer."""
    headers = {"connection": "close", **({"expect": "100-continue"} if expect else {})}
    head = upload_head(path, "upload-1", length=None if form == "chunked" else len(body), **headers)
    with open_upload(run.router.caller, head) as sock:
        if expect:
            interim = sock.recv(1000)
            assert interim == b"HTTP/1.1 100 Continue\r\n\r\n"
        sock.sendall(chunked(body) if form == "chunked" else body)
        return read_all(sock)


def check_unknown(answer: bytes, run) -> None:
    """Check that a caller is told of a request that may have run, and that it was sent once."""
    status, body = split_answer(answer)
    assert (status, json.loads(body)["error"]["ran"]) == (502, "unknown")
    assert len(run.calls) == 1


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("form", ["length", "chunked"])
@pytest.mark.parametrize("expect", [False, True])
def test_answer_to_an_upload_that_was_not_taken_is_not_complete(tmp_path, end, form, expect):
    """Guards against a part of an answer that looks complete as its target closes during the upload."""
    with fleet_run(tmp_path, EarlyScript(ENDS[end]), target_type=EarlyTarget) as run:
        accept_large_bodies(run)
        check_unknown(send_upload(run, "/unsafe/1", form=form, expect=expect), run)


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("size", [300_000, 1_000_000])
def test_bytes_that_only_the_kernel_has_taken_were_not_taken_by_the_target(tmp_path, end, size):
    """Guards against an upload that counts as taken once the router's own socket holds its rest."""
    with fleet_run(tmp_path, EarlyScript(ENDS[end]), target_type=EarlyTarget) as run:
        accept_large_bodies(run)
        check_unknown(send_upload(run, "/unsafe/1", body=BODY[:size]), run)


@pytest.mark.parametrize("end", ENDS)
def test_interim_answer_before_it_does_not_make_it_complete(tmp_path, end):
    """Guards against an interim answer that is taken for one to the whole request."""
    script = EarlyScript(ENDS[end], interim=b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n")
    with fleet_run(tmp_path, script, target_type=EarlyTarget) as run:
        accept_large_bodies(run)
        check_unknown(send_upload(run, "/unsafe/1"), run)


@pytest.mark.parametrize("end", ENDS)
def test_safe_request_is_answered_whole_by_another_target(tmp_path, end):
    """Guards against half an answer to a request that may be repeated."""
    with fleet_run(tmp_path, EarlyScript(ENDS[end]), target_type=EarlyTarget) as run:
        accept_large_bodies(run)
        assert split_answer(send_upload(run, "/safe/1")) == (200, b"whole")
        assert len(run.calls) == 2


@pytest.mark.parametrize("end", ENDS)
def test_stream_of_an_upload_that_was_not_taken_is_resumed(tmp_path, end):
    """Guards against a stream that looks complete after its first events."""
    with fleet_run(tmp_path, EarlyScript(ENDS[end], is_stream=True), target_type=EarlyTarget) as run:
        accept_large_bodies(run)
        _status, body = split_answer(send_upload(run, "/stream/1"))
        assert unchunk(body) == (ALL_EVENTS, True)
        assert len(run.calls) == 2


@pytest.mark.parametrize("end", ENDS)
def test_stream_of_an_upload_that_was_not_taken_is_broken_off_without_resumption(tmp_path, end):
    """Guards against a stream that looks complete after its first events, on a route that may run once."""
    with fleet_run(tmp_path, EarlyScript(ENDS[end], is_stream=True), target_type=EarlyTarget) as run:
        accept_large_bodies(run)
        answer = send_upload(run, "/once/1")
        if split_answer(answer)[0] == 502:
            # With the reset, the events may be lost that the router has not read yet.
            assert end == "reset"
            check_unknown(answer, run)
            return
        assert unchunk(split_answer(answer)[1]) in ((EVENTS, False), (EVENTS[: len(event(1))], False))
        assert len(run.calls) == 1


def test_answer_without_a_length_to_a_request_that_was_taken_is_complete(tmp_path):
    """Guards against a target that can't end its answers but by a close and is never believed."""

    def script(call, _number) -> None:
        lines = ["HTTP/1.1 200 OK", SEAL, f"x-request-id: {call.headers['x-request-id']}", "", ""]
        call.sock.sendall("\r\n".join(lines).encode() + PART)
        call.cut_connection()

    with fleet_run(tmp_path, script) as run:
        accept_large_bodies(run)
        for path in ("/unsafe/1", "/safe/1"):
            assert split_answer(send_upload(run, path)) == (200, PART)
        assert run.ask("/unsafe/2") == (200, PART)


@pytest.mark.parametrize("path", ["/unsafe/1", "/safe/1", "/once/1", "/stream/1"])
def test_answer_with_an_invalid_status_is_no_answer(tmp_path, path):
    """Guards against statuses outside 100 to 599 and malformed ones that reach callers."""
    lines = list(INVALID_STATUS_LINES)

    def script(call, _number) -> None:
        fields = [SEAL, f"x-request-id: {call.headers['x-request-id']}", "content-length: 4"]
        head = "\r\n".join([lines[int(call.headers["x-line"])], *fields, "", ""])
        call.sock.sendall(head.encode() + b"done")

    with fleet_run(tmp_path, script) as run:
        for number, line in enumerate(lines):
            before = len(run.calls)
            status, body = run.ask(path, method="POST", body=f"x{number}", x_line=str(number))
            ran = json.loads(body)["error"]["ran"]
            assert (status, ran) in {(502, "unknown"), (504, "unknown"), (503, "no")}, (line, status, body)
            assert (ran == "no") == (len(run.calls) == before), line
            # Both targets are suspended after their failures.
            time.sleep(0.3)


@pytest.mark.parametrize("interim", ["HTTP/1.1 99 Early", "HTTP/1.1 1xx Early", "HTTP/1.1 10 Early"])
def test_answer_after_an_invalid_interim_one_is_no_answer(tmp_path, interim):
    """Guards against answers behind bytes that are no interim answer."""

    def script(call, _number) -> None:
        call.sock.sendall(f"{interim}\r\n\r\n".encode())
        call.answer(b"done")

    with fleet_run(tmp_path, script) as run:
        status, body = run.ask("/unsafe/1", method="POST", body="x")
        assert (status, json.loads(body)["error"]["ran"]) == (502, "unknown")


@pytest.mark.parametrize("path", ["/unsafe/1", "/safe/1"])
def test_interim_answers_before_and_a_second_answer_after_it_change_nothing(tmp_path, path):
    """Guards against an answer that is mixed with others on its connection."""

    def script(call, _number) -> None:
        call.sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n")
        call.answer(call.headers["x-request-id"].encode())
        call.answer(b"second")

    with fleet_run(tmp_path, script) as run:
        for number in range(8):
            name = f"request-{number}"
            assert run.ask(path, method="POST", body="x", x_request_id=name) == (200, name.encode())


@pytest.mark.parametrize("status", [99, 600, 999, 1000])
def test_answer_of_the_store_with_an_invalid_status_is_not_applied(tmp_path, status):
    """Guards against a configuration from a store whose answers are none."""

    def script(call, _number) -> None:
        call.answer(b"done")

    with fleet_run(tmp_path, script) as run:
        run.store.status_of_answers = status
        new = configuration_document(5, routes=[{**ROUTES[0], "prefix": "/new/"}])
        run.store.put("op/config", new)
        time.sleep(2.0)
        assert run.ask("/safe/1") == (200, b"done")
        assert run.ask("/new/1")[0] == 404
        run.store.status_of_answers = None
        wait_for(lambda: run.ask("/new/1")[0] == 200, run.router.log)


COPY_WITH_STATUS = """
from limpetusher_router.fleet.internal_pages import COPY_PATH, InternalPages

render_page = InternalPages.render_page

def render_with_status(pages, path):
    status, *rest = render_page(pages, path)
    return (%d if path == COPY_PATH else status, *rest)

InternalPages.render_page = render_with_status
"""
"""Preamble of a router process whose copy of the store is sent with another status."""


@pytest.mark.parametrize("status", [0, 99, 600, 1000])
def test_copy_of_a_router_with_an_invalid_status_is_not_taken(tmp_path, status):
    """Guards against a configuration from a router whose answer is none; another router's copy is taken."""
    preamble = COPY_WITH_STATUS % status
    with fleet_run(tmp_path, EarlyScript(ENDS["fin"], early_count=0), preamble=preamble) as run:
        options = {"ports": run.router.ports, "seeds": (f"127.0.0.1:{run.router.ports}",)}
        lone = run.start_router(ip="127.0.0.2", store="127.0.0.1:9", **options)
        failed = b'"event":%d,' % Event.STORE_COPY_FAILED.number
        wait_for(lambda: failed in lone.log.read_bytes(), lone.log)
        assert lone.page()[0] == 503
        run.start_router(ip="127.0.0.3", **options)
        wait_for(lambda: lone.page()[0] == 200, lone.log)


@pytest.mark.parametrize("end", ENDS)
def test_answer_to_a_request_that_was_taken_at_once_is_complete(tmp_path, end):
    """Guards against an answer to a small request that counts as not taken."""
    script = EarlyScript(ENDS[end])
    with fleet_run(tmp_path, script, target_type=EarlyTarget) as run:
        answer = b""
        with open_upload(run.router.caller, request_text("/unsafe/1").encode()) as sock:
            answer = read_all(sock)
        assert split_answer(answer)[0] == (502 if end == "reset" else 200)
