"""The task that owns a router's claims and their stream in the log.

The way of a request that must not be repeated:

    result = await claims.obtain(key, deadline)
    if it is a `ClaimWon`: before each try at a target
        if not claims.start_run(result): the request was not run
    in the end, whatever happened:
        outcome = claims.settle(result, exchange)

`settle` decides by `outcome.decide_outcome`: if no byte was handed over, the
claim is barred and released before `settle` returns; else the end is noted.
"""

import asyncio
from collections.abc import Coroutine
import itertools

import structlog

from lentilbeam_core import claim_events
from lentilbeam_core import claim_records
from lentilbeam_core import claims as claims_lib
from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ids
from lentilbeam_core import outcome
from lentilbeam_core import request_key
from lentilbeam_router import platform_log

STREAM = "claims"

_ANSWERS = {
    True: claim_events.AppendAnswer.NOT_APPENDED,
    False: claim_events.AppendAnswer.UNKNOWN,
}


class ClaimTask:
    """Owns the claim book; does its appends and reads.

    Attributes:
        counts: how many results of each kind were given, by name.
    """

    def __init__(
        self,
        settings: claim_events.Settings,
        me: ids.InstanceId,
        incarnation: ids.Incarnation,
        log: platform_log.LogClient,
        clock: clock_lib.Clock,
    ):
        self.book = claims_lib.ClaimStateMachine(settings, me, incarnation)
        self.log = log
        self.clock = clock
        self.waiters: dict[int, asyncio.Future[claim_events.Result]] = {}
        self.numbers = itertools.count(1)
        self.calls: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.counts: dict[str, int] = {}
        self.was_reachable = True
        self.flushed = asyncio.Event()
        self.logger = structlog.get_logger("claims")

    def start(self) -> None:
        """Starts to read the stream; to be called in a running loop."""
        self._post(claim_events.Ticked())

    async def obtain(
        self, key: request_key.RequestKey, deadline: float
    ) -> claim_events.Result:
        """Claims a key for a request.

        Args:
            key: the request's key, well-formed.
            deadline: monotonic time after which the claim is of no use.

        Returns:
            Whether the caller of this method may run the request. If this
            call is cancelled, its request won't have been run.
        """
        waiter = next(self.numbers)
        future = asyncio.get_running_loop().create_future()
        self.waiters[waiter] = future
        self._post(claim_events.ClaimRequested(key, waiter, deadline))
        try:
            return await future
        except asyncio.CancelledError:
            self._withdraw(key, waiter, future)
            raise
        finally:
            self.waiters.pop(waiter, None)

    def look_up(
        self, key: request_key.RequestKey
    ) -> claim_events.ClaimLost | None:
        """Returns whose claim is known to hold the key, without waiting.

        To be asked before any refusal as not run, for whatever reason.
        """
        return self.book.look_up(key)

    def start_run(self, won: claim_events.ClaimWon) -> bool:
        """Returns whether the request may be handed to a target now."""
        return self.book.start_run(won.key, won.claim, self._read_clocks())

    def settle(
        self, won: claim_events.ClaimWon, exchange: outcome.Exchange
    ) -> outcome.Outcome:
        """Ends a claim that was won; returns what is true of its request."""
        self._post(
            claim_events.RunSettled(won.key, won.claim, exchange),
        )
        return outcome.decide_outcome(exchange)

    async def stop(self, limit_s: float) -> bool:
        """Releases unused claims and appends what is left to append.

        Args:
            limit_s: longest time to take.

        Returns:
            Whether all was appended.
        """
        self._post(claim_events.StopRequested())
        try:
            async with asyncio.timeout(limit_s):
                await self.flushed.wait()
        except TimeoutError:
            self.logger.warning("claims not flushed")
        self.close()
        return self.book.is_flushed

    def close(self) -> None:
        """Ends all calls to the log at once."""
        if self.timer is not None:
            self.timer.cancel()
        for call in self.calls:
            call.cancel()

    def _withdraw(
        self,
        key: request_key.RequestKey,
        waiter: int,
        future: asyncio.Future[claim_events.Result],
    ) -> None:
        is_decided = future.done() and not future.cancelled()
        if is_decided and isinstance(future.result(), claim_events.ClaimWon):
            self.settle(
                future.result(),
                outcome.Exchange(False, outcome.TargetEnd.NOT_STARTED),
            )
            return
        self._post(claim_events.WaiterLeft(key, waiter))

    def _read_clocks(self) -> claim_events.Instant:
        wall_ms = self.clock.now().timestamp() * request_key.MS_PER_S
        return claim_events.Instant(self.clock.monotonic(), int(wall_ms))

    def _post(self, event: claim_events.Event) -> None:
        for effect in self.book.handle(event, self._read_clocks()):
            self._apply(effect)
        if self.book.is_flushed:
            self.flushed.set()
        else:
            self.flushed.clear()
        self._note_reachability()
        self._set_timer()

    def _apply(self, effect: claim_events.Effect) -> None:
        match effect:
            case claim_events.DeliverResult(waiter, result):
                self._tell(waiter, result)
            case claim_events.AppendRecords(records):
                unknown = claim_events.AppendAnswer.UNKNOWN
                ended = claim_events.AppendEnded(unknown)
                self._call(self._append(records), ended)
            case claim_events.ReadLog():
                self._call(self._read(effect), claim_events.ReadFailed())

    def _tell(self, waiter: int, result: claim_events.Result) -> None:
        name = type(result).__name__
        self.counts[name] = self.counts.get(name, 0) + 1
        future = self.waiters.get(waiter)
        if future is not None and not future.done():
            future.set_result(result)
            return
        if isinstance(result, claim_events.ClaimWon):
            unused = outcome.Exchange(False, outcome.TargetEnd.NOT_STARTED)
            self.settle(result, unused)

    def _call(
        self,
        coroutine: Coroutine[None, None, None],
        on_fault: claim_events.Event,
    ) -> None:
        call = asyncio.get_running_loop().create_task(coroutine)
        self.calls.add(call)
        call.add_done_callback(lambda done: self._end_call(done, on_fault))

    def _end_call(
        self, call: asyncio.Task[None], on_fault: claim_events.Event
    ) -> None:
        self.calls.discard(call)
        if call.cancelled() or call.exception() is None:
            return
        self.logger.error(
            "claim log call failed", detail=repr(call.exception())
        )
        self._post(on_fault)

    async def _append(self, records: tuple[claim_records.Record, ...]) -> None:
        values = [claim_records.dump_record(record) for record in records]
        result = await self.log.append(STREAM, values)
        answer = claim_events.AppendAnswer.APPENDED
        if result.is_error():
            answer = _ANSWERS[result.error.is_certainly_not_appended]
        self._post(claim_events.AppendEnded(answer))

    async def _read(self, read: claim_events.ReadLog) -> None:
        result = await self.log.read(
            STREAM, read.start, read.limit, read.wait_s
        )
        if result.is_error():
            self._post(claim_events.ReadFailed())
            return
        page = result.ok
        records = tuple(
            claim_events.StoredRecord(record.offset, record.value)
            for record in page.records
        )
        next_offset = max(read.start, page.oldest)
        if records:
            next_offset = ids.Offset(records[-1].offset + 1)
        self._post(claim_events.PageRead(records, page.oldest, next_offset))

    def _note_reachability(self) -> None:
        is_reachable = not self.book.is_log_failing
        if is_reachable != self.was_reachable:
            self.was_reachable = is_reachable
            self.logger.info("claim log", is_reachable=is_reachable)

    def _set_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        wakeup = self.book.next_wakeup()
        if wakeup is None:
            return
        delay = max(0.0, wakeup - self.clock.monotonic())
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(delay, self._post, claim_events.Ticked())
