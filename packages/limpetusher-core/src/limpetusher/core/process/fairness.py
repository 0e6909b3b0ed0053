"""Virtual time of each customer, exchange of charges between routers and estimates of cost."""

import heapq
import math
from array import array
from collections import deque
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from limpetusher.configuration.compiled import Customer, Service
from limpetusher.core.settings import PolicySettings
from limpetusher.errors import PolicyError
from limpetusher.wire.messages import View

DEFAULT_COST = 100.0
"""Estimate, in cost units, for a service that is not configured."""
VIEW_ENTRIES = 20_000
"""Cumulative charges in a `View`, so that it fits in a message; beyond it only the routers are named."""
REMEMBERED_SENDS = 64
"""Heartbeats per peer for which it is known which changes they carried."""
FEW_CANDIDATES = 4
"""Candidates are compared directly when they are less than this fraction of the backlogged customers."""
RETIRED_INCARNATIONS = 8
"""Earlier incarnations per peer whose charges are ignored."""


@dataclass(slots=True)
class PeerCharges:
    """Cumulative charges last seen from one peer, by customer index; NaN where none was seen yet.

    With `baseline`, the first value seen of a customer is not counted as new service.
    """

    incarnation: int
    totals: array
    retired: deque[int] = field(default_factory=lambda: deque(maxlen=RETIRED_INCARNATIONS))
    baseline: bool = False


@dataclass(slots=True)
class SentChanges:
    """Which change number the heartbeats to a peer carried, and the greatest that was echoed."""

    confirmed: int = 0
    sends: deque[tuple[int, int]] = field(default_factory=lambda: deque(maxlen=REMEMBERED_SENDS))


class VirtualOrder:
    """Heap of customer indexes by virtual time.

    `keys` holds the value of the valid entry of each index. It may be below the virtual time, because charges
    do not touch the heap, but never above it.
    """

    def __init__(self):
        self.heap: list[tuple[float, int]] = []
        self.keys: dict[int, float] = {}

    def add(self, index: int, virtual: float) -> None:
        """Add an index, unless it has a valid entry that is low enough."""
        if virtual < self.keys.get(index, math.inf):
            self.keys[index] = virtual
            heapq.heappush(self.heap, (virtual, index))

    def lowered(self, index: int, virtual: float) -> None:
        """Take over a virtual time that went down."""
        if index in self.keys:
            self.add(index, virtual)

    def least(self, fairness: "Fairness", candidates: Collection[str] | None = None) -> int | None:
        """Return the backlogged index with the least virtual time, among `candidates` when given."""
        skipped: list[tuple[float, int]] = []
        found = None
        while self.heap and found is None:
            key, index = self.heap[0]
            name = fairness.names[index]
            if self.keys.get(index) != key:
                heapq.heappop(self.heap)
            elif name not in fairness.backlogged:
                heapq.heappop(self.heap)
                del self.keys[index]
            elif (virtual := fairness.caught_up(index)) != key:
                self.keys[index] = virtual
                heapq.heapreplace(self.heap, (virtual, index))
            elif candidates is None or name in candidates:
                found = index
            else:
                skipped.append(heapq.heappop(self.heap))
        for entry in skipped:
            heapq.heappush(self.heap, entry)
        return found


