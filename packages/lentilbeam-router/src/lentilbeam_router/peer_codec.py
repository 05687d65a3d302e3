"""Encodes the messages between routers as packed Cap'n Proto.

Costs and virtual times are rounded to whole units, durations are in
milliseconds. Names that occur in the items of lists are sent once per
message, in the field `names`; items refer to them by index.
"""

from collections.abc import Iterable
import dataclasses
import enum
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
        member = envelope.which()
        message = _read_message(
            getattr(envelope, str(member)), _MESSAGE_TYPES[str(member)]
        )
        return ids.InstanceId(envelope.sender), message
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
    """How the items of lists of one type are decoded.

    Attributes:
        schemas: schemas of the fields, in the order of the dataclass.
        name_positions: positions of the fields that are indexes into `names`.
        float_positions: positions of the integers that are floats in the
            dataclass.
    """

    schemas: tuple[Any, ...]
    name_positions: tuple[int, ...]
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
    return _ItemPlan(
        tuple(field.schema for field in fields),
        tuple(n for n, field in enumerate(fields) if field.is_name_index),
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
_HAS_NAMES = {
    struct_type: any(field.item for field in fields)
    for struct_type, fields in _FIELDS.items()
}


class _NameTable:
    """Table of the names to which the items of one message refer.

    Index 0 is the empty name; it is not sent.
    """

    def __init__(self, names: Iterable[str] = ()):
        self.names = ["", *names]
        self.indexes = {name: index for index, name in enumerate(self.names)}

    def get_index(self, name: str) -> int:
        """Returns the index of `name`; adds it if it is missing."""
        if name not in self.indexes:
            self.indexes[name] = len(self.names)
            self.names.append(name)
        return self.indexes[name]


def _write_message(builder, message) -> None:
    names = _NameTable()
    for field in _FIELDS[type(message)]:
        value = getattr(message, field.name)
        if field.item is None:
            _write_value(builder, field, value)
        elif value:
            item_builders = builder.init(field.wire_name, len(value))
            for index, item in enumerate(value):
                _write_item(item_builders[index], item, names)
    if len(names.names) > 1:
        builder.names = names.names[1:]


def _write_item(builder, item, names: _NameTable) -> None:
    # All text fields of items are names, see `_Field.is_name_index`.
    write = builder._set_by_field
    for field in _FIELDS[type(item)]:
        value = getattr(item, field.name)
        if isinstance(value, str):
            write(field.schema, names.get_index(value))
        elif value:
            # Fields of a new item are 0.
            write(field.schema, _encode_value(field, value))


def _write_value(builder, field: _Field, value) -> None:
    setattr(builder, field.wire_name, _encode_value(field, value))


def _encode_value(field: _Field, value):
    if field.enum_type is not None:
        return value.value
    if field.max_value:
        return min(max(round(value), 0), field.max_value)
    return value


def _read_message(reader, message_type: type):
    names = _NameTable(reader.names if _HAS_NAMES[message_type] else ()).names
    read = reader._get_by_field
    values = []
    for field in _FIELDS[message_type]:
        value = read(field.schema)
        if field.item is not None:
            value = _read_items(value, field.item, names)
        elif field.enum_type is not None:
            value = field.enum_type(value)
        values.append(float(value) if field.is_float else value)
    return message_type(*values)


def _read_items(readers, item_type: type, names: list[str]) -> tuple:
    plan = _ITEM_PLANS[item_type]
    items = []
    for reader in readers:
        read = reader._get_by_field
        values = [read(schema) for schema in plan.schemas]
        for position in plan.name_positions:
            values[position] = names[values[position]]
        for position in plan.float_positions:
            values[position] = float(values[position])
        items.append(item_type(*values))
    return tuple(items)
