"""Computes how applying files would change the catalogue in force."""

import dataclasses
import enum
from typing import Any

from lentilbeam_cli import sources as sources_lib
from lentilbeam_core import catalogue
from lentilbeam_core import catalogue_change
from lentilbeam_core import catalogue_json
from lentilbeam_core import catalogue_state
from lentilbeam_core import findings
from lentilbeam_core import ids

VERSION = "version"
LISTS_KEYED_BY_NAME = frozenset({"targets"})
"""Fields with lists whose members are compared by name, not by position."""


class Action(enum.Enum):
    """How an entry changes."""

    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"


@dataclasses.dataclass(frozen=True, slots=True)
class FieldEdit:
    """A changed field of an entry.

    Attributes:
        pointer: JSON pointer of the field within the entry.
        old: value in force; None if it is absent or null.
        new: value in the file; None if it is absent or null.
    """

    pointer: str
    old: Any
    new: Any


@dataclasses.dataclass(frozen=True, slots=True)
class EntryEdit:
    """A changed entry.

    Attributes:
        action: how the entry changes.
        key: kind and name of the entry.
        location: where the files contain the entry or its deletion.
        base: version that the edit is based on; 0 for an absent entry.
        raw: the new entry as JSON data; None for a deletion.
        fields: changed fields; empty for a deletion.
    """

    action: Action
    key: catalogue.EntryKey
    location: sources_lib.Location
    base: int
    raw: dict[str, Any] | None
    fields: tuple[FieldEdit, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """All changed entries.

    Attributes:
        edits: first the upserts, then the deletions.
    """

    edits: tuple[EntryEdit, ...]

    @property
    def upserts(self) -> list[EntryEdit]:
        """The edits that create or update an entry."""
        return [edit for edit in self.edits if edit.raw is not None]

    @property
    def deletions(self) -> list[EntryEdit]:
        """The edits that delete an entry."""
        return [edit for edit in self.edits if edit.raw is None]

    def build_change(
        self, change_id: catalogue_change.ChangeId, operator: str
    ) -> catalogue_change.Change:
        """Returns the change that performs the edits.

        Args:
            change_id: ID of the change.
            operator: name of the operator who makes it.
        """
        return catalogue_change.Change(
            change_id,
            operator,
            tuple(
                catalogue_change.Base(edit.key, ids.Offset(edit.base))
                for edit in self.edits
            ),
            tuple(_strip_version(edit.raw) for edit in self.upserts),
            tuple(edit.key for edit in self.deletions),
        )

    def locate(self, finding: findings.Finding) -> sources_lib.LocatedFinding:
        """Returns a finding about the change with its location in the files.

        Args:
            finding: a finding whose pointer refers to the change that
                `build_change` returns.

        Returns:
            The finding; its location has an empty path if it concerns the
            whole change.
        """
        _, section, index, *rest = [*finding.pointer.split("/"), "", ""]
        edits = {
            "upserts": self.upserts,
            "deletes": self.deletions,
            "bases": self.edits,
        }.get(section)
        if edits is None or not index:
            location = sources_lib.Location("", finding.pointer)
        else:
            origin = edits[int(index)].location
            child_pointer = "".join(f"/{part}" for part in rest if part)
            location = sources_lib.Location(
                origin.path, origin.pointer + child_pointer
            )
        return sources_lib.LocatedFinding(location, finding.message)


def build_plan(
    sources: sources_lib.Sources, state: catalogue_state.State
) -> Plan:
    """Returns the differences between files and the catalogue in force.

    Entries that equal those in force and deletions of absent entries are left
    out.

    Args:
        sources: contents of the files.
        state: the catalogue in force.
    """
    upserts = [_plan_entry(source, state) for source in sources.entries]
    deletions = [_plan_deletion(source, state) for source in sources.deletions]
    edits = [edit for edit in [*upserts, *deletions] if edit is not None]
    return Plan(tuple(edits))


def _plan_entry(
    source: sources_lib.SourceEntry, state: catalogue_state.State
) -> EntryEdit | None:
    key = catalogue.get_key(source.entry)
    old = state.catalogue.find(key)
    fields = _diff_fields(old, source.entry)
    if old and not fields:
        return None
    return EntryEdit(
        Action.UPDATE if old else Action.CREATE,
        key,
        source.location,
        source.entry.version or state.version(key),
        source.raw,
        fields,
    )


def _plan_deletion(
    source: sources_lib.SourceDeletion, state: catalogue_state.State
) -> EntryEdit | None:
    old = state.catalogue.find(source.key)
    if old is None:
        return None
    return EntryEdit(
        Action.DELETE, source.key, source.location, old.version, None, ()
    )


def _strip_version(raw: dict[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in raw.items() if name != VERSION}


def _diff_fields(
    old: catalogue.Entry | None, new: catalogue.Entry
) -> tuple[FieldEdit, ...]:
    """Returns the fields that differ, ordered by pointer."""
    old_values = _flatten(_dump_fields(old)) if old else {}
    new_values = _flatten(_dump_fields(new))
    return tuple(
        FieldEdit(pointer, old_values.get(pointer), new_values.get(pointer))
        for pointer in sorted(old_values.keys() | new_values.keys())
        if old_values.get(pointer) != new_values.get(pointer)
    )


def _dump_fields(entry: catalogue.Entry) -> dict[str, Any]:
    fields = _strip_version(catalogue_json.dump_entry(entry))
    del fields["kind"], fields["name"]
    return fields


def _flatten(value: Any, pointer: str = "", name: str = "") -> dict[str, Any]:
    """Returns all leaves of JSON data by their pointers.

    Args:
        value: the JSON data.
        pointer: pointer of `value` itself.
        name: field name of `value`; empty for the whole entry.
    """
    if name in LISTS_KEYED_BY_NAME:
        value = {member["name"]: member for member in value}
    if not isinstance(value, dict):
        return {pointer: value}
    leaves = {}
    for member, inner in value.items():
        child_pointer = findings.join_pointer(pointer, member)
        leaves.update(_flatten(inner, child_pointer, member))
    return leaves
