"""Builders of test data for the fleet package."""

import sys
from collections.abc import Callable
from typing import TypeVar

from limpetusher.fleet.model import (
    CallerLimits,
    Destination,
    Engine,
    FleetConfiguration,
    Pool,
    PromptPart,
    QueuedRequest,
    RequestKind,
    Route,
    Service,
    Target,
)
from limpetusher.fleet.process.placement import Placement
from limpetusher.fleet.process.prompt_quarantine import PromptQuarantine
from limpetusher.fleet.process.served_tokens import ServedTokens
from limpetusher.fleet.request.waiting_requests import WaitingRequests
from limpetusher.fleet.settings import FleetSettings

ENGINES = Pool("engines")
SLOTS = 128
MEMORY_TOKENS = 240_000
COLD_PER_SECOND = 9.0

Result = TypeVar("Result")


def make_route(**changes: object) -> Route:
    values = {
        "name": "drafts",
        "host": "llm.example",
        "prefix": "/drafts/",
        "kind": RequestKind.STREAMING,
        "timeout_seconds": 8.0,
        "goal_seconds": 1.0,
        "destinations": (Destination("engines", 1.0),),
        "attempts": 2,
        "is_resumable": True,
        "token_gap_goal_seconds": 0.5,
    }
    return Route(**{**values, **changes})


def make_service(**changes: object) -> Service:
    values = {
        "name": "engines",
        "cold_per_second": COLD_PER_SECOND,
        "engine": Engine(SLOTS, MEMORY_TOKENS),
    }
    return Service(**{**values, **changes})


def make_configuration(*routes: Route, **changes: object) -> FleetConfiguration:
    values = {
        "version": 1,
        "routes": routes or (make_route(),),
        "services": {"engines": make_service()},
        "limits": CallerLimits(16_384, 4_194_304, 3.0, 15.0),
        "customers_by_key": {"key-a": "acme"},
        "has_customers": True,
    }
    return FleetConfiguration(**{**values, **changes})


def make_target(target_id: str = "e1", **changes: object) -> Target:
    values = {
        "target_id": target_id,
        "service": "engines",
        "address": "10.0.0.1:80",
        "data_centre": "north",
        "slots": SLOTS,
        "revision": 1,
    }
    return Target(**{**values, **changes})


def make_request(
    request_id: str = "w1", *, at: float = 0.0, session: str = "s1", **changes: object
) -> QueuedRequest:
    unshared_tokens = changes.pop("unshared_tokens", 3_000)
    parts = (PromptPart("common", 2_500), PromptPart(session, 3_800), PromptPart(request_id, unshared_tokens))
    values = {
        "request_id": request_id,
        "client": "10.0.0.9",
        "customer": "acme",
        "pool": ENGINES,
        "goal_seconds": 1.0,
        "queued_at": at,
        "give_up_at": at + 8.0,
        "prompt_tokens": sum(part.tokens for part in parts),
        "output_tokens": 50,
        "parts": parts,
    }
    return QueuedRequest(**{**values, **changes})


def make_placement(
    targets: int = 3, *, settings: FleetSettings | None = None, service: Service | None = None
) -> Placement:
    placement = Placement(settings or FleetSettings())
    service = service or make_service()
    placement.services = {service.name: service}
    placement.goals = {service.name: 1.0}
    placement.token_gap_goals = {service.name: 0.5}
    for number in range(1, targets + 1):
        placement.put_target(make_target(f"e{number}", service=service.name))
    return placement


def make_waiting(placement: Placement | None = None) -> WaitingRequests:
    placement = placement or make_placement()
    return WaitingRequests(placement.settings, placement, ServedTokens(), PromptQuarantine())


def sessions_by_engine(placement: Placement, count: int) -> dict[str, list[str]]:
    """Return the names of `count` sessions by the engine that is ranked first for them."""
    sessions: dict[str, list[str]] = {target_id: [] for target_id in placement.targets}
    for number in range(count):
        session = f"s{number}"
        sessions[placement.ranking(make_request(session=session))[0]].append(session)
    return sessions


def count_calls(function: Callable[[], Result]) -> tuple[Result, int]:
    """Call a function; return its result and the number of function calls that it has made."""
    calls = 0

    def count(_frame: object, event: str, _argument: object) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        result = function()
    finally:
        sys.setprofile(None)
    return result, calls
