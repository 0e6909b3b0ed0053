"""Tests of when a router watches the store, and when it takes the copy of a peer."""

import msgspec
import pytest

from builders_platform import make_host_settings
from limpetusher.clock import ManualClock
from limpetusher.fleet.messages import PROTOCOL_VERSION, StoreNews
from limpetusher.fleet.version.mirror import StoredItem, StoreMirror
from limpetusher_router.connection.framing import AnswerHead
from limpetusher_router.events import AttemptEnd, NewsDue, StartAttempt
from limpetusher_router.fleet.store_copy import EncodedCopy, StoreCopy
from limpetusher_router.fleet.store_news import NEWS_BYTES, NEWS_REPEATED_SECONDS
from limpetusher_router.fleet.store_reader import (
    BEHIND_SECONDS,
    CHANGED,
    NEWS,
    NEWS_SECONDS,
    READ_PATIENCE_SECONDS,
    REPORT_GAP_SECONDS,
    UNINFORMED_RANKS,
    UNINFORMED_SECONDS,
    UNINFORMED_SECONDS_PER_RANK,
    WATCH_GAP_SECONDS,
    Call,
    StoreReader,
)
from limpetusher_router.platform.store import COMPACTED_STATUS, RangePage, WatchedChanges
from limpetusher_router.process.deadlines import Deadlines


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def reader(clock):
    mirror = StoreMirror()
    mirror.replace([StoredItem("op/config", b"x", 11)], 11)
    made = StoreReader(
        make_host_settings(),
        mirror=mirror,
        deadlines=Deadlines(clock),
        watch_rank=lambda: 5,
        is_watcher=lambda _count: False,
    )
    made.is_connected = True
    made.fired = []
    made.fire = lambda event, *channels: made.fired.append(event)
    return made


def copies(reader) -> list[str]:
    """Return the addresses that copies were asked from."""
    return [
        event.args[0].address
        for event in reader.fired
        if isinstance(event, StartAttempt) and event.args[0].key[0] is Call.COPY
    ]


def test_copy_is_taken_although_other_peers_are_behind_as_well(reader, clock):
    """Guards against an old configuration: reports of peers that know no more must not restart the wait."""
    for _ in range(10):
        reader.peer_knows("10.0.0.2", 15)
        reader.peer_knows("10.0.0.3", 11)
        clock.advance(BEHIND_SECONDS / 5)
    assert copies(reader) == ["10.0.0.2:7401"]


def test_own_watch_that_is_soon_enough_saves_the_copy(reader, clock):
    reader.peer_knows("10.0.0.2", 15)
    clock.advance(BEHIND_SECONDS / 2)
    reader.mirror.advance(15)
    clock.advance(BEHIND_SECONDS)
    reader.peer_knows("10.0.0.2", 16)
    assert copies(reader) == []


def test_router_without_the_store_asks_at_once(reader):
    reader.is_connected = False
    reader.peer_knows("10.0.0.2", 15)
    assert copies(reader) == ["10.0.0.2:7401"]


def make_news(**changes) -> StoreNews:
    values = {
        "version": PROTOCOL_VERSION,
        "is_connected": True,
        "trouble_seconds": 60.0,
        "since": 11,
        "revision": 12,
        "items": (("servers/t1", b"entry", 12),),
        "removed": (),
    }
    return StoreNews(**{**values, **changes})


def published(reader) -> list[StoreNews]:
    """Return the reports that were sent."""
    return [event.args[0] for event in reader.fired if isinstance(event, NewsDue)]


def test_informed_router_makes_no_calls_and_an_uninformed_one_watches(reader, clock):
    """Guards against calls to the store that grow with the fleet, and against uninformed routers."""
    reader.take_news("10.0.0.2", make_news(), is_from_outside=False)
    assert reader.mirror.items["servers/t1"].value == b"entry"
    clock.advance(UNINFORMED_SECONDS)
    reader.watch()
    assert not reader.is_watching
    clock.advance(UNINFORMED_SECONDS_PER_RANK * UNINFORMED_RANKS + 0.01)
    reader.watch()
    assert reader.is_watching


