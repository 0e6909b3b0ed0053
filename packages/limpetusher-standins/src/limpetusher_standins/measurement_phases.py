"""Phases of a measurement: load on one fleet, and the figures and series taken from it."""

import asyncio
import contextlib
import re
import time
from collections import Counter
from dataclasses import dataclass, field, replace

from limpetusher_standins import figures
from limpetusher_standins.blocking_http import call
from limpetusher_standins.caller import Outcome
from limpetusher_standins.deployment import CONSORTIUM, DeploymentPlan
from limpetusher_standins.fleet import PLATFORM, Fleet
from limpetusher_standins.load_generator import LoadRun, LoadSettings, percentiles, run_load
from limpetusher_standins.process_usage import cpu_seconds, resident_bytes

LOOPBACK_DELAY_SECONDS = 0.001
MAXIMUM_TOKENS = 80
MAXIMUM_PROMPT_SENTENCES = 20
LARGEST_REQUEST_COST = MAXIMUM_TOKENS + figures.PROMPT_TOKEN_COST * MAXIMUM_PROMPT_SENTENCES * 20
"""No sentence of the load's prompts has more than 20 tokens."""
WORKERS_PER_SHARE = 8
"""Open requests of a customer per unit of share; above its part of the slots, so that all are backlogged."""
FLOOD_FACTOR = 25.0
"""With 8 requests per unit of share, the flooding customer has 200 open requests at once."""
PUBLICATION_SECONDS = 5.0
"""Time after the publication within which a data centre taken out of service may still receive new work."""
WARM_MARGIN_SECONDS = 1.0
LONGEST_ANSWER_SECONDS = 1.5
"""Upper bound of the duration of an answer; the measurement at half load starts after it."""
CONTROL_RAMP_SECONDS = 1.0
BYTES_PATTERN = re.compile(r'^limpetusher_peer_bytes_total{direction="sent"} (\S+)', re.MULTILINE)


@dataclass(frozen=True, slots=True)
class PhaseDurations:
    """Durations of the phases of a measurement."""

    ramp_seconds: float
    """Time under flood before the measurement, in which the limit of a target that was cold doubles twice."""
    flood_seconds: float
    control_seconds: float
    half_load_seconds: float
    out_seconds: float
    """Time from taking a data centre out to returning it; longer than `PUBLICATION_SECONDS`."""
    returned_seconds: float
    direct_seconds: float


FULL_DURATIONS = PhaseDurations(
    ramp_seconds=5.0,
    flood_seconds=22.0,
    control_seconds=8.0,
    half_load_seconds=14.0,
    out_seconds=10.0,
    returned_seconds=6.0,
    direct_seconds=8.0,
)
QUICK_DURATIONS = PhaseDurations(
    ramp_seconds=3.5,
    flood_seconds=5.0,
    control_seconds=2.5,
    half_load_seconds=4.0,
    out_seconds=6.5,
    returned_seconds=1.5,
    direct_seconds=3.0,
)


@dataclass(slots=True)
class PolicyResult:
    """Figures of one policy at one deployment, and the series that the plots show."""

    figures: dict[str, float] = field(default_factory=dict)
    errors: dict[str, int] = field(default_factory=dict)
    """Number of requests without a complete answer, in all phases, by outcome and code."""
    overloads: int = 0
    """Overloads of cold engines."""
    service: dict[str, list[float]] = field(default_factory=dict)
    """Service per unit of share of each customer while one floods, at the times in `service_times`."""
    service_times: list[float] = field(default_factory=list)
    dispatches: dict[str, list[float]] = field(default_factory=dict)
    """Times of dispatches by data centre; 0 is when the first one was taken out of service."""
    returned_at: float = 0.0


def measure_policy(plan: DeploymentPlan, durations: PhaseDurations) -> PolicyResult:
    """Start a fleet, run all phases on it and compute the figures."""
    result = PolicyResult()
    with Fleet(plan) as fleet:
        time.sleep(plan.cold_seconds + WARM_MARGIN_SECONDS)
        flood = measure_flood(fleet, durations, result)
        control = asyncio.run(measure_control_cpu(fleet, durations, result))
        time.sleep(LONGEST_ANSWER_SECONDS)
        half_load_run = measure_data_centre_change(fleet, durations, result)
        result.overloads = sum(len(record["overloads"]) for record in fleet.fetch_records("engine").values())
    runs = (flood, control, half_load_run)
    result.figures["requests"] = sum(run.started_requests for run in runs)
    result.errors = dict(
        Counter(
            f"{answer.outcome} {answer.code or answer.status or answer.detail}"
            for run in runs
            for answer in run.results
            if answer.outcome != Outcome.WHOLE
        )
    )
    return result


