"""Control cost of a router at the target size, worked out from measured unit costs for several designs."""

from dataclasses import dataclass, replace

from limpetusher.core.process.demand_sender import DEMAND_BYTES_PER_SECOND
from limpetusher.core.settings import PolicySettings
from limpetusher.wire.messages import Demand, DemandEntry, Grant, Heartbeat, HeldGrant, PeerPayload, Release
from limpetusher_standins.capacity_world import CODEC, OWN, OWN_INCARNATION
from limpetusher_standins.deployment import CONSORTIUM

ROUTERS = 410
DATA_CENTRES = 6
TARGETS = 820
MODELS = 10
REQUESTS_PER_SECOND = 7_700 / ROUTERS
STREAMS = round(2_200_000 * 0.033 / ROUTERS)
"""Streams of a router's callers at once: tokens a second times the time between tokens."""
BACKLOGGED = 360
CHANGED = 176
"""Customers charged by an owner in an interval, at most: its two targets have 88 slots each."""
FEW_OWNERS = 3
OWNERS_IN_USE = 10
"""Owners outside the data centre that hold a router's requests."""
COMPACT_HELD_BYTES = 12
COMPACT_CHARGE_BYTES = 8
COMPACT_GRANT_BYTES = 150
"""Estimates, not measured: entries and grants that name grants, customers and models by numbers."""
CARRIERS = 8
"""Carriers of a target in the design with fewer of them; each owner has two targets."""
BUDGET_BYTES = 14_000
BUDGET_SHARE = 0.014


@dataclass(frozen=True, slots=True)
class MessageSizes:
    """Bytes of messages and of their entries, from the codec."""

    heartbeat: int
    waiting: int
    charge: int
    held: int
    demand: int
    demand_entry: int
    grant: int
    release: int


@dataclass(frozen=True, slots=True)
class UnitCosts:
    """Measured costs; a message's cost includes encoding, decoding and handling it."""

    sizes: MessageSizes
    message_us: float
    waiting_us: float
    charge_us: float
    tick_peer_us: float
    tick_charge_us: float
    """By peer that is sent a heartbeat and by charge that it lists."""
    tick_target_us: float
    progress_us: float
    request_us: float
    """At the entry router, offered to all owners at the target size."""
    request_few_us: float
    """At the entry router, with about as many owners as the smallest number of targets measured has."""
    owner_request_us: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Design:
    """What a router exchanges."""

    name: str
    interval_seconds: float = PolicySettings().exchange_interval_seconds
    peers: int = ROUTERS - 1
    """Routers that get heartbeats."""
    charges_in_heartbeats: bool = True
    """Whether heartbeats list charges and waiting customers; otherwise sums by customer are relayed."""
    owners_asked: float = 82
    """Owners that hear of a request, in the mean; 82 is a tenth of the targets, each with another owner."""
    held_bytes: int | None = None
    """Bytes of a held request in a heartbeat; None: as now."""
    scans_all_targets: bool = True
    """Whether a tick looks at every target of the fleet, or only at those of the own data centre."""
    charge_bytes: int | None = None
    """Bytes of a charge in relayed sums; None: as now."""
    heartbeat_bytes: int | None = None
    """Bytes of a heartbeat without entries; None: as now. Other values are estimates."""
    grant_bytes: int | None = None
    """Bytes of grant and release together; None: as now."""


@dataclass(frozen=True, slots=True)
class Cost:
    """Control of one router: bytes sent a second and processor share, by part."""

    heartbeat_bytes: float
    held_bytes: float
    sum_bytes: float
    request_bytes: float
    wanted_demand_bytes: float
    """Demand if it were not limited; what exceeds the limit waits."""
    message_share: float
    tick_share: float
    progress_share: float
    request_share: float

    @property
    def bytes(self) -> float:
        """Return all bytes sent a second."""
        return self.heartbeat_bytes + self.held_bytes + self.sum_bytes + self.request_bytes

    @property
    def share(self) -> float:
        """Return the whole processor share."""
        return self.message_share + self.tick_share + self.progress_share + self.request_share


