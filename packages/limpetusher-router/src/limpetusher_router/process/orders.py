"""Sending orders to engines."""

import logging

import msgspec
from circuits.core import handler

from limpetusher.core.actions import OrderTarget
from limpetusher.core.inputs import OrderAnswered
from limpetusher_router.connection.fetching import Fetched, Fetcher
from limpetusher_router.events import CORE, ORDERS, CoreInput

IDLE_SECONDS = 5.0
REFUSED_STATUS = 409

logger = logging.getLogger(__name__)


class OrderDocument(msgspec.Struct):
    """An order as an engine reads it."""

    fencing_number: int
    model: str
    version: str
    adapter: str | None
    role: str


class OrderSender(Fetcher):
    """Sends orders and hands the engines' answers to the core.

    An order without a clear answer may have been carried out; the core learns from later load reports.
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
            idle_seconds=IDLE_SECONDS,
        )

    def fetched(self, key: tuple, answer: Fetched) -> None:
        """Hand the answer to the core where it is clear."""
        target_id, fencing_number = key
        if answer.error or answer.status not in (200, REFUSED_STATUS):
            logger.warning("order to %s without a clear answer: %s", target_id, answer.error or answer.status)
            return
        accepted = answer.status != REFUSED_STATUS
        self.fire(CoreInput(OrderAnswered(target_id, fencing_number, accepted)), CORE)
