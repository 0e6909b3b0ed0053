"""Exchange of load reports with peers, several times a second."""

from circuits.core import BaseComponent, handler

from limpetusher.clock import Clock
from limpetusher.events import Event
from limpetusher_router.events import REQUESTS, Due
from limpetusher_router.fleet.reports import PROTOCOL_VERSION, LoadReport, ReportSocket
from limpetusher_router.fleet.requests import CHECK_SECONDS, FleetRequests
from limpetusher_router.fleet.state import FleetState
from limpetusher_router.fleet.store_reader import StoreReader
from limpetusher_router.process.deadlines import Deadlines
from limpetusher_router.process.logs import log_event

ROUNDS_TO_SILENT_PEERS = 8
"""Reports go to peers that are not heard only in each eighth round, so that they find the fleet again."""


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

    channel = REQUESTS

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
        super().__init__(channel="exchange")
        self.state = state
        self.reports = reports
        self.requests = requests
        self.store = store
        self.clock = clock
        self.deadlines = deadlines
        self.round = 0
        self.is_stopping = False

    @handler("PeerReported", channel=REQUESTS)
    def on_report(self, address: str, report: LoadReport) -> None:
        """Take a peer's report."""
        now = self.clock.monotonic()
        state = self.state
        if address == state.members.own:
            return
        if state.members.heard(address, now):
            log_event(Event.PEER_REACHABLE, peer=address, revision=report.revision)
        state.members.told(report.peers, now)
        state.placement.loads.report(address, report.load(now))
        state.placement.routers = state.members.routers()
        self.sum_up()
        self.store.peer_knows(address, report.revision)

    def sum_up(self) -> None:
        """Use the newest reports of all peers."""
        loads = self.state.placement.loads.peers
        self.state.served.sum_up(loads)
        self.state.waiting.sum_up(loads)

    @handler("Due", channel="exchange")
    def on_due(self, _subject: object) -> None:
        """Send a report and look after silent targets and peers."""
        now = self.clock.monotonic()
        self.deadlines.schedule_in(CHECK_SECONDS, Due(), "exchange")
        self.state.members.forget(now)
        self.state.placement.loads.sum_up(now)
        self.sum_up()
        self.requests.check_silence()
        self.send(now)

    def send(self, now: float) -> None:
        """Send the present report."""
        state = self.state
        self.round += 1
        reachable = state.members.reachable(now)
        state.served.decay(now)
        report = LoadReport(
            version=PROTOCOL_VERSION,
            revision=state.mirror.revision,
            work={
                target_id: (work.requests, work.unread_tokens, work.memory_tokens)
                for target_id, work in state.placement.loads.own.items()
            },
            served={customer: int(tokens) for customer, tokens in state.served.own.items()},
            waiting={
                service: int(state.waiting.waiting_tokens(service)) for service in state.waiting.by_service
            },
            peers=reachable if self.round % ROUNDS_TO_SILENT_PEERS == 0 else [],
            is_stopping=self.is_stopping,
        )
        addresses = reachable
        if self.round % ROUNDS_TO_SILENT_PEERS == 0:
            addresses = state.members.addressees()
        self.reports.send(report, addresses)
