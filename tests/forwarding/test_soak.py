"""The soak finds broken promises, and a short run of it finds none."""

import asyncio
import types

import pytest

from soak import callers
from soak import checks
from soak import disturbances
from soak import run as run_lib
from soak import world as world_lib

BODY = "".join(f"id: {n}\ndata: word{n}\n\n" for n in range(1, 21)).encode()
CI_SEED = 1
CI_LENGTH_S = 6.0


def see(path="/book/x", **changes):
    """Returns what a caller saw of a request that was served."""
    values = {
        "name": "r",
        "path": path,
        "router": "router-1",
        "sent_at": 100.0,
        "ended_at": 101.0,
        "end": callers.End.ANSWERED,
        "status": 200,
        "body": BODY if path.startswith("/chat/") else b"done",
        "headers": {"request-id": "r"},
    }
    return callers.Seen(**{**values, **changes})


def find(*seen, runs=(), diary=None, leaving=None, published=()):
    faults = types.SimpleNamespace(
        diary=diary or disturbances.Diary(),
        leaving=leaving or {},
        published=list(published),
        unexpected=[],
    )
    return checks.find_broken(checks.Evidence(list(seen), list(runs), faults))


def test_what_was_served_as_promised_is_no_finding():
    seen = (see(), see("/chat/x", name="s", headers={"request-id": "s"}))
    assert find(*seen, runs=[("t1", "r", 100.1), ("t1", "s", 100.1)]) == []


@pytest.mark.parametrize(
    "item",
    [
        see("/chat/x", body=BODY[:-40]),
        see(headers={"request-id": "another"}),
    ],
)
def test_cut_and_foreign_answers_are_found(item):
    assert len(find(item)) == 1


def test_a_refusal_of_what_ran_is_found():
    item = see(status=503, body=b"", headers={})
    assert find(item) == []
    assert len(find(item, runs=[("t1", "r", 100.1)])) == 1


def test_a_second_run_is_found_if_it_was_a_booking():
    runs = [("t1", "r", 100.1), ("t2", "r", 100.2)]
    assert find(see("/look/x"), runs=runs) == []
    assert len(find(see("/book/x"), runs=runs)) == 1


def test_a_cut_is_found_beside_planned_work_but_not_beside_a_kill():
    item = see(end=callers.End.CUT, status=0, body=b"")
    runs = [("t1", "r", 100.1)]
    diary = disturbances.Diary()
    diary.begin(disturbances.Kind.TERMINATE, "router-1", 100.0)
    assert len(find(item, runs=runs, diary=diary)) == 1
    diary.begin(disturbances.Kind.KILL, "t1", 100.5)
    assert find(item, runs=runs, diary=diary) == []


def test_new_work_at_a_leaving_target_is_found():
    runs = [("t1", "r", 100.1)]
    assert find(see(), runs=runs, leaving={"t1": 98.0}) == []
    assert len(find(see(), runs=runs, leaving={"t1": 90.0})) == 1


def test_a_configuration_that_is_late_or_reverts_is_found():
    late = see("/v2/x", status=404, body=b"", headers={})
    assert find(late, published=[(99.0, "/v2/")]) == []
    assert len(find(late, published=[(90.0, "/v2/")])) == 1
    known = see("/v2/x", sent_at=98.0, ended_at=99.0)
    assert find(known, late) == ["/v2/x forgotten at router-1"]


def test_a_short_soak_finds_no_broken_promise(tmp_path):
    settings = run_lib.Settings(seed=CI_SEED, length_s=CI_LENGTH_S)
    result = asyncio.run(run_lib.play(settings, tmp_path))
    assert result.broken == []
    assert result.ends["200"] > 0


def test_a_write_goes_through_once_the_store_is_back(tmp_path):
    async def scenario():
        world = world_lib.SoakWorld(tmp_path)
        try:
            await world.start(routers=0, targets=0)
            await world.set_faults(is_down=True)
            writing = asyncio.create_task(
                world.write("keyed.servers", "t", b"{}")
            )
            await asyncio.sleep(world_lib.WRITE_AGAIN_S)
            assert not writing.done()
            await world.set_faults()
            await writing
        finally:
            await world.stop()

    asyncio.run(scenario())
