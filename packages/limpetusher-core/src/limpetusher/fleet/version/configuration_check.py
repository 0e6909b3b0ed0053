"""Check of a fleet's configuration before it is published: errors, unreachable entries, contradictory limits.

Errors are values that routers refuse, or with which an entry can never work. Warnings are values that routers
accept although they have no effect or contradict others.
"""

import enum
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from limpetusher.fleet.model import CallerLimits, RequestKind, Route, Service, Target

CONFIGURATION = ""
"""Section of findings about the configuration as a whole."""
ROUTES = "routes"
SERVICES = "services"
CUSTOMERS = "customers"
LIMITS = "limits"


class Severity(enum.StrEnum):
    """Severity of a finding."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, slots=True)
class Finding:
    """Problem of a configuration.

    `section` and `name` are names of this model, `entry` is the name of a route, service or customer. Both
    `entry` and `name` are empty for a finding about a whole section.
    """

    severity: Severity
    section: str
    entry: str
    name: str
    """Name of the field."""
    message: str


@dataclass(frozen=True, slots=True)
class CustomerEntry:
    """Customer of a configuration, with the keys of its callers."""

    name: str
    api_keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationEntries:
    """Entries of a configuration in their order, with all duplicates.

    `version` is None if it is malformed.
    """

    version: int | None
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    customers: tuple[CustomerEntry, ...]
    limits: CallerLimits | None
    connection_limits: dict[str, int] = field(default_factory=dict)
    """Connections that one target accepts from all routers together, by service."""


def check_entries(
    entries: ConfigurationEntries,
    *,
    targets: Iterable[Target] | None = None,
    version_in_force: int | None = None,
) -> list[Finding]:
    """Return the findings about a configuration.

    Parameters
    ----------
    entries
        Entries of the configuration.
    targets
        Targets that are in service, None if they are not known.
    version_in_force
        Version of the configuration that routers use, None if it is not known.
    """
    listed = None if targets is None else tuple(targets)
    return [
        *check_version(entries.version, version_in_force),
        *check_matching(entries.routes),
        *check_destinations(entries, listed),
        *check_routes(entries.routes),
        *check_services(entries, listed),
        *check_customers(entries),
        *check_limits(entries.limits),
    ]


def error_finding(section: str, entry: str, name: str, message: str) -> Finding:
    """Return an error."""
    return Finding(Severity.ERROR, section, entry, name, message)


def warning_finding(section: str, entry: str, name: str, message: str) -> Finding:
    """Return a warning."""
    return Finding(Severity.WARNING, section, entry, name, message)


def check_version(version: int | None, in_force: int | None) -> Iterator[Finding]:
    """Check that routers would apply a version."""
    if version is not None and in_force is not None and version <= in_force:
        message = f"{version}; routers ignore versions up to {in_force}, which is in force"
        yield error_finding(CONFIGURATION, "", "version", message)


def check_matching(routes: Iterable[Route]) -> Iterator[Finding]:
    """Find routes that no request can match.

    A router takes the route with the longest prefix, and the first one of several equal prefixes.
    """
    first_by_match: dict[tuple[str, str], Route] = {}
    for route in routes:
        if not route.host or ":" in route.host:
            message = f"{route.host!r}; never matches, as hosts are compared without their port"
            yield error_finding(ROUTES, route.name, "host", message)
        if not route.prefix.startswith("/"):
            message = f"{route.prefix!r}; never matches, as paths begin with a slash"
            yield error_finding(ROUTES, route.name, "prefix", message)
        elif not route.prefix.endswith("/"):
            message = f"{route.prefix!r}; also matches longer names, as it does not end with a slash"
            yield warning_finding(ROUTES, route.name, "prefix", message)
        first = first_by_match.setdefault((route.host.lower(), route.prefix), route)
        if first is not route:
            message = f"never matches, as route {first.name} before it has the same host and prefix"
            yield error_finding(ROUTES, route.name, "prefix", message)
    yield from find_repeated(ROUTES, [route.name for route in routes], Severity.WARNING)


def find_repeated(section: str, names: Iterable[str], severity: Severity) -> Iterator[Finding]:
    """Find names that several entries of a section have."""
    for name, count in Counter(names).items():
        if count > 1:
            yield Finding(
                severity, section, name, "name", f"{count} entries have this name; the last one is used"
            )


def check_destinations(
    entries: ConfigurationEntries, targets: tuple[Target, ...] | None
) -> Iterator[Finding]:
    """Find routes to services that don't exist or have no targets, and services without a route."""
    known = {service.name for service in entries.services}
    served = None if targets is None else {target.service for target in targets if not target.is_draining}
    named = set()
    for route in entries.routes:
        total = 0.0
        for destination in route.destinations:
            service, weight = destination.service, destination.weight
            total += max(0.0, weight)
            named.add(service)
            if service not in known:
                yield error_finding(ROUTES, route.name, "destinations", f"service {service} does not exist")
            elif served is not None and service not in served:
                yield error_finding(ROUTES, route.name, "destinations", f"no target serves {service}")
            if weight < 0:
                message = f"weight {weight:g} of {service}; allowed: 0 and more"
                yield error_finding(ROUTES, route.name, "destinations", message)
            elif weight == 0 and len(route.destinations) > 1:
                message = f"{service} gets no requests, as its weight is 0"
                yield warning_finding(ROUTES, route.name, "destinations", message)
        if len(route.destinations) > 1 and not total:
            yield error_finding(ROUTES, route.name, "destinations", "at least one weight has to be above 0")
    for service in sorted(known - named):
        yield warning_finding(SERVICES, service, "name", "no route names this service")


