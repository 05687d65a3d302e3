"""Makes sure that a connection leads to the process that the list names.

A target may be back under its ID at another software version before the list
tells.
"""

import asyncio

from lentilbeam_core.forwarding import target_list
from lentilbeam_router.forwarding import connection as connection_lib
from lentilbeam_router.forwarding import connection_pool
from lentilbeam_router.forwarding import wire as wire_lib

ANSWER_TIMEOUT_S = 0.5
"""Longest time, in seconds, for a target to tell when its process started."""
MAX_CONNECTIONS = 2
"""Number of connections on which a target is asked. It closes some after an
answer."""
MAX_ANSWER_BYTES = 65_536
"""Longest answer of a target."""


class UnconfirmedError(connection_lib.ConnectFailedError):
    """Another process runs, or the target did not tell.

    Attributes:
        start_ms: when the process started, Unix milliseconds; 0 if it did not
            tell.
    """

    def __init__(self, start_ms: int):
        super().__init__("process not confirmed")
        self.start_ms = start_ms


async def acquire(
    connections: connection_pool.ConnectionPool,
    target: target_list.Entry,
    longest_idle_s: float,
    codec: wire_lib.Codec,
) -> connection_lib.TargetConnection:
    """Returns a connection to the listed process of a target.

    Unless it is known which process the connection leads to, the target is
    asked on the connection itself.

    Args:
        connections: idle connections.
        target: the target as it is listed.
        longest_idle_s: see `ConnectionPool.acquire`.
        codec: encodes the question.

    Raises:
        ConnectFailedError: a connection couldn't be opened.
        UnconfirmedError: another process runs, or the target did not tell.
    """
    start_ms = 0
    for _ in range(MAX_CONNECTIONS):
        connection = await connections.acquire(target, longest_idle_s)
        is_usable = True
        if connection.process_start_ms == 0:
            try:
                is_usable = await _ask(connection, target, codec)
            except asyncio.CancelledError:
                connections.close_used(connection)
                raise
        start_ms = connection.process_start_ms
        if is_usable and start_ms == target.started_at_ms:
            return connection
        connections.close_used(connection)
        if start_ms != target.started_at_ms:
            break
    raise UnconfirmedError(start_ms)


async def _ask(
    connection: connection_lib.TargetConnection,
    target: target_list.Entry,
    codec: wire_lib.Codec,
) -> bool:
    """Asks for the start of the process, and records it at the connection.

    Returns:
        Whether the connection can be used for a request.
    """
    connection.start(codec.encode_process_query(target))
    body = b""
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            head = await connection.receive()
            while isinstance(item := await connection.receive(), bytes):
                body += item
                if len(body) > MAX_ANSWER_BYTES:
                    return False
    except (
        TimeoutError,
        connection_lib.BrokenError,
        connection_lib.InvalidResponseError,
    ):
        return False
    if head.status == 200:
        start_ms = codec.decode_process_start(body)
        connection.process_start_ms = start_ms or 0
    return connection.may_reuse
