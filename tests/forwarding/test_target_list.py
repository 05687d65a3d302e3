"""List of targets; entries removed after an outage stay for a grace period."""

import dataclasses

from lentilbeam_core.forwarding import target_list
from tests.forwarding import makers


def list_usable_names(targets, pool=makers.POOL):
    """Returns the names of the targets that may get requests."""
    return [entry.name for entry in targets.find_ready(pool)]


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


# Guards against DRAIN: a router that was cut off from the store keeps a target
# that the others know to be gone.
def test_target_that_peers_have_seen_removed_is_not_usable():
    targets = target_list.TargetList()
    entry = makers.make_target("a")
    targets.put(entry)
    assert targets.note_removed_elsewhere("a", entry.start_ms, is_newer=True)
    assert list_usable_names(targets) == []
    targets.put(entry)
    assert list_usable_names(targets) == ["a"]


# Guards against targets that are left out for an old report of their removal.
def test_older_report_of_a_removal_counts_only_in_the_grace_period():
    targets = target_list.TargetList()
    entry = makers.make_target("a")
    targets.put(entry)
    report = ("a", entry.start_ms, False)
    assert not targets.note_removed_elsewhere(*report)
    targets.note_store_returned(10.0)
    targets.remove("a", 10.1)
    assert list_usable_names(targets) == ["a"]
    assert targets.note_removed_elsewhere(*report)
    assert list_usable_names(targets) == []


# Guards against reports of removals that are only due to an outage.
def test_only_final_removals_are_reported():
    targets = target_list.TargetList()
    for name in ("a", "b", "c"):
        targets.put(makers.make_target(name))
    targets.remove("a", 10.0, is_final=False)
    targets.remove("b", 10.0, is_final=True)
    assert list(targets.find_removed(makers.POOL, 10.1)) == ["b"]
    targets.note_store_returned(10.2)
    targets.remove("c", 10.3, is_final=True)
    assert list(targets.find_removed(makers.POOL, 10.4)) == ["b"]
    # The store may have gone away again in the grace period.
    targets.expire(12.3)
    assert list(targets.find_removed(makers.POOL, 12.4)) == ["b"]
    assert targets.find_removed(makers.POOL, 40.0) == {}
