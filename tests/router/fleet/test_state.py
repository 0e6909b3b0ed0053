"""Tests of how a router applies target entries of the store."""

import json
import random

from builders_platform import make_host_settings, target_document
from limpetusher.clock import ManualClock
from limpetusher.fleet.settings import FleetSettings
from limpetusher.fleet.version.mirror import Change, StoredItem
from limpetusher_router.fleet.state import FleetState

DRAIN_SECONDS = 2.0
"""Time after which a target that has left must get no requests, as the platform requires."""


def make_state(clock: ManualClock) -> FleetState:
    state = FleetState(make_host_settings(), FleetSettings(), clock=clock, rng=random.Random(1))
    entry = json.dumps(target_document("10.0.0.7:80")).encode()
    state.apply_change(Change("servers/t1", StoredItem("servers/t1", entry, 5)))
    return state


def test_target_removed_around_a_store_failure_is_dropped_within_the_drain_time():
    """Guards against requests to a target that has left around a failure of the store."""
    clock = ManualClock()
    state = make_state(clock)
    state.store_failure_age = lambda: 1.0
    state.apply_change(Change("servers/t1", None))
    assert "t1" in state.placement.targets
    clock.advance(DRAIN_SECONDS - 0.25)
    state.drop_expired_targets()
    assert "t1" not in state.placement.targets


def test_target_removed_while_the_store_works_is_dropped_at_once():
    state = make_state(ManualClock())
    state.store_failure_age = lambda: 60.0
    state.apply_change(Change("servers/t1", None))
    assert "t1" not in state.placement.targets


def test_entry_that_comes_back_in_time_keeps_its_target():
    """Guards against losing targets whose entries expire during an outage of the store."""
    clock = ManualClock()
    state = make_state(clock)
    state.store_failure_age = lambda: 1.0
    state.apply_change(Change("servers/t1", None))
    entry = json.dumps(target_document("10.0.0.7:80")).encode()
    state.apply_change(Change("servers/t1", StoredItem("servers/t1", entry, 9)))
    clock.advance(DRAIN_SECONDS)
    state.drop_expired_targets()
    assert "t1" in state.placement.targets


def test_odd_entry_does_not_affect_the_others_of_its_batch():
    """Guards against a router that stops following the store because of one entry of another writer."""
    state = make_state(ManualClock())
    entry = json.dumps(target_document("10.0.0.8:80")).encode()
    nested = entry[:-1] + b', "extra": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"
    far_port = json.dumps(target_document("10.0.0.9:70000")).encode()
    state.apply_changes(
        [
            Change("servers/odd1", StoredItem("servers/odd1", nested, 6)),
            Change("servers/odd2", StoredItem("servers/odd2", far_port, 7)),
            Change("servers/t2", StoredItem("servers/t2", entry, 8)),
        ]
    )
    assert set(state.placement.targets) == {"t1", "t2"}


def test_change_that_fails_unexpectedly_does_not_affect_the_others(monkeypatch):
    """Guards against lost changes, as a copy of the store is not read again after a failure."""
    state = make_state(ManualClock())
    monkeypatch.setattr(state, "set_evacuated", lambda *_: 1 / 0)
    entry = json.dumps(target_document("10.0.0.8:80")).encode()
    state.apply_changes(
        [Change("op/evacuate/north", None), Change("servers/t2", StoredItem("servers/t2", entry, 8))]
    )
    assert "t2" in state.placement.targets
