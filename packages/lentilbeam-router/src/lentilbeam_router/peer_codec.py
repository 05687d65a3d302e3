"""Peer messages to and from packed Cap'n Proto, one to a datagram."""

import dataclasses
import pathlib
from typing import Any

import capnp

from lentilbeam_core import ids
from lentilbeam_core import messages

capnp.remove_import_hook()
SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))

_KINDS = {
    messages.Heartbeat: "heartbeat",
    messages.DemandReport: "demandReport",
    messages.GrantUpdate: "grantUpdate",
}
_TYPES = {name: kind for kind, name in _KINDS.items()}
_ITEMS = {
    (messages.DemandReport, "workspaces"): messages.WorkspaceDemand,
    (messages.DemandReport, "slots"): messages.SlotUse,
    (messages.DemandReport, "targets"): messages.TargetUse,
    (messages.GrantUpdate, "grants"): messages.Grant,
    (messages.GrantUpdate, "queues"): messages.QueuedElsewhere,
}


class DecodeError(Exception):
    """A datagram that is no peer message."""


def encode(sender: ids.InstanceId, message: messages.PeerMessage) -> bytes:
    """Returns the message as a datagram."""
    kind = _KINDS[type(message)]
    envelope = SCHEMA.Envelope.new_message(
        sender=sender, **{kind: _dump(message)}
    )
    return envelope.to_bytes_packed()


def decode(data: bytes) -> tuple[ids.InstanceId, messages.PeerMessage]:
    """Returns the sender and the message in a datagram.

    Raises:
        DecodeError: the datagram is no peer message.
    """
    try:
        envelope = SCHEMA.Envelope.from_bytes_packed(data)
        kind = envelope.which()
        message = _load(_TYPES[str(kind)], getattr(envelope, str(kind)))
        return ids.InstanceId(envelope.sender), message
    except (capnp.KjException, ValueError, KeyError) as error:
        raise DecodeError(str(error)) from error


def _camel(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.capitalize() for part in rest)


_FIELDS = {
    kind: [
        (field.name, _camel(field.name)) for field in dataclasses.fields(kind)
    ]
    for kind in [*_KINDS, *_ITEMS.values()]
}


def _dump(value: Any) -> dict[str, Any]:
    dumped = {}
    for name, wire_name in _FIELDS[type(value)]:
        field = getattr(value, name)
        if isinstance(field, tuple):
            field = [_dump(item) for item in field]
        dumped[wire_name] = field
    return dumped


def _load(kind: type, reader: Any) -> Any:
    fields = {}
    for name, wire_name in _FIELDS[kind]:
        field = getattr(reader, wire_name)
        item = _ITEMS.get((kind, name))
        if item is not None:
            field = tuple(_load(item, each) for each in field)
        fields[name] = field
    return kind(**fields)
