"""Reports about files and changes, as text and as JSON data."""

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
    found: Iterable[sources_lib.PlacedFinding],
) -> list[dict[str, str]]:
    """Returns findings as JSON data."""
    return [
        {
            "file": finding.place.path,
            "pointer": finding.place.pointer,
            "message": finding.message,
        }
        for finding in found
    ]


def write_findings(
    out: output.Output, found: Iterable[sources_lib.PlacedFinding]
) -> None:
    """Writes one line for each finding."""
    for finding in found:
        place = f"{finding.place.path} {finding.place.pointer}".strip()
        text = f"{place}: {finding.message}" if place else finding.message
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
    """Writes each entry that changes, and its fields."""
    if not plan.edits:
        out.write_line("nothing to change")
    for edit in plan.edits:
        mark, style = MARKS[edit.action], STYLES[edit.action]
        out.write_line(f"{mark} {edit.key}", style=style)
        for field in edit.fields:
            out.write_line(f"    {_describe(edit.action, field)}")


def dump_verdict(verdict: catalogue_change.Verdict) -> dict[str, Any]:
    """Returns a verdict as JSON data, without its findings."""
    dumped = catalogue_change.dump_verdict(verdict)
    dumped.pop("findings", None)
    return dumped


def write_winner(
    out: output.Output, winner: catalogue_change.Winner | None
) -> None:
    """Writes which change won the race, if one did."""
    if winner is None:
        return
    text = f"overtaken by the change at offset {winner.offset}"
    if winner.name is not None:
        text += f": {winner.name} by {winner.operator}"
    out.write_line(text)


def _describe(action: plan_lib.Action, field: plan_lib.FieldEdit) -> str:
    new = json.dumps(field.new, ensure_ascii=False)
    if action is plan_lib.Action.CREATE:
        return f"{field.pointer}: {new}"
    old = json.dumps(field.old, ensure_ascii=False)
    return f"{field.pointer}: {old} -> {new}"
