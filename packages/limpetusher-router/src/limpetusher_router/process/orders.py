"""Sends orders to engines."""

import logging

import msgspec
from circuits.core import handler

from limpetusher.core.actions import OrderTarget
from limpetusher.core.inputs import OrderAnswered
from limpetusher_router.connection.fetching import DocumentFetcher, FetchedDocument
from limpetusher_router.events import CORE, ORDERS, CoreInput

IDLE_TIMEOUT_SECONDS = 5.0
REFUSED_STATUS = 409

logger = logging.getLogger(__name__)


class OrderDocument(msgspec.Struct):
    """An order in the format that engines read."""

    fencing_number: int
    model: str
    version: str
    adapter: str | None
    role: str


class OrderSender(DocumentFetcher):
    """Sends orders to engines and passes their answers to the core.

    An order with an error or an unexpected status as its answer may still have been executed. The core learns
    the outcome from later load reports.
    """

    channel = ORDERS

    @handler("CoreAction")
    def on_action(self, action: OrderTarget) -> None:
        """Send an order."""
        document = OrderDocument(
            action.fencing_number, action.model, action.version, action.adapter, action.role
        )
        self.fetch(
            (action.target_id, action.fencing_number),
            action.address,
            "/orders",
            method="POST",
            body=msgspec.json.encode(document),
            idle_timeout_seconds=IDLE_TIMEOUT_SECONDS,
        )

    def on_fetched(self, key: tuple, answer: FetchedDocument) -> None:
        """Pass an answer that accepts or refuses the order to the core."""
        target_id, fencing_number = key
        if answer.error or answer.status not in (200, REFUSED_STATUS):
            logger.warning(
                "unexpected answer of %s to an order: %s", target_id, answer.error or answer.status
            )
            return
        accepted = answer.status != REFUSED_STATUS
        self.fire(CoreInput(OrderAnswered(target_id, fencing_number, accepted)), CORE)
