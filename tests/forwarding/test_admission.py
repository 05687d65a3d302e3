"""Admission queue: which requests are placed, wait or are refused."""

import pytest

from lentilbeam_core import messages
from lentilbeam_core.forwarding import admission
from lentilbeam_core.forwarding import decisions as decisions_lib
from tests.forwarding import makers

TARGETS = [makers.make_target("a", slots=2)]
SMALL_PART = ("p", 100)
FULL = messages.TargetLoad("a", 0.0, 2, 0.0, 0.0)


def decide(queue, now, targets=TARGETS):
    """Returns the placed and the refused requests of one scheduling pass."""
    placed, refused = [], []
    for decision in queue.decide(targets, now):
        is_placed = isinstance(decision, decisions_lib.Placed)
        (placed if is_placed else refused).append(decision)
    return placed, refused


def test_request_is_placed_at_once_if_there_is_capacity():
    queue = makers.make_admission()
    queue.enqueue(makers.make_request("r", SMALL_PART), 0.0)
    placed, refused = decide(queue, 0.0)
    assert [d.request.request_id for d in placed] == ["r"]
    assert refused == []
    assert queue.count_waiting() == 0


def test_workspace_with_little_usage_goes_before_a_flooding_one():
    queue = makers.make_admission()
    for n in range(20):
        flood = makers.make_request(f"f{n}", SMALL_PART, workspace="flood")
        queue.enqueue(flood, 0.0)
    decide(queue, 0.0)
    queue.enqueue(makers.make_request("l", SMALL_PART, workspace="light"), 0.0)
    queue.placer.loads.end_request("f0")
    placed, _ = decide(queue, 0.01)
    assert [d.request.request_id for d in placed] == ["l"]


def test_only_workspaces_that_got_their_fair_share_are_refused_early():
    queue = makers.make_admission()
    queue.guaranteed_per_s = 100.0
    full = messages.TargetLoad("a", 0.0, 2, 0.0, 0.0)
    queue.placer.loads.apply_report("peer", (full,), 0.0)
    queue.usage.note_asked("flood", 10_000.0, 0.0)
    queue.usage.note_served("flood", 10_000.0, 0.0)
    queue.enqueue(makers.make_request("f", SMALL_PART, workspace="flood"), 0.0)
    queue.enqueue(makers.make_request("l", SMALL_PART, workspace="light"), 0.0)
    _, refused = decide(queue, 0.1)
    assert [d.request.request_id for d in refused] == ["f"]
    assert queue.count_waiting() == 1


def test_request_that_would_miss_its_goal_is_refused_before_the_goal():
    queue = makers.make_admission()
    queue.enqueue(makers.make_request("r", SMALL_PART), 0.0)
    _, refused = decide(queue, 0.59, targets=[])
    assert [d.reason for d in refused] == [
        decisions_lib.RefusalReason.NO_TARGET
    ]


# Guards against FAIR: a log that calls it a lack of room when nobody looked.
def test_refusal_tells_whether_a_target_was_looked_for():
    queue = makers.make_admission()
    queue.placer.loads.apply_report("peer", (FULL,), 0.0)
    queue.enqueue(makers.make_request("untried", SMALL_PART), 0.0)
    _, refused = decide(queue, 30.0)
    queue.enqueue(makers.make_request("tried", SMALL_PART, now=30.0), 30.0)
    queue.placer.loads.apply_report("peer", (FULL,), 30.0)
    refused += decide(queue, 30.7)[1]
    assert [(d.request.request_id, d.reason.value) for d in refused] == [
        ("untried", "untried"),
        ("tried", "no_room"),
    ]


def test_retry_delay_ends_well_before_the_deadline_of_the_caller():
    queue = makers.make_admission()
    delays = []
    for n in range(50):
        request = makers.make_request(f"r{n}", SMALL_PART, deadline_at=3.0)
        reason = decisions_lib.RefusalReason.NO_ROOM
        delays.append(queue.refuse(request, reason, 0.0).retry_after_s)
    assert max(delays) <= 1.0
    assert min(delays) > 0.0
    assert len(set(delays)) > 1


def test_early_refusal_often_allows_a_retry_within_the_goal():
    queue = makers.make_admission()
    request = makers.make_request("r", SMALL_PART)
    reason = decisions_lib.RefusalReason.NO_ROOM
    waited_s = queue.settings.at_fair_share_wait_s
    delays = [
        queue.refuse(request, reason, waited_s).retry_after_s for _ in range(50)
    ]
    goal_s = makers.CHAT.goal_s
    assert sum(waited_s + delay < goal_s for delay in delays) >= len(delays) / 2


def test_excluded_targets_are_not_chosen():
    queue = makers.make_admission()
    request = makers.make_request("r", SMALL_PART)
    queue.enqueue(request, 0.0, excluded=frozenset({"a"}))
    placed, _ = decide(queue, 0.0)
    assert placed == []


def test_withdrawn_request_is_removed_from_the_queue():
    queue = makers.make_admission()
    queue.enqueue(makers.make_request("r", SMALL_PART), 0.0)
    queue.withdraw("r")
    assert queue.count_waiting() == 0
    assert queue.next_refusal_at() is None


