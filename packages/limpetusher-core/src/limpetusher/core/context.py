"""State shared by the components of a decision core: identity, settings, present time and actions."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from limpetusher.configuration.compiled import HostRole
from limpetusher.core.actions import Action, LogEvent, SendToPeer
from limpetusher.core.connection.peers import Peers
from limpetusher.core.inputs import LoadReported
from limpetusher.core.process.fairness import Fairness
from limpetusher.core.process.ledger import ChargeChange, Ledger
from limpetusher.core.process.membership import Membership
from limpetusher.core.process.orders import Orders
from limpetusher.core.process.slot_leases import SlotLeases
from limpetusher.core.request.explanation import Explanations, Step
from limpetusher.core.request.idempotency import KeyProtocol
from limpetusher.core.request.retry import RetryBudgets
from limpetusher.core.settings import PolicySettings
from limpetusher.core.version.rollout import Rollout
from limpetusher.events import Event
from limpetusher.wire.messages import PeerPayload

SEQUENCES_PER_INCARNATION = 1 << 16
INCARNATION_RANGE = 1 << 32
"""Each start of a router uses another range of sequence numbers, so that late echoes are recognised."""


@dataclass(slots=True)
class Context:
    """Identity, present time and components of one decision core.

    `actions` collects the actions that the present input leads to. `dirty_targets` are owned targets that may
    have a newly freed slot, `demanded_services` are services with new demand at this owner.
    Both are processed at the end of an input.
    """

    settings: PolicySettings
    own_id: str
    data_centre: str
    incarnation: int
    rng: random.Random
    peers: Peers
    membership: Membership
    slot_leases: SlotLeases
    ledger: Ledger
    fairness: Fairness
    key_protocol: KeyProtocol
    rollout: Rollout
    orders: Orders
    retries: RetryBudgets
    explanations: Explanations
    now: float
    stopping: bool = False
    reports: dict[str, LoadReported] = field(default_factory=dict)
    actions: list[Action] = field(default_factory=list)
    dirty_targets: dict[str, None] = field(default_factory=dict)
    demanded_services: dict[str, None] = field(default_factory=dict)

    def send(self, peer: str, payload: PeerPayload) -> None:
        """Send a message to a listed router; messages to other hosts are dropped."""
        if self.is_router(peer):
            self.actions.append(SendToPeer(peer, self.membership.hosts[peer].address, payload))

    def is_router(self, host_id: str) -> bool:
        """Return whether a router with this identifier is listed."""
        host = self.membership.hosts.get(host_id)
        return host is not None and host.role is HostRole.ROUTER

    def charge(self, changes: Iterable[ChargeChange]) -> None:
        """Apply changes of charges to the fairness accounting."""
        for change in changes:
            self.fairness.charge(change.customer, change.amount)

    def log(self, event: Event, **fields: object) -> None:
        """Write a log event."""
        self.actions.append(LogEvent(event, fields))

    def explain(self, request_id: str, step: Step, place: str = "", reason: str = "") -> None:
        """Add a step to a request's explanation."""
        self.explanations.add(request_id, self.now, step, place, reason)

    @property
    def ready(self) -> bool:
        """Return whether requests can be accepted."""
        return (
            self.rollout.is_confirmed(self.now) and self.membership.version is not None and not self.stopping
        )


def create_context(
    settings: PolicySettings,
    own_id: str,
    data_centre: str,
    *,
    incarnation: int,
    rng: random.Random,
    started_at: float,
) -> Context:
    """Return the context of a router that has just started, with all its components."""
    first_sequence = incarnation % INCARNATION_RANGE * SEQUENCES_PER_INCARNATION
    peers = Peers(settings, first_sequence=first_sequence)
    membership = Membership(settings, own_id, peers)
    return Context(
        settings=settings,
        own_id=own_id,
        data_centre=data_centre,
        incarnation=incarnation,
        rng=rng,
        peers=peers,
        membership=membership,
        slot_leases=SlotLeases(settings, own_id, membership, peers, started_at),
        ledger=Ledger(settings),
        fairness=Fairness(settings, own_id=own_id, incarnation=incarnation),
        key_protocol=KeyProtocol(settings, own_id, membership, rng, started_at),
        rollout=Rollout(settings, own_id, membership, peers),
        orders=Orders(settings, own_id),
        retries=RetryBudgets(settings),
        explanations=Explanations(settings),
        now=started_at,
    )
