"""Copies of keyed state over datagrams that may be lost or reordered.

Every message lists all that changed since the last acknowledged one, so
any single one brings the receiver up to date.
"""

from collections.abc import Hashable
import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """How often messages may be sent.

    Attributes:
        batch_s: least time between two messages.
        interval_s: the longest such time on average, while paced.
        burst: messages that may run ahead of the average.
        resend_s: urgent state is sent again after this time without answer,
            while paced.
        eager_resend_s: the same while not paced.
    """

    batch_s: float = 0.004
    interval_s: float = 0.0
    burst: int = 3
    resend_s: float = 0.1
    unpaced_resend_s: float = 0.06


class StateSender:
    """The sender's side: knows what the receiver may not have yet.

    Attributes:
        interval_s: least time between two messages on average; 0 for
            messages that are not paced.
    """

    def __init__(self, pace: Pace):
        self.pace = pace
        self.sequence = 0
        self.acknowledged = 0
        self.values: dict[Hashable, object] = {}
        self.changed: dict[Hashable, int] = {}
        self.scheduled_at = math.inf
        self.sent_at = -math.inf
        self.urgent_sequence = 0
        self.paced_until = -math.inf
        self.interval_s = 0.0

    def set_interval(self, interval_s: float) -> None:
        """Sets the average pace, within the bound of the settings."""
        self.interval_s = min(interval_s, self.pace.interval_s)

    def put(
        self,
        key: Hashable,
        value: object,
        due: float,
        is_urgent: bool = True,
    ) -> bool:
        """Sets the value of `key`; returns whether that is a change.

        A change is sent by `due`, in monotonic seconds, and if it is urgent
        then again until it is acknowledged. Others ride along.
        """
        if self.values.get(key) == value:
            return False
        self.values[key] = value
        self.changed[key] = self.sequence + 1
        if is_urgent:
            self.urgent_sequence = self.sequence + 1
        self.schedule_send(due)
        return True

    def skip_pacing(self) -> None:
        """Lets the next message go ahead of the average pace."""
        self.paced_until = -math.inf

    def is_urgent(self) -> bool:
        """Tells whether an urgent change is not acknowledged yet."""
        return self.urgent_sequence > self.acknowledged

    def schedule_send(self, due: float) -> None:
        """Asks for a message by `due`, even one that lists nothing."""
        self.scheduled_at = min(self.scheduled_at, due)

    def collect(self, now: float) -> list[object]:
        """Returns the values for the next message and counts it as sent."""
        self.sequence += 1
        self.sent_at = now
        self.paced_until = max(self.paced_until, now) + self.interval_s
        self.scheduled_at = math.inf
        return [self.values[key] for key in self.changed]

    def acknowledge(self, sequence: int) -> list[Hashable] | None:
        """Returns the keys whose value has arrived, or None if no news."""
        if not self.acknowledged < sequence <= self.sequence:
            return None
        self.acknowledged = sequence
        arrived = [k for k, s in self.changed.items() if s <= sequence]
        for key in arrived:
            del self.changed[key]
        return arrived

    def due(self) -> float:
        """Returns when to send next; infinite if all is acknowledged."""
        allowed_at = self._allowed_at()
        scheduled_at = max(self.scheduled_at, allowed_at)
        if not self.is_urgent():
            return scheduled_at
        pace = self.pace
        resend_s = pace.resend_s if self.interval_s else pace.unpaced_resend_s
        return min(scheduled_at, max(self.sent_at + resend_s, allowed_at))

    def _allowed_at(self) -> float:
        batched_at = self.sent_at + self.pace.batch_s
        if not self.interval_s:
            return batched_at
        ahead_s = self.interval_s * self.pace.burst
        return max(batched_at, self.paced_until - ahead_s)


class StateReceiver:
    """The receiver's side: drops what is old and acknowledges what is whole."""

    def __init__(self):
        self.latest_sequence = 0
        self.parts_seen: set[int] = set()
        self.complete_sequence = 0

    def accept(self, sequence: int, part: int, parts: int) -> bool:
        """Returns whether the message is to be taken in."""
        if (
            sequence < self.latest_sequence
            or sequence == self.complete_sequence
        ):
            return False
        if sequence > self.latest_sequence:
            self.latest_sequence = sequence
            self.parts_seen = set()
        self.parts_seen.add(part)
        if len(self.parts_seen) == parts:
            self.complete_sequence = sequence
        return True


def split_parts(items: list[object], most: int) -> list[list[object]]:
    """Returns `items` in lists of up to `most`; one empty list if none."""
    return [items[i : i + most] for i in range(0, len(items), most)] or [[]]


def filter_by_type(items: list[object], kind: type) -> tuple:
    """Returns those of `items` that are of `kind`, in their order."""
    return tuple(item for item in items if isinstance(item, kind))
