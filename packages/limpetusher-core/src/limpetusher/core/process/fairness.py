"""Weighted fair sharing: virtual time of each customer, charges from peers and cost estimates."""

import heapq
import math
from array import array
from collections import deque
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from limpetusher.configuration.compiled import Customer, Service
from limpetusher.core.settings import PolicySettings
from limpetusher.errors import InvalidInputError
from limpetusher.wire.messages import VirtualTimes

DEFAULT_COST = 100.0
"""Estimate, in cost units, for a service that is not configured."""
MAXIMUM_SNAPSHOT_CHARGES = 20_000
"""Charges in a `VirtualTimes`, so that it fits in a message; routers beyond it are listed without charges."""
REMEMBERED_SENDS = 64
"""Heartbeats per peer for which the included changes are remembered."""
DIRECT_COMPARISON_DIVISOR = 4
"""Fewer candidates than the backlogged customers divided by this are compared without the heap."""
RETIRED_INCARNATIONS = 8
"""Ended incarnations per peer that are remembered, so that their late charges are ignored."""


@dataclass(slots=True)
class PeerCharges:
    """Cumulative charges last received from one peer, by customer index; NaN where none was received yet.

    With `baseline`, the first value received for a customer is not counted as new service.
    """

    incarnation: int
    totals: array
    retired: deque[int] = field(default_factory=lambda: deque(maxlen=RETIRED_INCARNATIONS))
    baseline: bool = False


@dataclass(slots=True)
class SentChanges:
    """Changes sent to one peer.

    `sends` holds the sequence number of each recent heartbeat and the last change number that it included,
    `confirmed` the greatest such change number of an echoed heartbeat.
    """

    confirmed: int = 0
    sends: deque[tuple[int, int]] = field(default_factory=lambda: deque(maxlen=REMEMBERED_SENDS))


