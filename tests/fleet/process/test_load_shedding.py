"""Tests of the decision which requests an overloaded host sheds, without a network."""

import math

import msgspec
import pytest
from msgspec.structs import replace

from builders_shedding import HostModel
from limpetusher.fleet.messages import MemberEntry
from limpetusher.fleet.process.load_shedding import (
    MAX_CUSTOMERS,
    LoadShedder,
    LoadSheddingSettings,
    spare_capacity,
    spare_capacity_of_others,
)

CAPACITY = 500.0
"""Requests per second of the model's host."""


def make_member(capacity: float, **changes) -> MemberEntry:
    return MemberEntry("10.0.0.1", "north", capacity, 5, 1, **changes)


def test_host_below_its_capacity_sheds_nothing():
    """Load: 0.8 of the capacity for 10 s. Guards against shedding on hosts without overload."""
    host = HostModel({"acme": 0.8 * CAPACITY})
    host.run(10.0)
    assert not host.shed
    assert 60 <= host.shedder.load(host.now) <= 99


def test_short_burst_is_served():
    """Load: twice the capacity for 0.25 s. Guards against a start before 0.3 s without a pause."""
    host = HostModel({"acme": 2 * CAPACITY})
    host.run(0.25)
    host.rates = {"acme": 0.2 * CAPACITY}
    host.run(3.0)
    assert host.shedder.counts.shed == 0


@pytest.mark.parametrize("busy_seconds", [0.4, 3.0])
def test_one_long_round_does_not_start_shedding(busy_seconds):
    """Load: a pause of the whole process, 100 requests read after it. Guards against taking it for load."""
    shedder = LoadShedder(LoadSheddingSettings(), spare=lambda _now: 100.0, now=0.0)
    shedder.record_round(busy_seconds, busy_seconds)
    assert all(shedder.admits("acme", False, busy_seconds) for _ in range(100))
    shedder.record_round(0.01, busy_seconds + 0.01)
    assert not shedder.is_shedding


@pytest.mark.parametrize("request_seconds", [0.0005, 0.002, 0.01])
def test_flooded_host_serves_what_it_can_in_short_rounds(request_seconds):
    """Load: 10 times the capacity of slow and fast hosts. Guards against capacity lost to the flood.

    At the fastest host, a refusal takes a tenth of a request's time, so that refusals need half of its time.
    """
    host = HostModel({"flood": 10 / request_seconds}, request_seconds)
    host.run(4.0)
    host.run(4.0)
    assert host.shed["flood"] > 0
    work = host.admitted["flood"] * request_seconds
    assert work >= 0.4 * 4.0
    rounds = sorted(host.rounds)
    assert rounds[int(0.99 * len(rounds))] < 0.05


def test_refusals_do_not_raise_the_price_of_admitted_requests():
    """Load: 10 times the capacity, four fifths of a refusal's time unrecorded.

    Guards against a host that admits ever less, as it takes the time of refusals for that of what it admits.
    """
    host = HostModel({"flood": 10 * CAPACITY}, spare=0.0, unrecorded_seconds=0.00004)
    host.run(10.0)
    host.run(4.0)
    assert host.shedder.request_seconds < 1.5 * host.request_seconds
    assert host.admitted["flood"] >= 0.4 * CAPACITY * 4.0


@pytest.mark.parametrize("request_seconds", [0.002, 0.04])
def test_price_of_requests_is_learned_from_rounds_that_last_for_seconds(request_seconds):
    """Load: 20 times the capacity, first rounds of up to 2.6 s.

    Guards against a host that admits a fraction of what it can, as the requests of a long round count less
    than the time that they have taken.
    """
    host = HostModel({"flood": 20 / request_seconds}, request_seconds, spare=0.0)
    while not host.shedder.is_shedding:
        host.run(0.1)
    assert host.shedder.request_seconds == pytest.approx(request_seconds, rel=0.2)
    host.run(3.0)
    host.run(4.0)
    assert host.shedder.request_seconds == pytest.approx(request_seconds, rel=0.2)
    assert host.admitted["flood"] * request_seconds >= 0.4 * 4.0


def test_customer_below_its_share_is_never_shed_beside_a_flood():
    """Load: one customer floods with 20 times the capacity, others send a tenth of it each."""
    host = HostModel({"flood": 20 * CAPACITY, "acme": 0.1 * CAPACITY, "rosario": 0.1 * CAPACITY})
    host.run(8.0)
    assert host.shed["flood"] > 0
    assert not host.shed["acme"]
    assert not host.shed["rosario"]


def test_customer_that_starts_to_ask_during_a_flood_has_its_share_at_once():
    """Load: a flood of 10 times the capacity, then four requests of another customer at one time."""
    host = HostModel({"flood": 10 * CAPACITY}, spare=0.0)
    host.run(4.0)
    assert [host.shedder.admits("acme", False, host.now) for _ in range(4)] == [True] * 4


