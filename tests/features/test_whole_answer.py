"""Steps of the feature on whole answers."""

import hashlib

import pytest_bdd
from pytest_bdd import parsers

from lentilbeam_core import answers
from lentilbeam_core import ids

OWN = ids.RequestId("own")
OTHER = ids.RequestId("other")
COST = 1.0

pytest_bdd.scenarios("whole_answer.feature")
when = pytest_bdd.when
then = pytest_bdd.then


class Exchange:
    """An answer in pieces, and what was passed on of it."""

    def __init__(self, text: str, size: int):
        self.whole = text.encode()
        self.parts = [text[i : i + size] for i in range(0, len(text), size)]
        self.passed_on = b""
        self.assembler = answers.AnswerAssembler(OWN, self._read_kept)

    def _read_kept(self, start: int, end: int) -> bytes:
        return self.passed_on[start:end]

    def send(self, index: int, name: ids.RequestId, text: str) -> None:
        """Lets a piece arrive that stands where part `index` does."""
        offset = len("".join(self.parts[:index]).encode())
        chunk = answers.Chunk(name, offset, text, COST)
        self.passed_on += self.assembler.add_piece(chunk)

    def end(self, name: ids.RequestId) -> None:
        """Lets the end mark arrive."""
        digest = hashlib.sha256(self.whole).hexdigest()
        mark = answers.EndMark(name, len(self.whole), digest, COST)
        assert self.assembler.add_piece(mark) == b""


@pytest_bdd.given(
    parsers.parse('the answer "{text}" in pieces of {size:d} characters'),
    target_fixture="exchange",
)
def start(text, size):
    return Exchange(text, size)


@when(parsers.parse("piece {index:d} arrives"))
def send_piece(exchange, index):
    exchange.send(index, OWN, exchange.parts[index])


@when(parsers.parse("pieces {first:d} to {last:d} arrive"))
def send_pieces(exchange, first, last):
    for index in range(first, last + 1):
        send_piece(exchange, index)


@when(parsers.parse("piece {index:d} of another answer arrives"))
def send_crossed(exchange, index):
    exchange.send(index, OTHER, "x" * len(exchange.parts[index]))


@when(parsers.parse("a different piece {index:d} arrives"))
def send_different(exchange, index):
    exchange.send(index, OWN, "x" * len(exchange.parts[index].encode()))


@when("the end mark arrives")
def send_end(exchange):
    exchange.end(OWN)


@when("the end mark of another answer arrives")
def send_crossed_end(exchange):
    exchange.end(OTHER)


@then("the answer is complete and as it was sent")
def check_complete(exchange):
    assert exchange.assembler.is_complete
    assert exchange.passed_on == exchange.whole


@then("the answer is not complete")
def check_incomplete(exchange):
    assert not exchange.assembler.is_complete


@then("the answer can be resumed")
def check_resumable(exchange):
    assert exchange.assembler.can_resume


@then("the answer can't be resumed")
def check_damaged(exchange):
    assert not exchange.assembler.can_resume