class Fairness:
    """Service received by each customer, in this router's view.

    Parameters
    ----------
    settings
        Constants of the policy.
    own_id, incarnation
        Identify this router in the views that it gives to others.
    """

    def __init__(self, settings: PolicySettings, *, own_id: str = "", incarnation: int = 0):
        self.settings = settings
        self.own_id = own_id
        self.incarnation = incarnation
        self.index: dict[str, int] = {}
        self.names: list[str] = []
        self.shares = array("d")
        self.virtual = array("d")
        self.charged = array("d")
        self.default_costs: dict[str, float] = {}
        self.averages: dict[tuple[str, str], float] = {}
        self.peers: dict[str, PeerCharges] = {}
        self.forgotten: dict[str, int] = {}
        self.sent: dict[str, SentChanges] = {}
        self.change_number = 0
        self.changed: dict[int, int] = {}
        self.backlogged: frozenset[str] = frozenset()
        self.order = VirtualOrder()
        self.furthest = -1
        self.system_virtual = 0.0

    def set_shares(self, customers: Mapping[str, Customer]) -> None:
        """Take over the customers' shares. Customers that are gone keep their place and service."""
        for name, customer in customers.items():
            self.shares[self.place(name)] = customer.share

    def set_services(self, services: Mapping[str, Service]) -> None:
        """Take over the services' default costs."""
        self.default_costs = {name: service.default_cost for name, service in services.items()}

    def place(self, customer: str) -> int:
        """Return the index of `customer`, adding it with share 1 when it is unknown."""
        index = self.index.get(customer)
        if index is None:
            index = len(self.names)
            self.index[customer] = index
            self.names.append(customer)
            self.shares.append(1.0)
            self.virtual.append(0.0)
            self.charged.append(0.0)
        return index

    def virtual_time(self, customer: str) -> float:
        """Return the customer's service per share."""
        return self.virtual[self.place(customer)]

    def estimate(self, customer: str, service: str, prompt_cost: float, hint: float | None) -> float:
        """Return the expected cost of a request: the average, moved by the hint within a factor."""
        average = self.averages.get((customer, service))
        if average is None:
            average = self.default_costs.get(service, DEFAULT_COST)
        expected = average
        if hint is not None:
            factor = self.settings.hint_factor
            expected = min(max(hint, average / factor), average * factor)
        return max(expected, prompt_cost)

    def observe_cost(self, customer: str, service: str, cost: float) -> None:
        """Take the final cost of a request into the moving average."""
        key = (customer, service)
        average = self.averages.get(key)
        if average is None:
            average = self.default_costs.get(service, DEFAULT_COST)
        self.averages[key] = average + self.settings.estimate_weight * (cost - average)

    def charge(self, customer: str, amount: float) -> None:
        """Charge a customer at this router; a negative amount corrects an earlier charge."""
        if amount == 0.0:
            return
        index = self.place(customer)
        self.charged[index] += amount
        self.change_number += 1
        self.changed.pop(index, None)
        self.changed[index] = self.change_number
        self.add_service(index, amount)

    def add_service(self, index: int, amount: float) -> None:
        """Add service to a customer's virtual time."""
        virtual = self.virtual[index] = self.virtual[index] + amount / self.shares[index]
        if amount < 0.0:
            self.order.lowered(index, virtual)
            if index == self.furthest:
                self.find_furthest()
        elif virtual > self.virtual[self.furthest] and self.names[index] in self.backlogged:
            self.furthest = index

    def find_furthest(self) -> None:
        """Find the backlogged customer with the greatest virtual time."""
        self.furthest = max(
            (self.index[name] for name in self.backlogged), key=self.virtual.__getitem__, default=-1
        )

    def peer_charged(self, peer: str, incarnation: int, totals: Mapping[str, float]) -> None:
        """Apply the cumulative charges of a peer: what exceeds the values last seen is new service."""
        known = self.charges_of(peer, incarnation)
        if known is None:
            return
        for customer, total in totals.items():
            index = self.place(customer)
            if index >= len(known.totals):
                fill = math.nan if known.baseline else 0.0
                known.totals.extend([fill] * (len(self.names) - len(known.totals)))
            before = known.totals[index]
            known.totals[index] = total
            if not math.isnan(before) and total != before:
                self.add_service(index, total - before)

    def charges_of(self, peer: str, incarnation: int) -> PeerCharges | None:
        """Return the charges last seen from a peer, None for an incarnation that has ended."""
        known = self.peers.get(peer)
        if known is None:
            baseline = self.forgotten.pop(peer, None) == incarnation
            known = self.peers[peer] = PeerCharges(incarnation, array("d"), baseline=baseline)
        elif known.incarnation != incarnation:
            if incarnation in known.retired:
                return None
            known.retired.append(known.incarnation)
            known.incarnation, known.totals, known.baseline = incarnation, array("d"), False
        return known

    def forget_peer(self, peer: str) -> None:
        """Drop the charges last seen from a peer that has been gone; its service stays counted.

        Its incarnation is kept, so that the same charges are not counted again when it returns.
        """
        known = self.peers.pop(peer, None)
        if known is not None:
            self.forgotten[peer] = known.incarnation
        self.sent.pop(peer, None)

    def changes_for(self, peer: str, echo: int, *, sequence: int) -> dict[str, float]:
        """Return the cumulative charges that `peer` may not know, for the heartbeat with number `sequence`.

        `echo` is the highest of our sequence numbers that the peer has echoed. Only the heartbeat with
        exactly this number is known to have arrived.
        """
        sent = self.sent.setdefault(peer, SentChanges())
        for number, change in sent.sends:
            if number == echo:
                sent.confirmed = max(sent.confirmed, change)
        sent.sends.append((sequence, self.change_number))
        changes = {}
        for index in reversed(self.changed):
            if self.changed[index] <= sent.confirmed:
                break
            changes[self.names[index]] = self.charged[index]
        return changes

    def peer_restarted(self, peer: str) -> None:
        """Send all charges again to a peer that has lost its state."""
        self.sent.pop(peer, None)

    def set_backlogged(self, customers: Iterable[str]) -> None:
        """Take over which customers have work waiting anywhere; newly backlogged ones have no credit."""
        present = frozenset(customers)
        if present == self.backlogged:
            return
        added = sorted(self.place(name) for name in present - self.backlogged)
        self.backlogged = present & self.backlogged
        least = self.order.least(self)
        floor = self.system_virtual if least is None else self.virtual[least]
        self.backlogged = present
        for index in added:
            self.virtual[index] = max(self.virtual[index], floor)
            self.order.add(index, self.virtual[index])
        if self.furthest < 0 or added or self.names[self.furthest] not in present:
            self.find_furthest()

    def choose(self, candidates: Collection[str]) -> str:
        """Return the backlogged candidate with the least virtual time; ties go to the earlier configured.

        Raises
        ------
        PolicyError
            When no candidate is backlogged.
        """
        if len(candidates) * FEW_CANDIDATES < len(self.backlogged):
            eligible = (self.index[name] for name in candidates if name in self.backlogged)
            chosen = min(eligible, key=lambda index: (self.caught_up(index), index), default=None)
        else:
            chosen = self.order.least(self, candidates)
        if chosen is None:
            raise PolicyError("no candidate is backlogged")
        self.system_virtual = max(self.system_virtual, self.virtual[chosen])
        return self.names[chosen]

    def caught_up(self, index: int) -> float:
        """Return a backlogged customer's virtual time, raised to the edge of the catch-up window."""
        if self.furthest >= 0:
            window = self.settings.catch_up_window_cost / self.shares[index]
            self.virtual[index] = max(self.virtual[index], self.virtual[self.furthest] - window)
        return self.virtual[index]

    def view(self) -> View:
        """Return the virtual times and the charges that they include, for a router that starts."""
        virtual = dict(zip(self.names, self.virtual, strict=True))
        sources = {seen_key(peer, known.incarnation): known.totals for peer, known in self.peers.items()}
        sources[seen_key(self.own_id, self.incarnation)] = self.charged
        seen: dict[str, dict[str, float]] = {}
        entries = 0
        for key, totals in sorted(sources.items()):
            values = {
                self.names[i]: total for i, total in enumerate(totals) if total and not math.isnan(total)
            }
            entries += len(values)
            seen[key] = values if entries <= VIEW_ENTRIES else {}
        return View(virtual=virtual, seen=seen)

    def adopt(self, view: View) -> None:
        """Replace the virtual times by those of a peer, keeping charges that they do not include."""
        included = {tuple(key.rsplit("@", 1)): totals for key, totals in view.seen.items()}
        for name, virtual in view.virtual.items():
            self.virtual[self.place(name)] = virtual
        self.add_missing(self.charged, included.get((self.own_id, f"{self.incarnation:x}"), {}))
        for peer, known in self.peers.items():
            totals = included.pop((peer, f"{known.incarnation:x}"), None)
            if totals is not None:
                self.add_missing(known.totals, totals)
        for (peer, incarnation), totals in included.items():
            if peer not in self.peers and peer != self.own_id:
                self.peers[peer] = self.seen_before(int(incarnation, 16), totals)
        self.rebuild()

    def add_missing(self, totals: array, included: Mapping[str, float]) -> None:
        """Add the part of cumulative charges that an adopted view does not include."""
        if not included:
            return
        for index, total in enumerate(totals):
            if not math.isnan(total):
                self.virtual[index] += (total - included.get(self.names[index], 0.0)) / self.shares[index]

    def seen_before(self, incarnation: int, totals: Mapping[str, float]) -> PeerCharges:
        """Return the charges of a peer as an adopted view includes them."""
        known = PeerCharges(incarnation, array("d"), baseline=not totals)
        if totals:
            places = {self.place(name): total for name, total in totals.items()}
            known.totals = array("d", [places.get(index, 0.0) for index in range(len(self.names))])
        return known

    def rebuild(self) -> None:
        """Order the backlogged customers again after their virtual times were replaced."""
        present, self.backlogged = self.backlogged, frozenset()
        self.order = VirtualOrder()
        self.furthest = -1
        self.system_virtual = min((self.virtual_time(name) for name in present), default=0.0)
        self.set_backlogged(present)


def seen_key(peer: str, incarnation: int) -> str:
    """Return the key of a router's charges in a `View`; a restarted router is another source."""
    return f"{peer}@{incarnation:x}"
