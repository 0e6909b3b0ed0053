"""Demand of other routers at an owner."""

from builders_decision import MODEL
from limpetusher.core.process.demand_book import DemandBook
from limpetusher.wire.messages import Demand, DemandEntry


def demand(sequence, waiting, *, last_grant=0, customer="alpha"):
    return Demand(sequence, last_grant, (DemandEntry(MODEL, customer, waiting, 0.0),))


def open_count(book):
    return sum(line.open for line in book.lines("alpha", [MODEL]))


def test_grants_on_their_way_are_not_counted_twice():
    """Guards against grants for requests that an earlier grant, still on its way, will take."""
    book = DemandBook(1.0)
    book.replace("r2", demand(1, 3), 0.0)
    for _ in range(2):
        book.granted(next(book.lines("alpha", [MODEL])), 0.0)
    book.replace("r2", demand(2, 2, last_grant=1), 0.1)
    assert open_count(book) == 1
    book.replace("r2", demand(3, 1, last_grant=2), 0.2)
    assert open_count(book) == 1


def test_lost_grant_is_given_again_after_its_validity():
    """Guards against a request that waits for ever because its grant was lost."""
    book = DemandBook(1.0)
    book.replace("r2", demand(1, 1), 0.0)
    book.granted(next(book.lines("alpha", [MODEL])), 0.0)
    book.replace("r2", demand(2, 1), 0.5)
    assert not book.has_open([MODEL])
    book.replace("r2", demand(3, 1), 1.0)
    assert open_count(book) == 1


def test_older_demand_does_not_replace_a_newer_one():
    """Guards against crossed messages that bring back requests that were granted or given up."""
    book = DemandBook(1.0)
    book.replace("r2", Demand(5, 0, ()), 0.0)
    book.replace("r2", demand(4, 3), 0.0)
    assert not book.has_open([MODEL])


def test_unreachable_router_gets_no_grants():
    """Guards against slots that are granted to a router that can't use them."""
    book = DemandBook(1.0)
    book.replace("r2", demand(1, 3), 0.0)
    book.replace("r3", demand(1, 3, customer="beta"), 0.0)
    book.drop("r2")
    assert list(book.customers([MODEL])) == ["beta"]