def test_equal_customers_are_shed_equally():
    """Load: four customers send the capacity each. Guards against a share that depends on the order."""
    host = HostModel(dict.fromkeys(("a", "b", "c", "d"), CAPACITY))
    host.run(4.0)
    host.run(4.0)
    assert min(host.admitted.values()) >= 0.8 * max(host.admitted.values())
    assert sum(host.shed.values()) > 0


def test_returning_callers_are_shed_last():
    """Load: 4 times the capacity, and returns of half of it. Guards against a second refusal of many."""
    host = HostModel({"flood": 4 * CAPACITY, "flood returning": 0.5 * CAPACITY})
    host.run(4.0)
    host.run(4.0)
    returns = host.admitted["flood returning"] + host.shed["flood returning"]
    assert host.shed["flood returning"] <= 0.02 * returns
    assert host.admitted["flood"] > 0


def test_nothing_is_shed_without_another_host_with_spare_capacity():
    """Load: 1.2 times the capacity for 1 s, all peers busy. Guards against refusals of what can wait."""
    host = HostModel({"flood": 1.2 * CAPACITY}, spare=0.0)
    host.run(1.0)
    assert host.shedder.is_shedding
    assert not host.shed
    assert host.shedder.counts.kept > 0


def test_excess_that_no_host_can_take_is_refused_before_the_host_is_congested():
    """Load: 10 times the capacity, all peers killed. Guards against rounds that last for a second."""
    host = HostModel({"flood": 10 * CAPACITY, "acme": 0.1 * CAPACITY}, spare=0.0)
    host.run(4.0)
    host.run(4.0)
    assert not host.shed
    assert host.refused["flood"] > 0
    assert not host.refused["acme"]
    assert max(host.rounds) < 0.25
    assert sum(host.admitted.values()) >= 0.4 * CAPACITY * 4.0


def test_no_more_is_shed_than_other_hosts_can_take():
    """Load: a flood of 10 times the capacity, others can take half of this host's capacity."""
    host = HostModel({"flood": 10 * CAPACITY}, spare=0.5)
    host.run(6.0)
    work = host.shed["flood"] * host.request_seconds
    assert 0.5 * 0.5 * 6.0 < work <= 1.5 * 0.5 * 6.0


def test_shedding_ends_after_the_flood_and_not_between():
    """Load: 5 times the capacity, then a tenth of it. Guards against shedding that stays or flaps."""
    host = HostModel({"flood": 5 * CAPACITY})
    host.run(3.0)
    assert host.shedder.is_shedding
    assert host.shedder.load(host.now) == 100
    host.rates = {"flood": 0.1 * CAPACITY}
    host.run(0.5)
    assert host.shedder.is_shedding
    host.run(2.5)
    assert not host.shedder.is_shedding
    assert not host.shed


def test_customers_that_are_told_apart_are_bounded():
    """Load: requests of many customers. Guards against memory that grows with their number."""
    shedder = LoadShedder(LoadSheddingSettings(), spare=lambda _now: 0.0, now=0.0)
    for number in range(2 * MAX_CUSTOMERS):
        shedder.admits(f"customer-{number}", False, 0.0)
    assert len(shedder.customers) == MAX_CUSTOMERS


def test_disabled_shedding_admits_everything():
    """Load: 10 times the capacity. Guards against a setting without effect."""
    host = HostModel({"flood": 10 * CAPACITY}, settings=LoadSheddingSettings(is_enabled=False))
    host.run(1.0)
    assert not host.shed


@pytest.mark.parametrize(
    ("field", "value", "bound"),
    [("start_busy_seconds", 0.2, "0.3"), ("busy_fraction", 1.5, "1.0"), ("retry_after_seconds", -1, "0.0")],
)
def test_wrong_setting_is_refused_with_field_and_range(field, value, bound):
    """Guards against settings outside of their bounds."""
    with pytest.raises(msgspec.ValidationError, match=rf"{bound}.*\$\.{field}"):
        msgspec.convert({field: value}, LoadSheddingSettings)


def test_spare_capacity_is_that_of_the_other_hosts():
    """Guards against sheds to the host itself, and to hosts that state an invalid load or capacity."""
    own = make_member(0.5, load=0)
    others = [make_member(2.0, load=40), make_member(1.0), make_member(math.inf, load=0)]
    others += [make_member(1.0, load=10**9), make_member(-3.0, load=0)]
    members = [own, *(replace(entry, address=f"10.0.0.{2 + n}") for n, entry in enumerate(others))]
    assert spare_capacity_of_others(own, members) == pytest.approx(0.4 * 2.0 / 0.5)
    assert spare_capacity_of_others(own, [own]) == 0.0


@pytest.mark.parametrize(
    ("load", "cores"), [(-1, 0.0), (0, 1.6), (50, 0.6), (80, 0.0), (100, 0.0), (700, 0.0)]
)
def test_spare_capacity_of_a_host(load, cores):
    """Guards against sheds to hosts that state no load, are busy, or state nonsense."""
    assert spare_capacity(load, 2.0) == pytest.approx(cores)
