"""Tests of the capacity command on small sizes and hand-made figures."""

import itertools
import json

import pytest

from limpetusher_standins import capacity
from limpetusher_standins.capacity import (
    BEGIN_MARKER,
    END_MARKER,
    CapacityReport,
    markdown,
    measure,
    replace_block,
    slope,
    slopes,
)
from limpetusher_standins.capacity_model import Design, MessageSizes, UnitCosts, cost, designs
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


UNIT = UnitCosts(
    sizes=MessageSizes(
        heartbeat=100, waiting=10, charge=20, held=50, demand=100, demand_entry=40, grant=150, release=100
    ),
    message_us=50.0,
    waiting_us=0.1,
    charge_us=1.0,
    tick_peer_us=5.0,
    tick_charge_us=0.1,
    tick_target_us=1.0,
    progress_us=10.0,
    request_us=500.0,
    request_few_us=200.0,
    owner_request_us=100.0,
)


def test_cost_of_the_present_design():
    """Guards against arithmetic that differs from the page's text."""
    found = cost(Design(name="present"), UNIT)
    messages = 409 * 4
    assert found.heartbeat_bytes == messages * (100 + 360 * 10 + 176 * 20)
    assert found.held_bytes == 177 * 50 * 4
    assert found.wanted_demand_bytes == pytest.approx(7700 / 410 * 82 * 100)
    assert found.request_bytes == pytest.approx(8000 + 7700 / 410 * 250)
    assert found.message_share == pytest.approx(messages * (50 + 36 + 176) / 1e6)
    assert found.tick_share == pytest.approx((messages * (5 + 17.6) + 4 * 820) / 1e6)
    assert found.progress_share == pytest.approx(177 * 4 * 10 / 1e6)
    assert found.request_share == pytest.approx(7700 / 410 * 600 / 1e6)


def test_each_candidate_costs_no_more_than_the_one_before():
    """Guards against a candidate that loses a change of the one before."""
    costs = [cost(design, UNIT) for design in designs() if not design.name.startswith("2a")]
    assert all(later.bytes <= earlier.bytes for earlier, later in itertools.pairwise(costs))
    assert all(later.share <= earlier.share for earlier, later in itertools.pairwise(costs))


def test_block_of_a_page_is_replaced():
    """Guards against tables that pile up or text around them that is lost."""
    page = f"before\n{BEGIN_MARKER}\nold\n{END_MARKER}\nafter\n"
    once = replace_block(page, "new")
    assert once == f"before\n{BEGIN_MARKER}\n\nnew\n\n{END_MARKER}\nafter\n"
    assert replace_block(once, "new") == once
    with pytest.raises(ValueError, match="needs the lines"):
        replace_block("before", "new")


def test_every_axis_has_a_slope_when_the_time_is_over_at_once(monkeypatch):
    """Guards against a slow machine on which the command ends without the slopes that the page needs."""
    monkeypatch.setattr(capacity, "measure_repeatedly", lambda size: {"tick_us": float(size.members)})
    monkeypatch.setattr(capacity, "core_bytes", lambda size: float(size.customers))
    report = capacity.measure_capacity(0.0)
    assert report.slopes.keys() == capacity.AXES.keys()
    assert report.memory_slopes.keys() == capacity.MEMORY_AXES.keys()
    assert all("tick_us" in slopes for slopes in report.slopes.values())
    assert len(report.skipped) > len(capacity.AXES)
