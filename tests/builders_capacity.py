"""Builders for tests of the capacity components, and a simulation of several routers with one target."""

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
from limpetusher.core.process.slot_leases import SlotLeases
from limpetusher.core.settings import PolicySettings
from limpetusher.wire.messages import Grant, GrantRelease, Heartbeat, HeldGrant

TARGET = "t1"
MAXIMUM_DELAYED_PACKETS = 60


def make_router(host_id: str, data_centre: str = "east", state: HostState = HostState.LIVE) -> Host:
    return Host(host_id, HostRole.ROUTER, data_centre, f"{host_id}:7000", state)


def make_target(host_id: str = TARGET, data_centre: str = "east") -> Host:
    return Host(host_id, HostRole.TARGET, data_centre, f"{host_id}:8000", target_class="model")


def make_hosts(version: int, routers: list[str], targets: tuple[str, ...] = (TARGET,)) -> HostList:
    """Return a host list in one data centre; routers named `far...` are in another one."""
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


def host_ids_of(host_list: HostList) -> set[str]:
    return {host.host_id for host in host_list.hosts}


class SimulatedRouter:
    """One incarnation of a router: the capacity components and the state of a minimal dispatcher."""

    def __init__(self, name: str, incarnation: int, settings: PolicySettings, now: float):
        self.name = name
        self.incarnation = incarnation
        self.peers = Peers(settings, first_sequence=incarnation * 1_000_000)
        self.membership = Membership(settings, name, self.peers)
        self.slot_leases = SlotLeases(settings, name, self.membership, self.peers, now)
        self.ledger = Ledger(settings)
        self.demands: dict[str, int] = {}
        self.valid_grants: dict[str, tuple[float, str]] = {}
        self.running: dict[str, str] = {}


@dataclass
class Packet:
    """A message in flight."""

    sender: str
    incarnation: int
    receiver: str
    payload: object


