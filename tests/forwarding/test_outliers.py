"""Outlier detection: which failing targets are avoided, and when none is."""

from lentilbeam_core import messages
from lentilbeam_core.forwarding import loads as loads_lib
from lentilbeam_core.forwarding import outliers
from tests.forwarding import in_process_router
from tests.forwarding import makers

SETTINGS = outliers.Settings()


def find_outliers(**counts):
    """Returns the outliers of a pool.

    Args:
        **counts: number of ended requests and number of failures of each
            target, by name.
    """
    loads = {
        name: loads_lib.Load(outcomes=outcomes, failures=failures)
        for name, (outcomes, failures) in counts.items()
    }
    return outliers.find_outliers(loads, dict.fromkeys(loads, 4), SETTINGS)


def test_target_that_fails_alone_is_avoided():
    assert find_outliers(a=(5, 4), b=(20, 1), c=(20, 0)) == {"a"}


def test_target_that_fails_four_of_ten_requests_is_avoided():
    assert find_outliers(a=(12, 5), b=(40, 2), c=(40, 2)) == {"a"}


def test_no_target_is_avoided_if_all_fail_alike():
    assert find_outliers(a=(20, 14), b=(20, 15), c=(20, 13)) == set()


def test_target_below_the_minimum_failure_ratio_is_not_avoided():
    assert find_outliers(a=(30, 6), b=(30, 3), c=(30, 4)) == set()


def test_target_with_too_few_failures_is_not_avoided():
    assert find_outliers(a=(3, 3), b=(20, 0)) == set()


def test_half_of_the_slots_stay_in_use():
    found = find_outliers(
        a=(9, 9), b=(8, 8), c=(7, 7), d=(50, 0), e=(50, 0), f=(50, 0)
    )
    assert found == {"a", "b", "c"}
    found = find_outliers(a=(9, 9), b=(8, 8), c=(7, 7), d=(90, 0))
    assert found == {"a", "b"}


def test_avoided_target_is_used_again_when_its_failures_have_decayed():
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


def test_failures_reported_by_a_peer_are_sufficient():
    targets = [makers.make_target("a"), makers.make_target("b")]
    router = in_process_router.InProcessRouter(targets)
    failing = messages.TargetLoad("a", 0.0, 0, 0.0, 0.0, 5.0, 5.0)
    healthy = messages.TargetLoad("b", 0.0, 0, 0.0, 0.0, 9.0, 0.0)
    report = messages.LoadReport(
        1, 1, 1, 1, False, True, messages.ReportKind.GROUP, (failing, healthy)
    )
    router.dispatcher.apply_report("peer", report)
    usable = router.dispatcher.find_usable()
    assert [entry.name for entry in usable] == ["b"]
