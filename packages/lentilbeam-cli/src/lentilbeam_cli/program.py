"""Parses the command line and runs the command that it names."""

from collections.abc import Awaitable
from collections.abc import Callable

from lentilbeam_cli import context as context_lib
from lentilbeam_cli import environment
from lentilbeam_cli import exit_status
from lentilbeam_cli import options as options_lib
from lentilbeam_cli import output
from lentilbeam_cli.commands import apply
from lentilbeam_cli.commands import check
from lentilbeam_cli.commands import diff
from lentilbeam_cli.commands import drain
from lentilbeam_cli.commands import explain
from lentilbeam_cli.commands import export
from lentilbeam_cli.commands import get
from lentilbeam_cli.commands import stats
from lentilbeam_cli.commands import status
from lentilbeam_cli.commands import timeline

Command = Callable[[context_lib.Context], Awaitable[exit_status.ExitStatus]]

COMMANDS: dict[str, Command] = {
    "apply": apply.run,
    "check": check.run,
    "diff": diff.run,
    "drain": drain.run,
    "explain": explain.run,
    "export": export.run,
    "get": get.run,
    "stats": stats.run,
    "status": status.run,
    "timeline": timeline.run,
}
HELP = "help"


def run(
    args: list[str], env: environment.Environment
) -> exit_status.ExitStatus:
    """Runs one command and returns its exit status.

    Args:
        args: the command line, with the program's name first.
        env: the environment that the command runs in.
    """
    if args[1:] in ([HELP], ["--help"], []):
        env.stdout.write(options_lib.describe_usage())
        return exit_status.ExitStatus.OK
    parsed = options_lib.parse_options(args, env.variables)
    if parsed.is_error():
        env.stderr.write(f"lentilbeam: {parsed.error.message}\n")
        return exit_status.ExitStatus.USAGE
    command = COMMANDS.get(parsed.ok.command)
    if command is None:
        names = ", ".join(COMMANDS)
        env.stderr.write(
            f"lentilbeam: no command {parsed.ok.command}; one of {names}\n"
        )
        return exit_status.ExitStatus.USAGE
    return env.run(_run_command(command, parsed.ok, env))


async def _run_command(
    command: Command,
    options: options_lib.Options,
    env: environment.Environment,
) -> exit_status.ExitStatus:
    async with env.open_http() as http:
        out = output.Output(env, options.output_format)
        context = context_lib.Context(options, env, out, http)
        return await command(context)
