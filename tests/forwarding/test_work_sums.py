"""Sums and differences of the work in load reports."""

import hypothesis
from hypothesis import strategies
import pytest

from lentilbeam_core import messages
from lentilbeam_core.forwarding import work_sums

DECAY_S = 4.0
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


def index_by_target(work):
    """Returns the loads by name of the target."""
    return {load.target: load for load in work.loads}


@hypothesis.given(WORKS, WORKS)
@hypothesis.settings(derandomize=True)
def test_subtraction_reverses_addition(one, other):
    both = work_sums.sum_terms(map(work_sums.Term, (one, other)), DECAY_S)
    terms = [work_sums.Term(both), work_sums.Term(other, sign=-1)]
    rest = index_by_target(work_sums.sum_terms(terms, DECAY_S))
    for target, load in index_by_target(one).items():
        assert rest[target].running == load.running
        assert rest[target].unread == pytest.approx(load.unread, abs=1e-3)


def test_usage_decays_with_age_and_is_summed_by_pool():
    uses = (
        messages.WorkspaceUse("p", "w", 100.0, 200.0),
        messages.WorkspaceUse("q", "w", 7.0, 7.0),
    )
    work = work_sums.Work((), uses)
    terms = [work_sums.Term(work), work_sums.Term(work, age_s=DECAY_S)]
    uses_by_pool = {
        use.pool: use for use in work_sums.sum_terms(terms, DECAY_S).uses
    }
    assert uses_by_pool["p"].cost == pytest.approx(
        100.0 * (1 + 0.36788), rel=1e-3
    )
    assert uses_by_pool["q"].asked == pytest.approx(
        7.0 * (1 + 0.36788), rel=1e-3
    )


def test_sum_is_never_negative():
    more = work_sums.Work((messages.TargetLoad("t", 9.0, 2, 9.0, 9.0),))
    less = work_sums.Work((messages.TargetLoad("t", 1.0, 3, 1.0, 1.0),))
    terms = [work_sums.Term(less), work_sums.Term(more, sign=-1)]
    (load,) = work_sums.sum_terms(terms, DECAY_S).loads
    assert (load.unread, load.held, load.recent) == (0.0, 0.0, 0.0)


@hypothesis.given(WORKS, WORKS, strategies.floats(0.0, 3.0))
@hypothesis.settings(derandomize=True)
def test_subtraction_of_a_report_is_a_sum_with_a_negative_term(
    one, other, age_s
):
    """A router would count its own work twice, or not that of others."""
    both = work_sums.sum_terms(map(work_sums.Term, (one, other)), DECAY_S)
    own = work_sums.Term(other, age_s)
    rest = work_sums.subtract(both, [own], DECAY_S)
    whole = work_sums.sum_terms(
        [work_sums.Term(both), work_sums.Term(other, age_s, sign=-1)], DECAY_S
    )
    assert index_by_target(rest) == index_by_target(whole)
    assert (rest.routers, rest.demands) == (whole.routers, whole.demands)
