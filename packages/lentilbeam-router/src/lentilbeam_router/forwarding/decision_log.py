"""A line for each decision, on standard output, bounded and not blocking.

Lines beyond the rate are counted and reported with the next line that fits.
"""

import os
from typing import Any

import msgspec

from lentilbeam_core import clock as clock_lib

MAX_BYTES_PER_S = 64_000.0
"""What collectors take of a router for long; some 260 lines."""
BURST_BYTES = 64_000.0


class DecisionLog:
    """Writes JSON lines to a file descriptor.

    Attributes:
        dropped: lines left out since the last one written.
        dropped_in_all: lines left out since the start.
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

    def write_request_event(self, name: str, event: str, **fields: Any) -> None:
        """Writes a decision on a request."""
        self._write({"request": name, "event": event, **fields})

    def write_event(self, event: str, **fields: Any) -> None:
        """Writes a change of what this process believes."""
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
            # A full or closed pipe: the line is counted with the dropped.
            self._drop()

    def _drop(self) -> None:
        self.dropped += 1
        self.total_dropped += 1
