"""Command `measure`: the chosen policy and two baselines under the same seeded load."""

import concurrent.futures
import json
import os
from dataclasses import dataclass
from pathlib import Path

from limpetusher_standins.deployment import CALOREDES, CONSORTIUM, with_baseline
from limpetusher_standins.measure_report import format_goals, format_table, write_report
from limpetusher_standins.measurement_phases import (
    FULL_DURATIONS,
    QUICK_DURATIONS,
    PhaseDurations,
    PolicyResult,
    measure_policy,
)
from limpetusher_standins.processes import set_parent_death_signal

RESULTS_FOLDER = Path("measurements")
CHOSEN = "chosen"
FIRST_COME = "first-come"
POLICIES = (CHOSEN, FIRST_COME, "fixed-split")
MEASURED_PLANS = {plan.name: plan for plan in (CONSORTIUM, CALOREDES)}
FIGURE_NAMES = (
    "fairness_gap",
    "fairness_bound",
    "utilisation",
    "idle_while_waiting_s",
    "control_bytes_per_s_per_router",
    "control_cpu_share",
    "router_rss_mb",
    "added_latency_ms_p50",
    "added_latency_ms_p99",
    "zone_change_errors",
    "zone_change_late_dispatches",
    "requests",
)
"""Names of the figures of each policy, in the order in which they are printed."""


@dataclass(frozen=True, slots=True)
class MeasurementJob:
    """One policy at one deployment."""

    deployment: str
    policy: str
    durations: PhaseDurations

    def run(self) -> PolicyResult:
        """Measure the policy."""
        plan = MEASURED_PLANS[self.deployment]
        if self.policy != CHOSEN:
            plan = with_baseline(plan, self.policy)
        return measure_policy(plan, self.durations)


def run_measure(*, quick: bool) -> int:
    """Measure all policies, print figures and goals, and last the figures as one JSON object.

    With `quick`, the deployments are measured at the same time, in a process each, to save time.
    """
    durations = QUICK_DURATIONS if quick else FULL_DURATIONS
    conditions = f"load average {os.getloadavg()[0]:.1f} at the start, {os.cpu_count()} processors"
    print(conditions, flush=True)
    jobs = [
        MeasurementJob(deployment, policy, durations) for policy in POLICIES for deployment in MEASURED_PLANS
    ]
    with concurrent.futures.ProcessPoolExecutor(
        len(MEASURED_PLANS) if quick else 1, initializer=set_parent_death_signal
    ) as pool:
        pending_jobs = [(job, pool.submit(job.run)) for job in jobs]
        results: dict[str, dict[str, PolicyResult]] = {name: {} for name in MEASURED_PLANS}
        for job, future in pending_jobs:
            result = results[job.deployment][job.policy] = future.result()
            print(
                f"{job.deployment} {job.policy}: errors {result.errors or 'none'}, "
                f"overloads of cold engines {result.overloads}",
                flush=True,
            )
    report = {
        name: {policy: ordered_figures(result) for policy, result in found.items()}
        for name, found in results.items()
    }
    RESULTS_FOLDER.mkdir(exist_ok=True)
    (RESULTS_FOLDER / "measure.json").write_text(json.dumps(report, indent=2))
    if not quick:
        print(f"report: {write_report(results, report, conditions, RESULTS_FOLDER)}")
    print(format_table(report))
    print("\n".join(format_goals(report)))
    print(json.dumps(report))
    return 0


def ordered_figures(result: PolicyResult) -> dict[str, float]:
    """Return the figures in the order of `FIGURE_NAMES`.

    Raises
    ------
    KeyError
        If a figure was not measured.
    """
    return {name: result.figures[name] for name in FIGURE_NAMES}
