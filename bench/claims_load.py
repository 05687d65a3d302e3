"""Generates load on claim state machines, in virtual time.

The simulated log answers with given delays.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from bench import claims_model
from lentilbeam_core import claim_events
from lentilbeam_core import claim_records
from lentilbeam_core import claims
from lentilbeam_core import ids
from lentilbeam_core import outcome
from lentilbeam_core import request_key

DEADLINE_S = 60.0
COMPLETED_EXCHANGE = outcome.Exchange(True, outcome.TargetEnd.WHOLE_ANSWER)


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Parameters of a load.

    Attributes:
        routers: number of claim state machines that share the log.
        requests_per_s: arrival rate at each router. If 0, each router has one
            caller that sends its next request when the last has ended.
        duration_s: duration of the simulation, in virtual seconds.
        append_s: latency of an append, in seconds.
        read_s: latency of a read without the wait for records, in seconds.
        run_s: time from winning a claim to the end of its run, in seconds.
    """

    routers: int
    requests_per_s: float
    duration_s: float = 30.0
    append_s: float = 0.010
    read_s: float = 0.008
    run_s: float = 0.050


@dataclasses.dataclass(slots=True)
class Totals:
    """Measurements over all routers.

    Attributes:
        asked: requested claims.
        won: won claims.
        appends: calls that append to the log.
        reads: calls that read the log.
        records: appended records.
        latencies_s: time from request to win of each won claim, in seconds.
    """

    asked: int = 0
    won: int = 0
    appends: int = 0
    reads: int = 0
    records: int = 0
    latencies_s: list[float] = dataclasses.field(default_factory=list)

    def get_latency_s(self, fraction: float) -> float:
        """Returns the latency quantile, in seconds; `fraction` is in [0, 1]."""
        ordered = sorted(self.latencies_s)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


class LoadedFleet:
    """Event-driven simulation of claim state machines and their log.

    Attributes:
        queue: heap of (time, sequence number, function to call).
        waiting_reads: reads that wait for new records.
    """

    def __init__(self, load: Load, seed: int):
        self.load = load
        self.rng = random.Random(seed)
        self.settings = claim_events.Settings()
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.totals = Totals()
        self.log = claims_model.LogModel(1e9)
        self.waiting_reads: list[tuple[LoadedRouter, claim_events.ReadLog]] = []

    def call_later(self, delay_s: float, call: Callable[[], None]) -> None:
        """Schedules a call after `delay_s` virtual seconds."""
        entry = (self.now + delay_s, next(self.order), call)
        heapq.heappush(self.queue, entry)

    def run(self) -> Totals:
        """Runs the simulation; returns the measurements."""
        for number in range(self.load.routers):
            LoadedRouter(self, str(number)).start()
        while self.queue and self.queue[0][0] <= self.load.duration_s:
            self.now, _, call = heapq.heappop(self.queue)
            call()
        return self.totals

    def apply(self, append: claims_model.AppendInFlight) -> None:
        """Stores the values of an append and answers waiting reads."""
        self.log.apply(append, self.now)
        waiting_reads, self.waiting_reads = self.waiting_reads, []
        for router, read in waiting_reads:
            self.answer_read(router, read)

    def answer_read(
        self, router: "LoadedRouter", read: claim_events.ReadLog
    ) -> None:
        """Reads a page from the log and schedules its delivery."""
        page = self.log.read(read.start, read.limit)
        self.call_later(self.load.read_s / 2, lambda: router.post(page))


