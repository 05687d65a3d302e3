"""Bookings between real processes that stop, fall silent or die."""

import asyncio

import pytest
import pytest_bdd

from demo import caller as caller_lib
from demo import verdict
from lentilbeam_core import outcome as outcome_lib
from tests.processes import acts
from tests.processes import happenings
from tests.processes import world as world_lib

Happening = happenings.Happening
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
    pytest_bdd.parsers.re(f"(?P<fault>{'|'.join(acts.ACTS)})"),
    target_fixture="happening",
)
def act(runner, world: World, fault: str) -> Happening:
    return runner.run(acts.ACTS[fault](world))


@pytest_bdd.then("no booking runs twice when asked for again")
def check_later(happening: Happening):
    results = happening.results + happening.later
    assert verdict.count_double_runs(results, happening.later_counts) == 0
    assert verdict.count_missing_runs(results, happening.later_counts) == 0
    assert [r.mismatches for r in happening.later if r.mismatches] == []


def check_tried_elsewhere(happening: Happening):
    assert any(result.broken_attempts for result in happening.results)
    reasons = {result.answer.reason for result in happening.results}
    assert "no_router_answered" not in reasons


def check_refused(happening: Happening):
    refused = outcome_lib.RefusalReason.CLAIM_LOG_UNAVAILABLE.value
    for result in happening.results:
        if result.spec.is_idempotent:
            check_completed([result])
            continue
        assert result.answer.reason == refused
        assert result.answer.retry_after_s
    check_completed(happening.later)


def check_all_complete(happening: Happening):
    check_completed(happening.results)


def check_cut_off(happening: Happening):
    unknown = outcome_lib.Outcome.OUTCOME_UNKNOWN
    check_completed([r for r in happening.results if r.spec.is_idempotent])
    bookings = verdict.select_non_idempotent(happening.results)
    assert any(r.answer.outcome is unknown for r in bookings)


def check_clear_end(happening: Happening):
    unknown = outcome_lib.Outcome.OUTCOME_UNKNOWN
    assert {r.answer.outcome for r in happening.results} == {unknown}


def check_answered_again(happening: Happening):
    assert any(result.broken_attempts for result in happening.results)
    check_completed(happening.results)


def check_completed(results: list[caller_lib.Result]):
    completed = outcome_lib.Outcome.COMPLETED
    assert [r for r in results if r.answer.outcome is not completed] == []


EFFECTS = {
    "callers tried elsewhere and learned what they may": check_tried_elsewhere,
    "bookings are refused meanwhile, and work later": check_refused,
    "all bookings complete in the end": check_all_complete,
    "streams go on, bookings are of unknown outcome": check_cut_off,
    "streams end as of unknown outcome": check_clear_end,
    "callers get their answers by another connection": check_answered_again,
}


@pytest_bdd.then(pytest_bdd.parsers.parse("the fault was felt: {effect}"))
def check_effect(happening: Happening, effect: str):
    EFFECTS[effect](happening)
