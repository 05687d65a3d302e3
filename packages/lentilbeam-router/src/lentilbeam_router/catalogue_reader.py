"""Keeps a router's catalogue up to date.

Two loops feed the same follower. One reads the log with long polls. The other
fetches the catalogue from peers when this router makes no progress while a
peer reports a newer catalogue, or as long as no catalogue is known. A third
loop appends a snapshot to the log whenever the latest one gets old, so that a
recent snapshot always exists within the log's retention.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import random
from typing import Any

import expression
import httpx
import msgspec

from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import catalogue_follow
from lentilbeam_core import catalogue_log
from lentilbeam_core import catalogue_snapshot
from lentilbeam_core import catalogue_state
from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ids
from lentilbeam_router import platform_log as platform_log_lib

MAX_PEERS_ASKED = 3
"""Maximum number of peers that are asked at the same time."""

OnChange = Callable[[catalogue_lib.Catalogue, ids.Offset], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the reader. Names end in the unit: `_s` for seconds.

    Attributes:
        page_limit: maximum number of records per read.
        poll_wait_s: how long a read waits for new records. Also used as the
            mean delay before the router tries again to append a snapshot
            after a failure.
        retry_s: mean pause after a failed read, or after an empty page while
            a snapshot is being searched for.
        peer_interval_s: mean interval between comparisons with peers.
        peer_timeout_s: timeout of a call to a peer.
        log_retention_s: how long the log keeps records.
        snapshot_age_ratio: mean age at which the latest snapshot is replaced,
            as a fraction of the retention.
        first_snapshot_age_ratio: mean time from the start of the router to
            its first snapshot, as a fraction of the retention, unless another
            router appends one before.
    """

    page_limit: int = 1000
    poll_wait_s: float = 1.0
    retry_s: float = 0.2
    peer_interval_s: float = 0.25
    peer_timeout_s: float = 2.0
    log_retention_s: float = 3600.0
    snapshot_age_ratio: float = 0.25
    first_snapshot_age_ratio: float = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """A router from which the catalogue can be fetched.

    Attributes:
        url: base URL of the router's HTTP API.
        offset: catalogue offset in the router's latest heartbeat; None if no
            heartbeat was received.
    """

    url: str
    offset: ids.Offset | None = None


def list_no_peers() -> list[Peer]:
    """Returns an empty list; default for a router without peers."""
    return []


