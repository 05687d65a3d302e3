"""Follows the catalogue's log stream, also after records have expired.

A follower that has a state applies records in log order. A follower without a
state starts from the empty state if the log still holds its first record.
Otherwise, and also if its next record has expired, it searches all retained
records for the snapshot with the highest `as_of`. It continues from this
snapshot if no record after that `as_of` has expired. The state never goes back
to an earlier offset.
"""

from collections.abc import Sequence
import dataclasses
import enum
from typing import Any
from typing import Protocol

from lentilbeam_core import catalogue_change
from lentilbeam_core import catalogue_log
from lentilbeam_core import catalogue_snapshot
from lentilbeam_core import catalogue_state
from lentilbeam_core import ids

FIRST_OFFSET = ids.Offset(1)


class Record(Protocol):
    """One record of a stream; `value` is JSON data."""

    offset: ids.Offset
    value: Any


class Page(Protocol):
    """Consecutive records of a stream, as read from the log.

    A page without records means that the end of the stream is reached.

    Attributes:
        records: the records, in log order.
        oldest: offset of the oldest record that the log still holds.
        next_offset: offset at which the next read starts.
    """

    records: Sequence[Record]
    oldest: ids.Offset
    next_offset: ids.Offset


class Phase(enum.Enum):
    """What the follower does with a page."""

    SEARCHING = "searching"  # Searches it for a snapshot to start from.
    FOLLOWING = "following"  # Applies its records to the state.


@dataclasses.dataclass(frozen=True, slots=True)
class PageResult:
    """Result of applying a page.

    Attributes:
        verdicts: verdicts on the changes in the page, in log order.
        is_changed: whether the entries in force changed.
        newest_as_of: highest `as_of` of the snapshots in the page; None if
            it has no snapshot.
    """

    verdicts: tuple[catalogue_change.Verdict, ...] = ()
    is_changed: bool = False
    newest_as_of: ids.Offset | None = None


class Follower:
    """Keeps a state up to date from pages of the stream.

    Its owner reads the pages from the log, each from `next_read_offset`.

    Attributes:
        state: the current state; None until a start was found.
        phase: what is done with the next page.
        next_read_offset: offset at which the next page must start.
        gap_count: how often records expired before they were read.
    """

    def __init__(self) -> None:
        self.state: catalogue_state.State | None = None
        self.phase = Phase.SEARCHING
        self.next_read_offset = FIRST_OFFSET
        self.gap_count = 0
        self._best_snapshot: catalogue_state.State | None = None

    @property
    def offset(self) -> ids.Offset:
        """Offset of the last record applied; 0 if there is no state."""
        return self.state.offset if self.state else ids.Offset(0)

    def apply_page(self, page: Page) -> PageResult:
        """Processes the page that was read from `next_read_offset`."""
        if self.phase is Phase.FOLLOWING:
            return self._follow(page)
        return self._search(page)

    def adopt_state(self, state: catalogue_state.State) -> bool:
        """Replaces the state by a peer's if that one has a higher offset.

        The follower takes ownership of `state` and will change it.

        Returns:
            Whether the state was replaced.
        """
        if self.state is not None and state.offset <= self.state.offset:
            return False
        self._start_from(state)
        return True

    def _follow(self, page: Page) -> PageResult:
        if _starts_after(page, self.offset):
            self.gap_count += 1
            self.phase = Phase.SEARCHING
            self.next_read_offset = page.oldest
            return PageResult()
        verdicts = []
        is_changed = False
        for record in page.records:
            verdict = catalogue_log.apply_record(
                self.state, record.offset, record.value
            )
            if verdict is not None:
                verdicts.append(verdict)
                is_changed |= _is_applied(verdict, record.offset)
        self.next_read_offset = ids.Offset(self.offset + 1)
        return PageResult(tuple(verdicts), is_changed, _find_newest_as_of(page))

    def _search(self, page: Page) -> PageResult:
        if self.state is None and page.oldest == FIRST_OFFSET:
            self._start_from(catalogue_state.State())
            result = self._follow(page)
            return dataclasses.replace(result, is_changed=True)
        for record in page.records:
            self._consider_snapshot(record)
        self.next_read_offset = page.next_offset
        newest_as_of = _find_newest_as_of(page)
        if page.records or not self._has_snapshot_reaching(page.oldest):
            return PageResult(newest_as_of=newest_as_of)
        self._start_from(self._best_snapshot)
        return PageResult(is_changed=True, newest_as_of=newest_as_of)

    def _consider_snapshot(self, record: Record) -> None:
        as_of = _read_as_of(record)
        best = (
            self._best_snapshot.offset if self._best_snapshot else self.offset
        )
        if as_of is None or as_of <= best:
            return
        parsed = catalogue_snapshot.parse_snapshot(record.value)
        self._best_snapshot = parsed.default_value(self._best_snapshot)

    def _has_snapshot_reaching(self, oldest: ids.Offset) -> bool:
        return (
            self._best_snapshot is not None
            and self._best_snapshot.offset >= oldest - 1
        )

    def _start_from(self, state: catalogue_state.State) -> None:
        self.state = state
        self.phase = Phase.FOLLOWING
        self.next_read_offset = ids.Offset(state.offset + 1)
        self._best_snapshot = None


def _starts_after(page: Page, offset: ids.Offset) -> bool:
    first = page.records[0].offset if page.records else page.oldest
    return max(first, page.oldest) > offset + 1


def _is_applied(verdict: catalogue_change.Verdict, offset: ids.Offset) -> bool:
    is_accepted = verdict.status is catalogue_change.Status.ACCEPTED
    return is_accepted and verdict.offset == offset


def _find_newest_as_of(page: Page) -> ids.Offset | None:
    offsets = [_read_as_of(record) for record in page.records]
    return max((o for o in offsets if o is not None), default=None)


def _read_as_of(record: Record) -> ids.Offset | None:
    as_of = catalogue_snapshot.read_as_of(record.value)
    return as_of if as_of is not None and as_of < record.offset else None
