"""Tests of requests in a real router process: forwarding, cancelling and idempotency."""

import json
import time

import pytest

from builders_router import (
    RouterRun,
    answer_bytes,
    completions_body,
    configuration_document,
    error_of,
    read_until,
    request_bytes,
    running_router,
)

pytestmark = [pytest.mark.integration, pytest.mark.timeout(60)]
MAXIMUM_LATE_REQUESTS = 5


def run_script(connection) -> None:
    """Answer a call with its own body, cut it, or send a long stream."""
    if connection.head.startswith("POST /streams/"):
        connection.send(answer_bytes(b"{}"))
    elif "/completions " in connection.head:
        connection.send_stream_head()
        for number in range(100):
            connection.send_chunk(b"data: {}\n\n")
            time.sleep(0.05 + 0 * number)
    elif b"break" in connection.body:
        connection.reset()
    else:
        connection.send(answer_bytes(b"ran:" + connection.body, status=201))


@pytest.fixture(scope="module")
def router(tmp_path_factory):
    with running_router(tmp_path_factory.mktemp("exchanges"), run_script, trace_output="true") as run:
        yield run
        assert "traceback" not in run.log.read_text()


def dispatch(router, body: bytes, **headers: str) -> bytes:
    return router.exchange(request_bytes("/apps/crew/dispatch?x=1", body, connection="close", **headers))


def test_request_is_forwarded(router):
    """Guards against lost and forged fields: the target gets path, customer and trace, but no API key."""
    trace_id = "0af7651916cd43dd8448eb211c80319c"
    answer = dispatch(router, b"plain", traceparent=f"00-{trace_id}-b7ad6b7169203331-01", x_forged="1")
    assert answer.startswith(b"HTTP/1.1 201 ")
    assert answer.endswith(b"ran:plain")
    head = router.crew.requests[-1].head
    assert head.startswith("POST /dispatch?x=1 HTTP/1.1\r\n")
    assert "x-limpetusher-customer: acme\r\n" in head
    assert f"traceparent: 00-{trace_id}-" in head
    assert "b7ad6b7169203331" not in head
    assert "authorization" not in head
    assert "x-forged" not in head
    lines = [json.loads(line)["message"] for line in router.log.read_text().splitlines()]
    spans = [json.loads(line.removeprefix("span ")) for line in lines if line.startswith("span ")]
    own_spans = {span["span"]: span for span in spans if span["trace_id"] == trace_id}
    assert set(own_spans) == {"request", "queue wait", "target attempt"}
    assert own_spans["request"]["parent_id"] == "b7ad6b7169203331"
    assert own_spans["target attempt"]["parent_id"] == own_spans["request"]["span_id"]
    assert own_spans["target attempt"]["attributes"] == {"target_id": "target-crews", "outcome": "complete"}


def test_call_without_key_is_sent_once(router):
    """Guards against repeating a non-idempotent call after its connection was cut."""
    before = len(router.crew.requests)
    answer = dispatch(router, b"break once")
    assert answer.startswith(b"HTTP/1.1 502 ")
    assert error_of(answer)["ran"] == "unknown"
    assert len(router.crew.requests) == before + 1


def test_repeated_key_is_replayed(router):
    """Guards against running a call twice: the same key gets the first answer, another body an error."""
    before = len(router.crew.requests)
    first = dispatch(router, b"keyed", idempotency_key="k1")
    again = dispatch(router, b"keyed", idempotency_key="k1")
    other = dispatch(router, b"other", idempotency_key="k1")
    assert len(router.crew.requests) == before + 1
    assert first.startswith(b"HTTP/1.1 201 ")
    assert again.startswith(b"HTTP/1.1 201 ")
    assert again.endswith(b"ran:keyed")
    assert other.startswith(b"HTTP/1.1 422 ")


