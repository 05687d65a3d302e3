"""When to append to the claims stream and when to read it.

One append and one read are in flight at a time, and both are paced. A read
"at the tail" brought all records that the log had when the read was started.
"""

import collections
from collections.abc import Iterable

from lentilbeam_core import claim_events
from lentilbeam_core import claim_records
from lentilbeam_core import ids
from lentilbeam_core import outage

FIRST_OFFSET = ids.Offset(1)


class ClaimStream:
    """One router's end of the claims stream."""

    def __init__(self, settings: claim_events.Settings):
        self.settings = settings
        self.cursor = FIRST_OFFSET
        self.has_read = False
        self.last_read_started = 0
        self.last_tail_read = 0
        """Number of the last read that reached the tail; 0 before it."""
        self.is_reading = False
        self.may_have_more = True
        self.last_read_at = float("-inf")
        self.read_outage = outage.Outage(settings.log_outage)
        self.closing_records: collections.deque[claim_records.Record] = (
            collections.deque(maxlen=settings.max_closing_records)
        )
        self.closing_records_due_at = float("inf")
        self.in_flight: tuple[claim_records.Record, ...] = ()
        self.last_append_at = float("-inf")
        self.append_outage = outage.Outage(settings.log_outage)

    @property
    def has_reached_tail(self) -> bool:
        """Whether the stream was read to its tail since the start."""
        return self.last_tail_read > 0

    def is_blocked(self, now: float) -> bool:
        """Returns whether the log is known to be out of reach."""
        return self.read_outage.blocks(now) or self.append_outage.blocks(now)

    def get_retry_after_s(self, now: float) -> float:
        """Returns when to try the log again, in seconds from now."""
        return max(
            self.read_outage.get_retry_after_s(now),
            self.append_outage.get_retry_after_s(now),
        )

    def add_closing_record(
        self, notice: claim_records.Record, now: float
    ) -> None:
        """Takes in a release or an end that is to be appended soon."""
        if not self.closing_records:
            self.closing_records_due_at = (
                now + self.settings.closing_record_linger_s
            )
        self.closing_records.append(notice)

    def get_next_append_at(self, is_urgent: bool) -> float:
        """Returns the monotonic time from which the next append may start.

        Args:
            is_urgent: whether there is more to append than notices that can
                wait for a claim.
        """
        if self.in_flight:
            return float("inf")
        paced = self.last_append_at + self.settings.append_interval_s
        allowed = max(paced, self.append_outage.probe_at)
        return (
            allowed if is_urgent else max(allowed, self.closing_records_due_at)
        )

    def get_next_read_at(self, is_awaited: bool) -> float:
        """Returns the monotonic time from which the next read may start."""
        if self.is_reading:
            return float("inf")
        interval_s = self.settings.idle_read_interval_s
        if is_awaited or self.may_have_more:
            interval_s = self.settings.read_interval_s
        return max(self.last_read_at + interval_s, self.read_outage.probe_at)

    def start_append(
        self, claims: Iterable[claim_records.Record], now: float
    ) -> claim_events.AppendRecords:
        """Starts an append of waiting notices and then of `claims`."""
        closing_records = []
        while (
            self.closing_records
            and len(closing_records) < self.settings.batch_records
        ):
            closing_records.append(self.closing_records.popleft())
        self.in_flight = (*closing_records, *claims)
        self.last_append_at = now
        return claim_events.AppendRecords(self.in_flight)

    def end_append(
        self, answer: claim_events.AppendAnswer, now: float
    ) -> tuple[claim_records.Record, ...]:
        """Takes in the end of the append; returns what was in flight.

        Notices that may not have been appended wait to be appended again,
        ahead of all later ones.
        """
        records = self.in_flight
        self.in_flight = ()
        if answer is claim_events.AppendAnswer.APPENDED:
            self.append_outage.note_success()
            return records
        self.append_outage.note_failure(now)
        for record in reversed(records):
            if not isinstance(record, claim_records.Claim):
                self.closing_records.appendleft(record)
        return records

    def start_read(self, wait_s: float, now: float) -> claim_events.ReadLog:
        """Starts a read of the records that come next."""
        self.is_reading = True
        self.last_read_started += 1
        self.last_read_at = now
        return claim_events.ReadLog(
            self.cursor, self.settings.page_records, wait_s
        )

    def end_read(self, page: claim_events.PageRead) -> bool:
        """Takes in a page; returns whether records were missed before it."""
        has_gap = self.has_read and page.oldest > self.cursor
        self.has_read = True
        self.is_reading = False
        self.cursor = page.next_offset
        self.may_have_more = len(page.records) >= self.settings.page_records
        if not self.may_have_more:
            self.last_tail_read = self.last_read_started
        self.read_outage.note_success()
        return has_gap

    def fail_read(self, now: float) -> None:
        """Takes in the failure of the read in flight."""
        self.is_reading = False
        self.read_outage.note_failure(now)
