"""The router's reader of the catalogue.

Two loops share one follower: one reads the log by long poll, the other asks
a peer for its state as soon as a peer has been ahead for a while, whatever
keeps this router behind. A third keeps a snapshot in the log that is younger
than a part of the log's retention.
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
from lentilbeam_router import platform_log

MAX_PEERS_ASKED = 3

OnChange = Callable[[catalogue_lib.Catalogue, ids.Offset], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the reader; times in seconds.

    Attributes:
        page_limit: records asked for at once.
        poll_s: how long a read waits for new records.
        retry_s: pause after a failed read, on average.
        peer_interval_s: pause between looks at what peers offer.
        peer_timeout_s: time allowed for a peer's answer.
        log_retention_s: how long the log keeps records.
        snapshot_share: part of the retention after which the newest
            snapshot in the log is too old.
        first_snapshot_share: part of the retention after which a router
            that just started takes the newest snapshot for too old.
    """

    page_limit: int = 1000
    poll_s: float = 1.0
    retry_s: float = 0.2
    peer_interval_s: float = 0.25
    peer_timeout_s: float = 2.0
    log_retention_s: float = 3600.0
    snapshot_share: float = 0.25
    first_snapshot_share: float = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """A peer that may know the catalogue.

    Attributes:
        url: where it serves `GET /v1/catalogue`.
        offset: what its heartbeats say is in force there; None if unheard.
    """

    url: str
    offset: ids.Offset | None = None


def list_no_peers() -> list[Peer]:
    """Returns the peers of a router that has none."""
    return []


class CatalogueReader:
    """Keeps the catalogue in force and calls back when it has changed.

    Attributes:
        counters: of records, verdicts, errors and snapshots; the names
            begin with `catalogue.`.
        list_peers: returns the peers that may be asked at the moment.
    """

    def __init__(
        self,
        log: platform_log.LogClient,
        clock: clock_lib.Clock,
        on_change: OnChange,
        settings: Settings | None = None,
        list_peers: Callable[[], list[Peer]] = list_no_peers,
        rng: random.Random | None = None,
        counters: collections.Counter[str] | None = None,
    ):
        self.log = log
        self.clock = clock
        self.on_change = on_change
        self.settings = settings or Settings()
        self.list_peers = list_peers
        self.rng = rng or random.Random()
        self.follower = catalogue_follow.Follower()
        self.counters = collections.Counter() if counters is None else counters
        self.newest_snapshot = ids.Offset(0)
        self.is_caught_up = False
        self.snapshot_due = clock.monotonic() + self._jitter(
            self.settings.first_snapshot_share
        )

    @property
    def offset(self) -> ids.Offset:
        """The last record of the log that is evaluated here."""
        return self.follower.offset

    async def run(self) -> None:
        """Follows the catalogue until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_log())
            group.create_task(self._follow_peers())
            group.create_task(self._keep_snapshot())

    def build_export(self, after: int = -1) -> dict[str, Any]:
        """Returns the JSON of `GET /v1/catalogue`.

        It is the snapshot as of `offset`, or the offset alone if that is not
        beyond `after` or nothing is known yet.
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
                await asyncio.sleep(self._pick(self.settings.retry_s))
                continue
            self._take_page(read.ok)
            if not read.ok.records and self._is_searching():
                await asyncio.sleep(self._pick(self.settings.retry_s))

    async def _read_page(
        self,
    ) -> expression.Result[platform_log.Page, platform_log.LogError]:
        wait_s = 0.0 if self._is_searching() else self.settings.poll_s
        return await self.log.read(
            catalogue_log.STREAM,
            self.follower.next_read_offset,
            self.settings.page_limit,
            wait_s,
        )

    def _take_page(self, page: platform_log.Page) -> None:
        gaps = self.follower.gap_count
        progress = self.follower.apply_page(page)
        self.counters["catalogue.gaps"] += self.follower.gap_count - gaps
        self.counters["catalogue.records"] += len(page.records)
        for verdict in progress.verdicts:
            self.counters[f"catalogue.{verdict.status.value}"] += 1
        if progress.newest_as_of is not None:
            self._see_snapshot(progress.newest_as_of)
        if progress.is_changed:
            self._report()
        self.is_caught_up |= not page.records

    def _see_snapshot(self, as_of: ids.Offset) -> None:
        if as_of <= self.newest_snapshot:
            return
        self.newest_snapshot = as_of
        # Snapshots read while catching up may be of any age.
        if self.is_caught_up:
            self._put_off_snapshot()

    async def _follow_peers(self) -> None:
        since = ids.Offset(0)
        while True:
            await asyncio.sleep(self._pick(self.settings.peer_interval_s))
            is_stuck = self.offset == since
            since = self.offset
            if is_stuck:
                await self._ask_peers()

    async def _ask_peers(self) -> None:
        known = self.follower.state is not None
        peers = [
            peer
            for peer in self.list_peers()
            if not known or (peer.offset or 0) > self.offset
        ]
        asked = self.rng.sample(peers, min(len(peers), MAX_PEERS_ASKED))
        for state in await asyncio.gather(*map(self._fetch, asked)):
            if state is not None and self.follower.adopt_state(state):
                self.counters["catalogue.peer_offers_taken"] += 1
                self._report()

    async def _fetch(self, peer: Peer) -> catalogue_state.State | None:
        after = self.offset if self.follower.state else -1
        try:
            response = await self.log.http.get(
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

    async def _keep_snapshot(self) -> None:
        while True:
            wait_s = self.snapshot_due - self.clock.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
                continue
            self._put_off_snapshot()
            await self._append_snapshot()

    async def _append_snapshot(self) -> None:
        state = self.follower.state
        if state is None or state.offset == 0 or self._is_searching():
            return
        snapshot = catalogue_snapshot.dump_snapshot(state)
        appended = await self.log.append(catalogue_log.STREAM, [snapshot])
        if appended.is_ok():
            self.counters["catalogue.snapshots_appended"] += 1
        else:
            self.counters["catalogue.log_errors"] += 1
            self.snapshot_due = self.clock.monotonic() + self._pick(
                self.settings.poll_s
            )

    def _report(self) -> None:
        state = self.follower.state
        self.on_change(state.catalogue.copy(), state.offset)

    def _is_searching(self) -> bool:
        return self.follower.phase is catalogue_follow.Phase.SEARCHING

    def _put_off_snapshot(self) -> None:
        self.snapshot_due = self.clock.monotonic() + self._jitter(
            self.settings.snapshot_share
        )

    def _jitter(self, share: float) -> float:
        return self._pick(self.settings.log_retention_s * share)

    def _pick(self, mean_s: float) -> float:
        return mean_s * self.rng.uniform(0.5, 1.5)
