"""Command `capacity`: slopes of the decision core's cost by size, in one process without sockets."""

import gc
import json
import os
import statistics
import time
import tracemalloc
from dataclasses import dataclass, field, replace
from pathlib import Path

from limpetusher_standins.capacity_model import UnitCosts, design_table, message_sizes
from limpetusher_standins.capacity_roles import measure_configuration, role_table
from limpetusher_standins.capacity_world import World, WorldSize

BEGIN_MARKER = "<!-- tables of the capacity command: begin -->"
END_MARKER = "<!-- tables of the capacity command: end -->"
BUDGET_SECONDS = 240.0
"""Time after which no further size is measured; the command ends in about four minutes."""
INTERVALS = 16
REQUESTS = 80
REPEATS = 3
SLOPE_SIZES = 2
"""Sizes measured on each axis however long it takes, because a slope needs them."""
BASE = WorldSize()
TARGET = WorldSize(
    members=410,
    customers=3600,
    backlogged=360,
    changed=176,
    targets=820,
    running=177,
    requests_per_second=18.8,
    slots=88,
)
"""A router at the target size: 7,700 requests/s and 72,600 streams over 410 routers (docs/CAPACITY.md)."""
AXES: dict[str, tuple[float, ...]] = {
    "members": (12, 24, 72, 144, 288),
    "backlogged": (10, 40, 120, 240, 360),
    "changed": (4, 44, 88, 176),
    "targets": (24, 48, 192, 820),
    "running": (16, 44, 88, 177),
    "requests_per_second": (8, 20, 40, 80),
}
AXIS_BASES = {"changed": replace(BASE, backlogged=TARGET.backlogged)}
"""Sizes that stay the same on an axis, where they differ from the base."""
MEMORY_AXES: dict[str, tuple[int, ...]] = {
    "customers": (200, 400, 1200, 3600),
    "members": (12, 24, 72, 144),
    "targets": (24, 48, 192, 820),
    "running": (0, 44, 88, 177),
}


@dataclass(slots=True)
class CapacityReport:
    """Figures by size on each axis, their slopes, and the figures at the target size."""

    figures: dict[str, dict[float, dict[str, float]]] = field(default_factory=dict)
    slopes: dict[str, dict[str, float]] = field(default_factory=dict)
    memory: dict[str, dict[int, float]] = field(default_factory=dict)
    memory_slopes: dict[str, float] = field(default_factory=dict)
    bare: dict[str, float] = field(default_factory=dict)
    """Figures with heartbeats that list one waiting customer and no charge."""
    target: dict[str, float] = field(default_factory=dict)
    skipped: list[str] = field(default_factory=list)
    conditions: str = ""

    def document(self) -> dict:
        """Return the report as a JSON document."""
        return {
            "conditions": self.conditions,
            "figures": {
                axis: {str(size): row for size, row in rows.items()} for axis, rows in self.figures.items()
            },
            "slopes": self.slopes,
            "memory_bytes": {
                axis: {str(size): n for size, n in rows.items()} for axis, rows in self.memory.items()
            },
            "memory_slopes": self.memory_slopes,
            "bare": self.bare,
            "target": self.target,
            "skipped": self.skipped,
        }


def run_capacity(page: Path | None = None) -> int:
    """Measure, print the tables that docs/CAPACITY.md includes, and end with one JSON object.

    The tables replace those in `page` if one is given.
    """
    report = measure_capacity(BUDGET_SECONDS)
    unit = unit_costs(report)
    roles = role_table(unit, report.target, report.memory_slopes, measure_configuration())
    text = "\n\n".join((roles, design_table(unit, report.target), markdown(report)))
    print(text)
    if page is not None:
        page.write_text(replace_block(page.read_text(), text))
    print(json.dumps(report.document()))
    return 0


