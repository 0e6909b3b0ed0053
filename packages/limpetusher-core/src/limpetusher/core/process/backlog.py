"""Customers with waiting requests at any router, as far as this router knows."""

from collections import Counter
from collections.abc import Iterable


class Backlog:
    """Union of the waiting customers reported by several sources; each source replaces its own set."""

    def __init__(self) -> None:
        self.sources: dict[str, frozenset[str]] = {}
        self.references: Counter[str] = Counter()
        self.changed = False

    def replace(self, source: str, customers: Iterable[str]) -> None:
        """Replace the set of waiting customers of a source."""
        new = frozenset(customers)
        old = self.sources.get(source, frozenset())
        if new == old:
            return
        self.sources[source] = new
        for customer in new - old:
            self.add_reference(customer)
        for customer in old - new:
            self.drop_reference(customer)

    def drop(self, source: str) -> None:
        """Remove a source."""
        for customer in self.sources.pop(source, frozenset()):
            self.drop_reference(customer)

    def add_reference(self, customer: str) -> None:
        """Count one more source for the customer."""
        self.references[customer] += 1
        self.changed = self.changed or self.references[customer] == 1

    def drop_reference(self, customer: str) -> None:
        """Count one fewer source for the customer."""
        self.references[customer] -= 1
        if not self.references[customer]:
            del self.references[customer]
            self.changed = True

    def customers(self) -> set[str]:
        """Return all customers with waiting requests and reset `changed`."""
        self.changed = False
        return set(self.references)
