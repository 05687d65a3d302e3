"""Who waits and who is refused under load, in a pool of one target or none."""

import pytest

from lentilbeam_core import messages
from lentilbeam_core.forwarding import admission
from tests.forwarding import makers

TARGETS = [makers.make_target("a", slots=2)]
SMALL = ("p", 100)


def decide(queue, now, targets=TARGETS):
    placed, refused = [], []
    for decision in queue.decide(targets, now):
        is_placed = isinstance(decision, admission.Placed)
        (placed if is_placed else refused).append(decision)
    return placed, refused


def test_a_request_goes_at_once_while_there_is_room():
    queue = makers.make_admission()
    queue.enqueue(makers.make_request("r", SMALL), 0.0)
    placed, refused = decide(queue, 0.0)
    assert [d.request.name for d in placed] == ["r"]
    assert refused == []
    assert queue.count_waiting() == 0


def test_the_light_workspace_goes_before_the_flood():
    queue = makers.make_admission()
    for n in range(20):
        flood = makers.make_request(f"f{n}", SMALL, workspace="flood")
        queue.enqueue(flood, 0.0)
    decide(queue, 0.0)
    queue.enqueue(makers.make_request("l", SMALL, workspace="light"), 0.0)
    queue.placer.loads.end_request("f0")
    placed, _ = decide(queue, 0.01)
    assert [d.request.name for d in placed] == ["l"]


def test_a_flood_beyond_its_share_is_refused_soon_and_others_wait():
    queue = makers.make_admission()
    queue.guaranteed_per_s = 100.0
    full = messages.TargetLoad("a", 0.0, 2, 0.0, 0.0)
    queue.placer.loads.apply_report("peer", (full,), 0.0)
    queue.usage.note_asked("flood", 10_000.0, 0.0)
    queue.usage.note_served("flood", 10_000.0, 0.0)
    queue.enqueue(makers.make_request("f", SMALL, workspace="flood"), 0.0)
    queue.enqueue(makers.make_request("l", SMALL, workspace="light"), 0.0)
    _, refused = decide(queue, 0.1)
    assert [d.request.name for d in refused] == ["f"]
    assert queue.count_waiting() == 1


def test_a_request_that_misses_its_goal_is_refused_before_it():
    queue = makers.make_admission()
    queue.enqueue(makers.make_request("r", SMALL), 0.0)
    _, refused = decide(queue, 0.59, targets=[])
    assert [d.reason for d in refused] == [admission.RefusalReason.NO_TARGET]


def test_a_refused_caller_is_told_a_time_that_it_can_keep():
    queue = makers.make_admission()
    times = []
    for n in range(50):
        request = makers.make_request(f"r{n}", SMALL, deadline_at=3.0)
        reason = admission.RefusalReason.NO_ROOM
        times.append(queue.refuse(request, reason, 0.0).retry_after_s)
    assert max(times) <= 1.0
    assert min(times) > 0.0
    assert len(set(times)) > 1


def test_in_a_burst_one_refused_soon_may_return_before_its_goal_has_passed():
    queue = makers.make_admission()
    request = makers.make_request("r", SMALL)
    reason = admission.RefusalReason.NO_ROOM
    waited_s = queue.settings.at_fair_share_wait_s
    times = [
        queue.refuse(request, reason, waited_s).retry_after_s for _ in range(50)
    ]
    goal_s = makers.CHAT.goal_s
    assert sum(waited_s + time < goal_s for time in times) >= len(times) / 2


def test_targets_that_were_tried_are_not_chosen_again():
    queue = makers.make_admission()
    request = makers.make_request("r", SMALL)
    queue.enqueue(request, 0.0, excluded=frozenset({"a"}))
    placed, _ = decide(queue, 0.0)
    assert placed == []


def test_a_caller_that_leaves_is_forgotten():
    queue = makers.make_admission()
    queue.enqueue(makers.make_request("r", SMALL), 0.0)
    queue.withdraw("r")
    assert queue.count_waiting() == 0
    assert queue.next_refusal_at() is None


@pytest.mark.parametrize("workspaces", [2, 5])
def test_backlogged_workspaces_get_even_shares(workspaces):
    queue = makers.make_admission()
    names = [f"w{n}" for n in range(workspaces)]
    counts = dict.fromkeys(names, 0)
    for step in range(300):
        now = step * 0.01
        for position, name in enumerate(names):
            for n in range(1 + position):
                queue.enqueue(
                    makers.make_request(
                        f"{name}.{step}.{n}", SMALL, workspace=name, now=now
                    ),
                    now,
                )
        placed, _ = decide(queue, now)
        for decision in placed:
            counts[decision.request.workspace] += 1
            queue.placer.loads.end_request(decision.request.name)
    assert max(counts.values()) - min(counts.values()) <= 2


def test_a_flood_does_not_make_a_look_at_the_queue_longer():
    queue = makers.make_admission()
    full = messages.TargetLoad("a", 0.0, 2, 0.0, 0.0)
    queue.placer.loads.apply_report("peer", (full,), 0.0)
    for n in range(500):
        queue.enqueue(makers.make_request(f"r{n}", SMALL), 0.0)
    tried = []
    choose = queue.placer.choose
    queue.placer.choose = lambda *given: tried.append(1) or choose(*given)
    decide(queue, 0.01)
    assert len(tried) <= admission.MAX_HEAD_CANDIDATES


def test_one_far_behind_its_even_share_waits_for_room_that_a_flood_is_denied():
    queue = makers.make_admission()
    queue.guaranteed_per_s = 1000.0
    for workspace, asked, served in (
        ("flood", 2_000_000.0, 1_100_000.0),
        ("second", 600_000.0, 300_000.0),
    ):
        queue.usage.note_asked(workspace, asked, 0.0)
        queue.usage.note_served(workspace, served, 0.0)
        request = makers.make_request(workspace, SMALL, workspace=workspace)
        queue.enqueue(request, 0.0)
    targets = [makers.make_target("a", slots=10)]
    mostly_taken = messages.TargetLoad("a", 0.0, 9, 0.0, 0.0)
    queue.placer.loads.apply_report("peer", (mostly_taken,), 0.0)
    placed, refused = decide(queue, 0.1, targets)
    assert placed == []
    assert [d.request.name for d in refused] == ["flood"]
    some_room = messages.TargetLoad("a", 0.0, 8, 0.0, 0.0)
    queue.placer.loads.apply_report("peer", (some_room,), 0.1)
    placed, _ = decide(queue, 0.1, targets)
    assert [d.request.name for d in placed] == ["second"]
