"""Records of the stream `claims` and their JSON form.

Every reader skips unknown kinds and malformed records, so that all readers
that have read up to the same offset agree on who holds each key.
"""

import dataclasses
import sys
from typing import Any

from lentilbeam_core import ids
from lentilbeam_core import outcome
from lentilbeam_core import request_key


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimId:
    """Identifies a claim by the process that made it and a number.

    An incarnation claims a key again only after it has revoked its earlier
    claims of that key.

    Attributes:
        instance: the router instance.
        incarnation: the start of the process on that instance.
        number: grows with each claim of the incarnation.
    """

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A router asks to be the only one to run the key's request."""

    key: request_key.RequestKey
    claim: ClaimId


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """The claim's router has not run the request and never will.

    This holds for the claim and all earlier claims of the key by the same
    incarnation.
    """

    key: request_key.RequestKey
    claim: ClaimId


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The run under the claim is over.

    Attributes:
        run_outcome: how the run ended.
    """

    key: request_key.RequestKey
    claim: ClaimId
    run_outcome: outcome.Outcome


Record = Claim | Release | Done


def dump_record(record: Record) -> dict[str, Any]:
    """Returns a record as JSON data."""
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
    """Returns the record of a JSON value, or None if it must be skipped."""
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
