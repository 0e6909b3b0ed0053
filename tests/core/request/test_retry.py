"""Retry budgets."""

from builders_decision import make_settings
from limpetusher.core.request.retry import FLEET_BURST_FACTOR, RetryBudgets


def count_affordable_retries(budgets, customer):
    count = 0
    while budgets.try_spend(customer):
        count += 1
    return count


def test_one_customer_cannot_spend_the_budget_of_the_fleet():
    """Guards against a failing customer that leaves no retries for the others."""
    budgets = RetryBudgets(make_settings(retry_burst=10.0))
    assert count_affordable_retries(budgets, "alpha") == 10
    assert count_affordable_retries(budgets, "beta") == 10 * (FLEET_BURST_FACTOR - 1)
    assert count_affordable_retries(budgets, "gamma") == 0


def test_only_complete_answers_earn_retries():
    """Guards against retries that grow with the load while all targets fail."""
    budgets = RetryBudgets(make_settings(retry_burst=10.0, retry_ratio=0.125))
    count_affordable_retries(budgets, "alpha")
    for _ in range(8):
        budgets.completed("alpha")
    assert count_affordable_retries(budgets, "alpha") == 1


def test_removed_customers_are_forgotten():
    """Guards against memory that grows with customers that no longer exist."""
    budgets = RetryBudgets(make_settings())
    budgets.try_spend("alpha")
    budgets.keep_customers({"beta"})
    assert budgets.customers == {}
