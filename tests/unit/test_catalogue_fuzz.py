"""Any input gives findings or a verdict; none crashes or half applies."""

import pathlib
import tempfile

import hypothesis
from hypothesis import strategies as st
import msgspec

from lentilbeam_cli import plan as plan_lib
from lentilbeam_cli import sources as sources_lib
from lentilbeam_core import catalogue_log
from lentilbeam_core import catalogue_snapshot
from lentilbeam_core import catalogue_state
from lentilbeam_core import ids
from tests.unit import catalogue_cases as cases
from tests.unit import test_catalogue_json

PROVE = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=250, database=None
)
GOLD = cases.key("class", "gold")
SETUP = [
    cases.make_change(1, [cases.make_class("gold")]),
    cases.make_change(2, [cases.make_workspace("studio", "gold")]),
    cases.make_change(3, [cases.make_class("gold")]),
]
CHANGE = cases.make_change(
    4,
    [cases.make_class("gold", weight=2), cases.make_pool("chat", ["t1"])],
    deletes=[cases.key("workspace", "studio")],
    bases={GOLD: 1, cases.key("workspace", "studio"): 2},
)


@st.composite
def mutated(draw, document):
    """The document with up to three values replaced by any JSON value."""
    document = msgspec.json.decode(msgspec.json.encode(document))
    for _ in range(draw(st.integers(1, 3))):
        paths = list(test_catalogue_json.paths_of(document))
        path = draw(st.sampled_from(paths))
        value = draw(test_catalogue_json.JSON)
        if not path:
            return value
        holder = document
        for step in path[:-1]:
            holder = holder[step]
        holder[path[-1]] = value
    return document


def dump(state: catalogue_state.State) -> dict:
    return catalogue_snapshot.dump_snapshot(state)


@PROVE
@hypothesis.given(mutated(CHANGE))
def test_any_record_is_taken_whole_or_not_at_all(value):
    state = cases.evaluate(*SETUP).state
    before = dump(state)["entries"]
    verdict = catalogue_log.apply_record(state, ids.Offset(4), value)
    is_accepted = verdict is not None and verdict.status.value == "accepted"
    assert state.offset == 4
    assert (dump(state)["entries"] != before) is is_accepted
    if verdict is not None and not is_accepted:
        assert verdict.findings
    # What was taken in can be written, read and judged on by others.
    again = catalogue_snapshot.parse_snapshot(
        msgspec.json.decode(msgspec.json.encode(dump(state)))
    )
    assert dump(again.ok) == dump(state)


@PROVE
@hypothesis.given(mutated(dump(cases.evaluate(*SETUP).state)))
def test_any_snapshot_gives_a_state_or_findings(value):
    parsed = catalogue_snapshot.parse_snapshot(value)
    if parsed.is_error():
        assert parsed.error
        return
    state = parsed.ok
    offset = ids.Offset(state.offset + 1)
    catalogue_log.apply_record(state, offset, CHANGE)
    assert state.offset == offset


def check_file(content: bytes) -> sources_lib.Sources:
    """Reads a file and plans it against a filled catalogue."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "entries.json"
        path.write_bytes(content)
        sources = sources_lib.read_sources((str(path),))
    state = cases.evaluate(*SETUP).state
    plan = plan_lib.build_plan(sources, state)
    change = plan.build_change(cases.change_id(9), "ada")
    for finding in catalogue_log.check_change(state, change):
        assert plan.place(finding).message
    return sources


DOCUMENT = {
    "entries": [*CHANGE["upserts"], cases.make_workspace("tides", "gold")],
    "deletes": CHANGE["deletes"],
}


@PROVE
@hypothesis.given(mutated(DOCUMENT))
def test_any_document_is_checked(document):
    check_file(msgspec.json.encode(document))


@PROVE
@hypothesis.given(
    st.binary(max_size=40)
    | st.tuples(st.integers(0, 300), st.binary(min_size=1, max_size=4)).map(
        lambda cut: _splice(*cut)
    )
)
def test_any_bytes_are_checked(content):
    check_file(content)


def _splice(place: int, inserted: bytes) -> bytes:
    whole = msgspec.json.encode(DOCUMENT)
    return whole[:place] + inserted + whole[place:]


def test_deep_nesting_is_a_finding():
    sources = check_file(b'{"entries":' + b"[" * 100_000)
    assert sources.findings
