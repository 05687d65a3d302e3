"""Tests of reading the catalogue from a log whose records expire.

Readers that start at any offset that a snapshot covers must reach the same
state, and a reader's state must never go back to an earlier offset.
"""

import copy
import dataclasses

import hypothesis
from hypothesis import strategies as st

from lentilbeam_core import catalogue_follow
from lentilbeam_core import catalogue_log
from lentilbeam_core import catalogue_snapshot
from lentilbeam_core import catalogue_state
from lentilbeam_core import ids
from tests.unit import catalogue_builders as builders

PROPERTY_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150, database=None
)
NAMES = ["a", "b"]
PAGE_LIMIT = 3


@dataclasses.dataclass
class Record:
    """A record of the model log.

    Attributes:
        offset: position in the log; the first record has offset 1.
        value: the record as a JSON value.
    """

    offset: int
    value: object


@dataclasses.dataclass
class Page:
    """Consecutive records that a read returns.

    Attributes:
        records: the records, at most `PAGE_LIMIT`.
        oldest: offset of the oldest record that has not expired.
        next_offset: offset that follows the last record of the page.
    """

    records: list[Record]
    oldest: int
    next_offset: int


class ModelLog:
    """A log in which all records before offset `oldest` have expired."""

    def __init__(self):
        self.records = []
        self.oldest = 1

    def append(self, value) -> None:
        """Appends one record."""
        offset = len(self.records) + 1
        self.records.append(Record(offset, copy.deepcopy(value)))

    def read(self, start: int) -> Page:
        """Returns a page that starts at the later of `start` and `oldest`."""
        start = max(start, self.oldest)
        records = self.records[start - 1 : start - 1 + PAGE_LIMIT]
        return Page(records, self.oldest, start + len(records))


def catch_up(follower, log) -> list[catalogue_follow.PageResult]:
    """Reads to the end of the log, as a router does.

    Returns:
        The result of each page.
    """
    results = []
    while True:
        page = log.read(follower.next_read_offset)
        was_following = follower.phase is catalogue_follow.Phase.FOLLOWING
        results.append(follower.apply_page(page))
        is_following = follower.phase is catalogue_follow.Phase.FOLLOWING
        if not page.records and was_following == is_following:
            return results


def replay(log, end: int | None = None) -> catalogue_state.State:
    """Applies the records from offset 1 to `end`; None means to the last."""
    state = catalogue_state.State()
    for record in log.records[:end]:
        catalogue_log.apply_record(state, record.offset, record.value)
    return state


def dump(state) -> dict:
    """Returns a snapshot of the state as a JSON value."""
    return catalogue_snapshot.dump_snapshot(state)


@st.composite
def histories(draw):
    """Draws a log with conflicting changes, duplicates and old snapshots.

    Returns:
        The log and, for each record, the highest `oldest` from which a reader
        can still start once the log holds that record: the offset after the
        newest state that a snapshot holds.
    """
    log = ModelLog()
    states = [replay(log)]
    changes = []
    covered_offset = 0
    max_oldest_offsets = []
    for number in range(draw(st.integers(1, 16))):
        step = draw(st.sampled_from(["change", "repeat", "snapshot", "junk"]))
        if step == "snapshot":
            as_of = draw(st.integers(0, len(states) - 1))
            log.append(dump(states[as_of]))
            covered_offset = max(covered_offset, as_of)
        elif step == "junk":
            log.append({"record": "later", "x": number})
        elif step == "repeat" and changes:
            log.append(draw(st.sampled_from(changes)))
        else:
            known_state = states[draw(st.integers(0, len(states) - 1))]
            changes.append(draw_change(draw, number, known_state))
            log.append(changes[-1])
        states.append(replay(log))
        max_oldest_offsets.append(covered_offset + 1)
    return log, max_oldest_offsets


def draw_change(draw, number, known_state):
    """Draws a change that an operator bases on a possibly old state."""
    operator = draw(st.sampled_from(["ada", "bob"]))
    name = draw(st.sampled_from(NAMES))
    key = builders.make_key("class", name)
    bases = {key: known_state.version(key)}
    if draw(st.booleans()) and known_state.version(key):
        return builders.make_change(
            number, deletes=[key], bases=bases, operator=operator
        )
    weight = draw(st.integers(0, 3))
    entry = builders.make_class(name, operator, weight)
    return builders.make_change(number, [entry], bases=bases, operator=operator)


