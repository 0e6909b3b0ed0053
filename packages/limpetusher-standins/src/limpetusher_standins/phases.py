"""Phases of a measurement: load on one fleet, and the figures and series taken from it."""

import asyncio
import contextlib
import re
import time
from collections import Counter
from dataclasses import dataclass, field, replace

from limpetusher_standins import figures
from limpetusher_standins.caller import Outcome
from limpetusher_standins.calls import call
from limpetusher_standins.deployment import CONSORTIUM, DeploymentPlan
from limpetusher_standins.fleet import PLATFORM, Fleet
from limpetusher_standins.load import LoadRun, LoadSettings, percentiles, run_load
from limpetusher_standins.process_usage import processor_seconds, resident_bytes

LOOPBACK_DELAY_SECONDS = 0.001
MOST_TOKENS = 80
PROMPT_SENTENCES = 20
LARGEST_COST = MOST_TOKENS + figures.PROMPT_TOKEN_COST * PROMPT_SENTENCES * 20
"""No sentence of the load's prompts has more than 20 tokens."""
WORKERS_PER_SHARE = 8
"""Open requests of a customer by unit of share; above its part of the slots, so that all are backlogged."""
FLOOD_FACTOR = 25.0
"""With 8 requests by unit of share, the flooding customer has 200 open requests at once."""
PUBLICATION_SECONDS = 5.0
"""Time after a publication until which a data centre that is out may receive new work."""
WARM_MARGIN_SECONDS = 1.0
SETTLE_SECONDS = 1.5
"""Longest answer of the load, which must end before figures at half load are taken."""
CONTROL_RAMP_SECONDS = 1.0
BYTES_PATTERN = re.compile(r'^limpetusher_peer_bytes_total{direction="sent"} (\S+)', re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Lengths:
    """Durations in seconds."""

    ramp: float
    """Time under flood until figures are taken. The limit of a target that was cold doubles twice in it."""
    flood: float
    control: float
    half_load: float
    out: float
    """Time from taking a data centre out to returning it; longer than `PUBLICATION_SECONDS`."""
    returned: float
    direct: float


FULL = Lengths(ramp=5.0, flood=22.0, control=8.0, half_load=14.0, out=10.0, returned=6.0, direct=8.0)
QUICK = Lengths(ramp=3.5, flood=5.0, control=2.5, half_load=4.0, out=6.5, returned=1.5, direct=3.0)


@dataclass(slots=True)
class PolicyResult:
    """Figures of one policy at one deployment, and the series that the plots show."""

    figures: dict[str, float] = field(default_factory=dict)
    errors: dict[str, int] = field(default_factory=dict)
    """Answers that were not whole, in all phases, by outcome and code."""
    overloads: int = 0
    """Cold engines that received more than they can bear."""
    service: dict[str, list[float]] = field(default_factory=dict)
    """Service by share of each customer while one floods, at the times in `service_times`."""
    service_times: list[float] = field(default_factory=list)
    dispatches: dict[str, list[float]] = field(default_factory=dict)
    """Times of dispatches by data centre; 0 is when the first one was taken out of service."""
    returned_at: float = 0.0


def measure_policy(plan: DeploymentPlan, lengths: Lengths) -> PolicyResult:
    """Start a fleet, take it through all phases and compute the figures."""
    result = PolicyResult()
    with Fleet(plan) as fleet:
        time.sleep(plan.cold_seconds + WARM_MARGIN_SECONDS)
        flood = measure_flood(fleet, lengths, result)
        control = asyncio.run(measure_control(fleet, lengths, result))
        time.sleep(SETTLE_SECONDS)
        half = measure_zone_change(fleet, lengths, result)
        result.overloads = sum(len(record["overloads"]) for record in fleet.records("engine").values())
    runs = (flood, control, half)
    result.figures["requests"] = sum(run.started for run in runs)
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
    """Return a closed loop in which all customers are backlogged and one floods."""
    return LoadSettings(
        seconds=seconds,
        workers=WORKERS_PER_SHARE,
        workers_by_share=True,
        flood_factor=FLOOD_FACTOR,
        application_fraction=0.0,
        stream_fraction=0.5,
        most_tokens=MOST_TOKENS,
        most_prompt_sentences=PROMPT_SENTENCES,
        abandon_open=True,
    )


def caller_addresses(fleet: Fleet) -> list[str]:
    """Return the addresses of all routers for callers."""
    return [host.caller_address for host in fleet.routers.values()]


def router_processes(fleet: Fleet, names: list[str]) -> list[int]:
    """Return the process ids of routers."""
    return [fleet.processes[name].process.pid for name in names]


def sent_bytes(fleet: Fleet) -> float:
    """Return the bytes that the routers have sent to each other; 0 for routers without messages."""
    if fleet.plan.router_program != CONSORTIUM.router_program:
        return 0.0
    texts = [call(host.admin_address, "GET", "/metrics").body.decode() for host in fleet.routers.values()]
    return sum(float(found.group(1)) for found in map(BYTES_PATTERN.search, texts) if found)


def measure_flood(fleet: Fleet, lengths: Lengths, result: PolicyResult) -> LoadRun:
    """Measure gap, utilisation, idle slots and control traffic while all customers wait and one floods."""
    plan, settings = fleet.plan, flood_settings(lengths.ramp + lengths.flood)
    sent, counted_at, began = sent_bytes(fleet), time.monotonic(), time.time()
    run = asyncio.run(run_load(plan, fleet.customers, caller_addresses(fleet), settings))
    traffic = (sent_bytes(fleet) - sent) / (time.monotonic() - counted_at) / plan.routers
    memory = max(map(resident_bytes, router_processes(fleet, list(fleet.routers))))
    begin, end = began + lengths.ramp, began + settings.seconds
    records = fleet.records("engine")
    work = figures.intervals(records, time.time())
    tokens = sum(i.cost * (i.share_before(end) - i.share_before(begin)) for i in work) / (end - begin)
    size = {"engines": plan.engines, "slots": plan.slots, "begin": begin, "end": end}
    bound = figures.fairness_bound(
        exchange_seconds=figures.EXCHANGE_SECONDS,
        delay_seconds=LOOPBACK_DELAY_SECONDS,
        tokens_per_second=tokens,
        slots=plan.engines * plan.slots,
        owners=plan.routers,
        largest_cost=LARGEST_COST,
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
        customer.customer_id: figures.service_by_share(work, customer, begin, end)
        for customer in fleet.customers
    }
    return run


async def measure_control(fleet: Fleet, lengths: Lengths, result: PolicyResult) -> LoadRun:
    """Measure the processor time that routers spend on control, apart from relaying.

    The backlog is the same as under flood, but one router of each data centre gets no callers. It relays
    nothing, so its processor time is that of heartbeats, demands, grants, load reports and its own loop. The
    figure is the mean over these routers, as some of them own more targets than others.
    """
    names = list(fleet.routers)
    silent = names[-len(fleet.plan.data_centres) :]
    others = [fleet.routers[name].caller_address for name in names if name not in silent]
    settings = flood_settings(CONTROL_RAMP_SECONDS + lengths.control)
    load = asyncio.create_task(run_load(fleet.plan, fleet.customers, others, settings))
    await asyncio.sleep(CONTROL_RAMP_SECONDS)
    processes, began = router_processes(fleet, silent), time.monotonic()
    used = sum(map(processor_seconds, processes))
    await asyncio.sleep(lengths.control - 0.1)
    used, seconds = sum(map(processor_seconds, processes)) - used, time.monotonic() - began
    result.figures["control_cpu_share"] = round(used / seconds / len(silent), 4)
    return await load


def half_load(plan: DeploymentPlan, seconds: float) -> LoadSettings:
    """Return an open load of about half the engines' capacity, evenly over the customers."""
    base = LoadSettings(seconds=seconds, flood_factor=1.0, application_fraction=0.0)
    tokens = (base.least_tokens + base.most_tokens) / 2 * 0.75
    step = 0.02 * (1 + 0.06 * (plan.slots - 1))
    capacity = plan.engines * plan.slots / step / tokens
    return replace(base, open_loop_rate=capacity / 2 / plan.customers)


def measure_zone_change(fleet: Fleet, lengths: Lengths, result: PolicyResult) -> LoadRun:
    """Measure the added latency at half load, and the service while a data centre leaves and returns."""
    out = fleet.plan.data_centres[0]
    routed, left, returned, changed_at = asyncio.run(change_zone(fleet, out, lengths))
    engines = [host.address for host in fleet.targets.values() if host.target_class == "engine"]
    direct = asyncio.run(
        run_load(fleet.plan, fleet.customers, engines, half_load(fleet.plan, lengths.direct))
    )
    records = fleet.records("engine")
    versions = {entry["version"]: entry["at"] for entry in fleet.record(PLATFORM)["versions"]}
    arrived = {
        entry["request_id"]: entry["started"] for record in records.values() for entry in record["requests"]
    }
    routed_times = percentiles(arrival_seconds(routed, arrived, changed_at))
    direct_times = percentiles(arrival_seconds(direct, arrived, time.time()))
    began = changed_at - lengths.half_load
    for host in fleet.targets.values():
        for entry in records.get(host.host_id, {"requests": ()})["requests"]:
            if began <= entry["started"] <= began + lengths.half_load + lengths.out + lengths.returned:
                result.dispatches.setdefault(host.data_centre, []).append(entry["started"] - versions[left])
    result.returned_at = versions[returned] - versions[left]
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


async def change_zone(fleet: Fleet, out: str, lengths: Lengths) -> tuple[LoadRun, int, int, float]:
    """Take a data centre out of service under half load and return it; also give the time of the change."""
    settings = half_load(fleet.plan, lengths.half_load + lengths.out + lengths.returned)
    load = asyncio.create_task(run_load(fleet.plan, fleet.customers, caller_addresses(fleet), settings))
    try:
        await asyncio.sleep(lengths.half_load)
        changed_at = time.time()
        left = await asyncio.to_thread(fleet.set_out, out)
        await asyncio.sleep(lengths.out)
        returned = await asyncio.to_thread(fleet.set_out)
        return await load, left, returned, changed_at
    finally:
        load.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await load
