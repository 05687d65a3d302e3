"""`drain INSTANCE`: tells a router to stop gracefully."""

from lentilbeam_cli import context as context_lib
from lentilbeam_cli import exit_status
from lentilbeam_cli import fleet


async def run(context: context_lib.Context) -> exit_status.ExitStatus:
    """Runs the command."""
    if len(context.options.arguments) != 1:
        return context.fail(context_lib.usage("drain needs one instance"))
    name = context.options.arguments[0]
    listed = await fleet.list_routers(context)
    if listed.is_error():
        return context.fail(listed.error)
    found = [router for router in listed.ok if router.name == name]
    if not found:
        context.out.write_error(f"the platform lists no instance {name}")
        return exit_status.ExitStatus.FAILED
    reply = await fleet.ask_router(context, found[0], "/v1/drain", "POST")
    if reply.error is not None:
        return context.fail(
            context_lib.unreachable(f"no answer from {name}: {reply.error}")
        )
    state = reply.value.get("state")
    if context.out.is_json:
        context.out.write_json({"instance": name, "state": state})
    else:
        context.out.write_line(f"{name} is {state}")
    return exit_status.ExitStatus.OK
