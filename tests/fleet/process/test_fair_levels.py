"""Tests of the max-min fair shares of customers with waiting requests."""

import math

import pytest

from limpetusher.fleet.process.fair_levels import FairLevels, WaitingTokens


def test_least_served_customer_is_served_up_to_the_level_of_the_next():
    """Guards against shares in proportion to the size of a customer's queue."""
    levels = FairLevels(
        {"a": 100.0, "b": 400.0},
        {"a": WaitingTokens(10_000.0, 10_000.0), "b": WaitingTokens(10_000.0, 10_000.0)},
    )
    assert levels.prefill_tokens_up_to(400.0) == pytest.approx(300.0)
    assert levels.level(300.0) == pytest.approx(400.0, abs=1.0)
    assert levels.level(1_300.0) == pytest.approx(900.0, abs=1.0)


def test_share_unused_by_a_small_queue_goes_to_the_others():
    """Guards against throughput reserved for a customer without waiting requests."""
    levels = FairLevels({}, {"a": WaitingTokens(500.0, 500.0), "b": WaitingTokens(10_000.0, 10_000.0)})
    assert levels.level(4_500.0) == pytest.approx(4_000.0, abs=1.0)


def test_cached_tokens_count_for_the_share_and_not_for_prefill():
    """Guards against levels in the wrong unit: half of the share-relevant tokens are cached."""
    levels = FairLevels({}, {"a": WaitingTokens(8_000.0, 4_000.0)})
    assert levels.prefill_tokens_up_to(2_000.0) == pytest.approx(1_000.0)


def test_level_is_infinite_without_remaining_work():
    """Guards against holding requests back although the engines have capacity for all."""
    assert FairLevels({}, {}).level(0.0) == math.inf
    assert FairLevels({}, {"a": WaitingTokens(500.0, 500.0)}).level(500.0) == math.inf
    assert FairLevels({"a": 7.0}, {"a": WaitingTokens(0.0, 0.0)}).level(0.0) == math.inf
