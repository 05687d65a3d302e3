"""Conversion of catalogue entries from and to JSON.

The shape of each kind of entry is a `msgspec` structure, which decides
whether an entry is well-formed. `msgspec` reports only the first finding, so
a JSON schema derived from the structure is used to list all findings.
"""

import functools
import sys
from typing import Annotated
from typing import Any
from typing import Literal

import expression
import jsonschema
import msgspec

from lentilbeam_core import catalogue
from lentilbeam_core import findings
from lentilbeam_core import ids

MAX_WEIGHT = 1e6
"""Largest weight of a class."""
MAX_COUNT = 1_000_000
"""Largest count; also the largest rate, in requests per second."""
MAX_COST = 1e12
"""Largest cost, in cost units."""

Name = Annotated[
    str,
    msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._:@-]*\Z", max_length=128),
]
Count = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
Version = Annotated[int, msgspec.Meta(ge=0)]

Parsed = expression.Result[catalogue.Entry, tuple[findings.Finding, ...]]


class WireClass(msgspec.Struct):
    """JSON shape of a class."""

    name: Name
    owner: Name
    weight: Annotated[float, msgspec.Meta(gt=0, le=MAX_WEIGHT)]
    kind: Literal["class"] = "class"
    version: Version = 0


class WireLimits(msgspec.Struct):
    """JSON shape of a workspace's limits."""

    concurrency: Count | None = None
    rate_per_s: Annotated[float, msgspec.Meta(gt=0, le=MAX_COUNT)] | None = None
    queue_length: Count = 64
    largest_request: Annotated[float, msgspec.Meta(gt=0, le=MAX_COST)] = 4096.0


class WireWorkspace(msgspec.Struct, rename={"class_name": "class"}):
    """JSON shape of a workspace."""

    name: Name
    owner: Name
    class_name: Name
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    kind: Literal["workspace"] = "workspace"
    version: Version = 0


class WireTarget(msgspec.Struct):
    """JSON shape of a target."""

    name: Name
    url: Annotated[
        str, msgspec.Meta(pattern=r"^https?://[^\s/?#]+\S*\Z", max_length=2048)
    ]
    data_centre: Name
    slots: Count


class WirePool(msgspec.Struct):
    """JSON shape of a pool."""

    name: Name
    owner: Name
    service: Literal["model", "plain"]
    targets: list[WireTarget]
    idempotent_calls: list[Name] = []
    kind: Literal["pool"] = "pool"
    version: Version = 0


WireEntry = WireClass | WireWorkspace | WirePool

WIRE_TYPES = {
    catalogue.EntryKind.CLASS.value: WireClass,
    catalogue.EntryKind.WORKSPACE.value: WireWorkspace,
    catalogue.EntryKind.POOL.value: WirePool,
}


def parse_entry(raw: Any, pointer: str) -> Parsed:
    """Parses an entry.

    Args:
        raw: the entry, as JSON data.
        pointer: JSON pointer to `raw` in its document, for the findings.

    Returns:
        `Ok` with the entry, or `Error` with all findings.
    """
    found: list[findings.Finding] = []
    entry = parse_entry_into(raw, pointer, found)
    if entry is None:
        return expression.Error(tuple(found))
    return expression.Ok(entry)


def parse_entry_into(
    raw: Any, pointer: str, found: list[findings.Finding]
) -> catalogue.Entry | None:
    """Parses an entry; appends all findings to `found`.

    Args:
        raw: the entry, as JSON data.
        pointer: JSON pointer to `raw` in its document, for the findings.
        found: list to append to.

    Returns:
        The entry, or None if it is malformed.
    """
    kind = raw.get("kind") if isinstance(raw, dict) else None
    wire_type = WIRE_TYPES.get(kind) if isinstance(kind, str) else None
    if wire_type is None:
        found.append(_build_kind_finding(raw, pointer))
        return None
    wire = parse_struct_into(raw, wire_type, pointer, found)
    return None if wire is None else _to_entry(wire, raw)


def parse_struct_into(
    raw: Any, wire_type: type, pointer: str, found: list[findings.Finding]
) -> Any | None:
    """Parses JSON data as a structure; appends all findings to `found`.

    Args:
        raw: JSON data.
        wire_type: type of the structure.
        pointer: JSON pointer to `raw` in its document, for the findings.
        found: list to append to.

    Returns:
        The structure, or None if `raw` is malformed.
    """
    try:
        return msgspec.convert(raw, type=wire_type)
    except msgspec.ValidationError as error:
        schema_findings = findings.collect_findings(
            _build_validator(wire_type), raw, pointer
        )
        fallback = findings.Finding(pointer, str(error))
        found.extend(schema_findings or [fallback])
        return None


def parse_struct(
    raw: Any, wire_type: type, pointer: str
) -> expression.Result[Any, tuple[findings.Finding, ...]]:
    """Parses JSON data as a structure.

    Args:
        raw: JSON data.
        wire_type: type of the structure.
        pointer: JSON pointer to `raw` in its document, for the findings.

    Returns:
        `Ok` with the structure, or `Error` with all findings.
    """
    found: list[findings.Finding] = []
    wire = parse_struct_into(raw, wire_type, pointer, found)
    return expression.Error(tuple(found)) if found else expression.Ok(wire)


