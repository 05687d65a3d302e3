"""Sums of reported work are reports again."""

import hypothesis
from hypothesis import strategies
import pytest

from lentilbeam_core import messages
from lentilbeam_core.forwarding import work_sums

WINDOW_S = 4.0
AMOUNTS = strategies.floats(0.0, 1e6)
LOADS = strategies.builds(
    messages.TargetLoad,
    target=strategies.sampled_from("abc"),
    unread=AMOUNTS,
    running=strategies.integers(1, 99),
    held=AMOUNTS,
    recent=AMOUNTS,
)
WORKS = strategies.lists(LOADS, unique_by=lambda load: load.target).map(
    lambda loads: work_sums.Work(tuple(loads))
)


def by_target(work):
    return {load.target: load for load in work.loads}


@hypothesis.given(WORKS, WORKS)
@hypothesis.settings(derandomize=True)
def test_what_was_added_can_be_taken_off(one, other):
    both = work_sums.sum_terms(map(work_sums.Term, (one, other)), WINDOW_S)
    terms = [work_sums.Term(both), work_sums.Term(other, sign=-1)]
    rest = by_target(work_sums.sum_terms(terms, WINDOW_S))
    for target, load in by_target(one).items():
        assert rest[target].running == load.running
        assert rest[target].unread == pytest.approx(load.unread, abs=1e-3)


def test_usage_counts_less_with_age_and_apart_by_pool():
    uses = (
        messages.WorkspaceUse("p", "w", 100.0, 200.0),
        messages.WorkspaceUse("q", "w", 7.0, 7.0),
    )
    work = work_sums.Work((), uses)
    terms = [work_sums.Term(work), work_sums.Term(work, age_s=WINDOW_S)]
    found = {u.pool: u for u in work_sums.sum_terms(terms, WINDOW_S).uses}
    assert found["p"].cost == pytest.approx(100.0 * (1 + 0.36788), rel=1e-3)
    assert found["q"].asked == pytest.approx(7.0 * (1 + 0.36788), rel=1e-3)


def test_a_sum_is_never_below_zero():
    more = work_sums.Work((messages.TargetLoad("t", 9.0, 2, 9.0, 9.0),))
    less = work_sums.Work((messages.TargetLoad("t", 1.0, 3, 1.0, 1.0),))
    terms = [work_sums.Term(less), work_sums.Term(more, sign=-1)]
    (load,) = work_sums.sum_terms(terms, WINDOW_S).loads
    assert (load.unread, load.held, load.recent) == (0.0, 0.0, 0.0)
