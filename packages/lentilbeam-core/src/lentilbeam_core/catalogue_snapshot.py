"""Snapshots: the evaluated state of the catalogue's log as one record.

A snapshot holds everything needed to continue evaluation after the record at
its `as_of` offset, so that earlier records may expire. Routers send the same
JSON to peers that ask for their state.
"""

from typing import Annotated
from typing import Any
from typing import Literal

import expression
import msgspec

from lentilbeam_core import catalogue
from lentilbeam_core import catalogue_change
from lentilbeam_core import catalogue_json
from lentilbeam_core import catalogue_state
from lentilbeam_core import findings
from lentilbeam_core import ids

SNAPSHOT = "snapshot"

_Offset = Annotated[int, msgspec.Meta(ge=0)]
_Parsed = expression.Result[catalogue_state.State, tuple[findings.Finding, ...]]


class _WireTombstone(msgspec.Struct):
    kind: Literal["class", "workspace", "pool"]
    name: str
    offset: _Offset


class _WireSnapshot(msgspec.Struct):
    as_of: _Offset
    entries: list[Any]
    verdicts: list[Any]
    forgotten: str
    tombstones: list[_WireTombstone]


def dump_snapshot(state: catalogue_state.State) -> dict[str, Any]:
    """Returns the log record of a snapshot, as JSON data."""
    return {
        catalogue_change.RECORD_FIELD: SNAPSHOT,
        "as_of": state.offset,
        "entries": [
            catalogue_json.dump_entry(entry)
            for entry in state.catalogue.entries()
        ],
        "verdicts": [
            catalogue_change.dump_verdict(verdict)
            for verdict in state.verdicts.values()
        ],
        "forgotten": state.newest_evicted_id,
        "tombstones": [
            {**catalogue_change.dump_key(key), "offset": offset}
            for key, offset in state.tombstones.items()
        ],
    }


def read_as_of(value: Any) -> ids.Offset | None:
    """Returns the `as_of` offset of a snapshot record.

    None if the value is no snapshot or its `as_of` is no offset. The rest of
    the snapshot is not validated.
    """
    if not isinstance(value, dict):
        return None
    if value.get(catalogue_change.RECORD_FIELD) != SNAPSHOT:
        return None
    as_of = value.get("as_of")
    is_offset = type(as_of) is int and as_of >= 0
    return ids.Offset(as_of) if is_offset else None


def parse_snapshot(value: Any) -> _Parsed:
    """Parses a snapshot.

    Args:
        value: the record, as JSON data.

    Returns:
        `Ok` with the state, or `Error` with all findings.
    """
    parsed = catalogue_json.parse_struct(value, _WireSnapshot, "")
    return parsed.bind(_build_state)


def _build_state(wire: _WireSnapshot) -> _Parsed:
    found: list[findings.Finding] = []
    state = catalogue_state.State()
    state.offset = ids.Offset(wire.as_of)
    state.newest_evicted_id = catalogue_change.ChangeId(wire.forgotten)
    for index, raw in enumerate(wire.entries):
        entry = catalogue_json.parse_entry_into(raw, f"/entries/{index}", found)
        if entry is not None:
            state.put(entry)
    for index, raw in enumerate(wire.verdicts):
        parsed = catalogue_change.parse_verdict(raw, f"/verdicts/{index}")
        parsed.map(state.add_verdict)
        found.extend(parsed.swap().default_value(()))
    for tombstone in wire.tombstones:
        kind = catalogue.EntryKind(tombstone.kind)
        key = catalogue.EntryKey(kind, tombstone.name)
        state.add_tombstone(key, ids.Offset(tombstone.offset))
    return expression.Error(tuple(found)) if found else expression.Ok(state)
