"""The demonstration's checks find what they are there to find."""

from demo import caller as caller_lib
from demo import checks
from demo import request_specs
from demo import verdict
from lentilbeam_core import outcome as outcome_lib
from tests.standins import answers

ID = "01890000-0000-7000-8000-000000000001"
STREAM = request_specs.make_assistant_request(
    ID, "elm", 6, is_streamed=True, deadline_ms=1000
)
BOOKING = request_specs.make_booking_request(
    ID, "elm", "book", is_idempotent=False, deadline_ms=1000
)
KEY = f"elm/{ID}"
Outcome = outcome_lib.Outcome


def receive(*, cut: int, text: str, offset: int, request_id: str = ID):
    """Receives the answer in two chunks, the second one as given."""
    whole = STREAM.expected
    received = checks.ReceivedAnswer(STREAM)
    first = {"request_id": ID, "offset": 0, "text": whole[:cut]}
    second = {"request_id": request_id, "offset": offset, "text": text}
    at = received.add_chunk(0, first)
    received.add_chunk(at, second)
    end = {
        "request_id": ID,
        "length": len(whole.encode()),
        "sha256": answers.digest_of(whole),
    }
    received.check_end(end)
    return received


def test_answers_are_compared_byte_for_byte():
    cut = 5
    text = STREAM.expected[cut:]
    at = len(STREAM.expected[:cut].encode())
    assert receive(cut=cut, text=text, offset=at).mismatches == []
    assert "chunk's offset" in receive(cut=cut, text=text, offset=0).mismatches
    wrong = text.swapcase()
    mismatches = receive(cut=cut, text=wrong, offset=at).mismatches
    assert mismatches == ["chunk's text", "whole text"]
    mismatches = receive(cut=cut, text=text[:-1], offset=at).mismatches
    assert mismatches == ["whole text"]
    mismatches = receive(
        cut=cut, text=text, offset=at, request_id="x"
    ).mismatches
    assert mismatches == ["chunk's id"]


def test_a_resent_request_may_start_again():
    received = checks.ReceivedAnswer(STREAM)
    body = {"request_id": ID, "offset": 0, "text": STREAM.expected[:4]}
    received.add_chunk(0, body)
    received.add_chunk(0, body | {"text": STREAM.expected})
    assert bytes(received.data).decode() == STREAM.expected
    assert received.mismatches == []


def end_booking(outcome: Outcome, *broken_attempts: caller_lib.BrokenAttempt):
    """Returns the result of a booking."""
    answer = caller_lib.decide_final_answer(
        caller_lib.Answer(outcome), list(broken_attempts)
    )
    return caller_lib.Result(
        BOOKING, answer, list(broken_attempts), [], 1, 0.0, 1.0
    )


def test_bookings_are_held_against_their_runs():
    refused = [end_booking(Outcome.REFUSED_NOT_RUN)]
    completed = [end_booking(Outcome.COMPLETED)]
    assert verdict.count_false_refusals(refused, {KEY: 1}) == 1
    assert verdict.count_false_refusals(refused, {}) == 0
    assert verdict.count_double_runs(completed, {KEY: 2}) == 1
    assert verdict.count_double_runs(completed, {KEY: 1}) == 0
    assert verdict.count_missing_runs(completed, {}) == 1


def test_a_planned_stop_is_charged_with_what_it_broke():
    observations = verdict.FleetObservations({}, "r1", 5.0, [], [])
    late = caller_lib.BrokenAttempt("r1", True, "cut", 6.0)
    early = caller_lib.BrokenAttempt("r1", True, "cut", 4.0)
    other = caller_lib.BrokenAttempt("r2", True, "cut", 6.0)
    ends = [end_booking(Outcome.REFUSED_NOT_RUN, late, early, other)]
    assert verdict.count_broken_by_stop(ends, observations) == 1
    assert ends[0].answer.outcome is Outcome.OUTCOME_UNKNOWN


def test_only_what_may_be_repeated_is_sent_again():
    unknown = caller_lib.Answer(Outcome.OUTCOME_UNKNOWN)
    later = caller_lib.Answer(Outcome.REFUSED_NOT_RUN, retry_after_s=1.0)
    assert caller_lib.should_retry(STREAM, unknown)
    assert not caller_lib.should_retry(BOOKING, unknown)
    assert caller_lib.should_retry(BOOKING, later)
