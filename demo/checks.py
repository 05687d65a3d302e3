"""Checks of an answer, byte for byte, as it arrives."""

import dataclasses
from typing import Any

from demo import orders
from tests.standins import answers


@dataclasses.dataclass(slots=True)
class Received:
    """What a caller holds of one answer so far.

    Attributes:
        data: bytes received in order.
        damages: what was wrong with the parts that arrived.
    """

    order: orders.Order
    data: bytearray = dataclasses.field(default_factory=bytearray)
    damages: list[str] = dataclasses.field(default_factory=list)

    def take_chunk(self, offset: int, body: dict[str, Any]) -> int:
        """Checks one chunk of a stream; returns the next one's offset.

        Args:
            offset: where this connection's stream has come to. It is lower
                than the length of `data` when a request was sent anew.
            body: the chunk event.
        """
        self._check(body["request_id"] == self.order.request_id, "chunk's id")
        self._check(body["offset"] == offset, "chunk's offset")
        text = body["text"].encode()
        end = offset + len(text)
        expected = self.order.expected.encode()[offset:end]
        self._check(text == expected, "chunk's text")
        if end > len(self.data):
            self.data[offset:] = text
        return end

    def take_whole(self, body: dict[str, Any]) -> None:
        """Checks the body of a whole answer."""
        self.data[:] = body["output"].encode()
        self.take_end(body)

    def take_end(self, body: dict[str, Any]) -> None:
        """Checks an answer that is told to be complete."""
        expected = self.order.expected
        self._check(body["request_id"] == self.order.request_id, "end's id")
        self._check(body["length"] == len(expected.encode()), "end's length")
        self._check(
            body["sha256"] == answers.compute_digest(expected), "end's digest"
        )
        self._check(bytes(self.data) == expected.encode(), "whole text")

    def _check(self, is_right: bool, what: str) -> None:
        if not is_right:
            self.damages.append(what)
