"""Compares a received answer with the expected one, byte for byte."""

import dataclasses
from typing import Any

from demo import request_specs
from tests.standins import answers


@dataclasses.dataclass(slots=True)
class ReceivedAnswer:
    """The part of an answer that a caller has received so far.

    Attributes:
        spec: the request, with the expected answer.
        data: bytes of the answer, without gaps, from its beginning.
        mismatches: a short text for each difference from the expected answer.
    """

    spec: request_specs.RequestSpec
    data: bytearray = dataclasses.field(default_factory=bytearray)
    mismatches: list[str] = dataclasses.field(default_factory=list)

    def add_chunk(self, offset: int, body: dict[str, Any]) -> int:
        """Checks and adds one chunk; returns the offset of the next one.

        Args:
            offset: byte offset at which this chunk must begin. It is lower
                than the length of `data` if the request was sent again and
                its answer is streamed again from the beginning.
            body: JSON body of the chunk event.
        """
        self._check(body["request_id"] == self.spec.request_id, "chunk's id")
        self._check(body["offset"] == offset, "chunk's offset")
        text = body["text"].encode()
        end = offset + len(text)
        expected = self.spec.expected.encode()[offset:end]
        self._check(text == expected, "chunk's text")
        if end > len(self.data):
            self.data[offset:] = text
        return end

    def set_whole_answer(self, body: dict[str, Any]) -> None:
        """Adds and checks an answer that was not streamed.

        Args:
            body: JSON body of the response.
        """
        self.data[:] = body["output"].encode()
        self.check_end(body)

    def check_end(self, body: dict[str, Any]) -> None:
        """Checks an answer at its end: ID, length, digest and text.

        Args:
            body: JSON body of the end event, or of the whole response.
        """
        expected = self.spec.expected
        self._check(body["request_id"] == self.spec.request_id, "end's id")
        self._check(body["length"] == len(expected.encode()), "end's length")
        self._check(
            body["sha256"] == answers.compute_digest(expected), "end's digest"
        )
        self._check(bytes(self.data) == expected.encode(), "whole text")

    def _check(self, is_right: bool, what: str) -> None:
        """Records a mismatch of the named part if `is_right` is false."""
        if not is_right:
            self.mismatches.append(what)
