"""Builders of catalogue records for tests."""

import dataclasses
from typing import Any

from lentilbeam_core import catalogue
from lentilbeam_core import catalogue_change
from lentilbeam_core import catalogue_log
from lentilbeam_core import catalogue_state
from lentilbeam_core import ids
from lentilbeam_core import uuid7


def make_class(name: str, owner: str = "ada", weight: float = 1.0):
    return {"kind": "class", "name": name, "owner": owner, "weight": weight}


def make_workspace(name: str, class_name: str, owner: str = "ada", **limits):
    return {
        "kind": "workspace",
        "name": name,
        "owner": owner,
        "class": class_name,
        "limits": limits,
    }


def make_pool(name: str, targets: list[str], owner: str = "ada"):
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


def key(kind: str, name: str) -> catalogue.EntryKey:
    return catalogue.EntryKey(catalogue.EntryKind(kind), name)


def change_id(number: int) -> catalogue_change.ChangeId:
    return catalogue_change.ChangeId(uuid7.encode(1_000_000 + number, number))


def make_change(
    number: int,
    upserts: list[Any] = (),
    deletes: list[catalogue.EntryKey] = (),
    bases: dict[catalogue.EntryKey, int] | None = None,
    operator: str = "ada",
) -> dict[str, Any]:
    """Returns a change record; bases default to absence (version 0)."""
    keys = [key(raw["kind"], raw["name"]) for raw in upserts]
    versions = dict.fromkeys([*keys, *deletes], 0) | (bases or {})
    change = catalogue_change.Change(
        change_id(number),
        operator,
        tuple(
            catalogue_change.Base(k, ids.Offset(v)) for k, v in versions.items()
        ),
        tuple(upserts),
        tuple(deletes),
    )
    return catalogue_change.dump_change(change)


@dataclasses.dataclass
class Evaluated:
    """A log's values evaluated in order from offset 1."""

    state: catalogue_state.State
    verdicts: list[catalogue_change.Verdict | None]

    def is_accepted(self) -> list[bool]:
        """Tells of each record whether it is an accepted change."""
        return [
            verdict is not None
            and verdict.status is catalogue_change.Status.ACCEPTED
            for verdict in self.verdicts
        ]

    def last_findings(self) -> list[tuple[str, str]]:
        """Returns pointer and message of the last record's findings."""
        return [(f.pointer, f.message) for f in self.verdicts[-1].findings]


def evaluate(*values: Any) -> Evaluated:
    state = catalogue_state.State()
    verdicts = [
        catalogue_log.apply_record(state, ids.Offset(offset), value)
        for offset, value in enumerate(values, start=1)
    ]
    return Evaluated(state, verdicts)
