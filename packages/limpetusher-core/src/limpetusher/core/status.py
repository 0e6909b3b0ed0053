"""Status of a decision core, for the admin server and for tests."""

from collections.abc import Iterable
from dataclasses import dataclass

from limpetusher.core.context import Context
from limpetusher.core.process.dispatcher import Dispatcher
from limpetusher.core.request.queue import RequestQueue


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """An owned target. `free` is how many more requests this router may send there now."""

    target_id: str
    limit: int
    granted: int
    free: int
    warm: bool
    drained: bool


@dataclass(frozen=True, slots=True)
class CustomerStatus:
    """A customer in this router's view. `virtual` is its service per share, in cost units."""

    customer: str
    waiting: int
    virtual: float
    backlogged: bool


@dataclass(frozen=True, slots=True)
class CoreStatus:
    """State of one router's decision core."""

    own_id: str
    data_centre: str
    ready: bool
    stopping: bool
    configuration_version: int
    host_list_version: int
    waiting: int
    running: int
    reachable_peers: tuple[str, ...]
    targets: tuple[TargetStatus, ...]
    customers: tuple[CustomerStatus, ...]
    dropped_messages: int


def target_statuses(
    context: Context, dispatcher: Dispatcher, target_ids: Iterable[str]
) -> tuple[TargetStatus, ...]:
    """Return the state of owned targets."""
    return tuple(
        TargetStatus(
            target_id,
            context.ledger.limit(target_id),
            context.ledger.granted_count(target_id),
            dispatcher.free_slots(target_id),
            context.ledger.is_warm(target_id),
            context.rollout.is_drained(target_id),
        )
        for target_id in target_ids
        if target_id in context.ledger.targets
    )


def customer_statuses(context: Context, queue: RequestQueue) -> tuple[CustomerStatus, ...]:
    """Return the state of the configured customers."""
    configuration = context.rollout.configuration
    return tuple(
        CustomerStatus(
            customer,
            queue.customer_count(customer),
            context.fairness.virtual_time(customer),
            customer in context.fairness.backlogged,
        )
        for customer in (configuration.customers if configuration is not None else ())
    )
