"""What an owner knows about waiting requests: the demand of each router, indexed by service and customer."""

from collections.abc import Collection, Container, Iterable, Iterator
from dataclasses import dataclass, field

from limpetusher.core.request.record import Bucket
from limpetusher.wire.messages import Demand, DemandEntry


@dataclass(slots=True)
class DemandLine:
    """Waiting requests of one bucket at one router.

    `in_flight` counts grants that the router has not confirmed.
    """

    holder: str
    bucket: Bucket
    waiting: int
    oldest_at: float
    preferred: tuple[str, ...] = ()
    prompt_cost: float = 0.0
    cost_hint: float | None = None
    in_flight: int = 0

    @property
    def open(self) -> int:
        """Return how many more grants the router can use."""
        return self.waiting - self.in_flight


@dataclass(slots=True)
class GrantInFlight:
    """A grant that its addressee has not confirmed by a later demand."""

    bucket: Bucket
    issued_at: float


@dataclass(slots=True)
class HolderDemand:
    """Demand of one router. `sequence` orders its demands, `number` counts the grants sent to it."""

    lines: dict[Bucket, DemandLine] = field(default_factory=dict)
    in_flight: dict[int, GrantInFlight] = field(default_factory=dict)
    sequence: int = 0
    number: int = 0


class DemandBook:
    """Demand of all routers at this owner."""

    def __init__(self, grant_valid_seconds: float):
        self.grant_valid_seconds = grant_valid_seconds
        self.holders: dict[str, HolderDemand] = {}
        self.open_lines: dict[str, dict[str, dict[str, DemandLine]]] = {}
        """Lines with open requests by service, customer and holder."""

    def holder(self, holder: str) -> HolderDemand:
        """Return the demand of a router."""
        demand = self.holders.get(holder)
        if demand is None:
            demand = self.holders[holder] = HolderDemand()
        return demand

    def replace(self, holder: str, message: Demand, now: float) -> tuple[str, ...]:
        """Take a router's newest demand and return the services it asks for.

        A partial demand changes only the buckets that it names. A grant that was neither confirmed by
        `last_grant` nor used within its validity was lost.
        """
        demand = self.holder(holder)
        if message.sequence <= demand.sequence:
            return ()
        demand.sequence = message.sequence
        self.confirm_grants(demand, message.last_grant, now)
        if not message.partial:
            for line in demand.lines.values():
                self.unlist(line)
            demand.lines = {}
        for entry in message.entries:
            line = line_of(entry, holder, now)
            self.remove_line(holder, line.bucket)
            if line.waiting > 0:
                line.in_flight = sum(grant.bucket == line.bucket for grant in demand.in_flight.values())
                demand.lines[line.bucket] = line
                self.relist(line)
        return tuple(dict.fromkeys(entry.service for entry in message.entries))

    def confirm_grants(self, demand: HolderDemand, last_grant: int, now: float) -> None:
        """Forget the grants that have arrived or were lost."""
        for number, grant in list(demand.in_flight.items()):
            if number <= last_grant or now - grant.issued_at >= self.grant_valid_seconds:
                del demand.in_flight[number]
                line = demand.lines.get(grant.bucket)
                if line is not None and line.in_flight > 0:
                    line.in_flight -= 1
                    if number <= last_grant:
                        # The router has used or returned it, and counts it no longer.
                        line.waiting -= 1
                    self.relist(line)

    def set_line(self, entry: DemandEntry, holder: str, now: float) -> None:
        """Set one line of the own router, whose grants are used at once."""
        line = line_of(entry, holder, now)
        self.holder(holder).lines[line.bucket] = line
        self.relist(line)

    def remove_line(self, holder: str, bucket: Bucket) -> None:
        """Remove one line of the own router."""
        line = self.holder(holder).lines.pop(bucket, None)
        if line is not None:
            self.unlist(line)

    def holder_customers(self, holder: str) -> Iterator[str]:
        """Return the customers in a router's demand."""
        return (bucket.customer for bucket in self.holder(holder).lines)

    def confirm(self, holder: str, sequence: int, customers: Container[str]) -> bool:
        """Drop lines of customers that a later heartbeat does not name as waiting; return whether any were.

        This ends the effects of a lost demand, and of lines whose requests have all been granted.
        """
        demand = self.holders.get(holder)
        if demand is None or sequence <= demand.sequence:
            return False
        gone = [line for bucket, line in demand.lines.items() if bucket.customer not in customers]
        for line in gone:
            self.unlist(line)
            del demand.lines[line.bucket]
        return bool(gone)

    def drop(self, holder: str) -> None:
        """Forget the demand of a router that is unreachable or has restarted."""
        demand = self.holders.pop(holder, None)
        if demand is not None:
            for line in demand.lines.values():
                self.unlist(line)

    def granted(self, line: DemandLine, now: float) -> int:
        """Note a grant sent to the line's router and return its number."""
        demand = self.holder(line.holder)
        demand.number += 1
        demand.in_flight[demand.number] = GrantInFlight(line.bucket, now)
        line.in_flight += 1
        self.relist(line)
        return demand.number

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

    def has_open(self, services: Iterable[str]) -> bool:
        """Return whether anybody waits for one of the services."""
        return any(service in self.open_lines for service in services)

    def relist(self, line: DemandLine) -> None:
        """Bring the index up to date with the line."""
        if line.open <= 0:
            self.unlist(line)
            return
        customers = self.open_lines.setdefault(line.bucket.service, {})
        customers.setdefault(line.bucket.customer, {})[line.holder] = line

    def unlist(self, line: DemandLine) -> None:
        """Take the line out of the index."""
        customers = self.open_lines.get(line.bucket.service, {})
        holders = customers.get(line.bucket.customer, {})
        if holders.pop(line.holder, None) is None:
            return
        if not holders:
            del customers[line.bucket.customer]
        if not customers:
            del self.open_lines[line.bucket.service]


def line_of(entry: DemandEntry, holder: str, now: float) -> DemandLine:
    """Return the line for an entry of a demand."""
    return DemandLine(
        holder,
        Bucket(entry.customer, entry.service),
        entry.waiting,
        now - entry.oldest_wait_seconds,
        entry.preferred,
        entry.prompt_cost,
        entry.cost_hint,
    )
