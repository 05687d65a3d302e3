"""`explain`: one request's way, from the logs of the routers."""

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
        "target_listed",
        "target_unlisted",
    }
)
"""Changes of belief that help to explain a request."""
CONTEXT_LINES = 8
"""Newest changes of belief shown from before a request's end."""
PLAIN_KEYS = frozenset({"at", "instance", "event", "request"})

Line = dict[str, Any]


async def run(context: context_lib.Context) -> exit_status.ExitStatus:
    """Runs the command."""
    if len(context.options.arguments) < 2:
        failure = context_lib.usage("explain needs an id and log files")
        return context.fail(failure)
    name, *files = context.options.arguments
    try:
        lines = list(read_lines(files))
    except (OSError, UnicodeDecodeError) as error:
        return context.fail(context_lib.usage(str(error)))
    found = select_lines(lines, name)
    if not any(line.get("request") == name for line in found):
        context.out.write_error(f"no line is about {name}")
        return exit_status.ExitStatus.FAILED
    if context.out.is_json:
        context.out.write_json({"request": name, "lines": found})
        return exit_status.ExitStatus.OK
    context.out.write_table(
        ["TIME (UTC)", "ROUTER", "EVENT", "DETAIL"],
        [_describe(line, name) for line in found],
    )
    return exit_status.ExitStatus.OK


def read_lines(files: list[str]) -> Iterator[Line]:
    """Yields the JSON lines of log files; other text is skipped.

    A line may have something before its JSON, such as a collector's stamp.
    """
    for file in files:
        for text in pathlib.Path(file).read_text().splitlines():
            start = text.find("{")
            if start < 0:
                continue
            try:
                line = json.loads(text[start:])
            except json.JSONDecodeError:
                continue
            if isinstance(line, dict) and "event" in line and "at" in line:
                yield line


def select_lines(lines: list[Line], name: str) -> list[Line]:
    """Returns a request's lines in time order, with what its router knew."""
    lines = sorted(lines, key=lambda line: line["at"])
    own = [line for line in lines if line.get("request") == name]
    routers = {line.get("instance") for line in own}
    targets = {line["target"] for line in own if "target" in line}
    ended_at = own[-1]["at"] if own else ""
    known = [
        line
        for line in lines
        if line["event"] in CONTEXT_EVENTS
        and line.get("instance") in routers
        and line["at"] <= ended_at
        and line.get("target") in {None, *targets}
    ]
    chosen = own + known[-CONTEXT_LINES:]
    return sorted(chosen, key=lambda line: line["at"])


def _describe(line: Line, name: str) -> list[str]:
    mark = "" if line.get("request") == name else "  (belief) "
    detail = " ".join(
        f"{key}={value}"
        for key, value in line.items()
        if key not in PLAIN_KEYS and value is not None
    )
    time = line["at"][11:23]
    return [time, str(line.get("instance")), mark + line["event"], detail]
