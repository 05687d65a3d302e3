"""Tests of assembling an answer from pieces and of storing answers.

Whatever pieces arrive, an answer that counts as complete must be correct.
"""

import collections
import hashlib

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from lentilbeam_core import answers
from lentilbeam_core import ids
from lentilbeam_core import kept_answers
from lentilbeam_core import request_key

OWN = ids.RequestId("own")
TEXTS = strategies.text("aé🙂", max_size=12)
SMALL_INTEGERS = strategies.integers(0, 12)


class AssemblerMachine(stateful.RuleBasedStateMachine):
    """Assembles an answer from foreign, repeated, reordered and cut pieces."""

    @stateful.initialize(text=TEXTS)
    def create_assembler(self, text):
        """Creates the assembler of an answer with the given text."""
        self.text = text
        self.expected = text.encode()
        self.received = b""
        self.assembler = answers.AnswerAssembler(
            OWN, lambda start, end: self.received[start:end]
        )

    @stateful.rule(start=SMALL_INTEGERS, count=SMALL_INTEGERS)
    def add_any_part(self, start, count):
        """Adds a part of the answer that starts at any character."""
        start = min(start, len(self.text))
        offset = len(self.text[:start].encode())
        part = self.text[start : start + count]
        self._add(answers.Chunk(OWN, offset, part, 0.0))

    @stateful.rule()
    def add_next_part(self):
        """Adds the bytes that follow the assembled ones."""
        remaining = self.expected[self.assembler.length :].decode(
            errors="ignore"
        )
        self._add(answers.Chunk(OWN, self.assembler.length, remaining[:3], 0.0))

    @stateful.rule(text=TEXTS, offset=SMALL_INTEGERS)
    def add_foreign_pieces(self, text, offset):
        """Adds a part and the end mark of another request's answer."""
        before = self.received
        self._add(answers.Chunk("other", offset, text, 0.0))
        self._add(_make_end_mark("other", text.encode()))
        assert self.received == before

    @stateful.rule(text=TEXTS, offset=strategies.integers(-2, 12))
    def add_wrong_part(self, text, offset):
        """Adds a wrong text with the right request id."""
        self._add(answers.Chunk(OWN, offset, text, 0.0))

    @stateful.rule()
    def add_end_mark(self):
        """Adds the correct end mark."""
        self._add(_make_end_mark(OWN, self.expected))

    @stateful.rule(length=SMALL_INTEGERS)
    def add_end_mark_with_any_length(self, length):
        """Adds an end mark with the right digest and any length."""
        digest = hashlib.sha256(self.expected).hexdigest()
        self._add(answers.EndMark(OWN, length, digest, 0.0))

    @stateful.invariant()
    def check_received(self):
        """Checks the length and, for a complete answer, the bytes."""
        if not hasattr(self, "assembler"):
            return
        assert self.assembler.length == len(self.received)
        if self.assembler.is_complete:
            assert self.received == self.expected

    def _add(self, piece: answers.Piece) -> None:
        self.received += self.assembler.add_piece(piece)


def _make_end_mark(request_id: str, data: bytes) -> answers.EndMark:
    digest = hashlib.sha256(data).hexdigest()
    return answers.EndMark(request_id, len(data), digest, 0.0)


TestAssembler = AssemblerMachine.TestCase
TestAssembler.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=300
)


SETTINGS = kept_answers.Settings(max_bytes=100, max_count=4, max_age_s=10.0)
KEYS = [
    request_key.RequestKey(ids.WorkspaceId("w"), ids.RequestId(str(n)))
    for n in range(8)
]


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["open", "grow", "end"]),
            strategies.sampled_from(KEYS),
            strategies.integers(0, 60),
        ),
        max_size=60,
    )
)
def test_stored_answers_stay_within_limits_and_ended_ones_go_first(steps):
    kept = kept_answers.KeptAnswers(SETTINGS)
    sizes: dict[request_key.RequestKey, int] = collections.defaultdict(int)
    for now, (step, key, byte_count) in enumerate(steps):
        is_new = step == "open"
        if is_new:
            kept.open(key)
            sizes[key] = 0
        elif step == "grow" and key in kept.sizes:
            kept.grow(key, byte_count)
            sizes[key] += byte_count
        elif step == "end":
            kept.end(key, float(now))
        running_before = set(kept.running)
        evicted = kept.evict(float(now))
        assert not (running_before & set(evicted)) or not kept.ended
        for evicted_key in evicted:
            del sizes[evicted_key]
        assert kept.total_bytes == sum(sizes.values()) <= SETTINGS.max_bytes
        assert len(kept.sizes) <= SETTINGS.max_count
        assert all(now - end <= 10 for end in kept.ended.values())
