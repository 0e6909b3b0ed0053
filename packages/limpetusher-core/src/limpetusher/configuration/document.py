"""Pydantic models of the configuration document and the host list, and their compilation.

The models validate each value separately; `references.py` checks the consistency between values. All
problems of a document are reported at once.
"""

import contextlib
import hashlib
import ipaddress
import json
from collections.abc import Callable
from typing import Annotated, TypeVar, get_args

import pydantic_core
from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
    ValidationError,
)

from limpetusher.configuration import compiled
from limpetusher.configuration.compiled import (
    Configuration,
    DataCentreState,
    HostList,
    HostRole,
    HostState,
    TargetKind,
)
from limpetusher.configuration.references import find_document_problems, find_host_list_problems
from limpetusher.errors import ConfigurationError

MAXIMUM_DOCUMENT_BYTES = 1_000_000
DIGEST_BYTES = 16


def _check_address(value: str) -> str:
    host, separator, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        valid = bool(separator) and port.isascii() and port.isdigit() and 1 <= int(port) <= 65_535
    except ValueError:
        valid = False
    if not valid:
        raise ValueError("expected IP:PORT with a port from 1 to 65535")
    return value


Name = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.:/-]*$", max_length=128)]
Seconds = Annotated[float, Field(gt=0, le=604_800, allow_inf_nan=False)]
Address = Annotated[str, AfterValidator(_check_address)]
Version = Annotated[int, Field(ge=1, le=2**53)]


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class ApiKeyModel(_StrictModel):
    """API key. The document holds only the salted digest of its secret."""

    key_id: Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9_-]{4,64}$")]
    salt: Annotated[str, StringConstraints(pattern=r"^([0-9a-f]{2}){8,64}$")]
    digest: Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]


class CustomerModel(_StrictModel):
    """Customer with its share of the capacity and its patience."""

    customer_id: Name
    share: Annotated[float, Field(gt=0, le=1_000_000, allow_inf_nan=False)]
    api_keys: list[ApiKeyModel] = []
    services: list[Name]
    queue_limit: Annotated[int, Field(ge=1, le=1_000_000)] = 1000
    default_patience_seconds: Seconds = 60.0
    patience_seconds: dict[Name, Seconds] = {}


class RouteModel(_StrictModel):
    """Route of an application service."""

    method: Annotated[str, StringConstraints(pattern=r"^(GET|HEAD|POST|PUT|PATCH|DELETE)$")]
    path_prefix: Annotated[str, StringConstraints(pattern=r"^/[^?#\s]*$", max_length=1024)]
    idempotent: bool


class ServiceModel(_StrictModel):
    """Model or application service."""

    name: Name
    kind: Annotated[TargetKind, Field(strict=False)]
    default_cost: Annotated[float, Field(gt=0, le=1e9, allow_inf_nan=False)] = 100.0
    routes: list[RouteModel] = []


class TargetClassModel(_StrictModel):
    """Properties of the targets of one class."""

    name: Name
    kind: Annotated[TargetKind, Field(strict=False)]
    services: list[Name]
    slots: Annotated[int, Field(ge=1, le=100_000)]
    cold_slots: Annotated[int, Field(ge=1, le=100_000)]
    checks_fencing_number: bool = False


class DataCentreModel(_StrictModel):
    """Data centre and whether its targets may receive new work."""

    name: Name
    state: Annotated[DataCentreState, Field(strict=False)] = DataCentreState.IN_SERVICE


class PlacementModel(_StrictModel):
    """Model, adapter, version and role that an engine target should have."""

    target_id: Name
    model: Name
    version: Name
    adapter: Name | None = None
    role: Name = "mixed"


class ConfigurationModel(_StrictModel):
    """The configuration document."""

    version: Version
    customers: list[CustomerModel]
    services: list[ServiceModel]
    target_classes: list[TargetClassModel]
    data_centres: list[DataCentreModel]
    placements: list[PlacementModel] = []
    weight_loads_per_minute: Annotated[float, Field(gt=0, le=1e6, allow_inf_nan=False)] = 6.0


class HostModel(_StrictModel):
    """Entry of the host list."""

    host_id: Name
    role: Annotated[HostRole, Field(strict=False)]
    data_centre: Name
    address: Address
    state: Annotated[HostState, Field(strict=False)] = HostState.LIVE
    target_class: Name | None = None
    admin_address: Address | None = None


class HostListModel(_StrictModel):
    """The host list."""

    version: Version
    hosts: list[HostModel]


ModelType = TypeVar("ModelType", bound=_StrictModel)
CrossCheck = Callable[[ModelType, frozenset[str]], list[str]]


def parse_document(document: bytes) -> ConfigurationModel:
    """Parse and validate a configuration document.

    Raises
    ------
    ConfigurationError
        With every problem found.
    """
    return _parse_model(document, ConfigurationModel, find_document_problems)


