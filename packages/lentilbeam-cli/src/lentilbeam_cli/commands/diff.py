"""`diff FILE...`: shows what applying files would change."""

from lentilbeam_cli import context as context_lib
from lentilbeam_cli import exit_status
from lentilbeam_cli import plan as plan_lib
from lentilbeam_cli import reading
from lentilbeam_cli import reports
from lentilbeam_cli import sources as sources_lib


async def run(context: context_lib.Context) -> exit_status.ExitStatus:
    """Runs the command and returns its exit status."""
    out = context.out
    if not context.options.arguments:
        return context.report_failure(
            context_lib.build_usage_failure("diff needs a file")
        )
    sources = sources_lib.read_sources(context.options.arguments)
    read_result = await reading.read_state(context)
    if read_result.is_error():
        return context.report_failure(read_result.error)
    plan = plan_lib.build_plan(sources, read_result.ok)
    if out.is_json:
        out.write_json(
            {
                "offset": read_result.ok.offset,
                "changes": reports.dump_plan(plan),
                "findings": reports.dump_findings(sources.findings),
            }
        )
    else:
        reports.write_plan(out, plan)
        reports.write_findings(out, sources.findings)
    status = exit_status.ExitStatus
    return status.FINDINGS if sources.findings else status.OK
