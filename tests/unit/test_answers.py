"""Whatever pieces arrive, a complete answer is the right one."""

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
POSITIONS = strategies.integers(0, 12)


class AssemblerMachine(stateful.RuleBasedStateMachine):
    """One answer under crossed, repeated, reordered and cut pieces."""

    @stateful.initialize(text=TEXTS)
    def start(self, text):
        """Starts an answer."""
        self.text = text
        self.whole = text.encode()
        self.passed_on = b""
        self.assembler = answers.AnswerAssembler(
            OWN, lambda start, end: self.passed_on[start:end]
        )

    @stateful.rule(first=POSITIONS, count=POSITIONS)
    def send_part(self, first, count):
        """Sends any part of the answer, in any order."""
        first = min(first, len(self.text))
        offset = len(self.text[:first].encode())
        part = self.text[first : first + count]
        self._take(answers.Chunk(OWN, offset, part, 0.0))

    @stateful.rule()
    def send_next_part(self):
        """Sends a part that is next in line."""
        rest = self.whole[self.assembler.length :].decode(errors="ignore")
        self._take(answers.Chunk(OWN, self.assembler.length, rest[:3], 0.0))

    @stateful.rule(text=TEXTS, offset=POSITIONS)
    def send_crossed(self, text, offset):
        """Sends a part of another answer."""
        before = self.passed_on
        self._take(answers.Chunk("other", offset, text, 0.0))
        self._take(_end_mark("other", text.encode()))
        assert self.passed_on == before

    @stateful.rule(text=TEXTS, offset=strategies.integers(-2, 12))
    def send_forged(self, text, offset):
        """Sends a wrong text under the right id."""
        self._take(answers.Chunk(OWN, offset, text, 0.0))

    @stateful.rule()
    def send_end(self):
        """Sends the right end mark."""
        self._take(_end_mark(OWN, self.whole))

    @stateful.rule(length=POSITIONS)
    def send_wrong_length(self, length):
        """Sends an end mark with the right digest and any length."""
        digest = hashlib.sha256(self.whole).hexdigest()
        self._take(answers.EndMark(OWN, length, digest, 0.0))

    @stateful.invariant()
    def check(self):
        """A complete answer is the right one, and nothing is lost."""
        if not hasattr(self, "assembler"):
            return
        assert self.assembler.length == len(self.passed_on)
        if self.assembler.is_complete:
            assert self.passed_on == self.whole

    def _take(self, piece: answers.Piece) -> None:
        self.passed_on += self.assembler.add_piece(piece)


def _end_mark(name: str, whole: bytes) -> answers.EndMark:
    digest = hashlib.sha256(whole).hexdigest()
    return answers.EndMark(name, len(whole), digest, 0.0)


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
def test_kept_answers_stay_within_bounds_and_ended_ones_go_first(steps):
    kept = kept_answers.KeptAnswers(SETTINGS)
    sizes: dict[request_key.RequestKey, int] = collections.defaultdict(int)
    for now, (step, key, number) in enumerate(steps):
        is_new = step == "open"
        if is_new:
            kept.open(key)
            sizes[key] = 0
        elif step == "grow" and key in kept.sizes:
            kept.grow(key, number)
            sizes[key] += number
        elif step == "end":
            kept.end(key, float(now))
        was_running = set(kept.running)
        evicted = kept.evict(float(now))
        assert not (was_running & set(evicted)) or not kept.ended
        for gone in evicted:
            del sizes[gone]
        assert kept.total_bytes == sum(sizes.values()) <= SETTINGS.max_bytes
        assert len(kept.sizes) <= SETTINGS.max_count
        assert all(now - end <= 10 for end in kept.ended.values())
