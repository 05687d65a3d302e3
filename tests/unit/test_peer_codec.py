"""Peer messages survive the codec; anything else raises one error."""

import contextlib
import dataclasses

import hypothesis
from hypothesis import strategies

from lentilbeam_core import messages
from lentilbeam_router import peer_codec

SETTINGS = hypothesis.settings(derandomize=True, deadline=None)
SIZES = {"part": 16, "parts": 16, "incarnation": 64, "session": 64}
SIZES |= {
    "catalogue_offset": 64,
    "stamp": 64,
    "version": 64,
    "targets_offset": 64,
    "running": 16,
}
SINGLES = {"outcomes", "failures"}
"""Fields of single precision."""
ITEMS = {
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


def any_of(kind):
    """Returns a strategy for instances of a message or of its items."""
    return strategies.builds(
        kind, **{f.name: any_value(f) for f in dataclasses.fields(kind)}
    )


def any_value(field):
    if field.name in ITEMS:
        items = strategies.lists(any_of(ITEMS[field.name]), max_size=5)
        return items.map(tuple)
    if field.name in SINGLES:
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
    ):
        return strategies.text("abc-é", max_size=12)
    return strategies.integers(0, 2 ** SIZES.get(field.name, 32) - 1)


MESSAGES = strategies.one_of(
    any_of(messages.Heartbeat),
    any_of(messages.DemandReport),
    any_of(messages.GrantUpdate),
    any_of(messages.LoadReport),
)


@SETTINGS
@hypothesis.given(MESSAGES)
def test_a_message_survives(message):
    data = peer_codec.encode("r1", message)
    assert peer_codec.decode(data) == ("r1", message)


@SETTINGS
@hypothesis.given(strategies.binary(max_size=200))
def test_noise_raises_the_typed_error(data):
    with contextlib.suppress(peer_codec.PeerCodecError):
        peer_codec.decode(data)


@SETTINGS
@hypothesis.given(MESSAGES, strategies.data())
def test_a_damaged_message_raises_at_most_the_typed_error(message, data):
    good = bytearray(peer_codec.encode("r1", message))
    place = data.draw(strategies.integers(0, len(good) - 1))
    good[place] ^= data.draw(strategies.integers(1, 255))
    cut = data.draw(strategies.integers(0, len(good)))
    for damaged in (good, good[:cut]):
        with contextlib.suppress(peer_codec.PeerCodecError):
            peer_codec.decode(bytes(damaged))
