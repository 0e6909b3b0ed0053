"""Tests of what a router makes of the store's entries."""

import json
import random

from builders_platform import target_document
from limpetusher.clock import ManualClock
from limpetusher.fleet.settings import FleetSettings
from limpetusher.fleet.version.mirror import Change, StoredItem
from limpetusher_router.fleet.state import FleetState
from limpetusher_router.platform.settings_file import Bounds, HostSettings

DRAIN_SECONDS = 2.0
"""Time after which a target that has left must get nothing (platform's bound)."""


def make_state(clock: ManualClock) -> FleetState:
    host = HostSettings(
        host_id="front-1",
        data_centre="north",
        ip="10.0.0.1",
        caller_address="10.0.0.1:80",
        ready_address="10.0.0.1:81",
        internal_ports=(7400, 7415),
        seeds=(),
        store_address="10.9.0.1:80",
        maximum_descriptors=1000,
        bounds=Bounds(retry_ratio=0.2, retry_extra=50.0, retry_window_seconds=10.0, stop_grace_seconds=8.0),
    )
    state = FleetState(host, FleetSettings(), clock=clock, rng=random.Random(1))
    entry = json.dumps(target_document("10.0.0.7:80")).encode()
    state.apply(Change("servers/t1", StoredItem("servers/t1", entry, 5)))
    return state


def test_target_that_went_while_the_store_was_away_is_dropped_within_the_bound():
    """Guards against requests to a target that has left (DRAIN on jpr-valley, day fresh-bc0c)."""
    clock = ManualClock()
    state = make_state(clock)
    state.store_trouble_age = lambda: 1.0
    state.apply(Change("servers/t1", None))
    assert "t1" in state.placement.targets
    clock.advance(DRAIN_SECONDS - 0.25)
    state.drop_held()
    assert "t1" not in state.placement.targets


def test_target_that_goes_while_the_store_is_well_is_dropped_at_once():
    state = make_state(ManualClock())
    state.store_trouble_age = lambda: 60.0
    state.apply(Change("servers/t1", None))
    assert "t1" not in state.placement.targets


def test_entry_that_comes_back_keeps_its_target():
    """Guards against losing targets whose entries lapse in an outage of the store."""
    clock = ManualClock()
    state = make_state(clock)
    state.store_trouble_age = lambda: 1.0
    state.apply(Change("servers/t1", None))
    entry = json.dumps(target_document("10.0.0.7:80")).encode()
    state.apply(Change("servers/t1", StoredItem("servers/t1", entry, 9)))
    clock.advance(DRAIN_SECONDS)
    state.drop_held()
    assert "t1" in state.placement.targets
