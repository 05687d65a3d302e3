"""Routers of a large fleet put reads off only while they miss nothing."""

import random

from lentilbeam_core import ids
from lentilbeam_core.forwarding import read_pauses

PEER = ids.InstanceId("peer")


def make_pauses(position: int = 50) -> read_pauses.ReadPauses:
    """Returns the pauses of a router that has read up to a position at 0 s."""
    pauses = read_pauses.ReadPauses(random.Random(1))
    pauses.note_read(position, is_changed=True, now=0.0)
    return pauses


def find_due(pauses: read_pauses.ReadPauses) -> float:
    """Returns when a router that is no reader reads next, seconds."""
    return pauses.find_due(is_reader=False, has_cold=False)


def test_peer_that_reads_on_without_a_change_puts_the_read_off():
    """Guards against a read by each router of entries that change nothing."""
    pauses = make_pauses()
    pauses.note_report(PEER, 60, 50, 0.5)
    assert find_due(pauses) == read_pauses.PAUSE_S
    for number in range(1, 5):
        pauses.note_report(PEER, 60 + number, 50, 0.5 + number)
    assert find_due(pauses) == 3.5 + read_pauses.COMPLETE_S


def test_change_is_read_after_the_shortest_pause():
    """Guards against a target that leaves and is known too late."""
    pauses = make_pauses()
    for number in range(1, 5):
        pauses.note_report(PEER, 60 + number, 50, 0.5 * number)
    pauses.note_report(PEER, 70, 66, 2.5)
    assert find_due(pauses) == read_pauses.PAUSE_S


def test_reports_of_peers_that_read_nothing_put_nothing_off():
    """Guards against routers that vouch for each other without the store."""
    pauses = make_pauses()
    for number in range(20):
        pauses.note_report(PEER, 60, 50, 0.5 * number)
    assert find_due(pauses) == read_pauses.PAUSE_S


def test_peer_that_does_not_tell_of_changes_puts_nothing_off():
    """Guards against trust in routers of an earlier software version."""
    pauses = make_pauses()
    for number in range(20):
        pauses.note_report(PEER, 60 + number, 0, 0.5 * number)
    assert find_due(pauses) == read_pauses.PAUSE_S


def test_reports_that_are_far_apart_put_nothing_off():
    """Guards against news that are older than the reports seem to be."""
    pauses = make_pauses()
    pauses.note_report(PEER, 60, 50, 0.1)
    pauses.note_report(PEER, 70, 50, 9.0)
    assert find_due(pauses) == 0.1 + read_pauses.COMPLETE_S


def test_router_reads_itself_before_the_store_discards_records():
    """Guards against a read of the whole list after each long pause."""
    pauses = make_pauses()
    for number in range(100):
        pauses.note_report(PEER, 60 + number, 50, 0.5 * number)
    assert find_due(pauses) == read_pauses.MAX_PAUSE_S


def test_router_with_a_cold_target_reads_records_itself():
    """Guards against a target that counts as warm because of an old record."""
    pauses = make_pauses()
    for number in range(20):
        pauses.note_report(PEER, 60 + number, 50, 0.5 * number)
    due_at = pauses.find_due(is_reader=False, has_cold=True)
    assert due_at == read_pauses.COLD_PAUSE_S
