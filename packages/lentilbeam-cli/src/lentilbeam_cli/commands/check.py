"""`check FILE...`: finds all faults in catalogue files.

With `--log` the files are checked against the catalogue in force, and with
`--operator` also for who owns the entries; else on their own.
"""

from lentilbeam_cli import context as context_lib
from lentilbeam_cli import exit_status
from lentilbeam_cli import plan as plan_lib
from lentilbeam_cli import publishing
from lentilbeam_cli import reading
from lentilbeam_cli import reports
from lentilbeam_cli import sources as sources_lib
from lentilbeam_core import catalogue_log
from lentilbeam_core import catalogue_state


async def run(context: context_lib.Context) -> exit_status.ExitStatus:
    """Runs the command."""
    options = context.options
    if not options.arguments:
        return context.fail(context_lib.usage("check needs a file"))
    sources = sources_lib.read_sources(options.arguments)
    state = catalogue_state.State()
    if options.log or options.instances:
        read = await reading.read_state(context)
        if read.is_error():
            return context.fail(read.error)
        state = read.ok
    found = [*sources.findings, *_check(context, sources, state)]
    if context.out.is_json:
        context.out.write_json({"findings": reports.dump_findings(found)})
    elif found:
        reports.write_findings(context.out, found)
    else:
        context.out.write_line("no findings")
    status = exit_status.ExitStatus
    return status.FINDINGS if found else status.OK


def _check(
    context: context_lib.Context,
    sources: sources_lib.Sources,
    state: catalogue_state.State,
) -> list[sources_lib.PlacedFinding]:
    plan = plan_lib.build_plan(sources, state)
    if sources.findings or not plan.edits:
        return []
    operator = context.options.operator
    change = plan.build_change(
        publishing.choose_change_id(context.env, state), operator or ""
    )
    evaluate = catalogue_log.check_change
    found = (evaluate if operator else catalogue_log.check_content)(
        state, change
    )
    return [plan.place(finding) for finding in found]
