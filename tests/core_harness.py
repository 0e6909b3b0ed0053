"""In-memory fleet of decision cores with simulated time, network and targets."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from limpetusher.configuration.compiled import Configuration, HostList, HostRole
from limpetusher.core import actions, inputs
from limpetusher.core.decision import DecisionCore
from limpetusher.core.inputs import Outcome
from limpetusher.core.settings import PolicySettings
from limpetusher.wire.codec import Codec

REPORT_INTERVAL_SECONDS = 0.25
START = 100.0
CODEC = Codec(bytes(16))


@dataclass
class FakeTarget:
    """A target that answers each request after `answer_seconds` and counts concurrent requests."""

    answer_seconds: float = 0.1
    cost: float = 100.0
    warm: bool = True
    boot_id: str = "boot-1"
    refuses_connections: bool = False
    running: dict[tuple[str, int, int], str] = field(default_factory=dict)
    """Sending router by request, attempt and incarnation of the router."""
    peak_running: int = 0
    starts: list[tuple[float, str]] = field(default_factory=list)


class SimulatedFleet:
    """Several routers, their targets and the network between them.

    `broken_links` holds the pairs of routers that cannot reach each other, `loss_ratio` is the fraction of
    peer messages that are lost. Inputs to `paused` routers are queued until the routers are resumed.
    """

    def __init__(self, hosts: HostList, configuration: Configuration, *, seed: int = 1, **settings: object):
        self.hosts, self.configuration = hosts, configuration
        self.settings = PolicySettings(**{"fresh_fleet": True, **settings})
        self.rng = random.Random(seed)
        self.now = START
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.tie_breaker = itertools.count()
        self.cores: dict[str, DecisionCore] = {}
        self.targets = {h.host_id: FakeTarget() for h in hosts.hosts if h.role is HostRole.TARGET}
        self.broken_links: set[frozenset[str]] = set()
        self.loss_ratio, self.delay_seconds = 0.0, 0.001
        self.paused: dict[str, list[inputs.Input]] = {}
        self.stopped, self.killed = set[str](), set[str]()
        self.router_by_request: dict[str, str] = {}
        self.answers: dict[str, tuple[float, object]] = {}
        """When and how each caller was answered."""
        self.run_counts, self.message_counts, self.message_bytes = (
            Counter[str](),
            Counter[str](),
            Counter[str](),
        )
        for host in hosts.hosts:
            if host.role is HostRole.ROUTER:
                self.start(host.host_id)
        self.schedule(0.0, self.report)

    def schedule(self, delay: float, event: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.tie_breaker), event))

    def run(self, seconds: float) -> None:
        """Advance simulated time."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, event = heapq.heappop(self.events)
            event()
        self.now = end

    def start(self, router: str, *, configured: bool = True) -> None:
        """Start a router, or restart it without its state."""
        data_centre = next(host.data_centre for host in self.hosts.hosts if host.host_id == router)
        # Only the first start of the fleet may skip the waits of a router that may have lost its state.
        settings = self.settings if self.now == START else replace(self.settings, fresh_fleet=False)
        core = DecisionCore(
            settings=settings,
            own_id=router,
            data_centre=data_centre,
            incarnation=self.rng.getrandbits(64),
            rng=random.Random(self.rng.random()),
            started_at=self.now,
        )
        self.cores[router] = core
        self.deliver(router, inputs.HostListReceived(self.hosts))
        if configured:
            self.deliver(router, inputs.ConfigurationReceived(self.configuration))

    def kill(self, router: str) -> None:
        self.killed.add(router)
        del self.cores[router]

    def resume(self, router: str) -> None:
        for message in [inputs.TimerDue(), *self.paused.pop(router)]:
            self.deliver(router, message)

    def publish(self, configuration: Configuration) -> None:
        """Deliver a new configuration to all routers."""
        self.configuration = configuration
        for router in list(self.cores):
            self.deliver(router, inputs.ConfigurationReceived(configuration))

    def request(self, router: str, request: inputs.RequestArrived) -> None:
        self.router_by_request[request.request_id] = router
        self.deliver(router, request)

    def deliver(self, router: str, message: inputs.Input) -> None:
        """Let a router handle an input, execute its actions and set its timer."""
        if router in self.paused:
            self.paused[router].append(message)
            return
        if (core := self.cores.get(router)) is None:
            return
        if isinstance(message, inputs.ResponseEnded) and message.outcome is Outcome.COMPLETE:
            self.record_answer(message.request_id, message.outcome)
        for action in core.handle(message, self.now):
            self.execute_action(router, action)
        wakeup = core.next_wakeup()
        assert wakeup > self.now, "the core requests an immediate wake-up, which is a busy loop"
        self.schedule(wakeup - self.now, lambda: self.timer(router, core, wakeup))

    def timer(self, router: str, core: DecisionCore, wakeup: float) -> None:
        if self.cores.get(router) is core and router not in self.paused and core.next_wakeup() <= wakeup:
            self.deliver(router, inputs.TimerDue())

    def execute_action(self, router: str, action: actions.Action) -> None:
        match action:
            case actions.SendToPeer():
                self.send(router, action)
            case actions.Dispatch():
                self.dispatch(router, action)
            case actions.CancelDispatch():
                key = (action.request_id, action.attempt, self.cores[router].context.incarnation)
                for target_id in [name for name, target in self.targets.items() if key in target.running]:
                    self.finish(key, target_id, Outcome.CANCELLED)
            case actions.Refuse() | actions.Replay():
                self.record_answer(action.request_id, action)
            case actions.Stopped():
                self.stopped.add(router)
                del self.cores[router]

    def record_answer(self, request_id: str, result: object) -> None:
        assert request_id not in self.answers, f"{request_id} was answered twice"
        self.answers[request_id] = (self.now, result)

    def send(self, sender: str, action: actions.SendToPeer) -> None:
        self.message_counts[name := type(action.payload).__name__] += 1
        self.message_bytes[name] += len(CODEC.encode(action.payload, sender=sender, incarnation=1 << 63))
        if frozenset((sender, action.peer)) in self.broken_links or self.rng.random() < self.loss_ratio:
            return
        incarnation = self.cores[sender].context.incarnation
        message = inputs.PeerMessage(sender, incarnation, action.payload)
        self.schedule(self.delay_seconds, lambda: self.deliver(action.peer, message))

    def dispatch(self, router: str, action: actions.Dispatch) -> None:
        target = self.targets[action.target_id]
        if self.now >= action.send_before or target.refuses_connections:
            ended = inputs.ResponseEnded(action.request_id, action.attempt, Outcome.NOT_SENT)
            self.schedule(self.delay_seconds, lambda: self.deliver(router, ended))
            return
        key = (action.request_id, action.attempt, self.cores[router].context.incarnation)
        target.running[key] = router
        target.peak_running = max(target.peak_running, len(target.running))
        target.starts.append((self.now, action.request_id))
        self.run_counts[action.request_id] += 1
        self.schedule(target.answer_seconds, lambda: self.finish(key, action.target_id, Outcome.COMPLETE))

    def finish(self, key: tuple[str, int, int], target_id: str, outcome: Outcome) -> None:
        """End an attempt; a router that was killed or restarted in between is not notified."""
        target = self.targets[target_id]
        router = target.running.pop(key, None)
        core = self.cores.get(router)
        if core is None or core.context.incarnation != key[2]:
            return
        request_id, attempt, _ = key
        if outcome is Outcome.COMPLETE:
            self.deliver(router, inputs.ResponseStarted(request_id, attempt))
        ended = inputs.ResponseEnded(request_id, attempt, outcome, target.cost, 200, "text", b"answer")
        self.schedule(0.0, lambda: self.deliver(router, ended))

    def break_connections(self, target_id: str) -> None:
        """Break all connections of a target before it has answered."""
        for key in list(self.targets[target_id].running):
            self.finish(key, target_id, Outcome.CUT_BEFORE_OUTPUT)

    def report(self) -> None:
        """Deliver to every owner the load reports of its targets."""
        self.schedule(REPORT_INTERVAL_SECONDS, self.report)
        for router in list(self.cores):
            for name in self.cores[router].owned_targets:
                target = self.targets[name]
                report = inputs.LoadReported(name, len(target.running), target.warm, target.boot_id, 0.0)
                self.deliver(router, report)
