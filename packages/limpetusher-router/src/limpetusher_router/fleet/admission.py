"""Admission of callers' requests: readiness, route and API key."""

from limpetusher.clock import Clock
from limpetusher.core.refusals import Ran
from limpetusher.fleet.messages import UNNAMED_STREAM
from limpetusher.fleet.model import RequestKind, Route
from limpetusher.fleet.request.scheduler_client import TargetRequest
from limpetusher.fleet.version.routing import choose_service
from limpetusher_router.connection.framing import RequestHead
from limpetusher_router.fleet.digests import request_digest, stream_identifier
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

MAXIMUM_WAIT_SECONDS = 3_600.0
"""Waits of callers above this one count as this one."""
BEFORE_FIRST_EVENT = "0"
"""Identifier of the last event by which a caller says that it has received none."""
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
        if route.kind is RequestKind.STREAMING and route.is_resumable:
            self.identify_stream(target_request, route, fields, now, arrived_at=head.arrived_at)
        quarantine = self.state.find_quarantine(target_request, now)
        if quarantine is not None:
            return quarantine_refusal(quarantine, now, digest=target_request.digest)
        relay = EventRelay(fields.last_event_id, is_numbered=route.kind is RequestKind.STREAMING)
        return Exchange(request_id, head, body, fields, route, target_request, customer, now, relay)

    def identify_stream(
        self,
        target_request: TargetRequest,
        route: Route,
        fields: RequestFields,
        now: float,
        *,
        arrived_at: float | None,
    ) -> None:
        """Set the identifiers of a request's stream, and the version that began it if it is known here."""
        customer = target_request.customer
        if fields.caller_request_id:
            target_request.stream = stream_identifier(customer, fields.caller_request_id)
        if fields.last_event_id not in (None, "", BEFORE_FIRST_EVENT):
            target_request.resumes = UNNAMED_STREAM
            if fields.resumed_request_id:
                target_request.resumes = stream_identifier(customer, fields.resumed_request_id)
            record = self.state.scheduler.streams.find(target_request.resumes, now)
            origin = record.origin_at(target_request.service) if record is not None else None
            if origin is not None:
                target_request.version = origin.version
        seconds = fields.seconds_left or 0.0
        if not target_request.resumes:
            # A caller that repeats a request which brought no event states only the time that it has left.
            seconds = max(seconds, route.timeout_seconds)
        target_request.caller_seconds = min(seconds, MAXIMUM_WAIT_SECONDS)
        # The caller has stated the time that it has left when it sent the head of the request.
        target_request.stated_at = now if arrived_at is None else min(arrived_at, now)

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