@dataclass
class CapacitySimulation:
    """Simulated routers, messages between them, one target and the published host lists."""

    settings: PolicySettings
    target_class: TargetClass
    warm: bool
    routers: list[str]
    now: float = 100.0
    nodes: dict[str, SimulatedRouter] = field(default_factory=dict)
    packets: list[Packet] = field(default_factory=list)
    load_measurements: list[tuple[float, int]] = field(default_factory=list)
    host_lists: list[HostList] = field(default_factory=list)
    incarnation_count: int = 0
    grant_count: int = 0
    most_in_use: int = 0

    def __post_init__(self):
        self.publish(self.routers)
        for name in self.routers:
            self.start(name, 0)

    def publish(self, routers: list[str]) -> None:
        """Publish a new host list. The platform drops a router only after it has stopped."""
        self.host_lists.append(make_hosts(len(self.host_lists) + 1, sorted({*routers, *self.nodes})))

    def start(self, name: str, age: int) -> None:
        """Start a router if it is listed. Its first host list may be old but contains all running routers."""
        if name in host_ids_of(self.host_lists[-1]):
            if self.nodes.keys() - host_ids_of(self.list_of_age(age)):
                age = 0
            self.incarnation_count += 1
            self.nodes[name] = SimulatedRouter(name, self.incarnation_count, self.settings, self.now)
            self.read_host_list(name, age)

    def stop(self, name: str) -> None:
        """Stop a router at once, which also ends its requests."""
        self.nodes.pop(name, None)

    def leave(self, name: str) -> None:
        """Let a router announce that it is stopping, so that the next owner takes over its targets."""
        node = self.nodes[name]
        node.slot_leases.stopping = node.membership.self_is_leaving = True

    def read_host_list(self, name: str, age: int) -> None:
        """Let a router read the host list that is `age` versions older than the newest."""
        node = self.nodes[name]
        if node.membership.update(self.list_of_age(age), self.now):
            node.peers.forget_unlisted(node.membership.routers())
            node.ledger.configure(node.membership.targets(), {"model": self.target_class})
            node.slot_leases.hosts_changed(self.now)

    def list_of_age(self, age: int) -> HostList:
        return self.host_lists[max(0, len(self.host_lists) - 1 - age)]

    def send(self, node: SimulatedRouter, receiver: str, payload: object) -> None:
        self.packets.append(Packet(node.name, node.incarnation, receiver, payload))

    def heartbeat(self, name: str) -> None:
        """Let a router send heartbeats to all listed routers; receivers also use them as its demand."""
        node = self.nodes[name]
        lent = node.slot_leases.lend_slots(self.now)
        held = {make_held(grant_id): granted_by for grant_id, granted_by in node.running.items()}
        owner = node.membership.owner(TARGET, self.now)
        node.ledger.apply_held_grants(name, held, self.now, sent_after=self.now)
        for peer in node.membership.routers():
            if peer != name:
                payload = Heartbeat(
                    sequence=node.peers.next_sequence(peer, self.now),
                    echo=node.peers.echo_for(peer),
                    ready=True,
                    leaving=node.slot_leases.stopping,
                    configuration_version=1,
                    configuration_digest=b"",
                    host_list_version=node.membership.version,
                    lent_targets=lent.get(peer, ()),
                    held=tuple(entry for entry, granted_by in held.items() if peer in (owner, granted_by)),
                )
                self.send(node, peer, payload)

    def deliver(self, packet: Packet) -> None:
        """Deliver a message to the current incarnation of its receiver."""
        node = self.nodes.get(packet.receiver)
        if node is None or packet.sender not in node.membership.routers():
            return
        payload = packet.payload
        if isinstance(payload, Heartbeat):
            self.deliver_heartbeat(node, packet.sender, packet.incarnation, payload)
        elif isinstance(payload, Grant):
            sent_at = node.peers.sent_at(packet.sender, payload.echo)
            if sent_at is not None:
                node.valid_grants[payload.grant_id] = (sent_at + payload.valid_seconds, packet.sender)
        elif isinstance(payload, GrantRelease):
            node.ledger.release(payload.grant_id, payload.cost, payload.complete, self.now)

    def deliver_heartbeat(
        self, node: SimulatedRouter, sender: str, incarnation: int, payload: Heartbeat
    ) -> None:
        change = node.peers.record_heartbeat(
            sender, incarnation, payload.sequence, payload.echo, self.now, payload.leaving
        )
        if change.outdated:
            return
        version = payload.host_list_version
        node.slot_leases.accept_leases(
            sender, payload.echo, payload.lent_targets, self.now, host_list_version=version
        )
        sent_after = node.peers.sent_at(sender, payload.echo)
        node.ledger.apply_held_grants(sender, payload.held, self.now, sent_after=sent_after)
        node.demands[sender] = payload.sequence

    def grant(self, name: str, holder: str) -> bool:
        """Let a router issue a grant to a holder with known demand, if the ledger allows it."""
        node = self.nodes[name]
        node.ledger.expire_silent_holders(self.now)
        if holder != name and holder not in node.demands:
            return False
        if node.ledger.usable_slots(TARGET, node.slot_leases, self.now) < 1:
            return False
        self.grant_count += 1
        grant_id = f"g{self.grant_count}"
        node.ledger.add_grant(grant_id, TARGET, holder, "a", "model", 10.0, self.now)
        valid = self.settings.grant_valid_seconds
        if holder == name:
            node.valid_grants[grant_id] = (self.now + valid, name)
        else:
            echo = node.demands[holder]
            self.send(node, holder, Grant(grant_id, 1, TARGET, "model", "a", echo, valid))
        return True

    def dispatch(self, name: str) -> None:
        """Let a holder send all requests whose grants are still valid, and record the peak number in use."""
        node = self.nodes[name]
        for grant_id, (deadline, owner) in node.valid_grants.items():
            if self.now < deadline:
                node.running[grant_id] = owner
        node.valid_grants.clear()
        self.most_in_use = max(self.most_in_use, self.requests_in_use())

    def finish(self, name: str, count: int) -> None:
        """End requests of a holder, which releases them to the owner and the router that granted them."""
        node = self.nodes[name]
        for grant_id in list(node.running)[:count]:
            granted_by = node.running.pop(grant_id)
            node.ledger.release(grant_id, 10.0, True, self.now)
            for peer in {granted_by, node.membership.owner(TARGET, self.now)} - {name, None}:
                self.send(node, peer, GrantRelease(grant_id, TARGET, 10.0, True))

    def requests_in_use(self) -> int:
        return sum(len(node.running) for node in self.nodes.values())

    def measure_load(self) -> None:
        """Record the target's load, which routers may read later."""
        self.load_measurements.append((self.now, self.requests_in_use()))

    def read_report(self, name: str, age: int) -> None:
        """Let a router read the load report that is `age` measurements older than the newest."""
        if self.load_measurements:
            measured_at, running = self.load_measurements[max(0, len(self.load_measurements) - 1 - age)]
            read_report = make_report(running, warm=self.warm, age=self.now - measured_at)
            self.nodes[name].ledger.apply_load_report(read_report, self.now)

    def exchange_with_faults(self, random: Random) -> None:
        """Let some exchange intervals pass while links are cut, routers pause and messages are delayed."""
        names = list(self.nodes)
        partition = {name for name in names if random.random() < 0.15}
        cut_links = {
            (a, b)
            for a in names
            for b in names
            if (a in partition) != (b in partition) or random.random() < 0.07
        }
        paused = {name for name in names if random.random() < 0.15}
        busy, ending, reporting = (random.random() < part for part in (0.7, 0.5, 0.6))
        delayed_fraction = random.choice((0.0, 0.0, 0.3))
        active = [name for name in names if name not in paused]
        for _ in range(random.choice((1, 1, 2, 4, 8, 16, 30))):
            self.now += self.settings.exchange_interval_seconds
            random.shuffle(active)
            for name in active:
                self.heartbeat(name)
            self.deliver_reachable(random, paused, cut_links, delayed_fraction)
            if reporting:
                self.measure_load()
                for name in active:
                    if random.random() < 0.6:
                        self.read_report(name, random.choice((0, 0, 1, 2)))
            for name in active if busy else ():
                while self.grant(name, random.choice(names)):
                    pass
            self.deliver_reachable(random, paused, cut_links, max(delayed_fraction, 0.7))
            for name in active:
                if random.random() < 0.8:
                    self.dispatch(name)
                if ending:
                    self.finish(name, random.randint(0, 2))

    def deliver_reachable(
        self, random: Random, paused: set[str], cut_links: set[tuple[str, str]], delayed_fraction: float
    ) -> None:
        """Deliver packets whose link is open and whose receiver runs; delay a part of the others."""
        packets, self.packets = self.packets, []
        for packet in packets:
            if (packet.sender, packet.receiver) not in cut_links and packet.receiver not in paused:
                self.deliver(packet)
            elif random.random() < delayed_fraction:
                self.packets.append(packet)
        del self.packets[:-MAXIMUM_DELAYED_PACKETS]
