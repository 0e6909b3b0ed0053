"""Tests of the rollout of configurations: requirement 10 and drains."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from builders_versions import configuration, document_fields, host_list, router, target
from limpetusher.configuration.compiled import Configuration, HostState
from limpetusher.configuration.document import load_configuration
from limpetusher.core.connection.peers import Peers
from limpetusher.core.process.membership import Membership
from limpetusher.core.settings import PolicySettings
from limpetusher.core.version.rollout import WATCHER_TIMEOUT_SECONDS, Rollout
from limpetusher.wire.messages import HostListRequest

ROUTERS = 4
NODES = st.integers(0, ROUTERS - 1)
DELAYS = st.sampled_from([0.0, 0.3, 1.1, 6.0])


def make_rollout(number: int = 0, hosts: tuple = tuple(router(index) for index in range(ROUTERS))) -> Rollout:
    """Return the rollout of a router that has just started and has received the host list."""
    policy = PolicySettings()
    peers = Peers(policy)
    rollout = Rollout(policy, f"router-{number}", Membership(policy, f"router-{number}", peers), peers)
    rollout.adopt_host_list(host_list(1, *hosts), 0.0)
    return rollout


def relay_version(sender: Rollout, receiver: Rollout, now: float, *, lost: bool = False):
    """Tell a router the version of another one, and relay the document unless messages are lost."""
    request = receiver.record_peer_version(sender.own_id, *sender.order, now)
    if request is not None and not lost:
        receiver.adopt_configuration(load_configuration(sender.configuration_document().document), now)


class RolloutMachine(RuleBasedStateMachine):
    """Operators publish while platform replicas are stale and routers restart and lose messages."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.published = [configuration(1)]
        self.routers = [make_rollout(number) for number in range(ROUTERS)]
        self.seen = [(0, b"")] * ROUTERS

    @rule(next_version=st.booleans(), share=st.integers(1, 9))
    def publish(self, next_version: bool, share: int):
        """Publish the next version, or a second document with the newest version's number."""
        version = self.published[-1].version + next_version
        customers = document_fields()["customers"]
        customers[0]["share"] = share
        self.published.append(configuration(version, customers=customers))

    @rule(node=NODES, stale=st.integers(0, 5))
    def read_platform(self, node: int, stale: int):
        """Read from a replica that may be behind."""
        self.routers[node].adopt_configuration(
            self.published[max(0, len(self.published) - 1 - stale)], self.now
        )

    @rule(sender=NODES, receiver=NODES, lost=st.booleans(), delay=DELAYS)
    def exchange(self, sender: int, receiver: int, lost: bool, delay: float):
        self.now += delay
        if sender != receiver:
            relay_version(self.routers[sender], self.routers[receiver], self.now, lost=lost)

    @rule(node=NODES)
    def restart(self, node: int):
        self.routers[node] = make_rollout(node)
        self.seen[node] = (0, b"")

    @invariant()
    def no_router_goes_back(self):
        for node, rollout in enumerate(self.routers):
            assert rollout.order >= self.seen[node]
            self.seen[node] = rollout.order

    def teardown(self):
        """Check that the newest document spreads by heartbeats from one router to all others."""
        newest = max(self.published, key=lambda document: document.order)
        self.routers[0].adopt_configuration(newest, self.now)
        for _ in range(2):
            self.now += 1.1
            for receiver in self.routers[1:]:
                relay_version(self.routers[0], receiver, self.now)
        assert {rollout.order for rollout in self.routers} == {newest.order}


RolloutMachine.TestCase.settings = settings(
    max_examples=40, stateful_step_count=25, derandomize=True, deadline=None
)


class TestRolloutMachine(RolloutMachine.TestCase):
    """Guards against a configuration that reverts or does not reach a router."""


def two_documents() -> list[Configuration]:
    """Return two documents of one version in their order."""
    documents = [configuration(3), configuration(3, weight_loads_per_minute=1.0)]
    return sorted(documents, key=lambda document: document.order)


@pytest.mark.parametrize("first", [0, 1])
def test_equal_versions_are_ordered_by_digest(first: int):
    """Guards against routers that keep different documents after two operators publish at once."""
    documents = two_documents()
    rollout = make_rollout()
    for document in (documents[first], documents[1 - first]):
        rollout.adopt_configuration(document, 0.0)
    assert rollout.configuration is documents[1]


def test_older_configuration_is_recognised():
    """Guards against a stale platform going unnoticed, and against a repeat being reported as stale."""
    rollout = make_rollout()
    assert rollout.adopt_configuration(configuration(2), 0.0).adopted
    assert rollout.adopt_configuration(configuration(1), 0.0).older
    again = rollout.adopt_configuration(configuration(2), 0.0)
    assert not again.adopted
    assert not again.older


def test_older_host_list_is_ignored():
    """Guards against a leaving target that returns through a stale host list."""
    rollout = make_rollout()
    assert rollout.adopt_host_list(host_list(3, router(0), target(1, state=HostState.LEAVING)), 0.0)
    assert not rollout.adopt_host_list(host_list(2, router(0), target(1)), 0.0)
    assert rollout.membership.target("engine-1").state is HostState.LEAVING


def test_document_is_requested_again_only_after_a_timeout():
    """Guards against all peers sending a large document at once, and requests that are not repeated."""
    rollout = make_rollout()
    newer = configuration(5)
    assert rollout.record_peer_version("router-1", *newer.order, 0.0).peer == "router-1"
    assert rollout.record_peer_version("router-2", *newer.order, 0.5) is None
    assert rollout.record_peer_version("router-2", *newer.order, 1.0).peer == "router-2"


