"""Parser that splits an event stream into events and checks their ids.

Only complete events are forwarded. If the connection breaks within an event,
the stream can therefore be resumed at another target after the last event
that was forwarded.
"""

import re

MAX_EVENT_BYTES = 65_536
"""Largest event that is forwarded. Events hold a few hundred bytes."""

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_OPENING = re.compile(rb"((:|retry:)[^\r\n]*[\r\n]+)+")
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([0-9]+)[ ]*(?=[\r\n]|$)")


class InvalidStreamError(ValueError):
    """The stream can't be forwarded."""


class OutOfOrderError(InvalidStreamError):
    """Raised if an event id isn't the successor of the previous one."""


class UnnumberedError(InvalidStreamError):
    """Raised if a stream goes on with an event that has no numeric id."""


class EventTooLongError(InvalidStreamError):
    """Raised if an event is longer than `MAX_EVENT_BYTES`."""


class EventStreamParser:
    """Parses one server-sent event stream.

    Attributes:
        last_event_id: id of the last complete event that had a numeric id,
            or at first the id to resume after; None if there is none.
        partial_event: bytes of an event that isn't complete yet.
        numbered_event_count: number of complete events with a numeric id.
        expects_number: whether the next event must have a numeric id, as it
            must where another target goes on with the stream: what it tells
            of a failure has none. Comments and retry times may come before.
    """

    def __init__(self, last_event_id: int | None = None):
        self.last_event_id = last_event_id
        self.partial_event = b""
        self.numbered_event_count = 0
        self.expects_number = False

    def feed(self, data: bytes) -> bytes:
        """Adds received bytes and returns the bytes of all complete events.

        If it raises, none of the events that `data` completes were returned,
        and none of them count.

        Raises:
            OutOfOrderError: an event id isn't the previous one plus 1.
            UnnumberedError: an event has no numeric id but must have one.
            EventTooLongError: an event that isn't complete yet is too long.
        """
        counted = self.last_event_id, self.numbered_event_count
        try:
            return self._split(data)
        except InvalidStreamError:
            self.last_event_id, self.numbered_event_count = counted
            raise

    def discard_partial_event(self) -> None:
        """Discards the partial event, before the stream is resumed."""
        self.partial_event = b""

    def _split(self, data: bytes) -> bytes:
        self.partial_event += data
        start = 0
        for match in _EVENT_END.finditer(self.partial_event):
            self._check(self.partial_event[start : match.end()])
            start = match.end()
        complete, self.partial_event = (
            self.partial_event[:start],
            self.partial_event[start:],
        )
        if len(self.partial_event) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"event over {MAX_EVENT_BYTES} bytes")
        return complete

    def _check(self, event: bytes) -> None:
        found = _EVENT_ID.search(event)
        if found is None:
            if self.expects_number and not _OPENING.fullmatch(event):
                raise UnnumberedError(repr(event[:80]))
            return
        number = int(found[1])
        if self.last_event_id is not None and number != self.last_event_id + 1:
            raise OutOfOrderError(
                f"event id {number} follows {self.last_event_id}"
            )
        self.last_event_id = number
        self.expects_number = False
        self.numbered_event_count += 1
