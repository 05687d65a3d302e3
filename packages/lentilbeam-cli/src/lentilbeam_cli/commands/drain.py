"""`drain INSTANCE`: shuts a router down gracefully."""

from lentilbeam_cli import context as context_lib
from lentilbeam_cli import exit_status
from lentilbeam_cli import fleet


async def run(context: context_lib.Context) -> exit_status.ExitStatus:
    """Runs the command and returns its exit status."""
    if len(context.options.arguments) != 1:
        return context.report_failure(
            context_lib.build_usage_failure("drain needs one instance")
        )
    name = context.options.arguments[0]
    routers = await fleet.list_routers(context)
    if routers.is_error():
        return context.report_failure(routers.error)
    matching = [router for router in routers.ok if router.name == name]
    if not matching:
        context.out.write_error(f"the platform lists no instance {name}")
        return exit_status.ExitStatus.FAILED
    reply = await fleet.request_router(
        context, matching[0], "/v1/drain", "POST"
    )
    if reply.error is not None:
        return context.report_failure(
            context_lib.build_unreachable_failure(
                f"no answer from {name}: {reply.error}"
            )
        )
    state = reply.value.get("state")
    if context.out.is_json:
        context.out.write_json({"instance": name, "state": state})
    else:
        context.out.write_line(f"{name} is {state}")
    return exit_status.ExitStatus.OK
