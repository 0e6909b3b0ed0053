"""Tests of when a router takes the copy of a peer."""

import pytest

from builders_platform import make_host_settings
from limpetusher.clock import ManualClock
from limpetusher.fleet.version.mirror import StoredItem, StoreMirror
from limpetusher_router.events import StartAttempt
from limpetusher_router.fleet.store_reader import BEHIND_SECONDS, Call, StoreReader
from limpetusher_router.process.deadlines import Deadlines


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def reader(clock):
    mirror = StoreMirror()
    mirror.replace([StoredItem("op/config", b"x", 11)], 11)
    made = StoreReader(make_host_settings(), mirror=mirror, deadlines=Deadlines(clock), watch_rank=lambda: 5)
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
