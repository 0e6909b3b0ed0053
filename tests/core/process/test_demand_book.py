"""Tests of the demand of other routers at an owner."""

from builders_decision import MODEL
from limpetusher.core.process.demand_book import DemandBook
from limpetusher.wire.messages import Demand, DemandEntry


def demand(sequence, waiting, *, last_grant_number=0, customer="alpha"):
    return Demand(sequence, last_grant_number, (DemandEntry(MODEL, customer, waiting, 0.0),))


def open_count(book):
    return sum(line.open_count for line in book.lines("alpha", [MODEL]))


def test_grants_in_flight_are_not_counted_twice():
    """Guards against a second grant for a request that a grant in flight will serve."""
    book = DemandBook(1.0)
    book.apply_demand("r2", demand(1, 3), 0.0)
    for _ in range(2):
        book.record_grant(next(book.lines("alpha", [MODEL])), 0.0)
    book.apply_demand("r2", demand(2, 2, last_grant_number=1), 0.1)
    assert open_count(book) == 1
    book.apply_demand("r2", demand(3, 1, last_grant_number=2), 0.2)
    assert open_count(book) == 1


def test_lost_grant_is_issued_again_after_its_validity():
    """Guards against a request that waits forever because its grant was lost."""
    book = DemandBook(1.0)
    book.apply_demand("r2", demand(1, 1), 0.0)
    book.record_grant(next(book.lines("alpha", [MODEL])), 0.0)
    book.apply_demand("r2", demand(2, 1), 0.5)
    assert not book.has_open_requests([MODEL])
    book.apply_demand("r2", demand(3, 1), 1.0)
    assert open_count(book) == 1


def test_older_demand_does_not_replace_a_newer_one():
    """Guards against reordered messages that restore requests which were granted or withdrawn."""
    book = DemandBook(1.0)
    book.apply_demand("r2", Demand(5, 0, ()), 0.0)
    book.apply_demand("r2", demand(4, 3), 0.0)
    assert not book.has_open_requests([MODEL])


def test_unreachable_router_gets_no_grants():
    """Guards against slots that are granted to a router that cannot use them."""
    book = DemandBook(1.0)
    book.apply_demand("r2", demand(1, 3), 0.0)
    book.apply_demand("r3", demand(1, 3, customer="beta"), 0.0)
    book.remove_router("r2")
    assert list(book.customers([MODEL])) == ["beta"]