def test_restarted_router_waits_for_its_peers_versions():
    """Guards against a restarted router that serves with the old version of a stale platform."""
    rollout = make_rollout()
    rollout.adopt_configuration(configuration(1), 0.0)
    assert not rollout.is_confirmed(0.5)
    rollout.record_peer_version("router-1", *configuration(2).order, 0.6)
    assert not rollout.is_confirmed(1.5)
    rollout.adopt_configuration(configuration(2), 1.6)
    assert rollout.is_confirmed(1.6)


def test_ready_router_stays_ready_while_a_newer_version_is_fetched():
    """Guards against refusals by a ready router when a configuration is published within 5 s of its start."""
    rollout = make_rollout()
    rollout.adopt_configuration(configuration(1), 0.0)
    rollout.record_peer_version("router-1", *configuration(1).order, 0.1)
    assert rollout.is_confirmed(0.2)
    rollout.record_peer_version("router-1", *configuration(2).order, 0.3)
    assert rollout.is_confirmed(0.4)


@pytest.mark.parametrize(("version", "ready_at"), [(None, 2.0), (9, 5.0)])
def test_silent_peers_delay_readiness_only_for_a_limited_time(version: int | None, ready_at: float):
    """Guards against a router that never becomes ready since no peer answers or delivers."""
    rollout = make_rollout()
    rollout.adopt_configuration(configuration(1), 0.0)
    if version:
        rollout.record_peer_version("router-1", version, b"", 0.1)
    assert not rollout.is_confirmed(ready_at - 0.1)
    assert rollout.is_confirmed(ready_at)


def test_only_router_is_confirmed_at_once():
    """Guards against a single router that waits for peers it does not have."""
    rollout = make_rollout(hosts=(router(0),))
    rollout.adopt_configuration(configuration(1), 0.0)
    assert rollout.is_confirmed(0.0)


def make_four_rollouts_in_one_data_centre() -> list[Rollout]:
    """Return the rollouts of four routers of one data centre that all have a configuration."""
    hosts = tuple(router(number, "north") for number in range(ROUTERS))
    rollouts = [make_rollout(number, hosts) for number in range(ROUTERS)]
    for rollout in rollouts:
        rollout.adopt_configuration(configuration(1), 0.0)
    return rollouts


def deliver_heartbeats(rollouts: list[Rollout], sequence: int, now: float, silent: tuple[str, ...] = ()):
    """Deliver to all routers the heartbeats of all others but the silent ones."""
    for receiver in rollouts:
        for sender in rollouts:
            if sender is not receiver and sender.own_id not in silent:
                receiver.peers.record_heartbeat(sender.own_id, 1, sequence, 0, now, False)
                receiver.record_peer_version(sender.own_id, *sender.order, now)


def test_two_routers_of_a_data_centre_watch():
    """Guards against load on the platform from all routers, and against a platform that no router watches."""
    rollouts = make_four_rollouts_in_one_data_centre()
    deliver_heartbeats(rollouts, 1, 1.0)
    watching = [rollout.own_id for rollout in rollouts if rollout.should_watch(1.0)]
    assert len(watching) == 2
    deliver_heartbeats(rollouts, 2, 3.0, silent=tuple(watching))
    others = [rollout for rollout in rollouts if rollout.own_id not in watching]
    assert all(rollout.should_watch(3.0) for rollout in others)


def test_router_without_heartbeats_from_watchers_becomes_a_watcher():
    """Guards against a router that misses changes because it is disconnected from the watchers."""
    rollouts = make_four_rollouts_in_one_data_centre()
    deliver_heartbeats(rollouts, 1, 1.0)
    idle = next(rollout for rollout in rollouts if not rollout.should_watch(1.0))
    assert idle.should_watch(1.0 + WATCHER_TIMEOUT_SECONDS)


def test_router_without_configuration_watches():
    """Guards against a router that waits for ever for its first configuration."""
    assert make_rollout().should_watch(0.0)


@pytest.mark.parametrize(
    ("data_centre", "state", "listed", "drained"),
    [
        ("north", HostState.LIVE, "engine-1", False),
        ("north", HostState.LEAVING, "engine-1", True),
        ("east", HostState.LIVE, "engine-1", True),
        ("north", HostState.LIVE, "engine-2", True),
    ],
)
def test_drained_targets(data_centre: str, state: HostState, listed: str, drained: bool):
    """Guards against new work for targets that leave, whose data centre is out, or that are unlisted."""
    states = [{"name": "north", "state": "in"}, {"name": "east", "state": "out"}]
    rollout = make_rollout()
    rollout.adopt_configuration(configuration(1, data_centres=states), 0.0)
    rollout.adopt_host_list(host_list(2, router(0), target(1, data_centre, state)), 0.0)
    assert rollout.is_drained(listed) is drained


def test_host_list_is_requested_only_after_a_delay():
    """Guards against leaving hosts that stay unknown, and against requests to peers at each change."""
    rollout = make_rollout()
    present = rollout.host_list_version
    assert rollout.record_peer_host_list("router-1", present, 0.0) is None
    assert rollout.record_peer_host_list("router-1", present + 1, 1.0) is None
    assert rollout.record_peer_host_list("router-1", present + 1, 2.9) is None
    request = rollout.record_peer_host_list("router-2", present + 1, 3.0)
    assert request is not None
    assert (request.peer, request.payload) == ("router-2", HostListRequest())
    assert rollout.record_peer_host_list("router-1", present + 1, 3.5) is None
    assert rollout.record_peer_host_list("router-1", present + 1, 4.0) is not None
