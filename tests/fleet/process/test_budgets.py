"""Tests of the limits that all routers keep together."""

import pytest

from limpetusher.fleet.process.budgets import ColdLimit, RetryBudget, RetryBudgetSettings

ROUTERS = [f"10.0.0.{number}" for number in range(1, 9)]


@pytest.mark.parametrize("routers", [1, 8, 75])
def test_repeats_of_the_fleet_stay_within_the_bound(routers):
    """Guards against a retry storm when all targets fail: every router repeats whenever its budget allows."""
    settings = RetryBudgetSettings(ratio=0.2, extra=56.0, window_seconds=10.0)
    budgets = [RetryBudget(settings) for _ in range(routers)]
    per_router = 40
    repeats = []
    for step in range(300):
        now = step * 0.1
        for budget in budgets:
            if step % (300 // per_router) == 0:
                budget.earn(routers, now)
            if budget.spend(routers, now):
                repeats.append(now)
    for start in range(20):
        in_window = sum(start <= at < start + 10.0 for at in repeats)
        requests = routers * per_router / 3 + routers
        assert in_window <= 0.2 * requests + 56.0
    assert repeats


@pytest.mark.parametrize("per_second", [2.0, 9.0, 22.0])
def test_cold_target_gets_no_more_than_it_bears(per_second):
    """Guards against a cold target that falls over because each router sends its first request at once."""
    limits = {router: ColdLimit() for router in ROUTERS}
    sent = []
    for step in range(500):
        now = step * 0.01
        for router, limit in limits.items():
            if limit.allows("e1", per_second, router, ROUTERS, now):
                limit.sent("e1", per_second, len(ROUTERS), now)
                sent.append(now)
    worst = max(sum(start <= at < start + 1.0 for at in sent) for start in sent)
    assert worst <= per_second * 1.5 + 5
    assert len(sent) >= 0.7 * per_second * 5
