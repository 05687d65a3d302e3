"""Encodes the messages between routers as packed Cap'n Proto.

Costs and virtual times are rounded to whole units, durations are in
milliseconds. Names that occur in the items of lists are sent once per
message, in the field `names`; items refer to them by index.
"""

from collections.abc import Callable
import dataclasses
import enum
import operator
import pathlib
import re
from typing import Any

import capnp

from lentilbeam_core import ids
from lentilbeam_core import messages

MAX_DATAGRAM_BYTES = 16_384
"""Longer datagrams are rejected: no router sends them. A `LoadReport` with the
sums of a whole fleet takes about 6 KB."""
TRAVERSAL_LIMIT_WORDS = 16384
"""Cap'n Proto traversal limit for decoding, in words of 8 bytes: 128 KiB.

It applies to the unpacked message, which is longer than the datagram.
"""

_schema = capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))
_ENVELOPE_FIELDS = _schema.Envelope.schema.fields


class PeerCodecError(ValueError):
    """A datagram can't be decoded as a message of this protocol."""


def encode(sender: ids.InstanceId, message: messages.PeerMessage) -> bytes:
    """Returns the datagram for a message.

    Args:
        sender: name of the router that sends the message.
        message: the message; values of unsigned integer fields are rounded and
            clipped to the field's range.
    """
    envelope = _schema.Envelope.new_message(sender=sender)
    member = _UNION_MEMBERS[type(message)]
    _write_message(envelope.init(member), message)
    return envelope.to_bytes_packed()


