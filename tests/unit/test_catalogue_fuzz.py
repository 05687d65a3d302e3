"""Fuzz tests of change records, snapshots and catalogue files.

Any input must give a verdict or findings. None may raise an exception or be
applied in part.
"""

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
from tests.unit import catalogue_builders as builders
from tests.unit import test_catalogue_json

PROPERTY_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=250, database=None
)
GOLD = builders.make_key("class", "gold")
INITIAL_RECORDS = [
    builders.make_change(1, [builders.make_class("gold")]),
    builders.make_change(2, [builders.make_workspace("studio", "gold")]),
    builders.make_change(3, [builders.make_class("gold")]),
]
CHANGE = builders.make_change(
    4,
    [builders.make_class("gold", weight=2), builders.make_pool("chat", ["t1"])],
    deletes=[builders.make_key("workspace", "studio")],
    bases={GOLD: 1, builders.make_key("workspace", "studio"): 2},
)


@st.composite
def mutated(draw, document):
    """Draws `document` with one to three values replaced by JSON values."""
    document = msgspec.json.decode(msgspec.json.encode(document))
    for _ in range(draw(st.integers(1, 3))):
        paths = list(test_catalogue_json.iterate_paths(document))
        path = draw(st.sampled_from(paths))
        value = draw(test_catalogue_json.JSON_VALUES)
        if not path:
            return value
        container = document
        for key in path[:-1]:
            container = container[key]
        container[path[-1]] = value
    return document


def dump(state: catalogue_state.State) -> dict:
    """Returns a snapshot of the state as a JSON value."""
    return catalogue_snapshot.dump_snapshot(state)


@PROPERTY_SETTINGS
@hypothesis.given(mutated(CHANGE))
def test_any_record_is_applied_completely_or_not_at_all(value):
    state = builders.apply_records(*INITIAL_RECORDS).state
    before = dump(state)["entries"]
    verdict = catalogue_log.apply_record(state, ids.Offset(4), value)
    is_accepted = verdict is not None and verdict.status.value == "accepted"
    assert state.offset == 4
    assert (dump(state)["entries"] != before) is is_accepted
    if verdict is not None and not is_accepted:
        assert verdict.findings
    # The state survives a round trip through a snapshot.
    restored = catalogue_snapshot.parse_snapshot(
        msgspec.json.decode(msgspec.json.encode(dump(state)))
    )
    assert dump(restored.ok) == dump(state)


@PROPERTY_SETTINGS
@hypothesis.given(mutated(dump(builders.apply_records(*INITIAL_RECORDS).state)))
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
    """Reads a file and checks it against a catalogue with entries.

    Asserts that each finding has a location in the file and a message.

    Args:
        content: the bytes of the file.

    Returns:
        What was read, including the findings of reading.
    """
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "entries.json"
        path.write_bytes(content)
        sources = sources_lib.read_sources((str(path),))
    state = builders.apply_records(*INITIAL_RECORDS).state
    plan = plan_lib.build_plan(sources, state)
    change = plan.build_change(builders.make_change_id(9), "ada")
    for finding in catalogue_log.check_change(state, change):
        assert plan.locate(finding).message
    return sources


DOCUMENT = {
    "entries": [*CHANGE["upserts"], builders.make_workspace("tides", "gold")],
    "deletes": CHANGE["deletes"],
}


@PROPERTY_SETTINGS
@hypothesis.given(mutated(DOCUMENT))
def test_any_document_can_be_checked(document):
    check_file(msgspec.json.encode(document))


@PROPERTY_SETTINGS
@hypothesis.given(
    st.binary(max_size=40)
    | st.tuples(st.integers(0, 300), st.binary(min_size=1, max_size=4)).map(
        lambda insertion: _insert(*insertion)
    )
)
def test_any_file_content_can_be_checked(content):
    check_file(content)


def _insert(position: int, inserted: bytes) -> bytes:
    encoded = msgspec.json.encode(DOCUMENT)
    return encoded[:position] + inserted + encoded[position:]


def test_too_deep_nesting_gives_a_finding():
    sources = check_file(b'{"entries":' + b"[" * 100_000)
    assert sources.findings
