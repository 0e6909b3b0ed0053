"""Tests of streams whose caller reads slowly, through a real router process."""

import socket
import time

import pytest

from builders_platform import fleet_run, request_text, split_answer, unchunk
from builders_router import read_all

pytestmark = pytest.mark.integration

EVENTS = [b"id: %d\ndata: %b\n\n" % (number, b"x" * 30_000) for number in range(1, 401)]
PAUSE_SECONDS = 2.5
"""Longer than the silence after which a stream moves to another target."""


def test_sound_stream_is_not_sent_again_while_its_caller_does_not_read(tmp_path):
    """Guards against taking a target for silent because the router does not read from it meanwhile."""

    def send_all(call, _number) -> None:
        call.begin_stream()
        for part in EVENTS[int(call.headers.get("last-event-id", 0)) :]:
            call.send_chunk(part)
        call.end_stream()

    with fleet_run(tmp_path, send_all) as run:
        host, port = run.router.caller.split(":")
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
            sock.settimeout(10)
            sock.connect((host, int(port)))
            sock.sendall(request_text("/stream/1", method="POST", body="x", x_deadline_ms="20000").encode())
            time.sleep(PAUSE_SECONDS)
            _status, body = split_answer(read_all(sock))
        assert unchunk(body) == (b"".join(EVENTS), True)
        assert len(run.calls) == 1