def flood_settings(seconds: float) -> LoadSettings:
    """Return the settings of a closed loop in which all customers are backlogged and one floods."""
    return LoadSettings(
        seconds=seconds,
        workers=WORKERS_PER_SHARE,
        workers_by_share=True,
        flood_factor=FLOOD_FACTOR,
        application_fraction=0.0,
        stream_fraction=0.5,
        most_tokens=MAXIMUM_TOKENS,
        most_prompt_sentences=MAXIMUM_PROMPT_SENTENCES,
        abandon_open=True,
    )


def caller_addresses(fleet: Fleet) -> list[str]:
    """Return the addresses of all routers for callers."""
    return [host.caller_address for host in fleet.routers.values()]


def router_process_ids(fleet: Fleet, names: list[str]) -> list[int]:
    """Return the process ids of routers."""
    return [fleet.processes[name].process.pid for name in names]


def sent_bytes(fleet: Fleet) -> float:
    """Return the bytes that the routers have sent to each other; 0 for baseline routers, which send none."""
    if fleet.plan.router_program != CONSORTIUM.router_program:
        return 0.0
    texts = [call(host.admin_address, "GET", "/metrics").body.decode() for host in fleet.routers.values()]
    return sum(float(found.group(1)) for found in map(BYTES_PATTERN.search, texts) if found)


def measure_flood(fleet: Fleet, durations: PhaseDurations, result: PolicyResult) -> LoadRun:
    """Measure gap, utilisation, idle slots and control traffic under flood, with all customers backlogged."""
    plan, settings = fleet.plan, flood_settings(durations.ramp_seconds + durations.flood_seconds)
    sent, counted_at, began = sent_bytes(fleet), time.monotonic(), time.time()
    run = asyncio.run(run_load(plan, fleet.customers, caller_addresses(fleet), settings))
    traffic = (sent_bytes(fleet) - sent) / (time.monotonic() - counted_at) / plan.routers
    memory = max(map(resident_bytes, router_process_ids(fleet, list(fleet.routers))))
    begin, end = began + durations.ramp_seconds, began + settings.seconds
    records = fleet.fetch_records("engine")
    work = figures.service_intervals(records, time.time())
    tokens = sum(i.cost * (i.served_fraction(end) - i.served_fraction(begin)) for i in work) / (end - begin)
    size = {"engines": plan.engines, "slots": plan.slots, "begin": begin, "end": end}
    bound = figures.fairness_bound(
        exchange_seconds=figures.EXCHANGE_INTERVAL_SECONDS,
        delay_seconds=LOOPBACK_DELAY_SECONDS,
        tokens_per_second=tokens,
        slots=plan.engines * plan.slots,
        owners=plan.routers,
        largest_cost=LARGEST_REQUEST_COST,
        smallest_share=min(customer.share for customer in fleet.customers),
    )
    waiting = figures.waiting_spans(run, records)
    result.figures |= {
        "fairness_gap": round(figures.fairness_gap(work, fleet.customers, begin, end), 1),
        "fairness_bound": round(bound, 1),
        "utilisation": round(figures.utilisation(work, **size), 4),
        "idle_while_waiting_s": round(figures.idle_while_waiting(work, waiting, **size), 3),
        "control_bytes_per_s_per_router": round(traffic, 1),
        "router_rss_mb": round(memory / 1e6, 1),
    }
    result.service_times = [at - begin for at in figures.sample_times(begin, end)]
    result.service = {
        customer.customer_id: figures.service_per_share(work, customer, begin, end)
        for customer in fleet.customers
    }
    return run


