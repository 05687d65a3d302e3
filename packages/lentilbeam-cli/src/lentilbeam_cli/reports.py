"""Formats findings, plans and verdicts as text and as JSON data."""

from collections.abc import Iterable
import json
from typing import Any

from lentilbeam_cli import output
from lentilbeam_cli import plan as plan_lib
from lentilbeam_cli import sources as sources_lib
from lentilbeam_core import catalogue_change

MARKS = {
    plan_lib.Action.CREATE: "+",
    plan_lib.Action.UPDATE: "~",
    plan_lib.Action.DELETE: "-",
}
STYLES = {
    plan_lib.Action.CREATE: "green",
    plan_lib.Action.UPDATE: "yellow",
    plan_lib.Action.DELETE: "red",
}


def dump_findings(
    findings: Iterable[sources_lib.LocatedFinding],
) -> list[dict[str, str]]:
    """Returns findings as JSON data."""
    return [
        {
            "file": finding.location.path,
            "pointer": finding.location.pointer,
            "message": finding.message,
        }
        for finding in findings
    ]


def write_findings(
    out: output.Output, findings: Iterable[sources_lib.LocatedFinding]
) -> None:
    """Writes one line for each finding."""
    for finding in findings:
        location = f"{finding.location.path} {finding.location.pointer}".strip()
        text = f"{location}: {finding.message}" if location else finding.message
        out.write_line(text, style="red")


def dump_plan(plan: plan_lib.Plan) -> list[dict[str, Any]]:
    """Returns a plan as JSON data."""
    return [
        {
            "action": edit.action.value,
            **catalogue_change.dump_key(edit.key),
            "base": edit.base,
            "fields": [
                {"pointer": f.pointer, "old": f.old, "new": f.new}
                for f in edit.fields
            ],
        }
        for edit in plan.edits
    ]


def write_plan(out: output.Output, plan: plan_lib.Plan) -> None:
    """Writes each changed entry and its changed fields."""
    if not plan.edits:
        out.write_line("nothing to change")
    for edit in plan.edits:
        mark, style = MARKS[edit.action], STYLES[edit.action]
        out.write_line(f"{mark} {edit.key}", style=style)
        for field in edit.fields:
            out.write_line(f"    {_format_field(edit.action, field)}")


def dump_verdict(verdict: catalogue_change.Verdict) -> dict[str, Any]:
    """Returns a verdict as JSON data, without its findings."""
    dumped = catalogue_change.dump_verdict(verdict)
    dumped.pop("findings", None)
    return dumped


def write_winner(
    out: output.Output, winner: catalogue_change.Winner | None
) -> None:
    """Writes which other change was accepted first.

    Args:
        out: writes the output.
        winner: the other change; None if there was no conflict.
    """
    if winner is None:
        return
    text = f"overtaken by the change at offset {winner.offset}"
    if winner.change_id is not None:
        text += f": {winner.change_id} by {winner.operator}"
    out.write_line(text)


def _format_field(action: plan_lib.Action, field: plan_lib.FieldEdit) -> str:
    new = json.dumps(field.new, ensure_ascii=False)
    if action is plan_lib.Action.CREATE:
        return f"{field.pointer}: {new}"
    old = json.dumps(field.old, ensure_ascii=False)
    return f"{field.pointer}: {old} -> {new}"