def check_routes(routes: Iterable[Route]) -> Iterator[Finding]:
    """Check the times, attempts and kind of each route."""
    for route in routes:
        for name in ("timeout_seconds", "goal_seconds", "token_gap_goal_seconds"):
            seconds = getattr(route, name)
            if seconds is not None and seconds <= 0:
                yield error_finding(ROUTES, route.name, name, f"{seconds:g} s; allowed: above 0")
        if 0 < route.timeout_seconds < route.goal_seconds:
            message = (
                f"{route.goal_seconds:g} s; requests end before that, at the timeout of "
                f"{route.timeout_seconds:g} s"
            )
            yield warning_finding(ROUTES, route.name, "goal_seconds", message)
        if route.attempts < 1:
            yield error_finding(ROUTES, route.name, "attempts", f"{route.attempts}; allowed: 1 and more")
        elif route.attempts > 1 and not route.is_idempotent:
            message = f"{route.attempts}; only attempts that have not run are repeated on this route"
            yield warning_finding(ROUTES, route.name, "attempts", message)
        if route.priority < 0:
            yield error_finding(ROUTES, route.name, "priority", f"{route.priority}; allowed: 0 and more")
        yield from check_stream_fields(route)


def check_stream_fields(route: Route) -> Iterator[Finding]:
    """Check the fields of a route that only concern streams."""
    gap = route.token_gap_goal_seconds
    if route.kind is not RequestKind.STREAMING:
        if route.is_resumable:
            yield warning_finding(
                ROUTES, route.name, "is_resumable", "has no effect, as answers are not streamed"
            )
        if gap is not None:
            message = "has no effect, as answers are not streamed"
            yield warning_finding(ROUTES, route.name, "token_gap_goal_seconds", message)
    elif gap is not None and gap > route.timeout_seconds > 0:
        message = f"{gap:g} s; longer than the timeout of {route.timeout_seconds:g} s"
        yield warning_finding(ROUTES, route.name, "token_gap_goal_seconds", message)


def check_services(entries: ConfigurationEntries, targets: tuple[Target, ...] | None) -> Iterator[Finding]:
    """Check the limits of each service, beside the slots of its targets if they are known."""
    yield from find_repeated(SERVICES, [service.name for service in entries.services], Severity.ERROR)
    slots_by_service: dict[str, int] = {}
    for target in targets or ():
        slots_by_service[target.service] = max(target.slots, slots_by_service.get(target.service, 0))
    for service in entries.services:
        for name in ("cold_seconds", "cold_per_second"):
            value = getattr(service, name)
            if value < 0:
                yield error_finding(SERVICES, service.name, name, f"{value:g}; allowed: 0 and more")
        if service.cold_seconds > 0 and service.cold_per_second == 0:
            message = f"0 is no limit, although targets are cold for {service.cold_seconds:g} s"
            yield warning_finding(SERVICES, service.name, "cold_per_second", message)
        slots = slots_by_service.get(service.name, 0)
        if service.engine is not None:
            slots = max(slots, service.engine.slots)
            yield from check_engine(service)
        connections = entries.connection_limits.get(service.name, slots)
        if connections < slots:
            message = f"{connections}; fewer than the {slots} slots of a target"
            yield warning_finding(SERVICES, service.name, "max_connections", message)


def check_engine(service: Service) -> Iterator[Finding]:
    """Check the capacity of a service's engines."""
    engine = service.engine
    if engine.slots < 1:
        yield error_finding(SERVICES, service.name, "engine.slots", f"{engine.slots}; allowed: 1 and more")
    if engine.memory_tokens < 1:
        message = f"{engine.memory_tokens}; allowed: 1 and more"
        yield error_finding(SERVICES, service.name, "engine.memory_tokens", message)
    elif engine.memory_tokens < engine.slots:
        message = f"{engine.memory_tokens}; less than one token for each of {engine.slots} slots"
        yield warning_finding(SERVICES, service.name, "engine.memory_tokens", message)


def check_customers(entries: ConfigurationEntries) -> Iterator[Finding]:
    """Find customers whose callers can't be told apart or can't send requests. Keys are not shown."""
    yield from find_repeated(CUSTOMERS, [customer.name for customer in entries.customers], Severity.WARNING)
    owners: dict[str, str] = {}
    for customer in entries.customers:
        if not customer.api_keys:
            yield warning_finding(
                CUSTOMERS, customer.name, "api_keys", "no request can come from it without a key"
            )
        for number, key in enumerate(customer.api_keys):
            if not key:
                message = f"key {number} is empty; requests without a key would count as this customer's"
                yield error_finding(CUSTOMERS, customer.name, "api_keys", message)
            owner = owners.setdefault(key, customer.name)
            if owner != customer.name:
                message = f"key {number} is also a key of {owner}; requests count as the last one's"
                yield error_finding(CUSTOMERS, customer.name, "api_keys", message)
    if not entries.customers and any(not route.is_public for route in entries.routes):
        message = "none; all routes accept requests without a key"
        yield warning_finding(CUSTOMERS, "", "", message)


def check_limits(limits: CallerLimits | None) -> Iterator[Finding]:
    """Check the limits of callers."""
    if limits is None:
        return
    for name in ("header_bytes", "body_bytes", "header_seconds", "idle_seconds"):
        value = getattr(limits, name)
        if value <= 0:
            yield error_finding(LIMITS, "", name, f"{value:g}; allowed: above 0")
