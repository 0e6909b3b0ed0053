"""A fleet of routers in one process: the real messages and decisions between them, in virtual time.

Datagrams are delayed, lost, repeated and reordered from a seed; routers are killed, frozen and cut off.
"""

import heapq
import itertools
import math
import random
from dataclasses import dataclass
from types import SimpleNamespace

import msgspec
from circuits.core import BaseComponent, handler

from builders_fleet import count_calls, make_service, make_target
from builders_platform import make_host_settings
from limpetusher.clock import ManualClock
from limpetusher.fleet.messages import Outcome, TargetGrant, TargetRefusal
from limpetusher.fleet.model import PromptPart
from limpetusher.fleet.request.scheduler_client import TargetRequest
from limpetusher.fleet.settings import FleetSettings
from limpetusher_router.connection.targets import CONNECT_DELAY_SECONDS
from limpetusher_router.events import PEER_EXCHANGE, REQUESTS, DatagramsReceived, DeadlineReached
from limpetusher_router.fleet.peers import PeerMessaging
from limpetusher_router.fleet.state import FleetState
from limpetusher_router.process.deadlines import Deadlines
from limpetusher_router.process.metrics import Metrics

STEP_SECONDS = 0.005
DELAY_SECONDS = (0.001, 0.004)
RUN_SECONDS = 0.4
"""How long a request is open at its target."""
APPLICATION = "desk"
"""Service of application targets."""
APPLICATION_RUN_SECONDS = 0.03
APPLICATION_SLOTS = 6
APPLICATION_GOAL_SECONDS = 0.15
READING_SECONDS = 0.05
REFUSED_CONNECTION_SECONDS = 0.003
CONNECT_TIMEOUT_SECONDS = 0.3
DOWN_SECONDS = 3.0
"""Time for which a crashed engine refuses connections."""
MAX_ATTEMPTS = 2
GRACE_SECONDS = 1.0
"""Time beyond a request's goal until it must have an answer: a silent scheduler is noticed and replaced."""


@dataclass(frozen=True, slots=True)
class Send:
    """Request that has reached a target that was up."""

    at: float
    request_id: str
    digest: str
    target_id: str


class Answers(BaseComponent):
    """Takes the schedulers' answers as the requests of a router do."""

    channel = REQUESTS

    def __init__(self, router: "RouterInMemory"):
        super().__init__()
        self.router = router

    @handler("SchedulerAnswerReceived")
    def on_answer(self, scheduler: str, answer: TargetGrant | TargetRefusal) -> None:
        self.router.take_answer(scheduler, answer)


