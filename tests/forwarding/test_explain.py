"""`lentilbeam explain` shows one request's way from logs of many routers."""

import io
import json

from lentilbeam_cli import environment
from lentilbeam_cli import exit_status
from lentilbeam_cli import program


def write_logs(folder):
    lines = [
        {"instance": "r1", "event": "store_lost", "what": "op"},
        {"instance": "r2", "event": "store_lost", "what": "op"},
        {"instance": "r1", "event": "target_listed", "target": "t1"},
        {"instance": "r1", "event": "target_listed", "target": "t9"},
        {"instance": "r1", "event": "sent", "request": "a", "target": "t1"},
        {"instance": "r1", "event": "sent", "request": "b", "target": "t1"},
        {"instance": "r1", "event": "gave_up", "request": "a", "sent": 1},
        {"instance": "r1", "event": "store_returned", "what": "op"},
    ]
    files = [folder / "r1.log", folder / "r2.log"]
    for file in files:
        file.write_text("not a line\n")
    for second, line in enumerate(lines):
        at = f"2026-01-01T00:00:{second:02}.000+00:00"
        text = json.dumps({"at": at, **line})
        with (folder / f"{line['instance']}.log").open("a") as file:
            file.write(f"collector {text}\n")
    return [str(file) for file in files]


def explain(tmp_path, *arguments):
    env = environment.Environment(stdout=io.StringIO(), stderr=io.StringIO())
    files = write_logs(tmp_path)
    status = program.run(["lentilbeam", "explain", *arguments, *files], env)
    return status, env.stdout.getvalue(), env.stderr.getvalue()


def test_the_lines_of_a_request_come_in_order_with_what_was_believed(tmp_path):
    status, out, _ = explain(tmp_path, "a")
    assert status is exit_status.ExitStatus.OK
    events = [line.split()[2:4] for line in out.splitlines()[1:]]
    assert events == [
        ["(context)", "store_lost"],
        ["(context)", "target_listed"],
        ["sent", "target=t1"],
        ["gave_up", "sent=1"],
    ]


def test_the_same_as_json(tmp_path):
    _, out, _ = explain(tmp_path, "--format=json", "b")
    found = json.loads(out)
    assert found["request"] == "b"
    assert found["lines"][-1]["event"] == "sent"


def test_an_unknown_id_is_reported(tmp_path):
    status, _, error = explain(tmp_path, "none")
    assert status is not exit_status.ExitStatus.OK
    assert "none" in error