def test_reports_of_a_watcher_that_has_lost_the_store_do_not_inform(reader):
    """Guards against an old configuration behind a watcher that the store turns away."""
    reader.take_news("10.0.0.2", make_news(is_connected=False), is_from_outside=False)
    assert reader.should_watch()


def test_changes_that_stay_missing_make_the_router_fetch_the_copy(reader, clock):
    """Guards against a change that was lost with its datagrams."""
    news = make_news(since=14, revision=15, items=(("servers/t1", b"entry", 15),))
    reader.take_news("10.0.0.2", news, is_from_outside=False)
    assert reader.mirror.items["servers/t1"].value == b"entry"
    assert reader.mirror.revision == 11
    assert copies(reader) == []
    clock.advance(BEHIND_SECONDS)
    reader.take_news("10.0.0.2", make_news(since=15, revision=15, items=()), is_from_outside=False)
    assert copies(reader) == ["10.0.0.2:7401"]


def test_changes_that_come_with_a_later_report_need_no_copy(reader, clock):
    """Guards against a copy of the whole store for each lost datagram."""
    reader.take_news("10.0.0.2", make_news(since=14, revision=15, items=()), is_from_outside=False)
    clock.advance(NEWS_SECONDS)
    repeated = make_news(revision=16, items=(("servers/t1", b"entry", 13), ("servers/t2", b"entry", 16)))
    reader.take_news("10.0.0.2", repeated, is_from_outside=False)
    clock.advance(BEHIND_SECONDS)
    reader.take_news("10.0.0.2", make_news(since=16, revision=16, items=()), is_from_outside=False)
    assert reader.mirror.revision == 16
    assert copies(reader) == []


def test_removed_targets_do_not_come_back_with_repeated_reports(reader):
    """Guards against a target that has left and is in use again after a late datagram."""
    reader.take_news("10.0.0.2", make_news(), is_from_outside=False)
    gone = make_news(since=12, revision=13, items=(), removed=(("servers/t1", 13),))
    reader.take_news("10.0.0.3", gone, is_from_outside=False)
    reader.take_news("10.0.0.2", make_news(), is_from_outside=False)
    assert "servers/t1" not in reader.mirror.items


def test_relay_passes_reports_from_other_data_centres_on(reader):
    reader.watch_rank = lambda: 1
    news = make_news()
    reader.take_news("10.0.0.2", news, is_from_outside=True)
    assert published(reader) == [news]
    reader.take_news("10.0.0.3", news, is_from_outside=False)
    assert published(reader) == [news]


def test_relay_passes_the_same_state_of_several_watchers_on_once(reader, clock):
    """Guards against reports whose number grows with watchers times relays, at each router of a fleet."""
    reader.watch_rank = lambda: 1
    for _ in range(8):
        for watcher in ("10.0.0.2", "10.0.0.3", "10.0.0.4"):
            reader.take_news(watcher, make_news(), is_from_outside=True)
        clock.advance(NEWS_SECONDS)
    assert len(published(reader)) == 8
    newer = make_news(revision=14)
    reader.take_news("10.0.0.4", newer, is_from_outside=True)
    clock.advance(REPORT_GAP_SECONDS)
    reader.take_news("10.0.0.3", make_news(revision=15), is_from_outside=True)
    reader.take_news("10.0.0.4", make_news(revision=16), is_from_outside=True)
    assert [news.revision for news in published(reader)[-2:]] == [14, 15]


def make_empty_reader(reader) -> StoreReader:
    """Return a watcher that has just started and reads the store."""
    reader.mirror = StoreMirror()
    reader.encoded = EncodedCopy(reader.mirror)
    reader.is_watcher = lambda _count: True
    reader.read_page(None)
    return reader


