"""What each role of a router costs at the target size: state, messages, processor time, memory."""

import json
import time
from dataclasses import dataclass, replace

from limpetusher.configuration.document import load_configuration
from limpetusher.wire.messages import KeyOutcome, Register, Registered
from limpetusher_standins.capacity_model import (
    DATA_CENTRES,
    REQUESTS_PER_SECOND,
    ROUTERS,
    STREAMS,
    TARGETS,
    UnitCosts,
    frame_bytes,
)
from limpetusher_standins.deployment import CONSORTIUM

CUSTOMERS = 3_600
CHANGES_PER_DAY = 1_100
SECONDS_PER_DAY = 86_400
KEYED_FRACTION = 0.1
"""Part of the requests that are calls with an idempotency key; the requirements do not give it."""
WITNESSES = 3
KEY_WINDOW_SECONDS = 120.0
LOAD_POLLS_PER_SECOND = 4.0
HEARTBEATS_PER_SECOND = 4.0
TARGETS_OWNED = TARGETS / ROUTERS
TARGET_NAME_BYTES = 11


@dataclass(frozen=True, slots=True)
class ConfigurationCost:
    """A configuration document at the target size: its bytes, and the time to validate it.

    `listed_bytes` is its size when each customer lists all services and all fields.
    """

    document_bytes: int
    listed_bytes: int
    load_seconds: float


def measure_configuration() -> ConfigurationCost:
    """Measure a document with all customers, each with one key and three services, without default values."""
    models = tuple(f"model-{index}" for index in range(10))
    plan = replace(CONSORTIUM, customers=CUSTOMERS, models=models)
    document = plan.configuration()
    listed = encode(document)
    for index, customer in enumerate(document["customers"]):
        customer["services"] = [*(models[(index + step) % len(models)] for step in range(2)), "crew"]
        for name in ("queue_limit", "default_patience_seconds", "patience_seconds"):
            del customer[name]
    short = encode(document)
    began = time.thread_time()
    load_configuration(short)
    return ConfigurationCost(len(short), len(listed), time.thread_time() - began)


def encode(document: dict) -> bytes:
    """Return a document as JSON without spaces."""
    return json.dumps(document, separators=(",", ":")).encode()


def role_table(
    unit: UnitCosts,
    measured: dict[str, float],
    memory: dict[str, float],
    configuration: ConfigurationCost,
) -> str:
    """Return a row for each role, with the arithmetic, as a Markdown table.

    `measured` are the figures at the target size, `memory` the bytes allocated by unit.
    """
    rows = [
        entry_row(unit, memory),
        owner_row(unit, measured, memory),
        carrier_row(unit, memory),
        witness_row(measured),
        relay_row(configuration),
        "| operator's tool | reads one document | none between routers; it runs on the operator's machine "
        "| 0 on nodes | 0 on nodes |",
    ]
    lines = [
        f"Present design, for one of {ROUTERS} routers: {REQUESTS_PER_SECOND:.1f} requests/s, "
        f"{STREAMS} streams "
        f"at once, {TARGETS_OWNED:.0f} targets owned.",
        "",
        "| role | state | messages sent | processor time | memory |",
        "| --- | --- | --- | --- | --- |",
        *rows,
        "",
        f"The core alone allocates {measured['allocated_mb']} MB at the target size (tracemalloc).",
    ]
    return "\n".join(lines)


def entry_row(unit: UnitCosts, memory: dict[str, float]) -> str:
    """Return the row of the entry router of a caller."""
    rate, sizes = REQUESTS_PER_SECOND, unit.sizes
    demand = rate * 82 * sizes.demand
    held = STREAMS * sizes.held * HEARTBEATS_PER_SECOND
    share = rate * unit.request_us / 1e6
    progress = STREAMS * HEARTBEATS_PER_SECOND * unit.progress_us / 1e6
    running = memory.get("running", 0.0)
    return (
        f"| caller's entry | {STREAMS} running and all waiting requests, demand told to 82 owners "
        f"| demand {rate:.1f}/s x 82 x {sizes.demand} B = {demand:,.0f} B/s wanted, 8,000 B/s allowed; "
        "release "
        f"{rate:.1f}/s x {sizes.release} B = {rate * sizes.release:,.0f} B/s; held {STREAMS} x "
        f"{sizes.held} B x 4/s "
        f"= {held:,.0f} B/s | {rate:.1f}/s x {unit.request_us:.0f} µs = {100 * share:.2f}%; progress "
        f"{STREAMS} x 4/s x "
        f"{unit.progress_us:.1f} µs = {100 * progress:.2f}% | {STREAMS} x {running:,.0f} B = "
        f"{STREAMS * running / 1e6:.1f} MB |"
    )