@PROPERTY_SETTINGS
@hypothesis.given(histories(), st.data())
def test_readers_of_any_suffix_with_a_covering_snapshot_agree(history, data):
    log, max_oldest_offsets = history
    expected = replay(log)
    # With this bound, a snapshot that covers all expired records is still in
    # the log, if any record has expired.
    log.oldest = data.draw(st.integers(1, max_oldest_offsets[-1]))
    follower = catalogue_follow.Follower()
    catch_up(follower, log)
    assert dump(follower.state) == dump(expected)


@PROPERTY_SETTINGS
@hypothesis.given(histories(), st.data())
def test_no_state_reverts_when_records_expire_during_pauses(history, data):
    complete_log, max_oldest_offsets = history
    log = ModelLog()
    followers = [catalogue_follow.Follower() for _ in range(3)]
    applied_offsets = [0] * len(followers)
    for record, max_oldest in zip(
        complete_log.records, max_oldest_offsets, strict=True
    ):
        log.append(record.value)
        highest = max(log.oldest, max_oldest)
        log.oldest = data.draw(st.integers(log.oldest, highest))
        reader = data.draw(st.integers(0, len(followers) - 1))
        follower = followers[reader]
        catch_up(follower, log)
        assert follower.offset == record.offset
        assert follower.offset >= applied_offsets[reader]
        applied_offsets[reader] = follower.offset
        assert dump(follower.state) == dump(replay(log))


@PROPERTY_SETTINGS
@hypothesis.given(histories(), st.data())
def test_states_offered_by_peers_never_revert_a_reader(history, data):
    log, _ = history
    follower = catalogue_follow.Follower()
    size = len(log.records)
    for _ in range(4):
        offered = replay(log, data.draw(st.integers(0, size)))
        offset = offered.offset
        before = follower.offset if follower.state else -1
        assert follower.adopt_state(offered) is (offset > before)
        assert follower.offset == max(before, offset)
        assert dump(follower.state) == dump(replay(log, follower.offset))
    catch_up(follower, log)
    assert dump(follower.state) == dump(replay(log))


def test_a_reader_with_a_gap_keeps_its_state_until_a_snapshot_covers_it():
    log = ModelLog()
    log.append(builders.make_change(1, [builders.make_class("a")]))
    follower = catalogue_follow.Follower()
    catch_up(follower, log)
    log.append(builders.make_change(2, [builders.make_class("b")]))
    log.append(builders.make_change(3, [builders.make_class("c")]))
    log.oldest = 3
    catch_up(follower, log)
    assert follower.phase is catalogue_follow.Phase.SEARCHING
    assert (follower.offset, follower.gap_count) == (1, 1)
    log.append(dump(replay(log)))
    catch_up(follower, log)
    assert dump(follower.state) == dump(replay(log))


def test_a_snapshot_followed_by_a_gap_is_not_used():
    log = ModelLog()
    for number, name in enumerate(["a", "b", "c"]):
        log.append(builders.make_change(number, [builders.make_class(name)]))
    log.append(dump(replay(log, 1)))
    log.oldest = 3
    follower = catalogue_follow.Follower()
    catch_up(follower, log)
    assert follower.state is None
    log.append(dump(replay(log, 2)))
    catch_up(follower, log)
    assert dump(follower.state) == dump(replay(log))


def test_a_snapshot_keeps_verdicts_findings_winners_and_tombstones():
    key = builders.make_key("class", "gold")
    state = builders.apply_records(
        builders.make_change(1, [builders.make_class("gold")]),
        builders.make_change(2, [builders.make_class("gold")]),
        builders.make_change(3, [builders.make_class("gold", weight=0)]),
        builders.make_change(4, deletes=[key], bases={key: 1}),
    ).state
    restored = catalogue_snapshot.parse_snapshot(dump(state)).ok
    assert dict(restored.verdicts) == dict(state.verdicts)
    assert (
        restored.verdicts[builders.make_change_id(2)].winner.operator == "ada"
    )
    assert restored.tombstones == {key: ids.Offset(4)}
