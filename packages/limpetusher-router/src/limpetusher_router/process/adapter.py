"""Feeds the decision core and hands its actions to the components that carry them out."""

import logging
import math
from functools import singledispatchmethod

from circuits.core import BaseComponent, handler

from limpetusher.clock import Clock
from limpetusher.configuration.compiled import Configuration
from limpetusher.core.actions import (
    Action,
    CancelDispatch,
    Dispatch,
    LogEvent,
    OrderTarget,
    Refuse,
    Replay,
    SendToPeer,
    Stopped,
    WatchConfiguration,
)
from limpetusher.core.decision import DecisionCore
from limpetusher.core.inputs import Input, TimerDue
from limpetusher_router.events import (
    CONFIGURATION,
    CORE,
    ORDERS,
    PEERS,
    PROCESS,
    REQUESTS,
    ConfigurationInForce,
    CoreAction,
    Due,
    FailRequest,
    StopProcess,
)
from limpetusher_router.process.core import configuration_in_force
from limpetusher_router.process.deadlines import Deadline, Deadlines
from limpetusher_router.process.logs import log_event
from limpetusher_router.process.metrics import Metrics

LEAST_WAKEUP_SECONDS = 0.001

logger = logging.getLogger(__name__)


class CoreAdapter(BaseComponent):
    """Passes inputs to the core one at a time, in the order in which they were fired."""

    channel = CORE

    def __init__(self, core: DecisionCore, *, clock: Clock, deadlines: Deadlines, metrics: Metrics):
        super().__init__()
        self.core = core
        self.clock = clock
        self.deadlines = deadlines
        self.metrics = metrics
        self.wakeup: Deadline | None = None
        self.configuration: Configuration | None = None

    @handler("CoreInput")
    def on_input(self, message: Input) -> None:
        """Let the core handle an input and carry out its actions in order."""
        self.handle(message)

    def handle(self, message: Input) -> None:
        """Let the core handle an input."""
        try:
            actions = self.core.handle(message, self.clock.monotonic())
        except Exception:
            logger.exception("the core failed to handle %s", type(message).__name__)
            self.metrics.handler_errors.inc({})
            request_id = getattr(message, "request_id", None)
            if request_id is not None:
                self.fire(FailRequest(request_id), REQUESTS)
            actions = []
        for action in actions:
            self.carry_out(action)
        self.note_configuration()
        self.schedule_wakeup()

    def note_configuration(self) -> None:
        """Tell the other components when another configuration has come into force."""
        configuration = configuration_in_force(self.core)
        if configuration is not self.configuration:
            self.configuration = configuration
            self.fire(ConfigurationInForce(configuration), REQUESTS, CONFIGURATION)

    @handler("Due")
    def on_due(self, _subject: object) -> None:
        """Wake the core at the time that it asked for."""
        self.wakeup = None
        self.handle(TimerDue())

    def schedule_wakeup(self) -> None:
        """Set the deadline for the core's next wake-up."""
        wanted = self.core.next_wakeup()
        # A core that asks for a time in the past must not keep the process busy.
        when = max(wanted, self.clock.monotonic() + LEAST_WAKEUP_SECONDS)
        if self.wakeup is not None:
            if self.wakeup.when == wanted:
                return
            self.wakeup.cancel()
            self.wakeup = None
        if not math.isinf(wanted):
            self.wakeup = self.deadlines.schedule(when, Due(), CORE)

    @singledispatchmethod
    def carry_out(self, action: Action) -> None:
        """Hand an action to the component that carries it out."""
        raise TypeError(f"no such action: {action!r}")

    @carry_out.register(Dispatch)
    @carry_out.register(CancelDispatch)
    @carry_out.register(Refuse)
    @carry_out.register(Replay)
    def for_request(self, action: Action) -> None:
        """Hand on an action that concerns a request."""
        self.fire(CoreAction(action), REQUESTS)

    @carry_out.register
    def for_peer(self, action: SendToPeer) -> None:
        """Hand on a message to a peer."""
        self.fire(CoreAction(action), PEERS)

    @carry_out.register
    def for_watch(self, action: WatchConfiguration) -> None:
        """Hand on the start or stop of the configuration watch."""
        self.fire(CoreAction(action), CONFIGURATION)

    @carry_out.register
    def for_target(self, action: OrderTarget) -> None:
        """Hand on an order to an engine."""
        self.fire(CoreAction(action), ORDERS)

    @carry_out.register
    def log(self, action: LogEvent) -> None:
        """Write a log event."""
        log_event(action.event, **action.fields)

    @carry_out.register
    def stopped(self, _action: Stopped) -> None:
        """Let the process exit."""
        self.fire(StopProcess(), PROCESS)
