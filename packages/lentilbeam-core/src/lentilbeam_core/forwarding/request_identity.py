"""Identity of whole requests that come again alike."""

from collections.abc import Iterable
import hashlib

PREFIX = "request-"
"""Start of the identity of a whole request. Names of prompt parts, which are
hexadecimal, don't have it."""
DIGEST_BYTES = 16


def compute(workspace: str, address: Iterable[str], body: bytes) -> str:
    """Returns the identity of a request.

    Args:
        workspace: workspace of the caller.
        address: what else the request is told by: method, host, path, query.
        body: its whole body.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for item in (workspace, *address):
        encoded = item.encode()
        digest.update(len(encoded).to_bytes(4) + encoded)
    digest.update(body)
    return PREFIX + digest.hexdigest()


def is_whole_request(identity: str) -> bool:
    """Whether an identity is that of a whole request."""
    return identity.startswith(PREFIX)
