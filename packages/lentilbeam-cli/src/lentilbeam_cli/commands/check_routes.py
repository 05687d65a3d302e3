"""`check --routes FILE`: validates a configuration of forwarding routers.

The adapter of the platform decodes it, with the code that routers run.
"""

import collections
import importlib
import pathlib
import sys
import types

import expression

from lentilbeam_cli import context as context_lib
from lentilbeam_cli import exit_status
from lentilbeam_cli.commands import explain
from lentilbeam_core.forwarding import configuration_check
from lentilbeam_core.forwarding import configuration_diff

ADAPTER_MODULE = "lentilbeam_platform.configuration_file"
STDIN = "-"
SENT_EVENT = "sent"
"""Log event of a request that was sent to a target, with its route."""


async def run(context: context_lib.Context) -> exit_status.ExitStatus:
    """Runs the command and returns its exit status.

    It is `OK` if nothing was found, `FAILED` if there are findings, and `USAGE`
    if a file can't be read.
    """
    options = context.options
    if len(options.arguments) != 1:
        return context.report_failure(
            context_lib.build_usage_failure("check --routes needs one file")
        )
    try:
        adapter = importlib.import_module(ADAPTER_MODULE)
        data = _read_file(options.arguments[0])
        in_force = await _read_in_force(adapter, options.against)
        requests = _count_requests(options.requests_log)
    except (ImportError, OSError, UnicodeDecodeError, ValueError) as error:
        return context.report_failure(
            context_lib.build_usage_failure(str(error))
        )
    decoded = _decode(adapter, data)
    differences: list[configuration_diff.Difference] = []
    if decoded.is_error():
        findings = [decoded.error]
    else:
        previous = in_force.configuration if in_force else None
        findings = configuration_check.check(decoded.ok, previous)
        if previous is not None:
            differences = configuration_diff.compare(
                previous, decoded.ok.configuration, requests
            )
    _write(context, findings, differences)
    status = exit_status.ExitStatus
    return status.FAILED if findings else status.OK


def _decode(
    adapter: types.ModuleType, data: bytes
) -> expression.Result[
    configuration_check.Candidate, configuration_check.Finding
]:
    try:
        return expression.Ok(adapter.decode(data))
    except ValueError as error:
        return expression.Error(
            configuration_check.Finding(
                configuration_check.Severity.ERROR,
                "configuration",
                f"routers reject it: {error}",
            )
        )


def _read_file(name: str) -> bytes:
    if name == STDIN:
        return sys.stdin.buffer.read()
    return pathlib.Path(name).read_bytes()


async def _read_in_force(
    adapter: types.ModuleType, source: str | None
) -> configuration_check.Candidate | None:
    """Returns the version in force; None if no source is given.

    Args:
        adapter: decodes it, and reads it from the store.
        source: a file, or the address of the store as "IP:PORT".

    Raises:
        OSError: it can't be read.
        ValueError: it is malformed.
    """
    if source is None:
        return None
    if _is_store_address(source):
        return adapter.decode(await adapter.read_in_force(source))
    return adapter.decode(_read_file(source))


def _is_store_address(source: str) -> bool:
    _, colon, port = source.rpartition(":")
    return bool(colon) and port.isdigit() and not pathlib.Path(source).exists()


def _count_requests(file: str | None) -> dict[str, int] | None:
    """Returns the requests in a router's log by route; None without a log."""
    if file is None:
        return None
    return collections.Counter(
        line["route"]
        for line in explain.read_lines([file])
        if line["event"] == SENT_EVENT and "route" in line
    )


def _write(
    context: context_lib.Context,
    findings: list[configuration_check.Finding],
    differences: list[configuration_diff.Difference],
) -> None:
    out = context.out
    if out.is_json:
        out.write_json(
            {
                "findings": [
                    {
                        "severity": each.severity.value,
                        "place": each.place,
                        "message": each.message,
                    }
                    for each in findings
                ],
                "differences": [
                    {
                        "change": each.change.name.lower(),
                        "place": each.place,
                        "detail": each.detail,
                        "moved_requests": each.moved_requests,
                    }
                    for each in differences
                ],
            }
        )
        return
    for finding in findings:
        out.write_line(
            f"{finding.severity.value}: {finding.place}: {finding.message}"
        )
    if not findings:
        out.write_line("no findings")
    for each in differences:
        text = f"{each.change.value} {each.place}"
        if each.detail:
            text += f": {each.detail}"
        if each.moved_requests:
            text += f" ({each.moved_requests:.1%} of all requests in the log)"
        out.write_line(text)
