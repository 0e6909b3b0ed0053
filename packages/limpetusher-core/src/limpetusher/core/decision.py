"""The decision core: maps timed inputs to actions, without sockets, threads or clocks."""

import math
import random
from functools import singledispatchmethod

from limpetusher.configuration.document import load_configuration
from limpetusher.core.actions import Action, Stopped
from limpetusher.core.context import create_context
from limpetusher.core.inputs import (
    CallerGone,
    ConfigurationReceived,
    HostListReceived,
    Input,
    LoadReported,
    LoadReportFailed,
    OrderAnswered,
    PeerMessage,
    RequestArrived,
    ResponseEnded,
    ResponseProgress,
    ResponseStarted,
    StopRequested,
    TimerDue,
)
from limpetusher.core.process.backlog import Backlog
from limpetusher.core.process.demand_book import DemandBook
from limpetusher.core.process.dispatcher import Dispatcher
from limpetusher.core.process.heartbeat_exchange import HeartbeatExchange
from limpetusher.core.process.offers import Offers
from limpetusher.core.process.routes import Routes
from limpetusher.core.request.explanation import Explanation
from limpetusher.core.request.lifecycle import RequestLifecycle
from limpetusher.core.request.queue import RequestQueue
from limpetusher.core.settings import PolicySettings
from limpetusher.core.status import CoreStatus, customer_statuses, target_statuses
from limpetusher.core.version.adoption import Adoption
from limpetusher.errors import ConfigurationError, InvalidInputError
from limpetusher.events import Event
from limpetusher.wire.messages import (
    AnswerCopy,
    AnswerRequest,
    AttemptStateReport,
    ConfigurationDocument,
    ConfigurationRequest,
    Demand,
    Grant,
    GrantRelease,
    GrantReturn,
    Heartbeat,
    HostListDocument,
    HostListRequest,
    KeySync,
    KeySyncRequest,
    PeerPayload,
    RegistrationAnswer,
    RegistrationRequest,
    VirtualTimes,
    VirtualTimesRequest,
)

DROP_LOG_INTERVAL_SECONDS = 1.0
PAUSE_THRESHOLD_INTERVALS = 2.0
"""Exchange intervals without an input that count as a pause of the process; a timer is due in each one."""
KEY_PROTOCOL_RETRY_SECONDS = 0.01


