"""Tests of the verdicts on the changes in the catalogue's log."""

from lentilbeam_core import catalogue_change
from lentilbeam_core import catalogue_state
from tests.unit import catalogue_builders as builders

GOLD = builders.make_key("class", "gold")
STUDIO = builders.make_key("workspace", "studio")


def test_accepted_changes_have_their_offset_as_version():
    result = builders.apply_records(
        builders.make_change(1, [builders.make_class("gold")]),
        builders.make_change(2, [builders.make_workspace("studio", "gold")]),
        builders.make_change(
            3, [builders.make_class("gold", weight=4.0)], bases={GOLD: 1}
        ),
    )
    assert result.accepted_flags() == [True, True, True]
    assert result.state.catalogue.weight("studio") == 4.0
    assert result.state.version(GOLD) == 3
    assert result.state.version(STUDIO) == 2


def test_a_conflicting_change_is_rejected_and_names_the_winner():
    result = builders.apply_records(
        builders.make_change(1, [builders.make_class("gold")]),
        builders.make_change(
            2, [builders.make_class("gold", weight=2)], bases={GOLD: 1}
        ),
        builders.make_change(
            3, [builders.make_class("gold", weight=3)], bases={GOLD: 1}
        ),
    )
    assert result.accepted_flags() == [True, True, False]
    assert result.last_findings() == [
        (
            "/bases/0",
            "class gold is at version 2, the change was based on version 1",
        )
    ]
    assert result.verdicts[-1].winner == catalogue_change.Winner(
        2, builders.make_change_id(2), "ada"
    )


def test_a_change_that_conflicts_with_a_deletion_names_the_deletion():
    result = builders.apply_records(
        builders.make_change(1, [builders.make_class("gold")]),
        builders.make_change(2, deletes=[GOLD], bases={GOLD: 1}),
        builders.make_change(3, [builders.make_class("gold")], bases={GOLD: 1}),
    )
    assert result.verdicts[-1].winner.change_id == builders.make_change_id(2)


def test_a_change_based_on_a_deleted_entry_conflicts_with_its_successor():
    result = builders.apply_records(
        builders.make_change(1, [builders.make_class("gold")]),
        builders.make_change(2, deletes=[GOLD], bases={GOLD: 1}),
        builders.make_change(3, [builders.make_class("gold", weight=2)]),
        builders.make_change(4, deletes=[GOLD], bases={GOLD: 1}),
    )
    assert result.accepted_flags() == [True, True, True, False]


def test_a_repeated_change_keeps_its_first_verdict():
    first = builders.make_change(1, [builders.make_class("gold")])
    conflicting = builders.make_change(2, [builders.make_class("gold")])
    result = builders.apply_records(first, conflicting, first, conflicting)
    assert result.verdicts[2] == result.verdicts[0]
    assert result.verdicts[3] == result.verdicts[1]
    assert result.state.version(GOLD) == 1


def test_a_change_is_not_reapplied_after_its_verdict_was_evicted(
    monkeypatch,
):
    monkeypatch.setattr(catalogue_state, "MAX_VERDICTS", 2)
    first = builders.make_change(1, [builders.make_class("gold")])
    result = builders.apply_records(
        first,
        builders.make_change(2, deletes=[GOLD], bases={GOLD: 1}),
        builders.make_change(3, [builders.make_class("silver")]),
        first,
    )
    assert result.accepted_flags() == [True, True, True, False]
    assert result.last_findings()[0][0] == "/id"
    assert result.state.version(GOLD) == 0


def test_only_the_owner_may_change_an_entry_or_its_owner():
    gold = builders.make_class("gold", owner="bob")
    result = builders.apply_records(
        builders.make_change(1, [builders.make_class("gold")]),
        builders.make_change(2, [gold], bases={GOLD: 1}, operator="bob"),
        builders.make_change(
            3, deletes=[GOLD], bases={GOLD: 1}, operator="bob"
        ),
        builders.make_change(4, [gold], bases={GOLD: 1}),
        builders.make_change(
            5, [builders.make_class("x", owner="ada")], operator="bob"
        ),
    )
    assert result.accepted_flags() == [True, False, False, True, False]
    assert result.state.catalogue.find(GOLD).owner == "bob"


def test_all_findings_of_a_change_are_reported_together():
    bad_class = builders.make_class("gold", weight=0)
    pool = builders.make_pool("chat", ["t1", "t1"])
    pool["targets"][0]["url"] = "http://host:99999999"
    result = builders.apply_records(
        builders.make_change(
            1,
            [
                bad_class,
                builders.make_workspace("studio", "gold"),
                builders.make_workspace("lessons", "none", concurrency=0),
                builders.make_workspace("tides", "none"),
                pool,
                builders.make_class("silver", owner="bob"),
            ],
            deletes=[builders.make_key("class", "bronze")],
        )
    )
    assert [pointer for pointer, _ in result.last_findings()] == [
        "/upserts/0/weight",
        "/upserts/2/limits/concurrency",
        "/upserts/5/owner",
        "/deletes/0",
        "/upserts/3/class",
        "/upserts/4/targets/0/url",
        "/upserts/4/targets/1/name",
    ]


def test_a_class_is_deletable_only_when_no_workspace_uses_it():
    setup = [
        builders.make_change(1, [builders.make_class("gold")]),
        builders.make_change(2, [builders.make_class("silver")]),
        builders.make_change(3, [builders.make_workspace("studio", "gold")]),
    ]
    bases = {GOLD: 1, STUDIO: 3}
    moved_workspaces = [builders.make_workspace("studio", "silver")]
    refused = builders.apply_records(
        *setup, builders.make_change(4, deletes=[GOLD], bases={GOLD: 1})
    )
    assert refused.last_findings() == [
        ("/deletes/0", "class gold has 1 workspaces")
    ]
    accepted = builders.apply_records(
        *setup,
        builders.make_change(4, moved_workspaces, deletes=[GOLD], bases=bases),
    )
    assert accepted.accepted_flags()[-1]


def test_a_target_can_move_between_pools_but_is_in_one_at_a_time():
    pools = [builders.make_pool("a", ["t1"]), builders.make_pool("b", ["t2"])]
    bases = {
        builders.make_key("pool", "a"): 1,
        builders.make_key("pool", "b"): 1,
    }
    swapped_pools = [
        builders.make_pool("b", ["t1"]),
        builders.make_pool("a", ["t2"]),
    ]
    result = builders.apply_records(
        builders.make_change(1, pools),
        builders.make_change(2, [builders.make_pool("c", ["t1"])]),
        builders.make_change(3, swapped_pools, bases=bases),
        builders.make_change(4, [builders.make_pool("d", ["t1", "t2"])]),
    )
    assert result.accepted_flags() == [True, False, True, False]
    assert [message for _, message in result.last_findings()] == [
        "target t1 is in pool b already",
        "target t2 is in pool a already",
    ]


def test_records_that_are_not_changes_are_skipped():
    result = builders.apply_records(
        None,
        7,
        {"record": "from-a-later-release", "x": [1]},
        {"record": "change", "id": "no id"},
        {"record": "change", "id": builders.make_change_id(1), "upserts": 5},
        builders.make_change(2, [builders.make_class("gold")]),
    )
    assert result.verdicts[:4] == [None] * 4
    assert [f.pointer for f in result.verdicts[4].findings][-1] == "/upserts"
    assert result.accepted_flags()[5]
    assert result.state.offset == 6
