"""Router process: component tree, start and graceful stop."""

import logging
import random
import resource
import signal
import types

from circuits.core import handler
from circuits.core.pollers import EPoll

from limpetusher.clock import Clock, SystemClock
from limpetusher.core.inputs import StopRequested
from limpetusher.events import Event
from limpetusher_router.connection.callers import CallerServer
from limpetusher_router.connection.peers import PeerSockets
from limpetusher_router.connection.targets import TargetClient
from limpetusher_router.events import (
    CALLERS,
    CORE,
    PROCESS,
    CloseAfterAnswers,
    CoreInput,
    DeadlineReached,
    StopAccepting,
)
from limpetusher_router.process.adapter import CoreAdapter
from limpetusher_router.process.admin import WEB_CHANNEL, AdminPages, AdminServer
from limpetusher_router.process.admin_guard import AdminGuard
from limpetusher_router.process.body_memory import BodyMemory
from limpetusher_router.process.core import make_core, owned_target_addresses
from limpetusher_router.process.deadlines import Deadlines
from limpetusher_router.process.loads import LoadReportReader
from limpetusher_router.process.logs import log_event, set_up_logging
from limpetusher_router.process.metrics import Metrics
from limpetusher_router.process.orders import OrderSender
from limpetusher_router.process.root import ProcessRoot, StopSignal
from limpetusher_router.process.tracing import Tracing
from limpetusher_router.request.forwarding import RequestForwarder
from limpetusher_router.request.id_generator import RequestIdGenerator
from limpetusher_router.settings import RouterSettings
from limpetusher_router.version.hosts import HostListReader
from limpetusher_router.version.watch import ConfigurationWatch

INCARNATION_BITS = 63
FLUSH_POLL_INTERVAL_SECONDS = 0.05
FLUSH_TIMEOUT_SECONDS = 10.0
PEER_MESSAGE_FLUSH_SECONDS = 0.2

logger = logging.getLogger(__name__)


class RouterProcess(ProcessRoot):
    """Root of the component tree of the router.

    Parameters
    ----------
    settings
        Settings of the router.
    clock
        Source of time.
    """

    def __init__(self, settings: RouterSettings, *, clock: Clock):
        super().__init__(Metrics(), clock=clock)
        self.settings = settings
        self.clock = clock
        self.flush_deadline: float | None = None
        key = settings.read_peer_key()
        # Seeded from system entropy, so that a restarted router gets another incarnation.
        rng = random.Random(random.SystemRandom().getrandbits(64))
        incarnation = rng.getrandbits(INCARNATION_BITS)
        core = make_core(settings, incarnation=incarnation, rng=random.Random(rng.random()), clock=clock)

        self.poller = EPoll().register(self)
        self.deadlines = Deadlines(clock).register(self)
        body_memory = BodyMemory(settings.max_held_body_bytes, clock=clock, metrics=self.metrics)
        common_arguments = {"deadlines": self.deadlines, "poller": self.poller, "metrics": self.metrics}
        self.peers = PeerSockets(settings, key=key, incarnation=incarnation, **common_arguments).register(
            self
        )
        self.callers = CallerServer(
            settings,
            id_generator=RequestIdGenerator(settings.host_id, incarnation),
            body_memory=body_memory,
            rounds=self.rounds,
            **common_arguments,
        ).register(self)
        self.targets = TargetClient(settings, clock=clock, **common_arguments).register(self)
        tracing = Tracing(settings.host_id, write_spans=settings.trace_output)
        RequestForwarder(settings, clock=clock, metrics=self.metrics, tracing=tracing).register(self)
        adapter = CoreAdapter(core, clock=clock, deadlines=self.deadlines, metrics=self.metrics)
        self.adapter = adapter.register(self)
        ConfigurationWatch(settings, deadlines=self.deadlines, rng=rng).register(self)
        HostListReader(settings, deadlines=self.deadlines, rng=rng).register(self)
        LoadReportReader(
            settings,
            clock=clock,
            deadlines=self.deadlines,
            owned_targets=lambda: owned_target_addresses(core),
        ).register(self)
        OrderSender().register(self)
        AdminServer(settings).register(self)
        AdminGuard(WEB_CHANNEL).register(self)
        AdminPages(core, metrics=self.metrics, configuration_document=self.configuration_document).register(
            self
        )

    def configuration_document(self) -> bytes | None:
        """Return the configuration document in force."""
        configuration = self.adapter.configuration
        return configuration.document if configuration is not None else None

    def _signal_handler(self, signo: int, stack: types.FrameType | None) -> None:
        # Replaces the signal event of circuits, on which its web server ends the process after 3 s.
        self.fire(StopSignal(signo, None), PROCESS)

    @handler("started", channel="*")
    def on_started(self, _component: object) -> None:
        """Log the start and wake the core, so that it requests its initial data."""
        log_event(Event.ROUTER_STARTED, data_centre=self.settings.data_centre)
        self.fire(DeadlineReached(), CORE)

    @handler("StopSignal")
    def on_stop_signal(self, number: int, _stack: object) -> None:
        """Start a graceful stop, which finishes the requests in progress first."""
        logger.info("received %s", signal.Signals(number).name)
        self.fire(CloseAfterAnswers(), CALLERS)
        self.fire(CoreInput(StopRequested()), CORE)

    @handler("StopProcess")
    def on_stop_process(self) -> None:
        """Exit once the callers have read their answers."""
        if self.flush_deadline is None:
            now = self.clock.monotonic()
            self.flush_deadline = now + FLUSH_TIMEOUT_SECONDS
            self.fire(StopAccepting(), CALLERS)
            self.deadlines.schedule(now + PEER_MESSAGE_FLUSH_SECONDS, DeadlineReached(), PROCESS)

    @handler("DeadlineReached")
    def on_due(self, _subject: object) -> None:
        """Exit once all answers are written, or the flush timeout has passed."""
        if self.callers.is_busy and self.clock.monotonic() < self.flush_deadline:
            self.deadlines.schedule_in(FLUSH_POLL_INTERVAL_SECONDS, DeadlineReached(), PROCESS)
            return
        self.stopped_cleanly = True
        self.stop()


def raise_descriptor_limit() -> None:
    """Raise the limit of open file descriptors to the hard limit."""
    _soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def run_router(settings: RouterSettings) -> int:
    """Run a router until it stops, and return the exit status."""
    set_up_logging(settings)
    raise_descriptor_limit()
    process = RouterProcess(settings, clock=SystemClock())
    status = process.run_until_stopped()
    process.peers.close()
    return status
