"""Tests of the max-min shares of customers whose requests wait."""

import math

import pytest

from limpetusher.fleet.process.shares import FairLevels, WaitingWork


def test_least_served_customer_is_served_up_to_the_level_of_the_next():
    """Guards against shares by the size of a customer's queue."""
    levels = FairLevels(
        {"a": 100.0, "b": 400.0}, {"a": WaitingWork(10_000.0, 10_000.0), "b": WaitingWork(10_000.0, 10_000.0)}
    )
    assert levels.reading_tokens(400.0) == pytest.approx(300.0)
    assert levels.level(300.0) == pytest.approx(400.0, abs=1.0)
    assert levels.level(1_300.0) == pytest.approx(900.0, abs=1.0)


def test_small_queue_leaves_its_rest_to_the_others():
    """Guards against throughput that is reserved for a customer without work."""
    levels = FairLevels({}, {"a": WaitingWork(500.0, 500.0), "b": WaitingWork(10_000.0, 10_000.0)})
    assert levels.level(4_500.0) == pytest.approx(4_000.0, abs=1.0)


def test_cached_tokens_count_for_the_share_and_not_for_the_reading():
    """Guards against levels in the wrong unit: half of what counts for the share is cached."""
    levels = FairLevels({}, {"a": WaitingWork(8_000.0, 4_000.0)})
    assert levels.reading_tokens(2_000.0) == pytest.approx(1_000.0)


def test_level_is_infinite_when_all_is_read():
    """Guards against holding requests back although the engines have room for all."""
    assert FairLevels({}, {}).level(0.0) == math.inf
    assert FairLevels({}, {"a": WaitingWork(500.0, 500.0)}).level(500.0) == math.inf
    assert FairLevels({"a": 7.0}, {"a": WaitingWork(0.0, 0.0)}).level(0.0) == math.inf
