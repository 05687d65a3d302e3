"""Replicates keyed state over datagrams that may be lost or reordered.

Each message lists all values that changed since the last acknowledged
message, so any one message brings the receiver up to date.
"""

from collections.abc import Hashable
import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """How often messages may be sent. All times are in seconds.

    A sender is paced while `StateSender.interval_s` is above 0.

    Attributes:
        batch_s: minimum time between two messages.
        max_interval_s: highest value that `StateSender.interval_s` may have.
        burst: number of messages that may be sent ahead of the average rate.
        resend_s: how long a paced sender waits for an acknowledgement before
            it resends urgent values.
        unpaced_resend_s: the same for a sender that is not paced.
    """

    batch_s: float = 0.004
    max_interval_s: float = 0.0
    burst: int = 3
    resend_s: float = 0.1
    unpaced_resend_s: float = 0.06


class StateSender:
    """Tracks which values the receiver has not acknowledged.

    Attributes:
        pace: limits of the send rate.
        sequence: sequence number of the last message sent.
        acknowledged: highest sequence number that was acknowledged.
        values: latest value of each key.
        changed: for each key with an unacknowledged change, the sequence
            number of the first message that holds the change.
        scheduled_at: monotonic time at which the scheduled message is due,
            before pacing; infinite if none is scheduled.
        sent_at: monotonic time of the last message.
        urgent_sequence: sequence number of the first message that holds the
            latest urgent change.
        paced_until: monotonic time at which the average rate allows the next
            message, without burst.
        interval_s: minimum average time between two messages, in seconds; 0
            if messages are not paced.
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
        """Sets `interval_s`, limited to `Pace.max_interval_s`."""
        self.interval_s = min(interval_s, self.pace.max_interval_s)

    def put(
        self,
        key: Hashable,
        value: object,
        due: float,
        is_urgent: bool = True,
    ) -> bool:
        """Sets the value of `key` and schedules a message if it changed.

        Args:
            key: the key.
            value: its new value.
            due: monotonic time, in seconds, at which the change should be
                sent; pacing may delay it.
            is_urgent: whether to resend the change until it is acknowledged.
                Any other change is scheduled once, for `due`, and after that
                only included in messages that are sent anyway.

        Returns:
            Whether the value changed.
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
        """Lets the next message exceed the average rate."""
        self.paced_until = -math.inf

    def has_unacknowledged_urgent(self) -> bool:
        """Returns whether an urgent change is still unacknowledged."""
        return self.urgent_sequence > self.acknowledged

    def schedule_send(self, due: float) -> None:
        """Schedules a message for `due`, even if no value has changed."""
        self.scheduled_at = min(self.scheduled_at, due)

    def collect(self, now: float) -> list[object]:
        """Returns the values of the next message and marks it as sent."""
        self.sequence += 1
        self.sent_at = now
        self.paced_until = max(self.paced_until, now) + self.interval_s
        self.scheduled_at = math.inf
        return [self.values[key] for key in self.changed]

    def acknowledge(self, sequence: int) -> list[Hashable] | None:
        """Processes an acknowledgement.

        Returns:
            The keys whose latest value has arrived, or None if `sequence` was
            already acknowledged or was never sent.
        """
        if not self.acknowledged < sequence <= self.sequence:
            return None
        self.acknowledged = sequence
        arrived = [k for k, s in self.changed.items() if s <= sequence]
        for key in arrived:
            del self.changed[key]
        return arrived

    def next_due_at(self) -> float:
        """Returns when to send the next message, in monotonic seconds.

        Returns infinity if no message is scheduled and no urgent change is
        unacknowledged.
        """
        allowed_at = self._allowed_at()
        scheduled_at = max(self.scheduled_at, allowed_at)
        if not self.has_unacknowledged_urgent():
            return scheduled_at
        pace = self.pace
        resend_s = pace.resend_s if self.interval_s else pace.unpaced_resend_s
        return min(scheduled_at, max(self.sent_at + resend_s, allowed_at))

    def _allowed_at(self) -> float:
        batched_at = self.sent_at + self.pace.batch_s
        if not self.interval_s:
            return batched_at
        burst_s = self.interval_s * self.pace.burst
        return max(batched_at, self.paced_until - burst_s)


class StateReceiver:
    """Drops outdated messages and tracks which sequence is complete.

    Attributes:
        latest_sequence: highest sequence number received.
        parts_seen: parts of that sequence that have arrived.
        complete_sequence: highest sequence number of which all parts have
            arrived, to be acknowledged to the sender.
    """

    def __init__(self):
        self.latest_sequence = 0
        self.parts_seen: set[int] = set()
        self.complete_sequence = 0

    def accept(self, sequence: int, part: int, parts: int) -> bool:
        """Returns whether to process the message; False if it is outdated."""
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


def split_parts(items: list[object], max_items: int) -> list[list[object]]:
    """Splits `items` into lists of at most `max_items` items.

    Returns one empty list if there are no items.
    """
    return [
        items[i : i + max_items] for i in range(0, len(items), max_items)
    ] or [[]]


def filter_by_type(items: list[object], kind: type) -> tuple:
    """Returns the items that are instances of `kind`, in order."""
    return tuple(item for item in items if isinstance(item, kind))