def read_key(raw: Any) -> catalogue.EntryKey | None:
    """Returns the key of an entry that may otherwise be malformed.

    Args:
        raw: the entry, as JSON data.

    Returns:
        The key, or None if the kind or the name is missing or malformed.
    """
    if not isinstance(raw, dict):
        return None
    kind, name = raw.get("kind"), raw.get("name")
    if not isinstance(name, str) or not isinstance(kind, str):
        return None
    if kind not in WIRE_TYPES:
        return None
    return catalogue.EntryKey(catalogue.EntryKind(kind), name)


def dump_entry(entry: catalogue.Entry) -> dict[str, Any]:
    """Returns the entry as JSON data, including its unknown fields."""
    if isinstance(entry, catalogue.WorkspaceClass):
        fields = {"weight": entry.weight}
    elif isinstance(entry, catalogue.Workspace):
        fields = {"class": entry.class_name, "limits": _dump_limits(entry)}
    else:
        fields = {
            "service": entry.kind.value,
            "targets": [_dump_target(target) for target in entry.targets],
            "idempotent_calls": sorted(entry.idempotent_calls),
        }
    return {
        "kind": catalogue.get_key(entry).kind.value,
        "name": entry.name,
        "owner": entry.owner,
        **fields,
        "version": entry.version,
        **parse_unknown_fields(entry.unknown_fields),
    }


def _dump_limits(workspace: catalogue.Workspace) -> dict[str, Any]:
    limits = workspace.limits
    return {
        "concurrency": limits.concurrency,
        "rate_per_s": limits.rate_per_s,
        "queue_length": limits.queue_length,
        "largest_request": limits.largest_request,
        **parse_unknown_fields(limits.unknown_fields),
    }


def _dump_target(target: catalogue.Target) -> dict[str, Any]:
    return {
        "name": target.name,
        "url": target.url,
        "data_centre": target.data_centre,
        "slots": target.slots,
        **parse_unknown_fields(target.unknown_fields),
    }


def parse_unknown_fields(unknown_fields: str) -> dict[str, Any]:
    """Returns unknown fields from their JSON text; {} for empty text."""
    return msgspec.json.decode(unknown_fields) if unknown_fields else {}


def dump_unknown_fields(raw: dict[str, Any], wire_type: type) -> str:
    """Returns the fields of `raw` that the type doesn't have, as JSON text.

    The text is empty if there are none.
    """
    unknown = raw.keys() - _known_fields(wire_type)
    if not unknown:
        return ""
    fields = {name: raw[name] for name in unknown}
    return msgspec.json.encode(fields, order="deterministic").decode()


@functools.cache
def _known_fields(wire_type: type) -> frozenset[str]:
    return frozenset(wire_type.__struct_encode_fields__)


def _to_entry(wire: WireEntry, raw: dict[str, Any]) -> catalogue.Entry:
    unknown_fields = dump_unknown_fields(raw, type(wire))
    if isinstance(wire, WireClass):
        return catalogue.WorkspaceClass(
            ids.ClassId(wire.name),
            sys.intern(wire.owner),
            wire.weight,
            wire.version,
            unknown_fields,
        )
    if isinstance(wire, WireWorkspace):
        return catalogue.Workspace(
            ids.WorkspaceId(wire.name),
            sys.intern(wire.owner),
            ids.ClassId(sys.intern(wire.class_name)),
            _to_limits(wire.limits, raw.get("limits", {})),
            wire.version,
            unknown_fields,
        )
    return catalogue.Pool(
        ids.PoolId(wire.name),
        sys.intern(wire.owner),
        catalogue.ServiceKind(wire.service),
        tuple(map(_to_target, wire.targets, raw["targets"])),
        frozenset(wire.idempotent_calls),
        wire.version,
        unknown_fields,
    )


def _to_limits(wire: WireLimits, raw: dict[str, Any]) -> catalogue.Limits:
    return catalogue.Limits(
        wire.concurrency,
        wire.rate_per_s,
        wire.queue_length,
        wire.largest_request,
        dump_unknown_fields(raw, WireLimits),
    )


def _to_target(wire: WireTarget, raw: dict[str, Any]) -> catalogue.Target:
    return catalogue.Target(
        ids.TargetId(wire.name),
        wire.url,
        ids.DataCentreId(wire.data_centre),
        wire.slots,
        dump_unknown_fields(raw, WireTarget),
    )


def _build_kind_finding(raw: Any, pointer: str) -> findings.Finding:
    if not isinstance(raw, dict):
        return findings.Finding(pointer, "is not an object")
    kinds = ", ".join(WIRE_TYPES)
    if "kind" not in raw:
        return findings.Finding(pointer, f"'kind' is missing; one of {kinds}")
    return findings.Finding(
        findings.join_pointer(pointer, "kind"), f"is not one of {kinds}"
    )


@functools.cache
def _build_validator(wire_type: type) -> jsonschema.Draft202012Validator:
    return jsonschema.Draft202012Validator(msgspec.json.schema(wire_type))
