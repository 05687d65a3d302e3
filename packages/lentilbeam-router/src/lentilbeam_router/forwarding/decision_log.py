"""Log of decisions and state changes, written without blocking.

Each entry is a JSON line. Lines above the rate limit, and lines that the pipe
doesn't accept, are dropped; the next line written has their number in its field
`dropped`.
"""

import os
from typing import Any

import msgspec

from lentilbeam_core import clock as clock_lib

MAX_BYTES_PER_S = 64_000.0
"""Sustained rate that log collectors accept from a router: some 260 lines a
second."""
BURST_BYTES = 64_000.0
"""Maximum number of bytes that may be written at once after a pause."""


class DecisionLog:
    """Writes JSON lines to a file descriptor.

    Attributes:
        instance: ID of this router, part of each line.
        output: the file descriptor, which is set to non-blocking.
        allowance: bytes that may be written now.
        refilled_at: when `allowance` was last computed, monotonic seconds.
        dropped: lines dropped since the last one written.
        total_dropped: lines dropped since the start.
    """

    def __init__(self, clock: clock_lib.Clock, instance: str, output: int):
        self.clock = clock
        self.instance = instance
        self.output = output
        self.allowance = BURST_BYTES
        self.refilled_at = clock.monotonic()
        self.dropped = 0
        self.total_dropped = 0
        os.set_blocking(output, False)

    def write_request_event(
        self, request_id: str, event: str, **fields: Any
    ) -> None:
        """Writes a decision on a request.

        Args:
            request_id: request ID.
            event: what was decided.
            fields: further fields of the line.
        """
        self._write({"request": request_id, "event": event, **fields})

    def write_event(self, event: str, **fields: Any) -> None:
        """Writes a change of the router's state.

        Args:
            event: what changed.
            fields: further fields of the line.
        """
        self._write({"event": event, **fields})

    def _write(self, line: dict[str, Any]) -> None:
        now = self.clock.monotonic()
        refill = (now - self.refilled_at) * MAX_BYTES_PER_S
        self.allowance = min(self.allowance + refill, BURST_BYTES)
        self.refilled_at = now
        stamp = self.clock.now().isoformat(timespec="milliseconds")
        line = {"at": stamp, "instance": self.instance, **line}
        if self.dropped:
            line["dropped"] = self.dropped
        data = msgspec.json.encode(line) + b"\n"
        if len(data) > self.allowance:
            self._drop()
            return
        self.allowance -= len(data)
        try:
            os.write(self.output, data)
            self.dropped = 0
        except OSError:
            # The pipe is full or closed; the line counts as dropped.
            self._drop()

    def _drop(self) -> None:
        self.dropped += 1
        self.total_dropped += 1
