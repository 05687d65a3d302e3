"""Records of the stream `claims` and their JSON form.

Unknown kinds and malformed records are skipped by every reader alike, so
that all readers of the same prefix agree.
"""

import dataclasses
import sys
from typing import Any

from lentilbeam_core import ids
from lentilbeam_core import outcome
from lentilbeam_core import request_key


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimId:
    """Identifies a claim: the router's start that made it, and a number.

    Numbers grow within one incarnation. An incarnation claims a key anew only
    after it barred its earlier claims of the key.
    """

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The router asks to be the only one to run the key's request."""

    key: request_key.RequestKey
    claim: ClaimId


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """The claim's router never ran the request and never will."""

    key: request_key.RequestKey
    claim: ClaimId


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The claim's router knows how the request ended."""

    key: request_key.RequestKey
    claim: ClaimId
    run_outcome: outcome.Outcome


Record = Claim | Release | Done


def dump_record(record: Record) -> dict[str, Any]:
    """Returns the JSON form of a record."""
    kind = type(record).__name__.lower()
    claim = record.claim
    value = {
        "kind": kind,
        "workspace": record.key.workspace,
        "request_id": record.key.request_id,
        "claim": [claim.instance, claim.incarnation, claim.number],
    }
    if isinstance(record, Done):
        value["outcome"] = record.run_outcome.value
    return value


def parse_record(value: Any) -> Record | None:
    """Returns the record in a JSON value; None for one to be skipped."""
    try:
        return _parse(value)
    except (KeyError, TypeError, ValueError):
        return None


def _parse(value: dict[str, Any]) -> Record | None:
    if request_key.find_format_faults(value["request_id"]):
        return None
    key = request_key.RequestKey(
        ids.WorkspaceId(sys.intern(str(value["workspace"]))),
        ids.RequestId(value["request_id"]),
    )
    instance, incarnation, number = value["claim"]
    claim = ClaimId(
        ids.InstanceId(sys.intern(str(instance))),
        ids.Incarnation(int(incarnation)),
        int(number),
    )
    match value["kind"]:
        case "claim":
            return Claim(key, claim)
        case "release":
            return Release(key, claim)
        case "done":
            return Done(key, claim, outcome.Outcome(value["outcome"]))
    return None
