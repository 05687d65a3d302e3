"""All readers of any part of the log agree, and nothing accepted reverts."""

import copy
import dataclasses

import hypothesis
from hypothesis import strategies as st

from lentilbeam_core import catalogue_follow
from lentilbeam_core import catalogue_log
from lentilbeam_core import catalogue_snapshot
from lentilbeam_core import catalogue_state
from lentilbeam_core import ids
from tests.unit import catalogue_cases as cases

PROVE = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150, database=None
)
NAMES = ["a", "b"]
PAGE_LIMIT = 3


@dataclasses.dataclass
class Record:
    """A record of the model log."""

    offset: int
    value: object


@dataclasses.dataclass
class Page:
    """A page of the model log."""

    records: list[Record]
    oldest: int
    next_offset: int


class ModelLog:
    """A log that keeps only records from `oldest` on."""

    def __init__(self):
        self.records = []
        self.oldest = 1

    def append(self, value) -> None:
        """Appends one record."""
        offset = len(self.records) + 1
        self.records.append(Record(offset, copy.deepcopy(value)))

    def read(self, start: int) -> Page:
        """Returns a page from `start` or from the oldest record kept."""
        start = max(start, self.oldest)
        records = self.records[start - 1 : start - 1 + PAGE_LIMIT]
        return Page(records, self.oldest, start + len(records))


def catch_up(follower, log) -> list[catalogue_follow.PageResult]:
    """Reads to the end of the log, as a router does."""
    steps = []
    while True:
        page = log.read(follower.next_read_offset)
        was_following = follower.phase is catalogue_follow.Phase.FOLLOWING
        steps.append(follower.apply_page(page))
        is_following = follower.phase is catalogue_follow.Phase.FOLLOWING
        if not page.records and was_following == is_following:
            return steps


def replay(log, end: int | None = None) -> catalogue_state.State:
    """Evaluates the log from its very first record."""
    state = catalogue_state.State()
    for record in log.records[:end]:
        catalogue_log.apply_record(state, record.offset, record.value)
    return state


def dump(state) -> dict:
    return catalogue_snapshot.dump_snapshot(state)


@st.composite
def histories(draw):
    """Racing operators, repeated changes, snapshots of paused routers.

    Returns a log and for each of its records the highest `oldest` that the
    log may have once it holds that record.
    """
    log = ModelLog()
    states = [replay(log)]
    sent = []
    reach = 0
    bounds = []
    for number in range(draw(st.integers(1, 16))):
        step = draw(st.sampled_from(["change", "repeat", "snapshot", "junk"]))
        if step == "snapshot":
            as_of = draw(st.integers(0, len(states) - 1))
            log.append(dump(states[as_of]))
            reach = max(reach, as_of)
        elif step == "junk":
            log.append({"record": "later", "x": number})
        elif step == "repeat" and sent:
            log.append(draw(st.sampled_from(sent)))
        else:
            read = states[draw(st.integers(0, len(states) - 1))]
            sent.append(draw_change(draw, number, read))
            log.append(sent[-1])
        states.append(replay(log))
        bounds.append(reach + 1)
    return log, bounds


def draw_change(draw, number, read):
    """Draws a change by an operator who read an old state."""
    operator = draw(st.sampled_from(["ada", "bob"]))
    name = draw(st.sampled_from(NAMES))
    key = cases.key("class", name)
    bases = {key: read.version(key)}
    if draw(st.booleans()) and read.version(key):
        return cases.make_change(
            number, deletes=[key], bases=bases, operator=operator
        )
    weight = draw(st.integers(0, 3))
    entry = cases.make_class(name, operator, weight)
    return cases.make_change(number, [entry], bases=bases, operator=operator)


@PROVE
@hypothesis.given(histories(), st.data())
def test_readers_of_any_covered_suffix_agree(history, data):
    log, bounds = history
    truth = replay(log)
    # The covering snapshot itself has not expired.
    log.oldest = data.draw(st.integers(1, bounds[-1]))
    follower = catalogue_follow.Follower()
    catch_up(follower, log)
    assert dump(follower.state) == dump(truth)


@PROVE
@hypothesis.given(histories(), st.data())
def test_nothing_in_force_reverts_over_expiry_and_pauses(history, data):
    whole, bounds = history
    log = ModelLog()
    followers = [catalogue_follow.Follower() for _ in range(3)]
    in_force = [0] * len(followers)
    for record, bound in zip(whole.records, bounds, strict=True):
        log.append(record.value)
        highest = max(log.oldest, bound)
        log.oldest = data.draw(st.integers(log.oldest, highest))
        reader = data.draw(st.integers(0, len(followers) - 1))
        follower = followers[reader]
        catch_up(follower, log)
        assert follower.offset == record.offset
        assert follower.offset >= in_force[reader]
        in_force[reader] = follower.offset
        assert dump(follower.state) == dump(replay(log))


@PROVE
@hypothesis.given(histories(), st.data())
def test_offers_of_peers_never_take_a_reader_back(history, data):
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


def test_a_reader_beyond_every_snapshot_keeps_what_is_in_force():
    log = ModelLog()
    log.append(cases.make_change(1, [cases.make_class("a")]))
    follower = catalogue_follow.Follower()
    catch_up(follower, log)
    log.append(cases.make_change(2, [cases.make_class("b")]))
    log.append(cases.make_change(3, [cases.make_class("c")]))
    log.oldest = 3
    catch_up(follower, log)
    assert follower.phase is catalogue_follow.Phase.SEARCHING
    assert (follower.offset, follower.gap_count) == (1, 1)
    log.append(dump(replay(log)))
    catch_up(follower, log)
    assert dump(follower.state) == dump(replay(log))


def test_a_snapshot_that_leaves_a_gap_is_not_started_from():
    log = ModelLog()
    for number, name in enumerate(["a", "b", "c"]):
        log.append(cases.make_change(number, [cases.make_class(name)]))
    log.append(dump(replay(log, 1)))
    log.oldest = 3
    follower = catalogue_follow.Follower()
    catch_up(follower, log)
    assert follower.state is None
    log.append(dump(replay(log, 2)))
    catch_up(follower, log)
    assert dump(follower.state) == dump(replay(log))


def test_a_snapshot_keeps_verdicts_findings_winners_and_tombstones():
    key = cases.key("class", "gold")
    state = cases.evaluate(
        cases.make_change(1, [cases.make_class("gold")]),
        cases.make_change(2, [cases.make_class("gold")]),
        cases.make_change(3, [cases.make_class("gold", weight=0)]),
        cases.make_change(4, deletes=[key], bases={key: 1}),
    ).state
    restored = catalogue_snapshot.parse_snapshot(dump(state)).ok
    assert dict(restored.verdicts) == dict(state.verdicts)
    assert restored.verdicts[cases.change_id(2)].winner.operator == "ada"
    assert restored.tombstones == {key: ids.Offset(4)}
