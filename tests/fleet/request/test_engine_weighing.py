"""Tests of the weighing of caches against waits under load, on a small model of engines."""

from collections import Counter

import pytest

from builders_engines import RATE, TRANSFER_RATE, Result, draw_requests, simulate
from builders_fleet import make_request
from limpetusher.fleet.model import Engine, QueuedRequest
from limpetusher.fleet.settings import FleetSettings

ENGINES = 15
ENGINE = Engine(64, 297_378, 1, TRANSFER_RATE)
MEAN_PROMPT_TOKENS = 5_500
VALUES = {6_300: 4.1, 568: 1.0, 172: 1.1}
"""Value of an answer in time by the length of the shared part."""


def draw(load: float, *, seed: int) -> list[QueuedRequest]:
    """Return requests with a load relative to the capacity of the engines, if nothing were cached."""
    per_second = load * ENGINES * RATE / MEAN_PROMPT_TOKENS
    return draw_requests(make_request, seed=seed, per_second=per_second, seconds=2.0, sessions=300)


def play(load: float, *, weighs_waits: bool, seed: int = 1) -> Result:
    """Play a load on the model of engines."""
    arrivals = draw(load, seed=seed)
    settings = FleetSettings(weighs_waits=weighs_waits)
    return simulate(arrivals, seconds=3.0, engines=ENGINES, settings=settings, engine=ENGINE)


def value_in_time(result: Result) -> float:
    requests = [(at, start.request) for at, start in result.outputs]
    return sum(
        VALUES[request.parts[0].tokens]
        for at, request in requests
        if at <= request.queued_at + request.goal_seconds
    )


@pytest.mark.parametrize("load", [1.7, 2.7])
def test_overloaded_engines_prefill_fewer_parts_again_and_answer_more_in_time(load):
    """Guards against repeated prefill of shared parts in a flood, which takes time from other requests."""
    before = play(load, weighs_waits=False)
    after = play(load, weighs_waits=True)
    assert after.repeated < 0.6 * before.repeated
    assert value_in_time(after) > value_in_time(before)


def test_everything_is_in_time_while_nothing_is_scarce():
    """Guards against waits for a cache where engines have time to spare."""
    before, after = play(0.4, weighs_waits=False), play(0.4, weighs_waits=True)
    assert after.in_time == after.arrived == before.in_time
    assert after.prefilled <= 1.02 * before.prefilled


def lowest_part_in_time(result: Result, load: float) -> float:
    """Return the lowest part of its prompt tokens that a customer other than the flooding one got in time."""
    asked, served = Counter(), Counter()
    for request in draw(load, seed=1):
        asked[request.customer] += request.prompt_tokens
    for at, start in result.outputs:
        if at <= start.request.queued_at + start.request.goal_seconds:
            served[start.request.customer] += start.request.prompt_tokens
    return min(served[customer] / asked[customer] for customer in asked if customer != "c0")


def test_customers_beside_a_flood_get_no_less_than_without_weighing():
    """Guards against caches of a flooding customer that draw the engines away from the others."""
    before, after = play(2.7, weighs_waits=False), play(2.7, weighs_waits=True)
    assert lowest_part_in_time(after, 2.7) > lowest_part_in_time(before, 2.7)
