"""Tests of the report of a measurement: its fields, its goals and its table."""

import json

import pytest

from limpetusher_standins.measure import FIGURE_NAMES, ordered_figures
from limpetusher_standins.measure_report import evaluate_goals, format_goals, format_table, write_report
from limpetusher_standins.measurement_phases import (
    FULL_DURATIONS,
    PUBLICATION_SECONDS,
    QUICK_DURATIONS,
    PolicyResult,
)

FIGURES_AT_GOALS = {
    "fairness_gap": 100.0,
    "fairness_bound": 1000.0,
    "utilisation": 0.97,
    "idle_while_waiting_s": 0.0,
    "control_bytes_per_s_per_router": 4000.0,
    "control_cpu_share": 0.01,
    "router_rss_mb": 50.0,
    "added_latency_ms_p50": 2.9,
    "added_latency_ms_p99": 9.0,
    "zone_change_errors": 0,
    "zone_change_late_dispatches": 0,
    "requests": 1000,
}
FIRST_COME_FIGURES = {**FIGURES_AT_GOALS, "fairness_gap": 500.0}


def policies(**changes: float) -> dict[str, dict[str, float]]:
    return {"chosen": {**FIGURES_AT_GOALS, **changes}, "first-come": FIRST_COME_FIGURES}


def test_figures_are_complete_and_in_order():
    """Guards against a report that lacks a figure or names it differently."""
    result = PolicyResult(figures=dict(reversed(FIGURES_AT_GOALS.items())))
    assert list(ordered_figures(result)) == list(FIGURE_NAMES) == list(FIGURES_AT_GOALS)
    del result.figures["utilisation"]
    with pytest.raises(KeyError, match="utilisation"):
        ordered_figures(result)


def test_goals_are_met_exactly_at_their_limits():
    """Guards against goals that are looser or tighter than those of the design page."""
    assert all(met for _, met in evaluate_goals(policies()))


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("fairness_gap", 100.1),
        ("fairness_bound", 100.0),
        ("utilisation", 0.9699),
        ("zone_change_errors", 1),
        ("zone_change_late_dispatches", 1),
        ("added_latency_ms_p50", 3.0),
    ],
)
def test_missed_goal_is_reported(name: str, value: float):
    """Guards against a missed goal that is reported as met."""
    found = evaluate_goals(policies(**{name: value}))
    assert [met for _, met in found].count(False) == 1
    assert (
        sum(line.startswith("MISSED small: ") for line in format_goals({"small": policies(**{name: value})}))
        == 1
    )


def test_table_has_each_figure_of_each_policy():
    """Guards against columns that are swapped or missing."""
    lines = format_table({"small": policies()}).splitlines()
    assert lines[0] == "| figure | small chosen | small first-come |"
    assert "| fairness_gap | 100.0 | 500.0 |" in lines
    assert len(lines) == 2 + len(FIGURES_AT_GOALS)


def test_report_page_has_plots(tmp_path):
    """Guards against links to plots that were not written, also for a policy without dispatches."""
    result = PolicyResult(
        figures=FIGURES_AT_GOALS,
        service={"a": [0.0, 1.0]},
        service_times=[0.0, 0.1],
        dispatches={"north": [-1.0, 8.0]},
        returned_at=7.0,
    )
    results = {"small": {"chosen": result, "first-come": PolicyResult(figures=FIRST_COME_FIGURES)}}
    page = write_report(results, {"small": policies()}, "a trial", tmp_path).read_text()
    assert "a trial" in page
    assert "](small.png)" in page
    assert (tmp_path / "small.png").read_bytes().startswith(b"\x89PNG")


@pytest.mark.parametrize("durations", [QUICK_DURATIONS, FULL_DURATIONS])
def test_data_centre_is_out_long_enough_to_see_late_dispatches(durations):
    """Guards against a run too short to contain a late dispatch."""
    assert durations.out_seconds > PUBLICATION_SECONDS + 1.0


def test_figures_can_be_printed_as_json():
    """Guards against figures that JSON can't represent."""
    assert json.loads(json.dumps(ordered_figures(PolicyResult(figures=FIGURES_AT_GOALS)))) == FIGURES_AT_GOALS