@pytest.mark.parametrize("workspaces", [2, 5])
def test_backlogged_workspaces_get_equal_shares(workspaces):
    queue = makers.make_admission()
    names = [f"w{n}" for n in range(workspaces)]
    counts = dict.fromkeys(names, 0)
    for step in range(300):
        now = step * 0.01
        for position, name in enumerate(names):
            for n in range(1 + position):
                queue.enqueue(
                    makers.make_request(
                        f"{name}.{step}.{n}",
                        SMALL_PART,
                        workspace=name,
                        now=now,
                    ),
                    now,
                )
        placed, _ = decide(queue, now)
        for decision in placed:
            counts[decision.request.workspace] += 1
            queue.placer.loads.end_request(decision.request.request_id)
    assert max(counts.values()) - min(counts.values()) <= 2


def test_length_of_a_scheduling_pass_is_bounded():
    queue = makers.make_admission()
    full = messages.TargetLoad("a", 0.0, 2, 0.0, 0.0)
    queue.placer.loads.apply_report("peer", (full,), 0.0)
    for n in range(500):
        queue.enqueue(makers.make_request(f"r{n}", SMALL_PART), 0.0)
    calls = []
    choose = queue.placer.choose
    queue.placer.choose = lambda *arguments: (
        calls.append(1) or choose(*arguments)
    )
    decide(queue, 0.01)
    assert len(calls) <= (
        admission.MAX_OLDEST_CANDIDATES + admission.MAX_NEWEST_CANDIDATES
    )


# Guards against FAIR: a router with a long queue begins nothing because what is
# left of its oldest requests' goals is too short, while it has newer ones.
def test_newest_request_is_placed_if_the_oldest_would_be_late():
    queue = makers.make_admission()
    goal_s = makers.CHAT.goal_s
    backlog_s = 0.5 * goal_s
    unread = backlog_s * queue.placer.rates.initial_tokens_per_s
    queue.placer.loads.apply_report(
        "peer", (messages.TargetLoad("a", unread, 1, 0.0, 0.0),), 0.3
    )
    for n in range(4):
        queue.enqueue(makers.make_request(f"old{n}", SMALL_PART), 0.0)
    queue.enqueue(makers.make_request("new", SMALL_PART, now=0.3), 0.3)
    placed, _ = decide(queue, 0.3)
    assert [d.request.request_id for d in placed] == ["new"]


def test_flooding_workspace_gets_no_capacity_reserved_for_others():
    queue = makers.make_admission()
    queue.guaranteed_per_s = 1000.0
    for workspace, asked, served in (
        ("flood", 2_000_000.0, 1_100_000.0),
        ("second", 600_000.0, 300_000.0),
    ):
        queue.usage.note_asked(workspace, asked, 0.0)
        queue.usage.note_served(workspace, served, 0.0)
        request = makers.make_request(
            workspace, SMALL_PART, workspace=workspace
        )
        queue.enqueue(request, 0.0)
    targets = [makers.make_target("a", slots=10)]
    one_free_slot = messages.TargetLoad("a", 0.0, 9, 0.0, 0.0)
    queue.placer.loads.apply_report("peer", (one_free_slot,), 0.0)
    placed, refused = decide(queue, 0.1, targets)
    assert placed == []
    assert [d.request.request_id for d in refused] == ["flood"]
    two_free_slots = messages.TargetLoad("a", 0.0, 8, 0.0, 0.0)
    queue.placer.loads.apply_report("peer", (two_free_slots,), 0.1)
    placed, _ = decide(queue, 0.1, targets)
    assert [d.request.request_id for d in placed] == ["second"]


def test_request_that_resumes_a_stream_goes_before_new_ones():
    queue = makers.make_admission()
    for n in range(4):
        queue.enqueue(makers.make_request(f"n{n}", SMALL_PART), 0.0)
    resumed = makers.make_request("resumed", SMALL_PART)
    queue.enqueue(resumed, 0.0, version="v1")
    placed, _ = decide(queue, 0.0)
    assert placed[0].request.request_id == "resumed"


def test_request_that_resumes_a_stream_waits_for_its_version():
    queue = makers.make_admission()
    resumed = makers.make_request("resumed", SMALL_PART)
    queue.enqueue(resumed, 0.0, version="v2")
    assert decide(queue, 0.9) == ([], [])
    others = [*TARGETS, makers.make_target("b", version="v2")]
    placed, _ = decide(queue, 0.91, others)
    assert [d.placement.target.name for d in placed] == ["b"]


def test_request_that_resumes_a_stream_is_refused_once_its_version_is_gone():
    queue = makers.make_admission()
    resumed = makers.make_request("resumed", SMALL_PART)
    queue.enqueue(resumed, 0.0, version="v2")
    queue.enqueue(makers.make_request("new", SMALL_PART), 0.0)
    refused = queue.refuse_without_version(lambda version: False, 0.0)
    assert [d.request.request_id for d in refused] == ["resumed"]
    assert refused[0].reason is decisions_lib.RefusalReason.VERSION_GONE
    assert queue.count_waiting() == 1
