"""Tests of exchanges with targets: scripted targets behind a real router process."""

import json
import threading
import time

import pytest

from builders_router import (
    answer_bytes,
    completions_body,
    error_of,
    read_all,
    request_bytes,
    running_router,
)

pytestmark = [pytest.mark.integration, pytest.mark.timeout(60)]
EVENT = b'data: {"n": %d}\n\n'
DONE = b"data: [DONE]\n\n"


def run_script(connection) -> None:
    """Run the script that the request names, or accept the cancellation of a stream."""
    if connection.head.startswith("GET /streams/"):
        resume(connection)
        return
    if not connection.body:
        connection.send(answer_bytes(b"{}"))
        return
    name = json.loads(connection.body)["user"]
    SCRIPTS[name](connection)


def whole_stream(connection) -> None:
    connection.send_stream_head()
    for number in range(3):
        connection.send_chunk(EVENT % number)
    connection.send_chunk(DONE)
    connection.send(b"0\r\n\r\n")


def stream_in_odd_pieces(connection) -> None:
    connection.send_stream_head()
    for piece in (EVENT % 0)[:5], (EVENT % 0)[5:] + EVENT % 1 + DONE[:9], DONE[9:]:
        connection.send_chunk(piece)
        time.sleep(0.05)
    connection.send(b"0\r\n\r\n")


def cut_stream(connection) -> None:
    connection.send_stream_head()
    connection.send_chunk(EVENT % 0 + b'data: {"n')
    time.sleep(0.1)
    connection.reset()


def stream_without_done(connection) -> None:
    connection.send_stream_head()
    connection.send_chunk(EVENT % 0)
    connection.send(b"0\r\n\r\n")


