"""The table of endings agrees with the one rule and with the document."""

import pathlib

from lentilbeam_core import endings
from lentilbeam_core import outcome

DOCUMENT = pathlib.Path(__file__).parents[2] / "docs" / "OUTCOMES.md"


def test_rows_follow_the_one_rule():
    own = [e for e in endings.Ending if e.name != "CLAIMED_ELSEWHERE"]
    for ending in own:
        row = ending.value
        assert outcome.decide_outcome(row.exchange) is row.outcome, row.name


def test_each_refusal_reason_is_a_row_and_no_byte_was_handed_over():
    refused = {
        e.value.name
        for e in endings.Ending
        if e.value.outcome is outcome.Outcome.REFUSED_NOT_RUN
    }
    assert refused == {reason.value for reason in outcome.RefusalReason}


def test_document_holds_the_table():
    table = DOCUMENT.read_text().split("\n\n")[-1].strip()
    assert table == endings.render_table()


def test_a_lost_claim_is_only_called_failed_or_unknown():
    unknown = outcome.Outcome.OUTCOME_UNKNOWN
    failed = outcome.Outcome.FAILED_BY_TARGET
    assert endings.decide_lost_claim(failed) is failed
    for ended in {None, *outcome.Outcome} - {failed}:
        assert endings.decide_lost_claim(ended) is unknown
