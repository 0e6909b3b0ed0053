"""Builders for tests of the capacity side, and a model of several routers around one target."""

from dataclasses import dataclass, field
from random import Random

from limpetusher.configuration.compiled import (
    Customer,
    Host,
    HostList,
    HostRole,
    HostState,
    TargetClass,
    TargetKind,
)
from limpetusher.core.connection.peers import Peers
from limpetusher.core.inputs import LoadReported
from limpetusher.core.process.ledger import Ledger
from limpetusher.core.process.membership import Membership
from limpetusher.core.process.shares import Shares
from limpetusher.core.settings import PolicySettings
from limpetusher.wire.messages import Grant, Heartbeat, HeldGrant, Release

TARGET = "t1"
KEPT_PACKETS = 60


def make_router(host_id: str, data_centre: str = "east", state: HostState = HostState.LIVE) -> Host:
    return Host(host_id, HostRole.ROUTER, data_centre, f"{host_id}:7000", state)


def make_target(host_id: str = TARGET, data_centre: str = "east") -> Host:
    return Host(host_id, HostRole.TARGET, data_centre, f"{host_id}:8000", target_class="model")


def make_hosts(version: int, routers: list[str], targets: tuple[str, ...] = (TARGET,)) -> HostList:
    """Return a host list in one data centre; a router named `far...` is in another one."""
    placed = [make_router(name, "west" if name.startswith("far") else "east") for name in routers]
    return HostList(version, (*placed, *(make_target(name) for name in targets)))


def make_class(slots: int = 8, cold_slots: int = 3) -> TargetClass:
    return TargetClass("model", TargetKind.ENGINE, ("model",), slots, cold_slots)


def make_customers(shares: dict[str, float]) -> dict[str, Customer]:
    return {name: Customer(name, share, (), frozenset()) for name, share in shares.items()}


def make_report(running: int, *, warm: bool = True, boot_id: str = "boot1", age: float = 0.0) -> LoadReported:
    return LoadReported(TARGET, running, warm, boot_id, age)


def make_held(grant_id: str, progress: float = 0.0) -> HeldGrant:
    return HeldGrant(grant_id, TARGET, "a", "model", progress)


def names_of(host_list: HostList) -> set[str]:
    return {host.host_id for host in host_list.hosts}


class Node:
    """One incarnation of a router: the capacity side and a minimal dispatcher around it."""

    def __init__(self, name: str, incarnation: int, settings: PolicySettings, now: float):
        self.name = name
        self.incarnation = incarnation
        self.peers = Peers(settings, first_sequence=incarnation * 1_000_000)
        self.membership = Membership(settings, name, self.peers)
        self.shares = Shares(settings, name, self.membership, self.peers, now)
        self.ledger = Ledger(settings)
        self.demands: dict[str, int] = {}
        self.allowed: dict[str, tuple[float, str]] = {}
        self.running: dict[str, str] = {}


@dataclass
class Packet:
    """A message on its way."""

    sender: str
    incarnation: int
    receiver: str
    payload: object


