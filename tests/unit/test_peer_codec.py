"""Tests of encoding and decoding peer messages.

Decoding invalid data must raise nothing but `PeerCodecError`.
"""

import contextlib
import dataclasses

import hypothesis
from hypothesis import strategies

from lentilbeam_core import messages
from lentilbeam_router import peer_codec

PROPERTY_SETTINGS = hypothesis.settings(derandomize=True, deadline=None)
BITS_BY_FIELD = {"part": 16, "parts": 16, "incarnation": 64, "session": 64}
BITS_BY_FIELD |= {
    "catalogue_offset": 64,
    "stamp": 64,
    "version": 64,
    "targets_offset": 64,
    "targets_change": 64,
    "running": 16,
    "start_ms": 64,
    "removed_start_ms": 64,
    "removed_position": 64,
    "level": 8,
    "busy_percent": 8,
    "routers": 16,
}
"""Size of the integer fields that don't have 32 bits."""
FLOAT32_FIELDS = {
    "outcomes",
    "failures",
    "requests",
    "timed_s",
    "expected_s",
    "decode_s",
    "long_s",
    "placed_tokens",
    "sample_tokens",
    "sample_positions",
    "sample_s",
    "sample_squares",
    "sample_products",
}
"""Fields that hold 32-bit floating point numbers."""
ITEM_TYPES = {
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
}
"""Types of the items of list fields, by the name of the field."""


def build_instances(message_type):
    """Returns a strategy for instances of a message type or an item type."""
    return strategies.builds(
        message_type,
        **{f.name: build_values(f) for f in dataclasses.fields(message_type)},
    )


def build_values(field):
    """Returns a strategy for values that a dataclass field can encode."""
    if field.name in ITEM_TYPES:
        items = strategies.lists(
            build_instances(ITEM_TYPES[field.name]), max_size=5
        )
        return items.map(tuple)
    if field.name in FLOAT32_FIELDS:
        return strategies.floats(0.0, width=32, allow_infinity=False)
    if field.type is float:
        return strategies.integers(0, 2**32 - 1).map(float)
    if field.type is bool:
        return strategies.booleans()
    if field.type is messages.ReportKind:
        return strategies.sampled_from(messages.ReportKind)
    if field.name in (
        "workspace",
        "target",
        "preferred",
        "pool",
        "prefix",
        "router",
        "data_centre",
    ):
        return strategies.text("abc-é", max_size=12)
    return strategies.integers(0, 2 ** BITS_BY_FIELD.get(field.name, 32) - 1)


MESSAGES = strategies.one_of(
    build_instances(messages.Heartbeat),
    build_instances(messages.DemandReport),
    build_instances(messages.GrantUpdate),
    build_instances(messages.LoadReport),
)


@PROPERTY_SETTINGS
@hypothesis.given(MESSAGES)
def test_a_message_is_unchanged_by_encoding_and_decoding(message):
    data = peer_codec.encode("r1", message)
    assert peer_codec.decode(data) == ("r1", message)


@PROPERTY_SETTINGS
@hypothesis.given(strategies.binary(max_size=200))
def test_random_bytes_raise_at_most_a_codec_error(data):
    with contextlib.suppress(peer_codec.PeerCodecError):
        peer_codec.decode(data)


@PROPERTY_SETTINGS
@hypothesis.given(MESSAGES, strategies.data())
def test_a_damaged_message_raises_at_most_a_codec_error(message, data):
    encoded = bytearray(peer_codec.encode("r1", message))
    position = data.draw(strategies.integers(0, len(encoded) - 1))
    encoded[position] ^= data.draw(strategies.integers(1, 255))
    length = data.draw(strategies.integers(0, len(encoded)))
    for damaged in (encoded, encoded[:length]):
        with contextlib.suppress(peer_codec.PeerCodecError):
            peer_codec.decode(bytes(damaged))
