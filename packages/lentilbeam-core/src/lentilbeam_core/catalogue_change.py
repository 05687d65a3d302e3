"""Change records of the catalogue's log stream, and verdicts on them.

A change lists the version of each entry that it was based on; version 0
stands for an entry that did not exist. It is accepted only if these are the
current versions. Records are JSON objects whose field `record` holds their
kind.
"""

import dataclasses
import enum
from typing import Annotated
from typing import Any
from typing import Literal
from typing import NewType

import expression
import msgspec

from lentilbeam_core import catalogue
from lentilbeam_core import catalogue_json
from lentilbeam_core import findings as findings_lib
from lentilbeam_core import ids
from lentilbeam_core import uuid7

ChangeId = NewType("ChangeId", str)
"""A UUIDv7 (RFC 9562) in its canonical text form."""

RECORD_FIELD = "record"
CHANGE = "change"

_MAX_OPERATOR_LENGTH = 128


@dataclasses.dataclass(frozen=True, slots=True)
class Base:
    """The version of an entry that a change was based on."""

    key: catalogue.EntryKey
    version: ids.Offset


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One operator's change of one or more entries, applied atomically.

    Attributes:
        change_id: the change's id (`id` in JSON).
        operator: who made it.
        bases: the versions that it was based on, of each changed entry.
        upserts: entries to create or replace, as unvalidated JSON data.
        deletes: keys of the entries to delete.
    """

    change_id: ChangeId
    operator: str
    bases: tuple[Base, ...]
    upserts: tuple[Any, ...]
    deletes: tuple[catalogue.EntryKey, ...]


class Status(enum.Enum):
    """Whether a change was accepted."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"


