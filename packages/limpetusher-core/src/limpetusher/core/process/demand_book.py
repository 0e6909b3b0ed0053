"""Waiting requests announced to this owner: the demand of each router, indexed by service and customer."""

from collections.abc import Collection, Container, Iterable, Iterator
from dataclasses import dataclass, field

from limpetusher.core.request.record import Bucket
from limpetusher.wire.messages import Demand, DemandEntry


@dataclass(slots=True)
class DemandLine:
    """Waiting requests of one bucket at one router.

    `in_flight_count` is the number of grants that the router has not confirmed.
    """

    holder: str
    bucket: Bucket
    waiting: int
    oldest_at: float
    preferred: tuple[str, ...] = ()
    prompt_cost: float = 0.0
    cost_hint: float | None = None
    in_flight_count: int = 0

    @property
    def open_count(self) -> int:
        """Return how many more grants the router can use."""
        return self.waiting - self.in_flight_count


@dataclass(slots=True)
class GrantInFlight:
    """A grant that its receiver has not confirmed in a later demand."""

    bucket: Bucket
    issued_at: float


@dataclass(slots=True)
class HolderDemand:
    """Demand of one router.

    `sequence` is the number of its newest demand message, `issued_grants` the number of grants sent to it.
    """

    lines: dict[Bucket, DemandLine] = field(default_factory=dict)
    unconfirmed_grants: dict[int, GrantInFlight] = field(default_factory=dict)
    sequence: int = 0
    issued_grants: int = 0


class DemandBook:
    """Demand that all routers have announced to this owner."""

    def __init__(self, grant_valid_seconds: float):
        self.grant_valid_seconds = grant_valid_seconds
        self.holders: dict[str, HolderDemand] = {}
        self.open_lines: dict[str, dict[str, dict[str, DemandLine]]] = {}
        """Lines with open requests by service, customer and holder."""

    def demand_of(self, holder: str) -> HolderDemand:
        """Return the demand of a router, creating an empty one if there is none."""
        demand = self.holders.get(holder)
        if demand is None:
            demand = self.holders[holder] = HolderDemand()
        return demand

    def apply_demand(self, holder: str, message: Demand, now: float) -> tuple[str, ...]:
        """Apply a router's newest demand and return the services that it names.

        A partial demand changes only the buckets that it names.
        """
        demand = self.demand_of(holder)
        if message.sequence <= demand.sequence:
            return ()
        demand.sequence = message.sequence
        self.settle_grants(demand, message.last_grant_number, now)
        if not message.partial:
            for line in demand.lines.values():
                self.remove_from_index(line)
            demand.lines = {}
        for entry in message.entries:
            line = make_line(entry, holder, now)
            self.remove_line(holder, line.bucket)
            if line.waiting > 0:
                line.in_flight_count = sum(
                    grant.bucket == line.bucket for grant in demand.unconfirmed_grants.values()
                )
                demand.lines[line.bucket] = line
                self.update_index(line)
        return tuple(dict.fromkeys(entry.service for entry in message.entries))

    def settle_grants(self, demand: HolderDemand, last_grant_number: int, now: float) -> None:
        """Remove the grants that have arrived or were lost.

        The router has received the grants up to number `last_grant_number`. A later one that is still
        unconfirmed at the end of its validity was lost.
        """
        for number, grant in list(demand.unconfirmed_grants.items()):
            if number <= last_grant_number or now - grant.issued_at >= self.grant_valid_seconds:
                del demand.unconfirmed_grants[number]
                line = demand.lines.get(grant.bucket)
                if line is not None and line.in_flight_count > 0:
                    line.in_flight_count -= 1
                    if number <= last_grant_number:
                        # The router has used or returned the grant and counts it no longer.
                        line.waiting -= 1
                    self.update_index(line)

    def set_line(self, entry: DemandEntry, holder: str, now: float) -> None:
        """Set one line of this router itself, whose grants are used at once."""
        line = make_line(entry, holder, now)
        self.demand_of(holder).lines[line.bucket] = line
        self.update_index(line)

    def remove_line(self, holder: str, bucket: Bucket) -> None:
        """Remove one line, if it exists."""
        line = self.demand_of(holder).lines.pop(bucket, None)
        if line is not None:
            self.remove_from_index(line)

    def holder_customers(self, holder: str) -> Iterator[str]:
        """Return the customers in a router's demand."""
        return (bucket.customer for bucket in self.demand_of(holder).lines)

    def drop_stale_lines(self, holder: str, sequence: int, customers: Container[str]) -> bool:
        """Remove lines of customers that a later heartbeat does not list as waiting; return whether any were.

        This removes lines that are outdated because a demand was lost or all their requests were granted.
        """
        demand = self.holders.get(holder)
        if demand is None or sequence <= demand.sequence:
            return False
        gone = [line for bucket, line in demand.lines.items() if bucket.customer not in customers]
        for line in gone:
            self.remove_from_index(line)
            del demand.lines[line.bucket]
        return bool(gone)

    def remove_router(self, holder: str) -> None:
        """Remove the demand of a router that is unreachable or has restarted."""
        demand = self.holders.pop(holder, None)
        if demand is not None:
            for line in demand.lines.values():
                self.remove_from_index(line)

    def record_grant(self, line: DemandLine, now: float) -> int:
        """Record a grant sent to the line's router and return its number."""
        demand = self.demand_of(line.holder)
        demand.issued_grants += 1
        demand.unconfirmed_grants[demand.issued_grants] = GrantInFlight(line.bucket, now)
        line.in_flight_count += 1
        self.update_index(line)
        return demand.issued_grants

    def customers(self, services: Collection[str]) -> Collection[str]:
        """Return the customers that have open requests for any of the services."""
        if len(services) == 1:
            return self.open_lines.get(next(iter(services)), {}).keys()
        customers: dict[str, None] = {}
        for service in services:
            customers.update(dict.fromkeys(self.open_lines.get(service, ())))
        return customers

    def lines(self, customer: str, services: Iterable[str]) -> Iterator[DemandLine]:
        """Return the customer's lines with open requests for any of the services."""
        for service in services:
            yield from self.open_lines.get(service, {}).get(customer, {}).values()

    def has_open_requests(self, services: Iterable[str]) -> bool:
        """Return whether open requests wait for one of the services."""
        return any(service in self.open_lines for service in services)

    def update_index(self, line: DemandLine) -> None:
        """Add the line to the index of open lines, or remove it if it has no open requests."""
        if line.open_count <= 0:
            self.remove_from_index(line)
            return
        customers = self.open_lines.setdefault(line.bucket.service, {})
        customers.setdefault(line.bucket.customer, {})[line.holder] = line

    def remove_from_index(self, line: DemandLine) -> None:
        """Remove the line from the index of open lines."""
        customers = self.open_lines.get(line.bucket.service, {})
        holders = customers.get(line.bucket.customer, {})
        if holders.pop(line.holder, None) is None:
            return
        if not holders:
            del customers[line.bucket.customer]
        if not customers:
            del self.open_lines[line.bucket.service]


def make_line(entry: DemandEntry, holder: str, now: float) -> DemandLine:
    """Return the demand line for an entry of a demand message."""
    return DemandLine(
        holder,
        Bucket(entry.customer, entry.service),
        entry.waiting,
        now - entry.oldest_wait_seconds,
        entry.preferred,
        entry.prompt_cost,
        entry.cost_hint,
    )
