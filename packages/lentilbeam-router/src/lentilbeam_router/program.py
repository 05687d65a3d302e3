"""Reads the command line and the settings file, then runs the daemon."""

import pathlib

from absl import flags
import expression

from lentilbeam_core import poll_times as poll_times_lib
from lentilbeam_router import daemon
from lentilbeam_router import environment
from lentilbeam_router import event_loop
from lentilbeam_router import exit_status
from lentilbeam_router import logs
from lentilbeam_router import settings as settings_lib


def run(
    args: list[str], env: environment.Environment
) -> exit_status.ExitStatus:
    """Runs the daemon until it is stopped.

    Args:
        args: the command line; the first item is the program's name.
        env: clock, standard streams and HTTP clients.

    Returns:
        The exit status of the process. Errors in the command line or in the
        settings are written to `env.stderr`.
    """
    options = _define_flags()
    try:
        rest = options(args)
    except flags.Error as error:
        print(f"lentilbeamd: {error}", file=env.stderr)
        return exit_status.ExitStatus.USAGE
    if len(rest) > 1 or options.settings is None:
        print("usage: lentilbeamd --settings=FILE", file=env.stderr)
        return exit_status.ExitStatus.USAGE
    return _load_and_serve(pathlib.Path(options.settings), env)


def _define_flags() -> flags.FlagValues:
    options = flags.FlagValues()
    flags.DEFINE_string(
        "settings",
        None,
        "JSON file that holds the settings.",
        flag_values=options,
    )
    return options


def _load_and_serve(
    path: pathlib.Path, env: environment.Environment
) -> exit_status.ExitStatus:
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        print(f"lentilbeamd: {path}: {error}", file=env.stderr)
        return exit_status.ExitStatus.BAD_SETTINGS
    match settings_lib.parse_settings(text):
        case expression.Result(tag="ok", ok=settings):
            selector = event_loop.TimedSelector(env.clock)
            with event_loop.build_runner(selector) as runner:
                return runner.run(_serve(settings, env, selector.poll_times))
        case expression.Result(tag="error", error=found):
            for finding in found:
                print(f"lentilbeamd: {path}: {finding}", file=env.stderr)
    return exit_status.ExitStatus.BAD_SETTINGS


async def _serve(
    settings: settings_lib.Settings,
    env: environment.Environment,
    poll_times: poll_times_lib.PollTimes,
) -> exit_status.ExitStatus:
    log = logs.build_logger(env.stdout, settings.instance)
    return await daemon.Daemon(settings, env, log, poll_times).run()
