"""Tests of the checks that the demo runs on responses and outcomes."""

from demo import caller as caller_lib
from demo import checks
from demo import request_specs
from demo import verdict
from lentilbeam_core import outcome as outcome_lib
from tests.standins import answers

REQUEST_ID = "01890000-0000-7000-8000-000000000001"
STREAM = request_specs.make_assistant_request(
    REQUEST_ID, "elm", 6, is_streamed=True, deadline_ms=1000
)
BOOKING = request_specs.make_booking_request(
    REQUEST_ID, "elm", "book", is_idempotent=False, deadline_ms=1000
)
KEY = f"elm/{REQUEST_ID}"
Outcome = outcome_lib.Outcome


def receive_answer(
    *, cut: int, text: str, offset: int, request_id: str = REQUEST_ID
):
    """Receives an answer in two chunks, of which the second may be wrong.

    Args:
        cut: number of characters in the first chunk, which is correct.
        text: text of the second chunk.
        offset: offset of the second chunk, in bytes.
        request_id: request id of the second chunk.

    Returns:
        What was received, with the mismatches found.
    """
    expected = STREAM.expected
    received = checks.ReceivedAnswer(STREAM)
    first = {"request_id": REQUEST_ID, "offset": 0, "text": expected[:cut]}
    second = {"request_id": request_id, "offset": offset, "text": text}
    next_offset = received.add_chunk(0, first)
    received.add_chunk(next_offset, second)
    end = {
        "request_id": REQUEST_ID,
        "length": len(expected.encode()),
        "sha256": answers.compute_digest(expected),
    }
    received.check_end(end)
    return received


def test_answers_are_compared_byte_for_byte():
    cut = 5
    text = STREAM.expected[cut:]
    offset = len(STREAM.expected[:cut].encode())
    assert receive_answer(cut=cut, text=text, offset=offset).mismatches == []
    assert (
        "chunk's offset"
        in receive_answer(cut=cut, text=text, offset=0).mismatches
    )
    wrong_text = text.swapcase()
    mismatches = receive_answer(
        cut=cut, text=wrong_text, offset=offset
    ).mismatches
    assert mismatches == ["chunk's text", "whole text"]
    mismatches = receive_answer(
        cut=cut, text=text[:-1], offset=offset
    ).mismatches
    assert mismatches == ["whole text"]
    mismatches = receive_answer(
        cut=cut, text=text, offset=offset, request_id="x"
    ).mismatches
    assert mismatches == ["chunk's id"]


def test_a_retried_answer_may_restart_at_offset_0():
    received = checks.ReceivedAnswer(STREAM)
    body = {"request_id": REQUEST_ID, "offset": 0, "text": STREAM.expected[:4]}
    received.add_chunk(0, body)
    received.add_chunk(0, body | {"text": STREAM.expected})
    assert bytes(received.data).decode() == STREAM.expected
    assert received.mismatches == []


def make_booking_result(
    outcome: Outcome, *broken_attempts: caller_lib.BrokenAttempt
):
    """Returns the result of a booking.

    Args:
        outcome: outcome in the caller's last answer.
        *broken_attempts: connections of the caller that broke.
    """
    answer = caller_lib.decide_final_answer(
        caller_lib.Answer(outcome), list(broken_attempts)
    )
    return caller_lib.Result(
        BOOKING, answer, list(broken_attempts), [], 1, 0.0, 1.0
    )


def test_booking_outcomes_are_compared_with_the_actual_runs():
    refused = [make_booking_result(Outcome.REFUSED_NOT_RUN)]
    completed = [make_booking_result(Outcome.COMPLETED)]
    assert verdict.count_false_refusals(refused, {KEY: 1}) == 1
    assert verdict.count_false_refusals(refused, {}) == 0
    assert verdict.count_double_runs(completed, {KEY: 2}) == 1
    assert verdict.count_double_runs(completed, {KEY: 1}) == 0
    assert verdict.count_missing_runs(completed, {}) == 1


def test_only_attempts_broken_at_the_router_after_its_stop_are_counted():
    observations = verdict.FleetObservations({}, "r1", 5.0, [], [])
    after_stop = caller_lib.BrokenAttempt("r1", True, "cut", 6.0)
    before_stop = caller_lib.BrokenAttempt("r1", True, "cut", 4.0)
    other_router = caller_lib.BrokenAttempt("r2", True, "cut", 6.0)
    results = [
        make_booking_result(
            Outcome.REFUSED_NOT_RUN, after_stop, before_stop, other_router
        )
    ]
    assert verdict.count_broken_by_stop(results, observations) == 1
    assert results[0].answer.outcome is Outcome.OUTCOME_UNKNOWN


def test_only_idempotent_or_refused_requests_are_retried():
    unknown = caller_lib.Answer(Outcome.OUTCOME_UNKNOWN)
    refused = caller_lib.Answer(Outcome.REFUSED_NOT_RUN, retry_after_s=1.0)
    assert caller_lib.should_retry(STREAM, unknown)
    assert not caller_lib.should_retry(BOOKING, unknown)
    assert caller_lib.should_retry(BOOKING, refused)
