"""One decision core among synthetic peers, in one process without sockets, for measurements of its cost."""

import random
import statistics
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from limpetusher.configuration.compiled import (
    Configuration,
    Customer,
    DataCentreState,
    Host,
    HostList,
    HostRole,
    Service,
    TargetClass,
    TargetKind,
)
from limpetusher.core import inputs
from limpetusher.core.actions import Action, Dispatch, SendToPeer
from limpetusher.core.decision import DecisionCore
from limpetusher.core.settings import PolicySettings
from limpetusher.wire.codec import Codec
from limpetusher.wire.messages import (
    Demand,
    DemandEntry,
    Grant,
    Heartbeat,
    PeerPayload,
    Register,
    Release,
)

OWN = "router-000"
OWN_INCARNATION = 1 << 63
CODEC = Codec(bytes(32))
COST = 100.0
PATIENCE_SECONDS = 3600.0


@dataclass(frozen=True, slots=True, kw_only=True)
class WorldSize:
    """Sizes that the cost depends on."""

    members: int = 24
    customers: int = 400
    backlogged: int = 40
    """Customers that wait at each router."""
    changed: int = 32
    """Backlogged customers whose charges change at each owner between two heartbeats: those in its slots."""
    targets: int = 48
    running: int = 16
    """Requests of this router's callers that run at peers' targets."""
    requests_per_second: float = 20.0
    models: int = 10
    data_centres: int = 6
    slots: int = 8


@dataclass(slots=True)
class Samples:
    """Processor microseconds and bytes by what they were spent on."""

    microseconds: dict[str, list[float]] = field(default_factory=dict)
    sizes: dict[str, list[int]] = field(default_factory=dict)
    messages: Counter = field(default_factory=Counter)

    def median(self, name: str) -> float:
        """Return the median cost of one occasion."""
        return statistics.median(self.microseconds[name])

    def mean_size(self, name: str) -> float:
        """Return the mean size of messages of a type, 0 when there were none."""
        return statistics.fmean(self.sizes.get(name) or [0])


