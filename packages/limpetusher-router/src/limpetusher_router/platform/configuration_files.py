"""Reading of configurations and lists of targets from files, entry by entry, for their check.

The decoders of the routers are used, so that a file is read as they would read it.
"""

from collections.abc import Iterable, Iterator

import msgspec

from limpetusher.errors import ConfigurationError
from limpetusher.fleet.model import CallerLimits, Route, Target
from limpetusher.fleet.version.configuration_check import (
    CUSTOMERS,
    LIMITS,
    ROUTES,
    SERVICES,
    ConfigurationEntries,
    CustomerEntry,
    Finding,
    error_finding,
    warning_finding,
)
from limpetusher_router.platform.documents import (
    MALFORMED,
    CustomerDocument,
    LimitsDocument,
    RouteDocument,
    ServiceDocument,
    decode_document,
    decode_target,
)

CUSTOMERS_FIELD = "tenants"
SECRET_LISTS = frozenset({"apiKeys"})
"""Fields that are lists of secrets."""
SECTION_FIELDS = {CUSTOMERS: CUSTOMERS_FIELD}
"""Names of sections in a file, where they differ from the model."""
FIELD_NAMES = {
    "timeout_seconds": "timeoutMs",
    "goal_seconds": "goalMs",
    "token_gap_goal_seconds": "gapAimMs",
    "is_resumable": "resumable",
    "destinations": "split",
    "cold_seconds": "coldS",
    "cold_per_second": "coldPerS",
    "max_connections": "maxConns",
    "engine.memory_tokens": "engine.kvCapacity",
    "api_keys": "apiKeys",
    "header_bytes": "maxHeaderBytes",
    "body_bytes": "maxBodyBytes",
    "header_seconds": "headerTimeoutMs",
    "idle_seconds": "idleTimeoutMs",
}
"""Names of fields in a file, where they differ from the model."""


def read_json(data: bytes) -> object:
    """Decode a JSON document.

    Raises
    ------
    ConfigurationError
        If the document is not JSON.
    """
    try:
        return msgspec.json.decode(data)
    except MALFORMED as error:
        raise ConfigurationError([f"not a JSON document: {error}"]) from error


def read_entries(document: dict, data: bytes) -> tuple[ConfigurationEntries, list[Finding]]:
    """Return the entries of a configuration, without the malformed ones, and a finding for each of those.

    Parameters
    ----------
    document
        The configuration as plain JSON values.
    data
        The bytes that it was decoded from.
    """
    findings: list[Finding] = []
    version = document.get("version")
    if not isinstance(version, int) or isinstance(version, bool):
        version = None
        findings.append(error_finding("", "", "version", "missing or not a whole number"))
    routes = read_section(document, ROUTES, RouteDocument, findings)
    services = read_section(document, SERVICES, ServiceDocument, findings)
    customers = read_section(document, CUSTOMERS_FIELD, CustomerDocument, findings, is_required=False)
    entries = ConfigurationEntries(
        version=version,
        routes=tuple(decode_routes(routes, findings)),
        services=tuple(service.decode() for service in services),
        customers=tuple(CustomerEntry(customer.name, customer.api_keys) for customer in customers),
        limits=read_limits(document.get(LIMITS, {}), findings),
        connection_limits=read_connection_limits(document.get(SERVICES)),
    )
    if not findings:
        try:
            decode_document(data)
        except ConfigurationError as error:
            findings += [error_finding("", "", "", problem) for problem in error.problems]
    return entries, findings


def decode_routes(documents: Iterable[RouteDocument], findings: list[Finding]) -> Iterator[Route]:
    """Yield the routes of a configuration; one that can't be decoded adds its problems to the findings."""
    for document in documents:
        try:
            yield document.decode()
        except ConfigurationError as error:
            findings += [error_finding(ROUTES, "", "", problem) for problem in error.problems]


def read_section(
    document: dict, section: str, entry_type: type, findings: list[Finding], *, is_required: bool = True
) -> list:
    """Return the well-formed entries of a list; each malformed one adds a finding."""
    values = document.get(section)
    if values is None and not is_required:
        return []
    if not isinstance(values, list):
        findings.append(error_finding(section, "", "", "missing or not a list"))
        return []
    entries = []
    for number, value in enumerate(values):
        try:
            entries.append(msgspec.convert(value, entry_type))
        except msgspec.ValidationError as error:
            name = value.get("name") if isinstance(value, dict) else None
            findings.append(error_finding(section, str(name or f"number {number}"), "", str(error)))
    return entries


def read_limits(value: object, findings: list[Finding]) -> CallerLimits | None:
    """Return the limits of callers, None if they are malformed."""
    try:
        return msgspec.convert(value, LimitsDocument).decode()
    except msgspec.ValidationError as error:
        findings.append(error_finding(LIMITS, "", "", str(error)))
        return None


def read_connection_limits(services: object) -> dict[str, int]:
    """Return the connection limits of services. Routers ignore them, so malformed ones are no errors."""
    limits = {}
    for service in services if isinstance(services, list) else ():
        if isinstance(service, dict) and isinstance(service.get("name"), str):
            limit = service.get("maxConns")
            if isinstance(limit, int) and not isinstance(limit, bool) and limit > 0:
                limits[service["name"]] = limit
    return limits


def read_targets(data: bytes) -> tuple[list[Target], list[Finding]]:
    """Return the targets of a JSON object by identifier, and a warning for each malformed entry.

    Raises
    ------
    ConfigurationError
        If the document is not a JSON object.
    """
    document = read_json(data)
    if not isinstance(document, dict):
        raise ConfigurationError(["expected a JSON object with an entry for each target"])
    targets, findings = [], []
    for target_id, value in document.items():
        try:
            targets.append(decode_target(target_id, msgspec.json.encode(value), revision=0, now=0.0))
        except ConfigurationError as error:
            findings += [warning_finding("targets", target_id, "", problem) for problem in error.problems]
    return targets, findings


def place_of(finding: Finding) -> str:
    """Return the path of a finding in a configuration file."""
    section = SECTION_FIELDS.get(finding.section, finding.section)
    place = f"{section}[{finding.entry}]" if finding.entry else section
    name = FIELD_NAMES.get(finding.name, finding.name)
    return ".".join(part for part in (place, name) if part)