def test_repeated_key_after_a_broken_answer_is_refused(router):
    """Guards against repeating a call that may have run: its key is refused with ran `unknown`."""
    before = len(router.crew.requests)
    assert dispatch(router, b"break keyed", idempotency_key="k2").startswith(b"HTTP/1.1 502 ")
    again = dispatch(router, b"break keyed", idempotency_key="k2")
    assert again.startswith(b"HTTP/1.1 409 ")
    assert error_of(again)["ran"] == "unknown"
    assert len(router.crew.requests) == before + 1


def test_lost_caller_cancels_the_stream(router):
    """Guards against engines that continue to generate for a caller that has disconnected."""
    with router.connect() as sock:
        sock.sendall(request_bytes(body=completions_body(stream=True)))
        read_until(sock, b"data: {}\n\n\r\n")
    deadline = time.monotonic() + 3
    while not router.engine.requests[-1].head.startswith("POST /streams/"):
        assert time.monotonic() < deadline
        time.sleep(0.02)
    stream_id = router.engine.requests[-1].head.split("/")[2]
    assert f"x-request-id: {stream_id}\r\n" in router.engine.requests[-2].head
    assert json.loads(router.page("/status")[1])["running"] == 0


def publish_short_patience(router) -> None:
    router.platform.configuration = router.platform.configuration.replace(
        b'"customer_id": "acme"', b'"customer_id": "acme", "default_patience_seconds": 1'
    ).replace(b'"version": 1', b'"version": 2')
    deadline = time.monotonic() + 5
    while '"configuration_version":2' not in router.page("/status")[1]:
        assert time.monotonic() < deadline
        time.sleep(0.05)


def test_reused_connection_that_breaks_after_sending(tmp_path):
    """Guards against a false "not run" when a target closes after it has read a request."""

    def script(connection) -> None:
        if "x-request-id" not in connection.head or len(run.crew.requests) == 1:
            connection.send(answer_bytes(b"first"))
        else:
            run.crew.close()

    with running_router(tmp_path, script) as run:
        publish_short_patience(run)
        body = request_bytes("/apps/crew/status", method="GET", connection="close")
        assert run.exchange(body).endswith(b"first")
        answer = run.exchange(body)
        for _ in range(MAXIMUM_LATE_REQUESTS):
            if len(run.crew.requests) == 2:
                break
            # On a busy machine the patience of 1 s may end before the request is sent.
            assert error_of(answer)["ran"] == "no"
            answer = run.exchange(body)
        assert len(run.crew.requests) == 2, answer
        assert answer.split()[1] in (b"502", b"503", b"504")
        assert error_of(answer)["ran"] == "unknown"


def test_request_to_an_unreachable_target_is_reported_as_not_run(router):
    """Guards against hanging, and against a false "may have run", when no target can be reached."""
    router.crew.close()
    body = request_bytes("/apps/crew/status", method="GET", connection="close")
    publish_short_patience(router)
    started = time.monotonic()
    answer = router.exchange(body)
    assert answer.split()[1] in (b"503", b"504")
    assert error_of(answer)["ran"] == "no"
    assert time.monotonic() - started < 3


def test_request_on_a_broken_reused_connection_may_have_run(tmp_path):
    """Guards against "not run" for a request that a target received before it became unreachable."""
    received_heads = []

    def script(connection) -> None:
        if "/status?call=second" in connection.head:
            received_heads.append(connection.head)
            run.crew.close()
        else:
            connection.send(answer_bytes(b"{}"))

    run = RouterRun(tmp_path, script)
    try:
        document = configuration_document(version=2)
        document["customers"][0]["default_patience_seconds"] = 2.0
        run.platform.configuration = json.dumps(document).encode()
        run.wait_ready()
        status = [
            request_bytes(f"/apps/crew/status?call={name}", method="GET", connection="close")
            for name in ("first", "second")
        ]
        assert run.exchange(status[0]).startswith(b"HTTP/1.1 200 ")
        error = error_of(run.exchange(status[1]))
    finally:
        run.close()
    assert len(received_heads) == 1
    assert error["ran"] == "unknown"
