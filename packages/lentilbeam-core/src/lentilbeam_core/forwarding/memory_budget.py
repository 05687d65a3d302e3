"""Budget of the bytes that a router buffers for requests and responses.

The process is killed above its memory limit, with all requests that it serves.
A router therefore refuses new requests before it reads their bodies, the
largest first, and never interrupts what it has begun. Slow readers are held
back by flow control: while most of the budget is spent, less is buffered for
each of them.
"""

RESERVED_BYTES = 100_000_000
"""Memory that a router is taken to use until it was measured: about 60 MB with
its libraries, and a margin."""
BUFFER_FRACTION = 0.7
"""Part of the other memory that may be reserved; the rest is for objects that
are not counted, and for what is taken between two measurements."""
MIN_BUDGET_BYTES = 8_000_000
"""Smallest budget, so that a router with less memory than is reserved still
serves requests with small bodies."""
BODY_COPIES = 3
"""Largest number of copies of a body at a time: as it was received, as it is
encoded for the target, and in the buffer of the socket."""
USUAL_HEAD_BYTES = 1024
"""Size of a head that is included in `RUNNING_BYTES`."""
HEAD_COPIES = 20
"""Memory that a byte of a larger head may take, in bytes: headers may have one
character each."""
UNFINISHED_FRACTION = 0.5
"""Part of the budget that requests may take before they are read whole."""
RUNNING_BYTES = 65_536
"""Bytes that a running request may take besides its body and what its target
sent: the send buffer for its caller fills to this before it is held back."""
MAX_FREE_FRACTION = 0.5
"""Largest part of the free budget that a request may take. The larger ones are
refused first while the budget runs out, and small ones are still served."""
IDLE_FRACTION = 0.125
"""Part of the budget up to which any request is served, so that none is refused
for ever by a router with little memory."""
SMALL_REQUEST_BYTES = 131_072
"""Largest request, as estimated, that counts as small."""
SMALL_FRACTION = 0.25
"""Part of the budget that small requests may take even if large ones have taken
the rest: callers may let a router wait for the bodies of these."""
SCARCE_FRACTION = 0.5
"""Part of the budget above which less is buffered for each response."""
SCARCE_DIVISOR = 8
"""By how much less: 8 KB are still several events of a stream."""


class MemoryBudget:
    """Counts buffered bytes.

    Attributes:
        memory_bytes: memory above which the process is killed; 0 if unknown.
        resident_bytes: memory that the process takes.
        limit_bytes: the budget; 0 if it is unlimited.
        used_bytes: bytes that are buffered or reserved.
        small_bytes: the part of these that small requests have reserved.
    """

    def __init__(self, memory_bytes: int):
        self.memory_bytes = memory_bytes
        self.resident_bytes = RESERVED_BYTES
        self.limit_bytes = compute_limit(memory_bytes)
        self.used_bytes = 0
        self.small_bytes = 0

    def resize(self, memory_bytes: int) -> None:
        """Changes the memory above which the process is killed."""
        self.memory_bytes = memory_bytes
        self.note_resident(self.resident_bytes)

    def note_resident(self, resident_bytes: int) -> None:
        """Corrects the budget by the memory that the process takes.

        What requests have taken of their reservations is part of it and counts
        twice. So the process stays within its memory also if the requests take
        all the rest that is reserved for them.
        """
        self.resident_bytes = resident_bytes
        self.limit_bytes = compute_limit(self.memory_bytes, resident_bytes)

    def try_reserve(self, size: int, before: int = 0) -> bool:
        """Reserves bytes for a request; returns False if it must be refused.

        Args:
            size: bytes that it may take in all.
            before: bytes that were reserved for it before.
        """
        if self.limit_bytes and not self._has_room(size, before):
            return False
        self._replace(before, size)
        return True

    def release(self, size: int) -> None:
        """Gives back what was reserved for a request."""
        self._replace(size, 0)

    def _has_room(self, size: int, before: int) -> bool:
        if self.used_bytes <= self.limit_bytes * IDLE_FRACTION:
            return True
        free_bytes = self.limit_bytes - self.used_bytes
        if size - before <= free_bytes * MAX_FREE_FRACTION:
            return True
        small_bytes = self.small_bytes - before + size
        return (
            size <= SMALL_REQUEST_BYTES
            and small_bytes <= self.limit_bytes * SMALL_FRACTION
        )

    def _replace(self, before: int, size: int) -> None:
        self.used_bytes += size - before
        if before <= SMALL_REQUEST_BYTES:
            self.small_bytes -= before
        if size <= SMALL_REQUEST_BYTES:
            self.small_bytes += size

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


def compute_limit(
    memory_bytes: int, resident_bytes: int = RESERVED_BYTES
) -> int:
    """Returns the budget of a process.

    Args:
        memory_bytes: memory above which the process is killed; 0 if unknown.
        resident_bytes: memory that the process takes.

    Returns:
        Bytes; 0 if the memory is unknown and nothing is limited.
    """
    if memory_bytes <= 0:
        return 0
    usable_bytes = (memory_bytes - resident_bytes) * BUFFER_FRACTION
    return max(int(usable_bytes), MIN_BUDGET_BYTES)


def limit_unfinished(limit_bytes: int) -> int:
    """Returns the bytes that requests may take that aren't read whole.

    Args:
        limit_bytes: the whole budget.
    """
    return int(limit_bytes * UNFINISHED_FRACTION)


def estimate_request(body_bytes: int, head_bytes: int = 0) -> int:
    """Returns the bytes that a request takes.

    Args:
        body_bytes: size of its body.
        head_bytes: size of the names and values of its headers.
    """
    large_head = max(head_bytes - USUAL_HEAD_BYTES, 0)
    return RUNNING_BYTES + BODY_COPIES * body_bytes + HEAD_COPIES * large_head
