"""Tests of how the outcome follows from the exchange with the target."""

import itertools

from lentilbeam_core import outcome


def test_an_exchange_that_handed_over_no_byte_is_refused_not_run():
    for end in outcome.TargetEnd:
        exchange = outcome.Exchange(byte_handed_over=False, end=end)
        decided = outcome.decide_outcome(exchange)
        assert decided is outcome.Outcome.REFUSED_NOT_RUN


def test_an_exchange_that_handed_over_a_byte_is_never_refused_not_run():
    for byte_handed_over, end in itertools.product([True], outcome.TargetEnd):
        exchange = outcome.Exchange(byte_handed_over=byte_handed_over, end=end)
        decided = outcome.decide_outcome(exchange)
        assert decided is not outcome.Outcome.REFUSED_NOT_RUN


def test_a_broken_exchange_has_an_unknown_outcome():
    exchange = outcome.Exchange(True, outcome.TargetEnd.BROKEN)
    decided = outcome.decide_outcome(exchange)
    assert decided is outcome.Outcome.OUTCOME_UNKNOWN