@dataclass
class World:
    """Routers, the messages between them, one target and the host lists that were published."""

    settings: PolicySettings
    target_class: TargetClass
    warm: bool
    routers: list[str]
    now: float = 100.0
    nodes: dict[str, Node] = field(default_factory=dict)
    packets: list[Packet] = field(default_factory=list)
    measured: list[tuple[float, int]] = field(default_factory=list)
    lists: list[HostList] = field(default_factory=list)
    incarnations: int = 0
    grants: int = 0
    most: int = 0

    def __post_init__(self):
        self.publish(self.routers)
        for name in self.routers:
            self.start(name, 0)

    def publish(self, routers: list[str]) -> None:
        """Publish a new host list. The platform drops a router only after it has stopped."""
        self.lists.append(make_hosts(len(self.lists) + 1, sorted({*routers, *self.nodes})))

    def start(self, name: str, age: int) -> None:
        """Start a listed router. The list it reads first may be old but names all running routers."""
        if name in names_of(self.lists[-1]):
            if self.nodes.keys() - names_of(self.list_of_age(age)):
                age = 0
            self.incarnations += 1
            self.nodes[name] = Node(name, self.incarnations, self.settings, self.now)
            self.see(name, age)

    def stop(self, name: str) -> None:
        """Stop a router at once; its requests end with it."""
        self.nodes.pop(name, None)

    def leave(self, name: str) -> None:
        """Let a router announce that it is stopping; the next owner has to take over from it."""
        node = self.nodes[name]
        node.shares.stopping = node.membership.leaving_self = True

    def see(self, name: str, age: int) -> None:
        """Let a router read the newest host list or one that is `age` versions older."""
        node = self.nodes[name]
        if node.membership.update(self.list_of_age(age), self.now):
            node.peers.forget_unlisted(node.membership.routers())
            node.ledger.configure(node.membership.targets(), {"model": self.target_class})
            node.shares.hosts_changed(self.now)

    def list_of_age(self, age: int) -> HostList:
        return self.lists[max(0, len(self.lists) - 1 - age)]

    def send(self, node: Node, receiver: str, payload: object) -> None:
        self.packets.append(Packet(node.name, node.incarnation, receiver, payload))

    def heartbeat(self, name: str) -> None:
        """Let a router send heartbeats to all listed routers; they also serve as its demands."""
        node = self.nodes[name]
        lent = node.shares.lend(self.now)
        held = {make_held(grant_id): granted_by for grant_id, granted_by in node.running.items()}
        owner = node.membership.owner(TARGET, self.now)
        node.ledger.held(name, held, self.now, sent_after=self.now)
        for peer in node.membership.routers():
            if peer != name:
                payload = Heartbeat(
                    sequence=node.peers.next_sequence(peer, self.now),
                    echo=node.peers.echo_for(peer),
                    ready=True,
                    leaving=node.shares.stopping,
                    configuration_version=1,
                    configuration_digest=b"",
                    host_list_version=node.membership.version,
                    lent_targets=lent.get(peer, ()),
                    held=tuple(entry for entry, granted_by in held.items() if peer in (owner, granted_by)),
                )
                self.send(node, peer, payload)

    def deliver(self, packet: Packet) -> None:
        """Deliver a message to the present incarnation of its receiver."""
        node = self.nodes.get(packet.receiver)
        if node is None or packet.sender not in node.membership.routers():
            return
        payload = packet.payload
        if isinstance(payload, Heartbeat):
            self.deliver_heartbeat(node, packet.sender, packet.incarnation, payload)
        elif isinstance(payload, Grant):
            sent_at = node.peers.sent_at(packet.sender, payload.echo)
            if sent_at is not None:
                node.allowed[payload.grant_id] = (sent_at + payload.valid_seconds, packet.sender)
        elif isinstance(payload, Release):
            node.ledger.release(payload.grant_id, payload.cost, payload.complete, self.now)

    def deliver_heartbeat(self, node: Node, sender: str, incarnation: int, payload: Heartbeat) -> None:
        change = node.peers.received(
            sender, incarnation, payload.sequence, payload.echo, self.now, payload.leaving
        )
        if change.outdated:
            return
        version = payload.host_list_version
        node.shares.accept(sender, payload.echo, payload.lent_targets, self.now, host_list_version=version)
        sent_after = node.peers.sent_at(sender, payload.echo)
        node.ledger.held(sender, payload.held, self.now, sent_after=sent_after)
        node.demands[sender] = payload.sequence

    def grant(self, name: str, holder: str) -> bool:
        """Let a router grant a request to a holder that it has a demand of, if it may."""
        node = self.nodes[name]
        node.ledger.expire(self.now)
        if holder != name and holder not in node.demands:
            return False
        if node.ledger.usable(TARGET, node.shares, self.now) < 1:
            return False
        self.grants += 1
        grant_id = f"g{self.grants}"
        node.ledger.grant(grant_id, TARGET, holder, "a", "model", 10.0, self.now)
        valid = self.settings.grant_valid_seconds
        if holder == name:
            node.allowed[grant_id] = (self.now + valid, name)
        else:
            echo = node.demands[holder]
            self.send(node, holder, Grant(grant_id, 1, TARGET, "model", "a", echo, valid))
        return True

    def dispatch(self, name: str) -> None:
        """Let a holder send all requests whose grants are still valid, and check the target's limit."""
        node = self.nodes[name]
        for grant_id, (deadline, owner) in node.allowed.items():
            if self.now < deadline:
                node.running[grant_id] = owner
        node.allowed.clear()
        self.most = max(self.most, self.in_use())

    def finish(self, name: str, count: int) -> None:
        """End requests of a holder, which releases them to the router that granted them."""
        node = self.nodes[name]
        for grant_id in list(node.running)[:count]:
            granted_by = node.running.pop(grant_id)
            node.ledger.release(grant_id, 10.0, True, self.now)
            for peer in {granted_by, node.membership.owner(TARGET, self.now)} - {name, None}:
                self.send(node, peer, Release(grant_id, TARGET, 10.0, True))

    def in_use(self) -> int:
        return sum(len(node.running) for node in self.nodes.values())

    def measure(self) -> None:
        """Let the target measure its load; routers may read the report later."""
        self.measured.append((self.now, self.in_use()))

    def report(self, name: str, age: int) -> None:
        """Let a router read one of the last load reports."""
        if self.measured:
            measured_at, running = self.measured[max(0, len(self.measured) - 1 - age)]
            report = make_report(running, warm=self.warm, age=self.now - measured_at)
            self.nodes[name].ledger.load_reported(report, self.now)

    def disturbed_exchange(self, random: Random) -> None:
        """Let some exchange intervals pass while paths are cut, routers pause and messages come late."""
        names = list(self.nodes)
        side = {name for name in names if random.random() < 0.15}
        cut = {(a, b) for a in names for b in names if (a in side) != (b in side) or random.random() < 0.07}
        paused = {name for name in names if random.random() < 0.15}
        busy, ending, reporting = (random.random() < part for part in (0.7, 0.5, 0.6))
        kept = random.choice((0.0, 0.0, 0.3))
        active = [name for name in names if name not in paused]
        for _ in range(random.choice((1, 1, 2, 4, 8, 16, 30))):
            self.now += self.settings.exchange_interval_seconds
            random.shuffle(active)
            for name in active:
                self.heartbeat(name)
            self.deliver_open(random, paused, cut, kept)
            if reporting:
                self.measure()
                for name in active:
                    if random.random() < 0.6:
                        self.report(name, random.choice((0, 0, 1, 2)))
            for name in active if busy else ():
                while self.grant(name, random.choice(names)):
                    pass
            self.deliver_open(random, paused, cut, max(kept, 0.7))
            for name in active:
                if random.random() < 0.8:
                    self.dispatch(name)
                if ending:
                    self.finish(name, random.randint(0, 2))

    def deliver_open(self, random: Random, paused: set[str], cut: set[tuple[str, str]], kept: float) -> None:
        """Deliver the packets on the way whose path is open; keep a part of the others for later."""
        packets, self.packets = self.packets, []
        for packet in packets:
            if (packet.sender, packet.receiver) not in cut and packet.receiver not in paused:
                self.deliver(packet)
            elif random.random() < kept:
                self.packets.append(packet)
        del self.packets[:-KEPT_PACKETS]
