"""Packed Cap'n Proto form of the messages between routers.

Costs and virtual times travel as whole units, times as milliseconds.
"""

import dataclasses
import pathlib
import re

import capnp

from lentilbeam_core import ids
from lentilbeam_core import messages

MAX_DATAGRAM_BYTES = 4096
"""A longer datagram is none of ours."""
MAX_WORDS = 16384
"""Bound of what a reader may traverse, in words of 8 bytes."""

_schema = capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))


class PeerCodecError(ValueError):
    """A datagram is not a message of this protocol."""


def encode(sender: ids.InstanceId, message: messages.PeerMessage) -> bytes:
    """Returns the datagram for `message`."""
    envelope = _schema.Envelope.new_message(sender=sender)
    kind = _KINDS[type(message)]
    _write(envelope.init(kind), message)
    return envelope.to_bytes_packed()


def decode(data: bytes) -> tuple[ids.InstanceId, messages.PeerMessage]:
    """Returns the sender and the message of a datagram.

    Raises:
        PeerCodecError: if the datagram can't be read.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise PeerCodecError(f"{len(data)} bytes are too many")
    try:
        envelope = _schema.Envelope.from_bytes_packed(
            data, traversal_limit_in_words=MAX_WORDS
        )
        kind = envelope.which()
        message = _read(getattr(envelope, str(kind)), _TYPES[str(kind)])
        return ids.InstanceId(envelope.sender), message
    except (capnp.KjException, ValueError, KeyError) as error:
        raise PeerCodecError(str(error)) from error


_KINDS = {
    messages.Heartbeat: "heartbeat",
    messages.DemandReport: "report",
    messages.GrantUpdate: "update",
}
_TYPES = {name: kind for kind, name in _KINDS.items()}
_ITEMS = {
    "workspaces": messages.WorkspaceDemand,
    "slots": messages.SlotUse,
    "targets": messages.TargetUse,
    "grants": messages.Grant,
    "queues": messages.QueuedElsewhere,
}


@dataclasses.dataclass(frozen=True, slots=True)
class _Field:
    """A field of a message and its name in the schema."""

    name: str
    wire_name: str
    is_float: bool
    item: type | None
    largest: int


def _to_wire_name(name: str) -> str:
    return re.sub(r"_(\w)", lambda match: match.group(1).upper(), name)


_WIDTHS = {"uint16": 16, "uint32": 32, "uint64": 64}
_STRUCTS = {
    messages.Heartbeat: _schema.Heartbeat,
    messages.DemandReport: _schema.DemandReport,
    messages.GrantUpdate: _schema.GrantUpdate,
    messages.WorkspaceDemand: _schema.WorkspaceDemand,
    messages.SlotUse: _schema.SlotUse,
    messages.TargetUse: _schema.TargetUse,
    messages.Grant: _schema.Grant,
    messages.QueuedElsewhere: _schema.QueuedElsewhere,
}


def _plan(kind: type) -> tuple[_Field, ...]:
    fields = _STRUCTS[kind].schema.fields
    plan = []
    for field in dataclasses.fields(kind):
        wire_name = _to_wire_name(field.name)
        wire_type = fields[wire_name].proto.slot.type.which()
        width = _WIDTHS.get(str(wire_type), 0)
        is_float = field.type in (float, "float")
        item = _ITEMS.get(field.name)
        largest = 2**width - 1
        plan.append(_Field(field.name, wire_name, is_float, item, largest))
    return tuple(plan)


_PLANS = {kind: _plan(kind) for kind in _STRUCTS}


def _write(builder, message) -> None:
    for field in _PLANS[type(message)]:
        value = getattr(message, field.name)
        if field.item is not None:
            if value:
                items = builder.init(field.wire_name, len(value))
                for index, item in enumerate(value):
                    _write(items[index], item)
            continue
        if field.largest:
            value = min(max(round(value), 0), field.largest)
        setattr(builder, field.wire_name, value)


def _read(reader, kind: type):
    values = []
    for field in _PLANS[kind]:
        value = getattr(reader, field.wire_name)
        if field.item is not None:
            value = tuple(_read(item, field.item) for item in value)
        elif field.is_float:
            value = float(value)
        values.append(value)
    return kind(*values)
