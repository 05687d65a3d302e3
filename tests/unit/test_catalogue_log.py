"""Evaluation of the catalogue's log: one verdict for every change."""

from lentilbeam_core import catalogue_change
from lentilbeam_core import catalogue_state
from tests.unit import catalogue_cases as cases

GOLD = cases.key("class", "gold")
STUDIO = cases.key("workspace", "studio")


def test_changes_come_into_force_with_their_offset_as_version():
    result = cases.evaluate(
        cases.make_change(1, [cases.make_class("gold")]),
        cases.make_change(2, [cases.make_workspace("studio", "gold")]),
        cases.make_change(
            3, [cases.make_class("gold", weight=4.0)], bases={GOLD: 1}
        ),
    )
    assert result.is_accepted() == [True, True, True]
    assert result.state.catalogue.weight("studio") == 4.0
    assert result.state.version(GOLD) == 3
    assert result.state.version(STUDIO) == 2


def test_the_loser_of_a_race_learns_who_won():
    result = cases.evaluate(
        cases.make_change(1, [cases.make_class("gold")]),
        cases.make_change(
            2, [cases.make_class("gold", weight=2)], bases={GOLD: 1}
        ),
        cases.make_change(
            3, [cases.make_class("gold", weight=3)], bases={GOLD: 1}
        ),
    )
    assert result.is_accepted() == [True, True, False]
    assert result.last_findings() == [
        (
            "/bases/0",
            "class gold is at version 2, the change was based on version 1",
        )
    ]
    assert result.verdicts[-1].winner == catalogue_change.Winner(
        2, cases.change_id(2), "ada"
    )


def test_the_loser_against_a_deletion_learns_who_deleted():
    result = cases.evaluate(
        cases.make_change(1, [cases.make_class("gold")]),
        cases.make_change(2, deletes=[GOLD], bases={GOLD: 1}),
        cases.make_change(3, [cases.make_class("gold")], bases={GOLD: 1}),
    )
    assert result.verdicts[-1].winner.name == cases.change_id(2)


def test_a_recreated_entry_is_not_taken_for_its_predecessor():
    result = cases.evaluate(
        cases.make_change(1, [cases.make_class("gold")]),
        cases.make_change(2, deletes=[GOLD], bases={GOLD: 1}),
        cases.make_change(3, [cases.make_class("gold", weight=2)]),
        cases.make_change(4, deletes=[GOLD], bases={GOLD: 1}),
    )
    assert result.is_accepted() == [True, True, True, False]


def test_a_repeated_change_gives_its_first_verdict():
    first = cases.make_change(1, [cases.make_class("gold")])
    lost = cases.make_change(2, [cases.make_class("gold")])
    result = cases.evaluate(first, lost, first, lost)
    assert result.verdicts[2] == result.verdicts[0]
    assert result.verdicts[3] == result.verdicts[1]
    assert result.state.version(GOLD) == 1


def test_a_change_whose_verdict_was_forgotten_is_never_applied_again(
    monkeypatch,
):
    monkeypatch.setattr(catalogue_state, "MAX_VERDICTS", 2)
    first = cases.make_change(1, [cases.make_class("gold")])
    result = cases.evaluate(
        first,
        cases.make_change(2, deletes=[GOLD], bases={GOLD: 1}),
        cases.make_change(3, [cases.make_class("silver")]),
        first,
    )
    assert result.is_accepted() == [True, True, True, False]
    assert result.last_findings()[0][0] == "/id"
    assert result.state.version(GOLD) == 0


def test_only_the_owner_may_change_an_entry_and_may_hand_it_over():
    gold = cases.make_class("gold", owner="bob")
    result = cases.evaluate(
        cases.make_change(1, [cases.make_class("gold")]),
        cases.make_change(2, [gold], bases={GOLD: 1}, operator="bob"),
        cases.make_change(3, deletes=[GOLD], bases={GOLD: 1}, operator="bob"),
        cases.make_change(4, [gold], bases={GOLD: 1}),
        cases.make_change(
            5, [cases.make_class("x", owner="ada")], operator="bob"
        ),
    )
    assert result.is_accepted() == [True, False, False, True, False]
    assert result.state.catalogue.find(GOLD).owner == "bob"


def test_all_findings_of_a_change_come_back_together():
    bad_class = cases.make_class("gold", weight=0)
    pool = cases.make_pool("chat", ["t1", "t1"])
    pool["targets"][0]["url"] = "http://host:99999999"
    result = cases.evaluate(
        cases.make_change(
            1,
            [
                bad_class,
                cases.make_workspace("studio", "gold"),
                cases.make_workspace("lessons", "none", concurrency=0),
                cases.make_workspace("tides", "none"),
                pool,
                cases.make_class("silver", owner="bob"),
            ],
            deletes=[cases.key("class", "bronze")],
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


def test_a_class_in_use_stays_until_its_workspaces_move():
    setup = [
        cases.make_change(1, [cases.make_class("gold")]),
        cases.make_change(2, [cases.make_class("silver")]),
        cases.make_change(3, [cases.make_workspace("studio", "gold")]),
    ]
    bases = {GOLD: 1, STUDIO: 3}
    moved = [cases.make_workspace("studio", "silver")]
    refused = cases.evaluate(
        *setup, cases.make_change(4, deletes=[GOLD], bases={GOLD: 1})
    )
    assert refused.last_findings() == [
        ("/deletes/0", "class gold has 1 workspaces")
    ]
    accepted = cases.evaluate(
        *setup, cases.make_change(4, moved, deletes=[GOLD], bases=bases)
    )
    assert accepted.is_accepted()[-1]


def test_a_target_moves_between_pools_but_is_never_in_two():
    pools = [cases.make_pool("a", ["t1"]), cases.make_pool("b", ["t2"])]
    bases = {cases.key("pool", "a"): 1, cases.key("pool", "b"): 1}
    swapped = [cases.make_pool("b", ["t1"]), cases.make_pool("a", ["t2"])]
    result = cases.evaluate(
        cases.make_change(1, pools),
        cases.make_change(2, [cases.make_pool("c", ["t1"])]),
        cases.make_change(3, swapped, bases=bases),
        cases.make_change(4, [cases.make_pool("d", ["t1", "t2"])]),
    )
    assert result.is_accepted() == [True, False, True, False]
    assert [message for _, message in result.last_findings()] == [
        "target t1 is in pool b already",
        "target t2 is in pool a already",
    ]


def test_records_that_are_no_changes_stop_nothing():
    result = cases.evaluate(
        None,
        7,
        {"record": "from-a-later-release", "x": [1]},
        {"record": "change", "id": "no id"},
        {"record": "change", "id": cases.change_id(1), "upserts": 5},
        cases.make_change(2, [cases.make_class("gold")]),
    )
    assert result.verdicts[:4] == [None] * 4
    assert [f.pointer for f in result.verdicts[4].findings][-1] == "/upserts"
    assert result.is_accepted()[5]
    assert result.state.offset == 6
