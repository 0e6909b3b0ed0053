"""Orders to engines, with fencing numbers and rate limits (section 4.10 of the design page)."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from limpetusher.configuration.compiled import Configuration, HostState, ModelPlacement, TargetKind
from limpetusher.core.actions import OrderTarget
from limpetusher.core.inputs import LoadReported
from limpetusher.core.settings import PolicySettings
from limpetusher.errors import InvalidInputError

if TYPE_CHECKING:
    from limpetusher.core.process.membership import Membership
    from limpetusher.core.process.slot_leases import SlotLeases

ORDER_ANSWER_TIMEOUT_SECONDS = 10.0
REFUSED_ORDER_RETRY_SECONDS = 30.0
MODEL_LOAD_TIMEOUT_SECONDS = 120.0


@dataclass(slots=True)
class SentOrder:
    """The last order that this router sent to a target; `accepted` is None until it is answered."""

    placement: ModelPlacement
    fencing_number: int
    sent_at: float
    accepted: bool | None = None


def loaded_name(placement: ModelPlacement) -> str:
    """Return how a target's load report names the placement: `MODEL@VERSION` or `MODEL@VERSION+ADAPTER`."""
    adapter = f"+{placement.adapter}" if placement.adapter else ""
    return f"{placement.model}@{placement.version}{adapter}"


class Orders:
    """Decides which orders this router sends to engines.

    The placement of a target changes at most once in `order_dwell_seconds`, so that models are not loaded
    back and forth, and loads are limited to the rate that the weight store allows.

    Parameters
    ----------
    settings
        Policy settings.
    own_id
        Host identifier of this router.
    """

    def __init__(self, settings: PolicySettings, own_id: str):
        self.settings = settings
        self.own_id = own_id
        self.highest_fencing_number = 0
        self.last_orders: dict[str, SentOrder] = {}
        self.load_allowance = 0.0
        self.allowance_updated_at: float | None = None

    def record_fencing_number(self, fencing_number: int) -> None:
        """Record a fencing number from a peer's heartbeat or a target's report."""
        self.highest_fencing_number = max(self.highest_fencing_number, fencing_number)

    def due_orders(
        self,
        configuration: Configuration,
        reports: Mapping[str, LoadReported],
        slot_leases: SlotLeases,
        wall_milliseconds: int,
        now: float,
        *,
        membership: Membership,
    ) -> list[OrderTarget]:
        """Return the orders to send now.

        Parameters
        ----------
        configuration
            The active configuration, with the wanted placements.
        reports
            The newest load report of each target.
        slot_leases
            Leases; an order needs leases from more than half of the target's carriers.
        wall_milliseconds
            Milliseconds since the Unix epoch.
        now
            Monotonic time in seconds.
        membership
            Listed targets and their addresses.
        """
        for report in reports.values():
            self.record_fencing_number(report.highest_fencing_number)
        self._refill_allowance(configuration, len(membership.routers()), now)
        orders = []
        for target_id, placement in sorted(configuration.placements.items()):
            if not self._may_order(configuration, target_id, slot_leases, membership, now):
                continue
            report = reports.get(target_id)
            if report is None or not self._is_due(placement, report, wall_milliseconds, now):
                continue
            if self._needs_load(placement, report):
                if self.load_allowance < 1.0:
                    continue
                self.load_allowance -= 1.0
            orders.append(self._order(placement, membership, wall_milliseconds, now))
        return orders

    def record_answer(self, target_id: str, fencing_number: int, accepted: bool) -> None:
        """Record a target's answer to an order."""
        order = self.last_orders.get(target_id)
        if order is not None and order.fencing_number == fencing_number:
            order.accepted = accepted

    def _may_order(
        self,
        configuration: Configuration,
        target_id: str,
        slot_leases: SlotLeases,
        membership: Membership,
        now: float,
    ) -> bool:
        try:
            host = membership.target(target_id)
        except InvalidInputError:
            return False
        target_class = configuration.target_classes.get(host.target_class or "")
        if target_class is None or target_class.kind is not TargetKind.ENGINE:
            return False
        return host.state is HostState.LIVE and slot_leases.has_majority(target_id, now)

    def _is_due(
        self, placement: ModelPlacement, report: LoadReported, wall_milliseconds: int, now: float
    ) -> bool:
        last = self.last_orders.get(placement.target_id)
        if last is None:
            # Fencing numbers follow the wall clock, so the highest number known to the target is the time at
            # which another router, or this one before a restart, sent the last order.
            since_last = (wall_milliseconds - report.highest_fencing_number) / 1000.0
            dwell_elapsed = since_last >= self.settings.order_dwell_seconds
            return dwell_elapsed and not _is_met(placement, report, None)
        since_sent = now - last.sent_at
        if last.placement != placement:
            return since_sent >= self.settings.order_dwell_seconds
        if last.accepted is None:
            return since_sent >= ORDER_ANSWER_TIMEOUT_SECONDS
        if not last.accepted:
            return since_sent >= REFUSED_ORDER_RETRY_SECONDS
        return since_sent >= MODEL_LOAD_TIMEOUT_SECONDS and not _is_met(placement, report, last)

    def _needs_load(self, placement: ModelPlacement, report: LoadReported) -> bool:
        return loaded_name(placement) not in report.loaded_models

    def _order(
        self, placement: ModelPlacement, membership: Membership, wall_milliseconds: int, now: float
    ) -> OrderTarget:
        number = max(self.highest_fencing_number + 1, wall_milliseconds)
        self.highest_fencing_number = number
        self.last_orders[placement.target_id] = SentOrder(placement, number, now)
        return OrderTarget(
            target_id=placement.target_id,
            address=membership.target(placement.target_id).address,
            fencing_number=number,
            model=placement.model,
            version=placement.version,
            adapter=placement.adapter,
            role=placement.role,
        )

    def _refill_allowance(self, configuration: Configuration, routers: int, now: float) -> None:
        # Each router may use an equal part of the fleet's rate, and starts with none of it, so that neither
        # several routers with orders nor restarts exceed the limit.
        if self.allowance_updated_at is not None:
            rate = configuration.weight_loads_per_minute / 60.0 / max(routers, 1)
            self.load_allowance = min(1.0, self.load_allowance + rate * (now - self.allowance_updated_at))
        self.allowance_updated_at = now


def _is_met(placement: ModelPlacement, report: LoadReported, last: SentOrder | None) -> bool:
    if loaded_name(placement) not in report.loaded_models:
        return False
    return last is not None or report.role in (None, placement.role)
