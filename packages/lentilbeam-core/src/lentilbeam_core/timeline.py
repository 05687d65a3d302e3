"""Ring buffer of a process's most recent events."""

import collections
import dataclasses

from lentilbeam_core import hlc
from lentilbeam_core import ids

CAPACITY_EVENTS = 4096
"""Default number of events that a timeline keeps."""


@dataclasses.dataclass(frozen=True, slots=True)
class TimelineEvent:
    """One change of state.

    Attributes:
        stamp: hybrid logical clock stamp, which orders events causally.
        instance: the instance that recorded the event.
        name: type of the event.
        subject: what the event is about, such as a request, pool, target or
            instance.
        detail: further information as text; may be empty.
    """

    stamp: int
    instance: ids.InstanceId
    name: str
    subject: str
    detail: str


class Timeline:
    """Keeps the latest `capacity` events; drops the oldest first."""

    def __init__(
        self,
        instance: ids.InstanceId,
        clock: hlc.HybridClock,
        capacity: int = CAPACITY_EVENTS,
    ):
        self.instance = instance
        self.clock = clock
        self.events: collections.deque[TimelineEvent] = collections.deque(
            maxlen=capacity
        )

    def record(self, name: str, subject: str, detail: str = "") -> None:
        """Adds an event, stamped with the current time."""
        stamp = self.clock.tick()
        self.events.append(
            TimelineEvent(stamp, self.instance, name, subject, detail)
        )

    def export(self) -> list[dict]:
        """Returns the events as JSON-compatible dicts, oldest first."""
        return [dataclasses.asdict(event) for event in self.events]
