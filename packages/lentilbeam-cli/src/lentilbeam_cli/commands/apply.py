"""`apply FILE...`: publishes files as one change and reports its verdict."""

import dataclasses
import enum

from lentilbeam_cli import context as context_lib
from lentilbeam_cli import exit_status
from lentilbeam_cli import plan as plan_lib
from lentilbeam_cli import publishing
from lentilbeam_cli import reading
from lentilbeam_cli import reports
from lentilbeam_cli import sources as sources_lib
from lentilbeam_cli import spreading
from lentilbeam_core import catalogue
from lentilbeam_core import catalogue_change
from lentilbeam_core import catalogue_follow
from lentilbeam_core import catalogue_log
from lentilbeam_core import catalogue_state
from lentilbeam_core import ids
from lentilbeam_core import uuid7


class Result(enum.Enum):
    """What became of the files."""

    INVALID = "invalid"  # Not published.
    UNCHANGED = "unchanged"
    ACCEPTED = "accepted"
    REJECTED = "rejected"


@dataclasses.dataclass(slots=True)
class Report:
    """All that `apply` tells."""

    result: Result
    plan: plan_lib.Plan
    findings: list[sources_lib.PlacedFinding]
    verdict: catalogue_change.Verdict | None = None
    winner: catalogue_change.Winner | None = None
    spread: spreading.Spread | None = None


async def run(context: context_lib.Context) -> exit_status.ExitStatus:
    """Runs the command."""
    fault = _find_usage_fault(context)
    if fault is not None:
        return context.fail(context_lib.usage(fault))
    sources = sources_lib.read_sources(context.options.arguments)
    log = context.open_log().ok
    followed = await reading.follow_log(log)
    if followed.is_error():
        return context.fail(followed.error)
    follower = followed.ok
    plan = plan_lib.build_plan(sources, follower.state)
    report = _prepare(context, sources, plan, follower.state)
    if report.result is Result.ACCEPTED and report.verdict is None:
        _show_plan(context, report)
        published = await _publish(context, follower, plan)
        if published.is_error():
            return context.fail(published.error)
        _judge(report, published.ok)
    elif report.result is not Result.INVALID:
        _show_plan(context, report)
    if context.options.wait and _is_in_force(report):
        offset = _choose_offset(report, sources, follower.state)
        report.spread = await spreading.wait_everywhere(context, offset)
    _write(context, report)
    return _choose_status(report)


def _find_usage_fault(context: context_lib.Context) -> str | None:
    options = context.options
    if not options.arguments:
        return "apply needs a file"
    if options.operator is None:
        return "--operator is missing: only an entry's owner may change it"
    if options.log is None:
        return "--log is missing"
    if options.wait and options.instances is None:
        return "--wait needs --instances"
    if options.change_id and not uuid7.is_valid(options.change_id):
        return "--change_id is not a UUIDv7"
    return None


def _prepare(
    context: context_lib.Context,
    sources: sources_lib.Sources,
    plan: plan_lib.Plan,
    state: catalogue_state.State,
) -> Report:
    earlier = state.verdicts.get(context.options.change_id)
    if earlier is not None:
        report = Report(Result.ACCEPTED, plan_lib.Plan(()), [])
        _judge(report, earlier)
        return report
    if sources.findings:
        return Report(Result.INVALID, plan, sources.findings)
    if not plan.edits:
        return Report(Result.UNCHANGED, plan, [])
    change = _build_change(context, plan, state)
    found = catalogue_log.check_change(state, change)
    if not found:
        return Report(Result.ACCEPTED, plan, [])
    placed = [plan.place(finding) for finding in found]
    winner = catalogue_log.find_winner(state, change)
    return Report(Result.INVALID, plan, placed, winner=winner)


def _build_change(
    context: context_lib.Context,
    plan: plan_lib.Plan,
    state: catalogue_state.State,
) -> catalogue_change.Change:
    chosen = context.options.change_id
    if chosen is None:
        chosen = publishing.choose_change_id(context.env, state)
    name = catalogue_change.ChangeId(chosen)
    return plan.build_change(name, context.options.operator)


async def _publish(
    context: context_lib.Context,
    follower: catalogue_follow.Follower,
    plan: plan_lib.Plan,
):
    change = _build_change(context, plan, follower.state)
    log = context.open_log().ok
    return await publishing.Publisher(context, log, follower, change).run()


def _judge(report: Report, verdict: catalogue_change.Verdict) -> None:
    report.verdict = verdict
    report.winner = verdict.winner
    report.result = Result(verdict.status.value)
    report.findings = [
        report.plan.place(finding) for finding in verdict.findings
    ]


def _is_in_force(report: Report) -> bool:
    return report.result in (Result.ACCEPTED, Result.UNCHANGED)


def _choose_offset(
    report: Report,
    sources: sources_lib.Sources,
    state: catalogue_state.State,
) -> ids.Offset:
    if report.verdict is not None:
        return report.verdict.offset
    keys = [catalogue.get_key(source.entry) for source in sources.entries]
    keys += [source.key for source in sources.deletions]
    offsets = [state.get_last_change(key) for key in keys]
    return max(offsets, default=ids.Offset(0))


def _show_plan(context: context_lib.Context, report: Report) -> None:
    if not context.out.is_json and report.verdict is None:
        reports.write_plan(context.out, report.plan)


def _write(context: context_lib.Context, report: Report) -> None:
    if context.out.is_json:
        context.out.write_json(_dump(report))
        return
    out = context.out
    reports.write_findings(out, report.findings)
    reports.write_winner(out, report.winner)
    if report.verdict is not None:
        verdict = report.verdict
        out.write_line(
            f"{report.result.value} at offset {verdict.offset}:"
            f" change {verdict.name}",
            style="bold",
        )
    elif report.result is Result.INVALID:
        out.write_line("not published", style="bold")
    if report.spread is not None:
        _write_spread(context, report.spread)


def _write_spread(
    context: context_lib.Context, spread: spreading.Spread
) -> None:
    total = len(spread.reached) + len(spread.behind)
    context.out.write_line(
        f"in force at {len(spread.reached)} of {total} routers"
    )
    if spread.behind:
        context.out.write_line(f"behind: {', '.join(spread.behind)}")


def _dump(report: Report) -> dict[str, object]:
    verdict = report.verdict
    winner = report.winner
    spread = report.spread
    return {
        "result": report.result.value,
        "change_id": verdict and verdict.name,
        "offset": verdict and verdict.offset,
        "changes": reports.dump_plan(report.plan),
        "findings": reports.dump_findings(report.findings),
        "winner": winner and dataclasses.asdict(winner),
        "in_force": spread and dataclasses.asdict(spread),
    }


def _choose_status(report: Report) -> exit_status.ExitStatus:
    if report.result is Result.INVALID:
        return exit_status.ExitStatus.FINDINGS
    if report.result is Result.REJECTED:
        return exit_status.ExitStatus.REJECTED
    if report.spread is not None and not report.spread.is_everywhere:
        return exit_status.ExitStatus.WAIT_TIMEOUT
    return exit_status.ExitStatus.OK
