"""Tests of what routers tell each other, with the datagrams encoded and decoded."""

import random
from types import SimpleNamespace

import msgspec
import pytest

from builders_fleet import make_service, make_target, make_work
from builders_platform import make_host_settings
from limpetusher.clock import ManualClock
from limpetusher.fleet.settings import FleetSettings
from limpetusher_router.fleet.exchange_reports import PeerReports
from limpetusher_router.fleet.reports import MAXIMUM_DATAGRAM_BYTES, LoadReport
from limpetusher_router.fleet.state import FleetState
from limpetusher_router.process.deadlines import Deadlines

SERVICE = "llm"


class Router:
    """A router's state and its exchange of reports, without sockets."""

    def __init__(self, ip: str, clock: ManualClock):
        self.ip = ip
        self.state = FleetState(make_host_settings(ip=ip), FleetSettings(), clock=clock, rng=random.Random(1))
        self.state.placement.services = {SERVICE: make_service(name=SERVICE)}
        self.state.placement.put_target(make_target("e1", service=SERVICE))
        self.datagrams: list[bytes] = []
        encode = msgspec.msgpack.Encoder().encode
        self.exchange = PeerReports(
            self.state,
            reports=SimpleNamespace(send=lambda report, _addresses: self.datagrams.append(encode(report))),
            requests=SimpleNamespace(place=lambda: None, check_silence=lambda: None),
            store=SimpleNamespace(peer_knows=lambda *_: None),
            clock=clock,
            deadlines=Deadlines(clock),
        )

    def hear(self, other: "Router") -> None:
        """Take all reports of another router."""
        for data in other.datagrams:
            self.exchange.on_report(other.ip, msgspec.msgpack.decode(data, type=LoadReport))
        other.datagrams.clear()


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def routers(clock):
    return Router("10.0.0.1", clock), Router("10.0.0.2", clock)


def test_peer_learns_what_an_engine_keeps_and_has_to_read(routers, clock):
    """Guards against routers that read a session again because another one has sent it."""
    first, second = routers
    work = make_work(service=SERVICE)
    placement = first.state.placement
    placed = placement.choose(work, clock.monotonic())
    placement.start(work, placed, clock.monotonic())
    first.exchange.send(clock.monotonic(), full=False)
    second.hear(first)
    caches = second.state.placement.caches
    assert caches.unread_tokens("e1", work.parts, work.prompt_tokens) == work.parts[-1].tokens
    assert second.state.placement.loads.total("e1").unread_tokens == placed.work.unread_tokens


def test_peer_learns_what_waits_and_what_was_served_and_measured(routers, clock):
    """Guards against shares and bursts that each router decides by its own requests alone."""
    first, second = routers
    work = make_work(service=SERVICE, customer="flood")
    first.state.waiting.add(work)
    first.state.served.serve("flood", 5_000.0)
    first.state.placement.rates.by_target["e1"] = 60_000.0
    second.state.placement.rates.by_target["e1"] = 100_000.0
    first.exchange.send(clock.monotonic(), full=True)
    second.hear(first)
    waiting = second.state.waiting.fleet_waiting(SERVICE)
    assert waiting["flood"].reading_tokens == work.parts[-1].tokens
    assert second.state.served.total("flood") == 5_000.0
    assert second.state.placement.rates.rate(SERVICE, "e1") == 80_000.0


def test_report_between_full_ones_keeps_what_it_leaves_out(routers, clock):
    """Guards against waiting work that vanishes with each short report."""
    first, second = routers
    first.state.waiting.add(make_work(service=SERVICE, customer="flood"))
    first.exchange.send(clock.monotonic(), full=True)
    first.exchange.send(clock.monotonic(), full=False)
    second.hear(first)
    second.exchange.sum_up()
    assert "flood" in second.state.waiting.fleet_waiting(SERVICE)


def test_report_fits_into_a_datagram_whatever_the_number_of_customers(routers, clock):
    """Guards against reports that can't be sent: the largest entries are kept."""
    first, second = routers
    for number in range(4_000):
        customer = f"customer-with-a-long-name-{number:06}"
        first.state.served.serve(customer, 1_000.0 + number)
        first.state.waiting.add(make_work(f"w{number}", service=SERVICE, customer=customer))
        first.state.placement.rates.by_target[f"i-{number:010x}"] = 50_000.0 + number
        first.state.placement.caches.sent("e1", make_work(session=f"{number:012x}").parts, 1e6)
    first.exchange.send(clock.monotonic(), full=True)
    assert len(first.datagrams[0]) < MAXIMUM_DATAGRAM_BYTES
    second.hear(first)
    assert second.state.served.total("customer-with-a-long-name-003999") == 4_999.0
