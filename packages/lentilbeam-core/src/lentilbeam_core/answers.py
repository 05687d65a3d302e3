"""Assembles the answer to one request from the pieces that a target sends.

The assembler passes on each byte once and in order. It drops pieces of other
answers and bytes that it has passed on before. An answer is complete only
after an end mark with the length and digest of all bytes passed on.
"""

import collections
from collections.abc import Callable
import dataclasses
import enum
import hashlib

from lentilbeam_core import ids

MAX_FINDINGS = 16
"""Maximum number of findings kept for one answer; all are counted."""


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """A part of an answer, as a target sent it.

    Attributes:
        request_id: id of the request that it answers.
        offset: position of its first byte in the answer, as UTF-8.
        text: the part itself.
        cost: cost of the request so far, in the pool's cost units.
    """

    request_id: str
    offset: int
    text: str
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndMark:
    """The mark that a target sends at the end of an answer.

    Attributes:
        request_id: id of the request that it answers.
        length: length of the whole answer, in bytes of UTF-8.
        sha256: hex digest of the whole answer.
        cost: total cost of the request, in the pool's cost units.
    """

    request_id: str
    length: int
    sha256: str
    cost: float


Piece = Chunk | EndMark


class PieceFault(enum.Enum):
    """What is wrong with a piece."""

    CROSSED = "crossed"  # Belongs to another request's answer.
    REPEATED = "repeated"  # All its bytes were passed on before.
    GAP = "gap"  # Starts after the next expected byte.
    TRUNCATED = "truncated"  # An end mark that gives a greater length.
    AFTER_END = "after_end"  # Came after the end of the complete answer.
    MALFORMED = "malformed"  # Negative offset, or text with lone surrogates.
    CONFLICT = "conflict"  # Differs from bytes passed on before.
    WRONG_LENGTH = "wrong_length"  # An end mark that gives a smaller length.
    WRONG_DIGEST = "wrong_digest"  # An end mark with another digest.


UNRECOVERABLE_FAULTS = frozenset(
    {PieceFault.CONFLICT, PieceFault.WRONG_LENGTH, PieceFault.WRONG_DIGEST}
)
"""Faults after which the answer can no longer be completed."""


@dataclasses.dataclass(frozen=True, slots=True)
class PieceFinding:
    """A fault and its offset in the answer, in bytes of UTF-8."""

    fault: PieceFault
    offset: int


class AnswerAssembler:
    """Assembles the answer to one request.

    Attributes:
        request_id: id that every piece must carry.
        read_kept: see `__init__`.
        length: number of bytes passed on.
        is_complete: whether a matching end mark was received.
        is_damaged: whether an unrecoverable fault was found.
        findings: the first `MAX_FINDINGS` faults.
        fault_counts: number of all faults by kind.
        digest: SHA-256 of the bytes passed on.
    """

    def __init__(
        self,
        request_id: ids.RequestId,
        read_kept: Callable[[int, int], bytes] | None = None,
    ):
        """Starts an answer.

        Args:
            request_id: id that every piece must carry.
            read_kept: returns the bytes passed on between a start and an end
                offset, to check repeated bytes against; empty if they are
                no longer kept. If None, repeated bytes are not checked.
        """
        self.request_id = request_id
        self.read_kept = read_kept
        self.length = 0
        self.is_complete = False
        self.is_damaged = False
        self.findings: list[PieceFinding] = []
        self.fault_counts: collections.Counter[PieceFault] = (
            collections.Counter()
        )
        self.digest = hashlib.sha256()

    @property
    def sha256(self) -> str:
        """Hex digest of the bytes passed on."""
        return self.digest.hexdigest()

    @property
    def can_resume(self) -> bool:
        """Whether further pieces can still complete the answer."""
        return not self.is_complete and not self.is_damaged

    def add_piece(self, piece: Piece) -> bytes:
        """Processes a piece; returns its bytes to pass on, often none."""
        if piece.request_id != self.request_id:
            self._record_fault(PieceFault.CROSSED, self.length)
            return b""
        if self.is_damaged:
            return b""
        if self.is_complete:
            self._record_fault(PieceFault.AFTER_END, self.length)
            return b""
        if isinstance(piece, EndMark):
            self._check_end_mark(piece)
            return b""
        return self._add_chunk(piece)

    def describe_fault(self) -> str:
        """Returns a message that says why the answer is not complete."""
        if not self.findings:
            return f"no end mark after {self.length} bytes"
        last = self.findings[-1]
        return f"{last.fault.value} at {last.offset}, passed on {self.length}"

    def _add_chunk(self, chunk: Chunk) -> bytes:
        try:
            data = chunk.text.encode()
        except UnicodeEncodeError:
            self._record_fault(PieceFault.MALFORMED, self.length)
            return b""
        if chunk.offset < 0:
            self._record_fault(PieceFault.MALFORMED, chunk.offset)
            return b""
        if chunk.offset > self.length:
            self._record_fault(PieceFault.GAP, chunk.offset)
            return b""
        overlap = self.length - chunk.offset
        if not self._matches_kept(chunk.offset, data[:overlap]):
            self._record_fault(PieceFault.CONFLICT, chunk.offset)
            return b""
        if overlap and overlap >= len(data):
            self._record_fault(PieceFault.REPEATED, chunk.offset)
        return self._pass_on(data[overlap:])

    def _matches_kept(self, offset: int, data: bytes) -> bool:
        if self.read_kept is None:
            return True
        kept = self.read_kept(offset, offset + len(data))
        return not kept or kept == data

    def _pass_on(self, data: bytes) -> bytes:
        self.length += len(data)
        self.digest.update(data)
        return data

    def _check_end_mark(self, mark: EndMark) -> None:
        if mark.length > self.length:
            self._record_fault(PieceFault.TRUNCATED, self.length)
        elif mark.length < self.length:
            self._record_fault(PieceFault.WRONG_LENGTH, mark.length)
        elif mark.sha256 != self.sha256:
            self._record_fault(PieceFault.WRONG_DIGEST, self.length)
        else:
            self.is_complete = True

    def _record_fault(self, fault: PieceFault, offset: int) -> None:
        self.fault_counts[fault] += 1
        if len(self.findings) < MAX_FINDINGS:
            self.findings.append(PieceFinding(fault, offset))
        if fault in UNRECOVERABLE_FAULTS:
            self.is_damaged = True
