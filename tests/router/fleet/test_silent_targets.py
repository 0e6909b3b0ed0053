"""Tests of targets that fall silent for a while and go on, through a real router process."""

import itertools
import socket
import threading
import time

import pytest

from builders_platform import (
    event,
    fleet_run,
    request_text,
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


def open_requests(run) -> tuple[float, float]:
    """Return how many requests wait for a target and how many are open at one."""
    names = ("limpetusher_requests_waiting", "limpetusher_requests_running")
    return tuple(run.router.metric(name) for name in names)


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
        assert open_requests(run) == (0, 0)


@pytest.mark.parametrize("other", ["missing", "rejecting"])
def test_answer_of_a_silent_target_is_delivered_if_no_other_target_takes_the_request(tmp_path, other):
    """Guards against a failure in place of the answer of a target that is silent beyond a short goal."""
    with fleet_run(tmp_path, SilentOnce(seconds=0.8)) as run:
        assert ask_beside(run, other, "/safe/1", x_deadline_ms="1900") == (200, b"done")


def test_stream_goes_on_when_the_retry_budget_is_spent_after_its_silent_target_was_replaced(tmp_path):
    """Guards against cutting off a caller whose silent target was replaced by one that rejects it."""
    budget = {"retry_ratio": 0.0, "retry_extra": 3.0, "retry_window_seconds": 1.0}
    with fleet_run(tmp_path, SilentOnce(events_before=3), **budget) as run:
        status, body = ask_beside(
            run, "rejecting", "/stream/1", method="POST", body="x", x_deadline_ms="6000"
        )
        assert (status, unchunk(body)) == (200, (EVENTS, True))
        assert open_requests(run) == (0, 0)


def test_stream_goes_on_when_its_silent_target_is_full_after_it_was_replaced(tmp_path):
    """Guards against cutting off a caller whose target was replaced by one that rejects the request."""
    script = SilentOnce(events_before=3)

    def fill_silent_target(call, number) -> None:
        if script.silent_id not in ("", call.headers["x-target-instance"]):
            key = f"servers/{script.silent_id}"
            address = run.targets[script.silent_id].address
            run.put(key, target_document(address, slots=0), Event.TARGET_LISTED)
            threading.Timer(1.2, run.store.put, (key, target_document(address))).start()
        script(call, number)

    with fleet_run(tmp_path, fill_silent_target) as run:
        status, body = ask_beside(
            run, "rejecting", "/stream/1", method="POST", body="x", x_deadline_ms="6000"
        )
        assert (status, unchunk(body)) == (200, (EVENTS, True))
        assert open_requests(run) == (0, 0)


@pytest.mark.parametrize("end", ["silent", "cut"])
def test_stream_of_a_silent_target_goes_on_at_one_that_is_listed_later(tmp_path, end):
    """Guards against a silent attempt for which another target is requested only once."""

    def stop_once(call, _number) -> None:
        call.begin_stream()
        first = int(call.headers.get("last-event-id", 0)) + 1
        call.send_events(first, 3)
        if first == 1:
            time.sleep(1.7)
            if end == "cut":
                call.cut_connection()
            time.sleep(6.0)
            return
        call.send_events(4, LAST_EVENT)
        call.end_stream()

    with fleet_run(tmp_path, stop_once) as run:
        # The first request for another target is refused before the entry is written.
        seconds = 2.2 if end == "silent" else 1.75
        document = target_document(run.targets["t2"].address)
        timer = threading.Timer(seconds, run.store.put, ("servers/t2", document))
        run.store.delete("servers/t2")
        wait_for(lambda: run.logged_count(Event.TARGET_UNLISTED), run.router.log)
        timer.start()
        status, body = run.ask("/stream/1", method="POST", body="x", x_deadline_ms="9000")
        assert (status, unchunk(body)) == (200, (EVENTS, True))
        assert [len(target.calls) for target in run.targets.values()] == [1, 1]
        assert open_requests(run) == (0, 0)


def test_caller_that_leaves_a_silent_stream_ends_the_request_for_another_target(tmp_path):
    """Guards against requests that stay at a scheduler after their callers have left."""
    with fleet_run(tmp_path, SilentOnce(events_before=3, seconds=5.0)) as run:
        run.store.delete("servers/t2")
        wait_for(lambda: run.logged_count(Event.TARGET_UNLISTED), run.router.log)
        host, port = run.router.caller.split(":")
        with socket.create_connection((host, int(port)), timeout=10) as sock:
            sock.sendall(request_text("/stream/1", method="POST", body="x", x_deadline_ms="9000").encode())
            time.sleep(1.75)
        wait_for(lambda: run.logged_count(Event.CALLER_GONE), run.router.log)
        assert open_requests(run) == (0, 0)
        run.store.put("servers/t2", target_document(run.targets["t2"].address))
        time.sleep(0.5)
        assert len(run.calls) == 1
