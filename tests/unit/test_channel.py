"""A receiver's copy becomes exact however messages are lost or crossed."""

import hypothesis
from hypothesis import strategies

from lentilbeam_core import channel

FATES = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 4),
        strategies.sampled_from(["lost", "late", "twice", "well"]),
        strategies.booleans(),
    ),
    max_size=40,
)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(FATES)
def test_copies_converge(fates):
    sender, receiver = (
        channel.StateSender(channel.Pace()),
        channel.StateReceiver(),
    )
    copy, late = {}, []

    def deliver(message):
        sequence, items = message
        if receiver.accept(sequence, 0, 1):
            copy.update(items)

    for now, (key, fate, is_answered) in enumerate(fates):
        sender.put(key, (key, now), due=now)
        items = dict(sender.collect(now))
        message = (sender.sequence, items)
        if fate == "late":
            late.append(message)
        if fate in ("well", "twice"):
            deliver(message)
        if fate == "twice":
            deliver(message)
        if is_answered:
            sender.acknowledge(receiver.complete_sequence)
    for message in late:
        deliver(message)
    if sender.changed:
        items = dict(sender.collect(100))
        deliver((sender.sequence, items))
        sender.acknowledge(receiver.complete_sequence)
    assert copy == dict(sender.values.values())
    assert not sender.changed
