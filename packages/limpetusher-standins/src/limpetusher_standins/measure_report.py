"""Markdown report of a measurement: table, goals and plots."""

from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetusher_standins.measurement_phases import PolicyResult

GOAL_GAP_RATIO = 5.0
"""Minimum ratio of the fairness gap under first come, first served to that of the chosen policy."""
GOAL_UTILISATION = 0.97
GOAL_DATA_CENTRE_CHANGE_ERRORS = 0
GOAL_LATE_DISPATCHES = 0
GOAL_ADDED_LATENCY_MS = 3.0
HISTOGRAM_BIN_SECONDS = 0.5

Report = dict[str, dict[str, dict[str, float]]]


def evaluate_goals(policies: dict[str, dict[str, float]]) -> list[tuple[str, bool]]:
    """Return a description of each goal (section 1.1 of the design page) and whether it is met."""
    chosen, first_come = policies["chosen"], policies["first-come"]
    gap, bound, first_come_gap = chosen["fairness_gap"], chosen["fairness_bound"], first_come["fairness_gap"]
    utilisation, added = chosen["utilisation"], chosen["added_latency_ms_p50"]
    errors, late = chosen["zone_change_errors"], chosen["zone_change_late_dispatches"]
    return [
        (f"gap {gap} below the bound {bound}", gap < bound),
        (
            f"gap {gap} x {GOAL_GAP_RATIO:g} at most {first_come_gap} (first come)",
            gap * GOAL_GAP_RATIO <= first_come_gap,
        ),
        (f"utilisation {utilisation} at least {GOAL_UTILISATION}", utilisation >= GOAL_UTILISATION),
        (f"errors {errors} at a data centre change: none", errors <= GOAL_DATA_CENTRE_CHANGE_ERRORS),
        (f"dispatches {late} later than 5 s: none", late <= GOAL_LATE_DISPATCHES),
        (f"added {added} ms at the median below {GOAL_ADDED_LATENCY_MS:g} ms", added < GOAL_ADDED_LATENCY_MS),
    ]


def format_goals(report: Report) -> list[str]:
    """Return a line for each goal."""
    return [
        f"{'met   ' if met else 'MISSED'} {deployment}: {text}"
        for deployment, policies in report.items()
        for text, met in evaluate_goals(policies)
    ]


def format_table(report: Report) -> str:
    """Return the figures as a Markdown table with a column for each deployment and policy."""
    columns = [(deployment, policy) for deployment, found in report.items() for policy in found]
    fields = list(report[columns[0][0]][columns[0][1]])
    lines = ["| figure | " + " | ".join(f"{deployment} {policy}" for deployment, policy in columns) + " |"]
    lines.append("| --- |" + " ---: |" * len(columns))
    for name in fields:
        values = [str(report[deployment][policy][name]) for deployment, policy in columns]
        lines.append(f"| {name} | " + " | ".join(values) + " |")
    return "\n".join(lines)


def write_report(
    results: "dict[str, dict[str, PolicyResult]]", report: Report, conditions: str, folder: Path
) -> Path:
    """Write table, goals and plots as a Markdown page and return its path."""
    parts = ["# Measurement", conditions, format_table(report), "## Goals"]
    parts.append("\n".join(f"- {line}" for line in format_goals(report)))
    for deployment, policies in results.items():
        name = f"{deployment}.png"
        plot_results(policies, folder / name)
        parts += [f"## {deployment}", f"![service and dispatches]({name})"]
        parts += [
            f"- {policy}: errors {result.errors or 'none'}; overloads {result.overloads}"
            for policy, result in policies.items()
        ]
    path = folder / "report.md"
    path.write_text("\n\n".join(parts) + "\n")
    return path


def plot_results(policies: "dict[str, PolicyResult]", path: Path) -> None:
    """Plot service per customer under flood and dispatches by data centre around the change."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, len(policies), figsize=(6 * len(policies), 9), squeeze=False)
    for column, (policy, result) in enumerate(policies.items()):
        upper, lower = axes[0][column], axes[1][column]
        for customer, values in result.service.items():
            upper.plot(result.service_times, values, linewidth=1, label=customer)
        upper.set(title=f"{policy}: one customer floods", xlabel="s", ylabel="service by share, cost units")
        if result.service:
            upper.legend(fontsize=6, ncols=2)
        times = [at for found in result.dispatches.values() for at in found]
        low, high = min(times, default=0.0), max(times, default=1.0)
        edges = [
            low + HISTOGRAM_BIN_SECONDS * index
            for index in range(int((high - low) / HISTOGRAM_BIN_SECONDS) + 2)
        ]
        for data_centre, found in sorted(result.dispatches.items()):
            lower.hist(found, bins=edges, histtype="step", label=data_centre)
        lower.axvline(0.0, color="black", linestyle="--", label="first data centre out")
        lower.axvline(result.returned_at, color="black", linestyle=":", label="returned")
        lower.set(
            title=f"{policy}: data centre change",
            xlabel="s",
            ylabel=f"dispatches in {HISTOGRAM_BIN_SECONDS} s",
        )
        lower.legend(fontsize=6)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
