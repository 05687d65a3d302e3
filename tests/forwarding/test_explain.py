"""`lentilbeam explain`: the log lines of a request from several routers."""

import io
import json

from lentilbeam_cli import environment
from lentilbeam_cli import exit_status
from lentilbeam_cli import program


def write_logs(folder):
    """Writes the logs of two routers; returns the paths of the files."""
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
        timestamp = f"2026-01-01T00:00:{second:02}.000+00:00"
        text = json.dumps({"at": timestamp, **line})
        with (folder / f"{line['instance']}.log").open("a") as file:
            file.write(f"collector {text}\n")
    return [str(file) for file in files]


def explain(tmp_path, *arguments):
    """Runs the command; returns exit status, standard output and error."""
    env = environment.Environment(stdout=io.StringIO(), stderr=io.StringIO())
    files = write_logs(tmp_path)
    status = program.run(["lentilbeam", "explain", *arguments, *files], env)
    return status, env.stdout.getvalue(), env.stderr.getvalue()


def test_lines_of_a_request_are_shown_with_preceding_state_changes(tmp_path):
    status, out, _ = explain(tmp_path, "a")
    assert status is exit_status.ExitStatus.OK
    events = [line.split()[2:4] for line in out.splitlines()[1:]]
    assert events == [
        ["(context)", "store_lost"],
        ["(context)", "target_listed"],
        ["sent", "target=t1"],
        ["gave_up", "sent=1"],
    ]


def test_json_output_holds_request_and_lines(tmp_path):
    _, out, _ = explain(tmp_path, "--format=json", "b")
    shown = json.loads(out)
    assert shown["request"] == "b"
    assert shown["lines"][-1]["event"] == "sent"


def test_unknown_request_id_is_an_error(tmp_path):
    status, _, stderr = explain(tmp_path, "none")
    assert status is not exit_status.ExitStatus.OK
    assert "none" in stderr
