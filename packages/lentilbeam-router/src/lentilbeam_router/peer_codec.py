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

import capnp

from lentilbeam_core import ids
from lentilbeam_core import messages

MAX_DATAGRAM_BYTES = 16_384
"""Longer datagrams are rejected; a load report of a fleet takes about 6 KB."""
MAX_WORDS = 16384
"""Cap'n Proto traversal limit for decoding, in words of 8 bytes."""

_schema = capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))


class PeerCodecError(ValueError):
    """A datagram can't be decoded as a message of this protocol."""


def encode(sender: ids.InstanceId, message: messages.PeerMessage) -> bytes:
    """Returns the datagram for a message.

    Args:
        sender: name of the router that sends the message.
        message: the message; numbers out of a field's range are clipped.
    """
    envelope = _schema.Envelope.new_message(sender=sender)
    kind = _KINDS[type(message)]
    _write_message(envelope.init(kind), message)
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
            data, traversal_limit_in_words=MAX_WORDS
        )
        kind = envelope.which()
        message = _read_message(getattr(envelope, str(kind)), _TYPES[str(kind)])
        return ids.InstanceId(envelope.sender), message
    except (capnp.KjException, ValueError, LookupError) as error:
        raise PeerCodecError(str(error)) from error


_KINDS = {
    messages.Heartbeat: "heartbeat",
    messages.DemandReport: "report",
    messages.GrantUpdate: "update",
    messages.LoadReport: "load",
}
_TYPES = {name: kind for kind, name in _KINDS.items()}
_ITEMS = {
    "workspaces": messages.WorkspaceDemand,
    "slots": messages.SlotUse,
    "targets": messages.TargetUse,
    "grants": messages.Grant,
    "queues": messages.QueuedElsewhere,
    "loads": messages.TargetLoad,
    "uses": messages.WorkspaceUse,
    "placed": messages.PlacedPart,
    "included": messages.Included,
}


@dataclasses.dataclass(frozen=True, slots=True)
class _Field:
    """How a field of a message is encoded.

    Attributes:
        name: name of the field in the message's dataclass.
        wire_name: name of the field in the schema.
        is_float: whether the field is a float in the dataclass.
        is_name: whether an item stores the field as an index of `names`.
        item: dataclass of the list's items; None if the field is no list.
        largest: largest value of an unsigned field; 0 for other types.
        states: enum of the field's values, or None.
    """

    name: str
    wire_name: str
    is_float: bool
    is_name: bool
    item: type | None
    largest: int
    states: type[enum.Enum] | None


def _to_wire_name(name: str) -> str:
    return re.sub(r"_(\w)", lambda match: match.group(1).upper(), name)


_NAMES = {"workspace", "target", "preferred", "prefix", "pool", "router"}
_STATES = {"kind": messages.ReportKind}
_WIDTHS = {"uint8": 8, "uint16": 16, "uint32": 32, "uint64": 64}
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
}


def _plan(kind: type) -> tuple[_Field, ...]:
    fields = _STRUCTS[kind].schema.fields
    plan = []
    for field in dataclasses.fields(kind):
        wire_name = _to_wire_name(field.name)
        wire_type = fields[wire_name].proto.slot.type.which()
        width = _WIDTHS.get(str(wire_type), 0)
        is_float = field.type in (float, "float")
        is_name = field.name in _NAMES
        item = _ITEMS.get(field.name)
        largest = 2**width - 1
        states = _STATES.get(field.name)
        plan.append(
            _Field(
                field.name, wire_name, is_float, is_name, item, largest, states
            )
        )
    return tuple(plan)


_PLANS = {kind: _plan(kind) for kind in _STRUCTS}


class _Names:
    """Table of the names to which the items of one message refer.

    Index 0 is the empty name; it is not sent.
    """

    def __init__(self, names: Iterable[str] = ()):
        self.names = ["", *names]
        self.places = {name: place for place, name in enumerate(self.names)}

    def place(self, name: str) -> int:
        """Returns the index of `name`; adds it if it is missing."""
        if name not in self.places:
            self.places[name] = len(self.names)
            self.names.append(name)
        return self.places[name]


def _write_message(builder, message) -> None:
    names = _Names()
    for field in _PLANS[type(message)]:
        items = getattr(message, field.name)
        if field.item is None:
            _write_value(builder, field, items)
        elif items:
            listed = builder.init(field.wire_name, len(items))
            for index, item in enumerate(items):
                _write_item(listed[index], item, names)
    if len(names.names) > 1:
        builder.names = names.names[1:]


def _write_item(builder, item, names: _Names) -> None:
    for field in _PLANS[type(item)]:
        value = getattr(item, field.name)
        if isinstance(value, str):
            setattr(builder, field.wire_name, names.place(value))
        else:
            _write_value(builder, field, value)


def _write_value(builder, field: _Field, value) -> None:
    if field.states is not None:
        value = value.value
    elif field.largest:
        value = min(max(round(value), 0), field.largest)
    setattr(builder, field.wire_name, value)


def _read_message(reader, kind: type):
    has_names = any(field.item for field in _PLANS[kind])
    names = _Names(reader.names if has_names else ()).names
    values = []
    for field in _PLANS[kind]:
        value = getattr(reader, field.wire_name)
        if field.item is not None:
            value = tuple(_read_item(i, field.item, names) for i in value)
        elif field.states is not None:
            value = field.states(value)
        values.append(float(value) if field.is_float else value)
    return kind(*values)


def _read_item(reader, kind: type, names: list[str]):
    values = []
    for field in _PLANS[kind]:
        value = getattr(reader, field.wire_name)
        if field.is_name:
            value = names[value]
        values.append(float(value) if field.is_float else value)
    return kind(*values)
