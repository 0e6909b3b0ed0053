"""Pydantic models of the configuration document and the host list, and their compilation.

The models check each value on its own; `references.py` checks the values against each other. All problems
of a document are reported at once.
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
from limpetusher.configuration.references import document_problems, host_list_problems
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
        raise ValueError("an address is IP:PORT with a port from 1 to 65535")
    return value


Name = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.:/-]*$", max_length=128)]
Seconds = Annotated[float, Field(gt=0, le=604_800, allow_inf_nan=False)]
Address = Annotated[str, AfterValidator(_check_address)]
Version = Annotated[int, Field(ge=1, le=2**53)]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class ApiKeyModel(_Model):
    """An API key; the secret itself is not part of the document."""

    key_id: Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9_-]{4,64}$")]
    salt: Annotated[str, StringConstraints(pattern=r"^([0-9a-f]{2}){8,64}$")]
    digest: Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]


class CustomerModel(_Model):
    """A customer, its share of the capacity and its patience."""

    customer_id: Name
    share: Annotated[float, Field(gt=0, le=1_000_000, allow_inf_nan=False)]
    api_keys: list[ApiKeyModel] = []
    services: list[Name]
    queue_limit: Annotated[int, Field(ge=1, le=1_000_000)] = 1000
    default_patience_seconds: Seconds = 60.0
    patience_seconds: dict[Name, Seconds] = {}


class RouteModel(_Model):
    """A route of an application service."""

    method: Annotated[str, StringConstraints(pattern=r"^(GET|HEAD|POST|PUT|PATCH|DELETE)$")]
    path_prefix: Annotated[str, StringConstraints(pattern=r"^/[^?#\s]*$", max_length=1024)]
    idempotent: bool


class ServiceModel(_Model):
    """A model or an application service."""

    name: Name
    kind: Annotated[TargetKind, Field(strict=False)]
    default_cost: Annotated[float, Field(gt=0, le=1e9, allow_inf_nan=False)] = 100.0
    routes: list[RouteModel] = []


class TargetClassModel(_Model):
    """Properties of the targets of one class."""

    name: Name
    kind: Annotated[TargetKind, Field(strict=False)]
    services: list[Name]
    slots: Annotated[int, Field(ge=1, le=100_000)]
    cold_slots: Annotated[int, Field(ge=1, le=100_000)]
    checks_fencing_number: bool = False


class DataCentreModel(_Model):
    """A data centre and whether its targets may receive new work."""

    name: Name
    state: Annotated[DataCentreState, Field(strict=False)] = DataCentreState.IN_SERVICE


class PlacementModel(_Model):
    """What an engine target should have loaded."""

    target_id: Name
    model: Name
    version: Name
    adapter: Name | None = None
    role: Name = "mixed"


class ConfigurationModel(_Model):
    """The configuration document."""

    version: Version
    customers: list[CustomerModel]
    services: list[ServiceModel]
    target_classes: list[TargetClassModel]
    data_centres: list[DataCentreModel]
    placements: list[PlacementModel] = []
    weight_loads_per_minute: Annotated[float, Field(gt=0, le=1e6, allow_inf_nan=False)] = 6.0


class HostModel(_Model):
    """An entry of the host list."""

    host_id: Name
    role: Annotated[HostRole, Field(strict=False)]
    data_centre: Name
    address: Address
    state: Annotated[HostState, Field(strict=False)] = HostState.LIVE
    target_class: Name | None = None
    admin_address: Address | None = None


class HostListModel(_Model):
    """The host list."""

    version: Version
    hosts: list[HostModel]


Model = TypeVar("Model", bound=_Model)
CrossCheck = Callable[[Model, frozenset[str]], list[str]]


def parse_document(document: bytes) -> ConfigurationModel:
    """Return the checked model of a configuration document.

    Raises
    ------
    ConfigurationError
        With every problem found.
    """
    return _parse(document, ConfigurationModel, document_problems)


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
    dump_document : Makes a document from a model.
    """
    return _compile(parse_document(document), document)


def check_model(model: ConfigurationModel) -> ConfigurationModel:
    """Return the model of a changed document after checking it again as a whole.

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
    model = _parse(document, HostListModel, host_list_problems)
    hosts = tuple(compiled.Host(**dict(entry)) for entry in model.hosts)
    return HostList(version=model.version, hosts=hosts)


def dump_document(model: ConfigurationModel | HostListModel) -> bytes:
    """Return the JSON document of a model, indented and with a newline at the end."""
    return model.model_dump_json(indent=2, exclude_none=True).encode() + b"\n"


def _parse(
    document: bytes, model_type: type[Model], cross_check: Callable[[Model, frozenset[str]], list[str]]
) -> Model:
    if len(document) > MAXIMUM_DOCUMENT_BYTES:
        raise ConfigurationError(
            [f"document has {len(document)} bytes, at most {MAXIMUM_DOCUMENT_BYTES} are allowed"]
        )
    try:
        model = model_type.model_validate_json(document)
    except ValidationError as error:
        problems = [describe_problem(problem) for problem in error.errors()]
        faulty = frozenset(str(problem["loc"][0]) for problem in error.errors() if problem["loc"])
        problems += cross_check(_valid_part(document, model_type), faulty)
        raise ConfigurationError(problems) from None
    problems = cross_check(model, frozenset())
    if problems:
        raise ConfigurationError(problems)
    return model


def _valid_part(document: bytes, model_type: type[Model]) -> Model:
    """Return a model with only the valid entries of each list, to find further problems among them."""
    try:
        raw = pydantic_core.from_json(document)
    except ValueError:
        raw = {}
    lists = {}
    for name, field in model_type.model_fields.items():
        entry_types = get_args(field.annotation)
        if entry_types:
            entries = raw.get(name) if isinstance(raw, dict) else None
            lists[name] = _valid_entries(entries, entry_types[0])
    return model_type.model_construct(**lists)


def _valid_entries(entries: object, entry_type: type[_Model]) -> list[_Model]:
    valid = []
    for entry in entries if isinstance(entries, list) else []:
        with contextlib.suppress(ValidationError):
            valid.append(entry_type.model_validate_json(json.dumps(entry)))
    return valid


def describe_problem(problem: dict) -> str:
    """Return one line for a problem that pydantic found: the place, what is allowed, and the value."""
    place = ""
    for step in problem["loc"]:
        place += f"[{step}]" if isinstance(step, int) else f".{step}" if place else str(step)
    value = problem["input"]
    # Values of API keys are never shown: a secret may have been pasted where its digest belongs.
    shown = isinstance(value, str | int | float | bool) and "api_keys" not in problem["loc"]
    found = f" (found {value!r})" if shown else ""
    return f"{place or 'document'}: {problem['msg']}{found[:120]}"


def _compile(model: ConfigurationModel, document: bytes) -> Configuration:
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