class LoadedRouter:
    """A claim state machine under load."""

    def __init__(self, fleet: LoadedFleet, name: str):
        self.fleet = fleet
        self.state_machine = claims.ClaimStateMachine(
            fleet.settings, ids.InstanceId(name), ids.Incarnation(1)
        )
        self.name = name
        self.requested_at: list[float] = []
        self.next_wakeup_at = float("inf")

    def start(self) -> None:
        """Starts reading the log and sending requests."""
        self.post(claim_events.Ticked())
        self.fleet.call_later(0.0, self._request_claim)

    def post(self, event: claim_events.Event) -> None:
        """Posts an event to the state machine and carries out its effects."""
        wall_ms = claims_model.START_WALL_MS + int(self.fleet.now * 1000)
        now = claim_events.Instant(self.fleet.now, wall_ms)
        for effect in self.state_machine.handle(event, now):
            match effect:
                case claim_events.DeliverResult(
                    waiter, claim_events.ClaimWon(key, claim)
                ):
                    self._start_run(waiter, key, claim)
                case claim_events.AppendRecords(records):
                    self._append(records)
                case claim_events.ReadLog():
                    self._read(effect)
        self._schedule_wakeup()

    def _request_claim(self) -> None:
        fleet = self.fleet
        if fleet.load.requests_per_s:
            interval_s = fleet.rng.expovariate(fleet.load.requests_per_s)
            fleet.call_later(interval_s, self._request_claim)
        wall_ms = claims_model.START_WALL_MS + int(fleet.now * 1000)
        request = request_key.build_request_id(
            wall_ms, fleet.rng.getrandbits(74)
        )
        key = request_key.RequestKey(claims_model.WORKSPACE, request)
        fleet.totals.asked += 1
        waiter = len(self.requested_at)
        self.requested_at.append(fleet.now)
        deadline = fleet.now + DEADLINE_S
        self.post(claim_events.ClaimRequested(key, waiter, deadline))

    def _start_run(
        self,
        waiter: int,
        key: request_key.RequestKey,
        claim: claim_records.ClaimId,
    ) -> None:
        fleet = self.fleet
        fleet.totals.won += 1
        fleet.totals.latencies_s.append(fleet.now - self.requested_at[waiter])
        wall_ms = claims_model.START_WALL_MS + int(fleet.now * 1000)
        instant = claim_events.Instant(fleet.now, wall_ms)
        assert self.state_machine.start_run(key, claim, instant)
        settled = claim_events.RunSettled(key, claim, COMPLETED_EXCHANGE)
        fleet.call_later(fleet.load.run_s, lambda: self._end_run(settled))

    def _end_run(self, settled: claim_events.RunSettled) -> None:
        self.post(settled)
        if not self.fleet.load.requests_per_s:
            self._request_claim()

    def _append(self, records: tuple[claim_records.Record, ...]) -> None:
        fleet = self.fleet
        fleet.totals.appends += 1
        fleet.totals.records += len(records)
        values = [claim_records.dump_record(record) for record in records]
        append = claims_model.AppendInFlight(values)
        half_s = fleet.load.append_s / 2
        ended = claim_events.AppendEnded(claim_events.AppendAnswer.APPENDED)
        fleet.call_later(half_s, lambda: fleet.apply(append))
        fleet.call_later(2 * half_s, lambda: self.post(ended))

    def _read(self, read: claim_events.ReadLog) -> None:
        self.fleet.totals.reads += 1
        half_s = self.fleet.load.read_s / 2
        self.fleet.call_later(half_s, lambda: self._serve_or_wait(read))

    def _serve_or_wait(self, read: claim_events.ReadLog) -> None:
        fleet = self.fleet
        has_records = fleet.log.next_offset > read.start
        if has_records or not read.wait_s:
            fleet.answer_read(self, read)
            return
        waiting_read = (self, read)
        fleet.waiting_reads.append(waiting_read)
        fleet.call_later(read.wait_s, lambda: self._end_wait(waiting_read))

    def _end_wait(
        self, waiting_read: tuple["LoadedRouter", claim_events.ReadLog]
    ) -> None:
        if waiting_read in self.fleet.waiting_reads:
            self.fleet.waiting_reads.remove(waiting_read)
            self.fleet.answer_read(*waiting_read)

    def _schedule_wakeup(self) -> None:
        wakeup = self.state_machine.next_wakeup()
        if wakeup is None or wakeup >= self.next_wakeup_at:
            return
        self.next_wakeup_at = wakeup
        delay_s = max(0.0, wakeup - self.fleet.now)
        self.fleet.call_later(delay_s, self._wake)

    def _wake(self) -> None:
        self.next_wakeup_at = float("inf")
        self.post(claim_events.Ticked())