def load_configuration(document: bytes) -> Configuration:
    """Validate and compile a configuration document.

    Parameters
    ----------
    document
        JSON text, at most 1 MB.

    Raises
    ------
    ConfigurationError
        With every problem found.

    See Also
    --------
    dump_document : Serialises a model to a document.
    """
    return _compile_configuration(parse_document(document), document)


def revalidate_model(model: ConfigurationModel) -> ConfigurationModel:
    """Serialise and parse a changed model to validate it, and return the parsed model.

    Raises
    ------
    ConfigurationError
        With every problem found.
    """
    return parse_document(dump_document(model))


def load_host_list(document: bytes) -> HostList:
    """Validate and compile a host list.

    Raises
    ------
    ConfigurationError
        With every problem found.
    """
    model = _parse_model(document, HostListModel, find_host_list_problems)
    hosts = tuple(compiled.Host(**dict(entry)) for entry in model.hosts)
    return HostList(version=model.version, hosts=hosts)


def dump_document(model: ConfigurationModel | HostListModel) -> bytes:
    """Return a model as an indented JSON document with a final newline."""
    return model.model_dump_json(indent=2, exclude_none=True).encode() + b"\n"


def _parse_model(
    document: bytes,
    model_type: type[ModelType],
    cross_check: Callable[[ModelType, frozenset[str]], list[str]],
) -> ModelType:
    if len(document) > MAXIMUM_DOCUMENT_BYTES:
        raise ConfigurationError(
            [f"document has {len(document)} bytes, at most {MAXIMUM_DOCUMENT_BYTES} are allowed"]
        )
    try:
        model = model_type.model_validate_json(document)
    except ValidationError as error:
        problems = [describe_problem(problem) for problem in error.errors()]
        invalid_sections = frozenset(str(problem["loc"][0]) for problem in error.errors() if problem["loc"])
        problems += cross_check(_build_partial_model(document, model_type), invalid_sections)
        raise ConfigurationError(problems) from None
    problems = cross_check(model, frozenset())
    if problems:
        raise ConfigurationError(problems)
    return model


def _build_partial_model(document: bytes, model_type: type[ModelType]) -> ModelType:
    """Return a model with only the valid entries of each list, so that they can be cross-checked."""
    try:
        raw = pydantic_core.from_json(document)
    except ValueError:
        raw = {}
    lists = {}
    for name, field in model_type.model_fields.items():
        entry_types = get_args(field.annotation)
        if entry_types:
            entries = raw.get(name) if isinstance(raw, dict) else None
            lists[name] = _parse_valid_entries(entries, entry_types[0])
    return model_type.model_construct(**lists)


def _parse_valid_entries(entries: object, entry_type: type[_StrictModel]) -> list[_StrictModel]:
    valid = []
    for entry in entries if isinstance(entries, list) else []:
        with contextlib.suppress(ValidationError):
            valid.append(entry_type.model_validate_json(json.dumps(entry)))
    return valid


def describe_problem(problem: dict) -> str:
    """Format an error of pydantic as one line with the location, the rule and, if not secret, the value."""
    location = ""
    for part in problem["loc"]:
        location += f"[{part}]" if isinstance(part, int) else f".{part}" if location else str(part)
    value = problem["input"]
    # Values within `api_keys` are never shown: a secret may have been entered in place of its digest.
    is_shown = isinstance(value, str | int | float | bool) and "api_keys" not in problem["loc"]
    found_text = f" (found {value!r})" if is_shown else ""
    return f"{location or 'document'}: {problem['msg']}{found_text[:120]}"


def _compile_configuration(model: ConfigurationModel, document: bytes) -> Configuration:
    return Configuration(
        version=model.version,
        digest=hashlib.blake2b(document, digest_size=DIGEST_BYTES).digest(),
        document=document,
        customers={entry.customer_id: _compile_customer(entry) for entry in model.customers},
        services={entry.name: _compile_service(entry) for entry in model.services},
        target_classes={
            entry.name: compiled.TargetClass(**dict(entry) | {"services": tuple(entry.services)})
            for entry in model.target_classes
        },
        data_centres={entry.name: entry.state for entry in model.data_centres},
        placements={entry.target_id: compiled.ModelPlacement(**dict(entry)) for entry in model.placements},
        weight_loads_per_minute=model.weight_loads_per_minute,
    )


def _compile_customer(entry: CustomerModel) -> compiled.Customer:
    fields = dict(entry)
    fields["api_keys"] = tuple(compiled.ApiKey(**dict(key)) for key in entry.api_keys)
    fields["services"] = frozenset(entry.services)
    return compiled.Customer(**fields)


def _compile_service(entry: ServiceModel) -> compiled.Service:
    routes = tuple(compiled.Route(**dict(route)) for route in entry.routes)
    return compiled.Service(**dict(entry) | {"routes": routes})
