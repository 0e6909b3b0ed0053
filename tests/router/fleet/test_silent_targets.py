"""Tests of targets that fall silent for a while and go on, through a real router process."""

import itertools
import threading
import time

import pytest

from builders_platform import (
    event,
    fleet_run,
    target_document,
    unchunk,
    wait_for,
)
from builders_router import free_addresses
from limpetusher.events import Event

pytestmark = pytest.mark.integration

LAST_EVENT = 6
SILENCE_SECONDS = 1.8
"""Longer than the silence after which a stream is resumed at another target."""
EVENTS = b"".join(event(number) for number in range(1, LAST_EVENT + 1))


class SilentOnce:
    """Script of targets of which the first one asked falls silent once, while the others reject everything.

    Parameters
    ----------
    events_before
        Number of the event after which it falls silent, None for silence before the head.
    seconds
        Duration of the silence.
    """

    def __init__(self, *, events_before: int | None = None, seconds: float = SILENCE_SECONDS):
        self.events_before = events_before
        self.seconds = seconds
        self.numbers = itertools.count(1)
        self.silent_id = ""

    def __call__(self, call, _number) -> None:
        target_id = call.headers["x-target-instance"]
        self.silent_id = self.silent_id or target_id
        if target_id != self.silent_id:
            call.answer(b"", "x-not-executed: 1", status="503 Service Unavailable")
            return
        is_silent = next(self.numbers) == 1
        if is_silent and self.events_before is None:
            time.sleep(self.seconds)
        if call.line.split()[1].startswith("/safe/"):
            call.answer(b"done")
            return
        call.begin_stream()
        for number in range(int(call.headers.get("last-event-id", 0)) + 1, LAST_EVENT + 1):
            if is_silent and number - 1 == self.events_before:
                time.sleep(self.seconds)
            call.send_events(number, number)
        call.end_stream()


def other_target(kind: str, run) -> dict | None:
    """Return the entry of the target that can't take over, None if there is no other target."""
    address = run.targets["t2"].address
    return {
        "missing": None,
        "draining": target_document(address, state="draining"),
        "full": target_document(address, slots=0),
        "rejecting": target_document(address),
        "unreachable": target_document(free_addresses(1)[0]),
    }[kind]


def ask_beside(run, kind: str, path: str, **options: str) -> tuple[int, bytes]:
    """Send a request to the only target, and list the other one when the request has arrived."""
    run.store.delete("servers/t2")
    wait_for(lambda: run.logged_count(Event.TARGET_UNLISTED), run.router.log)
    document = other_target(kind, run)

    def list_other() -> None:
        wait_for(lambda: run.calls)
        run.store.put("servers/t2", document)

    if document is not None:
        threading.Thread(target=list_other, daemon=True).start()
    return run.ask(path, **options)


@pytest.mark.parametrize(
    ("events_before", "other"),
    [
        (3, "missing"),
        (3, "draining"),
        (3, "full"),
        (3, "rejecting"),
        (3, "unreachable"),
        (0, "missing"),
        (None, "missing"),
    ],
)
def test_stream_of_a_silent_target_goes_on_if_no_other_target_takes_it(tmp_path, events_before, other):
    """Guards against cutting off a caller whose target is silent for a while and would have gone on."""
    with fleet_run(tmp_path, SilentOnce(events_before=events_before)) as run:
        status, body = ask_beside(run, other, "/stream/1", method="POST", body="x", x_deadline_ms="6000")
        assert (status, unchunk(body)) == (200, (EVENTS, True))


@pytest.mark.parametrize("other", ["missing", "rejecting"])
def test_answer_of_a_silent_target_is_delivered_if_no_other_target_takes_the_request(tmp_path, other):
    """Guards against a failure in place of the answer of a target that is silent beyond a short goal."""
    with fleet_run(tmp_path, SilentOnce(seconds=0.8)) as run:
        assert ask_beside(run, other, "/safe/1", x_deadline_ms="1900") == (200, b"done")
