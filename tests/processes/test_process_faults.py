"""Steps of `process_faults.feature`: bookings while processes fail."""

import asyncio

import pytest
import pytest_bdd

from demo import caller as caller_lib
from demo import verdict
from lentilbeam_core import outcome as outcome_lib
from tests.processes import disturbances
from tests.processes import scenario_record
from tests.processes import world as world_lib

ScenarioRecord = scenario_record.ScenarioRecord
World = world_lib.World

pytest_bdd.scenarios("process_faults.feature")


@pytest.fixture(scope="module")
def runner():
    with asyncio.Runner() as runner:
        yield runner


@pytest.fixture(scope="module")
def world(runner, tmp_path_factory):
    world = world_lib.World(tmp_path_factory.mktemp("fleet"))
    try:
        runner.run(world.start())
        yield world
    finally:
        runner.run(world.stop())


@pytest_bdd.when(
    pytest_bdd.parsers.re(f"(?P<fault>{'|'.join(disturbances.DISTURBANCES)})"),
    target_fixture="record",
)
def disturb_fleet(runner, world: World, fault: str) -> ScenarioRecord:
    return runner.run(disturbances.DISTURBANCES[fault](world))


@pytest_bdd.then("no booking runs twice when it is sent again")
def check_retries(record: ScenarioRecord):
    results = record.results + record.retried
    assert verdict.count_double_runs(results, record.retry_run_counts) == 0
    assert verdict.count_missing_runs(results, record.retry_run_counts) == 0
    assert [r.mismatches for r in record.retried if r.mismatches] == []


def check_tried_elsewhere(record: ScenarioRecord):
    assert any(result.broken_attempts for result in record.results)
    reasons = {result.answer.reason for result in record.results}
    assert "no_router_answered" not in reasons


def check_refused(record: ScenarioRecord):
    refused = outcome_lib.RefusalReason.CLAIM_LOG_UNAVAILABLE.value
    for result in record.results:
        if result.spec.is_idempotent:
            check_completed([result])
            continue
        assert result.answer.reason == refused
        assert result.answer.retry_after_s
    check_completed(record.retried)


def check_all_complete(record: ScenarioRecord):
    check_completed(record.results)


def check_silent_targets(record: ScenarioRecord):
    unknown = outcome_lib.Outcome.OUTCOME_UNKNOWN
    check_completed([r for r in record.results if r.spec.is_idempotent])
    bookings = verdict.select_non_idempotent(record.results)
    assert any(r.answer.outcome is unknown for r in bookings)


def check_silent_engine(record: ScenarioRecord):
    unknown = outcome_lib.Outcome.OUTCOME_UNKNOWN
    assert {r.answer.outcome for r in record.results} == {unknown}


def check_answered_again(record: ScenarioRecord):
    assert any(result.broken_attempts for result in record.results)
    check_completed(record.results)


def check_completed(results: list[caller_lib.Result]):
    completed = outcome_lib.Outcome.COMPLETED
    assert [r for r in results if r.answer.outcome is not completed] == []


EFFECTS = {
    "callers retried and all got an answer": check_tried_elsewhere,
    "bookings are refused meanwhile and complete later": check_refused,
    "all bookings complete in the end": check_all_complete,
    "streams complete, some bookings end as unknown": check_silent_targets,
    "all requests end as unknown": check_silent_engine,
    "callers get their answers on another connection": check_answered_again,
}


@pytest_bdd.then(
    pytest_bdd.parsers.parse("the fault had this effect: {effect}")
)
def check_effect(record: ScenarioRecord, effect: str):
    EFFECTS[effect](record)
