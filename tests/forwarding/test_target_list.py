"""List of targets; entries removed after an outage stay for a grace period."""

import dataclasses

from lentilbeam_core.forwarding import target_list
from tests.forwarding import makers


def list_usable_names(targets, pool=makers.POOL):
    """Returns the names of the targets that may get requests."""
    return [entry.name for entry in targets.find_usable(pool)]


def test_removal_takes_effect_at_once():
    targets = target_list.TargetList()
    targets.put(makers.make_target("a"))
    assert targets.remove("a", 10.0)
    assert list_usable_names(targets) == []


def test_leaving_target_is_not_usable():
    targets = target_list.TargetList()
    entry = makers.make_target("a")
    targets.put(entry)
    leaving = dataclasses.replace(entry, state=target_list.TargetState.LEAVING)
    targets.put(leaving)
    assert list_usable_names(targets) == []


def test_entry_removed_in_the_grace_period_stays_until_its_end():
    targets = target_list.TargetList()
    targets.put(makers.make_target("a"))
    targets.note_store_returned(10.0)
    assert not targets.remove("a", 10.1)
    assert list_usable_names(targets) == ["a"]
    assert targets.expire(11.9) == []
    assert targets.expire(12.0) == ["a"]
    assert list_usable_names(targets) == []


def test_entry_registered_again_in_the_grace_period_stays():
    targets = target_list.TargetList()
    targets.put(makers.make_target("a"))
    targets.note_store_returned(10.0)
    targets.remove("a", 10.1)
    targets.put(makers.make_target("a"))
    assert targets.expire(13.0) == []
    assert list_usable_names(targets) == ["a"]


def test_removal_after_the_grace_period_takes_effect_at_once():
    targets = target_list.TargetList()
    targets.put(makers.make_target("a"))
    targets.note_store_returned(10.0)
    assert targets.remove("a", 12.0)


def test_leaving_target_removed_in_the_grace_period_is_not_usable():
    targets = target_list.TargetList()
    leaving = target_list.TargetState.LEAVING
    targets.put(makers.make_target("a", state=leaving))
    targets.note_store_returned(10.0)
    targets.remove("a", 10.1)
    assert list_usable_names(targets) == []
