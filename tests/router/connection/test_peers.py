"""Tests of the sockets between routers, against a real router process."""

import time

import pynng
import pytest

from builders_router import answer_bytes, completions_body, request_bytes, running_router
from limpetusher.wire.codec import MAXIMUM_MESSAGE_BYTES, Codec
from limpetusher.wire.messages import VirtualTimesRequest

pytestmark = [pytest.mark.integration, pytest.mark.timeout(60)]


@pytest.fixture
def router(tmp_path):
    with running_router(tmp_path, lambda connection: connection.send(answer_bytes(b"ok"))) as run:
        yield run


def dropped_by_reason(router) -> dict[str, int]:
    lines = router.page("/metrics")[1].splitlines()
    return {
        line.partition('reason="')[2].partition('"')[0]: int(line.split()[1])
        for line in lines
        if line.startswith("limpetusher_peer_messages_dropped_total")
    }


def test_foreign_messages_are_dropped_and_counted(router):
    """Guards against messages that are malformed, unauthenticated, too large or from unlisted senders."""
    own = Codec(b"a-key-of-the-tests")
    frames = [
        b"",
        b"nonsense" * 100,
        Codec(b"another-key-of-16").encode(VirtualTimesRequest(), sender="r2", incarnation=1),
        Codec(b"a-key-of-the-tests", protocol_version=9).encode(
            VirtualTimesRequest(), sender="r2", incarnation=1
        ),
        own.encode(VirtualTimesRequest(), sender="r2", incarnation=1),
        own.encode(VirtualTimesRequest(), sender="r1", incarnation=1),
    ]
    with pynng.Push0(dial=f"tcp://{router.peer}", block_on_dial=True, send_timeout=2000) as push:
        for frame in frames * 50:
            push.send(frame)
        deadline = time.monotonic() + 5
        while sum(dropped_by_reason(router).values()) < 200:
            assert time.monotonic() < deadline, dropped_by_reason(router)
            time.sleep(0.05)
        push.send(b"x" * (MAXIMUM_MESSAGE_BYTES + 1))
    assert dropped_by_reason(router) == {"foreign": 100, "unauthenticated": 50, "version": 50}
    assert '"dropped_messages":100' in router.page("/status")[1]
    answer = router.exchange(request_bytes(body=completions_body(), connection="close"))
    assert answer.endswith(b"ok")
    assert router.log.read_text().count("peer message dropped") < 20
    assert "traceback" not in router.log.read_text()
