"""Entries that lapse while the store is away are kept for a short grace."""

import dataclasses

from lentilbeam_core.forwarding import target_list
from tests.forwarding import makers


def names(found, pool=makers.POOL):
    return [entry.name for entry in found.find_usable(pool)]


def test_a_removal_counts_at_once():
    found = target_list.TargetList()
    found.put(makers.make_target("a"))
    assert found.remove("a", 10.0)
    assert names(found) == []


def test_a_leaving_target_is_not_used():
    found = target_list.TargetList()
    ready = makers.make_target("a")
    found.put(ready)
    leaving = dataclasses.replace(ready, state=target_list.TargetState.LEAVING)
    found.put(leaving)
    assert names(found) == []


def test_a_lapsed_entry_stays_until_the_grace_is_over():
    found = target_list.TargetList()
    found.put(makers.make_target("a"))
    found.note_store_returned(10.0)
    assert not found.remove("a", 10.1)
    assert names(found) == ["a"]
    assert found.expire(11.9) == []
    assert found.expire(12.0) == ["a"]
    assert names(found) == []


def test_a_lapsed_entry_that_returns_stays():
    found = target_list.TargetList()
    found.put(makers.make_target("a"))
    found.note_store_returned(10.0)
    found.remove("a", 10.1)
    found.put(makers.make_target("a"))
    assert found.expire(13.0) == []
    assert names(found) == ["a"]


def test_a_removal_after_the_grace_counts_at_once():
    found = target_list.TargetList()
    found.put(makers.make_target("a"))
    found.note_store_returned(10.0)
    assert found.remove("a", 12.0)


def test_a_leaving_target_that_lapses_is_not_used_again():
    found = target_list.TargetList()
    leaving = target_list.TargetState.LEAVING
    found.put(makers.make_target("a", state=leaving))
    found.note_store_returned(10.0)
    found.remove("a", 10.1)
    assert names(found) == []