class DecisionCore:
    """Makes all decisions of one router.

    Parameters
    ----------
    settings
        Policy settings.
    own_id, data_centre
        Host identifier and data centre of this router.
    incarnation
        Random 64-bit number of this start of the process.
    rng
        Source of random numbers.
    started_at
        Monotonic time of the start.
    wall_offset_seconds
        Wall-clock time minus monotonic time at the start; only fencing numbers use it.
    """

    def __init__(
        self,
        *,
        settings: PolicySettings,
        own_id: str,
        data_centre: str,
        incarnation: int,
        rng: random.Random,
        started_at: float,
        wall_offset_seconds: float = 0.0,
    ):
        self.context = create_context(
            settings, own_id, data_centre, incarnation=incarnation, rng=rng, started_at=started_at
        )
        membership = self.context.membership
        self.queue = RequestQueue(settings)
        self.routes = Routes(own_id, data_centre, membership, self.context.rollout)
        self.demand_book = DemandBook(settings.grant_valid_seconds)
        self.backlog = Backlog()
        self.dispatcher = Dispatcher(self.context, self.routes, self.demand_book, self.backlog)
        self.offers = Offers(self.context, self.queue, self.routes, self.dispatcher)
        self.lifecycle = RequestLifecycle(self.context, self.queue, self.routes, self.offers, self.dispatcher)
        self.exchange = HeartbeatExchange(
            self.context,
            queue=self.queue,
            routes=self.routes,
            backlog=self.backlog,
            offers=self.offers,
            dispatcher=self.dispatcher,
            lifecycle=self.lifecycle,
            started_at=started_at,
            wall_offset_seconds=wall_offset_seconds,
        )
        self.adoption = Adoption(
            self.context,
            exchange=self.exchange,
            dispatcher=self.dispatcher,
            offers=self.offers,
            lifecycle=self.lifecycle,
        )
        # Bound once, because access to a singledispatchmethod builds a new function each time.
        self.dispatch_input = self.on_input
        self.dispatch_payload = self.on_payload
        self.stop_at = math.inf
        self.stopped = False
        self.ready_logged = False
        self.dropped_messages = 0
        self.drop_logged_at = -math.inf

    # Entry points

    def handle(self, message: Input, now: float) -> list[Action]:
        """Handle one input at monotonic time `now` and return the actions to carry out, in order."""
        context = self.context
        if now - context.now > PAUSE_THRESHOLD_INTERVALS * context.settings.exchange_interval_seconds:
            context.ledger.restart_borrow_wait()
        context.now = max(now, context.now)
        # Whatever expired while the process was paused is discarded before the input is handled.
        self.run_due()
        self.dispatch_input(message)
        self.flush_pending_work()
        actions, context.actions = context.actions, []
        return actions

    def next_wakeup(self) -> float:
        """Return the monotonic time at which `TimerDue` has to be handled if no other input comes before."""
        now = self.context.now
        key_protocol_due = max(self.context.key_protocol.next_due(now), now + KEY_PROTOCOL_RETRY_SECONDS)
        return min(
            self.exchange.next_tick,
            self.queue.next_deadline(),
            self.offers.next_due(),
            self.dispatcher.next_due(),
            key_protocol_due,
            self.stop_at,
        )

    def explain(self, request_id: str) -> Explanation | None:
        """Return the explanation of a recent request, None when it is not kept."""
        return self.context.explanations.get(request_id)

    @property
    def is_ready(self) -> bool:
        """Return whether requests are accepted."""
        return self.context.ready

    @property
    def owned_targets(self) -> tuple[str, ...]:
        """Return the targets whose load reports this router should read."""
        own_id = self.context.own_id
        return tuple(target for target, owner in self.routes.owner_of.items() if owner == own_id)

    def status(self) -> CoreStatus:
        """Return the present state."""
        return CoreStatus(
            own_id=self.context.own_id,
            data_centre=self.context.data_centre,
            ready=self.context.ready,
            stopping=self.context.stopping,
            configuration_version=self.context.rollout.order[0],
            host_list_version=self.context.rollout.host_list_version,
            waiting=len(self.queue),
            running=len(self.lifecycle.running),
            reachable_peers=tuple(peer for peer, up in self.exchange.reachable.items() if up),
            targets=target_statuses(self.context, self.dispatcher, self.owned_targets),
            customers=customer_statuses(self.context, self.queue),
            dropped_messages=self.dropped_messages,
        )

    # Steps run for every input

    def run_due(self) -> None:
        """Handle expired requests first, then all timers that are due."""
        now = self.context.now
        self.lifecycle.refuse_expired()
        if self.context.key_protocol.next_due(now) <= now:
            self.lifecycle.keyed_requests.run_due()
        self.offers.offer_due_to_all()
        self.dispatcher.retry_backed_off_targets()
        if now >= self.exchange.next_tick:
            self.exchange.tick()
        if now >= self.stop_at:
            self.stop_at = math.inf
            self.lifecycle.end_remaining_requests()

    def flush_pending_work(self) -> None:
        """Grant free slots and send the demands that result from the input."""
        if self.queue.customers_changed:
            self.queue.customers_changed = False
            self.backlog.replace(self.context.own_id, self.queue.customers())
        if not self.ready_logged and self.context.ready:
            self.ready_logged = True
            self.context.log(Event.ROUTER_READY)
        self.dispatcher.grant_free_slots()
        self.offers.sender.send_due()
        if self.context.stopping and not self.lifecycle.records and not self.stopped:
            self.stopped = True
            self.offers.sender.withdraw_all()
            self.context.log(Event.ROUTER_STOPPED)
            self.context.actions.append(Stopped())

    # Inputs

    @singledispatchmethod
    def on_input(self, message: object) -> None:
        """Handle one input."""
        raise InvalidInputError(f"input of type {type(message).__name__} is not known")

    @on_input.register
    def _handle_timer_due(self, message: TimerDue) -> None:
        pass

    @on_input.register
    def _handle_request_arrived(self, message: RequestArrived) -> None:
        self.lifecycle.handle_arrival(message)

    @on_input.register
    def _handle_caller_gone(self, message: CallerGone) -> None:
        self.lifecycle.handle_caller_gone(message.request_id)

    @on_input.register
    def _handle_response_started(self, message: ResponseStarted) -> None:
        self.lifecycle.record_first_byte(message.request_id, message.attempt)

    @on_input.register
    def _handle_response_progress(self, message: ResponseProgress) -> None:
        self.lifecycle.record_progress(message)

    @on_input.register
    def _handle_response_ended(self, message: ResponseEnded) -> None:
        self.lifecycle.end_attempt(message)

    @on_input.register
    def _handle_configuration_received(self, message: ConfigurationReceived) -> None:
        self.adoption.adopt_configuration(message.configuration)

    @on_input.register
    def _handle_host_list_received(self, message: HostListReceived) -> None:
        self.adoption.adopt_host_list(message.host_list)

    @on_input.register
    def _handle_load_reported(self, message: LoadReported) -> None:
        self.dispatcher.apply_load_report(message)

    @on_input.register
    def _handle_load_report_failed(self, message: LoadReportFailed) -> None:
        self.dispatcher.record_connection_failure(message.target_id, back_off=False)

    @on_input.register
    def _handle_order_answered(self, message: OrderAnswered) -> None:
        self.context.orders.record_answer(message.target_id, message.fencing_number, message.accepted)
        if not message.accepted:
            self.context.log(Event.ORDER_REFUSED, target=message.target_id)

    @on_input.register
    def _handle_stop_requested(self, message: StopRequested) -> None:
        context = self.context
        if context.stopping:
            return
        context.stopping = context.slot_leases.stopping = True
        self.stop_at = context.now + context.settings.stop_grace_seconds
        context.log(Event.ROUTER_STOPPING, waiting=len(self.queue), running=len(self.lifecycle.running))
        self.exchange.tick()

    @on_input.register
    def _handle_peer_message(self, message: PeerMessage) -> None:
        context = self.context
        known = context.peers.incarnation(message.sender)
        foreign = message.sender == context.own_id or not context.is_router(message.sender)
        # Only a heartbeat introduces a new incarnation; its other messages are dropped until then.
        if foreign or (
            known not in (None, message.incarnation) and not isinstance(message.payload, Heartbeat)
        ):
            self.drop_message(message.sender, "unlisted sender" if foreign else "other incarnation")
            return
        self.dispatch_payload(message.payload, message.sender, message.incarnation)

    # Messages from peers

    @singledispatchmethod
    def on_payload(self, payload: object, sender: str, incarnation: int) -> None:
        """Handle one message from a listed peer."""
        raise InvalidInputError(f"peer message of type {type(payload).__name__} is not known")

    @on_payload.register
    def _handle_heartbeat(self, payload: Heartbeat, sender: str, incarnation: int) -> None:
        self.exchange.accept_heartbeat(sender, incarnation, payload)

    @on_payload.register
    def _handle_demand(self, payload: Demand, sender: str, incarnation: int) -> None:
        self.dispatcher.accept_demand(sender, payload)

    @on_payload.register
    def _handle_grant(self, payload: Grant, sender: str, incarnation: int) -> None:
        self.lifecycle.handle_grant(sender, payload)

    @on_payload.register
    def _handle_grant_return(self, payload: GrantReturn, sender: str, incarnation: int) -> None:
        self.dispatcher.accept_return(payload)

    @on_payload.register
    def _handle_grant_release(self, payload: GrantRelease, sender: str, incarnation: int) -> None:
        self.dispatcher.accept_release(payload)

    @on_payload.register
    def _handle_virtual_times_request(
        self, payload: VirtualTimesRequest, sender: str, incarnation: int
    ) -> None:
        self.context.send(sender, self.context.fairness.virtual_times_snapshot())

    @on_payload.register
    def _handle_virtual_times(self, payload: VirtualTimes, sender: str, incarnation: int) -> None:
        self.exchange.accept_virtual_times(payload)

    @on_payload.register
    def _handle_configuration_request(
        self, payload: ConfigurationRequest, sender: str, incarnation: int
    ) -> None:
        document = self.context.rollout.configuration_document()
        if document is not None:
            self.context.send(sender, document)

    @on_payload.register
    def _handle_configuration_document(
        self, payload: ConfigurationDocument, sender: str, incarnation: int
    ) -> None:
        try:
            configuration = load_configuration(payload.document)
        except ConfigurationError as error:
            self.context.log(Event.CONFIGURATION_REFUSED, peer=sender, problems=str(error))
            return
        self.adoption.adopt_configuration(configuration)

    @on_payload.register
    def _handle_host_list_request(self, payload: HostListRequest, sender: str, incarnation: int) -> None:
        document = self.context.rollout.host_list_document()
        if document is not None:
            self.context.send(sender, document)

    @on_payload.register
    def _handle_host_list_document(self, payload: HostListDocument, sender: str, incarnation: int) -> None:
        self.adoption.adopt_host_list(payload.host_list)

    @on_payload.register(RegistrationRequest)
    @on_payload.register(RegistrationAnswer)
    @on_payload.register(AttemptStateReport)
    @on_payload.register(KeySyncRequest)
    @on_payload.register(KeySync)
    @on_payload.register(AnswerRequest)
    @on_payload.register(AnswerCopy)
    def _handle_key_message(self, payload: PeerPayload, sender: str, incarnation: int) -> None:
        self.lifecycle.keyed_requests.handle(sender, payload)

    def drop_message(self, sender: str, reason: str) -> None:
        """Count a message that is ignored, and log at most one of them a second."""
        self.dropped_messages += 1
        if self.context.now >= self.drop_logged_at + DROP_LOG_INTERVAL_SECONDS:
            self.drop_logged_at = self.context.now
            self.context.log(
                Event.PEER_MESSAGE_DROPPED, peer=sender, reason=reason, dropped=self.dropped_messages
            )
