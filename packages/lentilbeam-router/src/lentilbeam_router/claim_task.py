"""Claims request keys in the log and reads the claims of other routers.

A request that must not be repeated runs only after its key has been claimed:

    result = await claims.obtain(key, deadline)
    if isinstance(result, ClaimWon):
        # Before each attempt at a target:
        if not claims.start_run(result):
            ...  # The claim has ended; don't run the request.
        # At the end, whatever happened:
        outcome = claims.settle(result, exchange)

`settle` returns the outcome given by `outcome.decide_outcome`. If the sending
to a target never began, the claim is revoked before `settle` returns, so that
this router can no longer run the request, and a release record is appended to
the log. Otherwise the outcome of the run is appended.
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
from lentilbeam_router import platform_log as platform_log_lib

STREAM = "claims"

# Answer reported for a failed append, by `LogError.is_certainly_not_appended`.
_FAILED_APPEND_ANSWERS = {
    True: claim_events.AppendAnswer.NOT_APPENDED,
    False: claim_events.AppendAnswer.UNKNOWN,
}


class ClaimTask:
    """Owns the claim state machine and performs its calls to the log.

    Attributes:
        state_machine: decides claims; does no I/O.
        platform_log: client of the log service.
        clock: the router's clock.
        pending_results: futures for results not given yet, by waiter ID.
        waiter_ids: source of waiter IDs. A waiter is one call of `obtain`.
        log_calls: running calls to the log.
        timer: timer for the next wakeup of the state machine, or None.
        result_counts: number of results given, by name of the result type.
        was_reachable: whether the log was reachable when last checked.
        flushed: set while nothing is left to append.
        logger: logger for state changes and errors.
    """

    def __init__(
        self,
        settings: claim_events.Settings,
        own_name: ids.InstanceId,
        incarnation: ids.Incarnation,
        platform_log: platform_log_lib.LogClient,
        clock: clock_lib.Clock,
    ):
        self.state_machine = claims_lib.ClaimStateMachine(
            settings, own_name, incarnation
        )
        self.platform_log = platform_log
        self.clock = clock
        self.pending_results: dict[
            int, asyncio.Future[claim_events.Result]
        ] = {}
        self.waiter_ids = itertools.count(1)
        self.log_calls: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.result_counts: dict[str, int] = {}
        self.was_reachable = True
        self.flushed = asyncio.Event()
        self.logger = structlog.get_logger("claims")

    def start(self) -> None:
        """Starts to read the stream. Must be called in a running event loop."""
        self._handle_event(claim_events.Ticked())

    async def obtain(
        self, key: request_key.RequestKey, deadline: float
    ) -> claim_events.Result:
        """Claims a key for a request.

        Args:
            key: the request's key, which must be well-formed.
            deadline: monotonic time after which the claim is not needed.

        Returns:
            `ClaimWon` if the caller of this method may run the request,
            `ClaimLost` if another claim holds the key, `ClaimRefused` if the
            request can't be claimed. If this call is cancelled, a claim that
            was won is released unused.
        """
        waiter_id = next(self.waiter_ids)
        future = asyncio.get_running_loop().create_future()
        self.pending_results[waiter_id] = future
        self._handle_event(
            claim_events.ClaimRequested(key, waiter_id, deadline)
        )
        try:
            return await future
        except asyncio.CancelledError:
            self._withdraw(key, waiter_id, future)
            raise
        finally:
            self.pending_results.pop(waiter_id, None)

    def look_up(
        self, key: request_key.RequestKey
    ) -> claim_events.ClaimLost | None:
        """Returns the claim that is known to hold the key, else None.

        The claim is described by a `ClaimLost`, although this call claims
        nothing. It doesn't wait.

        Check this before refusing a valid request as not run, whatever the
        reason: if its key is claimed, the request may have run.
        """
        return self.state_machine.look_up(key)

    def start_run(self, won_claim: claim_events.ClaimWon) -> bool:
        """Records that a run starts; returns False if the claim has ended.

        The request must then not be handed to a target.
        """
        return self.state_machine.start_run(
            won_claim.key, won_claim.claim, self._read_clocks()
        )

    def settle(
        self, won_claim: claim_events.ClaimWon, exchange: outcome.Exchange
    ) -> outcome.Outcome:
        """Ends a claim that was won; returns the outcome of its request.

        Args:
            won_claim: the claim.
            exchange: what is known of the exchange with targets.
        """
        self._handle_event(
            claim_events.RunSettled(won_claim.key, won_claim.claim, exchange),
        )
        return outcome.decide_outcome(exchange)

    async def stop(self, limit_s: float) -> bool:
        """Releases unused claims and appends all outstanding records.

        Args:
            limit_s: time limit, in seconds.

        Returns:
            Whether all records were appended in time.
        """
        self._handle_event(claim_events.StopRequested())
        try:
            async with asyncio.timeout(limit_s):
                await self.flushed.wait()
        except TimeoutError:
            self.logger.warning("claims not flushed")
        self.close()
        return self.state_machine.is_flushed

    def close(self) -> None:
        """Cancels the timer and all running calls to the log."""
        if self.timer is not None:
            self.timer.cancel()
        for call in self.log_calls:
            call.cancel()

    def _withdraw(
        self,
        key: request_key.RequestKey,
        waiter_id: int,
        future: asyncio.Future[claim_events.Result],
    ) -> None:
        is_decided = future.done() and not future.cancelled()
        if is_decided and isinstance(future.result(), claim_events.ClaimWon):
            self.settle(
                future.result(),
                outcome.Exchange(False, outcome.TargetEnd.NOT_STARTED),
            )
            return
        self._handle_event(claim_events.WaiterLeft(key, waiter_id))

    def _read_clocks(self) -> claim_events.Instant:
        wall_ms = self.clock.now().timestamp() * request_key.MS_PER_S
        return claim_events.Instant(self.clock.monotonic(), int(wall_ms))

    def _handle_event(self, event: claim_events.Event) -> None:
        for effect in self.state_machine.handle(event, self._read_clocks()):
            self._apply(effect)
        if self.state_machine.is_flushed:
            self.flushed.set()
        else:
            self.flushed.clear()
        self._log_reachability()
        self._set_timer()

    def _apply(self, effect: claim_events.Effect) -> None:
        match effect:
            case claim_events.DeliverResult(waiter_id, result):
                self._deliver_result(waiter_id, result)
            case claim_events.AppendRecords(records):
                unknown = claim_events.AppendAnswer.UNKNOWN
                ended = claim_events.AppendEnded(unknown)
                self._start_log_call(self._append(records), ended)
            case claim_events.ReadLog():
                self._start_log_call(
                    self._read(effect), claim_events.ReadFailed()
                )

    def _deliver_result(
        self, waiter_id: int, result: claim_events.Result
    ) -> None:
        name = type(result).__name__
        self.result_counts[name] = self.result_counts.get(name, 0) + 1
        future = self.pending_results.get(waiter_id)
        if future is not None and not future.done():
            future.set_result(result)
            return
        if isinstance(result, claim_events.ClaimWon):
            unused = outcome.Exchange(False, outcome.TargetEnd.NOT_STARTED)
            self.settle(result, unused)

    def _start_log_call(
        self,
        coroutine: Coroutine[None, None, None],
        event_on_failure: claim_events.Event,
    ) -> None:
        call = asyncio.get_running_loop().create_task(coroutine)
        self.log_calls.add(call)
        call.add_done_callback(
            lambda done: self._finish_log_call(done, event_on_failure)
        )

    def _finish_log_call(
        self, call: asyncio.Task[None], event_on_failure: claim_events.Event
    ) -> None:
        self.log_calls.discard(call)
        if call.cancelled() or call.exception() is None:
            return
        self.logger.error(
            "claim log call failed", detail=repr(call.exception())
        )
        self._handle_event(event_on_failure)

    async def _append(self, records: tuple[claim_records.Record, ...]) -> None:
        values = [claim_records.dump_record(record) for record in records]
        result = await self.platform_log.append(STREAM, values)
        answer = claim_events.AppendAnswer.APPENDED
        if result.is_error():
            answer = _FAILED_APPEND_ANSWERS[
                result.error.is_certainly_not_appended
            ]
        self._handle_event(claim_events.AppendEnded(answer))

    async def _read(self, read: claim_events.ReadLog) -> None:
        result = await self.platform_log.read(
            STREAM, read.start, read.limit, read.wait_s
        )
        if result.is_error():
            self._handle_event(claim_events.ReadFailed())
            return
        page = result.ok
        records = tuple(
            claim_events.StoredRecord(record.offset, record.value)
            for record in page.records
        )
        next_offset = max(read.start, page.oldest)
        if records:
            next_offset = ids.Offset(records[-1].offset + 1)
        self._handle_event(
            claim_events.PageRead(records, page.oldest, next_offset)
        )

    def _log_reachability(self) -> None:
        is_reachable = not self.state_machine.is_log_failing
        if is_reachable != self.was_reachable:
            self.was_reachable = is_reachable
            self.logger.info("claim log", is_reachable=is_reachable)

    def _set_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        wakeup = self.state_machine.next_wakeup()
        if wakeup is None:
            return
        delay = max(0.0, wakeup - self.clock.monotonic())
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(
            delay, self._handle_event, claim_events.Ticked()
        )
