"""Steps that all features of whole processes share."""

import pytest_bdd

from demo import verdict
from tests.processes import happenings


@pytest_bdd.then("every request ended in a typed outcome")
def check_typed(happening: happenings.Happening):
    assert happening.untyped == []
    assert happening.results


@pytest_bdd.then("no answer is damaged")
def check_damages(happening: happenings.Happening):
    assert [r.mismatches for r in happening.results if r.mismatches] == []


@pytest_bdd.then(
    "no booking ran twice, or ran although it was refused as not run"
)
def check_bookings(happening: happenings.Happening):
    results, counts = happening.results, happening.counts
    assert verdict.count_double_runs(results, counts) == 0
    assert verdict.count_false_refusals(results, counts) == 0


@pytest_bdd.then("no process had a fault of its own")
def check_faults(happening: happenings.Happening):
    results = happening.results + happening.later
    assert verdict.count_router_faults(results) == 0
    assert happening.tracebacks == []
