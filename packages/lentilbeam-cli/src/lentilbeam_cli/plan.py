"""What applying files would change in the catalogue in force."""

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
LISTS_BY_NAME = frozenset({"targets"})


class Action(enum.Enum):
    """What happens to an entry."""

    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"


@dataclasses.dataclass(frozen=True, slots=True)
class FieldEdit:
    """One value that changes; None stands for absent as well as null."""

    pointer: str
    old: Any
    new: Any


@dataclasses.dataclass(frozen=True, slots=True)
class EntryEdit:
    """One entry that changes.

    Attributes:
        base: version that the edit is based on; 0 for an absent entry.
        raw: the new entry as the file has it; None for a deletion.
    """

    action: Action
    key: catalogue.EntryKey
    place: sources_lib.Place
    base: int
    raw: dict[str, Any] | None
    fields: tuple[FieldEdit, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """All entries that change: first the upserts, then the deletions."""

    edits: tuple[EntryEdit, ...]

    @property
    def upserts(self) -> list[EntryEdit]:
        """The edits that create or update."""
        return [edit for edit in self.edits if edit.raw is not None]

    @property
    def deletions(self) -> list[EntryEdit]:
        """The edits that delete."""
        return [edit for edit in self.edits if edit.raw is None]

    def build_change(
        self, name: catalogue_change.ChangeId, operator: str
    ) -> catalogue_change.Change:
        """Returns the change that carries out the plan."""
        return catalogue_change.Change(
            name,
            operator,
            tuple(
                catalogue_change.Base(edit.key, ids.Offset(edit.base))
                for edit in self.edits
            ),
            tuple(_strip_version(edit.raw) for edit in self.upserts),
            tuple(edit.key for edit in self.deletions),
        )

    def place(self, finding: findings.Finding) -> sources_lib.PlacedFinding:
        """Returns a finding about the change at its place in the files."""
        _, section, index, *rest = [*finding.pointer.split("/"), "", ""]
        edits = {
            "upserts": self.upserts,
            "deletes": self.deletions,
            "bases": self.edits,
        }.get(section)
        if edits is None or not index:
            place = sources_lib.Place("", finding.pointer)
        else:
            origin = edits[int(index)].place
            below = "".join(f"/{part}" for part in rest if part)
            place = sources_lib.Place(origin.path, origin.pointer + below)
        return sources_lib.PlacedFinding(place, finding.message)


def build_plan(
    sources: sources_lib.Sources, state: catalogue_state.State
) -> Plan:
    """Returns how the files differ from the catalogue in force."""
    upserts = [_plan_entry(source, state) for source in sources.entries]
    deletions = [_plan_deletion(source, state) for source in sources.deletions]
    edits = [edit for edit in [*upserts, *deletions] if edit is not None]
    return Plan(tuple(edits))


def _plan_entry(
    source: sources_lib.SourceEntry, state: catalogue_state.State
) -> EntryEdit | None:
    key = catalogue.get_key(source.entry)
    old = state.catalogue.find(key)
    fields = _compare(old, source.entry)
    if old and not fields:
        return None
    return EntryEdit(
        Action.UPDATE if old else Action.CREATE,
        key,
        source.place,
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
        Action.DELETE, source.key, source.place, old.version, None, ()
    )


def _strip_version(raw: dict[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in raw.items() if name != VERSION}


def _compare(
    old: catalogue.Entry | None, new: catalogue.Entry
) -> tuple[FieldEdit, ...]:
    before = _flatten(_dump(old)) if old else {}
    after = _flatten(_dump(new))
    return tuple(
        FieldEdit(pointer, before.get(pointer), after.get(pointer))
        for pointer in sorted(before.keys() | after.keys())
        if before.get(pointer) != after.get(pointer)
    )


def _dump(entry: catalogue.Entry) -> dict[str, Any]:
    fields = _strip_version(catalogue_json.dump_entry(entry))
    del fields["kind"], fields["name"]
    return fields


def _flatten(value: Any, pointer: str = "", name: str = "") -> dict[str, Any]:
    if name in LISTS_BY_NAME:
        value = {member["name"]: member for member in value}
    if not isinstance(value, dict):
        return {pointer: value}
    leaves = {}
    for member, inner in value.items():
        below = findings.join_pointer(pointer, member)
        leaves.update(_flatten(inner, below, member))
    return leaves
