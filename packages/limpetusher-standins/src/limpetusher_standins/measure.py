"""Command `measure`: the chosen policy and two baselines under the same seeded load."""

import concurrent.futures
import json
import os
from dataclasses import dataclass
from pathlib import Path

from limpetusher_standins.deployment import CALOREDES, CONSORTIUM, with_baseline
from limpetusher_standins.measure_report import goal_lines, table, write_report
from limpetusher_standins.phases import FULL, QUICK, Lengths, PolicyResult, measure_policy
from limpetusher_standins.processes import end_with_parent

RESULTS = Path("measurements")
CHOSEN = "chosen"
FIRST_COME = "first-come"
POLICIES = (CHOSEN, FIRST_COME, "fixed-split")
PLANS = {plan.name: plan for plan in (CONSORTIUM, CALOREDES)}
FIELDS = (
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
"""Figures of each policy, in the order in which they are printed."""


@dataclass(frozen=True, slots=True)
class Job:
    """One policy at one deployment."""

    deployment: str
    policy: str
    lengths: Lengths

    def run(self) -> PolicyResult:
        """Measure the policy."""
        plan = PLANS[self.deployment]
        if self.policy != CHOSEN:
            plan = with_baseline(plan, self.policy)
        return measure_policy(plan, self.lengths)


def run_measure(*, quick: bool) -> int:
    """Measure all policies, print the figures and the goals, and end with the figures as one JSON object.

    The short form measures both deployments at once, in processes of their own, to end in time.
    """
    lengths = QUICK if quick else FULL
    conditions = f"load average {os.getloadavg()[0]:.1f} at the start, {os.cpu_count()} processors"
    print(conditions, flush=True)
    jobs = [Job(deployment, policy, lengths) for policy in POLICIES for deployment in PLANS]
    with concurrent.futures.ProcessPoolExecutor(
        len(PLANS) if quick else 1, initializer=end_with_parent
    ) as pool:
        waiting = [(job, pool.submit(job.run)) for job in jobs]
        results: dict[str, dict[str, PolicyResult]] = {name: {} for name in PLANS}
        for job, future in waiting:
            result = results[job.deployment][job.policy] = future.result()
            print(
                f"{job.deployment} {job.policy}: not whole {result.errors or 'none'}, "
                f"overloads of cold engines {result.overloads}",
                flush=True,
            )
    report = {
        name: {policy: named(result) for policy, result in found.items()} for name, found in results.items()
    }
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "measure.json").write_text(json.dumps(report, indent=2))
    if not quick:
        print(f"report: {write_report(results, report, conditions, RESULTS)}")
    print(table(report))
    print("\n".join(goal_lines(report)))
    print(json.dumps(report))
    return 0


def named(result: PolicyResult) -> dict[str, float]:
    """Return the figures in the order of `FIELDS`.

    Raises
    ------
    KeyError
        If a figure was not measured.
    """
    return {name: result.figures[name] for name in FIELDS}
