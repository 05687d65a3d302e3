"""Retry budget: the routers together stay within the budget of the fleet."""

import hypothesis
from hypothesis import strategies

from lentilbeam_core.forwarding import retry_budget

SETTINGS = retry_budget.Settings(ratio=0.2, extra=54.0, window_s=10.0)


@hypothesis.given(
    strategies.integers(1, 12), strategies.integers(0, 300), strategies.data()
)
@hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
def test_routers_that_do_not_communicate_stay_within_the_budget(
    routers, steps, data
):
    budgets = [retry_budget.RetryBudget(SETTINGS) for _ in range(routers)]
    retries = 0
    for step in range(steps):
        budget = budgets[data.draw(strategies.integers(0, routers - 1))]
        budget.note_request(step * 0.01)
        for _ in range(2):
            retries += budget.try_acquire(step * 0.01, routers)
    assert retries <= SETTINGS.ratio * steps + SETTINGS.extra


def test_retries_are_allowed_again_after_the_window():
    budget = retry_budget.RetryBudget(SETTINGS)
    while budget.try_acquire(0.0, 1):
        pass
    assert not budget.try_acquire(9.9, 1)
    assert budget.try_acquire(10.1, 1)


def test_budget_grows_with_the_number_of_requests():
    budget = retry_budget.RetryBudget(SETTINGS)
    for _ in range(1000):
        budget.note_request(0.0)
    retries = 0
    while budget.try_acquire(0.0, 100):
        retries += 1
    assert 100 <= retries <= 200
