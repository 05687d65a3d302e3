"""The outcome of a request follows from what was handed over."""

import itertools

from lentilbeam_core import outcome


def test_no_byte_handed_over_means_not_run():
    for end in outcome.TargetEnd:
        exchange = outcome.Exchange(byte_handed_over=False, end=end)
        decided = outcome.decide_outcome(exchange)
        assert decided is outcome.Outcome.REFUSED_NOT_RUN


def test_a_handed_over_byte_is_never_called_not_run():
    for handed, end in itertools.product([True], outcome.TargetEnd):
        exchange = outcome.Exchange(byte_handed_over=handed, end=end)
        decided = outcome.decide_outcome(exchange)
        assert decided is not outcome.Outcome.REFUSED_NOT_RUN


def test_a_broken_exchange_is_unknown():
    exchange = outcome.Exchange(True, outcome.TargetEnd.BROKEN)
    decided = outcome.decide_outcome(exchange)
    assert decided is outcome.Outcome.OUTCOME_UNKNOWN