class RouterInMemory:
    """The parts of one router that decide and talk to the others."""

    def __init__(self, fleet: "FleetInMemory", address: str, data_centre: str, *, capacity: float = 1.0):
        self.fleet = fleet
        self.address = address
        self.clock = fleet.clock
        host = make_host_settings(ip=address, data_centre=data_centre, processor_share=capacity)
        settings = FleetSettings()
        rng = random.Random(fleet.rng.random())
        self.state = FleetState(host, settings, clock=self.clock, rng=rng)
        self.state.members.set_seeds(fleet.seeds)
        self.state.placement.services = fleet.services
        self.state.placement.goals = dict(fleet.goals)
        for target in fleet.targets:
            self.state.placement.put_target(target)
        self.root = BaseComponent()
        self.deadlines = Deadlines(self.clock, reads_first=True).register(self.root)
        store = SimpleNamespace(
            mirror=SimpleNamespace(revision=1),
            note_peer_revision=lambda *_: None,
            note_peer_configuration=lambda *_: None,
            is_watching=False,
        )
        sock = SimpleNamespace(send=lambda datagram, addresses: fleet.send(self, datagram, addresses))
        self.peers = PeerMessaging(
            self.state,
            sock=sock,
            store=store,
            clock=self.clock,
            deadlines=self.deadlines,
            metrics=Metrics(),
        ).register(self.root)
        self.state.send_message = self.peers.send
        Answers(self).register(self.root)
        self.peers.fire(DeadlineReached(), PEER_EXCHANGE)
        self.numbers = itertools.count()
        self.is_frozen = False
        self.run_seconds = RUN_SECONDS
        self.inbox: list = []
        self.timers: list[tuple[float, int, object]] = []
        self.asked_at: dict[str, float] = {}
        self.granted_at: dict[str, float] = {}
        self.begun_at: dict[str, float] = {}
        """Times at which requests were sent to the targets that have run them."""
        self.connect_failure_rate = 0.0
        """Part of the sends for which no connection can be opened in time, as on a congested link."""
        self.refused: dict[str, TargetRefusal] = {}
        self.open: dict[str, str] = {}
        """Targets of requests that are open."""
        self.open_attempts: dict[str, tuple[str, int]] = {}
        self.outputs: set[str] = set()
        """Requests that had a first output."""
        self.target_requests: dict[str, TargetRequest] = {}
        self.answered: set[str] = set()
        self.single_runs: set[str] = set()
        """Requests that must not run twice."""
        self.refused_at_the_edge: set[str] = set()
        """Requests with quarantined parts that this router has refused itself."""
        if fleet.call_seconds:
            self.slow_down_placement(fleet.call_seconds)

    def slow_down_placement(self, seconds: float) -> None:
        """Let time pass for each function call of a placement run, as on a host with little processor."""
        decide = self.state.scheduler.decide

        def decide_slowly(now: float) -> list:
            answers, calls = count_calls(lambda: decide(now))
            self.clock.advance(calls * seconds)
            return answers

        self.state.scheduler.decide = decide_slowly

    def request_target(
        self,
        request_id: str,
        *,
        service: str = "engines",
        session: str = "s",
        customer: str = "acme",
        own_tokens: int = 300,
        shared_tokens: int = 500,
        output_tokens: int = 20,
        goal_seconds: float | None = None,
        extra_part: str | None = None,
        digest: str | None = None,
        has_parts: bool = True,
        is_idempotent: bool = True,
    ):
        """Ask for a target. Requests with one `digest` are repeats, by default each has another one."""
        now = self.clock.monotonic()
        digest = digest or request_id
        part_ids = ["common", session] if extra_part is None else ["common", extra_part, session]
        parts = (
            *(PromptPart(part_id, shared_tokens) for part_id in part_ids),
            PromptPart(digest, own_tokens),
        )
        if service == APPLICATION or not has_parts:
            parts, session = (), request_id
        self.asked_at[request_id] = now
        if not is_idempotent:
            self.single_runs.add(request_id)
        target_request = TargetRequest(
            request_id,
            service,
            session,
            customer,
            goal_seconds or self.fleet.goals[service],
            now,
            now + 8.0,
            sum(part.tokens for part in parts),
            output_tokens if service != APPLICATION else 0,
            parts,
            digest,
        )
        self.target_requests[request_id] = target_request
        if self.state.find_quarantine(target_request, now) is not None:
            self.refused_at_the_edge.add(request_id)
            return
        self.state.scheduler_client.request_target(target_request, now)

    def take_answer(self, scheduler: str, answer: TargetGrant | TargetRefusal) -> None:
        now = self.clock.monotonic()
        if isinstance(answer, TargetRefusal):
            if self.state.scheduler_client.accept_refusal(answer, scheduler, now) is not None:
                self.refused[answer.request_id] = answer
            return
        if self.state.scheduler_client.accept_grant(answer, scheduler) is None:
            return
        request_id = answer.request_id
        if self.state.find_quarantine(self.target_requests[request_id], now) is not None:
            self.refused_at_the_edge.add(request_id)
            self.state.scheduler_client.end(request_id, Outcome.WITHDRAWN, now, may_have_run=False)
            return
        self.granted_at[request_id] = now
        self.open[request_id] = answer.target_id
        self.fleet.note_start(answer.target_id)
        attempt = (request_id, answer.attempt)
        self.open_attempts[request_id] = attempt
        if self.fleet.is_down(answer.target_id):
            self.later(REFUSED_CONNECTION_SECONDS, lambda: self.cut(attempt, is_cut=False))
            return
        if self.connect_failure_rate and self.fleet.rng.random() < self.connect_failure_rate:
            self.later(
                CONNECT_DELAY_SECONDS, lambda: self.state.scheduler_client.report_send_delayed(request_id)
            )
            self.later(CONNECT_TIMEOUT_SECONDS, lambda: self.cut(attempt, is_cut=False))
            return
        self.begun_at.setdefault(request_id, now)
        target_request = self.target_requests[request_id]
        self.fleet.sends.append(Send(now, request_id, target_request.digest, answer.target_id))
        is_application = target_request.service == APPLICATION
        prefill_seconds = self.fleet.prefill_seconds(answer)
        run_seconds = APPLICATION_RUN_SECONDS if is_application else self.run_seconds
        self.later(prefill_seconds, lambda: self.begin_output(attempt, answer.target_id))
        self.later(prefill_seconds + run_seconds, lambda: self.finish(attempt))

    def is_deadly(self, target_request: TargetRequest) -> bool:
        """Return whether a request crashes the targets that run it."""
        return target_request.digest in self.fleet.deadly_digests or any(
            part.part_id in self.fleet.deadly_parts for part in target_request.parts[:-1]
        )

    def begin_output(self, attempt: tuple[str, int], target_id: str) -> None:
        """Report the first output of an attempt, or let its engine crash of it."""
        request_id = attempt[0]
        if self.open_attempts.get(request_id) != attempt:
            return
        is_application = self.target_requests[request_id].service == APPLICATION
        if self.is_deadly(self.target_requests[request_id]):
            if self.fleet.crash_delay_seconds is None or is_application:
                self.fleet.crash(target_id)
                return
            self.later(self.fleet.crash_delay_seconds, lambda: self.fleet.crash(target_id))
        if is_application:
            return
        self.state.record_rate_limit(
            target_id,
            self.fleet.rate_limits.get(target_id, math.inf),
            sent_at=self.granted_at[request_id],
            scheduler=self.target_requests[request_id].scheduler,
        )
        self.outputs.add(request_id)
        self.state.scheduler_client.report_first_output(request_id, self.clock.monotonic())

    def cut(self, attempt: tuple[str, int], *, is_cut: bool = True) -> None:
        """End an attempt whose connection its target has closed, and send the request once more."""
        request_id = attempt[0]
        if self.open_attempts.get(request_id) != attempt:
            return
        target_id = self.open.pop(request_id)
        del self.open_attempts[request_id]
        has_output = request_id in self.outputs
        outcome = Outcome.UNREACHABLE if not is_cut else Outcome.BROKEN_OFF if has_output else Outcome.CUT
        self.state.scheduler_client.end(request_id, outcome, self.clock.monotonic(), may_have_run=is_cut)
        target_request = self.target_requests[request_id]
        if target_request.attempt < MAX_ATTEMPTS and not (is_cut and request_id in self.single_runs):
            target_request.excluded.add(target_id)
            target_request.is_retry = is_cut
            target_request.queued_at = self.clock.monotonic()
            self.state.scheduler_client.request_target(target_request, self.clock.monotonic())

    def finish(self, attempt: tuple[str, int]) -> None:
        request_id = attempt[0]
        if self.open_attempts.get(request_id) != attempt:
            return
        del self.open[request_id], self.open_attempts[request_id]
        self.answered.add(request_id)
        self.state.scheduler_client.end(request_id, Outcome.ANSWERED, self.clock.monotonic())

    def later(self, seconds: float, action) -> None:
        heapq.heappush(self.timers, (self.clock.monotonic() + seconds, next(self.numbers), action))

    def step(self) -> None:
        """Do what is due."""
        if self.is_frozen:
            return
        now = self.clock.monotonic()
        while self.timers and self.timers[0][0] <= now:
            heapq.heappop(self.timers)[2]()
        if self.inbox:
            received, self.inbox = self.inbox, []
            self.peers.fire(DatagramsReceived(received), PEER_EXCHANGE)
        self.deadlines.on_generate_events(SimpleNamespace(reduce_time_left=lambda _seconds: None))
        while len(self.root):
            self.root.flush()