def stream_until_close(connection) -> None:
    connection.send(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n" + EVENT % 0 + DONE)
    connection.reset()


def resumable(connection) -> None:
    resumable_ids.add(connection.head.partition("x-request-id: ")[2].split("\r\n")[0])
    connection.send_stream_head(x_engine_boot_id="a")
    connection.send_chunk(EVENT % 0 + EVENT % 1 + (EVENT % 2)[:5])
    time.sleep(0.1)
    connection.reset()


def resume(connection) -> None:
    """Resume the events; cut the stream a second time at event 2, otherwise complete it."""
    position = int(connection.head.partition("from=")[2].split()[0])
    stream_id = connection.head.split("/")[2].split("?")[0]
    if stream_id not in resumable_ids:
        connection.send(answer_bytes(b"{}", status=404))
        return
    connection.send_stream_head(x_engine_boot_id="a")
    if position == 2:
        connection.send_chunk(EVENT % 2 + (EVENT % 3)[:9])
        connection.reset()
    else:
        connection.send_chunk(b"".join(EVENT % number for number in range(position, 5)) + DONE)
        connection.send(b"0\r\n\r\n")


def cut_before_answer(connection) -> None:
    connection.reset()


def short_body(connection) -> None:
    connection.send(answer_bytes(b"x" * 50)[:-1])
    connection.reset()


def until_close(connection) -> None:
    connection.send(b"HTTP/1.1 200 OK\r\n\r\nhalf")
    connection.reset()


def large_then_cut(connection) -> None:
    connection.send(answer_bytes(b"x" * 300_000)[:200_000])
    time.sleep(0.1)
    connection.reset()


def large_head(connection) -> None:
    connection.send(b"HTTP/1.1 200 OK\r\nx: " + b"a" * 20_000)
    time.sleep(0.5)


def bad_chunk(connection) -> None:
    connection.send_stream_head()
    connection.send(b"nonsense\r\n")
    time.sleep(0.5)


def extra_bytes(connection) -> None:
    connection.send(answer_bytes(b"right") + answer_bytes(b"wrong"))


def interim(connection) -> None:
    connection.send(b"HTTP/1.1 103 Early Hints\r\n\r\n" + answer_bytes(b"final"))


def endless(connection) -> None:
    connection.send_stream_head()
    connection.sock.settimeout(3)
    sent[0] = 0
    while sent[0] < 30_000_000:
        connection.send_chunk(EVENT % 0 * 1000)
        sent[0] += 1000 * len(EVENT % 0)


def fail_at_first(connection) -> None:
    with lock:
        failures.append(1)
        first = len(failures) == 1
    if first:
        connection.reset()
    else:
        connection.send(answer_bytes(b"again"))


def reject_at_first(connection) -> None:
    with lock:
        rejections.append(1)
        first = len(rejections) == 1
    connection.send(answer_bytes(b"{}" if first else b"accepted", status=503 if first else 200))


lock = threading.Lock()
sent, failures, rejections, resumable_ids = [0], [], [], set()
SCRIPTS = {
    script.__name__: script
    for script in (
        whole_stream, stream_in_odd_pieces, cut_stream, stream_without_done, stream_until_close,
        cut_before_answer, short_body, until_close, large_then_cut, large_head, bad_chunk, extra_bytes,
        interim, endless, resumable, fail_at_first, reject_at_first,
    )
}  # fmt: skip


@pytest.fixture(scope="module")
def router(tmp_path_factory):
    with running_router(
        tmp_path_factory.mktemp("targets"), run_script, idle_timeout_seconds=2, retry_burst=100
    ) as run:
        yield run
        assert "traceback" not in run.log.read_text()


def ask(router, script, *, stream: bool = False) -> bytes:
    body = completions_body(user=script.__name__, stream=stream)
    return router.exchange(request_bytes(body=body, connection="close"))


def unchunked(answer: bytes) -> bytes:
    """Return the decoded body of a complete chunked answer."""
    head, _, body = answer.partition(b"\r\n\r\n")
    assert b"transfer-encoding: chunked" in head
    assert body.endswith(b"0\r\n\r\n")
    parts = []
    while (size := int(body.partition(b"\r\n")[0], 16)) > 0:
        body = body.partition(b"\r\n")[2]
        parts.append(body[:size])
        body = body[size + 2 :]
    return b"".join(parts)


@pytest.mark.parametrize(
    ("script", "events"),
    [
        (whole_stream, EVENT % 0 + EVENT % 1 + EVENT % 2),
        (stream_in_odd_pieces, EVENT % 0 + EVENT % 1),
        (stream_until_close, EVENT % 0),
    ],
)
def test_whole_streams(router, script, events):
    """Guards against changed streams, independent of how the target splits them."""
    assert unchunked(ask(router, script, stream=True)) == events + DONE


def test_resumed_stream_has_no_gap_and_no_repetition(router):
    """Guards against lost, repeated or garbled events when a stream is resumed after two cuts."""
    events = b"".join(EVENT % number for number in range(5))
    assert unchunked(ask(router, resumable, stream=True)) == events + DONE


@pytest.mark.parametrize("script", [cut_stream, stream_without_done])
def test_broken_stream_ends_with_error_event(router, script):
    """Guards against a cut stream that looks complete: it ends with an error event and has no [DONE]."""
    body = unchunked(ask(router, script, stream=True))
    assert body.startswith(EVENT % 0 + b"event: error\ndata: ")
    assert b"[DONE]" not in body
    error = json.loads(body.rpartition(b"data: ")[2])["error"]
    assert error["code"] == "answer_cut"
    assert error["ran"] in ("yes", "unknown")


@pytest.mark.parametrize("script", [cut_before_answer, short_body, until_close, large_head, bad_chunk])
def test_broken_answer_is_replaced_by_an_error(router, script):
    """Guards against forwarding cut, oversized or malformed answers, or reporting them as "not run"."""
    answer = ask(router, script)
    assert answer.startswith(b"HTTP/1.1 502 ")
    assert error_of(answer)["ran"] == "unknown"


@pytest.mark.parametrize("stream", [False, True])
def test_broken_large_answer_is_reset(router, stream):
    """Guards against a cut large answer that looks complete or has an error event in its body."""
    answer = ask(router, large_then_cut, stream=stream)
    assert b"error" not in answer
    head, _, body = answer.partition(b"\r\n\r\n")
    assert b"content-length: 300000" in head
    assert len(body) < 300_000


@pytest.mark.parametrize(("script", "body"), [(fail_at_first, b"again"), (reject_at_first, b"accepted")])
def test_failed_attempt_is_retried(router, script, body):
    """Guards against errors for idempotent requests whose first attempt was cut or rejected."""
    assert ask(router, script).endswith(b"\r\n\r\n" + body)


def test_unrequested_answer_is_discarded(router):
    """Guards against taking bytes after an answer for the answer to the next request."""
    for _ in range(3):
        assert ask(router, extra_bytes).endswith(b"\r\n\r\nright")


def test_interim_answer_is_skipped(router):
    """Guards against taking an interim (1xx) answer of the target for the final one."""
    assert ask(router, interim).endswith(b"\r\n\r\nfinal")


def test_slow_caller_stops_the_target(router):
    """Guards against unbounded buffers: a caller that does not read pauses the target, then is cut off."""
    before = resident_memory_bytes(router)
    with router.connect() as sock:
        sock.sendall(request_bytes(body=completions_body(user="endless", stream=True)))
        time.sleep(1.0)
        assert sent[0] < 20_000_000
        assert resident_memory_bytes(router) - before < 4_000_000
        time.sleep(3.0)
        assert '"running":0' in router.page("/status")[1]
        read_all(sock)


def resident_memory_bytes(router) -> int:
    lines = router.page("/metrics")[1].splitlines()
    return int(next(line.split()[1] for line in lines if line.startswith("limpetusher_process_resident")))
