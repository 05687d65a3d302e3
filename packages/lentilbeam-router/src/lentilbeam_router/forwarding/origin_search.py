"""Finds out what began a stream: from this router, from others, from the store.

Other routers answer within milliseconds if one of them knows. What all routers
lost when they were killed at once is in the store: which versions a pool has
had, and, where there were several, what began each stream.
"""

import asyncio
from collections.abc import Iterable
import dataclasses

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ids
from lentilbeam_core.forwarding import stream_origins
from lentilbeam_core.forwarding import stream_versions as stream_versions_lib
from lentilbeam_router.forwarding import decision_log
from lentilbeam_router.forwarding import origin_exchange
from lentilbeam_router.forwarding import shared_read
from lentilbeam_router.forwarding import stream_journal

HEAD_START_S = 0.05
"""Time, in seconds, for which only other routers are asked. They answer within
a few milliseconds, and each call to the store has a price."""
FIND_TIMEOUT_S = 0.8
"""Time, in seconds, after which a stream counts as unknown. A caller that is
refused may come back to a router that knows."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReads:
    """Reads of the store that a resumption may need.

    Attributes:
        versions: reads which versions are recorded and listed.
        streams: reads what began streams.
    """

    versions: shared_read.SharedRead
    streams: shared_read.SharedRead


class OriginSearch:
    """What is known of the origins of streams, from all sources.

    Attributes:
        exchange: tells other routers, and asks them.
        versions: which versions may have begun streams.
        journal: streams to be written to the store.
        log: log of decisions.
        reads: reads of the store; None if there is no store.
    """

    def __init__(
        self,
        exchange: origin_exchange.OriginExchange,
        versions: stream_versions_lib.StreamVersions,
        clock: clock_lib.Clock,
        log: decision_log.DecisionLog,
    ):
        self.exchange = exchange
        self.versions = versions
        self.clock = clock
        self.journal = stream_journal.StreamJournal(exchange, versions, clock)
        self.log = log
        self.reads: StoreReads | None = None
        exchange.is_first_of_fleet = lambda: versions.is_first_of_fleet

    @property
    def knows_rules(self) -> bool:
        """Whether this router has read at which versions streams begin."""
        return self.reads is None or self.versions.read_since is not None

    def note_began(
        self,
        request_id: str,
        key: int,
        origin: stream_origins.Origin,
        deadline_s: float,
    ) -> None:
        """Records what began a stream, before its first event is passed on.

        Args:
            request_id: the request that brings events of the stream.
            key: key of the stream.
            origin: what began it.
            deadline_s: longest time that the request may take, in seconds.
        """
        kept_s = deadline_s + stream_versions_lib.KEPT_MARGIN_S
        self.versions.note_kept(origin.pool, deadline_s)
        self.exchange.note_began(request_id, key, origin, kept_s)
        self.journal.note_began(key)

    async def find(
        self, key: int | None, pools: list[ids.PoolId]
    ) -> stream_origins.Origin | None:
        """Returns what began a stream.

        Args:
            key: key of the stream; None if its caller doesn't name it.
            pools: pools that may have begun it.

        Returns:
            None if it can't be known, or not soon enough.
        """
        asking = None
        if key is not None:
            known = self.exchange.origins.find(key, self.clock.monotonic())
            if known is not None:
                return None if known == stream_origins.UNKNOWN else known
            asking = asyncio.ensure_future(self.exchange.find(key))
        reading = asyncio.ensure_future(self._read(key, pools, asking))
        try:
            async with asyncio.timeout(FIND_TIMEOUT_S):
                if asking is not None:
                    await asyncio.wait(
                        {asking, reading}, return_when=asyncio.FIRST_COMPLETED
                    )
                    if asking.done() and asking.result().origin is not None:
                        return asking.result().origin
                found = await reading
                if found is None and asking is not None:
                    found = (await asking).origin
                return found
        except TimeoutError:
            self.log.write_event("origin_search_timeout", key=key)
        finally:
            reading.cancel()
            if asking is not None:
                asking.cancel()
        return None

    def infer(
        self, pools: Iterable[ids.PoolId]
    ) -> stream_origins.Origin | None:
        """Returns what began every stream of some pools, if that is known."""
        now = self.clock.monotonic()
        return _combine(
            (pool, self.versions.find_only(pool, now)) for pool in pools
        )

    async def _infer_by_rule(
        self,
        key: int,
        pools: list[ids.PoolId],
        asking: asyncio.Task[origin_exchange.Finding],
    ) -> stream_origins.Origin | None:
        """Returns what began a stream that nobody has recorded.

        The rule has an answer for any key. So the stream must be one that may
        have been forgotten: all routers that are told of it, if they answer,
        have started since it may have begun.

        Args:
            key: key of the stream.
            pools: pools that may have begun it.
            asking: what other routers know.
        """
        found = await asking
        if found.origin is not None:
            return found.origin
        kept_s = max(map(self.versions.find_kept_s, pools), default=0.0)
        if found.memory_age_s >= kept_s:
            return None
        versions = self.versions
        origin = _combine(
            (pool, versions.rules.infer(pool, key, versions.era))
            for pool in pools
        )
        if origin is not None:
            self.log.write_event(
                "origin_inferred",
                pool=origin.pool,
                software=origin.version,
                source="rules",
                memory_age_s=round(found.memory_age_s, 3),
            )
        return origin

    async def _read(
        self,
        key: int | None,
        pools: list[ids.PoolId],
        asking: asyncio.Task[origin_exchange.Finding] | None,
    ) -> stream_origins.Origin | None:
        """Returns what the store tells of a stream."""
        if self.reads is None:
            return None
        if asking is not None:
            await asyncio.wait({asking}, timeout=HEAD_START_S)
            if asking.done() and asking.result().origin is not None:
                return asking.result().origin
        # A router reads the store some time after others have written, so what
        # it knew before this call doesn't suffice.
        has_rules = any(pool in self.versions.rules.stored for pool in pools)
        has_read_versions = (
            self.versions.read_since is None
            or has_rules
            or self.infer(pools) is not None
        ) and await self.reads.versions.get()
        if has_read_versions:
            origin = self.infer(pools)
            if origin is not None:
                self.log.write_event(
                    "origin_inferred",
                    pool=origin.pool,
                    software=origin.version,
                    source="versions",
                )
                return origin
        if key is None or not await self.reads.streams.get():
            return None
        found = self.exchange.origins.find(key, self.clock.monotonic())
        if found is not None:
            return None if found == stream_origins.UNKNOWN else found
        if not has_read_versions:
            return None
        return await self._infer_by_rule(key, pools, asking)


def _combine(
    found: Iterable[tuple[ids.PoolId, str | None]],
) -> stream_origins.Origin | None:
    """Returns the origin if there is one pool and its version is known."""
    origins = list(found)
    if len(origins) != 1 or origins[0][1] is None:
        return None
    return stream_origins.Origin(*origins[0])
