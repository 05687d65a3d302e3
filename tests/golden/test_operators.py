"""Operators' commands, compared with one golden file for each test."""

import copy
import json
import pathlib

import pytest

from lentilbeam_cli import exit_status
from lentilbeam_core import clock as clock_lib
from tests import virtual_time
from tests.golden import golden
from tests.golden import operators
from tests.unit import catalogue_builders as builders

SERVICES = operators.SERVICES
STATUS = exit_status.ExitStatus
ENTRIES = [
    builders.make_class("gold", weight=2.0),
    builders.make_workspace("studio", "gold", concurrency=4),
    builders.make_pool("chat", ["t1", "t2"]),
]
REQUEST_ID = "019b8d62-7a80-7000-8000-000000000001"


def write_document(name: str, *entries, **fields) -> None:
    """Writes a JSON document with these entries and further fields."""
    document = {"entries": list(entries), **fields}
    pathlib.Path(name).write_text(json.dumps(document))


@pytest.fixture
def site(tmp_path, monkeypatch):
    """Returns a site without entries; `ENTRIES` are in the file all.json."""
    monkeypatch.chdir(tmp_path)
    clock = clock_lib.ManualClock(virtual_time.START)
    with operators.make_runner(clock) as runner:
        site = operators.open_site(runner, clock)
        write_document("all.json", *ENTRIES)
        yield site


@pytest.fixture
def populated(site):
    """Returns a site with `ENTRIES` in force at every router."""
    assert site.run(f"apply all.json --wait {SERVICES}") is STATUS.OK
    site.transcript.truncate(0)
    site.transcript.seek(0)
    return site


def compare(name: str, site: operators.Site) -> None:
    """Compares the transcript with a golden file, or writes the file."""
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
    write_document(
        "bad.json", {**ENTRIES[0], "weight": -1}, pool, {"kind": "bus"}
    )
    write_document("twice.json", *ENTRIES[:2], deletes=[{"kind": "class"}])
    pathlib.Path("broken.json").write_text('{"entries": [')
    assert site.run("check all.json") is STATUS.OK
    assert site.run("check .") is STATUS.FINDINGS
    assert site.run("check bad.json none.json --format=json")
    write_document("lone.json", builders.make_workspace("lessons", "silver"))
    assert site.run("check lone.json") is STATUS.FINDINGS
    assert site.run(f"check lone.json {SERVICES}") is STATUS.FINDINGS
    compare("check", site)


def test_diff(populated):
    pool = copy.deepcopy(ENTRIES[2])
    pool["targets"][1]["slots"] = 8
    write_document(
        "next.json",
        builders.make_class("silver"),
        builders.make_workspace("studio", "silver", concurrency=4, burst=2),
        pool,
        deletes=[{"kind": "class", "name": "gold"}],
    )
    assert populated.run(f"diff all.json {SERVICES}") is STATUS.OK
    assert populated.run(f"diff next.json {SERVICES}") is STATUS.OK
    assert (
        populated.run(f"diff next.json {SERVICES} --format=json") is STATUS.OK
    )
    compare("diff", populated)


def test_apply(site):
    assert site.run(f"apply all.json --wait {SERVICES}") is STATUS.OK
    assert site.run(f"apply all.json --wait {SERVICES}") is STATUS.OK
    write_document("gold.json", {**ENTRIES[0], "weight": 3.0})
    line = f"apply gold.json {SERVICES} --format=json"
    assert site.run(f"{line} --operator=bob") is STATUS.FINDINGS
    assert site.run(line) is STATUS.OK
    write_document("stale.json", {**ENTRIES[0], "weight": 4.0, "version": 1})
    assert site.run(f"apply stale.json {SERVICES}") is STATUS.FINDINGS
    write_document(
        "gone.json", deletes=[{"kind": "workspace", "name": "studio"}]
    )
    assert site.run(f"apply gone.json {SERVICES}") is STATUS.OK
    compare("apply", site)


def test_apply_loses_to_a_concurrent_conflicting_change(populated):
    concurrent_change = builders.make_change(
        9,
        [builders.make_class("gold", "ada", 7.0)],
        bases={builders.make_key("class", "gold"): 1},
    )
    concurrent_changes = [concurrent_change]

    def append_concurrent_change(request):
        if request.method == "POST" and concurrent_changes:
            populated.log.append("catalogue", [concurrent_changes.pop()])

    populated.before_request = append_concurrent_change
    write_document("gold.json", {**ENTRIES[0], "weight": 3.0})
    assert populated.run(f"apply gold.json {SERVICES}") is STATUS.REJECTED
    compare("apply_race", populated)


