"""Streams that are written to the store, in batches.

They are written only while the version of a stream can't be inferred from the
versions that its pool has had.
"""

from collections.abc import Iterable
import dataclasses

from lentilbeam_core import clock as clock_lib
from lentilbeam_core.forwarding import stream_origins
from lentilbeam_core.forwarding import stream_versions as stream_versions_lib
from lentilbeam_router.forwarding import origin_exchange

BATCH_INTERVAL_S = 0.25
"""Time, in seconds, between two batches of a router in a small fleet."""
MAX_BATCH_INTERVAL_S = 5.0
"""The same in the largest fleet: 2,500 routers then make 500 of the 1,200 write
calls a second that the store allows on large deployments."""
REWRITE_INTERVAL_S = 8.0
"""Time, in seconds, after which a running stream is written again. The store
keeps records for 20 s on the known deployments."""
MAX_PENDING = 20_000
"""Number of streams that wait to be written; the oldest are dropped first. They
take 1 MB."""


@dataclasses.dataclass(frozen=True, slots=True)
class StreamRecord:
    """What began a stream, as it is written to the store.

    Attributes:
        key: key of the stream.
        origin: what began it.
        kept_s: for how long callers may still resume it, in seconds.
    """

    key: int
    origin: stream_origins.Origin
    kept_s: float


class StreamJournal:
    """The streams that this router has to write.

    Attributes:
        exchange: what is known of streams.
        versions: which versions may have begun streams.
        clock: source of monotonic time.
        pending: keys of the streams to write, the oldest first.
        written_at: when each running stream was last written, by key,
            monotonic seconds.
        dropped: number of streams that were never written.
    """

    def __init__(
        self,
        exchange: origin_exchange.OriginExchange,
        versions: stream_versions_lib.StreamVersions,
        clock: clock_lib.Clock,
    ):
        self.exchange = exchange
        self.versions = versions
        self.clock = clock
        self.pending: dict[int, None] = {}
        self.written_at: dict[int, float] = {}
        self.dropped = 0

    def note_began(self, key: int) -> None:
        """Records that a stream began or goes on."""
        self.pending[key] = None
        self._drop_oldest()

    def take_batch(self) -> list[StreamRecord]:
        """Returns the streams that are to be written now."""
        now = self.clock.monotonic()
        running = {stream.key for stream in self.exchange.running.values()}
        for key in self.written_at.keys() - running:
            del self.written_at[key]
        for key in running:
            at = self.written_at.get(key)
            if at is None or now - at >= REWRITE_INTERVAL_S:
                self.pending[key] = None
        keys, self.pending = self.pending, {}
        can_infer = {}
        batch = []
        for key in keys:
            origin = self.exchange.origins.find(key, now)
            if origin is None or origin == stream_origins.UNKNOWN:
                continue
            if origin.pool not in can_infer:
                only = self.versions.find_only(origin.pool, now)
                can_infer[origin.pool] = only is not None
            if not can_infer[origin.pool]:
                kept_s = self.exchange.origins.find_kept_s(key, now)
                batch.append(StreamRecord(key, origin, kept_s))
        return batch

    def note_written(self, batch: Iterable[StreamRecord]) -> None:
        """Records that a batch was written."""
        now = self.clock.monotonic()
        for record in batch:
            self.written_at[record.key] = now

    def put_back(self, batch: list[StreamRecord]) -> int:
        """Keeps a batch that could not be written.

        Returns:
            Number of streams that are dropped, since too many wait.
        """
        keys = dict.fromkeys(record.key for record in batch)
        self.pending = keys | self.pending
        return self._drop_oldest()

    def _drop_oldest(self) -> int:
        dropped = 0
        while len(self.pending) > MAX_PENDING:
            del self.pending[next(iter(self.pending))]
            dropped += 1
        self.dropped += dropped
        return dropped

    def apply(self, record: StreamRecord) -> None:
        """Records what another router has written."""
        self.exchange.origins.note(
            record.key, record.origin, record.kept_s, self.clock.monotonic()
        )
