"""Tests of when a router watches the store, and when it takes the copy of a peer."""

import msgspec
import pytest

from builders_platform import make_host_settings
from limpetusher.clock import ManualClock
from limpetusher.fleet.messages import PROTOCOL_VERSION, StoreNews
from limpetusher.fleet.version.mirror import StoredItem, StoreMirror
from limpetusher_router.events import NewsDue, StartAttempt
from limpetusher_router.fleet.store_news import NEWS_BYTES, NEWS_REPEATED_SECONDS
from limpetusher_router.fleet.store_reader import (
    BEHIND_SECONDS,
    NEWS_SECONDS,
    READ_PATIENCE_SECONDS,
    UNINFORMED_RANKS,
    UNINFORMED_SECONDS,
    UNINFORMED_SECONDS_PER_RANK,
    Call,
    StoreCopy,
    StoreReader,
)
from limpetusher_router.platform.store import RangePage
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


def test_report_after_a_gap_makes_the_router_fetch_the_copy(reader):
    """Guards against a change that was lost with its datagrams."""
    news = make_news(since=14, revision=15, items=(("servers/t1", b"entry", 15),))
    reader.take_news("10.0.0.2", news, is_from_outside=False)
    assert copies(reader) == ["10.0.0.2:7401"]
    assert reader.mirror.revision == 11


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
    reader.take_news("10.0.0.3", make_news(revision=15), is_from_outside=True)
    assert [news.revision for news in published(reader)[-2:]] == [14, 15]


def make_empty_reader(reader) -> StoreReader:
    """Return a watcher that has just started and reads the store."""
    reader.mirror = StoreMirror()
    reader.is_watcher = lambda _count: True
    reader.read_page(None)
    return reader


def test_first_read_is_not_reported_as_news(reader):
    """Guards against reports of the whole store by all watchers at each start of the fleet."""
    watcher = make_empty_reader(reader)
    items = [StoredItem(f"servers/t{number}", b"entry", number) for number in range(1, 90)]
    watcher.take_page(RangePage(items, revision=90, has_more=False))
    watcher.publish()
    assert (published(watcher)[-1].items, published(watcher)[-1].since) == ((), 90)
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
    reader.publish()
    assert [news.items for news in published(reader)] == [(("servers/t1", b"entry", 12),)] * 2
    clock.advance(NEWS_REPEATED_SECONDS + 0.1)
    reader.publish()
    assert (published(reader)[-1].items, published(reader)[-1].since) == ((), 12)
    change = reader.mirror.put(StoredItem("op/config", b"x" * (NEWS_BYTES + 1), 13))
    reader.mirror.advance(13)
    reader.tell([change])
    assert (published(reader)[-1].items, published(reader)[-1].since) == ((), 13)


def test_copy_for_peers_is_encoded_once_for_each_state(reader):
    """Guards against memory and time for a copy of the whole store for each of hundreds of peers."""
    first = reader.copy()
    assert reader.copy() is first
    reader.apply([StoredItem("servers/t1", b"entry", 12)], [], 12)
    newer = msgspec.msgpack.decode(reader.copy(), type=StoreCopy)
    assert (newer.revision, [item.key for item in newer.items]) == (12, ["op/config", "servers/t1"])
