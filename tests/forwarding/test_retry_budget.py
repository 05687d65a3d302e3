"""All routers together stay within the fleet's budget of repeats."""

import hypothesis
from hypothesis import strategies

from lentilbeam_core.forwarding import retry_budget

SETTINGS = retry_budget.Settings(ratio=0.2, extra=54.0, window_s=10.0)


@hypothesis.given(
    strategies.integers(1, 12), strategies.integers(0, 300), strategies.data()
)
@hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
def test_routers_that_hear_nothing_of_each_other_keep_it(routers, count, data):
    budgets = [retry_budget.RetryBudget(SETTINGS) for _ in range(routers)]
    taken = 0
    for step in range(count):
        budget = budgets[data.draw(strategies.integers(0, routers - 1))]
        budget.note_request(step * 0.01)
        for _ in range(2):
            taken += budget.try_acquire(step * 0.01, routers)
    assert taken <= SETTINGS.ratio * count + SETTINGS.extra


def test_repeats_are_allowed_again_after_the_window():
    budget = retry_budget.RetryBudget(SETTINGS)
    while budget.try_acquire(0.0, 1):
        pass
    assert not budget.try_acquire(9.9, 1)
    assert budget.try_acquire(10.1, 1)


def test_a_busy_pool_earns_repeats():
    budget = retry_budget.RetryBudget(SETTINGS)
    for _ in range(1000):
        budget.note_request(0.0)
    taken = 0
    while budget.try_acquire(0.0, 100):
        taken += 1
    assert 100 <= taken <= 200