class FleetInMemory:
    """Routers, their network and their targets."""

    def __init__(
        self,
        routers: int,
        *,
        data_centres: int = 4,
        engines: int = 8,
        slots: int = 16,
        seed: int = 1,
        loss: float = 0.0,
        repeated: float = 0.0,
        cold: tuple[str, ...] = (),
        goal_seconds: float = 1.0,
        prefill_rate: float | None = None,
        call_seconds: float = 0.0,
        max_datagram_bytes: float = math.inf,
        application_targets: int = 0,
    ):
        self.max_datagram_bytes = max_datagram_bytes
        """Size above which datagrams are lost."""
        self.goals = {"engines": goal_seconds, APPLICATION: APPLICATION_GOAL_SECONDS}
        self.prefill_rate = prefill_rate
        """Prompt tokens that an engine reads per second, one prompt at a time; None for a fixed time."""
        self.slowdowns: dict[str, float] = {}
        """Factors by which engines read more slowly."""
        self.call_seconds = call_seconds
        self.deadly_parts: set[str] = set()
        """Prompt parts on which an engine crashes."""
        self.deadly_digests: set[str] = set()
        """Digests of requests on which a target crashes."""
        self.sends: list[Send] = []
        self.crash_delay_seconds: float | None = None
        """Time from the first output of such a request to the crash, None for a crash in its place."""
        self.rate_limits: dict[str, float] = {}
        """Requests per second that targets name in their answers as the limit for all routers together."""
        self.crashes: list[tuple[float, str]] = []
        self.down_until: dict[str, float] = {}
        self.prefill_ends_at: dict[str, float] = {}
        """Time at which an engine has read all prompts sent to it."""
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.loss = loss
        self.repeated = repeated
        self.services = {"engines": make_service(), APPLICATION: make_service(name=APPLICATION, engine=None)}
        names = [f"dc{number}" for number in range(data_centres)]
        self.targets = [
            make_target(
                f"e{number}",
                slots=slots,
                data_centre=names[number % data_centres],
                cold_until=1e9 if f"e{number}" in cold else 0.0,
            )
            for number in range(engines)
        ]
        self.targets += [
            make_target(
                f"d{number}",
                service=APPLICATION,
                slots=APPLICATION_SLOTS,
                data_centre=names[number % data_centres],
            )
            for number in range(application_targets)
        ]
        self.seeds = ("10.0.0.0", "10.0.0.1", "10.0.0.2")
        self.in_flight: list[tuple[float, int, str, str, object]] = []
        self.numbers = itertools.count()
        self.separated: set[str] = set()
        """Routers that reach only each other."""
        self.starts: dict[str, list[float]] = {}
        self.most_open: dict[str, int] = {}
        self.datagrams = 0
        self.homes = {
            f"10.0.{number // 200}.{number % 200}": names[number % data_centres] for number in range(routers)
        }
        self.routers = {address: RouterInMemory(self, address, home) for address, home in self.homes.items()}

    def send(self, sender: RouterInMemory, datagram: object, addresses: list[str]) -> None:
        is_bounded = self.max_datagram_bytes < math.inf
        if is_bounded and len(msgspec.msgpack.encode(datagram)) > self.max_datagram_bytes:
            return
        for address in addresses:
            self.datagrams += 1
            for _ in range(1 + (self.rng.random() < self.repeated)):
                if self.rng.random() >= self.loss:
                    at = self.clock.monotonic() + self.rng.uniform(*DELAY_SECONDS)
                    entry = (at, next(self.numbers), sender.address, address, datagram)
                    heapq.heappush(self.in_flight, entry)

    def deliver(self) -> None:
        now = self.clock.monotonic()
        while self.in_flight and self.in_flight[0][0] <= now:
            _at, _number, sender, address, datagram = heapq.heappop(self.in_flight)
            receiver = self.routers.get(address)
            if receiver is not None and (sender in self.separated) == (address in self.separated):
                receiver.inbox.append((sender, datagram))

    def note_start(self, target_id: str) -> None:
        self.starts.setdefault(target_id, []).append(self.clock.monotonic())
        count = sum(
            open_at == target_id for router in self.routers.values() for open_at in router.open.values()
        )
        self.most_open[target_id] = max(count, self.most_open.get(target_id, 0))

    def is_down(self, target_id: str) -> bool:
        return self.clock.monotonic() < self.down_until.get(target_id, 0.0)

    def crash(self, target_id: str) -> None:
        """Let an engine crash, which closes all connections to it."""
        now = self.clock.monotonic()
        if self.is_down(target_id):
            return
        self.crashes.append((now, target_id))
        self.down_until[target_id] = now + DOWN_SECONDS
        self.reset_connections(target_id)

    def reset_connections(self, target_id: str | None = None) -> None:
        """Break the connections to one target or to all, which continue to run."""
        for router in self.routers.values():
            for request_id, attempt in list(router.open_attempts.items()):
                if target_id in (None, router.open.get(request_id)):
                    router.later(0.001, lambda router=router, attempt=attempt: router.cut(attempt))

    def prefill_seconds(self, grant: TargetGrant) -> float:
        """Return the time until an engine has read the prompt of a request that is sent to it now."""
        if self.prefill_rate is None:
            return READING_SECONDS
        now = self.clock.monotonic()
        begins_at = max(now, self.prefill_ends_at.get(grant.target_id, 0.0))
        seconds = grant.prefill_tokens / self.prefill_rate * self.slowdowns.get(grant.target_id, 1.0)
        self.prefill_ends_at[grant.target_id] = begins_at + seconds
        return READING_SECONDS + self.prefill_ends_at[grant.target_id] - now

    def run(self, seconds: float, arrive=None) -> None:
        """Let time pass; `arrive` is called in each step and may ask for requests."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            self.deliver()
            if arrive is not None:
                arrive()
            for router in list(self.routers.values()):
                router.step()

    def restart(self, address: str) -> RouterInMemory:
        """Replace a router by a new process that knows nothing."""
        self.routers[address] = RouterInMemory(self, address, self.homes[address])
        return self.routers[address]

    def unanswered(self) -> list[tuple[str, str]]:
        """Return the requests without an answer after their goal and a grace time, by router."""
        now = self.clock.monotonic()
        return [
            (address, request_id)
            for address, router in self.routers.items()
            for request_id, at in router.asked_at.items()
            if now - at > 1.0 + GRACE_SECONDS
            and request_id not in router.granted_at
            and request_id not in router.refused
            and request_id not in router.refused_at_the_edge
        ]


def poisson_load(fleet: FleetInMemory, per_second: float, *, sessions: int = 60):
    """Return a function that lets requests arrive at routers that run, with names that are never repeated."""
    numbers = itertools.count()

    def arrive() -> None:
        count = 0
        while fleet.rng.random() < per_second * STEP_SECONDS - count:
            count += 1
            running = [router for router in fleet.routers.values() if not router.is_frozen]
            number = next(numbers)
            fleet.rng.choice(running).request_target(
                f"w{number}", session=f"s{fleet.rng.randrange(sessions)}", customer=f"c{number % 7}"
            )

    return arrive