async def measure_control_cpu(fleet: Fleet, durations: PhaseDurations, result: PolicyResult) -> LoadRun:
    """Measure the CPU time that routers spend on control, apart from relaying.

    The backlog is the same as under flood, but one router of each data centre gets no callers. It relays
    nothing, so its CPU time is that of heartbeats, demands, grants, load reports and its event loop. The
    figure is the mean over these routers, as some of them own more targets than others.
    """
    names = list(fleet.routers)
    routers_without_callers = names[-len(fleet.plan.data_centres) :]
    others = [fleet.routers[name].caller_address for name in names if name not in routers_without_callers]
    settings = flood_settings(CONTROL_RAMP_SECONDS + durations.control_seconds)
    load = asyncio.create_task(run_load(fleet.plan, fleet.customers, others, settings))
    await asyncio.sleep(CONTROL_RAMP_SECONDS)
    processes, began = router_process_ids(fleet, routers_without_callers), time.monotonic()
    used = sum(map(cpu_seconds, processes))
    await asyncio.sleep(durations.control_seconds - 0.1)
    used, seconds = sum(map(cpu_seconds, processes)) - used, time.monotonic() - began
    result.figures["control_cpu_share"] = round(used / seconds / len(routers_without_callers), 4)
    return await load


def half_load_settings(plan: DeploymentPlan, seconds: float) -> LoadSettings:
    """Return the settings of an open loop at about half the engines' capacity, spread evenly."""
    base = LoadSettings(seconds=seconds, flood_factor=1.0, application_fraction=0.0)
    tokens = (base.least_tokens + base.most_tokens) / 2 * 0.75
    step = 0.02 * (1 + 0.06 * (plan.slots - 1))
    capacity = plan.engines * plan.slots / step / tokens
    return replace(base, open_loop_rate=capacity / 2 / plan.customers)


def measure_data_centre_change(fleet: Fleet, durations: PhaseDurations, result: PolicyResult) -> LoadRun:
    """Measure the added latency at half load, and the service while a data centre leaves and returns."""
    out = fleet.plan.data_centres[0]
    routed, out_version, return_version, changed_at = asyncio.run(change_data_centre(fleet, out, durations))
    engines = [host.address for host in fleet.targets.values() if host.target_class == "engine"]
    direct = asyncio.run(
        run_load(
            fleet.plan, fleet.customers, engines, half_load_settings(fleet.plan, durations.direct_seconds)
        )
    )
    records = fleet.fetch_records("engine")
    versions = {entry["version"]: entry["at"] for entry in fleet.fetch_record(PLATFORM)["versions"]}
    arrived = {
        entry["request_id"]: entry["started"] for record in records.values() for entry in record["requests"]
    }
    routed_times = percentiles(arrival_seconds(routed, arrived, changed_at))
    direct_times = percentiles(arrival_seconds(direct, arrived, time.time()))
    began = changed_at - durations.half_load_seconds
    for host in fleet.targets.values():
        for entry in records.get(host.host_id, {"requests": ()})["requests"]:
            if (
                began
                <= entry["started"]
                <= began + durations.half_load_seconds + durations.out_seconds + durations.returned_seconds
            ):
                result.dispatches.setdefault(host.data_centre, []).append(
                    entry["started"] - versions[out_version]
                )
    result.returned_at = versions[return_version] - versions[out_version]
    late = [at for at in result.dispatches.get(out, ()) if PUBLICATION_SECONDS < at < result.returned_at]
    result.figures |= {
        "added_latency_ms_p50": round((routed_times["p50"] - direct_times["p50"]) * 1000, 2),
        "added_latency_ms_p99": round((routed_times["p99"] - direct_times["p99"]) * 1000, 2),
        "zone_change_errors": sum(answer.outcome != Outcome.WHOLE for answer in routed.results),
        "zone_change_late_dispatches": len(late),
    }
    return routed


def arrival_seconds(run: LoadRun, arrived: dict[str, float], before: float) -> list[float]:
    """Return the times from sending to arrival at an engine, of requests sent before a time."""
    return [
        arrived[result.request_id] - result.started_wall
        for result in run.results
        if result.request_id in arrived and result.started_wall < before
    ]


async def change_data_centre(
    fleet: Fleet, out: str, durations: PhaseDurations
) -> tuple[LoadRun, int, int, float]:
    """Take a data centre out of service and back in under half load.

    Return the run, the configuration versions of both changes, and the wall-clock time of the first.
    """
    settings = half_load_settings(
        fleet.plan, durations.half_load_seconds + durations.out_seconds + durations.returned_seconds
    )
    load = asyncio.create_task(run_load(fleet.plan, fleet.customers, caller_addresses(fleet), settings))
    try:
        await asyncio.sleep(durations.half_load_seconds)
        changed_at = time.time()
        out_version = await asyncio.to_thread(fleet.set_out_of_service, out)
        await asyncio.sleep(durations.out_seconds)
        return_version = await asyncio.to_thread(fleet.set_out_of_service)
        return await load, out_version, return_version, changed_at
    finally:
        load.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await load
