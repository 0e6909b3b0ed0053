"""Command `measure`: the chosen policy and two baselines under the same seeded load."""

import asyncio
import json
import re
import statistics
import time
from dataclasses import dataclass, replace
from pathlib import Path

from limpetusher_standins import figures
from limpetusher_standins.audit import audit
from limpetusher_standins.calls import call
from limpetusher_standins.deployment import CONSORTIUM, DeploymentPlan, with_baseline
from limpetusher_standins.fleet import PLATFORM, Fleet
from limpetusher_standins.load import LoadRun, LoadSettings, percentiles, run_load, summarise

RESULTS = Path("measurements")
CHOSEN = "chosen"
POLICIES = (CHOSEN, "first-come", "fixed-split")
EXCHANGE_SECONDS = 0.25
LOOPBACK_DELAY_SECONDS = 0.001
MOST_TOKENS = 80
PROMPT_SENTENCES = 20
LARGEST_COST = MOST_TOKENS + figures.PROMPT_TOKEN_COST * PROMPT_SENTENCES * 20
"""No sentence of the load's prompts has more than 20 tokens."""
PUBLICATION_SECONDS = 5.0
"""Time after a publication until which a data centre that is out may receive new work."""
WARM_UP_SECONDS = CONSORTIUM.cold_seconds + 1.0
"""Wait before load: first come first served would keep cold engines falling over."""
BYTES_PATTERN = re.compile(r'^limpetusher_peer_bytes_total{direction="sent"} (\S+)', re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Lengths:
    """Durations in seconds."""

    ramp: float
    """Time under load until figures are taken."""
    fairness: float
    latency: float
    drain: float


FULL = Lengths(ramp=5.0, fairness=30.0, latency=20.0, drain=40.0)
QUICK = Lengths(ramp=3.0, fairness=8.0, latency=5.0, drain=20.0)


def run_measure(*, quick: bool) -> int:
    """Measure all policies one after the other, print the figures and write them to a file."""
    lengths = QUICK if quick else FULL
    report = {"deployment": CONSORTIUM.name, "quick": quick}
    for policy in POLICIES:
        plan = CONSORTIUM if policy == CHOSEN else with_baseline(CONSORTIUM, policy)
        report[policy] = {
            "fairness": measure_fairness(plan, lengths),
            "half load": measure_half_load(plan, lengths),
            "drain": measure_drain(plan, lengths),
        }
        print(json.dumps({policy: report[policy]}), flush=True)
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "measure.json").write_text(json.dumps(report, indent=2))
    return 0


def send(fleet: Fleet, settings: LoadSettings) -> LoadRun:
    """Send load to all routers of a fleet."""
    routers = [host.caller_address for host in fleet.routers.values()]
    return asyncio.run(run_load(fleet.plan, fleet.customers, routers, settings))


def sent_bytes(fleet: Fleet) -> float:
    """Return the bytes that the routers have sent to each other; 0 for routers without messages."""
    if fleet.plan.router_program != CONSORTIUM.router_program:
        return 0.0
    texts = [call(host.admin_address, "GET", "/metrics").body.decode() for host in fleet.routers.values()]
    return sum(float(found.group(1)) for found in map(BYTES_PATTERN.search, texts) if found)


def measure_fairness(plan: DeploymentPlan, lengths: Lengths) -> dict:
    """Measure gap, utilisation and control traffic while all customers wait and one floods.

    The number of open requests of a customer is well above its part of the slots, so that all are backlogged.
    """
    settings = LoadSettings(
        seconds=lengths.ramp + lengths.fairness,
        workers=8,
        workers_by_share=True,
        flood_factor=25.0,
        application_fraction=0.0,
        stream_fraction=0.5,
        most_tokens=MOST_TOKENS,
        most_prompt_sentences=PROMPT_SENTENCES,
    )
    with Fleet(plan) as fleet:
        time.sleep(WARM_UP_SECONDS)
        began, sent = time.time(), sent_bytes(fleet)
        run = send(fleet, settings)
        traffic = (sent_bytes(fleet) - sent) / run.seconds / plan.routers
        begin, end = began + lengths.ramp, began + settings.seconds
        work = figures.intervals(fleet.records("engine"), time.time())
        found = audit(fleet, run.results)
    tokens = sum(i.cost * (i.share_before(end) - i.share_before(begin)) for i in work) / (end - begin)
    bound = figures.fairness_bound(
        exchange_seconds=EXCHANGE_SECONDS,
        delay_seconds=LOOPBACK_DELAY_SECONDS,
        tokens_per_second=tokens,
        slots=plan.engines * plan.slots,
        owners=plan.routers,
        largest_cost=LARGEST_COST,
        smallest_share=min(customer.share for customer in fleet.customers),
    )
    return {
        "gap": round(figures.fairness_gap(work, fleet.customers, begin, end), 1),
        "bound": round(bound, 1),
        "utilisation": round(figures.utilisation(work, plan.engines, plan.slots, begin, end), 4),
        "service_per_second": round(tokens, 1),
        "control_bytes_per_second_and_router": round(traffic, 1),
        "clean": found.is_clean,
        "overloads": len(found.overloads),
        "outcomes": summarise(run, fleet.customers)["outcomes"],
        "errors": summarise(run, fleet.customers)["errors"],
    }


