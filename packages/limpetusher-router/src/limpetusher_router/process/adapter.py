"""Passes inputs to the decision core, and its actions to the components that execute them."""

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
    ConfigurationChanged,
    CoreAction,
    DeadlineReached,
    FailRequest,
    StopProcess,
)
from limpetusher_router.process.core import configuration_in_force
from limpetusher_router.process.deadlines import Deadline, Deadlines
from limpetusher_router.process.logs import log_event
from limpetusher_router.process.metrics import Metrics

MINIMUM_WAKEUP_DELAY_SECONDS = 0.001

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
        """Handle an input that another component fired."""
        self.handle_input(message)

    def handle_input(self, message: Input) -> None:
        """Pass an input to the core and forward the resulting actions in order."""
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
            self.execute(action)
        self.publish_configuration()
        self.schedule_wakeup()

    def publish_configuration(self) -> None:
        """Inform the other components if another configuration is now in force."""
        configuration = configuration_in_force(self.core)
        if configuration is not self.configuration:
            self.configuration = configuration
            self.fire(ConfigurationChanged(configuration), REQUESTS, CONFIGURATION)

    @handler("DeadlineReached")
    def on_due(self, _subject: object) -> None:
        """Wake the core at the requested time."""
        self.wakeup = None
        self.handle_input(TimerDue())

    def schedule_wakeup(self) -> None:
        """Set the deadline for the next wake-up of the core."""
        wakeup_time = self.core.next_wakeup()
        # A wake-up time in the past would make the event loop spin.
        due_at = max(wakeup_time, self.clock.monotonic() + MINIMUM_WAKEUP_DELAY_SECONDS)
        if self.wakeup is not None:
            if self.wakeup.when == wakeup_time:
                return
            self.wakeup.cancel()
            self.wakeup = None
        if not math.isinf(wakeup_time):
            self.wakeup = self.deadlines.schedule(due_at, DeadlineReached(), CORE)

    @singledispatchmethod
    def execute(self, action: Action) -> None:
        """Forward an action to the component that executes it."""
        raise TypeError(f"unknown action: {action!r}")

    @execute.register(Dispatch)
    @execute.register(CancelDispatch)
    @execute.register(Refuse)
    @execute.register(Replay)
    def forward_to_requests(self, action: Action) -> None:
        """Forward an action that concerns a request."""
        self.fire(CoreAction(action), REQUESTS)

    @execute.register
    def forward_to_peers(self, action: SendToPeer) -> None:
        """Forward a message to a peer."""
        self.fire(CoreAction(action), PEERS)

    @execute.register
    def forward_to_configuration(self, action: WatchConfiguration) -> None:
        """Forward the start or stop of the configuration watch."""
        self.fire(CoreAction(action), CONFIGURATION)

    @execute.register
    def forward_to_orders(self, action: OrderTarget) -> None:
        """Forward an order to an engine."""
        self.fire(CoreAction(action), ORDERS)

    @execute.register
    def write_log_event(self, action: LogEvent) -> None:
        """Write a log event."""
        log_event(action.event, **action.fields)

    @execute.register
    def stop_process(self, _action: Stopped) -> None:
        """Let the process exit."""
        self.fire(StopProcess(), PROCESS)
