"""Reads bodies of a bounded size.

HTTP clients read a body for as long as bytes arrive. A faulty server would fill
the memory of the process with it.
"""

from collections.abc import AsyncIterator


class TooLongError(Exception):
    """A body is longer than it may be."""


async def limit_parts(
    parts: AsyncIterator[bytes], max_bytes: int
) -> AsyncIterator[bytes]:
    """Passes on the parts of a body.

    Args:
        parts: the parts.
        max_bytes: longest body.

    Raises:
        TooLongError: the body is longer.
    """
    size = 0
    async for part in parts:
        size += len(part)
        if size > max_bytes:
            raise TooLongError(f"body over {max_bytes} bytes")
        yield part
