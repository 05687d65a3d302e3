"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio
import dataclasses

Headers = list[tuple[str, str]]


class BrokenError(Exception):
    """The connection ended before the message did, or sent no HTTP."""


@dataclasses.dataclass
class Head:
    """Head of a message.

    Attributes:
        start: the words of the first line.
        headers: names in lower case, and values, as received.
    """

    start: list[str]
    headers: Headers

    def get(self, name: str, default: str = "") -> str:
        """Returns the value of a header."""
        return next((v for n, v in self.headers if n == name), default)


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Returns the next head; None if the connection ended before it.

    Raises:
        BrokenError: the connection ended within the head.
    """
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BrokenError("ended within a head") from error
        return None
    except (asyncio.LimitOverrunError, OSError) as error:
        raise BrokenError(repr(error)) from error
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return Head(first.split(" ", 2), headers)


async def read_parts(reader: asyncio.StreamReader, head: Head, to_end: bool):
    """Yields the parts of a body as they arrive.

    Args:
        reader: the connection.
        head: head of the message.
        to_end: whether a body without a length goes on to the end of the
            connection, as that of an answer does.

    Raises:
        BrokenError: the connection ended before the body.
    """
    try:
        if head.get("transfer-encoding").lower() == "chunked":
            while size := int(await reader.readline() or b"x", 16):
                yield await reader.readexactly(size)
                await reader.readline()
            if await reader.readline() != b"\r\n":
                raise BrokenError("no end of the last chunk")
        elif head.get("content-length"):
            left = int(head.get("content-length"))
            while left:
                part = await reader.read(min(left, 65536))
                if not part:
                    raise BrokenError("ended within a body")
                left -= len(part)
                yield part
        elif to_end:
            while part := await reader.read(65536):
                yield part
    except (asyncio.IncompleteReadError, ValueError, OSError) as error:
        raise BrokenError(repr(error)) from error


async def read_body(reader, head, to_end: bool = False) -> bytes:
    """Returns a whole body; see `read_parts`."""
    parts = [part async for part in read_parts(reader, head, to_end)]
    return b"".join(parts)


def encode(first: str, headers: Headers, body: bytes = b"") -> bytes:
    """Returns a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
