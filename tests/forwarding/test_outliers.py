"""Which failing targets are avoided, and when none may be."""

from lentilbeam_core import messages
from lentilbeam_core.forwarding import loads as loads_lib
from lentilbeam_core.forwarding import outliers
from tests.forwarding import in_process_router
from tests.forwarding import makers

SETTINGS = outliers.Settings()


def find(**outcomes):
    """Returns the outliers among targets given as name=(outcomes, failures)."""
    loads = {
        name: loads_lib.Load(outcomes=outcomes, failures=failures)
        for name, (outcomes, failures) in outcomes.items()
    }
    return outliers.find_outliers(loads, dict.fromkeys(loads, 4), SETTINGS)


def test_a_target_that_fails_while_the_others_do_not_is_avoided():
    assert find(a=(5, 4), b=(20, 1), c=(20, 0)) == {"a"}


def test_a_target_that_fails_four_requests_of_ten_is_avoided():
    assert find(a=(12, 5), b=(40, 2), c=(40, 2)) == {"a"}


def test_failures_that_all_targets_share_are_no_reason():
    assert find(a=(20, 14), b=(20, 15), c=(20, 13)) == set()


def test_a_service_that_often_answers_errors_is_not_avoided():
    assert find(a=(30, 6), b=(30, 3), c=(30, 4)) == set()


def test_a_few_failures_prove_nothing():
    assert find(a=(3, 3), b=(20, 0)) == set()


def test_half_of_the_slots_stay_in_use():
    found = find(a=(9, 9), b=(8, 8), c=(7, 7), d=(50, 0), e=(50, 0), f=(50, 0))
    assert found == {"a", "b", "c"}
    found = find(a=(9, 9), b=(8, 8), c=(7, 7), d=(90, 0))
    assert found == {"a", "b"}


def test_an_avoided_target_is_tried_again_after_a_while():
    loads = loads_lib.LoadTracker()
    for _ in range(5):
        loads.note_outcome("a", True, 0.0)
        loads.note_outcome("b", False, 0.0)
    slots = {"a": 4, "b": 4}

    def find_at(now):
        totals = {name: loads.total(name, now) for name in slots}
        return outliers.find_outliers(totals, slots, SETTINGS)

    assert find_at(0.1) == {"a"}
    assert find_at(2.5) == set()


def test_failures_that_peers_report_count_before_the_first_own_one():
    targets = [makers.make_target("a"), makers.make_target("b")]
    router = in_process_router.InProcessRouter(targets)
    failing = messages.TargetLoad("a", 0.0, 0, 0.0, 0.0, 5.0, 5.0)
    sound = messages.TargetLoad("b", 0.0, 0, 0.0, 0.0, 9.0, 0.0)
    report = messages.LoadReport(
        1, 1, 1, 1, False, True, messages.ReportKind.GROUP, (failing, sound)
    )
    router.dispatcher.apply_report("peer", report)
    usable = router.dispatcher.find_usable()
    assert [entry.name for entry in usable] == ["b"]
