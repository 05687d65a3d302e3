"""The demonstration's checks find what they are there to find."""

from demo import caller as caller_lib
from demo import checks
from demo import orders
from demo import verdict
from lentilbeam_core import outcome as outcome_lib
from tests.standins import answers

ID = "01890000-0000-7000-8000-000000000001"
STREAM = orders.make_assistant_order(
    ID, "elm", 6, is_streamed=True, deadline_ms=1000
)
BOOKING = orders.make_booking_order(
    ID, "elm", "book", is_idempotent=False, deadline_ms=1000
)
KEY = f"elm/{ID}"
Outcome = outcome_lib.Outcome


def receive(*, cut: int, text: str, offset: int, request_id: str = ID):
    """Receives the answer in two chunks, the second one as given."""
    whole = STREAM.expected
    received = checks.Received(STREAM)
    first = {"request_id": ID, "offset": 0, "text": whole[:cut]}
    second = {"request_id": request_id, "offset": offset, "text": text}
    at = received.take_chunk(0, first)
    received.take_chunk(at, second)
    end = {
        "request_id": ID,
        "length": len(whole.encode()),
        "sha256": answers.compute_digest(whole),
    }
    received.take_end(end)
    return received


def test_answers_are_compared_byte_for_byte():
    cut = 5
    text = STREAM.expected[cut:]
    at = len(STREAM.expected[:cut].encode())
    assert receive(cut=cut, text=text, offset=at).damages == []
    assert "chunk's offset" in receive(cut=cut, text=text, offset=0).damages
    wrong = text.swapcase()
    damages = receive(cut=cut, text=wrong, offset=at).damages
    assert damages == ["chunk's text", "whole text"]
    damages = receive(cut=cut, text=text[:-1], offset=at).damages
    assert damages == ["whole text"]
    damages = receive(cut=cut, text=text, offset=at, request_id="x").damages
    assert damages == ["chunk's id"]


def test_a_resent_request_may_start_again():
    received = checks.Received(STREAM)
    body = {"request_id": ID, "offset": 0, "text": STREAM.expected[:4]}
    received.take_chunk(0, body)
    received.take_chunk(0, body | {"text": STREAM.expected})
    assert bytes(received.data).decode() == STREAM.expected
    assert received.damages == []


def end_booking(outcome: Outcome, *breaks: caller_lib.Break):
    """Returns the result of a booking."""
    answer = caller_lib.conclude(caller_lib.Answer(outcome), list(breaks))
    return caller_lib.Result(BOOKING, answer, list(breaks), [], 1, 0.0, 1.0)


def test_bookings_are_held_against_their_runs():
    refused = [end_booking(Outcome.REFUSED_NOT_RUN)]
    completed = [end_booking(Outcome.COMPLETED)]
    assert verdict.count_false_refusals(refused, {KEY: 1}) == 1
    assert verdict.count_false_refusals(refused, {}) == 0
    assert verdict.count_repeats(completed, {KEY: 2}) == 1
    assert verdict.count_repeats(completed, {KEY: 1}) == 0
    assert verdict.count_phantoms(completed, {}) == 1


def test_a_planned_stop_is_charged_with_what_it_broke():
    facts = verdict.Facts({}, "r1", 5.0, [], [])
    late = caller_lib.Break("r1", True, "cut", 6.0)
    early = caller_lib.Break("r1", True, "cut", 4.0)
    other = caller_lib.Break("r2", True, "cut", 6.0)
    ends = [end_booking(Outcome.REFUSED_NOT_RUN, late, early, other)]
    assert verdict.count_cuts(ends, facts) == 1
    assert ends[0].answer.outcome is Outcome.OUTCOME_UNKNOWN


def test_only_what_may_be_repeated_is_sent_again():
    unknown = caller_lib.Answer(Outcome.OUTCOME_UNKNOWN)
    later = caller_lib.Answer(Outcome.REFUSED_NOT_RUN, retry_after_s=1.0)
    assert caller_lib.is_retry_right(STREAM, unknown)
    assert not caller_lib.is_retry_right(BOOKING, unknown)
    assert caller_lib.is_retry_right(BOOKING, later)