def measure_capacity(budget_seconds: float) -> CapacityReport:
    """Measure the target size, then the axes from the base size; further sizes only while there is time."""
    began = time.monotonic()
    report = CapacityReport()
    report.conditions = f"load average {os.getloadavg()[0]:.1f} at the start, {os.cpu_count()} processors"
    report.target = measure_repeatedly(TARGET)
    report.bare = measure_repeatedly(replace(BASE, backlogged=1, changed=0))
    report.target["allocated_mb"] = round(core_bytes(TARGET) / 1e6, 1)
    for axis, sizes in AXES.items():
        rows = report.figures.setdefault(axis, {})
        for size in sizes:
            if len(rows) >= SLOPE_SIZES and time.monotonic() - began > budget_seconds:
                report.skipped.append(f"{axis} {size}")
                continue
            rows[size] = measure_repeatedly(replace(AXIS_BASES.get(axis, BASE), **{axis: size}))
        report.slopes[axis] = slopes(rows)
    for axis, sizes in MEMORY_AXES.items():
        found = report.memory.setdefault(axis, {})
        for size in sizes:
            if len(found) >= SLOPE_SIZES and time.monotonic() - began > budget_seconds:
                report.skipped.append(f"memory {axis} {size}")
                continue
            found[size] = core_bytes(replace(BASE, **{axis: size}))
        report.memory_slopes[axis] = slope(list(found), list(found.values()))
    return report


def measure_repeatedly(size: WorldSize) -> dict[str, float]:
    """Return the figures at one size, with the least processor time of a few runs.

    Other processes and a lower clock rate can only add processor time.
    """
    runs = [measure(size) for _ in range(REPEATS)]
    return {
        name: min(run[name] for run in runs) if name.endswith("_us") else value
        for name, value in runs[0].items()
    }


def measure(size: WorldSize) -> dict[str, float]:
    """Return the cost of each kind of input at one size: processor microseconds and bytes."""
    world = World(size)
    world.add_backlog()
    world.running = world.run_requests(size.running)
    # The costs of steady work only: what was noted so far belongs to the build-up.
    world.samples.__init__()
    for _ in range(INTERVALS):
        world.exchange()
        world.progress()
    ticks = world.samples
    figures = {
        "tick_us": ticks.median("tick"),
        "heartbeat_received_us": ticks.median("heartbeat"),
        "heartbeat_encode_us": ticks.median("encode Heartbeat"),
        "heartbeat_decode_us": ticks.median("decode Heartbeat"),
        "heartbeat_bytes": ticks.mean_size("Heartbeat"),
        "demands_per_tick": ticks.messages["Demand"] / INTERVALS,
        "progress_us": ticks.median("progress") if world.running else 0.0,
    }
    world.samples.__init__()
    count = max(1, round(size.requests_per_second * world.core.context.settings.exchange_interval_seconds))
    repeats = max(1, round(REQUESTS / count))
    done = 0
    for _ in range(repeats):
        requests = world.run_requests(count)
        world.end(requests)
        done += len(requests)
        world.exchange()
    requests = world.samples
    parts = ("arrival", "spread", "grant", "started", "end")
    figures |= {
        "request_us": sum(sum(requests.microseconds.get(part, ())) for part in parts) / max(1, done),
        "demand_bytes": requests.mean_size("Demand"),
        "demands_per_request": requests.messages["Demand"] / max(1, done),
        "release_bytes": requests.mean_size("Release"),
    }
    world.samples.__init__()
    world.serve_peers(REQUESTS)
    world.report_loads(running=size.slots)
    world.witness(REQUESTS)
    owner = world.samples.microseconds.get("release and grant")
    figures["owner_request_us"] = statistics.median(owner) if owner else 0.0
    for name, sample in (("load_report_us", "load report"), ("witness_us", "witness")):
        figures[name] = world.samples.median(sample) if sample in world.samples.microseconds else 0.0
    return {name: round(value, 2) for name, value in figures.items()}


