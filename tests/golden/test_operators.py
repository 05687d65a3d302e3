"""Golden files of the operators' commands, one for each."""

import copy
import json
import pathlib

import pytest

from lentilbeam_cli import exit_status
from lentilbeam_core import clock as clock_lib
from tests import virtual_time
from tests.golden import golden
from tests.golden import operators
from tests.unit import catalogue_cases as cases

SERVICES = operators.SERVICES
STATUS = exit_status.ExitStatus
ENTRIES = [
    cases.make_class("gold", weight=2.0),
    cases.make_workspace("studio", "gold", concurrency=4),
    cases.make_pool("chat", ["t1", "t2"]),
]
REQUEST = "019b8d62-7a80-7000-8000-000000000001"


def write(name: str, *entries, **more) -> None:
    document = {"entries": list(entries), **more}
    pathlib.Path(name).write_text(json.dumps(document))


@pytest.fixture
def site(tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    clock = clock_lib.ManualClock(virtual_time.START)
    with operators.make_runner(clock) as runner:
        site = operators.open_site(runner, clock)
        write("all.json", *ENTRIES)
        yield site


@pytest.fixture
def filled(site):
    """A site whose catalogue holds `ENTRIES` at every router."""
    assert site.run(f"apply all.json --wait {SERVICES}") is STATUS.OK
    site.transcript.truncate(0)
    site.transcript.seek(0)
    return site


def compare(name: str, site: operators.Site) -> None:
    golden.compare(f"operators/{name}.txt", site.transcript.getvalue())


def test_usage(site):
    assert site.run("help") is STATUS.OK
    for line in ("fly", "apply", "get bus", "--nope", "drain", "status"):
        assert site.run(line) is STATUS.USAGE
    site.variables = {}
    assert site.run(f"apply all.json {SERVICES}") is STATUS.USAGE
    compare("usage", site)


def test_check(site):
    pool = copy.deepcopy(ENTRIES[2])
    pool["targets"][1] |= {"slots": 0, "url": "ftp://x"}
    write("bad.json", {**ENTRIES[0], "weight": -1}, pool, {"kind": "bus"})
    write("twice.json", *ENTRIES[:2], deletes=[{"kind": "class"}])
    pathlib.Path("broken.json").write_text('{"entries": [')
    assert site.run("check all.json") is STATUS.OK
    assert site.run("check .") is STATUS.FINDINGS
    assert site.run("check bad.json none.json --format=json")
    write("lone.json", cases.make_workspace("lessons", "silver"))
    assert site.run("check lone.json") is STATUS.FINDINGS
    assert site.run(f"check lone.json {SERVICES}") is STATUS.FINDINGS
    compare("check", site)


def test_diff(filled):
    pool = copy.deepcopy(ENTRIES[2])
    pool["targets"][1]["slots"] = 8
    write(
        "next.json",
        cases.make_class("silver"),
        cases.make_workspace("studio", "silver", concurrency=4, burst=2),
        pool,
        deletes=[{"kind": "class", "name": "gold"}],
    )
    assert filled.run(f"diff all.json {SERVICES}") is STATUS.OK
    assert filled.run(f"diff next.json {SERVICES}") is STATUS.OK
    assert filled.run(f"diff next.json {SERVICES} --format=json") is STATUS.OK
    compare("diff", filled)


def test_apply(site):
    assert site.run(f"apply all.json --wait {SERVICES}") is STATUS.OK
    assert site.run(f"apply all.json --wait {SERVICES}") is STATUS.OK
    write("gold.json", {**ENTRIES[0], "weight": 3.0})
    line = f"apply gold.json {SERVICES} --format=json"
    assert site.run(f"{line} --operator=bob") is STATUS.FINDINGS
    assert site.run(line) is STATUS.OK
    write("stale.json", {**ENTRIES[0], "weight": 4.0, "version": 1})
    assert site.run(f"apply stale.json {SERVICES}") is STATUS.FINDINGS
    write("gone.json", deletes=[{"kind": "workspace", "name": "studio"}])
    assert site.run(f"apply gone.json {SERVICES}") is STATUS.OK
    compare("apply", site)


def test_apply_that_loses_a_race(filled):
    rival = cases.make_change(
        9,
        [cases.make_class("gold", "ada", 7.0)],
        bases={cases.key("class", "gold"): 1},
    )
    rivals = [rival]

    def race(request):
        if request.method == "POST" and rivals:
            filled.log.append("catalogue", [rivals.pop()])

    filled.hook = race
    write("gold.json", {**ENTRIES[0], "weight": 3.0})
    assert filled.run(f"apply gold.json {SERVICES}") is STATUS.REJECTED
    compare("apply_race", filled)


def test_apply_over_an_unreliable_log(filled):
    write("gold.json", {**ENTRIES[0], "weight": 3.0})
    filled.log.answers_to_lose = 1
    assert filled.run(f"apply gold.json {SERVICES}") is STATUS.OK
    assert len(filled.log.values("catalogue")) == 2

    def break_after_append(request):
        filled.log.is_down |= request.method == "POST"

    def lose(request):
        if request.method == "POST":
            filled.log.answers_to_lose = 1
            filled.hook = lambda _: setattr(filled.log, "is_down", True)

    write("gold.json", {**ENTRIES[0], "weight": 5.0})
    filled.hook = lose
    line = f"apply gold.json {SERVICES} --timeout_s=3"
    assert filled.run(line) is STATUS.OUTCOME_UNKNOWN
    change_id = filled.log.values("catalogue")[-1]["id"]
    filled.hook = lambda _: None
    assert filled.run(line) is STATUS.UNREACHABLE
    filled.log.is_down = False
    repeated = f"{line} --change_id={change_id}"
    assert filled.run(repeated) is STATUS.OK
    assert len(filled.log.values("catalogue")) == 3
    write("gold.json", {**ENTRIES[0], "weight": 6.0})
    filled.hook = break_after_append
    assert filled.run(line) is STATUS.UNREACHABLE
    assert len(filled.log.values("catalogue")) == 3
    compare("apply_unreliable_log", filled)


def test_apply_that_waits_for_a_slow_router(filled):
    filled.routers[2].lag_s = 60.0
    filled.routers[1].is_silent = True
    write("gold.json", {**ENTRIES[0], "weight": 3.0})
    line = f"apply gold.json --wait {SERVICES} --timeout_s=2"
    assert filled.run(line) is STATUS.WAIT_TIMEOUT
    filled.routers[1].is_silent = False
    filled.routers[2].lag_s = 0.5
    assert filled.run(line) is STATUS.OK
    filled.is_terminal = True
    write("gold.json", {**ENTRIES[0], "weight": 4.0})
    assert filled.run(line) is STATUS.OK
    compare("apply_wait", filled)


def test_get(filled):
    assert filled.run(f"get {SERVICES}") is STATUS.OK
    assert filled.run(f"get workspace studio {SERVICES} --format=json") == 0
    assert filled.run(f"get pool tea {SERVICES}") is STATUS.FAILED
    filled.log.is_down = True
    assert filled.run(f"get class {SERVICES}") is STATUS.OK
    assert filled.run("get class --log=http://log") is STATUS.UNREACHABLE
    compare("get", filled)


def test_status(filled):
    target = {"target": "t1", "slots": 4, "running": 1}
    flags = {"is_ejected": False, "is_draining": False}
    pool = {
        "scheduler": "router-1",
        "queued": 2,
        "running": 1,
        "targets": [target | flags],
    }
    for router in filled.routers:
        router.pools = {"chat": pool}
    filled.routers[0].peers = [
        {"name": "router-2", "state": "live"},
        {"name": "router-3", "state": "unreachable"},
    ]
    filled.routers[2].is_silent = True
    assert filled.run(f"status {SERVICES}") is STATUS.OK
    assert filled.run(f"status {SERVICES} --format=json") is STATUS.OK
    compare("status", filled)


def test_stats(filled):
    for number, router in enumerate(filled.routers, start=1):
        router.metrics.count("refused.queue_full", number)
        for step in range(100):
            router.metrics.record_duration(
                "request.whole", number * step / 1000
            )
    assert filled.run(f"stats {SERVICES}") is STATUS.OK
    filled.routers[0].is_silent = True
    assert filled.run(f"stats {SERVICES} --format=json") is STATUS.OK
    compare("stats", filled)


def record_request(site) -> None:
    first, second, _ = (router.timeline for router in site.routers)
    first.record("request.admitted", f"studio/{REQUEST}")
    site.wait(0.002)
    first.record("request.dispatched", f"studio/{REQUEST}", "t1")
    second.record("schedule", "chat", "term 1")
    site.wait(0.25)
    first.record("request.ended", f"studio/{REQUEST}", "completed")


def test_timeline(filled):
    record_request(filled)
    assert filled.run(f"timeline {SERVICES}") is STATUS.OK
    for option in (f"request={REQUEST}", "workspace=studio", "target=t1"):
        assert filled.run(f"timeline --{option} {SERVICES}") is STATUS.OK
    line = f"timeline --target=t1 {SERVICES} --format=json"
    assert filled.run(line) is STATUS.OK
    compare("timeline", filled)


def test_export(filled):
    record_request(filled)
    assert filled.run(f"export {SERVICES}") is STATUS.OK
    compare("export", filled)


def test_drain(filled):
    assert filled.run(f"drain router-2 {SERVICES}") is STATUS.OK
    assert filled.run(f"drain router-9 {SERVICES}") is STATUS.FAILED
    filled.routers[0].is_silent = True
    assert filled.run(f"drain router-1 {SERVICES}") is STATUS.UNREACHABLE
    assert filled.run(f"status {SERVICES}") is STATUS.OK
    compare("drain", filled)