def half_load(plan: DeploymentPlan, seconds: float, **changes: object) -> LoadSettings:
    """Return an open load of about half the engines' capacity, evenly over the customers."""
    base = LoadSettings(seconds=seconds, flood_factor=1.0, application_fraction=0.0, **changes)
    tokens = (base.least_tokens + base.most_tokens) / 2 * 0.75
    step = 0.02 * (1 + 0.06 * (plan.slots - 1))
    capacity = plan.engines * plan.slots / step / tokens
    return replace(base, open_loop_rate=capacity / 2 / plan.customers)


def measure_half_load(plan: DeploymentPlan, lengths: Lengths) -> dict:
    """Measure the time from sending a request to its arrival at an engine, with and without routers."""
    with Fleet(plan) as fleet:
        time.sleep(WARM_UP_SECONDS)
        settings = half_load(plan, lengths.latency)
        routed = send(fleet, settings)
        engines = [host.address for host in fleet.targets.values() if host.target_class == "engine"]
        direct = asyncio.run(run_load(plan, fleet.customers, engines, settings))
        records = fleet.records("engine")
    arrived = {
        entry["request_id"]: entry["started"] for record in records.values() for entry in record["requests"]
    }
    routed_times, direct_times = arrival_seconds(routed, arrived), arrival_seconds(direct, arrived)
    added = statistics.median(routed_times) - statistics.median(direct_times)
    return {
        "requests": len(routed.results),
        "added_milliseconds_p50": round(added * 1000, 2),
        "routed_seconds": percentiles(routed_times),
        "direct_seconds": percentiles(direct_times),
        "outcomes": summarise(routed, fleet.customers)["outcomes"],
    }


def arrival_seconds(run: LoadRun, arrived: dict[str, float]) -> list[float]:
    """Return the times from sending to arrival at an engine."""
    return [
        arrived[result.request_id] - result.started_wall
        for result in run.results
        if result.request_id in arrived
    ]


def measure_drain(plan: DeploymentPlan, lengths: Lengths) -> dict:
    """Measure errors and late dispatches while a data centre leaves and returns at half load."""
    out = plan.data_centres[0]
    with Fleet(plan) as fleet:
        time.sleep(WARM_UP_SECONDS)
        run, left, returned = asyncio.run(drain_and_return(fleet, out, lengths))
        records = fleet.records("engine")
        versions = {entry["version"]: entry["at"] for entry in fleet.record(PLATFORM)["versions"]}
        found = audit(fleet, run.results)
    drained = [host.host_id for host in fleet.targets.values() if host.data_centre == out]
    started = [entry["started"] for name in drained if name in records for entry in records[name]["requests"]]
    late = [at for at in started if versions[left] + PUBLICATION_SECONDS < at < versions[returned]]
    last = max((at - versions[left] for at in started if at < versions[returned]), default=None)
    return {
        "dispatches_later_than_5_seconds": len(late),
        "last_dispatch_seconds_after_publication": last and round(last, 3),
        "dispatches_after_return": sum(at > versions[returned] for at in started),
        "outcomes": summarise(run, fleet.customers)["outcomes"],
        "errors": summarise(run, fleet.customers)["errors"],
        "clean": found.is_clean,
    }


async def drain_and_return(fleet: Fleet, out: str, lengths: Lengths) -> tuple[LoadRun, int, int]:
    """Take a data centre out after a quarter of the load and return it after three quarters."""
    settings = half_load(fleet.plan, lengths.drain)
    routers = [host.caller_address for host in fleet.routers.values()]
    load = asyncio.create_task(run_load(fleet.plan, fleet.customers, routers, settings))
    await asyncio.sleep(lengths.drain / 4)
    left = await asyncio.to_thread(fleet.set_out, out)
    await asyncio.sleep(lengths.drain / 2)
    returned = await asyncio.to_thread(fleet.set_out)
    return await load, left, returned
