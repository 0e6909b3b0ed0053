"""Decoding of the values in the platform's store into the types of the fleet model."""

from typing import Annotated, Literal

import msgspec

from limpetusher.errors import ConfigurationError
from limpetusher.fleet.model import (
    CallerLimits,
    Destination,
    Engine,
    FleetConfiguration,
    RequestKind,
    Route,
    Service,
    Target,
)
from limpetusher_router.connection.settings import is_address

MILLISECONDS_PER_SECOND = 1_000.0
BITS_PER_MEGABIT = 1_000_000
BITS_PER_BYTE = 8
MAX_SLOTS = 1_000_000
MAX_COLD_MILLISECONDS = 86_400_000.0
MAX_WALL_CLOCK_MILLISECONDS = 2**53
"""Largest integer that all JSON implementations represent exactly."""
MALFORMED = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""Errors of the decoders for documents of other writers; deeply nested ones exceed the recursion limit."""


class DestinationDocument(msgspec.Struct, frozen=True):
    """Entry of a route's split."""

    service: str
    weight: float


class RouteDocument(msgspec.Struct, frozen=True, rename="camel"):
    """Route as the operator writes it."""

    name: str
    host: str
    prefix: str
    kind: Literal["safe", "unsafe", "streaming"]
    timeout_ms: float
    attempts: int
    goal_ms: float = 1_000.0
    priority: int = 0
    service: str | None = None
    split: tuple[DestinationDocument, ...] = ()
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float | None = None

    def decode(self) -> Route:
        """Return the route.

        Raises
        ------
        ConfigurationError
            If the route names no service.
        """
        destinations = tuple(Destination(entry.service, entry.weight) for entry in self.split)
        if not destinations and self.service is not None:
            destinations = (Destination(self.service, 1.0),)
        if not destinations:
            raise ConfigurationError([f"route {self.name} has no service; `service` or `split` is required"])
        return Route(
            name=self.name,
            host=self.host,
            prefix=self.prefix,
            kind=RequestKind(self.kind),
            timeout_seconds=self.timeout_ms / MILLISECONDS_PER_SECOND,
            goal_seconds=self.goal_ms / MILLISECONDS_PER_SECOND,
            destinations=destinations,
            attempts=self.attempts,
            priority=self.priority,
            is_public=self.public,
            is_resumable=self.resumable,
            token_gap_goal_seconds=self.gap_aim_ms / MILLISECONDS_PER_SECOND
            if self.gap_aim_ms is not None
            else None,
        )


class EngineDocument(msgspec.Struct, frozen=True, rename="camel"):
    """Capacity of a service's engines as the operator writes it."""

    slots: int
    kv_capacity: int
    stride: int = 1
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0

    def decode(self) -> Engine:
        """Return the capacity."""
        transfer_rate = 0.0
        if self.kv_token_bytes > 0:
            transfer_rate = max(0.0, self.link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE / self.kv_token_bytes)
        return Engine(
            slots=self.slots,
            memory_tokens=self.kv_capacity,
            event_tokens=max(1, self.stride),
            transfer_rate=transfer_rate,
        )


class ServiceDocument(msgspec.Struct, frozen=True, rename="camel"):
    """Service as the operator writes it."""

    name: str
    cold_per_s: float = 0.0
    cold_s: float = 0.0
    engine: EngineDocument | None = None

    def decode(self) -> Service:
        """Return the service."""
        return Service(
            name=self.name,
            cold_per_second=self.cold_per_s,
            engine=self.engine.decode() if self.engine is not None else None,
            cold_seconds=self.cold_s,
        )


class LimitsDocument(msgspec.Struct, frozen=True, rename="camel"):
    """Limits of callers as the operator writes them."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0

    def decode(self) -> CallerLimits:
        """Return the limits."""
        return CallerLimits(
            header_bytes=self.max_header_bytes,
            body_bytes=self.max_body_bytes,
            header_seconds=self.header_timeout_ms / MILLISECONDS_PER_SECOND,
            idle_seconds=self.idle_timeout_ms / MILLISECONDS_PER_SECOND,
        )


class CustomerDocument(msgspec.Struct, frozen=True, rename="camel"):
    """Customer as the operator writes it."""

    name: str
    api_keys: tuple[str, ...] = ()


class ConfigurationDocument(msgspec.Struct, frozen=True):
    """Configuration as the operator writes it."""

    version: int
    routes: tuple[RouteDocument, ...]
    services: tuple[ServiceDocument, ...]
    limits: LimitsDocument = LimitsDocument()
    tenants: tuple[CustomerDocument, ...] | None = None


class TargetDocument(msgspec.Struct, frozen=True, rename="camel"):
    """Entry that a target writes about itself."""

    service: str
    address: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    cold_left_ms: Annotated[float, msgspec.Meta(le=MAX_COLD_MILLISECONDS)]
    version: str = ""
    # Start time; some deployments omit it.
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_WALL_CLOCK_MILLISECONDS)] = 0


_configuration_decoder = msgspec.json.Decoder(ConfigurationDocument)
_target_decoder = msgspec.json.Decoder(TargetDocument)


def decode_document(data: bytes) -> ConfigurationDocument:
    """Decode the operator's configuration as it is written.

    Raises
    ------
    ConfigurationError
        If the document is malformed.
    """
    try:
        return _configuration_decoder.decode(data)
    except MALFORMED as error:
        raise ConfigurationError([f"configuration: {error}"]) from error


def decode_configuration(data: bytes) -> FleetConfiguration:
    """Decode the operator's configuration.

    Raises
    ------
    ConfigurationError
        If the document is malformed.
    """
    document = decode_document(data)
    customers = document.tenants or ()
    return FleetConfiguration(
        version=document.version,
        routes=tuple(route.decode() for route in document.routes),
        services={service.name: service.decode() for service in document.services},
        limits=document.limits.decode(),
        customers_by_key={key: customer.name for customer in customers for key in customer.api_keys},
        has_customers=bool(customers),
    )


def decode_target(target_id: str, data: bytes, *, revision: int, now: float) -> Target:
    """Decode the store entry of a target. `now` is a reading of the monotonic clock.

    Raises
    ------
    ConfigurationError
        If the entry is malformed, so that it must not be used as a target.
    """
    try:
        entry = _target_decoder.decode(data)
    except MALFORMED as error:
        raise ConfigurationError([f"target {target_id}: {error}"]) from error
    if not is_address(entry.address):
        raise ConfigurationError([f"target {target_id}: address {entry.address!r}; allowed: ip:port"])
    return Target(
        target_id=target_id,
        service=entry.service,
        address=entry.address,
        data_centre=entry.zone,
        slots=entry.slots,
        is_draining=entry.state == "draining",
        cold_until=now + entry.cold_left_ms / MILLISECONDS_PER_SECOND,
        revision=revision,
        started_at_milliseconds=entry.born,
        version=entry.version,
    )
