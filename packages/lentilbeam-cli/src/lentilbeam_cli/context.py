"""The objects that every command uses, and its failures."""

import dataclasses

import expression
import httpx

from lentilbeam_cli import environment
from lentilbeam_cli import exit_status
from lentilbeam_cli import options as options_lib
from lentilbeam_cli import output
from lentilbeam_router import platform_log


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """The reason why a command stops early.

    Attributes:
        status: exit status of the command.
        message: error message for the operator.
    """

    status: exit_status.ExitStatus
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """The objects that one command uses.

    Attributes:
        options: the parsed command line.
        env: the environment that the command runs in.
        out: writes the command's output.
        http: client for calls to the platform and to routers.
    """

    options: options_lib.Options
    env: environment.Environment
    out: output.Output
    http: httpx.AsyncClient

    def open_log(
        self,
    ) -> expression.Result[platform_log.LogClient, Failure]:
        """Returns a client of the log at the option --log.

        The result is a usage failure if the option is missing.
        """
        if self.options.log is None:
            return expression.Error(build_usage_failure("--log is missing"))
        return expression.Ok(
            platform_log.LogClient(self.options.log, self.http)
        )

    def report_failure(self, failure: Failure) -> exit_status.ExitStatus:
        """Writes the failure's message and returns its exit status."""
        self.out.write_error(failure.message)
        return failure.status


def build_usage_failure(message: str) -> Failure:
    """Returns the failure of a command with invalid arguments or options."""
    return Failure(exit_status.ExitStatus.USAGE, message)


def build_unreachable_failure(message: str) -> Failure:
    """Returns the failure of a command that can't reach a service it needs."""
    return Failure(exit_status.ExitStatus.UNREACHABLE, message)
