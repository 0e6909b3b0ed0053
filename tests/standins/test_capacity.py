"""Tests of the capacity command on small sizes and hand-made figures."""

import json

import pytest

from limpetusher_standins.capacity import CapacityReport, markdown, measure, slope, slopes
from limpetusher_standins.capacity_world import World, WorldSize

SMALL = WorldSize(members=4, customers=12, backlogged=4, targets=8, running=3, models=2, data_centres=2)


def test_slope_is_least_squares():
    """Guards against a slope taken from the first and the last size only."""
    assert slope([1, 2, 3, 4], [2, 4, 6, 8]) == pytest.approx(2)
    assert slope([0, 1, 2, 3], [0, 3, 0, 3]) == pytest.approx(0.6)


def test_slopes_of_all_figures():
    """Guards against a figure without a slope, and a slope from a single size."""
    assert slopes({1: {"a": 1.0, "b": 5.0}, 2: {"a": 3.0, "b": 5.0}}) == {"a": 2.0, "b": 0.0}
    assert slopes({1: {"a": 1.0}}) == {}


def test_small_world_costs_something_everywhere():
    """Guards against a model in which requests are never granted or peers never heard."""
    figures = measure(SMALL)
    for name in ("tick_us", "heartbeat_received_us", "heartbeat_bytes", "progress_us", "request_us"):
        assert figures[name] > 0, name
    assert figures["owner_request_us"] > 0
    json.dumps(figures)


def test_peers_are_reachable_and_requests_run():
    """Guards against a cost measured on a router that believes itself to be alone."""
    world = World(SMALL)
    world.add_backlog()
    assert len(world.core.status().reachable_peers) == 3
    assert world.core.status().waiting == 4
    started = world.run_requests(3)
    assert len(started) == 3
    world.end(started)
    assert world.core.status().running == 0


def test_tables_have_slopes_and_the_target():
    """Guards against a page whose tables lack what its arithmetic uses."""
    rows = {12: {"tick_us": 1.0}, 24: {"tick_us": 13.0}}
    report = CapacityReport(
        figures={"members": rows},
        slopes={"members": slopes(rows)},
        target={"tick_us": 9.0},
        conditions="idle",
    )
    text = markdown(report)
    assert "| tick_us | 1.0 | 13.0 | 1.0 | 9.0 |" in text
    assert json.loads(json.dumps(report.document()))["figures"]["members"]["24"] == {"tick_us": 13.0}