class VirtualTimeHeap:
    """Heap of customer indexes by virtual time.

    `keys` holds the key of the valid heap entry of each index; other entries are stale. Charges do not update
    the heap, so a key may be below the current virtual time, but never above it.
    """

    def __init__(self):
        self.heap: list[tuple[float, int]] = []
        self.keys: dict[int, float] = {}

    def add(self, index: int, virtual: float) -> None:
        """Add an index, unless it has a valid entry with a key as low."""
        if virtual < self.keys.get(index, math.inf):
            self.keys[index] = virtual
            heapq.heappush(self.heap, (virtual, index))

    def lower(self, index: int, virtual: float) -> None:
        """Update the entry of an index after its virtual time has decreased."""
        if index in self.keys:
            self.add(index, virtual)

    def find_minimum(self, fairness: "Fairness", candidates: Collection[str] | None = None) -> int | None:
        """Return the backlogged index with the lowest virtual time, among `candidates` if given."""
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
            elif (virtual := fairness.apply_catch_up_window(index)) != key:
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
    """Service that each customer has received, as far as this router knows.

    Parameters
    ----------
    settings
        Constants of the policy.
    own_id, incarnation
        Identify this router in the snapshots that it sends to others.
    """

    def __init__(self, settings: PolicySettings, *, own_id: str = "", incarnation: int = 0):
        self.settings = settings
        self.own_id = own_id
        self.incarnation = incarnation
        self.index_by_name: dict[str, int] = {}
        self.names: list[str] = []
        self.shares = array("d")
        self.virtual_times = array("d")
        self.own_charges = array("d")
        self.default_costs: dict[str, float] = {}
        self.average_costs: dict[tuple[str, str], float] = {}
        self.peers: dict[str, PeerCharges] = {}
        self.forgotten_incarnations: dict[str, int] = {}
        self.sent: dict[str, SentChanges] = {}
        self.last_change_number = 0
        self.change_numbers: dict[int, int] = {}
        self.backlogged: frozenset[str] = frozenset()
        self.virtual_time_heap = VirtualTimeHeap()
        self.furthest_ahead = -1
        self.system_virtual_time = 0.0

    def set_shares(self, customers: Mapping[str, Customer]) -> None:
        """Set the customers' shares. Customers that are gone keep their index and service."""
        for name, customer in customers.items():
            self.shares[self.customer_index(name)] = customer.share

    def set_services(self, services: Mapping[str, Service]) -> None:
        """Set the services' default costs."""
        self.default_costs = {name: service.default_cost for name, service in services.items()}

    def customer_index(self, customer: str) -> int:
        """Return the index of `customer`, adding it with share 1 when it is unknown."""
        index = self.index_by_name.get(customer)
        if index is None:
            index = len(self.names)
            self.index_by_name[customer] = index
            self.names.append(customer)
            self.shares.append(1.0)
            self.virtual_times.append(0.0)
            self.own_charges.append(0.0)
        return index

    def virtual_time(self, customer: str) -> float:
        """Return the service that the customer has received, divided by its share."""
        return self.virtual_times[self.customer_index(customer)]

    def estimate(self, customer: str, service: str, prompt_cost: float, hint: float | None) -> float:
        """Return the expected cost of a request.

        It is the average cost or, if given, the hint limited to within `hint_factor` of the average; at least
        it is the cost of the prompt.
        """
        average = self.average_costs.get((customer, service))
        if average is None:
            average = self.default_costs.get(service, DEFAULT_COST)
        expected = average
        if hint is not None:
            factor = self.settings.hint_factor
            expected = min(max(hint, average / factor), average * factor)
        return max(expected, prompt_cost)

    def observe_cost(self, customer: str, service: str, cost: float) -> None:
        """Add the final cost of a request to the moving average."""
        key = (customer, service)
        average = self.average_costs.get(key)
        if average is None:
            average = self.default_costs.get(service, DEFAULT_COST)
        self.average_costs[key] = average + self.settings.estimate_weight * (cost - average)

    def charge(self, customer: str, amount: float) -> None:
        """Charge a customer at this router; a negative amount corrects an earlier charge."""
        if amount == 0.0:
            return
        index = self.customer_index(customer)
        self.own_charges[index] += amount
        self.last_change_number += 1
        self.change_numbers.pop(index, None)
        self.change_numbers[index] = self.last_change_number
        self.add_service(index, amount)

    def add_service(self, index: int, amount: float) -> None:
        """Add service to a customer's virtual time; a negative amount corrects it."""
        virtual = self.virtual_times[index] = self.virtual_times[index] + amount / self.shares[index]
        if amount < 0.0:
            self.virtual_time_heap.lower(index, virtual)
            if index == self.furthest_ahead:
                self.find_furthest_ahead()
        elif virtual > self.virtual_times[self.furthest_ahead] and self.names[index] in self.backlogged:
            self.furthest_ahead = index

    def find_furthest_ahead(self) -> None:
        """Find the backlogged customer with the greatest virtual time."""
        self.furthest_ahead = max(
            (self.index_by_name[name] for name in self.backlogged),
            key=self.virtual_times.__getitem__,
            default=-1,
        )

    def apply_peer_charges(self, peer: str, incarnation: int, totals: Mapping[str, float]) -> None:
        """Apply the cumulative charges of a peer: the difference to the last values is new service."""
        charges = self.peer_charges(peer, incarnation)
        if charges is None:
            return
        for customer, total in totals.items():
            index = self.customer_index(customer)
            if index >= len(charges.totals):
                fill = math.nan if charges.baseline else 0.0
                charges.totals.extend([fill] * (len(self.names) - len(charges.totals)))
            before = charges.totals[index]
            charges.totals[index] = total
            if not math.isnan(before) and total != before:
                self.add_service(index, total - before)

    def peer_charges(self, peer: str, incarnation: int) -> PeerCharges | None:
        """Return the charges last received from a peer, None for an incarnation that has ended."""
        charges = self.peers.get(peer)
        if charges is None:
            baseline = self.forgotten_incarnations.pop(peer, None) == incarnation
            charges = self.peers[peer] = PeerCharges(incarnation, array("d"), baseline=baseline)
        elif charges.incarnation != incarnation:
            if incarnation in charges.retired:
                return None
            charges.retired.append(charges.incarnation)
            charges.incarnation, charges.totals, charges.baseline = incarnation, array("d"), False
        return charges

    def forget_peer(self, peer: str) -> None:
        """Remove the charges of a peer that is gone; the service that they include stays counted.

        Its incarnation is kept, so that the same charges are not counted again when the peer returns.
        """
        charges = self.peers.pop(peer, None)
        if charges is not None:
            self.forgotten_incarnations[peer] = charges.incarnation
        self.sent.pop(peer, None)

    def changes_for(self, peer: str, echo: int, *, sequence: int) -> dict[str, float]:
        """Return the cumulative charges that `peer` may not know, for the heartbeat with number `sequence`.

        `echo` is the highest sequence number of this router that the peer has echoed. Only the heartbeat with
        exactly this number is known to have arrived.
        """
        sent = self.sent.setdefault(peer, SentChanges())
        for number, change in sent.sends:
            if number == echo:
                sent.confirmed = max(sent.confirmed, change)
        sent.sends.append((sequence, self.last_change_number))
        changes = {}
        for index in reversed(self.change_numbers):
            if self.change_numbers[index] <= sent.confirmed:
                break
            changes[self.names[index]] = self.own_charges[index]
        return changes

    def reset_sent_changes(self, peer: str) -> None:
        """Forget what was sent to a peer that has lost its state, so that it gets all charges again."""
        self.sent.pop(peer, None)

    def set_backlogged(self, customers: Iterable[str]) -> None:
        """Set the customers with waiting requests at any router; newly backlogged ones get no credit."""
        backlogged = frozenset(customers)
        if backlogged == self.backlogged:
            return
        added = sorted(self.customer_index(name) for name in backlogged - self.backlogged)
        self.backlogged = backlogged & self.backlogged
        first = self.virtual_time_heap.find_minimum(self)
        floor = self.system_virtual_time if first is None else self.virtual_times[first]
        self.backlogged = backlogged
        for index in added:
            self.virtual_times[index] = max(self.virtual_times[index], floor)
            self.virtual_time_heap.add(index, self.virtual_times[index])
        if self.furthest_ahead < 0 or added or self.names[self.furthest_ahead] not in backlogged:
            self.find_furthest_ahead()

    def choose_customer(self, candidates: Collection[str]) -> str:
        """Return the backlogged candidate with the lowest virtual time; ties go to the lowest index.

        Raises
        ------
        InvalidInputError
            When no candidate is backlogged.
        """
        if len(candidates) * DIRECT_COMPARISON_DIVISOR < len(self.backlogged):
            eligible = (self.index_by_name[name] for name in candidates if name in self.backlogged)
            chosen = min(eligible, key=lambda index: (self.apply_catch_up_window(index), index), default=None)
        else:
            chosen = self.virtual_time_heap.find_minimum(self, candidates)
        if chosen is None:
            raise InvalidInputError("no candidate is backlogged")
        self.system_virtual_time = max(self.system_virtual_time, self.virtual_times[chosen])
        return self.names[chosen]

    def apply_catch_up_window(self, index: int) -> float:
        """Raise a backlogged customer's virtual time to the start of the catch-up window and return it.

        The window reaches back from the backlogged customer with the greatest virtual time.
        """
        if self.furthest_ahead >= 0:
            window = self.settings.catch_up_window_cost / self.shares[index]
            self.virtual_times[index] = max(
                self.virtual_times[index], self.virtual_times[self.furthest_ahead] - window
            )
        return self.virtual_times[index]

    def virtual_times_snapshot(self) -> VirtualTimes:
        """Return the virtual times, and the charges that they include, for a router that has started."""
        virtual = dict(zip(self.names, self.virtual_times, strict=True))
        sources = {
            charges_key(peer, charges.incarnation): charges.totals for peer, charges in self.peers.items()
        }
        sources[charges_key(self.own_id, self.incarnation)] = self.own_charges
        included_charges: dict[str, dict[str, float]] = {}
        entries = 0
        for key, totals in sorted(sources.items()):
            values = {
                self.names[i]: total for i, total in enumerate(totals) if total and not math.isnan(total)
            }
            entries += len(values)
            included_charges[key] = values if entries <= MAXIMUM_SNAPSHOT_CHARGES else {}
        return VirtualTimes(virtual=virtual, included_charges=included_charges)

    def adopt_snapshot(self, snapshot: VirtualTimes) -> None:
        """Replace the virtual times by those of a peer and add the charges that they do not include."""
        included = {tuple(key.rsplit("@", 1)): totals for key, totals in snapshot.included_charges.items()}
        for name, virtual in snapshot.virtual.items():
            self.virtual_times[self.customer_index(name)] = virtual
        self.add_missing(self.own_charges, included.get((self.own_id, f"{self.incarnation:x}"), {}))
        for peer, charges in self.peers.items():
            totals = included.pop((peer, f"{charges.incarnation:x}"), None)
            if totals is not None:
                self.add_missing(charges.totals, totals)
        for (peer, incarnation), totals in included.items():
            if peer not in self.peers and peer != self.own_id:
                self.peers[peer] = self.charges_in_snapshot(int(incarnation, 16), totals)
        self.rebuild()

    def add_missing(self, totals: array, known: Mapping[str, float]) -> None:
        """Add the part of cumulative charges that an adopted snapshot does not include."""
        if not known:
            return
        for index, total in enumerate(totals):
            if not math.isnan(total):
                self.virtual_times[index] += (total - known.get(self.names[index], 0.0)) / self.shares[index]

    def charges_in_snapshot(self, incarnation: int, totals: Mapping[str, float]) -> PeerCharges:
        """Return the charges of a peer that an adopted snapshot includes."""
        charges = PeerCharges(incarnation, array("d"), baseline=not totals)
        if totals:
            totals_by_index = {self.customer_index(name): total for name, total in totals.items()}
            charges.totals = array("d", [totals_by_index.get(index, 0.0) for index in range(len(self.names))])
        return charges

    def rebuild(self) -> None:
        """Rebuild the heap after the virtual times were replaced."""
        backlogged, self.backlogged = self.backlogged, frozenset()
        self.virtual_time_heap = VirtualTimeHeap()
        self.furthest_ahead = -1
        self.system_virtual_time = min((self.virtual_time(name) for name in backlogged), default=0.0)
        self.set_backlogged(backlogged)


def charges_key(peer: str, incarnation: int) -> str:
    """Return the key of a router's charges in a `VirtualTimes`; each incarnation of a router has its own."""
    return f"{peer}@{incarnation:x}"
