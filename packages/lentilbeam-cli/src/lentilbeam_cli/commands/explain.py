"""`explain ID FILE...`: shows how a request was processed, from router logs.

The command also shows events that explain decisions on the request, such as
ejected targets.
"""

from collections.abc import Iterator
import json
import pathlib
from typing import Any

from lentilbeam_cli import context as context_lib
from lentilbeam_cli import exit_status

CONTEXT_EVENTS = frozenset(
    {
        "configuration_in_force",
        "history_gone",
        "leaving",
        "peer_silent",
        "started",
        "store_lost",
        "store_returned",
        "target_avoided",
        "target_ejected",
        "target_gone",
        "target_limit",
        "target_listed",
        "target_unlisted",
    }
)
"""Events about the state of a router that may explain its decisions."""
MAX_CONTEXT_LINES = 8
"""Maximum number of such events shown: the newest before the request ended."""
COLUMN_KEYS = frozenset({"at", "instance", "event", "request"})
"""Keys that are left out of the column DETAIL."""

LogLine = dict[str, Any]


async def run(context: context_lib.Context) -> exit_status.ExitStatus:
    """Runs the command and returns its exit status."""
    if len(context.options.arguments) < 2:
        failure = context_lib.build_usage_failure(
            "explain needs an id and log files"
        )
        return context.report_failure(failure)
    request_id, *files = context.options.arguments
    try:
        lines = list(read_lines(files))
    except (OSError, UnicodeDecodeError) as error:
        return context.report_failure(
            context_lib.build_usage_failure(str(error))
        )
    selected = select_lines(lines, request_id)
    if not any(line.get("request") == request_id for line in selected):
        context.out.write_error(f"no log line is about request {request_id}")
        return exit_status.ExitStatus.FAILED
    if context.out.is_json:
        context.out.write_json({"request": request_id, "lines": selected})
        return exit_status.ExitStatus.OK
    context.out.write_table(
        ["TIME (UTC)", "ROUTER", "EVENT", "DETAIL"],
        [_format_line(line, request_id) for line in selected],
    )
    return exit_status.ExitStatus.OK


def read_lines(files: list[str]) -> Iterator[LogLine]:
    """Yields the JSON objects logged by routers; other lines are skipped.

    A line may have a prefix before its JSON object, such as the timestamp of a
    log collector.

    Raises:
        OSError: a file can't be read.
        UnicodeDecodeError: a file is not valid UTF-8.
    """
    for file in files:
        for logged in pathlib.Path(file).read_text().splitlines():
            start = logged.find("{")
            if start < 0:
                continue
            try:
                line = json.loads(logged[start:])
            except json.JSONDecodeError:
                continue
            if isinstance(line, dict) and "event" in line and "at" in line:
                yield line


def select_lines(lines: list[LogLine], request_id: str) -> list[LogLine]:
    """Returns the log lines about a request and its context, ordered by time.

    The context consists of the newest events about the state of the routers
    and targets that processed the request, up to its last log line.
    """
    lines = sorted(lines, key=lambda line: line["at"])
    request_lines = [
        line for line in lines if line.get("request") == request_id
    ]
    routers = {line.get("instance") for line in request_lines}
    targets = {line["target"] for line in request_lines if "target" in line}
    ended_at = request_lines[-1]["at"] if request_lines else ""
    context_lines = [
        line
        for line in lines
        if line["event"] in CONTEXT_EVENTS
        and line.get("instance") in routers
        and line["at"] <= ended_at
        and line.get("target") in {None, *targets}
    ]
    selected = request_lines + context_lines[-MAX_CONTEXT_LINES:]
    return sorted(selected, key=lambda line: line["at"])


def _format_line(line: LogLine, request_id: str) -> list[str]:
    mark = "" if line.get("request") == request_id else "  (context) "
    detail = " ".join(
        f"{key}={value}"
        for key, value in line.items()
        if key not in COLUMN_KEYS and value is not None
    )
    time = line["at"][11:23]  # HH:MM:SS.mmm of an ISO 8601 timestamp.
    return [time, str(line.get("instance")), mark + line["event"], detail]
