"""Tests of single components of the process with a manual clock."""

from circuits.core import BaseComponent, Event, handler
from circuits.core.events import generate_events

from limpetusher.clock import ManualClock
from limpetusher_router.process.deadlines import COMPACTION_ENTRIES, Deadlines
from limpetusher_router.process.loads import UNKNOWN_AGE_SECONDS, LoadDocument, LoadPoll, LoadReader
from limpetusher_router.settings import RouterSettings


class Ring(Event):
    """A test event."""

    name = "ring"


class Listener(BaseComponent):
    """Notes what rings."""

    channel = "listener"

    def __init__(self):
        super().__init__()
        self.heard = []

    @handler("ring")
    def on_ring(self, subject) -> None:
        self.heard.append(subject)


class Bench:
    """Deadlines and a listener without a running loop."""

    def __init__(self):
        self.clock = ManualClock()
        self.listener = Listener()
        self.deadlines = Deadlines(self.clock).register(self.listener)
        self.listener.flush()

    def pass_loop(self) -> float:
        """Let due deadlines fire and return how long the poller may wait."""
        event = generate_events(self.listener._lock, -1)
        self.deadlines.on_generate_events(event)
        self.listener.flush()
        return event.time_left


def test_deadlines_fire_in_order_and_only_once():
    """Guards against deadlines that are early, late, out of order, repeated or fired after a cancel."""
    bench = Bench()
    for when in (3.0, 1.0, 2.0):
        bench.deadlines.schedule(when, Ring(when), "listener")
    bench.deadlines.schedule(2.5, Ring("cancelled"), "listener").cancel()
    assert bench.pass_loop() == 1.0
    bench.clock.advance(2.0)
    assert bench.pass_loop() == 0
    assert bench.listener.heard == [1.0, 2.0]
    bench.clock.advance(10.0)
    bench.pass_loop()
    assert bench.listener.heard == [1.0, 2.0, 3.0]
    assert bench.pass_loop() == -1


def test_cancelled_deadlines_do_not_pile_up():
    """Guards against a heap that grows with every request although its deadlines are cancelled."""
    bench = Bench()
    for _ in range(10 * COMPACTION_ENTRIES):
        bench.deadlines.schedule(1e6, Ring("late"), "listener").cancel()
    assert len(bench.deadlines.heap) <= COMPACTION_ENTRIES + 1


def test_age_of_load_reports():
    """Guards against taking a lagging report for a fresh one when the target does not tell its age."""
    clock = ManualClock()
    settings = RouterSettings(host_id="a", data_centre="b")
    reader = LoadReader(settings, clock=clock, deadlines=Deadlines(clock), owned_targets=dict)
    poll = LoadPoll(0.0)

    def age(sequence: int, *, told: float | None = None) -> float:
        poll.sent_at = clock.monotonic()
        clock.advance(0.25)
        report = LoadDocument(0, warm=True, boot_id="b", measured_at=sequence, report_age_seconds=told)
        return reader.report_age(poll, report)

    assert age(1) == UNKNOWN_AGE_SECONDS
    assert age(1) == UNKNOWN_AGE_SECONDS
    assert age(2) == 0.5
    assert age(2) == 0.75
    assert age(5) == 0.5
    assert age(5, told=0.125) == 0.375
