"""What every command works with."""

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
    """Why a command cannot go on."""

    status: exit_status.ExitStatus
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """Options, environment, output and the HTTP client of one command."""

    options: options_lib.Options
    env: environment.Environment
    out: output.Output
    http: httpx.AsyncClient

    def open_log(
        self,
    ) -> expression.Result[platform_log.LogClient, Failure]:
        """Returns a client of the log that the options name."""
        if self.options.log is None:
            return expression.Error(usage("--log is missing"))
        return expression.Ok(
            platform_log.LogClient(self.options.log, self.http)
        )

    def fail(self, failure: Failure) -> exit_status.ExitStatus:
        """Writes about the failure and returns its status."""
        self.out.write_error(failure.message)
        return failure.status


def usage(message: str) -> Failure:
    """Returns the failure of a command that was called wrongly."""
    return Failure(exit_status.ExitStatus.USAGE, message)


def unreachable(message: str) -> Failure:
    """Returns the failure of a command that reached nobody."""
    return Failure(exit_status.ExitStatus.UNREACHABLE, message)
