"""`check FILE...`: validates catalogue files.

With `--log` or `--instances`, the files are checked against the catalogue in
force, otherwise against an empty one. With `--operator`, the command also
checks that the operator owns the changed entries. With `--routes`, the file is
a configuration of forwarding routers, see `check_routes`.
"""

from lentilbeam_cli import context as context_lib
from lentilbeam_cli import exit_status
from lentilbeam_cli import plan as plan_lib
from lentilbeam_cli import publishing
from lentilbeam_cli import reading
from lentilbeam_cli import reports
from lentilbeam_cli import sources as sources_lib
from lentilbeam_cli.commands import check_routes
from lentilbeam_core import catalogue_log
from lentilbeam_core import catalogue_state


async def run(context: context_lib.Context) -> exit_status.ExitStatus:
    """Runs the command and returns its exit status."""
    options = context.options
    if options.routes:
        return await check_routes.run(context)
    if not options.arguments:
        return context.report_failure(
            context_lib.build_usage_failure("check needs a file")
        )
    sources = sources_lib.read_sources(options.arguments)
    state = catalogue_state.State()
    if options.log or options.instances:
        read_result = await reading.read_state(context)
        if read_result.is_error():
            return context.report_failure(read_result.error)
        state = read_result.ok
    findings = [*sources.findings, *_check(context, sources, state)]
    if context.out.is_json:
        context.out.write_json({"findings": reports.dump_findings(findings)})
    elif findings:
        reports.write_findings(context.out, findings)
    else:
        context.out.write_line("no findings")
    status = exit_status.ExitStatus
    return status.FINDINGS if findings else status.OK


def _check(
    context: context_lib.Context,
    sources: sources_lib.Sources,
    state: catalogue_state.State,
) -> list[sources_lib.LocatedFinding]:
    """Returns the findings about the change.

    The list is empty if the files themselves have findings.
    """
    plan = plan_lib.build_plan(sources, state)
    if sources.findings or not plan.edits:
        return []
    operator = context.options.operator
    change = plan.build_change(
        publishing.generate_change_id(context.env, state), operator or ""
    )
    evaluate = catalogue_log.check_change
    findings = (evaluate if operator else catalogue_log.check_content)(
        state, change
    )
    return [plan.locate(finding) for finding in findings]
