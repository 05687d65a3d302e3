"""Entries to and from JSON: round trips, and findings but never a crash."""

import hypothesis
from hypothesis import strategies as st
import jsonschema
import msgspec

from lentilbeam_core import catalogue_json
from tests.unit import catalogue_cases as cases

PROVE = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=300, database=None
)

SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
JSON = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
BASES = [
    {**cases.make_class("gold"), "version": 3},
    cases.make_workspace("studio", "gold", concurrency=2, rate_per_s=1.5),
    {**cases.make_pool("chat", ["t1", "t2"]), "idempotent_calls": ["find"]},
]


def paths_of(value, path=()):
    """Yields the paths of all values inside a JSON value."""
    yield path
    if isinstance(value, dict):
        members = value.items()
    else:
        members = enumerate(value) if isinstance(value, list) else ()
    for name, member in members:
        yield from paths_of(member, (*path, name))


@st.composite
def mutations(draw):
    """A well-formed entry with one value replaced by any JSON value."""
    entry = msgspec.json.decode(
        msgspec.json.encode(draw(st.sampled_from(BASES)))
    )
    path = draw(st.sampled_from(list(paths_of(entry))))
    value = draw(JSON)
    if not path:
        return value
    holder = entry
    for step in path[:-1]:
        holder = holder[step]
    holder[path[-1]] = value
    return entry


@PROVE
@hypothesis.given(mutations())
def test_any_entry_gives_a_typed_entry_or_findings(raw):
    parsed = catalogue_json.parse_entry(raw, "/entries/0")
    if parsed.is_ok():
        dumped = catalogue_json.dump_entry(parsed.ok)
        assert catalogue_json.parse_entry(dumped, "") == parsed
        return
    assert parsed.error
    for finding in parsed.error:
        assert finding.pointer.startswith("/entries/0")
        assert finding.message


@PROVE
@hypothesis.given(mutations())
def test_what_is_well_formed_keeps_the_derived_schema(raw):
    parsed = catalogue_json.parse_entry(raw, "")
    if parsed.is_ok():
        wire_type = catalogue_json.WIRE_TYPES[raw["kind"]]
        jsonschema.validate(raw, msgspec.json.schema(wire_type))


def test_unknown_fields_are_kept_at_every_level():
    workspace = cases.make_workspace("studio", "gold", burst=7)
    pool = cases.make_pool("chat", ["t1"])
    pool["targets"][0]["rack"] = {"row": 2}
    for raw in (workspace, pool, {**cases.make_class("gold"), "note": "x"}):
        dumped = catalogue_json.dump_entry(
            catalogue_json.parse_entry(raw, "").ok
        )
        for path in paths_of(raw):
            kept = dumped
            for step in path:
                kept = kept[step]


def test_findings_name_their_place():
    raw = cases.make_pool("chat", ["t1", "t2"])
    raw["targets"][1]["slots"] = 0
    raw["service"] = "bus"
    del raw["owner"]
    found = catalogue_json.parse_entry(raw, "/entries/4").error
    assert [(f.pointer, f.message) for f in found] == [
        ("/entries/4", "'owner' is a required property"),
        ("/entries/4/service", "'bus' is not one of ['model', 'plain']"),
        ("/entries/4/targets/1/slots", "0 is less than the minimum of 1"),
    ]
