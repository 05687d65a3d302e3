"""Tests that the endings agree with `decide_outcome` and `docs/OUTCOMES.md`."""

import pathlib

from lentilbeam_core import endings
from lentilbeam_core import outcome

DOCUMENT = pathlib.Path(__file__).parents[2] / "docs" / "OUTCOMES.md"


def test_outcomes_of_endings_match_decide_outcome():
    # CLAIMED_ELSEWHERE: the exchange, if any, was that of another process.
    own_endings = [e for e in endings.Ending if e.name != "CLAIMED_ELSEWHERE"]
    for ending in own_endings:
        row = ending.value
        assert outcome.decide_outcome(row.exchange) is row.outcome, row.name


def test_refusal_reasons_are_the_endings_that_were_not_run():
    names = {
        e.value.name
        for e in endings.Ending
        if e.value.outcome is outcome.Outcome.REFUSED_NOT_RUN
    }
    assert names == {reason.value for reason in outcome.RefusalReason}


def test_document_contains_the_rendered_table():
    table = DOCUMENT.read_text().split("\n\n")[-1].strip()
    assert table == endings.render_table()


def test_a_lost_claim_ends_as_failed_or_unknown():
    unknown = outcome.Outcome.OUTCOME_UNKNOWN
    failed = outcome.Outcome.FAILED_BY_TARGET
    assert endings.decide_lost_claim(failed) is failed
    for run_outcome in {None, *outcome.Outcome} - {failed}:
        assert endings.decide_lost_claim(run_outcome) is unknown
