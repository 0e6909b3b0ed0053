"""Tests of the limits that schedulers keep."""

import pytest

from limpetusher.fleet.process.budgets import ColdLimit, RetryBudget, RetryBudgetSettings


@pytest.mark.parametrize("pools", [1, 6])
def test_repeats_of_the_fleet_stay_within_the_bound(pools):
    """Guards against a retry storm when all targets fail: each scheduler repeats as often as it may."""
    settings = RetryBudgetSettings(ratio=0.2, extra=56.0, window_seconds=10.0)
    budgets = [RetryBudget(settings) for _ in range(pools)]
    per_pool = 40
    repeats = []
    for step in range(300):
        now = step * 0.1
        for budget in budgets:
            if step % (300 // per_pool) == 0:
                budget.earn(pools, now)
            if budget.spend(pools, now):
                repeats.append(now)
    for start in range(20):
        in_window = sum(start <= at < start + 10.0 for at in repeats)
        requests = pools * per_pool / 3 + pools
        assert in_window <= 0.2 * requests + 56.0
    assert repeats


@pytest.mark.parametrize("schedulers", [1, 2])
@pytest.mark.parametrize("per_second", [2.0, 9.0, 22.0])
def test_cold_target_gets_no_more_than_it_bears(per_second, schedulers):
    """Guards against a cold target that falls over while two routers believe that they schedule it."""
    limits = [ColdLimit() for _ in range(schedulers)]
    sent = []
    for step in range(500):
        now = step * 0.01
        for limit in limits:
            if limit.allows("e1", now):
                limit.sent("e1", per_second, now)
                sent.append(now)
    worst = max(sum(start <= at < start + 1.0 for at in sent) for start in sent)
    assert worst <= per_second * 1.5 + 5
    assert len(sent) >= 0.7 * per_second * 5
