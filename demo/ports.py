"""Ports for the processes of a fleet, so that several runs can share a machine.

Ports that are found free and released again can be taken by another run, or by
an outgoing connection, before a process listens on them. A run therefore owns
a block of ports.
"""

import contextlib
import itertools
import socket

HOST = "127.0.0.1"
PORT_RANGE = (12_000, 32_000)
"""First and last port of all blocks. Linux takes the ports of outgoing
connections from 32,768 on."""
PORTS_PER_BLOCK = 100


class NoFreePortError(Exception):
    """No block of ports, or no port of a block, is free."""


class PortBlock:
    """A range of ports that no other run on this machine uses.

    A run owns a block as long as it is bound to the first port of the block.
    The blocks lie below the ports that the system gives to outgoing
    connections, which could otherwise take a port before it is used.

    Attributes:
        guard: socket that is bound to the first port of the block.
        unused: ports of the block that `take` hasn't returned yet.
    """

    def __init__(self):
        self.guard = _bind_first_free_block()
        first = self.guard.getsockname()[1]
        self.unused = iter(range(first + 1, first + PORTS_PER_BLOCK))

    def take(self, count: int) -> list[int]:
        """Returns different ports that are free for TCP and for UDP.

        Raises:
            NoFreePortError: the block has too few free ports.
        """
        ports = list(itertools.islice(filter(_is_free, self.unused), count))
        if len(ports) < count:
            raise NoFreePortError(f"fewer than {count} ports are free")
        return ports

    def close(self) -> None:
        """Gives the block up."""
        self.guard.close()


def _bind_first_free_block() -> socket.socket:
    for first in range(*PORT_RANGE, PORTS_PER_BLOCK):
        guard = socket.socket()
        try:
            guard.bind((HOST, first))
        except OSError:
            guard.close()
            continue
        return guard
    raise NoFreePortError("no free block of ports")


def _is_free(port: int) -> bool:
    with contextlib.ExitStack() as stack:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            sock = stack.enter_context(socket.socket(type=kind))
            try:
                sock.bind((HOST, port))
            except OSError:
                return False
    return True