def decode(data: bytes) -> tuple[ids.InstanceId, messages.PeerMessage]:
    """Returns the sender and the message of a datagram.

    Raises:
        PeerCodecError: the datagram is too long or malformed.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise PeerCodecError(f"datagram of {len(data)} bytes is too long")
    try:
        envelope = _schema.Envelope.from_bytes_packed(
            data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        )
        read = envelope._get_by_field
        member = str(envelope.which())
        message = _read_message(
            read(_ENVELOPE_FIELDS[member]), _MESSAGE_TYPES[member]
        )
        return ids.InstanceId(read(_ENVELOPE_FIELDS["sender"])), message
    except (capnp.KjException, ValueError, LookupError) as error:
        raise PeerCodecError(str(error)) from error


_UNION_MEMBERS = {
    messages.Heartbeat: "heartbeat",
    messages.DemandReport: "report",
    messages.GrantUpdate: "update",
    messages.LoadReport: "load",
    messages.OriginReport: "origins",
    messages.OriginQuestion: "question",
}
_MESSAGE_TYPES = {
    member: message_type for message_type, member in _UNION_MEMBERS.items()
}
_ITEM_TYPES = {
    "workspaces": messages.WorkspaceDemand,
    "slots": messages.SlotUse,
    "targets": messages.TargetUse,
    "grants": messages.Grant,
    "queues": messages.QueuedElsewhere,
    "loads": messages.TargetLoad,
    "uses": messages.WorkspaceUse,
    "placed": messages.PlacedPart,
    "included": messages.Included,
    "crashes": messages.CrashReport,
    "blocks": messages.BlockReport,
    "demands": messages.PoolDemand,
    "evacuations": messages.KeptEvacuation,
    "origins": messages.StreamOrigin,
}


@dataclasses.dataclass(frozen=True, slots=True)
class _Field:
    """Describes how a field of a message is encoded.

    Attributes:
        name: name of the field in the message's dataclass.
        wire_name: name of the field in the schema.
        is_float: whether the field is a float in the dataclass.
        is_name_index: whether the field of an item is an index into `names`.
            Applies to items of lists only; in the message itself a name is
            text.
        item: dataclass of the list's items; None if the field is no list.
        max_value: largest value of an unsigned field; 0 for other types.
        enum_type: enum of the field's values, or None.
        schema: the field's schema. Access by it takes a third of the time of
            access by name.
    """

    name: str
    wire_name: str
    is_float: bool
    is_name_index: bool
    item: type | None
    max_value: int
    enum_type: type[enum.Enum] | None
    schema: Any


@dataclasses.dataclass(frozen=True, slots=True)
class _ItemPlan:
    """How the items of lists of one type are encoded and decoded.

    Attributes:
        schemas: schemas of the fields, in the order of the dataclass.
        get_values: returns the values of an item's fields, as a tuple.
        name_positions: positions of the fields that are indexes into `names`.
        max_values: position and largest value of each other unsigned field.
        float_positions: positions of the integers that are floats in the
            dataclass.
    """

    schemas: tuple[Any, ...]
    get_values: Callable[[Any], tuple[Any, ...]]
    name_positions: tuple[int, ...]
    max_values: tuple[tuple[int, int], ...]
    float_positions: tuple[int, ...]


def _to_wire_name(name: str) -> str:
    return re.sub(r"_(\w)", lambda match: match.group(1).upper(), name)


_NAME_FIELDS = {
    "workspace",
    "target",
    "preferred",
    "prefix",
    "pool",
    "router",
    "version",
    "data_centre",
}
_ENUM_TYPES = {"kind": messages.ReportKind}
_BIT_WIDTHS = {"uint8": 8, "uint16": 16, "uint32": 32, "uint64": 64}
_STRUCTS = {
    messages.Heartbeat: _schema.Heartbeat,
    messages.DemandReport: _schema.DemandReport,
    messages.GrantUpdate: _schema.GrantUpdate,
    messages.WorkspaceDemand: _schema.WorkspaceDemand,
    messages.SlotUse: _schema.SlotUse,
    messages.TargetUse: _schema.TargetUse,
    messages.Grant: _schema.Grant,
    messages.QueuedElsewhere: _schema.QueuedElsewhere,
    messages.LoadReport: _schema.LoadReport,
    messages.TargetLoad: _schema.TargetLoad,
    messages.WorkspaceUse: _schema.WorkspaceUse,
    messages.PlacedPart: _schema.PlacedPart,
    messages.Included: _schema.Included,
    messages.CrashReport: _schema.CrashReport,
    messages.BlockReport: _schema.BlockReport,
    messages.PoolDemand: _schema.PoolDemand,
    messages.KeptEvacuation: _schema.KeptEvacuation,
    messages.OriginReport: _schema.OriginReport,
    messages.OriginQuestion: _schema.OriginQuestion,
    messages.StreamOrigin: _schema.StreamOrigin,
}


def _build_fields(struct_type: type) -> tuple[_Field, ...]:
    fields = _STRUCTS[struct_type].schema.fields
    field_list = []
    for field in dataclasses.fields(struct_type):
        wire_name = _to_wire_name(field.name)
        wire_type = fields[wire_name].proto.slot.type.which()
        width = _BIT_WIDTHS.get(str(wire_type), 0)
        is_float = field.type in (float, "float")
        is_name_index = field.name in _NAME_FIELDS
        item = _ITEM_TYPES.get(field.name)
        max_value = 2**width - 1
        enum_type = _ENUM_TYPES.get(field.name)
        field_list.append(
            _Field(
                field.name,
                wire_name,
                is_float,
                is_name_index,
                item,
                max_value,
                enum_type,
                fields[wire_name],
            )
        )
    return tuple(field_list)


def _build_plan(fields: tuple[_Field, ...]) -> _ItemPlan:
    names = [field.name for field in fields]
    get_values = operator.attrgetter(*names)
    return _ItemPlan(
        tuple(field.schema for field in fields),
        # With a single name, `attrgetter` returns no tuple.
        get_values if len(names) > 1 else lambda item: (get_values(item),),
        tuple(n for n, field in enumerate(fields) if field.is_name_index),
        tuple(
            (n, field.max_value)
            for n, field in enumerate(fields)
            if field.max_value and not field.is_name_index
        ),
        tuple(
            n
            for n, field in enumerate(fields)
            if field.is_float and field.max_value
        ),
    )


_FIELDS = {struct_type: _build_fields(struct_type) for struct_type in _STRUCTS}
_ITEM_PLANS = {
    item_type: _build_plan(_FIELDS[item_type])
    for item_type in _ITEM_TYPES.values()
}
_NAMES_SCHEMAS = {
    struct_type: _STRUCTS[struct_type].schema.fields["names"]
    for struct_type, fields in _FIELDS.items()
    if any(field.item for field in fields)
}
"""Schema of the field `names` of each message that has lists."""


def _write_message(builder, message) -> None:
    # Index of each name; 0 is the empty name, which is not sent.
    indexes = {"": 0}
    for field in _FIELDS[type(message)]:
        value = getattr(message, field.name)
        if field.item is None:
            _write_value(builder, field, value)
        elif value:
            item_builders = builder.init(field.wire_name, len(value))
            _write_items(item_builders, value, _ITEM_PLANS[field.item], indexes)
    if len(indexes) > 1:
        builder.names = list(indexes)[1:]


def _write_items(builders, items, plan: _ItemPlan, indexes) -> None:
    """Writes the items of a list; adds their new names to `indexes`."""
    for builder, item in zip(builders, items, strict=True):
        values = list(plan.get_values(item))
        for position in plan.name_positions:
            name = values[position]
            values[position] = indexes.setdefault(name, len(indexes))
        for position, max_value in plan.max_values:
            values[position] = _clip(values[position], max_value)
        write = builder._set_by_field
        for schema, value in zip(plan.schemas, values, strict=True):
            if value:  # Fields of a new item are 0.
                write(schema, value)


def _clip(value: float, max_value: int) -> int:
    """Returns a value rounded and clipped to the range of its field."""
    if not value or value < 0:
        return 0
    return round(value) if value < max_value else max_value


def _write_value(builder, field: _Field, value) -> None:
    if field.enum_type is not None:
        value = value.value
    elif field.max_value:
        value = _clip(value, field.max_value)
    builder._set_by_field(field.schema, value)


def _read_message(reader, message_type: type):
    read = reader._get_by_field
    names_schema = _NAMES_SCHEMAS.get(message_type)
    names = ["", *read(names_schema)] if names_schema is not None else []
    values = []
    for field in _FIELDS[message_type]:
        value = read(field.schema)
        if field.item is not None:
            value = _read_items(value, field.item, names) if len(value) else ()
        elif field.enum_type is not None:
            value = field.enum_type(value)
        values.append(float(value) if field.is_float else value)
    return message_type(*values)


def _read_items(readers, item_type: type, names: list[str]) -> tuple:
    plan = _ITEM_PLANS[item_type]
    items = []
    for reader in readers:
        values = list(map(reader._get_by_field, plan.schemas))
        for position in plan.name_positions:
            values[position] = names[values[position]]
        for position in plan.float_positions:
            values[position] = float(values[position])
        items.append(item_type(*values))
    return tuple(items)
