"""Builders of configurations and host lists, and a simulated fleet of routers with witnesses."""

import hashlib
import json
import random
from dataclasses import dataclass, field

from limpetusher.configuration.compiled import Configuration, Host, HostList, HostRole, HostState
from limpetusher.configuration.document import load_configuration
from limpetusher.core.actions import Replay
from limpetusher.core.connection.peers import Peers
from limpetusher.core.inputs import RequestArrived
from limpetusher.core.process.membership import Membership
from limpetusher.core.refusals import Ran
from limpetusher.core.request.idempotency import AttemptAdmitted, AttemptRejected, KeyProtocol, SendKeyMessage
from limpetusher.core.settings import PolicySettings

DATA_CENTRES = ("north", "east", "south", "west")


def document_fields(version: int = 1, **changes: object) -> dict:
    """Return the fields of a small valid configuration document."""
    return {
        "version": version,
        "customers": [
            {
                "customer_id": "press",
                "share": 2,
                "api_keys": [{"key_id": "press-1", "salt": "00" * 8, "digest": "ab" * 32}],
                "services": ["assessor", "booking"],
                "patience_seconds": {"assessor": 30},
            }
        ],
        "services": [
            {"name": "assessor", "kind": "engine"},
            {
                "name": "booking",
                "kind": "application",
                "routes": [{"method": "POST", "path_prefix": "/visits", "idempotent": False}],
            },
        ],
        "target_classes": [
            {
                "name": "large",
                "kind": "engine",
                "services": ["assessor"],
                "slots": 8,
                "cold_slots": 1,
            }
        ],
        "data_centres": [{"name": name, "state": "in"} for name in DATA_CENTRES],
        "placements": [{"target_id": "engine-1", "model": "assessor", "version": "3"}],
    } | changes


def configuration(version: int = 1, **changes: object) -> Configuration:
    """Return a small compiled configuration."""
    return load_configuration(json.dumps(document_fields(version, **changes)).encode())


def router(number: int, data_centre: str | None = None) -> Host:
    """Return the host list entry of a router."""
    resolved_data_centre = data_centre or DATA_CENTRES[number % len(DATA_CENTRES)]
    return Host(f"router-{number}", HostRole.ROUTER, resolved_data_centre, f"127.0.0.1:{7000 + number}")


def target(number: int, data_centre: str = "north", state: HostState = HostState.LIVE) -> Host:
    """Return the host list entry of an engine."""
    return Host(
        f"engine-{number}", HostRole.TARGET, data_centre, f"127.0.0.1:{8000 + number}", state, "large"
    )


def host_list(version: int, *hosts: Host) -> HostList:
    """Return a host list."""
    return HostList(version, hosts)


def call(request_id: str, key: str = "key", body: bytes = b"body") -> RequestArrived:
    """Return a non-idempotent request with an idempotency key."""
    return RequestArrived(
        request_id,
        "press",
        "booking",
        idempotent=False,
        patience_seconds=60.0,
        prompt_cost=1.0,
        idempotency_key=key,
        body_digest=hashlib.sha256(body).digest(),
    )


@dataclass
class WitnessNode:
    """One router of a `WitnessFleet`. Its monotonic clock is `offset` seconds ahead of the simulated time."""

    name: str
    offset: float
    version: int
    key_protocol: KeyProtocol
    paused: bool = False
    alive: bool = True


@dataclass
class Call:
    """A request at a router, with the answers of the witness."""

    request: RequestArrived
    node: str
    key_protocol: KeyProtocol
    arrived_at: float
    answers: list[AttemptAdmitted | AttemptRejected | Replay] = field(default_factory=list)
    sent_at: float | None = None
    ended: bool = False

    @property
    def admitted(self) -> bool:
        """Return whether the request may be sent according to the last answer."""
        return bool(self.answers) and isinstance(self.answers[-1], AttemptAdmitted) and not self.ended


