"""Tests of second engines for prompt parts in high demand."""

import pytest

from builders_fleet import MEMORY_TOKENS, SLOTS, make_placement, make_request, make_service
from limpetusher.fleet.model import Engine
from limpetusher.fleet.process.part_demand import MAX_SESSIONS, PartDemand
from limpetusher.fleet.process.target_loads import TargetLoad
from limpetusher.fleet.settings import FleetSettings

ENGINE_RATE = 30_000.0
ENGINE = Engine(SLOTS, MEMORY_TOKENS, transfer_rate=250_000.0)


def record_load(demand: PartDemand, tokens_per_second: float, *, seconds: float = 3.0) -> float:
    """Record requests of 3,000 own tokens of one session; return the time of the last one."""
    count = int(tokens_per_second * seconds / 3_000)
    for number in range(count):
        demand.record(make_request(), number * seconds / count)
    return (count - 1) * seconds / count


@pytest.mark.parametrize(("load", "engines"), [(0.3, 1), (0.9, 2), (1.5, 3), (30.0, 5)])
def test_engines_of_a_session_follow_its_demand(load, engines):
    """Guards against a queue at one engine for a part that all requests of a customer have."""
    demand = PartDemand(FleetSettings())
    now = record_load(demand, load * ENGINE_RATE)
    assert demand.engines("s1", ENGINE_RATE, now) == engines


def test_demand_is_forgotten():
    """Guards against copies of a part that is not requested any more."""
    demand = PartDemand(FleetSettings())
    now = record_load(demand, 2 * ENGINE_RATE)
    assert demand.engines("s1", ENGINE_RATE, now + 3.0) == 1


def test_memory_is_bounded():
    """Guards against a customer with a new session in each request."""
    demand = PartDemand(FleetSettings())
    record_load(demand, ENGINE_RATE, seconds=1.0)
    for number in range(3 * MAX_SESSIONS):
        demand.record(make_request(session=f"n{number}", unshared_tokens=1), 1.0)
    assert len(demand.by_session) <= MAX_SESSIONS
    assert demand.sum("s1", 1.0) > 0


@pytest.mark.parametrize("is_in_demand", [False, True])
def test_second_engine_gets_the_parts_before_the_first_one_runs_short(is_in_demand):
    """Guards against requests that wait for one engine until they can hardly start in time elsewhere."""
    placement = make_placement(3, service=make_service(engine=ENGINE))
    first, second, third = placement.ranking(make_request())
    placement.caches.record_use(first, make_request().parts[:-1], MEMORY_TOKENS)
    now = record_load(placement.demand, ENGINE_RATE if is_in_demand else 1_000.0)
    placement.add_load(first, TargetLoad(1, 8_000, 8_000), now)
    for other in (second, third):
        placement.add_load(other, TargetLoad(1, 4_000, 4_000), now)
    request = make_request("w2", at=now)
    request.latest_start_at = now + 0.4
    choice = placement.choose(request, now)
    assert (choice.target.target_id if choice is not None else None) == (second if is_in_demand else None)
    assert request.awaited_id == ("" if is_in_demand else first)
