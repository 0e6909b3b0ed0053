"""Router process of a platform host: component tree, startup, reload and shutdown."""

import logging
import math
import random
import signal
import types
from dataclasses import replace
from pathlib import Path

from circuits.core import handler
from circuits.core.events import signal as signal_event

from limpetusher.clock import Clock, SystemClock
from limpetusher.errors import ConfigurationError
from limpetusher.events import Event
from limpetusher.fleet.process.load_shedding import LoadShedder
from limpetusher.fleet.process.rate_limits import RetryBudgetSettings
from limpetusher.fleet.settings import FleetSettings
from limpetusher.fleet.version.mirror import Change
from limpetusher_router.connection.callers import CallerServer
from limpetusher_router.connection.settings import ConnectionSettings
from limpetusher_router.connection.targets import TargetClient
from limpetusher_router.events import (
    CALLERS,
    DATAGRAMS,
    METRICS,
    PAGES,
    PEER_EXCHANGE,
    PROCESS,
    READINESS,
    REQUESTS,
    STORE,
    TARGETS,
    CloseAfterAnswers,
    CloseIdleConnections,
    DeadlineReached,
    ReadStoreHistory,
    SettingsChanged,
    StopAccepting,
)
from limpetusher_router.fleet.answers import AnswerForwarder
from limpetusher_router.fleet.datagrams import DatagramSocket
from limpetusher_router.fleet.internal_pages import InternalPages
from limpetusher_router.fleet.peers import PeerMessaging
from limpetusher_router.fleet.requests import FleetRequests
from limpetusher_router.fleet.state import FleetState
from limpetusher_router.fleet.store_reader import REGULAR_UPDATE, StoreReader
from limpetusher_router.platform.settings_file import HostSettings, read_settings
from limpetusher_router.platform.store import HistoryItem
from limpetusher_router.process.body_memory import BodyMemory
from limpetusher_router.process.deadlines import Deadlines
from limpetusher_router.process.logs import log_event
from limpetusher_router.process.metrics import Metrics
from limpetusher_router.process.poller import Priority, PriorityPoller
from limpetusher_router.process.root import ProcessRoot, StopSignal
from limpetusher_router.process.shedding import CallerShedding
from limpetusher_router.request.id_generator import RequestIdGenerator

CONNECT_TIMEOUT_SECONDS = 0.3
"""Timeout of connections inside the deployment, which normally take a few milliseconds."""
MAX_ACCEPTING_SECONDS = 3.0
"""Time from the stop signal until new requests are refused as not run, since the rest of the grace time may
be too short for a long stream. By then the platform has taken the router out of service, which it does after
two failed readiness checks, one a second."""
MAX_ACCEPTING_FRACTION = 0.375
"""Fraction of the grace time after which new requests are refused in any case, so that with a short grace
time more than half of it is left for the last ones."""
STOP_MARGIN_SECONDS = 0.6
"""How long before the end of the grace time the process exits at the latest."""
LAST_ANSWERS_SECONDS = 0.2
"""How long before that the requests that still run are ended with an answer, which then has to be written."""
FLUSH_POLL_SECONDS = 0.05
FIRST_PEER_MESSAGE_SECONDS = 1.0
"""Maximum time for which a router that starts waits for a message of a peer before it becomes ready; peers
answer its first message within milliseconds."""
SETTINGS_POLL_SECONDS = 1.0
BODY_MEMORY_FRACTION = 0.4
"""Fraction of the memory limit that request bodies may take. An idle router with few peers takes a quarter of
the users' 150 MB; the rest is for connections, answers, the fleet's state and bytes in sockets."""
RESERVED_DESCRIPTORS = 700
"""Descriptors kept for targets, peers, the store and the interpreter."""
POLL_PRIORITIES = {
    DATAGRAMS: Priority.CONTROL,
    READINESS: Priority.CONTROL,
    PAGES: Priority.CONTROL,
    TARGETS: Priority.ANSWERS,
}
"""Priorities of the sockets by channel. The store and copies of peers are read by the component for targets,
which marks their sockets as control traffic."""
IDLE_TIMEOUT_FACTOR = 1.2
"""Factor on the announced idle limit, so that a connection is not closed while a request is in transit."""

