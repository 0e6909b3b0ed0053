"""Exchange of load reports with peers, several times a second."""

import heapq
from typing import Any

import msgspec
from circuits.core import BaseComponent, handler

from limpetusher.clock import Clock
from limpetusher.events import Event
from limpetusher.fleet.model import PromptPart
from limpetusher_router.events import REQUESTS, Due
from limpetusher_router.fleet.reports import PROTOCOL_VERSION, LoadReport, ReportSocket, Usage
from limpetusher_router.fleet.requests import CHECK_SECONDS, FleetRequests
from limpetusher_router.fleet.state import FleetState
from limpetusher_router.fleet.store_reader import StoreReader
from limpetusher_router.process.deadlines import Deadlines
from limpetusher_router.process.logs import log_event

EXCHANGE = "exchange"
NEWS = "news"
NEWS_SECONDS_PER_PEER = 0.002
"""Least time between two reports for each peer that gets them: at most 500 datagrams a second from a
router."""
ROUNDS_TO_SILENT_PEERS = 8
"""Reports go to peers that are not heard only in each eighth round, so that they find the fleet again."""
REPORTED_ENTRIES = 300
"""Entries of each kind in a report, so that it fits into a datagram of 60,000 bytes."""


def largest(entries: dict[str, Any]) -> dict[str, Any]:
    """Return the entries with the largest values, as many as a report may have."""
    if len(entries) <= REPORTED_ENTRIES:
        return entries
    return dict(heapq.nlargest(REPORTED_ENTRIES, entries.items(), key=lambda entry: entry[1]))


class PeerReports(BaseComponent):
    """Sends this router's report and takes those of its peers.

    Parameters
    ----------
    state
        What the router knows of the fleet.
    reports
        Socket for reports.
    requests
        Requests of this router.
    store
        Reader of the platform's store.
    """

    channel = EXCHANGE

    def __init__(
        self,
        state: FleetState,
        *,
        reports: ReportSocket,
        requests: FleetRequests,
        store: StoreReader,
        clock: Clock,
        deadlines: Deadlines,
    ):
        super().__init__()
        self.state = state
        self.reports = reports
        self.requests = requests
        self.store = store
        self.clock = clock
        self.deadlines = deadlines
        self.round = 0
        self.sent_at = 0.0
        self.news_due = False
        self.reachable: set[str] = set()

    @handler("PeerReported", channel=REQUESTS)
    def on_report(self, address: str, report: LoadReport) -> None:
        """Take a peer's report."""
        now = self.clock.monotonic()
        state = self.state
        if address == state.members.own:
            return
        if state.members.heard(address, now):
            log_event(Event.PEER_REACHABLE, peer=address, revision=report.revision)
            state.placement.routers = state.members.routers()
        if report.usage is not None:
            state.members.told(report.usage.peers, now)
        loads = state.placement.loads
        loads.report(address, report.load(now, loads.peers.get(address)))
        state.placement.observe_all(now)
        for target_id, shared in report.sent:
            state.placement.peer_sent(target_id, tuple(PromptPart(*part) for part in shared))
        if report.usage is not None:
            self.sum_up()
        self.store.peer_knows(address, report.revision)
        if state.waiting.by_service:
            self.requests.place()

    def sum_up(self) -> None:
        """Use the newest reports of all peers."""
        loads = self.state.placement.loads.peers
        self.state.served.sum_up(loads)
        self.state.waiting.sum_up(loads)
        self.state.placement.rates.sum_up(loads)

    @handler("Due")
    def on_due(self, subject: object) -> None:
        """Send a report; at intervals also look after silent targets and peers."""
        now = self.clock.monotonic()
        if subject == NEWS:
            self.news_due = False
            if now - self.sent_at >= self.news_gap(now) / 2:
                self.send(now, full=False)
            return
        self.deadlines.schedule_in(CHECK_SECONDS, Due(), EXCHANGE)
        self.note_silent(now)
        self.state.members.forget(now)
        self.state.placement.loads.sum_up(now)
        self.state.placement.observe_all(now)
        self.sum_up()
        self.state.drop_held()
        self.requests.check_silence()
        self.send(now, full=True)

    def note_silent(self, now: float) -> None:
        """Log the peers that are no longer heard."""
        reachable = set(self.state.members.reachable(now))
        for peer in sorted(self.reachable - reachable):
            log_event(Event.PEER_UNREACHABLE, peer=peer)
        self.reachable = reachable

    @handler("WorkChanged", channel=REQUESTS)
    def on_work_changed(self) -> None:
        """Tell the peers soon, together with what changes meanwhile."""
        if not self.news_due:
            self.news_due = True
            now = self.clock.monotonic()
            at = max(now, self.sent_at + self.news_gap(now))
            self.deadlines.schedule(at, Due(NEWS), EXCHANGE)

    def news_gap(self, now: float) -> float:
        """Return the least time between two reports; it grows with the number of peers."""
        return NEWS_SECONDS_PER_PEER * len(self.state.members.reachable(now))

    def usage(self) -> Usage:
        """Return the slower part of the report, with the largest entries of each kind."""
        state = self.state
        waiting = {
            service: {
                customer: (int(work.throughput_tokens), int(work.reading_tokens))
                for customer, work in state.waiting.own_waiting(service).items()
            }
            for service in state.waiting.by_service
        }
        return Usage(
            served=largest({customer: int(tokens) for customer, tokens in state.served.own.items()}),
            waiting={service: largest(customers) for service, customers in waiting.items()},
            rates=largest({name: int(rate) for name, rate in state.placement.rates.own().items()}),
            peers=[],
        )

    def send(self, now: float, *, full: bool) -> None:
        """Send the present report."""
        state = self.state
        self.sent_at = now
        reachable = state.members.reachable(now)
        usage = None
        addresses = reachable
        if full:
            self.round += 1
            state.served.decay(now)
            usage = self.usage()
            if self.round % ROUNDS_TO_SILENT_PEERS == 0:
                usage = msgspec.structs.replace(usage, peers=reachable)
                addresses = state.members.addressees()
        report = LoadReport(
            version=PROTOCOL_VERSION,
            revision=state.mirror.revision,
            work={
                target_id: (work.requests, work.unread_tokens, work.memory_tokens)
                for target_id, work in state.placement.loads.own.items()
            },
            sent=[
                (target_id, [(part.part_id, part.tokens) for part in shared])
                for target_id, shared in state.placement.caches.take_sent()[-REPORTED_ENTRIES:]
            ],
            usage=usage,
        )
        self.reports.send(report, addresses)
