"""Steps shared by `process_failures.feature` and `process_faults.feature`."""

import pytest_bdd

from demo import verdict
from tests.processes import scenario_record


@pytest_bdd.then("every request ended with a typed outcome")
def check_typed(record: scenario_record.ScenarioRecord):
    assert record.untyped_errors == []
    assert record.results


@pytest_bdd.then("no answer differs from the expected one")
def check_mismatches(record: scenario_record.ScenarioRecord):
    assert [r.mismatches for r in record.results if r.mismatches] == []


@pytest_bdd.then(
    "no booking ran twice or was refused as not run although it ran"
)
def check_bookings(record: scenario_record.ScenarioRecord):
    results, counts = record.results, record.run_counts
    assert verdict.count_double_runs(results, counts) == 0
    assert verdict.count_false_refusals(results, counts) == 0


@pytest_bdd.then("no process had an internal fault")
def check_faults(record: scenario_record.ScenarioRecord):
    results = record.results + record.retried
    assert verdict.count_router_faults(results) == 0
    assert record.tracebacks == []