def test_apply_over_an_unreliable_log(populated):
    write_document("gold.json", {**ENTRIES[0], "weight": 3.0})
    populated.log.responses_to_lose = 1
    assert populated.run(f"apply gold.json {SERVICES}") is STATUS.OK
    assert len(populated.log.values("catalogue")) == 2

    def take_log_down_at_append(request):
        populated.log.is_down |= request.method == "POST"

    def lose_append_response(request):
        if request.method == "POST":
            populated.log.responses_to_lose = 1
            populated.before_request = lambda _: setattr(
                populated.log, "is_down", True
            )

    write_document("gold.json", {**ENTRIES[0], "weight": 5.0})
    populated.before_request = lose_append_response
    line = f"apply gold.json {SERVICES} --timeout_s=3"
    assert populated.run(line) is STATUS.OUTCOME_UNKNOWN
    change_id = populated.log.values("catalogue")[-1]["id"]
    populated.before_request = lambda _: None
    assert populated.run(line) is STATUS.UNREACHABLE
    populated.log.is_down = False
    repeated = f"{line} --change_id={change_id}"
    assert populated.run(repeated) is STATUS.OK
    assert len(populated.log.values("catalogue")) == 3
    write_document("gold.json", {**ENTRIES[0], "weight": 6.0})
    populated.before_request = take_log_down_at_append
    assert populated.run(line) is STATUS.UNREACHABLE
    assert len(populated.log.values("catalogue")) == 3
    compare("apply_unreliable_log", populated)


def test_apply_waits_for_a_slow_router(populated):
    populated.routers[2].lag_s = 60.0
    populated.routers[1].is_unreachable = True
    write_document("gold.json", {**ENTRIES[0], "weight": 3.0})
    line = f"apply gold.json --wait {SERVICES} --timeout_s=2"
    assert populated.run(line) is STATUS.WAIT_TIMEOUT
    populated.routers[1].is_unreachable = False
    populated.routers[2].lag_s = 0.5
    assert populated.run(line) is STATUS.OK
    populated.is_terminal = True
    write_document("gold.json", {**ENTRIES[0], "weight": 4.0})
    assert populated.run(line) is STATUS.OK
    compare("apply_wait", populated)


def test_get(populated):
    assert populated.run(f"get {SERVICES}") is STATUS.OK
    assert populated.run(f"get workspace studio {SERVICES} --format=json") == 0
    assert populated.run(f"get pool tea {SERVICES}") is STATUS.FAILED
    populated.log.is_down = True
    assert populated.run(f"get class {SERVICES}") is STATUS.OK
    assert populated.run("get class --log=http://log") is STATUS.UNREACHABLE
    compare("get", populated)


def test_status(populated):
    target = {"target": "t1", "slots": 4, "running": 1}
    flags = {"is_ejected": False, "is_draining": False}
    pool = {
        "scheduler": "router-1",
        "queued": 2,
        "running": 1,
        "targets": [target | flags],
    }
    for router in populated.routers:
        router.pools = {"chat": pool}
    populated.routers[0].peers = [
        {"name": "router-2", "state": "live"},
        {"name": "router-3", "state": "unreachable"},
    ]
    populated.routers[2].is_unreachable = True
    assert populated.run(f"status {SERVICES}") is STATUS.OK
    assert populated.run(f"status {SERVICES} --format=json") is STATUS.OK
    compare("status", populated)


def test_stats(populated):
    for number, router in enumerate(populated.routers, start=1):
        router.metrics.count("refused.queue_full", number)
        for step in range(100):
            router.metrics.record_duration(
                "request.whole", number * step / 1000
            )
    assert populated.run(f"stats {SERVICES}") is STATUS.OK
    populated.routers[0].is_unreachable = True
    assert populated.run(f"stats {SERVICES} --format=json") is STATUS.OK
    compare("stats", populated)


def record_request(site) -> None:
    """Records the events of a request in the timelines of two routers."""
    first, second, _ = (router.timeline for router in site.routers)
    first.record("request.admitted", f"studio/{REQUEST_ID}")
    site.advance_time(0.002)
    first.record("request.dispatched", f"studio/{REQUEST_ID}", "t1")
    second.record("schedule", "chat", "term 1")
    site.advance_time(0.25)
    first.record("request.ended", f"studio/{REQUEST_ID}", "completed")


def test_timeline(populated):
    record_request(populated)
    assert populated.run(f"timeline {SERVICES}") is STATUS.OK
    for option in (f"request={REQUEST_ID}", "workspace=studio", "target=t1"):
        assert populated.run(f"timeline --{option} {SERVICES}") is STATUS.OK
    line = f"timeline --target=t1 {SERVICES} --format=json"
    assert populated.run(line) is STATUS.OK
    compare("timeline", populated)


def test_export(populated):
    record_request(populated)
    assert populated.run(f"export {SERVICES}") is STATUS.OK
    compare("export", populated)


def test_drain(populated):
    assert populated.run(f"drain router-2 {SERVICES}") is STATUS.OK
    assert populated.run(f"drain router-9 {SERVICES}") is STATUS.FAILED
    populated.routers[0].is_unreachable = True
    assert populated.run(f"drain router-1 {SERVICES}") is STATUS.UNREACHABLE
    assert populated.run(f"status {SERVICES}") is STATUS.OK
    compare("drain", populated)
