"""Tests of the limits of what counts against a customer."""

import math

import pytest

from limpetusher.fleet.process.fair_levels import max_min_share
from limpetusher.fleet.process.served_tokens import MAX_PRESENT_SHARES, SUM_SECONDS, ServedTokens

STEP_SECONDS = 0.01


def serve(served: ServedTokens, since: float, seconds: float, **per_second: tuple[float, float]) -> float:
    """Let customers ask for tokens and get them, by their rates, and return the time at the end."""
    for step in range(round(seconds / STEP_SECONDS)):
        served.decay(since + step * STEP_SECONDS)
        for customer, (asked, got) in per_second.items():
            served.add_asked(customer, asked * STEP_SECONDS)
            served.add(customer, got * STEP_SECONDS)
        served.limit_to_shares()
    return since + seconds


@pytest.mark.parametrize(
    ("demands", "capacity", "share"),
    [
        ({}, 0.0, math.inf),
        ({"a": 10.0, "b": 20.0}, 30.0, math.inf),
        ({"a": 10.0, "b": 20.0}, 25.0, 15.0),
        ({"a": 10.0, "b": 20.0}, 12.0, 6.0),
        ({"a": 10.0}, 0.0, 0.0),
    ],
)
def test_max_min_share(demands, capacity, share):
    assert max_min_share(demands, capacity) == share


def test_sums_are_not_limited_while_everything_is_served():
    served = ServedTokens()
    serve(served, 0.0, 10.0, large=(50_000.0, 50_000.0), small=(1_000.0, 1_000.0))
    assert served.total("large") == served.served_total("large")


def test_sums_are_not_limited_in_a_steady_overload():
    """Guards against forgetting differences in service that customers have to make up for."""
    served = ServedTokens()
    serve(served, 0.0, 10.0, large=(50_000.0, 12_000.0), other=(50_000.0, 8_000.0), small=(1_000.0, 1_000.0))
    assert served.total("large") == served.served_total("large")


def test_lead_is_limited_soon_after_capacity_was_lost():
    """Guards against a customer that waits for seconds until others were served as much."""
    served = ServedTokens()
    now = serve(served, 0.0, 10.0, large=(50_000.0, 50_000.0), other=(5_000.0, 5_000.0))
    serve(served, now, 3.0, large=(50_000.0, 0.0), other=(20_000.0, 4_000.0))
    limit = MAX_PRESENT_SHARES * SUM_SECONDS * 4_000.0 / 2
    assert 0.5 * limit < served.total("large") <= limit
    assert served.served_total("large") > 3 * limit
    assert served.total("other") == served.served_total("other")


def test_service_by_other_schedulers_is_not_limited():
    """Guards against a limit by the rates of this scheduler for what others have served."""
    served = ServedTokens()
    served.update_remote("10.0.0.2", {"large": 80_000.0}, 0.0)
    served.add_asked("large", 1_000.0)
    served.add("large", 100.0)
    served.limit_to_shares()
    assert served.total("large") == pytest.approx(80_100.0)
