"""Consistency checks between the values of a document: unique identifiers and valid references."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import TYPE_CHECKING

from limpetusher.configuration.compiled import HostRole, TargetKind

if TYPE_CHECKING:
    from limpetusher.configuration.document import ConfigurationModel, HostListModel

ServiceKinds = dict[str, TargetKind]


def find_document_problems(model: ConfigurationModel, invalid_sections: frozenset[str]) -> list[str]:
    """Return one line for each inconsistency in a configuration document.

    Parameters
    ----------
    model
        The document, or only its valid entries.
    invalid_sections
        Sections that have invalid entries. References to entries of these sections are not checked.
    """
    services = (
        None if "services" in invalid_sections else {entry.name: entry.kind for entry in model.services}
    )
    return [
        *_find_duplicates("customers", "customer_id", (entry.customer_id for entry in model.customers)),
        *_find_duplicates("services", "name", (entry.name for entry in model.services)),
        *_find_duplicates("target_classes", "name", (entry.name for entry in model.target_classes)),
        *_find_duplicates("data_centres", "name", (entry.name for entry in model.data_centres)),
        *_find_duplicates("placements", "target_id", (entry.target_id for entry in model.placements)),
        *_find_duplicates(
            "api_keys", "key_id", (key.key_id for entry in model.customers for key in entry.api_keys)
        ),
        *_find_customer_problems(model, services),
        *_find_service_problems(model),
        *_find_target_class_problems(model, services),
        *_find_placement_problems(model, services),
    ]


def find_host_list_problems(model: HostListModel, invalid_sections: frozenset[str]) -> list[str]:
    """Return one line for each inconsistency in a host list."""
    problems = _find_duplicates("hosts", "host_id", (entry.host_id for entry in model.hosts))
    problems += _find_duplicates("hosts", "address", (entry.address for entry in model.hosts))
    for entry in model.hosts:
        if entry.role is HostRole.TARGET and entry.target_class is None:
            problems.append(f"host {entry.host_id}: a target needs target_class")
        if entry.role is HostRole.ROUTER and entry.target_class is not None:
            problems.append(f"host {entry.host_id}: target_class is allowed only for targets")
        if entry.role is HostRole.TARGET and entry.admin_address is not None:
            problems.append(f"host {entry.host_id}: admin_address is allowed only for routers")
    return problems


def _find_duplicates(location: str, field: str, values: Iterable[str]) -> list[str]:
    counts = Counter(values)
    return [
        f"{location}: {field} {value!r} occurs {count} times" for value, count in counts.items() if count > 1
    ]


def _list_known_names(names: Iterable[str]) -> str:
    return "known names: " + (", ".join(sorted(names)) or "none")


def _find_customer_problems(model: ConfigurationModel, services: ServiceKinds | None) -> list[str]:
    problems = []
    for customer in model.customers:
        location = f"customer {customer.customer_id}"
        problems += [
            f"{location}: unknown service {name!r}, {_list_known_names(services)}"
            for name in customer.services
            if services is not None and name not in services
        ]
        problems += [
            f"{location}: patience_seconds names {name!r}, which is not one of the customer's services"
            for name in customer.patience_seconds
            if name not in customer.services
        ]
    return problems


def _find_service_problems(model: ConfigurationModel) -> list[str]:
    problems = []
    for service in model.services:
        if service.kind is TargetKind.ENGINE and service.routes:
            problems.append(f"service {service.name}: routes are allowed only for kind 'application'")
        if service.kind is TargetKind.APPLICATION and not service.routes:
            problems.append(f"service {service.name}: an application service needs at least one route")
        routes = (f"{route.method} {route.path_prefix}" for route in service.routes)
        problems += _find_duplicates(f"service {service.name}", "route", routes)
    return problems


def _find_target_class_problems(model: ConfigurationModel, services: ServiceKinds | None) -> list[str]:
    problems = []
    for entry in model.target_classes:
        location = f"target class {entry.name}"
        if entry.cold_slots > entry.slots:
            problems.append(f"{location}: cold_slots {entry.cold_slots} is above slots {entry.slots}")
        for name in entry.services if services is not None else ():
            if name not in services:
                problems.append(f"{location}: unknown service {name!r}, {_list_known_names(services)}")
            elif services[name] is not entry.kind:
                kind = services[name].value
                problems.append(f"{location}: kind is {entry.kind.value}, but {name!r} is {kind}")
    return problems


def _find_placement_problems(model: ConfigurationModel, services: ServiceKinds | None) -> list[str]:
    if services is None:
        return []
    engines = [name for name, kind in services.items() if kind is TargetKind.ENGINE]
    return [
        f"placement of {entry.target_id}: unknown model {entry.model!r}, {_list_known_names(engines)}"
        for entry in model.placements
        if entry.model not in engines
    ]
