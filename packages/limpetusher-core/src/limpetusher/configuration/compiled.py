"""Compiled configuration and host list: plain data classes used inside the routers."""

import enum
from dataclasses import dataclass, field


class TargetKind(enum.StrEnum):
    """Kind of back end that a target class describes."""

    ENGINE = "engine"
    APPLICATION = "application"


class DataCentreState(enum.StrEnum):
    """Whether a data centre's targets may receive new work."""

    IN_SERVICE = "in"
    OUT_OF_SERVICE = "out"


class HostState(enum.StrEnum):
    """State of a host in the host list."""

    LIVE = "live"
    LEAVING = "leaving"


class HostRole(enum.StrEnum):
    """Role of a host in the host list."""

    ROUTER = "router"
    TARGET = "target"


@dataclass(frozen=True, slots=True)
class Route:
    """Route of an application service. `path_prefix` is relative to `/apps/{service}`."""

    method: str
    path_prefix: str
    idempotent: bool


@dataclass(frozen=True, slots=True)
class Service:
    """A model or an application service that callers ask for by name.

    `routes` is empty for models, whose requests are idempotent.
    """

    name: str
    kind: TargetKind
    routes: tuple[Route, ...] = ()
    default_cost: float = 100.0
    """Estimated cost of a request, in cost units, until a cost has been measured."""


@dataclass(frozen=True, slots=True)
class TargetClass:
    """Properties shared by the targets of one class. `slots` and `cold_slots` are concurrent requests."""

    name: str
    kind: TargetKind
    services: tuple[str, ...]
    slots: int
    cold_slots: int
    checks_fencing_number: bool = False


@dataclass(frozen=True, slots=True)
class ApiKey:
    """A customer's API key: `digest` is the hexadecimal SHA-256 of salt (hexadecimal) and secret."""

    key_id: str
    salt: str
    digest: str


@dataclass(frozen=True, slots=True)
class Customer:
    """A team or partner with a share of the capacity.

    `patience_seconds` maps a service to the longest time that a request may wait before its answer starts.
    Services without an entry use `default_patience_seconds`.
    """

    customer_id: str
    share: float
    api_keys: tuple[ApiKey, ...]
    services: frozenset[str]
    queue_limit: int = 1000
    default_patience_seconds: float = 60.0
    patience_seconds: dict[str, float] = field(default_factory=dict)

    def patience_for(self, service: str) -> float:
        """Return the longest time, in seconds, that a request for `service` may wait."""
        return self.patience_seconds.get(service, self.default_patience_seconds)


@dataclass(frozen=True, slots=True)
class ModelPlacement:
    """Model, adapter, version and role that an engine target should have."""

    target_id: str
    model: str
    version: str
    adapter: str | None = None
    role: str = "mixed"


@dataclass(frozen=True, slots=True)
class Configuration:
    """Accepted version of the fleet's configuration. A version with a greater `order` replaces it."""

    version: int
    digest: bytes
    document: bytes
    customers: dict[str, Customer]
    services: dict[str, Service]
    target_classes: dict[str, TargetClass]
    data_centres: dict[str, DataCentreState]
    placements: dict[str, ModelPlacement] = field(default_factory=dict)
    weight_loads_per_minute: float = 6.0

    @property
    def order(self) -> tuple[int, bytes]:
        """Return the sort key of this version: the version number, then the digest."""
        return (self.version, self.digest)


@dataclass(frozen=True, slots=True)
class Host:
    """Entry of the host list. `address` is `ip:port` of the peer socket (router) or of HTTP (target)."""

    host_id: str
    role: HostRole
    data_centre: str
    address: str
    state: HostState = HostState.LIVE
    target_class: str | None = None
    admin_address: str | None = None


@dataclass(frozen=True, slots=True)
class HostList:
    """Hosts that the platform lists. The list is updated with a delay."""

    version: int
    hosts: tuple[Host, ...]