class CatalogueReader:
    """Follows the catalogue and calls `on_change` when it has changed.

    Attributes:
        platform_log: client of the log service; its HTTP client is also used
            for calls to peers.
        clock: the router's clock.
        on_change: called with a copy of the catalogue and its offset.
        settings: settings of the reader.
        list_peers: returns the peers that may be asked.
        rng: random numbers for delays and for the choice of peers.
        follower: applies the records of the log.
        counters: counts records, verdicts, errors and snapshots; the names
            start with `catalogue.`.
        newest_snapshot_offset: catalogue offset of the newest snapshot seen.
        is_caught_up: whether the end of the log has been reached once.
        snapshot_due: monotonic time at which the next snapshot is due.
    """

    def __init__(
        self,
        platform_log: platform_log_lib.LogClient,
        clock: clock_lib.Clock,
        on_change: OnChange,
        settings: Settings | None = None,
        list_peers: Callable[[], list[Peer]] = list_no_peers,
        rng: random.Random | None = None,
        counters: collections.Counter[str] | None = None,
    ):
        self.platform_log = platform_log
        self.clock = clock
        self.on_change = on_change
        self.settings = settings or Settings()
        self.list_peers = list_peers
        self.rng = rng or random.Random()
        self.follower = catalogue_follow.Follower()
        self.counters = collections.Counter() if counters is None else counters
        self.newest_snapshot_offset = ids.Offset(0)
        self.is_caught_up = False
        self.snapshot_due = clock.monotonic() + self._pick_snapshot_delay(
            self.settings.first_snapshot_age_ratio
        )

    @property
    def offset(self) -> ids.Offset:
        """Offset of the last log record that was applied; 0 if none."""
        return self.follower.offset

    async def run(self) -> None:
        """Follows the catalogue until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_log())
            group.create_task(self._follow_peers())
            group.create_task(self._maintain_snapshot())

    def build_export(self, after: int = -1) -> dict[str, Any]:
        """Returns the JSON of `GET /v1/catalogue`.

        Args:
            after: the catalogue offset that the client already has.

        Returns:
            A snapshot of the catalogue with its offset; only the offset if
            it is not greater than `after` or no catalogue is known yet.
        """
        state = self.follower.state
        if state is None or state.offset <= after:
            return {"offset": self.offset}
        snapshot = catalogue_snapshot.dump_snapshot(state)
        return {"offset": state.offset, **snapshot}

    async def _follow_log(self) -> None:
        while True:
            read = await self._read_page()
            if read.is_error():
                self.counters["catalogue.log_errors"] += 1
                await asyncio.sleep(self._randomize(self.settings.retry_s))
                continue
            self._apply_page(read.ok)
            if not read.ok.records and self._is_searching():
                await asyncio.sleep(self._randomize(self.settings.retry_s))

    async def _read_page(
        self,
    ) -> expression.Result[platform_log_lib.Page, platform_log_lib.LogError]:
        wait_s = 0.0 if self._is_searching() else self.settings.poll_wait_s
        return await self.platform_log.read(
            catalogue_log.STREAM,
            self.follower.next_read_offset,
            self.settings.page_limit,
            wait_s,
        )

    def _apply_page(self, page: platform_log_lib.Page) -> None:
        gaps = self.follower.gap_count
        progress = self.follower.apply_page(page)
        self.counters["catalogue.gaps"] += self.follower.gap_count - gaps
        self.counters["catalogue.records"] += len(page.records)
        for verdict in progress.verdicts:
            self.counters[f"catalogue.{verdict.status.value}"] += 1
        if progress.newest_as_of is not None:
            self._record_snapshot(progress.newest_as_of)
        if progress.is_changed:
            self._notify_change()
        self.is_caught_up |= not page.records

    def _record_snapshot(self, as_of: ids.Offset) -> None:
        if as_of <= self.newest_snapshot_offset:
            return
        self.newest_snapshot_offset = as_of
        # While catching up, the age of a snapshot is unknown, so it does not
        # delay the next one.
        if self.is_caught_up:
            self._postpone_snapshot()

    async def _follow_peers(self) -> None:
        previous_offset = ids.Offset(0)
        while True:
            await asyncio.sleep(self._randomize(self.settings.peer_interval_s))
            is_stalled = self.offset == previous_offset
            previous_offset = self.offset
            if is_stalled:
                await self._fetch_from_peers()

    async def _fetch_from_peers(self) -> None:
        is_state_known = self.follower.state is not None
        peers = [
            peer
            for peer in self.list_peers()
            if not is_state_known or (peer.offset or 0) > self.offset
        ]
        chosen_peers = self.rng.sample(peers, min(len(peers), MAX_PEERS_ASKED))
        for state in await asyncio.gather(*map(self._fetch, chosen_peers)):
            if state is not None and self.follower.adopt_state(state):
                self.counters["catalogue.peer_offers_taken"] += 1
                self._notify_change()

    async def _fetch(self, peer: Peer) -> catalogue_state.State | None:
        after = self.offset if self.follower.state else -1
        try:
            response = await self.platform_log.http.get(
                f"{peer.url.rstrip('/')}/v1/catalogue",
                params={"after": after},
                timeout=self.settings.peer_timeout_s,
            )
            response.raise_for_status()
            value = msgspec.json.decode(response.content)
        except (httpx.HTTPError, msgspec.DecodeError, RecursionError):
            self.counters["catalogue.peer_errors"] += 1
            return None
        if catalogue_snapshot.read_as_of(value) is None:
            return None
        parsed = catalogue_snapshot.parse_snapshot(value)
        if parsed.is_error():
            self.counters["catalogue.peer_errors"] += 1
        return parsed.default_value(None)

    async def _maintain_snapshot(self) -> None:
        while True:
            wait_s = self.snapshot_due - self.clock.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
                continue
            self._postpone_snapshot()
            await self._append_snapshot()

    async def _append_snapshot(self) -> None:
        state = self.follower.state
        if state is None or state.offset == 0 or self._is_searching():
            return
        snapshot = catalogue_snapshot.dump_snapshot(state)
        appended = await self.platform_log.append(
            catalogue_log.STREAM, [snapshot]
        )
        if appended.is_ok():
            self.counters["catalogue.snapshots_appended"] += 1
        else:
            self.counters["catalogue.log_errors"] += 1
            self.snapshot_due = self.clock.monotonic() + self._randomize(
                self.settings.poll_wait_s
            )

    def _notify_change(self) -> None:
        state = self.follower.state
        self.on_change(state.catalogue.copy(), state.offset)

    def _is_searching(self) -> bool:
        return self.follower.phase is catalogue_follow.Phase.SEARCHING

    def _postpone_snapshot(self) -> None:
        self.snapshot_due = self.clock.monotonic() + self._pick_snapshot_delay(
            self.settings.snapshot_age_ratio
        )

    def _pick_snapshot_delay(self, age_ratio: float) -> float:
        return self._randomize(self.settings.log_retention_s * age_ratio)

    def _randomize(self, mean_s: float) -> float:
        return mean_s * self.rng.uniform(0.5, 1.5)
