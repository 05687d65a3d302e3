"""Splits an event stream into whole events and checks their ids.

Only whole events are passed on, so that a stream that breaks off in the
middle of one can go on at another target after the last event passed on.
"""

import re

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([0-9]+)[ ]*(?=[\r\n]|$)")


class OutOfOrderError(ValueError):
    """An event is missing, or comes twice."""


class EventStreamParser:
    """State of one answer that is a stream of events.

    Attributes:
        last_id: id of the last event passed on, if events have ids.
        rest: bytes of an event that isn't whole yet.
        count: whole events seen.
    """

    def __init__(self, last_event_id: int | None = None):
        self.last_event_id = last_event_id
        self.partial_event = b""
        self.event_count = 0

    def feed(self, data: bytes) -> bytes:
        """Returns the bytes of all events that are whole now.

        Raises:
            OutOfOrderError: an event's id does not follow the one before.
        """
        self.partial_event += data
        start = 0
        for match in _EVENT_END.finditer(self.partial_event):
            self._check(self.partial_event[start : match.end()])
            start = match.end()
        whole, self.partial_event = (
            self.partial_event[:start],
            self.partial_event[start:],
        )
        return whole

    def restart(self) -> None:
        """Forgets an event that was cut off."""
        self.partial_event = b""

    def _check(self, event: bytes) -> None:
        found = _EVENT_ID.search(event)
        if found is None:
            return
        number = int(found[1])
        if self.last_event_id is not None and number != self.last_event_id + 1:
            raise OutOfOrderError(f"event {number} after {self.last_event_id}")
        self.last_event_id = number
        self.event_count += 1