class World:
    """The core under measurement and the state of its synthetic peers.

    All targets are reported as full, so that the backlog stays unless a peer grants something.
    """

    def __init__(self, size: WorldSize, seed: int = 1):
        self.size = size
        self.random = random.Random(seed)
        self.now = 100.0
        self.samples = Samples()
        self.names = [f"customer-{index:04d}" for index in range(size.customers)]
        self.models = [f"model-{index}" for index in range(size.models)]
        self.peers = [f"router-{index:03d}" for index in range(1, size.members)]
        self.sequences = dict.fromkeys(self.peers, 0)
        self.echoes = dict.fromkeys(self.peers, 0)
        self.totals = dict.fromkeys(self.names, 0.0)
        self.grants = 0
        self.requests = 0
        self.running: list[inputs.RequestArrived] = []
        self.core = DecisionCore(
            settings=PolicySettings(fresh_fleet=True),
            own_id=OWN,
            data_centre="dc-0",
            incarnation=OWN_INCARNATION,
            rng=random.Random(seed),
            started_at=self.now,
        )
        self.give(inputs.HostListReceived(self.host_list()))
        self.give(inputs.ConfigurationReceived(self.configuration()))
        for _ in range(3):
            self.exchange()
        self.report_loads(running=size.slots)

    def host_list(self) -> HostList:
        """Return the host list; hosts are spread evenly over the data centres."""
        size = self.size
        routers = [
            Host(f"router-{i:03d}", HostRole.ROUTER, f"dc-{i % size.data_centres}", f"10.0.0.0:{i}")
            for i in range(size.members)
        ]
        targets = [
            Host(
                f"engine-{i:03d}",
                HostRole.TARGET,
                f"dc-{(i + i // size.models) % size.data_centres}",
                f"10.0.1.0:{i}",
                target_class=f"class-{i % size.models}",
            )
            for i in range(size.targets)
        ]
        return HostList(1, (*routers, *targets))

    def configuration(self) -> Configuration:
        """Return a configuration in which each target class serves one model."""
        size = self.size
        return Configuration(
            version=1,
            digest=bytes(16),
            document=b"",
            customers={
                name: Customer(
                    name, 1.0, (), frozenset(self.models), default_patience_seconds=PATIENCE_SECONDS
                )
                for name in self.names
            },
            services={name: Service(name, TargetKind.ENGINE) for name in self.models},
            target_classes={
                f"class-{i}": TargetClass(f"class-{i}", TargetKind.ENGINE, (name,), size.slots, size.slots)
                for i, name in enumerate(self.models)
            },
            data_centres={f"dc-{i}": DataCentreState.IN_SERVICE for i in range(size.data_centres)},
        )

    def give(self, message: inputs.Input, name: str | None = None) -> list[Action]:
        """Let the core handle an input, with its processor time counted under `name`."""
        began = time.thread_time_ns()
        actions = self.core.handle(message, self.now)
        used = time.thread_time_ns() - began
        if name is not None:
            self.samples.microseconds.setdefault(name, []).append(used / 1000)
        return actions

    def exchange(self) -> None:
        """Let an exchange interval pass: a tick of the core, and a heartbeat of each peer."""
        self.now = max(
            self.now + self.core.context.settings.exchange_interval_seconds, self.core.exchange.next_tick
        )
        # Stands for the progress of the requests that hold this router's slots.
        for name in self.changed_customers():
            self.core.context.fairness.charge(name, COST)
        self.note_sent(self.give(inputs.TimerDue(), "tick"))
        lent = self.lent_targets()
        free: dict[str, dict[str, int]] = {}
        for target, owner in self.core.routes.owner_of.items():
            free.setdefault(owner, {})[target] = 0
        for peer in self.peers:
            heartbeat = self.heartbeat(peer, lent.get(peer, ()), free.get(peer, {}))
            message = inputs.PeerMessage(peer, self.incarnation(peer), heartbeat)
            self.note_sent(self.give(message, "heartbeat"))

    def incarnation(self, peer: str) -> int:
        """Return a peer's incarnation."""
        return OWN_INCARNATION + int(peer.rpartition("-")[2])

    def changed_customers(self) -> list[str]:
        """Return the customers that one owner has charged since its last heartbeat."""
        waiting = self.names[: self.size.backlogged]
        return self.random.sample(waiting, min(self.size.changed, len(waiting)))

    def lent_targets(self) -> dict[str, tuple[str, ...]]:
        """Return what each peer lends to this router: its slots of the targets that this router owns."""
        lent: dict[str, list[str]] = {}
        for target in self.core.owned_targets:
            for carrier in self.core.context.membership.carriers(target):
                lent.setdefault(carrier, []).append(target)
        return {carrier: tuple(targets) for carrier, targets in lent.items()}

    def heartbeat(self, peer: str, lent: tuple[str, ...], free: dict[str, int]) -> Heartbeat:
        """Return a peer's next heartbeat: it waits for the backlogged customers and has charged some."""
        self.sequences[peer] += 1
        waiting = self.names[: self.size.backlogged]
        charged = self.changed_customers()
        for name in charged:
            self.totals[name] += COST
        return Heartbeat(
            sequence=self.sequences[peer],
            echo=self.echoes[peer],
            ready=True,
            leaving=False,
            configuration_version=1,
            configuration_digest=bytes(16),
            host_list_version=1,
            lent_targets=lent,
            charged={name: self.totals[name] for name in charged},
            waiting_customers=tuple(waiting),
            free_slots=free,
        )

    def note_sent(self, actions: Iterable[Action]) -> None:
        """Note sizes of messages and the sequence numbers that peers echo."""
        for action in actions:
            if not isinstance(action, SendToPeer):
                continue
            name = type(action.payload).__name__
            self.samples.messages[name] += 1
            self.samples.sizes.setdefault(name, []).append(self.encode(action.payload, name))
            if isinstance(action.payload, Heartbeat | Demand):
                self.echoes[action.peer] = action.payload.sequence

    def encode(self, payload: PeerPayload, name: str) -> int:
        """Encode and decode a message, with the processor time of both counted; return its size."""
        began = time.thread_time_ns()
        frame = CODEC.encode(payload, sender=OWN, incarnation=OWN_INCARNATION)
        encoded = time.thread_time_ns()
        CODEC.decode(frame)
        decoded = time.thread_time_ns()
        self.samples.microseconds.setdefault(f"encode {name}", []).append((encoded - began) / 1000)
        self.samples.microseconds.setdefault(f"decode {name}", []).append((decoded - encoded) / 1000)
        return len(frame)

    def report_loads(self, *, running: int) -> None:
        """Give the load reports of the owned targets."""
        for target in self.core.owned_targets:
            self.note_sent(self.give(inputs.LoadReported(target, running, True, "boot", 0.0), "load report"))

    # Requests of this router's callers

    def new_request(self, customer: str) -> inputs.RequestArrived:
        """Return a request of a customer for a random model."""
        self.requests += 1
        return inputs.RequestArrived(
            request_id=f"{OWN}-{self.requests}",
            customer=customer,
            service=self.random.choice(self.models),
            idempotent=True,
            patience_seconds=PATIENCE_SECONDS,
            prompt_cost=10.0,
        )

    def add_backlog(self) -> None:
        """Let one request of each backlogged customer wait at this router."""
        for name in self.names[: self.size.backlogged]:
            self.note_sent(self.give(self.new_request(name)))
            self.now += 0.0001
        for _ in range(3):
            self.exchange()

    def run_requests(self, count: int) -> list[inputs.RequestArrived]:
        """Take requests of customers without backlog to their dispatch, granted by peers."""
        free = self.names[self.size.backlogged :]
        requests = [self.new_request(free[index % len(free)]) for index in range(count)]
        for request in requests:
            self.note_sent(self.give(request, "arrival"))
        self.now += self.core.context.settings.demand_spread_seconds + 0.001
        self.note_sent(self.give(inputs.TimerDue(), "spread"))
        dispatched = [request for request in requests if self.grant(request)]
        for request in dispatched:
            self.give(inputs.ResponseStarted(request.request_id, 1), "started")
        return dispatched

    def grant(self, request: inputs.RequestArrived) -> bool:
        """Let the first owner of a suitable target grant a request; return whether it was dispatched."""
        suitable = (
            (target, owner)
            for target, owner in self.core.routes.owner_of.items()
            if owner not in (None, OWN) and request.service in self.services_of(target)
        )
        found = next(suitable, None)
        if found is None:
            return False
        target, owner = found
        self.grants += 1
        payload = Grant(
            f"{owner}-{self.grants}",
            self.grants,
            target,
            request.service,
            request.customer,
            self.echoes[owner],
            1.0,
        )
        actions = self.give(inputs.PeerMessage(owner, self.incarnation(owner), payload), "grant")
        self.note_sent(actions)
        return any(isinstance(action, Dispatch) for action in actions)

    def services_of(self, target: str) -> tuple[str, ...]:
        """Return the services of a target."""
        host = self.core.context.membership.target(target)
        return self.core.context.rollout.configuration.target_classes[host.target_class].services

    def progress(self) -> None:
        """Report the progress of all running requests."""
        for request in self.running:
            self.give(inputs.ResponseProgress(request.request_id, 1, self.now), "progress")

    def end(self, requests: list[inputs.RequestArrived]) -> None:
        """End requests with whole answers."""
        for request in requests:
            ended = inputs.ResponseEnded(request.request_id, 1, inputs.Outcome.COMPLETE, COST, 200)
            self.note_sent(self.give(ended, "end"))

    # Requests of peers' callers

    def witness(self, count: int) -> None:
        """Let a peer register attempts for keys that this router is a witness of."""
        witness, peer, registered = self.core.context.witness, self.peers[0], 0
        for number in range(count * self.size.members):
            key = number.to_bytes(16, "big")
            if OWN not in witness.readiness.witnesses(key):
                continue
            payload = Register(key, f"attempt-{number}", bytes(32), witness.digest)
            self.note_sent(self.give(inputs.PeerMessage(peer, self.incarnation(peer), payload), "witness"))
            registered += 1
            if registered == count:
                return

    def serve_peers(self, count: int) -> None:
        """Grant `count` requests of a peer as their owner, each after the release of the one before."""
        target = next(iter(self.core.owned_targets), None)
        if target is None:
            return
        peer, customer = self.peers[0], self.names[-1]
        self.sequences[peer] += 1
        entry = DemandEntry(self.services_of(target)[0], customer, count, 0.0, prompt_cost=10.0)
        demand = Demand(self.sequences[peer], 0, (entry,), True)
        actions = self.give(inputs.PeerMessage(peer, self.incarnation(peer), demand), "demand")
        # A report older than the last grant does not free slots, so time passes first.
        self.now += 0.001
        actions += self.give(inputs.LoadReported(target, 0, True, "boot", 0.0))
        open_grants = [
            action.payload
            for action in actions
            if isinstance(action, SendToPeer) and isinstance(action.payload, Grant) and action.peer == peer
        ]
        while open_grants and count > 0:
            grant = open_grants.pop()
            count -= 1
            release = Release(grant.grant_id, grant.target_id, COST, True)
            message = inputs.PeerMessage(peer, self.incarnation(peer), release)
            for action in self.give(message, "release and grant"):
                if isinstance(action, SendToPeer) and isinstance(action.payload, Grant):
                    open_grants.append(action.payload)
