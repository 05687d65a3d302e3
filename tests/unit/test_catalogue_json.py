"""Tests that catalogue entries are parsed from and dumped to JSON.

A malformed entry must give findings, never an exception.
"""

import hypothesis
from hypothesis import strategies as st
import jsonschema
import msgspec

from lentilbeam_core import catalogue_json
from tests.unit import catalogue_builders as builders

PROPERTY_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=300, database=None
)

SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
JSON_VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
VALID_ENTRIES = [
    {**builders.make_class("gold"), "version": 3},
    builders.make_workspace("studio", "gold", concurrency=2, rate_per_s=1.5),
    {**builders.make_pool("chat", ["t1", "t2"]), "idempotent_calls": ["find"]},
]


def iterate_paths(value, path=()):
    """Yields the path of a JSON value and of each value inside it."""
    yield path
    if isinstance(value, dict):
        children = value.items()
    else:
        children = enumerate(value) if isinstance(value, list) else ()
    for name, child in children:
        yield from iterate_paths(child, (*path, name))


@st.composite
def mutated_entries(draw):
    """Draws a valid entry with one value replaced by any JSON value."""
    entry = msgspec.json.decode(
        msgspec.json.encode(draw(st.sampled_from(VALID_ENTRIES)))
    )
    path = draw(st.sampled_from(list(iterate_paths(entry))))
    value = draw(JSON_VALUES)
    if not path:
        return value
    container = entry
    for key in path[:-1]:
        container = container[key]
    container[path[-1]] = value
    return entry


@PROPERTY_SETTINGS
@hypothesis.given(mutated_entries())
def test_any_json_value_gives_an_entry_or_findings(raw):
    parsed = catalogue_json.parse_entry(raw, "/entries/0")
    if parsed.is_ok():
        dumped = catalogue_json.dump_entry(parsed.ok)
        assert catalogue_json.parse_entry(dumped, "") == parsed
        return
    assert parsed.error
    for finding in parsed.error:
        assert finding.pointer.startswith("/entries/0")
        assert finding.message


@PROPERTY_SETTINGS
@hypothesis.given(mutated_entries())
def test_valid_entries_satisfy_the_generated_schema(raw):
    parsed = catalogue_json.parse_entry(raw, "")
    if parsed.is_ok():
        wire_type = catalogue_json.WIRE_TYPES[raw["kind"]]
        jsonschema.validate(raw, msgspec.json.schema(wire_type))


def test_unknown_fields_are_kept_at_every_level():
    workspace = builders.make_workspace("studio", "gold", burst=7)
    pool = builders.make_pool("chat", ["t1"])
    pool["targets"][0]["rack"] = {"row": 2}
    for raw in (workspace, pool, {**builders.make_class("gold"), "note": "x"}):
        dumped = catalogue_json.dump_entry(
            catalogue_json.parse_entry(raw, "").ok
        )
        for path in iterate_paths(raw):
            # The lookup fails if a field is missing; values are not compared.
            value = dumped
            for key in path:
                value = value[key]


def test_findings_point_to_the_invalid_value():
    raw = builders.make_pool("chat", ["t1", "t2"])
    raw["targets"][1]["slots"] = 0
    raw["service"] = "bus"
    del raw["owner"]
    findings = catalogue_json.parse_entry(raw, "/entries/4").error
    assert [(f.pointer, f.message) for f in findings] == [
        ("/entries/4", "'owner' is a required property"),
        ("/entries/4/service", "'bus' is not one of ['model', 'plain']"),
        ("/entries/4/targets/1/slots", "0 is less than the minimum of 1"),
    ]
