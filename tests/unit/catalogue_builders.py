"""Builds catalogue entries and change records, and applies them."""

import dataclasses
from typing import Any

from lentilbeam_core import catalogue
from lentilbeam_core import catalogue_change
from lentilbeam_core import catalogue_log
from lentilbeam_core import catalogue_state
from lentilbeam_core import ids
from lentilbeam_core import uuid7


def make_class(name: str, owner: str = "ada", weight: float = 1.0):
    """Returns a workspace class as a JSON value."""
    return {"kind": "class", "name": name, "owner": owner, "weight": weight}


def make_workspace(name: str, class_name: str, owner: str = "ada", **limits):
    """Returns a workspace with the given limits as a JSON value."""
    return {
        "kind": "workspace",
        "name": name,
        "owner": owner,
        "class": class_name,
        "limits": limits,
    }


def make_pool(name: str, targets: list[str], owner: str = "ada"):
    """Returns a pool of model targets with 4 slots each as a JSON value."""
    return {
        "kind": "pool",
        "name": name,
        "owner": owner,
        "service": "model",
        "targets": [
            {
                "name": target,
                "url": f"http://127.0.0.1/{target}",
                "data_centre": "north",
                "slots": 4,
            }
            for target in targets
        ],
    }


def make_key(kind: str, name: str) -> catalogue.EntryKey:
    """Returns the key of an entry; `kind` is the value of an `EntryKind`."""
    return catalogue.EntryKey(catalogue.EntryKind(kind), name)


def make_change_id(number: int) -> catalogue_change.ChangeId:
    """Returns a change id; ids are ordered by their numbers."""
    return catalogue_change.ChangeId(uuid7.encode(1_000_000 + number, number))


def make_change(
    number: int,
    upserts: list[Any] = (),
    deletes: list[catalogue.EntryKey] = (),
    bases: dict[catalogue.EntryKey, int] | None = None,
    operator: str = "ada",
) -> dict[str, Any]:
    """Returns a change record as a JSON value.

    Args:
        number: number from which the change id is made.
        upserts: entries to create or replace, as JSON values.
        deletes: keys of the entries to delete.
        bases: version by key that the change is based on. A changed entry
            that is missing here has version 0, which means that the entry
            doesn't exist.
        operator: author of the change.
    """
    keys = [make_key(raw["kind"], raw["name"]) for raw in upserts]
    versions = dict.fromkeys([*keys, *deletes], 0) | (bases or {})
    change = catalogue_change.Change(
        make_change_id(number),
        operator,
        tuple(
            catalogue_change.Base(k, ids.Offset(v)) for k, v in versions.items()
        ),
        tuple(upserts),
        tuple(deletes),
    )
    return catalogue_change.dump_change(change)


@dataclasses.dataclass
class ApplyResult:
    """The result of applying records to an empty state.

    Attributes:
        state: the state after the last record.
        verdicts: one verdict per record; None for a record that isn't a
            change with a valid id.
    """

    state: catalogue_state.State
    verdicts: list[catalogue_change.Verdict | None]

    def accepted_flags(self) -> list[bool]:
        """Returns for each record whether it is an accepted change."""
        return [
            verdict is not None
            and verdict.status is catalogue_change.Status.ACCEPTED
            for verdict in self.verdicts
        ]

    def last_findings(self) -> list[tuple[str, str]]:
        """Returns (pointer, message) of the last record's findings."""
        return [(f.pointer, f.message) for f in self.verdicts[-1].findings]


def apply_records(*values: Any) -> ApplyResult:
    """Applies records in order, the first one at offset 1."""
    state = catalogue_state.State()
    verdicts = [
        catalogue_log.apply_record(state, ids.Offset(offset), value)
        for offset, value in enumerate(values, start=1)
    ]
    return ApplyResult(state, verdicts)