def test_first_read_is_not_reported_as_news(reader, clock):
    """Guards against reports of the whole store by all watchers at each start of the fleet."""
    watcher = make_empty_reader(reader)
    items = [StoredItem(f"servers/t{number}", b"entry", number) for number in range(1, 90)]
    watcher.take_page(RangePage(items, revision=90, has_more=False))
    watcher.publish()
    assert (published(watcher)[-1].items, published(watcher)[-1].since) == ((), 90)
    clock.advance(REPORT_GAP_SECONDS)
    watcher.apply([StoredItem("servers/t1", b"newer", 91)], [], 91)
    report = published(watcher)[-1]
    assert (report.items, report.since) == ((("servers/t1", b"newer", 91),), 90)


@pytest.mark.parametrize("is_silent", [True, False])
def test_router_that_reads_the_store_fetches_a_copy_only_if_the_store_fails(reader, clock, is_silent):
    """Guards against a start of the fleet in which all routers read the store and a peer's copy as well."""
    starting = make_empty_reader(reader)
    starting.is_connected = False
    news = make_news(since=90, revision=90, items=())
    starting.take_news("10.0.0.2", news, is_from_outside=False)
    starting.peer_knows("10.0.0.2", 90)
    assert copies(starting) == []
    if is_silent:
        clock.advance(READ_PATIENCE_SECONDS)
    else:
        starting.abandon(Call.READ)
    starting.take_news("10.0.0.2", news, is_from_outside=False)
    assert copies(starting) == ["10.0.0.2:7401"]


def test_watcher_repeats_changes_for_a_while_and_names_what_it_leaves_out(reader, clock):
    reader.is_watcher = lambda _count: True
    reader.watch()
    change = reader.mirror.put(StoredItem("servers/t1", b"entry", 12))
    reader.mirror.advance(12)
    reader.tell([change])
    reader.publish(is_regular=True)
    assert [news.items for news in published(reader)] == [(("servers/t1", b"entry", 12),)] * 2
    clock.advance(NEWS_REPEATED_SECONDS + 0.1)
    reader.publish(is_regular=True)
    assert (published(reader)[-1].items, published(reader)[-1].since) == ((), 12)
    clock.advance(REPORT_GAP_SECONDS)
    change = reader.mirror.put(StoredItem("op/config", b"x" * (NEWS_BYTES + 1), 13))
    reader.mirror.advance(13)
    reader.tell([change])
    assert (published(reader)[-1].items, published(reader)[-1].since) == ((), 13)


def asked_pages(reader) -> list[str]:
    """Return the start lines of the calls for pages of the store."""
    return [
        event.args[0].request.partition(b"\r\n")[0].decode()
        for event in reader.fired
        if isinstance(event, StartAttempt) and event.args[0].key[0] is Call.READ
    ]


def test_read_goes_on_at_the_page_that_failed(reader):
    """Guards against routers that begin to read the store again and again while it refuses some calls."""
    starting = make_empty_reader(reader)
    starting.take_page(RangePage([StoredItem("op/config", b"x", 8)], revision=8, has_more=True))
    starting.fail(Call.READ, "status 429")
    starting.on_due(None)
    pages = asked_pages(starting)
    assert len(pages) == 3
    assert pages[2] == pages[1] != pages[0]
    starting.take_page(RangePage([StoredItem("servers/t1", b"entry", 9)], revision=9, has_more=False))
    assert set(starting.mirror.items) == {"op/config", "servers/t1"}
    assert starting.mirror.revision == 8


def test_read_begins_anew_when_the_history_is_lost(reader):
    """Guards against a copy that lacks what changed between its pages."""
    starting = make_empty_reader(reader)
    starting.take_page(RangePage([StoredItem("op/config", b"x", 8)], revision=8, has_more=True))
    starting.use(Call.WATCH, COMPACTED_STATUS, b"")
    starting.on_due(None)
    pages = asked_pages(starting)
    assert pages[-1] == pages[0]