logger = logging.getLogger(__name__)


class ReloadSignal(signal_event):
    """SIGHUP arrived, which asks to read the settings file again."""


def router_settings(host: HostSettings) -> ConnectionSettings:
    """Return the connection settings of a host."""
    return ConnectionSettings(
        host_id=host.host_id,
        data_centre=host.data_centre,
        caller_address=host.caller_address,
        connect_timeout_seconds=CONNECT_TIMEOUT_SECONDS,
        max_caller_connections=max(64, host.maximum_descriptors - RESERVED_DESCRIPTORS),
        max_descriptors=host.maximum_descriptors,
        max_held_body_bytes=int(host.memory_megabytes * BODY_MEMORY_FRACTION * 1e6),
    )


def fleet_settings(host: HostSettings) -> FleetSettings:
    """Return the scheduling settings of a host."""
    bounds = host.bounds
    budget = RetryBudgetSettings(
        ratio=bounds.retry_ratio, extra=bounds.retry_extra, window_seconds=bounds.retry_window_seconds
    )
    return FleetSettings(retry_budget=budget)


class FleetProcess(ProcessRoot):
    """Root component of the router process of a platform host.

    Parameters
    ----------
    path
        Path of the settings file.
    host
        Content of the settings file.
    clock
        Source of time.
    """

    def __init__(self, path: Path, host: HostSettings, *, clock: Clock):
        super().__init__(Metrics(), clock=clock)
        self.path = path
        self.host = host
        self.clock = clock
        self.stop_requested_at: float | None = None
        self.has_been_ready = False
        self.registrations: tuple[tuple[int, float], ...] = ()
        """Revisions at which the targets were registered that are listed at the start, and their starts."""
        self.started_at = clock.monotonic()
        self.settings = router_settings(host)
        self.state = FleetState(host, fleet_settings(host), clock=clock, rng=random.Random())
        self.set_seed_addresses(host)
        self.poller = PriorityPoller(clock, POLL_PRIORITIES).register(self)
        self.deadlines = Deadlines(clock, reads_first=True).register(self)
        shared = {"deadlines": self.deadlines, "poller": self.poller, "metrics": self.metrics}
        id_generator = RequestIdGenerator(host.host_id, int(clock.wall() * 1_000))
        self.body_memory = BodyMemory(self.settings.max_held_body_bytes, clock=clock, metrics=self.metrics)
        caller_ports = {
            "id_generator": id_generator,
            "body_memory": self.body_memory,
            "rounds": self.rounds,
            **shared,
        }
        self.shedding = self.make_shedding()
        self.callers = CallerServer(self.settings, shedding=self.shedding, **caller_ports).register(self)
        self.callers.targets = TargetClient(self.settings, clock=clock, **shared).register(self)
        self.callers.targets.make_room = self.callers.close_for_room
        self.store = StoreReader(
            host,
            mirror=self.state.mirror,
            deadlines=self.deadlines,
            watch_rank=lambda: self.state.members.rank(clock.monotonic()),
            is_watcher=self.is_watcher,
            configuration=lambda: self.state.configuration_in_force,
        ).register(self)
        self.state.store_failure_age = self.store.failure_age
        self.requests = FleetRequests(
            self.state, clock=clock, deadlines=self.deadlines, metrics=self.metrics
        ).register(self)
        AnswerForwarder(self.requests, clock=clock, metrics=self.metrics).register(self)
        self.sock = DatagramSocket(host.ip, host.datagram_port, poller=self.poller).register(self)
        self.peers = PeerMessaging(
            self.state,
            sock=self.sock,
            store=self.store,
            clock=clock,
            deadlines=self.deadlines,
            metrics=self.metrics,
        ).register(self)
        self.state.send_message = self.peers.send
        copy_address = f"{host.ip}:{host.store_copy_port}"
        metrics_address = f"{host.ip}:{host.metrics_port}"
        for name, address in (
            (READINESS, host.ready_address),
            (PAGES, copy_address),
            (METRICS, metrics_address),
        ):
            pages = f"{name}-pages"
            server = CallerServer(
                self.settings, channel=name, requests_channel=pages, address=address, **caller_ports
            )
            server.register(self)
            InternalPages(
                channel=pages,
                answers_channel=name,
                is_ready=self.is_ready,
                store_copy=self.store.encoded_copy,
                metrics=self.metrics,
            ).register(self)

    def make_shedding(self) -> CallerShedding:
        """Return the load shedding of the port for callers, connected to the event loop and the metrics."""
        shedder = LoadShedder(
            self.host.load_shedding, spare=self.state.spare_capacity, now=self.clock.monotonic()
        )
        shedding = CallerShedding(shedder, clock=self.clock, find_customer=self.state.customer_of)
        self.rounds.record_round = shedding.record_round
        self.poller.is_shedding = lambda: shedder.is_shedding
        self.metrics.shedder = shedder
        self.state.own_load = shedder.load
        return shedding

    def is_ready(self) -> bool:
        """Return whether the router should get requests."""
        self.has_been_ready = self.has_been_ready or self.has_newest_configuration()
        return self.has_been_ready and self.stop_requested_at is None

    def has_newest_configuration(self) -> bool:
        """Return whether no newer configuration than the own one is known to be in force at a peer.

        After a restore of the store, only peers may have the newest one, so a router that starts waits a
        moment for the first message of a peer.
        """
        waits_for_peers = (
            bool(self.state.members.seeds)
            and not self.store.has_heard_peer
            and self.clock.monotonic() < self.started_at + FIRST_PEER_MESSAGE_SECONDS
        )
        return (
            self.state.configuration is not None
            and not waits_for_peers
            and not self.store.lacks_known_configuration
        )

    def is_watcher(self, count: int) -> bool:
        """Return whether this router is one of the `count` routers that watch the store for the fleet."""
        return self.state.members.is_among_first(count, self.clock.monotonic())

    def set_seed_addresses(self, host: HostSettings) -> None:
        """Set the addresses at which other routers are first contacted."""
        self.state.members.set_seeds(tuple(seed.rpartition(":")[0] for seed in host.seeds))

    def _signal_handler(self, signo: int, stack: types.FrameType | None) -> None:
        # Replaces circuits' own signal event, on which its web server would end the process after 3 s.
        event = ReloadSignal if signo == signal.SIGHUP else StopSignal
        self.fire(event(signo, None), PROCESS)

    @handler("started", channel="*")
    def on_started(self, _component: object) -> None:
        """Start reading the store, sending its changes and exchanging messages with peers."""
        signal.signal(signal.SIGHUP, self._signal_handler)
        log_event(Event.ROUTER_STARTED, data_centre=self.host.data_centre, seeds=list(self.host.seeds))
        # A SIGHUP during the start was ignored, and the settings may have changed since they were read.
        self.reload_settings()
        self.fire(DeadlineReached(), STORE)
        self.fire(DeadlineReached(REGULAR_UPDATE), STORE)
        self.fire(DeadlineReached(), PEER_EXCHANGE)
        self.deadlines.schedule_in(SETTINGS_POLL_SECONDS, DeadlineReached("settings"), PROCESS)

    @handler("StoreChanged", channel=REQUESTS)
    def on_store_read(self, changes: list[Change]) -> None:
        """Apply changes of the store."""
        before = self.state.configuration
        is_first_read = self.state.versions.known_since == math.inf
        self.state.apply_changes(changes)
        if is_first_read:
            self.state.versions.start(self.clock.monotonic(), is_first_start=self.host.is_first_start)
        if is_first_read and not self.host.is_first_start:
            self.registrations = self.state.registrations(changes)
            self.fire(ReadStoreHistory(), STORE)
        configuration = self.state.configuration
        if configuration is not None and configuration is not before:
            if before is None:
                log_event(Event.ROUTER_READY, configuration=configuration.version)
            self.apply_limits()

    @handler("StoreHistoryRead", channel=REQUESTS)
    def on_history_read(self, items: list[HistoryItem], after: int) -> None:
        """Apply the changes of the store before the start of this router."""
        self.state.apply_history(items, after, self.registrations)

    @handler("StoreChangesMissed", channel=REQUESTS)
    def on_changes_missed(self) -> None:
        """Forget since when all targets are known, as some may have come and gone unseen."""
        self.state.versions.restart(self.clock.monotonic())

    def apply_limits(self) -> None:
        """Apply the limits of the configuration to the connections."""
        limits = self.state.configuration.limits
        # Callers may still rely on a longer limit that was announced to them before.
        idle_seconds = max(limits.idle_seconds * IDLE_TIMEOUT_FACTOR, self.settings.idle_timeout_seconds)
        self.settings = replace(
            self.settings,
            max_header_bytes=limits.header_bytes,
            max_body_bytes=limits.body_bytes,
            header_timeout_seconds=limits.header_seconds,
            idle_timeout_seconds=idle_seconds,
        )
        self.fire(SettingsChanged(self.settings), CALLERS)

    @handler("ReloadSignal")
    def on_reload(self, _number: int, _stack: object) -> None:
        """Read the settings file again."""
        self.reload_settings()

    def reload_settings(self) -> None:
        """Read the settings file and apply it if it has changed."""
        try:
            host = read_settings(self.path)
        except ConfigurationError as error:
            log_event(Event.SETTINGS_REFUSED, reason=str(error))
            return
        if host != self.host:
            self.host = host
            self.set_seed_addresses(host)
            self.shedding.shedder.settings = host.load_shedding
            limit_bytes = router_settings(host).max_held_body_bytes
            self.settings = replace(self.settings, max_held_body_bytes=limit_bytes)
            self.fire(SettingsChanged(self.settings), CALLERS)
            log_event(Event.SETTINGS_RELOADED, seeds=list(host.seeds))

    @handler("StopSignal")
    def on_stop_signal(self, number: int, _stack: object) -> None:
        """Start the shutdown: become unready and close each connection after its answer."""
        if self.stop_requested_at is not None:
            return
        self.stop_requested_at = self.clock.monotonic()
        log_event(
            Event.ROUTER_STOPPING, signal=signal.Signals(number).name, open=len(self.requests.exchanges)
        )
        self.peers.announce_departure()
        self.fire(CloseAfterAnswers(), CALLERS)
        accepting_seconds = min(
            MAX_ACCEPTING_SECONDS, MAX_ACCEPTING_FRACTION * self.host.bounds.stop_grace_seconds
        )
        self.deadlines.schedule_in(accepting_seconds, DeadlineReached("stop"), PROCESS)

    @handler("DeadlineReached")
    def on_due(self, subject: object) -> None:
        """Poll the settings file, or continue the shutdown."""
        if subject == "settings":
            self.reload_settings()
            self.deadlines.schedule_in(SETTINGS_POLL_SECONDS, DeadlineReached("settings"), PROCESS)
            return
        if subject == "stop":
            self.requests.admission.is_closing = True
            self.fire(StopAccepting(), CALLERS)
            self.fire(CloseIdleConnections(), CALLERS)
            # Connections in the listen queue are accepted first; their requests are not known before.
            self.deadlines.schedule_in(FLUSH_POLL_SECONDS, DeadlineReached("flush"), PROCESS)
            return
        exit_at = self.stop_requested_at + self.host.bounds.stop_grace_seconds - STOP_MARGIN_SECONDS
        if self.clock.monotonic() >= exit_at - LAST_ANSWERS_SECONDS:
            self.requests.end_all()
        if self.callers.is_busy and self.clock.monotonic() < exit_at:
            self.deadlines.schedule_in(FLUSH_POLL_SECONDS, DeadlineReached("flush"), PROCESS)
            return
        log_event(Event.ROUTER_STOPPED, open=len(self.requests.exchanges))
        self.stopped_cleanly = True
        self.stop()


def run_fleet_router(path: Path, host: HostSettings) -> int:
    """Run the router until it is stopped and return the exit status."""
    process = FleetProcess(path, host, clock=SystemClock())
    status = process.run_until_stopped()
    process.sock.close()
    return status
