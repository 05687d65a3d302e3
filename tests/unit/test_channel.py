"""Tests that a receiver's copy converges despite unreliable messages."""

import hypothesis
from hypothesis import strategies

from lentilbeam_core import channel

DELIVERIES = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 4),
        strategies.sampled_from(["lost", "delayed", "duplicated", "delivered"]),
        strategies.booleans(),
    ),
    max_size=40,
)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(DELIVERIES)
def test_copy_converges_when_messages_are_lost_delayed_or_duplicated(
    deliveries,
):
    sender, receiver = (
        channel.StateSender(channel.Pace()),
        channel.StateReceiver(),
    )
    copy, delayed = {}, []

    def deliver(message):
        sequence, items = message
        if receiver.accept(sequence, 0, 1):
            copy.update(items)

    for now, (key, delivery, is_acknowledged) in enumerate(deliveries):
        sender.put(key, (key, now), due=now)
        items = dict(sender.collect(now))
        message = (sender.sequence, items)
        if delivery == "delayed":
            delayed.append(message)
        if delivery in ("delivered", "duplicated"):
            deliver(message)
        if delivery == "duplicated":
            deliver(message)
        if is_acknowledged:
            sender.acknowledge(receiver.complete_sequence)
    for message in delayed:
        deliver(message)
    if sender.changed:
        items = dict(sender.collect(100))
        deliver((sender.sequence, items))
        sender.acknowledge(receiver.complete_sequence)
    assert copy == dict(sender.values.values())
    assert not sender.changed
