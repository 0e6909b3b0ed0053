"""Orders to engines, with fencing numbers, dwell times and the weight store's rate limit (design, 4.10)."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from limpetusher.configuration.compiled import Configuration, HostState, ModelPlacement, TargetKind
from limpetusher.core.actions import OrderTarget
from limpetusher.core.inputs import LoadReported
from limpetusher.core.settings import PolicySettings
from limpetusher.errors import PolicyError

if TYPE_CHECKING:
    from limpetusher.core.process.membership import Membership
    from limpetusher.core.process.shares import Shares

ORDER_ANSWER_SECONDS = 10.0
ORDER_RETRY_SECONDS = 30.0
LOAD_SECONDS = 120.0


@dataclass(slots=True)
class SentOrder:
    """The last order that this router sent to a target; `accepted` is None until the answer arrives."""

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
        self.sent: dict[str, SentOrder] = {}
        self.load_allowance = 0.0
        self.allowance_updated_at: float | None = None

    def heard(self, fencing_number: int) -> None:
        """Take note of a fencing number from a peer's heartbeat or a target's report."""
        self.highest_fencing_number = max(self.highest_fencing_number, fencing_number)

    def decide(
        self,
        configuration: Configuration,
        reports: Mapping[str, LoadReported],
        shares: Shares,
        wall_milliseconds: int,
        now: float,
        *,
        membership: Membership,
    ) -> list[OrderTarget]:
        """Return the orders to send now.

        Parameters
        ----------
        configuration
            The configuration in force, with the wanted placements.
        reports
            The newest load report of each target.
        shares
            Tells for which targets this router holds leases from more than half of the carriers.
        wall_milliseconds
            Milliseconds since the Unix epoch.
        now
            Monotonic time in seconds.
        membership
            Listed targets and their addresses.
        """
        for report in reports.values():
            self.heard(report.highest_fencing_number)
        self._refill_allowance(configuration, len(membership.routers()), now)
        orders = []
        for target_id, placement in sorted(configuration.placements.items()):
            if not self._may_order(configuration, target_id, shares, membership, now):
                continue
            report = reports.get(target_id)
            if report is None or not self._is_due(placement, report, wall_milliseconds, now):
                continue
            if self._takes_load(placement, report):
                if self.load_allowance < 1.0:
                    continue
                self.load_allowance -= 1.0
            orders.append(self._order(placement, membership, wall_milliseconds, now))
        return orders

    def answered(self, target_id: str, fencing_number: int, accepted: bool) -> None:
        """Take note of a target's answer to an order."""
        order = self.sent.get(target_id)
        if order is not None and order.fencing_number == fencing_number:
            order.accepted = accepted

    def _may_order(
        self,
        configuration: Configuration,
        target_id: str,
        shares: Shares,
        membership: Membership,
        now: float,
    ) -> bool:
        try:
            host = membership.target(target_id)
        except PolicyError:
            return False
        target_class = configuration.target_classes.get(host.target_class or "")
        if target_class is None or target_class.kind is not TargetKind.ENGINE:
            return False
        return host.state is HostState.LIVE and shares.has_majority(target_id, now)

    def _is_due(
        self, placement: ModelPlacement, report: LoadReported, wall_milliseconds: int, now: float
    ) -> bool:
        last = self.sent.get(placement.target_id)
        if last is None:
            # Fencing numbers follow the wall clock, so the highest one that the target has seen tells when
            # another router, or this one before a restart, sent the last order.
            since_last = (wall_milliseconds - report.highest_fencing_number) / 1000.0
            rested = since_last >= self.settings.order_dwell_seconds
            return rested and not _is_met(placement, report, None)
        waited = now - last.sent_at
        if last.placement != placement:
            return waited >= self.settings.order_dwell_seconds
        if last.accepted is None:
            return waited >= ORDER_ANSWER_SECONDS
        if not last.accepted:
            return waited >= ORDER_RETRY_SECONDS
        return waited >= LOAD_SECONDS and not _is_met(placement, report, last)

    def _takes_load(self, placement: ModelPlacement, report: LoadReported) -> bool:
        return loaded_name(placement) not in report.loaded_models

    def _order(
        self, placement: ModelPlacement, membership: Membership, wall_milliseconds: int, now: float
    ) -> OrderTarget:
        number = max(self.highest_fencing_number + 1, wall_milliseconds)
        self.highest_fencing_number = number
        self.sent[placement.target_id] = SentOrder(placement, number, now)
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
        # Each router takes an equal part of the fleet's limit, and starts with none, so that neither
        # several ordering routers nor restarts exceed the limit.
        if self.allowance_updated_at is not None:
            rate = configuration.weight_loads_per_minute / 60.0 / max(routers, 1)
            self.load_allowance = min(1.0, self.load_allowance + rate * (now - self.allowance_updated_at))
        self.allowance_updated_at = now


def _is_met(placement: ModelPlacement, report: LoadReported, last: SentOrder | None) -> bool:
    if loaded_name(placement) not in report.loaded_models:
        return False
    return last is not None or report.role in (None, placement.role)
