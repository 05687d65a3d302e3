"""Max-min fair shares of the workspaces, over all routers."""

import hypothesis
from hypothesis import strategies
import pytest

from lentilbeam_core import messages
from lentilbeam_core.forwarding import max_min
from lentilbeam_core.forwarding import shares

BELOW_GUARANTEE = shares.ShareStatus.BELOW_GUARANTEE
AMOUNTS = strategies.lists(strategies.floats(1.0, 1e6), min_size=1, max_size=20)


@hypothesis.given(AMOUNTS, strategies.floats(1.0, 1e6))
@hypothesis.settings(derandomize=True)
def test_max_min_share_uses_the_whole_capacity(asked, capacity):
    level = max_min.compute_share(asked, capacity)
    allotted = sum(min(amount, level) for amount in asked)
    assert allotted == pytest.approx(min(capacity, sum(asked)))


def test_max_min_share_is_unlimited_if_the_capacity_suffices():
    assert max_min.compute_share([10.0, 20.0], 30.0) == float("inf")


def test_only_the_flooding_workspace_exceeds_its_guarantee():
    usage = shares.Usage(4.0)
    for _ in range(100):
        usage.note_asked("flood", 1000.0, 0.0)
        usage.note_served("flood", 1000.0, 0.0)
    usage.note_asked("light", 1000.0, 0.0)
    usage.note_served("light", 900.0, 0.0)
    assert usage.find_share_status("light", 10_000.0, 0.0) is BELOW_GUARANTEE
    assert (
        usage.find_share_status("flood", 10_000.0, 0.0) is not BELOW_GUARANTEE
    )


def test_of_two_flooding_workspaces_the_one_served_more_is_above_its_share():
    usage = shares.Usage(4.0)
    for workspace, served in (("served_more", 900.0), ("served_less", 300.0)):
        usage.note_asked(workspace, 2000.0, 0.0)
        usage.note_served(workspace, served, 0.0)
    assert (
        usage.find_share_status("served_more", 50.0, 0.0)
        is shares.ShareStatus.ABOVE_FAIR_SHARE
    )
    assert (
        usage.find_share_status("served_less", 50.0, 0.0)
        is shares.ShareStatus.BELOW_FAIR_SHARE
    )


def test_single_flooding_workspace_may_use_spare_capacity():
    usage = shares.Usage(4.0)
    usage.note_asked("flood", 5000.0, 0.0)
    usage.note_served("flood", 3000.0, 0.0)
    usage.note_asked("light", 100.0, 0.0)
    usage.note_served("light", 100.0, 0.0)
    assert (
        usage.find_share_status("flood", 50.0, 0.0)
        is shares.ShareStatus.AT_FAIR_SHARE
    )


def test_usage_reported_by_a_peer_decays_and_expires():
    usage = shares.Usage(4.0)
    usage.note_asked("w", 100.0, 0.0)
    reported = (messages.WorkspaceUse("pool", "w", 500.0, 1000.0),)
    usage.apply_report("peer", reported, 0.0)
    assert usage.total_served("w", 0.0) == pytest.approx(500.0)
    assert usage.total_served("w", 2.0) < 500.0
    assert usage.total_served("w", 4.0) == 0.0


def test_usage_decays_until_a_workspace_is_below_its_guarantee_again():
    usage = shares.Usage(4.0)
    usage.note_asked("w", 50_000.0, 0.0)
    usage.note_served("w", 50_000.0, 0.0)
    assert usage.find_share_status("w", 10_000.0, 0.0) is not BELOW_GUARANTEE
    assert usage.find_share_status("w", 10_000.0, 8.0) is BELOW_GUARANTEE


def test_all_workspaces_are_below_guarantee_if_capacity_is_unknown():
    usage = shares.Usage(4.0)
    usage.note_served("w", 1e9, 0.0)
    assert usage.find_share_status("w", 0.0, 0.0) is BELOW_GUARANTEE


def test_second_largest_workspace_is_below_fair_share_beside_a_flood():
    usage = shares.Usage(4.0)
    usage.note_asked("flood", 2_000_000.0, 0.0)
    usage.note_served("flood", 1_100_000.0, 0.0)
    usage.note_asked("second", 600_000.0, 0.0)
    usage.note_served("second", 300_000.0, 0.0)
    guaranteed_per_s = 25_000.0
    status = usage.find_share_status("second", guaranteed_per_s, 0.0)
    assert status is shares.ShareStatus.BELOW_FAIR_SHARE
    flood = usage.find_share_status("flood", guaranteed_per_s, 0.0)
    assert flood is shares.ShareStatus.ABOVE_FAIR_SHARE
    usage.note_served("second", 500_000.0, 0.2)
    status = usage.find_share_status("second", guaranteed_per_s, 0.2)
    assert status is shares.ShareStatus.AT_FAIR_SHARE


# Guards against FAIR: a workspace that received less than half of what it asked
# for and of what the best served one received, but over 0.6 of the fair level.
def test_workspace_far_below_the_best_served_one_is_below_its_share():
    usage = shares.Usage(4.0)
    for workspace, asked, served in (
        ("flood", 20_000.0, 10_000.0),
        ("one_router", 9_000.0, 4_400.0),
    ):
        usage.note_asked(workspace, asked, 0.0)
        usage.note_served(workspace, served, 0.0)
    status = usage.find_share_status("one_router", 50.0, 0.0)
    assert usage.fair_level * shares.BELOW_FAIR_SHARE_FRACTION < 4_400.0
    assert status is shares.ShareStatus.BELOW_FAIR_SHARE


# Guards against FAIR: a workspace that is preferred only until it has little
# more than the half that is guaranteed, so that chance decides whether it gets
# it.
def test_workspace_is_preferred_until_it_has_most_of_what_it_asked_for():
    usage = shares.Usage(4.0)
    for workspace, asked, served in (
        ("flood", 20_000.0, 10_000.0),
        ("one_router", 9_000.0, 7_000.0),
        ("served", 9_000.0, 8_500.0),
    ):
        usage.note_asked(workspace, asked, 0.0)
        usage.note_served(workspace, served, 0.0)
    preferred = {
        workspace
        for workspace in ("flood", "one_router", "served")
        if usage.find_share_status(workspace, 50.0, 0.0)
        not in (
            shares.ShareStatus.AT_FAIR_SHARE,
            shares.ShareStatus.ABOVE_FAIR_SHARE,
        )
    }
    assert preferred == {"one_router"}


# Guards against callers that wait for a busy router until their deadline: their
# workspace has most of the router, and counts as owed since others have more.
def test_router_share_is_of_what_the_router_itself_begins():
    usage = shares.Usage(1.0)
    usage.note_asked("large", 1000.0, 0.0)
    usage.note_served("large", 500.0, 0.0)
    usage.note_asked("small", 100.0, 0.0)
    usage.note_served("small", 20.0, 0.0)
    other = messages.WorkspaceUse("pool", "other", 5000.0, 9000.0)
    usage.apply_report("peer", (other,), 0.0)
    assert usage.has_had_router_share("large", 1.0, 0.0)
    assert not usage.has_had_router_share("small", 1.0, 0.0)


def test_nobody_has_had_a_share_of_a_router_that_begins_nothing():
    usage = shares.Usage(1.0)
    usage.note_asked("large", 1000.0, 0.0)
    assert not usage.has_had_router_share("large", 1.0, 0.0)