def designs() -> list[Design]:
    """Return the present design and the candidates, each with the changes of the one before."""
    near = ROUTERS // DATA_CENTRES - 1 + OWNERS_IN_USE
    slow = Design(name="1. exchange interval 1 s", interval_seconds=1.0)
    local = replace(slow, name="2. and heartbeats only in the data centre and to owners in use", peers=near)
    sums = replace(local, name="3. and charges as relayed sums by customer", charges_in_heartbeats=False)
    few = replace(sums, name="4. and demand to 3 owners by free slots", owners_asked=3)
    compact = replace(few, name="5. and held requests as numbers", held_bytes=COMPACT_HELD_BYTES)
    scan = replace(compact, name="6. and ticks over the own data centre's targets", scans_all_targets=False)
    few_peers = 2 * 2 * CARRIERS + OWNERS_IN_USE
    carriers = replace(scan, name="7. and 8 carriers by target instead of 68", peers=few_peers)
    numbers = replace(
        carriers,
        name="8. and numbers for customers and grants",
        charge_bytes=COMPACT_CHARGE_BYTES,
        grant_bytes=COMPACT_GRANT_BYTES,
    )
    first = replace(
        numbers, name="9. and demand to 1 owner by free slots, 2 more if it is late", owners_asked=1.3
    )
    short = replace(first, name="10. and heartbeats without names and digest", heartbeat_bytes=80)
    return [
        Design(name="0. present"),
        slow,
        replace(local, name="2a. 2 at an interval of 0.25 s", interval_seconds=0.25),
        local,
        sums,
        few,
        compact,
        scan,
        carriers,
        numbers,
        first,
        short,
    ]


def frame_bytes(payload: PeerPayload) -> int:
    """Return the size of a message on the wire."""
    return len(CODEC.encode(payload, sender=OWN, incarnation=OWN_INCARNATION))


def message_sizes() -> MessageSizes:
    """Return the sizes of messages with names of usual length."""
    customer, model, target = CONSORTIUM.customer_plans()[0].customer_id, "model-0", "engine-000"
    empty = Heartbeat(1 << 20, 1 << 20, True, False, 1000, bytes(16), 1000, ("engine-000", "engine-001"))
    entries = tuple(f"{customer}{index:02d}" for index in range(100))
    heartbeat = frame_bytes(empty)
    grant_id = f"{OWN}-{OWN_INCARNATION:x}-{1 << 20}"

    def by_entry(**fields: object) -> int:
        filled = Heartbeat(*(getattr(empty, name) for name in empty.__struct_fields__[:8]), **fields)
        return round((frame_bytes(filled) - heartbeat) / len(entries))

    entry = DemandEntry(model, customer, 1, 0.01, prompt_cost=10.0)
    one, two = (frame_bytes(Demand(1 << 20, 1 << 20, (entry,) * count, True)) for count in (1, 2))
    return MessageSizes(
        heartbeat=heartbeat,
        waiting=by_entry(waiting_customers=entries),
        charge=by_entry(charged=dict.fromkeys(entries, 1.5)),
        held=by_entry(held=(HeldGrant(grant_id, target, customer, model, 1.5),) * len(entries)),
        demand=one,
        demand_entry=two - one,
        grant=frame_bytes(Grant(grant_id, 1 << 20, target, model, customer, 1 << 20, 1.0)),
        release=frame_bytes(Release(grant_id, target, 100.0, True)),
    )


def relayed_entries() -> float:
    """Return the charge entries that a router sends in an interval when sums are relayed.

    Each customer has one summing router in each data centre. A router sends it the own charges; it sends the
    sum to its counterparts in the other data centres, and to the owners of the customer's model in its own.
    """
    summed = BACKLOGGED / (ROUTERS / DATA_CENTRES)
    owners = TARGETS / DATA_CENTRES / MODELS
    return CHANGED + summed * (DATA_CENTRES - 1 + owners)