def test_informed_router_reports_nothing_though_its_watch_goes_on(reader, clock):
    """Guards against reports of all routers to all others while a fleet starts."""
    reader.watch()
    reader.apply([StoredItem("servers/t1", b"entry", 12)], [], 12)
    assert len(published(reader)) == 1
    reader.take_news("10.0.0.2", make_news(), is_from_outside=False)
    clock.advance(REPORT_GAP_SECONDS)
    reader.apply([StoredItem("servers/t1", b"entry", 13)], [], 13)
    reader.on_due(NEWS)
    assert len(published(reader)) == 1
    clock.advance(UNINFORMED_SECONDS + UNINFORMED_SECONDS_PER_RANK * UNINFORMED_RANKS + 0.01)
    reader.on_due(NEWS)
    assert len(published(reader)) == 2


def test_changes_in_quick_succession_are_reported_together(reader, clock):
    """Guards against a report, with all recent changes in it, for each of thousands of targets that start."""
    reader.is_watcher = lambda _count: True
    reader.watch()
    for number in range(100):
        reader.apply([StoredItem(f"servers/t{number}", b"entry", 12 + number)], [], 12 + number)
        clock.advance(REPORT_GAP_SECONDS / 200)
    assert len(published(reader)) == 1
    clock.advance(REPORT_GAP_SECONDS)
    reader.on_due(CHANGED)
    assert [report.revision for report in published(reader)] == [12, 111]
    assert (len(published(reader)[-1].items), published(reader)[-1].since) == (99, 12)


def answer_watch(reader, *, revision: int) -> None:
    """Let the watch in progress end with one change."""
    key = (Call.WATCH, reader.current[Call.WATCH])
    event = f'{{"key": "servers/t1", "value": "eA==", "rev": {revision}}}'
    reader.on_started(key, AnswerHead(200, {}, None, chunked=False, keep_alive=True))
    reader.on_part(key, f'{{"events": [{event}], "currentRev": {revision}}}'.encode())
    reader.on_ended(key, AttemptEnd.COMPLETE)


def test_change_that_a_watch_brings_is_reported_at_once(reader, clock):
    """Guards against reports that wait for the next regular one, and stop while one watch follows another."""
    reader.is_watcher = lambda _count: True
    reader.watch()
    answer_watch(reader, revision=12)
    assert [report.items for report in published(reader)] == [(("servers/t1", b"x", 12),)]
    assert Call.WATCH not in reader.current
    reader.on_due(NEWS)
    assert len(published(reader)) == 2
    clock.advance(WATCH_GAP_SECONDS)
    reader.on_due(None)
    reader.fail(Call.WATCH, "timed out")
    reader.on_due(NEWS)
    assert len(published(reader)) == 2


def test_copy_for_peers_is_encoded_once_for_each_state(reader):
    """Guards against memory and time for a copy of the whole store for each of hundreds of peers."""
    first = reader.copy()
    assert reader.copy() is first
    reader.apply([StoredItem("servers/t1", b"entry", 12)], [], 12)
    newer = msgspec.msgpack.decode(reader.copy(), type=StoreCopy)
    assert (newer.revision, [item.key for item in newer.items]) == (12, ["op/config", "servers/t1"])


def test_watcher_waits_a_moment_between_two_watches(reader, clock):
    """Guards against a call to the store for each of thousands of targets that start."""
    reader.is_watcher = lambda _count: True
    reader.watch()
    calls = []
    for number in range(100):
        before = len(reader.fired)
        reader.take_changes(WatchedChanges([StoredItem("servers/t1", b"x", 12 + number)], [], 12 + number))
        calls += [event for event in reader.fired[before:] if isinstance(event, StartAttempt)]
        clock.advance(WATCH_GAP_SECONDS / 10)
    assert 9 <= len(calls) <= 11
