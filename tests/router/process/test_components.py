"""Unit tests of process components with a manual clock."""

import gc
import weakref

from circuits.core import BaseComponent, Event, handler
from circuits.core.events import generate_events

from limpetusher.clock import ManualClock
from limpetusher_router.events import RequestReceived
from limpetusher_router.process.deadlines import COMPACTION_THRESHOLD_ENTRIES, Deadlines
from limpetusher_router.process.loads import (
    DEFAULT_REPORT_AGE_SECONDS,
    LoadDocument,
    LoadReportReader,
    TargetPollState,
)
from limpetusher_router.settings import RouterSettings


class SampleEvent(Event):
    """An event with a subject."""

    name = "sample_event"


class Subject:
    """Subject of an event, such as a connection."""


class EventRecorder(BaseComponent):
    """Records the subjects of received events."""

    channel = "recorder"

    def __init__(self):
        super().__init__()
        self.received = []

    @handler("sample_event")
    def on_sample_event(self, subject) -> None:
        self.received.append(subject)


class BodyRecorder(BaseComponent):
    """Counts requests and keeps nothing of them."""

    channel = "recorder"

    def __init__(self):
        super().__init__()
        self.count = 0

    @handler("RequestReceived")
    def on_request(self, *_: object) -> None:
        self.count += 1


class DeadlineHarness:
    """Deadlines and an event recorder without a running event loop."""

    def __init__(self, *, reads_first: bool = False):
        self.clock = ManualClock()
        self.recorder = EventRecorder()
        self.deadlines = Deadlines(self.clock, reads_first=reads_first).register(self.recorder)
        self.recorder.flush()

    def run_iteration(self) -> float:
        """Fire the due deadlines and return how long the poller may block."""
        event = generate_events(self.recorder._lock, -1)
        self.deadlines.on_generate_events(event)
        self.recorder.flush()
        return event.time_left


def test_deadlines_fire_in_order_and_only_once():
    """Guards against deadlines that are early, late, out of order, repeated or fired although cancelled."""
    harness = DeadlineHarness()
    for when in (3.0, 1.0, 2.0):
        harness.deadlines.schedule(when, SampleEvent(when), "recorder")
    harness.deadlines.schedule(2.5, SampleEvent("cancelled"), "recorder").cancel()
    assert harness.run_iteration() == 1.0
    harness.clock.advance(2.0)
    assert harness.run_iteration() == 0
    assert harness.recorder.received == [1.0, 2.0]
    harness.clock.advance(10.0)
    harness.run_iteration()
    assert harness.recorder.received == [1.0, 2.0, 3.0]
    assert harness.run_iteration() == -1


def test_late_deadlines_fire_after_one_round_of_io():
    """Guards against time-outs of connections whose data was not read while the process was held up."""
    harness = DeadlineHarness(reads_first=True)
    for when in (1.0, 2.0, 4.0):
        harness.deadlines.schedule(when, SampleEvent(when), "recorder")
    harness.clock.advance(3.0)
    assert harness.run_iteration() == 0
    assert harness.recorder.received == []
    harness.run_iteration()
    assert harness.recorder.received == [1.0, 2.0]
    assert harness.run_iteration() == 1.0


def test_late_deadlines_fire_although_the_process_is_held_up_again():
    """Guards against deadlines that never fire in a process that is always late."""
    harness = DeadlineHarness(reads_first=True)
    harness.deadlines.schedule(1.0, SampleEvent(1.0), "recorder")
    harness.clock.advance(2.0)
    harness.run_iteration()
    harness.clock.advance(2.0)
    harness.run_iteration()
    assert harness.recorder.received == [1.0]


def test_cancelled_deadlines_are_removed_from_the_heap():
    """Guards against a heap that grows with each request because cancelled deadlines stay in it."""
    harness = DeadlineHarness()
    for _ in range(10 * COMPACTION_THRESHOLD_ENTRIES):
        harness.deadlines.schedule(1e6, SampleEvent("late"), "recorder").cancel()
    assert len(harness.deadlines.heap) <= COMPACTION_THRESHOLD_ENTRIES + 1


def test_cancelled_deadline_keeps_no_reference_to_its_subject():
    """Guards against closed connections that stay in memory until their time-outs would be due."""
    harness = DeadlineHarness()
    subject = Subject()
    reference = weakref.ref(subject)
    deadline = harness.deadlines.schedule(1e6, SampleEvent(subject), "recorder")
    del subject
    deadline.cancel()
    assert reference() is None
    harness.clock.advance(2e6)
    harness.run_iteration()
    assert harness.recorder.received == []


def test_handled_message_is_freed_without_the_garbage_collector():
    """Guards against bodies that stay in memory after their request until garbage happens to be collected."""
    recorder = BodyRecorder()
    body = Subject()
    reference = weakref.ref(body)
    gc.collect()
    gc.disable()
    try:
        recorder.fire(RequestReceived("r1", None, body), "recorder")
        del body
        while len(recorder):
            recorder.flush()
        assert recorder.count == 1
        assert reference() is None
    finally:
        gc.enable()


def test_age_of_load_reports():
    """Guards against treating an outdated report as current when the target does not state its age."""
    clock = ManualClock()
    settings = RouterSettings(host_id="a", data_centre="b")
    reader = LoadReportReader(settings, clock=clock, deadlines=Deadlines(clock), owned_targets=dict)
    poll = TargetPollState(0.0)

    def age(sequence: int, *, reported_age: float | None = None) -> float:
        poll.sent_at = clock.monotonic()
        clock.advance(0.25)
        report = LoadDocument(
            0, warm=True, boot_id="b", measured_at=sequence, report_age_seconds=reported_age
        )
        return reader.report_age(poll, report)

    assert age(1) == DEFAULT_REPORT_AGE_SECONDS
    assert age(1) == DEFAULT_REPORT_AGE_SECONDS
    assert age(2) == 0.5
    assert age(2) == 0.75
    assert age(5) == 0.5
    assert age(5, reported_age=0.125) == 0.375