class WitnessFleet:
    """Simulation of routers with witnesses, a lossy and reordering network, and the platform's host lists.

    Parameters
    ----------
    numbers
        Numbers of the routers in the first host list.
    fresh_fleet
        Whether the initial witnesses are ready immediately.
    """

    def __init__(self, numbers: tuple[int, ...] = (0, 1, 2, 3, 4), *, fresh_fleet: bool = True):
        self.settings = PolicySettings(fresh_fleet=fresh_fleet)
        self.restart_settings = PolicySettings()
        self.now = 1000.0
        self.host_lists = [host_list(1, *(router(number) for number in numbers))]
        self.nodes: dict[str, WitnessNode] = {}
        self.in_flight: list[tuple[str, str, object]] = []
        self.isolated: frozenset[str] = frozenset()
        self.calls: list[Call] = []
        self.runs: dict[str, list[Call]] = {}
        self.start_count = 0
        self.removed_at: dict[str, float] = {}
        for number in numbers:
            self.start(f"router-{number}", self.settings, 1)

    @property
    def window(self) -> float:
        """Return the idempotency window in seconds."""
        return self.settings.idempotency_window_seconds

    def local_time(self, node: WitnessNode) -> float:
        """Return the time of a router's monotonic clock."""
        return self.now + node.offset

    def host_list_of(self, node: WitnessNode) -> HostList:
        """Return the host list that a router has read."""
        return self.host_lists[node.version - 1]

    def listed(self, node: WitnessNode) -> set[str]:
        """Return the ids of the hosts in the host list of a router."""
        return {host.host_id for host in self.host_list_of(node).hosts}

    def running(self) -> list[WitnessNode]:
        """Return the routers that are alive and not paused."""
        return [node for node in self.nodes.values() if node.alive and not node.paused]

    def start(self, name: str, settings: PolicySettings, version: int) -> WitnessNode:
        """Start a router without state."""
        self.start_count += 1
        offset = 500.0 * self.start_count
        membership = Membership(settings, name, Peers(settings))
        rng = random.Random(self.start_count)
        key_protocol = KeyProtocol(settings, name, membership, rng, self.now + offset)
        node = self.nodes[name] = WitnessNode(name, offset, version, key_protocol)
        self.process_results(node, key_protocol.hosts_changed(self.host_list_of(node), self.local_time(node)))
        return node

    def restart(self, name: str, version: int) -> None:
        """Restart a router without its state. The requests of the previous process end."""
        for ongoing in self.calls:
            if ongoing.node == name:
                ongoing.ended = True
        self.start(name, self.restart_settings, version)

    def publish(self, *hosts: Host) -> int:
        """Publish a host list and return its version."""
        version = len(self.host_lists) + 1
        listed = {host.host_id for host in hosts}
        self.removed_at = {
            name: self.removed_at.get(name, self.now) for name in self.nodes if name not in listed
        }
        self.host_lists.append(host_list(version, *hosts))
        return version

    def update_host_list(self, name: str, version: int) -> None:
        """Deliver a version of the host list to a router, unless it has a newer one."""
        node = self.nodes[name]
        if version > node.version:
            node.version = version
            self.process_results(
                node, node.key_protocol.hosts_changed(self.host_list_of(node), self.local_time(node))
            )

    def call(self, name: str, request: RequestArrived) -> Call:
        """Register a caller's request at a router."""
        node = self.nodes[name]
        ongoing = Call(request, name, node.key_protocol, self.now)
        self.calls.append(ongoing)
        self.process_results(node, node.key_protocol.register(request, self.local_time(node)))
        return ongoing

    def send(self, ongoing: Call) -> bool:
        """Send an admitted request to a target if its time limit allows, and return whether it was sent."""
        node = self.nodes[ongoing.node]
        if not node.alive:
            return False
        limit = node.key_protocol.send_before(ongoing.request.request_id)
        if ongoing.ended or limit is None or self.local_time(node) >= limit:
            return False
        node.key_protocol.mark_sent(ongoing.request.request_id, self.local_time(node))
        ongoing.sent_at = self.now
        self.runs.setdefault(ongoing.request.idempotency_key, []).append(ongoing)
        return True

    def finish(self, ongoing: Call, ran: Ran, body: bytes = b"answer") -> None:
        """Report the outcome of a request to its witness."""
        node = self.nodes[ongoing.node]
        ongoing.ended = True
        results = node.key_protocol.end_attempt(
            ongoing.request.request_id, ran, self.local_time(node), http_status=200, body=body
        )
        self.process_results(node, results)

    def process_results(self, node: WitnessNode, results: list) -> None:
        """Queue messages on the network and record answers to callers."""
        for result in results:
            if isinstance(result, SendKeyMessage):
                if result.peer in self.listed(node):
                    self.in_flight.append((node.name, result.peer, result.payload))
            elif isinstance(result, AttemptAdmitted | AttemptRejected | Replay):
                for ongoing in self.calls:
                    if ongoing.request.request_id == result.request_id:
                        ongoing.answers.append(result)
                        ongoing.ended = ongoing.ended or not isinstance(result, AttemptAdmitted)

    def deliver(self, index: int) -> bool:
        """Deliver or lose one message in flight. Return False if the recipient is paused."""
        sender, peer, payload = self.in_flight[index]
        node = self.nodes.get(peer)
        if node is not None and node.alive and node.paused:
            return False
        del self.in_flight[index]
        split = (sender in self.isolated) != (peer in self.isolated)
        if node is None or not node.alive or split or sender not in self.listed(node):
            return True
        self.process_results(node, node.key_protocol.handle(sender, payload, self.local_time(node)))
        return True

    def deliver_all(self) -> None:
        """Deliver messages, and those that result, in order until only those to paused routers are left."""
        index = 0
        while index < len(self.in_flight):
            if not self.deliver(index):
                index += 1

    def exchange(self, names: set[str], *, lose_others: bool = False) -> None:
        """Deliver the messages between some routers; other messages are delayed or lost."""
        delayed, index = [], 0
        while index < len(self.in_flight):
            if {self.in_flight[index][0], self.in_flight[index][1]} <= names:
                if not self.deliver(index):
                    index += 1
            else:
                delayed.append(self.in_flight.pop(index))
        self.in_flight += [] if lose_others else delayed

    def advance(self, seconds: float, *, deliver: bool = True) -> None:
        """Advance the simulated time. Timers run; messages are delivered unless `deliver` is False."""
        end = self.now + seconds
        while True:
            if deliver:
                self.deliver_all()
            due_at = {node.name: self.due_at(node) for node in self.running()}
            first = min(due_at.values(), default=float("inf"))
            if first > end:
                break
            self.now = first
            self.stop_removed()
            for name in due_at:
                node = self.nodes[name]
                if due_at[name] <= first and node.alive:
                    self.process_results(node, node.key_protocol.run_due(self.local_time(node)))
        self.now = end
        self.stop_removed()

    def stop_removed(self) -> None:
        """Stop routers that were removed at least half a window ago, as the platform guarantees."""
        for name, removed_at in self.removed_at.items():
            if self.now >= removed_at + self.window / 2:
                self.nodes[name].alive = False

    def due_at(self, node: WitnessNode) -> float:
        """Return when a router's timer is due, at least 1 ms from now so that the simulation progresses."""
        local_time = self.local_time(node)
        return max(node.key_protocol.next_due(local_time) - node.offset, self.now + 0.001)

    def duplicate_runs(self) -> list[tuple[Call, Call]]:
        """Return pairs of runs with the same key, where the second starts within the window of the first."""
        return [
            (first, second)
            for runs in self.runs.values()
            for first in runs
            for second in runs
            if first is not second and first.sent_at <= second.sent_at < first.arrived_at + self.window
        ]
