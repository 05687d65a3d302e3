"""`apply FILE...`: publishes files as one change and shows the verdict."""

import dataclasses
import enum

from lentilbeam_cli import context as context_lib
from lentilbeam_cli import exit_status
from lentilbeam_cli import plan as plan_lib
from lentilbeam_cli import publishing
from lentilbeam_cli import reading
from lentilbeam_cli import reports
from lentilbeam_cli import rollout as rollout_lib
from lentilbeam_cli import sources as sources_lib
from lentilbeam_core import catalogue
from lentilbeam_core import catalogue_change
from lentilbeam_core import catalogue_follow
from lentilbeam_core import catalogue_log
from lentilbeam_core import catalogue_state
from lentilbeam_core import ids
from lentilbeam_core import uuid7


class Result(enum.Enum):
    """The result of the command."""

    INVALID = "invalid"  # The files have faults; nothing was published.
    UNCHANGED = "unchanged"  # The files equal the catalogue in force.
    ACCEPTED = "accepted"
    REJECTED = "rejected"


@dataclasses.dataclass(slots=True)
class Report:
    """Everything that the command outputs.

    Attributes:
        result: result of the command.
        plan: the changed entries; empty if an earlier change is repeated that
            already has a verdict.
        findings: faults of the files or of the change.
        verdict: verdict on the change; None if there is none, or none yet.
        winner: conflicting change that was accepted first; None if there is
            none.
        rollout: the routers at which the change is in force; None if the
            command doesn't wait for them.
    """

    result: Result
    plan: plan_lib.Plan
    findings: list[sources_lib.LocatedFinding]
    verdict: catalogue_change.Verdict | None = None
    winner: catalogue_change.Winner | None = None
    rollout: rollout_lib.Rollout | None = None


async def run(context: context_lib.Context) -> exit_status.ExitStatus:
    """Runs the command and returns its exit status."""
    usage_error = _find_usage_error(context)
    if usage_error is not None:
        return context.report_failure(
            context_lib.build_usage_failure(usage_error)
        )
    sources = sources_lib.read_sources(context.options.arguments)
    log = context.open_log().ok
    follow_result = await reading.follow_log(log)
    if follow_result.is_error():
        return context.report_failure(follow_result.error)
    follower = follow_result.ok
    plan = plan_lib.build_plan(sources, follower.state)
    report = _check_plan(context, sources, plan, follower.state)
    if report.result is Result.ACCEPTED and report.verdict is None:
        _show_plan(context, report)
        publish_result = await _publish(context, follower, plan)
        if publish_result.is_error():
            return context.report_failure(publish_result.error)
        _set_verdict(report, publish_result.ok)
    elif report.result is not Result.INVALID:
        _show_plan(context, report)
    if context.options.wait and _is_accepted_or_unchanged(report):
        offset = _find_offset(report, sources, follower.state)
        report.rollout = await rollout_lib.wait_for_all_routers(context, offset)
    _write(context, report)
    return _choose_status(report)


def _find_usage_error(context: context_lib.Context) -> str | None:
    """Returns the first error in arguments and options; None if valid."""
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


def _check_plan(
    context: context_lib.Context,
    sources: sources_lib.Sources,
    plan: plan_lib.Plan,
    state: catalogue_state.State,
) -> Report:
    """Validates files and plan against the catalogue in force.

    Returns:
        The report. Its result is ACCEPTED without a verdict if the change may
        be published.
    """
    earlier_verdict = state.verdicts.get(context.options.change_id)
    if earlier_verdict is not None:
        report = Report(Result.ACCEPTED, plan_lib.Plan(()), [])
        _set_verdict(report, earlier_verdict)
        return report
    if sources.findings:
        return Report(Result.INVALID, plan, sources.findings)
    if not plan.edits:
        return Report(Result.UNCHANGED, plan, [])
    change = _build_change(context, plan, state)
    findings = catalogue_log.check_change(state, change)
    if not findings:
        return Report(Result.ACCEPTED, plan, [])
    located = [plan.locate(finding) for finding in findings]
    winner = catalogue_log.find_winner(state, change)
    return Report(Result.INVALID, plan, located, winner=winner)


def _build_change(
    context: context_lib.Context,
    plan: plan_lib.Plan,
    state: catalogue_state.State,
) -> catalogue_change.Change:
    """Returns the change, with the ID in the options or a new one."""
    change_id = context.options.change_id
    if change_id is None:
        change_id = publishing.generate_change_id(context.env, state)
    name = catalogue_change.ChangeId(change_id)
    return plan.build_change(name, context.options.operator)


async def _publish(
    context: context_lib.Context,
    follower: catalogue_follow.Follower,
    plan: plan_lib.Plan,
):
    change = _build_change(context, plan, follower.state)
    log = context.open_log().ok
    return await publishing.Publisher(context, log, follower, change).run()


def _set_verdict(report: Report, verdict: catalogue_change.Verdict) -> None:
    report.verdict = verdict
    report.winner = verdict.winner
    report.result = Result(verdict.status.value)
    report.findings = [
        report.plan.locate(finding) for finding in verdict.findings
    ]


def _is_accepted_or_unchanged(report: Report) -> bool:
    return report.result in (Result.ACCEPTED, Result.UNCHANGED)


def _find_offset(
    report: Report,
    sources: sources_lib.Sources,
    state: catalogue_state.State,
) -> ids.Offset:
    """Returns the offset that routers must reach to have the files in force.

    It is that of the published change, or of the last change to the files'
    entries if nothing was published.
    """
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
            f" change {verdict.change_id}",
            style="bold",
        )
    elif report.result is Result.INVALID:
        out.write_line("not published", style="bold")
    if report.rollout is not None:
        _write_rollout(context, report.rollout)


def _write_rollout(
    context: context_lib.Context, rollout: rollout_lib.Rollout
) -> None:
    total = len(rollout.reached) + len(rollout.behind)
    context.out.write_line(
        f"in force at {len(rollout.reached)} of {total} routers"
    )
    if rollout.behind:
        context.out.write_line(f"behind: {', '.join(rollout.behind)}")


def _dump(report: Report) -> dict[str, object]:
    verdict = report.verdict
    winner = report.winner
    rollout = report.rollout
    return {
        "result": report.result.value,
        "change_id": verdict and verdict.change_id,
        "offset": verdict and verdict.offset,
        "changes": reports.dump_plan(report.plan),
        "findings": reports.dump_findings(report.findings),
        "winner": winner and dataclasses.asdict(winner),
        "in_force": rollout and dataclasses.asdict(rollout),
    }


def _choose_status(report: Report) -> exit_status.ExitStatus:
    if report.result is Result.INVALID:
        return exit_status.ExitStatus.FINDINGS
    if report.result is Result.REJECTED:
        return exit_status.ExitStatus.REJECTED
    if report.rollout is not None and not report.rollout.is_complete:
        return exit_status.ExitStatus.WAIT_TIMEOUT
    return exit_status.ExitStatus.OK