def owner_row(unit: UnitCosts, measured: dict[str, float], memory: dict[str, float]) -> str:
    """Return the row of the owner of targets."""
    rate, grant, report = REQUESTS_PER_SECOND, unit.sizes.grant, measured["load_report_us"]
    polls = TARGETS_OWNED * LOAD_POLLS_PER_SECOND
    targets, customers = memory.get("targets", 0.0), memory.get("customers", 0.0)
    return (
        f"| owner | ledger of {STREAMS} grants, demand book, virtual times of {CUSTOMERS:,} customers "
        f"| grant {rate:.1f}/s x {grant} B = {rate * grant:,.0f} B/s; charges in heartbeats (see below) "
        f"| {rate:.1f}/s x {unit.owner_request_us:.0f} µs = "
        f"{100 * rate * unit.owner_request_us / 1e6:.2f}%; load "
        f"reports {polls:.0f}/s x {report:.0f} µs = {100 * polls * report / 1e6:.2f}% (decision core only) "
        f"| {TARGETS} targets x {targets:,.0f} B = {TARGETS * targets / 1e6:.1f} MB; {CUSTOMERS:,} "
        "customers x "
        f"{customers:,.0f} B = {CUSTOMERS * customers / 1e6:.1f} MB |"
    )


def carrier_row(unit: UnitCosts, memory: dict[str, float]) -> str:
    """Return the row of the carrier of slots."""
    near = TARGETS / DATA_CENTRES
    lent = near * TARGET_NAME_BYTES * HEARTBEATS_PER_SECOND
    tick = TARGETS * unit.tick_target_us * HEARTBEATS_PER_SECOND / 1e6
    members = memory.get("members", 0.0)
    charges = ROUTERS * CUSTOMERS * 8
    return (
        f"| carrier | leases of slots of {near:.0f} targets of its data centre | {near:.0f} names x "
        f"{TARGET_NAME_BYTES} B x 4/s = {lent:,.0f} B/s, in heartbeats | {TARGETS} targets x "
        f"{unit.tick_target_us:.2f} µs x 4/s = {100 * tick:.2f}%, part of the tick | {ROUTERS} peers x "
        f"{members:,.0f} B = {ROUTERS * members / 1e6:.1f} MB; charges of {ROUTERS} peers x "
        f"{CUSTOMERS:,} customers "
        f"x 8 B = {charges / 1e6:.1f} MB |"
    )


def witness_row(measured: dict[str, float]) -> str:
    """Return the row of the witness of idempotency keys."""
    keyed = REQUESTS_PER_SECOND * KEYED_FRACTION
    key, attempt = bytes(16), "0" * 16
    messages = (
        Register(key, attempt, bytes(32), bytes(16)),
        Registered(key, attempt, "recorded"),
        KeyOutcome(key, attempt, "finished", 200),
    )
    size = sum(map(frame_bytes, messages))
    records = keyed * WITNESSES * KEY_WINDOW_SECONDS
    cost = measured["witness_us"]
    return (
        f"| witness | records of keys for {KEY_WINDOW_SECONDS:.0f} s: {keyed:.2f}/s x {WITNESSES} x "
        f"{KEY_WINDOW_SECONDS:.0f} s = {records:.0f} | {keyed:.2f}/s x {WITNESSES} witnesses x {size} B = "
        f"{keyed * WITNESSES * size:,.0f} B/s (a tenth of the requests keyed: assumed) | {keyed:.2f}/s x "
        f"{WITNESSES} x {cost:.0f} µs = {100 * keyed * WITNESSES * cost / 1e6:.3f}% for registering; "
        "the rest not "
        "measured | not measured |"
    )


def relay_row(configuration: ConfigurationCost) -> str:
    """Return the row of the watcher and relay of configurations."""
    rate = CHANGES_PER_DAY / SECONDS_PER_DAY
    size, seconds = configuration.document_bytes, configuration.load_seconds
    return (
        f"| configuration watcher and relay | document of {size:,} B ({configuration.listed_bytes:,} B with "
        "all fields; the limit is 1,000,000 B) and its compiled form | "
        f"{CHANGES_PER_DAY:,}/day = {rate:.4f}/s x {size:,} B = {rate * size:,.0f} B/s relayed in the mean; "
        f"{ROUTERS // DATA_CENTRES} peers may ask one watcher at once: "
        f"{ROUTERS // DATA_CENTRES * size / 1e6:,.0f} MB | {rate:.4f}/s x {seconds * 1000:.0f} ms = "
        f"{100 * rate * seconds:.2f}% | {size / 1e6:.1f} MB and the customers above |"
    )
