"""Admission of callers' requests: readiness, route and API key."""

from limpetusher.clock import Clock
from limpetusher.core.refusals import Ran
from limpetusher.fleet.model import RequestKind, Route
from limpetusher.fleet.request.scheduler_client import TargetRequest
from limpetusher.fleet.version.routing import choose_service
from limpetusher_router.connection.framing import RequestHead
from limpetusher_router.fleet.digests import request_digest
from limpetusher_router.fleet.event_relay import EventRelay
from limpetusher_router.fleet.exchange import Exchange
from limpetusher_router.fleet.refusals import (
    NOT_FOUND,
    UNAUTHORIZED,
    UNAVAILABLE,
    FleetRefusal,
    quarantine_refusal,
    stopping_refusal,
)
from limpetusher_router.fleet.state import FleetState
from limpetusher_router.platform.requests import RequestFields

NOT_READY_RETRY_SECONDS = 0.5
"""Roughly how long a router that has just started takes to get the configuration."""


class Admission:
    """Creates the exchanges of admitted requests.

    Parameters
    ----------
    state
        State of the fleet as this router knows it.
    clock
        Source of time.
    """

    def __init__(self, state: FleetState, *, clock: Clock):
        self.state = state
        self.clock = clock
        self.is_closing = False
        """Whether the process is about to exit, so that all requests are refused."""

    def admit(
        self, request_id: str, head: RequestHead, body: bytes | memoryview, fields: RequestFields
    ) -> Exchange | FleetRefusal:
        """Return the exchange of a request, or the refusal if it is not admitted."""
        configuration = self.state.configuration
        if self.is_closing:
            return stopping_refusal(ran=Ran.NO)
        if configuration is None:
            return FleetRefusal(
                UNAVAILABLE,
                "not_ready",
                "this router has no configuration yet",
                ran=Ran.NO,
                retry_after_seconds=NOT_READY_RETRY_SECONDS,
            )
        route = self.state.routes.find(fields.host, fields.path)
        if route is None:
            return FleetRefusal(NOT_FOUND, "no_route", f"no route for {fields.host}{fields.path}", ran=Ran.NO)
        customer = configuration.customers_by_key.get(fields.api_key or "")
        if customer is None and configuration.has_customers and not route.is_public:
            return FleetRefusal(UNAUTHORIZED, "unknown_key", "the API key is not known", ran=Ran.NO)
        now = self.clock.monotonic()
        target_request = self.make_target_request(request_id, route, fields, customer or "", now)
        target_request.digest = request_digest(head, body, customer or "", fields.parts)
        quarantine = self.state.find_quarantine(target_request, now)
        if quarantine is not None:
            return quarantine_refusal(quarantine, now, digest=target_request.digest)
        relay = EventRelay(fields.last_event_id, is_numbered=route.kind is RequestKind.STREAMING)
        return Exchange(request_id, head, body, fields, route, target_request, customer, now, relay)

    def make_target_request(
        self, request_id: str, route: Route, fields: RequestFields, customer: str, now: float
    ) -> TargetRequest:
        """Return the fields of a request that its scheduler needs."""
        seconds = route.timeout_seconds
        if fields.seconds_left is not None:
            seconds = min(seconds, fields.seconds_left)
        session = fields.session or fields.caller_request_id
        return TargetRequest(
            request_id=request_id,
            service=choose_service(route, session),
            session=session,
            customer=customer,
            goal_seconds=route.goal_seconds,
            queued_at=now,
            give_up_at=now + seconds,
            prompt_tokens=fields.prompt_tokens,
            output_tokens=fields.output_tokens,
            parts=fields.parts,
        )
