"""A bounded ring of the latest events of one process."""

import collections
import dataclasses

from lentilbeam_core import hlc
from lentilbeam_core import ids

CAPACITY_EVENTS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class TimelineEvent:
    """One change of state.

    Attributes:
        stamp: hybrid logical clock stamp; orders events causally.
        subject: the request, workspace, target or instance concerned.
    """

    stamp: int
    instance: ids.InstanceId
    name: str
    subject: str
    detail: str


class Timeline:
    """The latest events of one process, oldest dropped first."""

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
        """Adds an event that happens now."""
        stamp = self.clock.tick()
        self.events.append(
            TimelineEvent(stamp, self.instance, name, subject, detail)
        )

    def export(self) -> list[dict]:
        """Returns the events for JSON, oldest first."""
        return [dataclasses.asdict(event) for event in self.events]
