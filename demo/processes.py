"""Processes of the demonstration: ports, start, signals and exits."""

import asyncio
import contextlib
import dataclasses
import pathlib
import signal
import socket
import subprocess
import sys

import httpx

HOST = "127.0.0.1"
READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.05
STOP_TIMEOUT_S = 20.0
TAIL_LINES = 12
TRACEBACK = "Traceback (most recent call last)"


class StartError(Exception):
    """A process did not get ready."""


def find_free_ports(count: int) -> list[int]:
    """Returns ports that were free, found by binding them all at once."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.bind((HOST, 0))
            ports.append(sock.getsockname()[1])
        return ports


@dataclasses.dataclass(slots=True)
class Process:
    """One process.

    Attributes:
        url: where it listens.
        is_killed: whether it was sent SIGKILL on purpose.
        is_overdue: whether it did not end by itself when asked to.
    """

    name: str
    url: str
    popen: subprocess.Popen
    log_path: pathlib.Path
    is_killed_on_purpose: bool = False
    is_force_killed: bool = False

    def read_log_tail(self) -> str:
        """Returns the last lines of its output."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return "\n".join(lines[-TAIL_LINES:])

    def kill(self) -> None:
        """Kills it on purpose by SIGKILL."""
        self.is_killed_on_purpose = True
        self.popen.kill()

    def terminate(self) -> None:
        """Asks it to stop by SIGTERM."""
        self.popen.send_signal(signal.SIGTERM)

    async def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Waits for its end and returns its exit status.

        A process that is not gone in time is killed and marked overdue.
        """
        try:
            return await asyncio.to_thread(self.popen.wait, timeout_s)
        except subprocess.TimeoutExpired:
            self.is_force_killed = True
            self.popen.kill()
            return await asyncio.to_thread(self.popen.wait)

    @property
    def exited_as_expected(self) -> bool:
        """Whether it ended by itself with status 0, or was killed."""
        return self.is_killed_on_purpose or (
            self.popen.returncode == 0 and not self.is_force_killed
        )


class Processes:
    """All processes, by name, with their outputs in one folder."""

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.by_name: dict[str, Process] = {}

    def start(self, name: str, url: str, *arguments: str) -> Process:
        """Starts `python -m` with the arguments."""
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
        """Waits until a GET of `path` is answered with a success.

        Raises:
            StartError: the process ended, or was not ready in time.
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
        """Asks the named processes to stop and waits for their ends."""
        running = [self.by_name[name] for name in names if name in self.by_name]
        for process in running:
            if process.popen.poll() is None:
                process.terminate()
        await asyncio.gather(*(process.wait() for process in running))

    def list_tracebacks(self) -> list[str]:
        """Returns the name and last output of those with a traceback."""
        return [
            f"{process.name}:\n{process.read_log_tail()}"
            for process in self.by_name.values()
            if TRACEBACK in process.log_path.read_text(errors="replace")
        ]

    def list_failed_exits(self) -> list[str]:
        """Returns the name, exit status and last output of bad ends."""
        return [
            f"{process.name}: {process.popen.returncode}"
            f"{' overdue' if process.is_force_killed else ''}\n"
            f"{process.read_log_tail()}"
            for process in self.by_name.values()
            if not process.exited_as_expected
        ]

    def kill_remaining(self) -> None:
        """Kills what still runs, so that nothing outlives a failure."""
        for process in self.by_name.values():
            if process.popen.poll() is None:
                process.is_force_killed = True
                process.popen.kill()
                process.popen.wait()
