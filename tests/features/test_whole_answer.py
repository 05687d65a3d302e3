"""Steps of `whole_answer.feature`: assembly of an answer from its pieces."""

import hashlib

import pytest_bdd
from pytest_bdd import parsers

from lentilbeam_core import answers
from lentilbeam_core import ids

OWN_ID = ids.RequestId("own")
OTHER_ID = ids.RequestId("other")
COST = 1.0

pytest_bdd.scenarios("whole_answer.feature")
when = pytest_bdd.when
then = pytest_bdd.then


class Exchange:
    """An answer that arrives in pieces, and the part forwarded so far.

    Attributes:
        answer: the complete answer, in UTF-8.
        parts: the answer in pieces of at most `size` characters.
        forwarded: bytes that the assembler released for the caller.
        assembler: the assembler under test.
    """

    def __init__(self, text: str, size: int):
        self.answer = text.encode()
        self.parts = [text[i : i + size] for i in range(0, len(text), size)]
        self.forwarded = b""
        self.assembler = answers.AnswerAssembler(OWN_ID, self._read_forwarded)

    def _read_forwarded(self, start: int, end: int) -> bytes:
        return self.forwarded[start:end]

    def deliver_piece(
        self, index: int, request_id: ids.RequestId, text: str
    ) -> None:
        """Delivers a piece at the offset of a part of the answer.

        Args:
            index: index of the part.
            request_id: id of the request that the piece claims to answer.
            text: text of the piece.
        """
        offset = len("".join(self.parts[:index]).encode())
        chunk = answers.Chunk(request_id, offset, text, COST)
        self.forwarded += self.assembler.add_piece(chunk)

    def deliver_end_mark(self, request_id: ids.RequestId) -> None:
        """Delivers the end mark.

        Args:
            request_id: id of the request that the end mark claims to answer.
        """
        digest = hashlib.sha256(self.answer).hexdigest()
        mark = answers.EndMark(request_id, len(self.answer), digest, COST)
        assert self.assembler.add_piece(mark) == b""


@pytest_bdd.given(
    parsers.parse('the answer "{text}" in pieces of {size:d} characters'),
    target_fixture="exchange",
)
def start(text, size):
    return Exchange(text, size)


@when(parsers.parse("piece {index:d} arrives"))
def deliver_piece(exchange, index):
    exchange.deliver_piece(index, OWN_ID, exchange.parts[index])


@when(parsers.parse("pieces {first:d} to {last:d} arrive"))
def deliver_pieces(exchange, first, last):
    for index in range(first, last + 1):
        deliver_piece(exchange, index)


@when(parsers.parse("piece {index:d} of another answer arrives"))
def deliver_foreign_piece(exchange, index):
    exchange.deliver_piece(index, OTHER_ID, "x" * len(exchange.parts[index]))


@when(parsers.parse("a different piece {index:d} arrives"))
def deliver_different_piece(exchange, index):
    exchange.deliver_piece(
        index, OWN_ID, "x" * len(exchange.parts[index].encode())
    )


@when("the end mark arrives")
def deliver_end_mark(exchange):
    exchange.deliver_end_mark(OWN_ID)


@when("the end mark of another answer arrives")
def deliver_foreign_end_mark(exchange):
    exchange.deliver_end_mark(OTHER_ID)


@then("the forwarded answer is complete and unchanged")
def check_complete(exchange):
    assert exchange.assembler.is_complete
    assert exchange.forwarded == exchange.answer


@then("the answer is not complete")
def check_incomplete(exchange):
    assert not exchange.assembler.is_complete


@then("the answer can be resumed")
def check_resumable(exchange):
    assert exchange.assembler.can_resume


@then("the answer cannot be resumed")
def check_not_resumable(exchange):
    assert not exchange.assembler.can_resume