@dataclasses.dataclass(frozen=True, slots=True)
class Winner:
    """The accepted change that made another change's bases outdated.

    Attributes:
        offset: offset of its record.
        change_id: the change's id (`id` in JSON); None if its verdict was
            evicted.
        operator: who made it; None if its verdict was evicted.
    """

    offset: ids.Offset
    change_id: ChangeId | None = None
    operator: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The decision on a change, the same at all readers of the log.

    Attributes:
        change_id: the change's id (`id` in JSON).
        operator: who made it.
        offset: offset of the record that the decision is about.
        status: the decision.
        findings: why the change was rejected; empty if it was accepted.
        winner: for a rejected change with outdated bases, the change that
            outdated them; else None.
    """

    change_id: ChangeId
    operator: str
    offset: ids.Offset
    status: Status
    findings: tuple[findings_lib.Finding, ...] = ()
    winner: Winner | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class MalformedChange:
    """A change record of which only the id and operator can be parsed.

    Attributes:
        change_id: the change's id (`id` in JSON).
        operator: who made it; empty if that can't be parsed either.
        findings: what is wrong with the record.
    """

    change_id: ChangeId
    operator: str
    findings: tuple[findings_lib.Finding, ...]


class _WireFinding(msgspec.Struct):
    pointer: str
    message: str


class _WireWinner(msgspec.Struct, omit_defaults=True):
    offset: int
    id: str | None = None
    operator: str | None = None


class _WireVerdict(msgspec.Struct, omit_defaults=True):
    id: Annotated[str, msgspec.Meta(pattern=uuid7.PATTERN)]
    operator: str
    offset: Annotated[int, msgspec.Meta(ge=1)]
    status: Literal["accepted", "rejected"]
    findings: list[_WireFinding] = []
    winner: _WireWinner | None = None


class _WireKey(msgspec.Struct):
    kind: Literal["class", "workspace", "pool"]
    name: str


class _WireBase(_WireKey):
    version: Annotated[int, msgspec.Meta(ge=0)]


class _WireChange(msgspec.Struct):
    id: Annotated[str, msgspec.Meta(pattern=uuid7.PATTERN)]
    operator: catalogue_json.Name
    bases: list[_WireBase]
    upserts: list[Any]
    deletes: list[_WireKey]


def dump_change(change: Change) -> dict[str, Any]:
    """Returns the log record of a change, as JSON data."""
    return {
        RECORD_FIELD: CHANGE,
        "id": change.change_id,
        "operator": change.operator,
        "bases": [
            {**dump_key(base.key), "version": base.version}
            for base in change.bases
        ],
        "upserts": list(change.upserts),
        "deletes": [dump_key(key) for key in change.deletes],
    }


def parse_change(
    value: dict[str, Any],
) -> expression.Result[Change, MalformedChange | None]:
    """Parses the record of a change.

    Args:
        value: the record, as JSON data.

    Returns:
        `Ok` with the change, or `Error` with a `MalformedChange`, or with
        None if the record has no valid change id; such a record gets no
        verdict.
    """
    found: list[findings_lib.Finding] = []
    wire = catalogue_json.parse_struct_into(value, _WireChange, "", found)
    if wire is None:
        return expression.Error(_build_malformed(value, tuple(found)))
    return expression.Ok(
        Change(
            ChangeId(wire.id),
            wire.operator,
            tuple(
                Base(_to_key(base), ids.Offset(base.version))
                for base in wire.bases
            ),
            tuple(wire.upserts),
            tuple(_to_key(key) for key in wire.deletes),
        )
    )


def dump_key(key: catalogue.EntryKey) -> dict[str, str]:
    """Returns a key as JSON data."""
    return {"kind": key.kind.value, "name": key.name}


def dump_verdict(verdict: Verdict) -> dict[str, Any]:
    """Returns a verdict as JSON data."""
    winner = verdict.winner
    wire = _WireVerdict(
        verdict.change_id,
        verdict.operator,
        verdict.offset,
        verdict.status.value,
        [_WireFinding(f.pointer, f.message) for f in verdict.findings],
        winner
        and _WireWinner(winner.offset, winner.change_id, winner.operator),
    )
    return msgspec.to_builtins(wire)


def parse_verdict(
    raw: Any, pointer: str
) -> expression.Result[Verdict, tuple[findings_lib.Finding, ...]]:
    """Parses a verdict.

    Args:
        raw: the verdict, as JSON data.
        pointer: JSON pointer to `raw` in its document, for the findings.

    Returns:
        `Ok` with the verdict, or `Error` with all findings.
    """
    parsed = catalogue_json.parse_struct(raw, _WireVerdict, pointer)
    return parsed.map(_to_verdict)


def _to_verdict(wire: _WireVerdict) -> Verdict:
    winner = wire.winner
    return Verdict(
        ChangeId(wire.id),
        wire.operator,
        ids.Offset(wire.offset),
        Status(wire.status),
        tuple(
            findings_lib.Finding(f.pointer, f.message) for f in wire.findings
        ),
        winner
        and Winner(
            ids.Offset(winner.offset),
            winner.id and ChangeId(winner.id),
            winner.operator,
        ),
    )


def parse_key(
    raw: Any, pointer: str
) -> expression.Result[catalogue.EntryKey, tuple[findings_lib.Finding, ...]]:
    """Parses an entry's key.

    Args:
        raw: the key, as JSON data.
        pointer: JSON pointer to `raw` in its document, for the findings.

    Returns:
        `Ok` with the key, or `Error` with all findings.
    """
    parsed = catalogue_json.parse_struct(raw, _WireKey, pointer)
    return parsed.map(_to_key)


def _to_key(wire: _WireKey) -> catalogue.EntryKey:
    return catalogue.EntryKey(catalogue.EntryKind(wire.kind), wire.name)


def _build_malformed(
    value: dict[str, Any], found: tuple[findings_lib.Finding, ...]
) -> MalformedChange | None:
    change_id = value.get("id")
    if not isinstance(change_id, str) or not uuid7.is_valid(change_id):
        return None
    operator = value.get("operator")
    operator = (
        operator[:_MAX_OPERATOR_LENGTH] if isinstance(operator, str) else ""
    )
    return MalformedChange(ChangeId(change_id), operator, found)
