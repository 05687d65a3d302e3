"""Starts and stops the processes of a fleet and checks how they exit."""

import asyncio
import contextlib
import dataclasses
import pathlib
import signal
import subprocess
import sys

import httpx

READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.05
STOP_TIMEOUT_S = 20.0
"""Time after which a process that was told to stop is killed."""
TAIL_LINES = 12
"""Last lines of a log that error messages show."""
TRACEBACK = "Traceback (most recent call last)"


class StartError(Exception):
    """The start of a process or of the fleet failed.

    A process was not ready in time or exited too early, or the catalogue
    couldn't be published.
    """


@dataclasses.dataclass(slots=True)
class Process:
    """A process and how it ended.

    Attributes:
        name: name of the process in the fleet.
        url: URL at which it listens; empty if it doesn't.
        popen: the process.
        log_path: file with its standard output and standard error.
        is_killed_on_purpose: whether `kill` was called, so that its exit is
            expected.
        is_force_killed: whether it was killed because it was still running
            when it should have exited.
    """

    name: str
    url: str
    popen: subprocess.Popen
    log_path: pathlib.Path
    is_killed_on_purpose: bool = False
    is_force_killed: bool = False

    def read_log_tail(self) -> str:
        """Returns the last `TAIL_LINES` lines of its log."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return "\n".join(lines[-TAIL_LINES:])

    def kill(self) -> None:
        """Sends SIGKILL, as part of a test; the exit counts as expected."""
        self.is_killed_on_purpose = True
        self.popen.kill()

    def terminate(self) -> None:
        """Sends SIGTERM, which asks it to stop."""
        self.popen.send_signal(signal.SIGTERM)

    async def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Waits for its exit and returns its exit status.

        Kills it after `timeout_s` seconds and then sets `is_force_killed`. The
        status of a process that was ended by a signal is the negated number of
        the signal.
        """
        try:
            return await asyncio.to_thread(self.popen.wait, timeout_s)
        except subprocess.TimeoutExpired:
            self.is_force_killed = True
            self.popen.kill()
            return await asyncio.to_thread(self.popen.wait)

    @property
    def exited_as_expected(self) -> bool:
        """Whether it exited with status 0 in time, or was killed on purpose."""
        return self.is_killed_on_purpose or (
            self.popen.returncode == 0 and not self.is_force_killed
        )


class Processes:
    """A group of processes.

    Attributes:
        folder: directory for their logs.
        by_name: the processes, also those that have exited, by name and in
            the order of their starts.
    """

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.by_name: dict[str, Process] = {}

    def start(self, name: str, url: str, *arguments: str) -> Process:
        """Starts a Python module as a process.

        Args:
            name: name of the process; its log is NAME.log.
            url: URL at which it will listen; empty if it won't.
            *arguments: arguments of `python -m`.
        """
        log_path = self.folder / f"{name}.log"
        with log_path.open("wb") as log_file:
            popen = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdout=log_file,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                process_group=0,
            )
        process = Process(name, url, popen, log_path)
        self.by_name[name] = process
        return process

    async def wait_ready(self, name: str, path: str) -> None:
        """Waits until a GET of `path` returns a status of success.

        Raises:
            StartError: the process exited, or was not ready within
                `READY_TIMEOUT_S`.
        """
        process = self.by_name[name]
        loop = asyncio.get_running_loop()
        retry_until = loop.time() + READY_TIMEOUT_S
        async with httpx.AsyncClient(trust_env=False) as http:
            while loop.time() < retry_until and process.popen.poll() is None:
                with contextlib.suppress(httpx.HTTPError):
                    response = await http.get(process.url + path)
                    if response.is_success:
                        return
                await asyncio.sleep(READY_POLL_S)
        raise StartError(f"{name} is not ready:\n{process.read_log_tail()}")

    async def stop(self, names: list[str]) -> None:
        """Sends SIGTERM to the named processes and waits for their exit."""
        running = [self.by_name[name] for name in names if name in self.by_name]
        for process in running:
            if process.popen.poll() is None:
                process.terminate()
        await asyncio.gather(*(process.wait() for process in running))

    def list_tracebacks(self) -> list[str]:
        """Returns name and end of the log of processes with a traceback."""
        return [
            f"{process.name}:\n{process.read_log_tail()}"
            for process in self.by_name.values()
            if TRACEBACK in process.log_path.read_text(errors="replace")
        ]

    def list_failed_exits(self) -> list[str]:
        """Returns name, status and end of the log of unexpected exits.

        Processes that still run count too; their status is None.
        """
        return [
            f"{process.name}: {process.popen.returncode}"
            f"{' (force-killed)' if process.is_force_killed else ''}\n"
            f"{process.read_log_tail()}"
            for process in self.by_name.values()
            if not process.exited_as_expected
        ]

    def kill_remaining(self) -> None:
        """Kills the processes that still run, so that none is left behind."""
        for process in self.by_name.values():
            if process.popen.poll() is None:
                process.is_force_killed = True
                process.popen.kill()
                process.popen.wait()
