"""Budget of the bytes that a router buffers for requests and responses.

The process is killed above its memory limit, with all requests that it serves.
A router therefore refuses new requests before it reads their bodies, the
largest first, and never interrupts what it has begun. Slow readers are held
back by flow control: while most of the budget is spent, less is buffered for
each of them.
"""

RESERVED_BYTES = 100_000_000
"""Memory that a router takes without requests, with what the allocator does not
give back: about 60 MB with its libraries, and a margin."""
BUFFER_FRACTION = 0.7
"""Part of the other memory that may be buffered; the rest is for objects that
are not counted, for reports and for errors of the estimate."""
MIN_BUDGET_BYTES = 8_000_000
"""Smallest budget, so that a router with less memory than is reserved still
serves requests with small bodies."""
BODY_COPIES = 3
"""Largest number of copies of a body at a time: as it was received, as it is
encoded for the target, and in the buffer of the socket."""
RUNNING_BYTES = 65_536
"""Bytes that a running request may take besides its body and what its target
sent: the send buffer for its caller fills to this before it is held back."""
MAX_FREE_FRACTION = 0.5
"""Largest part of the free budget that a request may take. The larger ones are
refused first while the budget runs out, and small ones are still served."""
IDLE_FRACTION = 0.125
"""Part of the budget up to which any request is served, so that none is refused
for ever by a router with little memory."""
SCARCE_FRACTION = 0.5
"""Part of the budget above which less is buffered for each response."""
SCARCE_DIVISOR = 8
"""By how much less: 8 KB are still several events of a stream."""


class MemoryBudget:
    """Counts buffered bytes.

    Attributes:
        limit_bytes: the budget; 0 if it is unlimited.
        used_bytes: bytes that are buffered or reserved.
    """

    def __init__(self, memory_bytes: int):
        self.limit_bytes = compute_limit(memory_bytes)
        self.used_bytes = 0

    def try_reserve(self, size: int) -> bool:
        """Reserves bytes for a request; returns False if it must be refused.

        Args:
            size: bytes that it may take in all.
        """
        free_bytes = self.limit_bytes - self.used_bytes
        is_idle = self.used_bytes <= self.limit_bytes * IDLE_FRACTION
        if (
            self.limit_bytes
            and not is_idle
            and size > free_bytes * MAX_FREE_FRACTION
        ):
            return False
        self.used_bytes += size
        return True

    def add(self, size: int) -> None:
        """Counts bytes that are buffered in any case; negative to release."""
        self.used_bytes += size

    def limit_inbox(self, size: int) -> int:
        """Returns how much may be buffered of one response.

        Args:
            size: bytes that are buffered while the budget is not scarce.
        """
        if self.used_bytes <= self.limit_bytes * SCARCE_FRACTION:
            return size
        return size // SCARCE_DIVISOR if self.limit_bytes else size


def compute_limit(memory_bytes: int) -> int:
    """Returns the budget of a process.

    Args:
        memory_bytes: memory above which the process is killed; 0 if unknown.

    Returns:
        Bytes; 0 if the memory is unknown and nothing is limited.
    """
    if memory_bytes <= 0:
        return 0
    usable_bytes = (memory_bytes - RESERVED_BYTES) * BUFFER_FRACTION
    return max(int(usable_bytes), MIN_BUDGET_BYTES)


def estimate_request(body_bytes: int) -> int:
    """Returns the bytes that a request with a body of this size takes."""
    return RUNNING_BYTES + BODY_COPIES * body_bytes
