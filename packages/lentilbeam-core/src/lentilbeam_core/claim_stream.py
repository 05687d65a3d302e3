"""Schedule of appends to the claims stream and of reads from it.

At most one append and one read are in flight at a time, and successive ones
keep a minimum interval. A read reaches the end of the stream if it returns
all records that the log had when the read was started.

A closing record is a `Release` or a `Done`: it ends a claim.
"""

import collections
from collections.abc import Iterable

from lentilbeam_core import backoff
from lentilbeam_core import claim_events
from lentilbeam_core import claim_records
from lentilbeam_core import ids

FIRST_OFFSET = ids.Offset(1)


class ClaimStream:
    """One router's appends to and reads from the claims stream.

    Attributes:
        cursor: offset at which the next read starts.
        has_read: whether any read has succeeded.
        last_read_started: number of the latest read; 0 before the first.
        last_complete_read: number of the latest read that reached the end
            of the stream; 0 if none did.
        is_reading: whether a read is in flight.
        may_have_more: whether the next read may find records that were in
            the log already when the latest read started. True before the
            first read and after a full page.
        last_read_at: monotonic time at which the latest read started.
        read_backoff: back-off after failed reads.
        closing_records: closing records that wait to be appended.
        closing_records_due_at: monotonic time from which closing records
            are appended even if no claim is.
        in_flight: records of the append in flight; empty if there is none.
        last_append_at: monotonic time at which the latest append started.
        append_backoff: back-off after failed appends.
    """

    def __init__(self, settings: claim_events.Settings):
        self.settings = settings
        self.cursor = FIRST_OFFSET
        self.has_read = False
        self.last_read_started = 0
        self.last_complete_read = 0
        self.is_reading = False
        self.may_have_more = True
        self.last_read_at = float("-inf")
        self.read_backoff = backoff.Backoff(settings.log_backoff)
        self.closing_records: collections.deque[claim_records.Record] = (
            collections.deque(maxlen=settings.max_closing_records)
        )
        self.closing_records_due_at = float("inf")
        self.in_flight: tuple[claim_records.Record, ...] = ()
        self.last_append_at = float("-inf")
        self.append_backoff = backoff.Backoff(settings.log_backoff)

    @property
    def has_reached_end(self) -> bool:
        """Whether any read of this process has reached the end."""
        return self.last_complete_read > 0

    def is_blocked(self, now: float) -> bool:
        """Returns whether reads or appends wait after a failure."""
        return self.read_backoff.blocks(now) or self.append_backoff.blocks(now)

    def get_retry_after_s(self, now: float) -> float:
        """Returns the seconds until the log is tried again."""
        return max(
            self.read_backoff.get_retry_after_s(now),
            self.append_backoff.get_retry_after_s(now),
        )

    def add_closing_record(
        self, record: claim_records.Record, now: float
    ) -> None:
        """Queues a closing record.

        If the queue is full, its oldest record is dropped.
        """
        if not self.closing_records:
            self.closing_records_due_at = (
                now + self.settings.closing_record_linger_s
            )
        self.closing_records.append(record)

    def next_append_at(self, is_urgent: bool) -> float:
        """Returns the monotonic time from which the next append may start.

        Infinity while an append is in flight.

        Args:
            is_urgent: whether the append must not wait for
                `closing_records_due_at`.
        """
        if self.in_flight:
            return float("inf")
        paced = self.last_append_at + self.settings.append_interval_s
        allowed = max(paced, self.append_backoff.next_call_at)
        return (
            allowed if is_urgent else max(allowed, self.closing_records_due_at)
        )

    def next_read_at(self, is_awaited: bool) -> float:
        """Returns the monotonic time from which the next read may start.

        Infinity while a read is in flight.

        Args:
            is_awaited: whether an undecided attempt needs the read.
        """
        if self.is_reading:
            return float("inf")
        interval_s = self.settings.idle_read_interval_s
        if is_awaited or self.may_have_more:
            interval_s = self.settings.read_interval_s
        return max(
            self.last_read_at + interval_s, self.read_backoff.next_call_at
        )

    def start_append(
        self, claims: Iterable[claim_records.Record], now: float
    ) -> claim_events.AppendRecords:
        """Starts an append of closing records, followed by `claims`."""
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
        """Processes the end of the append; returns its records.

        Unless the append succeeded, its closing records are queued again,
        ahead of all later ones. Where the queue is full, this drops the
        newest records in it.
        """
        records = self.in_flight
        self.in_flight = ()
        if answer is claim_events.AppendAnswer.APPENDED:
            self.append_backoff.note_success()
            return records
        self.append_backoff.note_failure(now)
        for record in reversed(records):
            if not isinstance(record, claim_records.Claim):
                self.closing_records.appendleft(record)
        return records

    def start_read(self, wait_s: float, now: float) -> claim_events.ReadLog:
        """Starts a read at the cursor.

        Args:
            wait_s: how long the log may wait for records, in seconds.
            now: monotonic time.
        """
        self.is_reading = True
        self.last_read_started += 1
        self.last_read_at = now
        return claim_events.ReadLog(
            self.cursor, self.settings.page_records, wait_s
        )

    def end_read(self, page: claim_events.PageRead) -> bool:
        """Processes a page.

        If reads failed before, appends are tried again at once: a claim that
        the log accepted late holds its key until its release is appended.

        Returns:
            Whether records after the previous page expired before they were
            read.
        """
        has_gap = self.has_read and page.oldest > self.cursor
        self.has_read = True
        self.is_reading = False
        self.cursor = page.next_offset
        self.may_have_more = len(page.records) >= self.settings.page_records
        if not self.may_have_more:
            self.last_complete_read = self.last_read_started
        if self.read_backoff.is_failing:
            self.append_backoff.note_success()
        self.read_backoff.note_success()
        return has_gap

    def fail_read(self, now: float) -> None:
        """Processes the failure of the read in flight."""
        self.is_reading = False
        self.read_backoff.note_failure(now)
