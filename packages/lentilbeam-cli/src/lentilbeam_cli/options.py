"""Parses the command line with `absl.flags`."""

from collections.abc import Mapping
import dataclasses
import enum

from absl import flags
import expression

OPERATOR_VARIABLE = "LENTILBEAM_OPERATOR"
LOG_VARIABLE = "LENTILBEAM_LOG"
INSTANCES_VARIABLE = "LENTILBEAM_INSTANCES"
USAGE = """\
usage: lentilbeam COMMAND [ARGUMENTS] [OPTIONS]

commands:
  check FILE...         find all faults in catalogue files
  check --routes FILE   find all faults in a configuration of routes
  diff FILE...          show what applying them would change
  apply FILE...         publish them as one change
  get [KIND] [NAME]     show entries in force
  status                show all routers
  stats                 show counters and times of the whole fleet
  timeline              show the events of all routers in causal order
  export                write the time line as trace-event JSON
  drain INSTANCE        stop a router gracefully
  explain ID FILE...    show one request's way, from routers' logs

A FILE may be a folder, which stands for all .json files below it.

options:
"""


class Format(enum.Enum):
    """Form of the output."""

    TEXT = "text"
    JSON = "json"


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """A command with its arguments and options.

    Attributes:
        command: name of the command.
        arguments: positional arguments of the command.
        log: URL of the platform's log service; None if not given.
        instances: URL of the platform's instance list; None if not given.
        output_format: format of the output.
        operator: name of the operator who makes a change; None if not given.
        change_id: ID of an earlier change to publish again; None to generate
            a new ID.
        wait: whether to wait until a change is in force at every router.
        timeout_s: longest wait for the verdict on a change, and then for all
            routers, in seconds each.
        request: show only events about this request ID; None for all.
        workspace: show only events about this workspace; None for all.
        target: show only events about this target; None for all.
        routes: whether `check` gets a configuration of forwarding routers.
        against: file or store with the version in force, for `check --routes`;
            None for no comparison.
        requests_log: log of a router, for the share of requests that a change
            affects; None if there is none.
    """

    command: str
    arguments: tuple[str, ...]
    log: str | None
    instances: str | None
    output_format: Format
    operator: str | None
    change_id: str | None
    wait: bool
    timeout_s: float
    request: str | None
    workspace: str | None
    target: str | None
    routes: bool = False
    against: str | None = None
    requests_log: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class UsageError:
    """The command line is invalid.

    Attributes:
        message: error message for the operator.
    """

    message: str


def parse_options(
    args: list[str], variables: Mapping[str, str]
) -> expression.Result[Options, UsageError]:
    """Parses the command line.

    Args:
        args: the command line, with the program's name first.
        variables: environment variables, which give defaults of some options.
    """
    values = _define_flags(variables)
    try:
        positional = values(args)[1:]
    except flags.Error as error:
        return expression.Error(UsageError(str(error)))
    if not positional:
        return expression.Error(UsageError("a command is missing"))
    return expression.Ok(
        Options(
            command=positional[0],
            arguments=tuple(positional[1:]),
            log=values.log,
            instances=values.instances,
            output_format=Format(values.format),
            operator=values.operator,
            change_id=values.change_id,
            wait=values.wait,
            timeout_s=values.timeout_s,
            request=values.request,
            workspace=values.workspace,
            target=values.target,
            routes=values.routes,
            against=values.against,
            requests_log=values.requests_log,
        )
    )


def describe_usage() -> str:
    """Returns the help text: usage, commands and options."""
    return USAGE + _define_flags({}).module_help("lentilbeam") + "\n"


def _define_flags(variables: Mapping[str, str]) -> flags.FlagValues:
    values = flags.FlagValues()
    values.set_gnu_getopt(True)

    def define(name: str, default: str | None, text: str) -> None:
        flags.DEFINE_string(
            name, default, text, flag_values=values, module_name="lentilbeam"
        )

    define(
        "log",
        variables.get(LOG_VARIABLE),
        f"URL of the platform's log service; ${LOG_VARIABLE} by default.",
    )
    define(
        "instances",
        variables.get(INSTANCES_VARIABLE),
        f"URL of the instance list; ${INSTANCES_VARIABLE} by default.",
    )
    define(
        "operator",
        variables.get(OPERATOR_VARIABLE),
        f"Who makes the change; ${OPERATOR_VARIABLE} by default.",
    )
    define("change_id", None, "Repeat an apply whose outcome is unknown.")
    define("request", None, "Only events about this request.")
    define("workspace", None, "Only events about this workspace.")
    define("target", None, "Only events about this target.")
    define(
        "against",
        None,
        "With --routes: compare with this file, or with a store at IP:PORT.",
    )
    define(
        "requests_log",
        None,
        "With --against: log of a router, to tell which requests are affected.",
    )
    flags.DEFINE_bool(
        "routes",
        False,
        "Check a configuration of forwarding routers; - for standard input.",
        flag_values=values,
        module_name="lentilbeam",
    )
    flags.DEFINE_enum(
        "format",
        Format.TEXT.value,
        [each.value for each in Format],
        "Form of the output.",
        flag_values=values,
        module_name="lentilbeam",
    )
    flags.DEFINE_bool(
        "wait",
        False,
        "Wait until the change is in force at every router.",
        flag_values=values,
        module_name="lentilbeam",
    )
    flags.DEFINE_float(
        "timeout_s",
        30.0,
        "Longest wait for a verdict, and for all routers, in seconds.",
        lower_bound=0.0,
        flag_values=values,
        module_name="lentilbeam",
    )
    flags.DEFINE_alias("log_url", "log", flag_values=values)
    flags.DEFINE_alias("instances_url", "instances", flag_values=values)
    return values