def cost(design: Design, unit: UnitCosts) -> Cost:
    """Return the control cost of a router at the target size."""
    rate, sizes = 1 / design.interval_seconds, unit.sizes
    messages = design.peers * rate
    listed = design.charges_in_heartbeats
    entry_bytes = BACKLOGGED * sizes.waiting + CHANGED * sizes.charge if listed else 0
    entry_us = BACKLOGGED * unit.waiting_us + CHANGED * unit.charge_us if listed else 0.0
    relayed = 0.0 if listed else relayed_entries() * rate
    held = sizes.held if design.held_bytes is None else design.held_bytes
    heartbeat = sizes.heartbeat if design.heartbeat_bytes is None else design.heartbeat_bytes
    charge = sizes.charge if design.charge_bytes is None else design.charge_bytes
    grant = sizes.grant + sizes.release if design.grant_bytes is None else design.grant_bytes
    wanted = REQUESTS_PER_SECOND * design.owners_asked * sizes.demand
    listed_charges = CHANGED if listed else 0
    request_us = unit.request_us if design.owners_asked > FEW_OWNERS else unit.request_few_us
    targets = TARGETS if design.scans_all_targets else TARGETS / DATA_CENTRES
    return Cost(
        heartbeat_bytes=messages * (heartbeat + entry_bytes),
        held_bytes=STREAMS * held * rate,
        sum_bytes=relayed * charge,
        request_bytes=min(wanted, DEMAND_BYTES_PER_SECOND) + REQUESTS_PER_SECOND * grant,
        wanted_demand_bytes=wanted,
        message_share=(messages * (unit.message_us + entry_us) + relayed * unit.charge_us) / 1e6,
        tick_share=(
            messages * (unit.tick_peer_us + listed_charges * unit.tick_charge_us)
            + rate * targets * unit.tick_target_us
        )
        / 1e6,
        progress_share=STREAMS * rate * unit.progress_us / 1e6,
        request_share=REQUESTS_PER_SECOND * (request_us + unit.owner_request_us) / 1e6,
    )


def design_table(unit: UnitCosts, measured: dict[str, float]) -> str:
    """Return the costs of the present design and of the candidates, and how the model fits, as Markdown.

    `measured` are the figures of `capacity.measure` at the target size.
    """
    present = designs()[0]
    handled = unit.message_us + BACKLOGGED * unit.waiting_us + CHANGED * unit.charge_us
    steps = ("heartbeat_received_us", "heartbeat_encode_us", "heartbeat_decode_us")
    heartbeat = sum(measured[step] for step in steps)
    tick = cost(present, unit).tick_share * present.interval_seconds
    lines = ["Unit costs: " + ", ".join(f"{k} {v} B" for k, v in size_items(unit.sizes)) + ".", ""]
    lines += [
        f"Message {unit.message_us:.1f} µs (encode, decode, handle), waiting entry {unit.waiting_us:.3f} µs, "
        f"charge entry {unit.charge_us:.3f} µs; tick {unit.tick_peer_us:.2f} µs by peer, "
        f"{unit.tick_charge_us:.3f} µs by peer and charge, {unit.tick_target_us:.2f} µs by target; progress "
        f"report {unit.progress_us:.1f} µs; request at its entry {unit.request_us:.0f} µs with 82 owners, "
        f"{unit.request_few_us:.0f} µs with few; at its owner {unit.owner_request_us:.0f} µs.",
        "",
        f"Check at the target size: a heartbeat costs {heartbeat:.0f} µs measured, {handled:.0f} µs by the "
        f"model; a tick {measured['tick_us'] / 1000:.1f} ms measured, {tick * 1000:.1f} ms by the "
        "model, whose cost "
        "by peer and charge is fitted to it.",
        "",
        "| design | heartbeats | held | sums | requests | bytes/s | demand wanted | messages | ticks "
        "| progress | requests | core | within |",
        "| --- |" + " ---: |" * 11 + " --- |",
    ]
    for design in designs():
        found = cost(design, unit)
        sent = (found.heartbeat_bytes, found.held_bytes, found.sum_bytes, found.request_bytes, found.bytes)
        sent = (*sent, found.wanted_demand_bytes)
        used = (found.message_share, found.tick_share, found.progress_share, found.request_share, found.share)
        within = [
            name
            for name, fits in (("bytes", found.bytes <= BUDGET_BYTES), ("core", found.share <= BUDGET_SHARE))
            if fits
        ]
        columns = [f"{value:,.0f}" for value in sent] + [f"{100 * value:.2f}%" for value in used]
        lines.append(f"| {design.name} | {' | '.join(columns)} | {', '.join(within) or 'neither'} |")
    return "\n".join(lines)


def size_items(sizes: MessageSizes) -> list[tuple[str, int]]:
    """Return the sizes with their names."""
    return [(name.replace("_", " "), getattr(sizes, name)) for name in sizes.__dataclass_fields__]
