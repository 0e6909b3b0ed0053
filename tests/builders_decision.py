"""Builders of configurations, host lists and requests for tests of the decision core."""

import json
import random

from limpetusher.configuration.compiled import (
    Configuration,
    Customer,
    DataCentreState,
    Host,
    HostList,
    HostRole,
    HostState,
    ModelPlacement,
    Service,
    TargetClass,
    TargetKind,
)
from limpetusher.configuration.document import load_configuration
from limpetusher.core.decision import DecisionCore
from limpetusher.core.inputs import ConfigurationReceived, HostListReceived, LoadReported, RequestArrived
from limpetusher.core.settings import PolicySettings
from limpetusher.wire.messages import Heartbeat

MODEL = "chatter"
BOOKING = "booking"
WALL_OFFSET_SECONDS = 1_700_000_000.0


def make_settings(**changes: object) -> PolicySettings:
    return PolicySettings(**{"fresh_fleet": True, **changes})


def make_configuration(
    *,
    version: int = 1,
    shares: dict[str, float] | None = None,
    slots: int = 4,
    cold_slots: int | None = None,
    out: tuple[str, ...] = (),
    queue_limit: int = 1000,
    services: tuple[str, ...] = (MODEL, BOOKING),
    placements: tuple[ModelPlacement, ...] = (),
) -> Configuration:
    customers = {
        name: Customer(name, share, (), frozenset(services), queue_limit=queue_limit)
        for name, share in (shares or {"alpha": 1.0, "beta": 1.0}).items()
    }
    classes = [
        TargetClass(
            "engine", TargetKind.ENGINE, (MODEL,), slots, slots if cold_slots is None else cold_slots
        ),
        TargetClass("application", TargetKind.APPLICATION, (BOOKING,), slots, slots),
    ]
    return Configuration(
        version=version,
        digest=bytes([version]),
        document=b"",
        customers=customers,
        services={
            MODEL: Service(MODEL, TargetKind.ENGINE),
            BOOKING: Service(BOOKING, TargetKind.APPLICATION),
        },
        target_classes={target_class.name: target_class for target_class in classes},
        data_centres=dict.fromkeys(out, DataCentreState.OUT_OF_SERVICE),
        placements={placement.target_id: placement for placement in placements},
    )


def load_small_configuration(version: int) -> Configuration:
    """Return a configuration that was loaded from a document, so that routers can relay it."""
    customer = {"customer_id": "alpha", "share": 1, "api_keys": [], "services": [MODEL]}
    engine = {"name": "engine", "kind": "engine", "services": [MODEL], "slots": 4, "cold_slots": 4}
    document = {
        "version": version,
        "customers": [customer],
        "services": [{"name": MODEL, "kind": "engine"}],
        "target_classes": [engine],
        "data_centres": [{"name": "a", "state": "in"}, {"name": "b", "state": "in"}],
    }
    return load_configuration(json.dumps(document).encode())


def make_host_list(
    *,
    version: int = 1,
    routers: dict[str, str],
    engines: dict[str, str] | None = None,
    applications: dict[str, str] | None = None,
    leaving: tuple[str, ...] = (),
) -> HostList:
    """Return a host list; the mappings give the data centre of each host."""

    def host(host_id: str, data_centre: str, target_class: str | None) -> Host:
        role = HostRole.ROUTER if target_class is None else HostRole.TARGET
        state = HostState.LEAVING if host_id in leaving else HostState.LIVE
        return Host(host_id, role, data_centre, f"address-of-{host_id}", state, target_class)

    groups = ((routers, None), (engines or {}, "engine"), (applications or {}, "application"))
    return HostList(
        version,
        tuple(host(host_id, place, name) for group, name in groups for host_id, place in group.items()),
    )


def make_request(request_id: str = "r1", **changes: object) -> RequestArrived:
    values = {
        "customer": "alpha",
        "service": MODEL,
        "idempotent": True,
        "patience_seconds": 30.0,
        "prompt_cost": 10.0,
    }
    return RequestArrived(request_id=request_id, **{**values, **changes})


def make_booking(request_id: str = "r1", *, key: str | None = None, **changes: object) -> RequestArrived:
    values = {"service": BOOKING, "idempotent": False, "idempotency_key": key, "body_digest": b"body"}
    return make_request(request_id, **{**values, **changes})


def make_core(
    own_id: str = "a1", data_centre: str = "a", *, settings: PolicySettings | None = None, **changes: object
) -> DecisionCore:
    values = {"incarnation": 1, "rng": random.Random(7), "started_at": 0.0}
    values["wall_offset_seconds"] = WALL_OFFSET_SECONDS
    return DecisionCore(
        settings=settings or make_settings(),
        own_id=own_id,
        data_centre=data_centre,
        **{**values, **changes},
    )


def make_report(target_id: str, **changes: object) -> LoadReported:
    values = {"running": 0, "warm": True, "boot_id": "boot-1", "report_age_seconds": 0.0}
    return LoadReported(target_id=target_id, **{**values, **changes})


def make_lone_core(**changes: object) -> DecisionCore:
    """Return the ready core of the only router, which owns one engine and one application target."""
    core = make_core(settings=changes.pop("settings", None))
    core.handle(ConfigurationReceived(make_configuration(**changes)), 0.0)
    hosts = make_host_list(routers={"a1": "a"}, engines={"e1": "a"}, applications={"p1": "a"})
    core.handle(HostListReceived(hosts), 0.0)
    core.handle(make_report("e1"), 0.0)
    core.handle(make_report("p1"), 0.0)
    return core


def make_heartbeat(**changes: object) -> Heartbeat:
    values = {
        "sequence": 1,
        "echo": 0,
        "ready": True,
        "leaving": False,
        "configuration_version": 1,
        "configuration_digest": b"",
        "host_list_version": 1,
    }
    return Heartbeat(**{**values, **changes})