def unit_costs(report: CapacityReport) -> UnitCosts:
    """Return the costs by message and by entry that the designs are worked out from."""
    owner_request = report.figures["members"][BASE.members]["owner_request_us"]
    waiting, changed = report.slopes["backlogged"], report.slopes["changed"]
    steps = ("heartbeat_received_us", "heartbeat_encode_us", "heartbeat_decode_us")
    by_waiting = sum(waiting[step] for step in steps)
    by_charge = sum(changed[step] for step in steps)
    by_peer, by_target = report.slopes["members"]["tick_us"], report.slopes["targets"]["tick_us"]
    by_peer_at_target = (report.target["tick_us"] - by_target * TARGET.targets) / (TARGET.members - 1)
    by_peer_and_charge = (by_peer_at_target - by_peer) / (TARGET.changed - BASE.changed)
    return UnitCosts(
        sizes=message_sizes(),
        message_us=sum(report.bare[step] for step in steps),
        waiting_us=by_waiting,
        charge_us=by_charge,
        tick_peer_us=by_peer - by_peer_and_charge * BASE.changed,
        tick_charge_us=by_peer_and_charge,
        tick_target_us=by_target,
        progress_us=report.target["progress_us"],
        request_us=report.target["request_us"],
        request_few_us=report.figures["targets"][min(AXES["targets"])]["request_us"],
        owner_request_us=owner_request,
    )


def replace_block(text: str, block: str) -> str:
    """Return a page with the text between its two markers replaced.

    Raises
    ------
    ValueError
        If the page has no markers.
    """
    head, begin, rest = text.partition(BEGIN_MARKER)
    _, end, tail = rest.partition(END_MARKER)
    if not begin or not end:
        raise ValueError(f"the page needs the lines {BEGIN_MARKER!r} and {END_MARKER!r}")
    return f"{head}{begin}\n\n{block}\n\n{end}{tail}"


def core_bytes(size: WorldSize) -> float:
    """Return the bytes that Python has allocated for one core and its peers' messages after an exchange."""
    gc.collect()
    tracemalloc.start()
    try:
        world = World(size)
        world.running = world.run_requests(size.running)
        world.samples.__init__()
        gc.collect()
        return tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


def slope(sizes: list[float], values: list[float]) -> float:
    """Return the least-squares slope of values by size."""
    return statistics.linear_regression(sizes, values).slope


def slopes(rows: dict[float, dict[str, float]]) -> dict[str, float]:
    """Return the slope of each figure; nothing when there are fewer than two sizes."""
    if len(rows) < 2:
        return {}
    names = next(iter(rows.values()))
    return {name: round(slope(list(rows), [row[name] for row in rows.values()]), 4) for name in names}


def markdown(report: CapacityReport) -> str:
    """Return the tables of docs/CAPACITY.md: figures by size, their slopes, memory, and the target size."""
    lines = [f"Conditions: {report.conditions}.", ""]
    for axis, rows in report.figures.items():
        sizes = list(rows)
        lines += [f"By `{axis}`:", ""]
        lines.append(f"| figure | {' | '.join(map(str, sizes))} | slope | at target size |")
        lines.append("| --- |" + " ---: |" * (len(sizes) + 2))
        for name in next(iter(rows.values()), ()):
            values = " | ".join(str(rows[size][name]) for size in sizes)
            lines.append(
                f"| {name} | {values} | {report.slopes[axis].get(name, '-')} | {report.target[name]} |"
            )
        lines.append("")
    lines += [
        "Bytes allocated (tracemalloc):",
        "",
        "| axis | bytes by size | bytes by unit |",
        "| --- | --- | ---: |",
    ]
    for axis, found in report.memory.items():
        sizes = ", ".join(f"{size}: {value:,.0f}" for size, value in found.items())
        lines.append(f"| {axis} | {sizes} | {report.memory_slopes.get(axis, 0.0):,.0f} |")
    if report.skipped:
        lines += ["", f"Not measured for lack of time: {', '.join(report.skipped)}."]
    return "\n".join(lines)
