"""What began each stream, so that it goes on at the same software version.

What two versions of a target's software write does not fit together. A caller
whose stream was cut names the request that brought its first event; any router
may be asked, and the one that began the stream may be gone.
"""

import collections
import dataclasses
import hashlib

from lentilbeam_core import ids

KEY_BYTES = 8
MAX_STREAMS = 20_000
"""Number of streams that are remembered; the oldest are dropped first. At this
number they take about 5 MB."""
MAX_KEPT_S = 3600.0
"""Longest time, in seconds, for which a stream is remembered."""


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """What began a stream.

    Attributes:
        pool: the pool that runs it.
        version: software version of the target; empty if unknown.
    """

    pool: ids.PoolId
    version: str


UNKNOWN = Origin(ids.PoolId(""), "")
"""Stands for an origin that can't be told."""


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """What is remembered of a stream.

    Attributes:
        origin: what began it; `UNKNOWN` if there is contradicting news.
        kept_until: when it is forgotten, monotonic seconds.
    """

    origin: Origin
    kept_until: float


def compute_key(workspace: ids.WorkspaceId, request_id: str) -> int:
    """Returns the key of a stream: 64 bits.

    Args:
        workspace: workspace of the caller. The streams of one workspace are
            out of reach for another that uses the same IDs.
        request_id: ID of the request that brought the first event.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for text in (workspace, request_id):
        encoded = text.encode()
        digest.update(len(encoded).to_bytes(4) + encoded)
    return int.from_bytes(digest.digest())


class StreamOrigins:
    """The origins of streams that this router began or was told of.

    Attributes:
        records: what is remembered, by key, the oldest first.
    """

    def __init__(self):
        self.records: collections.OrderedDict[int, Record] = (
            collections.OrderedDict()
        )

    def note(
        self, key: int, origin: Origin, kept_s: float, now: float
    ) -> Origin:
        """Records the origin of a stream.

        Args:
            key: key of the stream.
            origin: what began it.
            kept_s: for how long it may be taken up, in seconds.
            now: monotonic seconds.

        Returns:
            What is known of it now: `UNKNOWN` if another origin was recorded
            before, since a stream has one only.
        """
        known = self.find(key, now)
        if known is not None and known != origin:
            origin = UNKNOWN
        kept_until = now + min(kept_s, MAX_KEPT_S)
        if key in self.records:
            kept_until = max(kept_until, self.records.pop(key).kept_until)
        self.records[key] = Record(origin, kept_until)
        self._drop_outdated(now)
        return origin

    def find(self, key: int, now: float) -> Origin | None:
        """Returns the origin of a stream; None if nothing is known of it."""
        record = self.records.get(key)
        if record is None or record.kept_until <= now:
            return None
        return record.origin

    def find_kept_s(self, key: int, now: float) -> float:
        """Returns for how long a stream is still remembered, in seconds."""
        record = self.records.get(key)
        return max(record.kept_until - now, 0.0) if record else 0.0

    def _drop_outdated(self, now: float) -> None:
        """Drops the oldest records, and such that have expired among them."""
        while self.records:
            oldest = next(iter(self.records))
            is_expired = self.records[oldest].kept_until <= now
            if not is_expired and len(self.records) <= MAX_STREAMS:
                return
            del self.records[oldest]
