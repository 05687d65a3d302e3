"""Load of targets, summed over this router and its peers.

The sums are cached. Each change must show in them.
"""

from lentilbeam_core import messages
from lentilbeam_core.forwarding import loads as loads_lib


def test_sum_changes_with_each_step_of_a_request():
    loads = loads_lib.LoadTracker()
    loads.start_request("r", "t", 100.0, 150.0, 1.0)
    loads.apply_report(
        "p", (messages.TargetLoad("t", 50.0, 2, 70.0, 10.0),), 1.0
    )
    total = loads.total("t", 1.0)
    assert (total.unread, total.running, total.held) == (150.0, 3, 220.0)
    loads.note_prefill_done("r")
    assert loads.total("t", 1.0).unread == 50.0
    loads.end_request("r")
    assert loads.total("t", 1.0).running == 2
    loads.apply_report("p", (), 1.0)
    assert loads.total("t", 1.0).running == 0


def test_load_of_a_peer_expires_without_new_reports():
    loads = loads_lib.LoadTracker()
    loads.apply_report(
        "p", (messages.TargetLoad("t", 50.0, 2, 70.0, 10.0),), 1.0
    )
    assert loads.total("t", 2.0).running == 2
    assert loads.total("t", 3.0).running == 0


def test_outcomes_of_all_routers_are_summed_and_decay():
    loads = loads_lib.LoadTracker()
    loads.note_outcome("t", True, 1.0)
    loads.note_outcome("t", False, 1.0)
    reported = messages.TargetLoad("t", 0.0, 0, 0.0, 0.0, 4.0, 3.0)
    loads.apply_report("p", (reported,), 1.0)
    total = loads.total("t", 1.0)
    assert (total.outcomes, total.failures) == (6.0, 4.0)
    assert loads.total("t", 2.0).failures < 4.0
    (own_load,) = loads.export(1.0, {}, {})
    assert (own_load.outcomes, own_load.failures) == (2.0, 1.0)


def test_held_tokens_are_those_of_the_sum():
    """Prompt parts would be taken for evicted where they are not."""
    loads = loads_lib.LoadTracker()
    loads.start_request("r", "t", 100.0, 150.0, 1.0)
    for number, peer in enumerate(("p", "q")):
        reported = messages.TargetLoad("t", 50.0, 2, 70.0, 10.0)
        other = messages.TargetLoad("u", 50.0, 2, 30.0, 10.0)
        loads.apply_report(peer, (other, reported), 1.0 + number)
    for now in (2.0, 2.5, 3.5):
        for target in ("t", "u", "v"):
            total = loads.total(target, now)
            assert loads.read_held(target, now) == total.held
    assert loads.read_held("t", 2.0) == 290.0
