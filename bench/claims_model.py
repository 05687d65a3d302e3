"""Model of a fleet whose routers claim keys through one log, in virtual time.

The routers use the real claim state machine; log, callers and targets are
simulated. An append or a read takes effect in one step and is answered in
another, and either step may be delayed or omitted. The model raises an error
as soon as a guarantee is violated.
"""

import collections
import dataclasses
import enum
from typing import Any

from lentilbeam_core import claim_events
from lentilbeam_core import claim_index
from lentilbeam_core import claim_records
from lentilbeam_core import claims
from lentilbeam_core import ids
from lentilbeam_core import outcome
from lentilbeam_core import request_key

START_WALL_MS = 1_800_000_000_000
"""Wall clock time at virtual time 0, in milliseconds since the Unix epoch."""

DEADLINES_S = (5.0, 5.0, 0.5)
"""Times to the deadline, assigned to attempts in turn."""

WORKSPACE = ids.WorkspaceId("w")
SETTINGS = claim_events.Settings(page_records=3, batch_records=4)
NOT_RUN = outcome.Exchange(False, outcome.TargetEnd.NOT_STARTED)
TARGET_ENDS = tuple(outcome.TargetEnd)[1:]


class Guarantee(enum.Enum):
    """Guarantees of the fleet; the values name their violations in reports.

    Attributes:
        RUN_AT_MOST_ONCE: a key reaches a target at most once.
        REFUSED_NEVER_RUNS: a refused attempt has not run and does not run. No
            attempt that the same router incarnation received earlier for the
            key runs after the refusal. A router does not refuse a key that it
            knows another one has claimed. Nothing runs after the claim window.
        ONE_ANSWER: each attempt gets one result, and it agrees with the
            outcome of the run.
    """

    RUN_AT_MOST_ONCE = "double_runs"
    REFUSED_NEVER_RUNS = "false_not_run"
    ONE_ANSWER = "wrong_ends"


class GuaranteeViolationError(AssertionError):
    """The fleet violated a guarantee.

    Attributes:
        guarantee: the violated guarantee.
    """

    def __init__(self, guarantee: Guarantee, detail: str):
        super().__init__(f"{guarantee.value}: {detail}")
        self.guarantee = guarantee


@dataclasses.dataclass(slots=True)
class CallerAttempt:
    """A caller's attempt to have the request with a certain key run.

    Attributes:
        number: identifies the attempt.
        key: key of the request.
        router: the router that the caller asked.
        incarnation: incarnation of that router when it was asked.
        asked_at_step: step at which the caller asked.
        won: the won claim; None if the attempt has not won.
        refused_at_step: step at which the caller was told that the request
            did not run; None if it was not told so.
        has_run: whether the request reached a target.
        has_final_result: whether the caller has its final result or hung up.
    """

    number: int
    key: request_key.RequestKey
    router: "RouterModel"
    incarnation: int
    asked_at_step: int
    won: claim_events.ClaimWon | None = None
    refused_at_step: int | None = None
    has_run: bool = False
    has_final_result: bool = False


@dataclasses.dataclass(slots=True)
class AppendInFlight:
    """An append that was sent to the log and is not yet answered.

    Attributes:
        values: the values to append.
        is_applied: whether the log has stored the values.
    """

    values: list[Any]
    is_applied: bool = False


class LogModel:
    """Model of the platform's log.

    Attributes:
        retention_s: time for which a record is kept, in seconds.
        oldest: offset of the oldest record that is kept.
        records: (append time, value) of each record that is kept.
        late_appends: unanswered appends that may still take effect.
        is_down: whether the log is unavailable.
    """

    def __init__(self, retention_s: float):
        self.retention_s = retention_s
        self.oldest = 1
        self.records: collections.deque[tuple[float, Any]] = collections.deque()
        self.late_appends: list[AppendInFlight] = []
        self.is_down = False

    @property
    def next_offset(self) -> int:
        """Offset of the next record to be appended."""
        return self.oldest + len(self.records)

    def apply(self, append: AppendInFlight, now: float) -> None:
        """Stores the values of an append."""
        append.is_applied = True
        self.records.extend((now, value) for value in append.values)

    def expire(self, now: float) -> None:
        """Deletes records that are older than the retention time."""
        while self.records and now - self.records[0][0] > self.retention_s:
            self.records.popleft()
            self.oldest += 1

    def read(self, start: int, limit: int) -> claim_events.PageRead:
        """Returns a page of at most `limit` records from offset `start`."""
        start = max(start, self.oldest)
        end = min(start + limit, self.next_offset)
        rows = tuple(
            claim_events.StoredRecord(
                ids.Offset(offset), self.records[offset - self.oldest][1]
            )
            for offset in range(start, end)
        )
        following = max(start, end)
        return claim_events.PageRead(rows, self.oldest, following)


class RouterModel:
    """A router with a real claim state machine and its calls to the log.

    Attributes:
        append: the append in flight, or None.
        read: the read in flight, or None.
        page: the log's answer to the read in flight; None before the answer.
        known_claims: index of the claims that the router has read.
    """

    def __init__(self, fleet: "FleetModel", name: str):
        self.fleet = fleet
        self.name = ids.InstanceId(name)
        self.incarnation = 0
        self.is_paused = False
        self.restart()

    def restart(self) -> None:
        """Starts a new incarnation with empty state."""
        self.incarnation += 1
        self.state_machine = claims.ClaimStateMachine(
            SETTINGS, self.name, ids.Incarnation(self.incarnation)
        )
        self.append: AppendInFlight | None = None
        self.read: claim_events.ReadLog | None = None
        self.page: claim_events.PageRead | None = None
        self.known_claims = claim_index.ClaimIndex(SETTINGS.max_keys)
        self.post(claim_events.Ticked())

    def post(self, event: claim_events.Event) -> None:
        """Posts an event to the state machine and carries out its effects."""
        for effect in self.state_machine.handle(event, self.fleet.instant):
            match effect:
                case claim_events.DeliverResult(waiter, result):
                    self.fleet.deliver_result(waiter, result)
                case claim_events.AppendRecords(records):
                    values = [claim_records.dump_record(r) for r in records]
                    self.append = AppendInFlight(values)
                case claim_events.ReadLog():
                    self.read = effect

    def answer_append(self, is_lost: bool, is_late: bool) -> None:
        """Ends the append in flight.

        Args:
            is_lost: whether the answer is lost. The router then can't tell
                whether the append took effect.
            is_late: whether an append with a lost answer may take effect
                later, possibly a second time.
        """
        append, self.append = self.append, None
        if append is None:
            return
        if append.is_applied:
            answer = claim_events.AppendAnswer.APPENDED
        else:
            answer = claim_events.AppendAnswer.NOT_APPENDED
        if is_lost:
            answer = claim_events.AppendAnswer.UNKNOWN
            if is_late:
                self.fleet.log.late_appends.append(append)
        self.post(claim_events.AppendEnded(answer))

    def serve_append(self) -> None:
        """Applies the append in flight; `answer_append` delivers the answer."""
        append = self.append
        if append and not append.is_applied and not self.fleet.log.is_down:
            self.fleet.log.apply(append, self.fleet.elapsed_s)

    def serve_read(self) -> None:
        """Serves the read in flight; `answer_read` delivers the answer."""
        if self.read and self.page is None and not self.fleet.log.is_down:
            self.page = self.fleet.log.read(self.read.start, self.read.limit)

    def answer_read(self) -> None:
        """Ends the read in flight; it fails if the log has not served it."""
        if self.read is None:
            return
        page, self.read, self.page = self.page, None, None
        if page is None:
            self.post(claim_events.ReadFailed())
            return
        for stored in page.records:
            self.known_claims.apply(claim_records.parse_record(stored.value))
        self.post(page)


class FleetModel:
    """Model of routers, log, callers and targets that checks the guarantees.

    Attributes:
        elapsed_s: virtual time since the start, in seconds.
        step: number of steps taken; serves as a logical clock.
        log: the log that all routers share.
        keys: all requested keys, oldest first.
        attempts: attempts by number.
        winners: attempts that won a claim and have not ended.
        runs: attempts whose request reached a target, by key.
        outcome_by_key: outcome of the run, by key.
        refused_attempts: attempts that were told "not run", by key.
        counts: number of events by name.
        routers: all routers.
    """

    def __init__(self, names: str = "abc"):
        self.elapsed_s = 0.0
        self.step = 0
        self.log = LogModel(SETTINGS.window.log_retention_s)
        self.keys: list[request_key.RequestKey] = []
        self.attempts: dict[int, CallerAttempt] = {}
        self.winners: list[CallerAttempt] = []
        self.runs: dict[request_key.RequestKey, list[CallerAttempt]] = {}
        self.outcome_by_key: dict[request_key.RequestKey, outcome.Outcome] = {}
        self.refused_attempts: collections.defaultdict[
            request_key.RequestKey, list[CallerAttempt]
        ] = collections.defaultdict(list)
        self.counts: collections.Counter[str] = collections.Counter()
        self.routers = [RouterModel(self, name) for name in names]

    @property
    def instant(self) -> claim_events.Instant:
        """The current time."""
        wall_ms = START_WALL_MS + int(self.elapsed_s * request_key.MS_PER_S)
        return claim_events.Instant(self.elapsed_s, wall_ms)

    def advance(self, seconds: float) -> None:
        """Advances the time; routers that aren't paused get a tick."""
        self.elapsed_s += seconds
        self.log.expire(self.elapsed_s)
        for router in self.routers:
            if not router.is_paused:
                router.post(claim_events.Ticked())

    def request_claim(
        self, router: RouterModel, key_choice: int, age_s: float
    ) -> None:
        """Asks a router to claim a key on behalf of a caller.

        Args:
            router: the router that is asked.
            key_choice: 0 for a new key, n for the n-th newest key.
            age_s: age of a new key, in seconds.
        """
        if key_choice == 0 or not self.keys:
            timestamp_ms = self.instant.wall_ms - int(age_s * 1000)
            request = request_key.build_request_id(timestamp_ms, self.step)
            self.keys.append(request_key.RequestKey(WORKSPACE, request))
            key_choice = 1
        key = self.keys[-min(key_choice, len(self.keys))]
        number = len(self.attempts) + 1
        self.attempts[number] = CallerAttempt(
            number, key, router, router.incarnation, self.step
        )
        self.counts["asked"] += 1
        deadline_s = DEADLINES_S[number % len(DEADLINES_S)]
        deadline = self.elapsed_s + deadline_s
        router.post(claim_events.ClaimRequested(key, number, deadline))

    def hang_up(self, number: int) -> None:
        """Lets the caller of an attempt hang up while it waits."""
        attempt = self.attempts.get(number)
        if attempt is None or attempt.won or attempt.has_final_result:
            return
        if attempt.router.incarnation == attempt.incarnation:
            attempt.has_final_result = True
            left = claim_events.WaiterLeft(attempt.key, number)
            attempt.router.post(left)

    def deliver_result(self, waiter: int, result: claim_events.Result) -> None:
        """Delivers a claim's result to an attempt.

        Raises:
            GuaranteeViolationError: the result violates a guarantee.
        """
        attempt = self.attempts[waiter]
        self.counts[type(result).__name__] += 1
        if attempt.has_final_result or attempt.won:
            raise GuaranteeViolationError(
                Guarantee.ONE_ANSWER, f"second result: {result}"
            )
        match result:
            case claim_events.ClaimWon():
                attempt.won = result
                self.winners.append(attempt)
                return
            case claim_events.ClaimLost(_, _, _, run_outcome):
                if (
                    run_outcome is not None
                    and run_outcome is not self.outcome_by_key[attempt.key]
                ):
                    raise GuaranteeViolationError(
                        Guarantee.ONE_ANSWER, str(result)
                    )
            case claim_events.ClaimRefused(_, reason, _):
                self.counts[f"refused.{reason.value}"] += 1
                self._check_no_known_claim(attempt, reason)
                if self.runs.get(attempt.key):
                    # Not a violation: this router has not read the claim of
                    # the run, or the key is older than the key retention.
                    name = f"{reason.value} beside an unread run"
                    self.counts[name] += 1
                self._note_not_run(attempt)
        attempt.has_final_result = True

    def dispatch(self, index: int, is_reached: bool) -> None:
        """Lets a winner dispatch its request to a target.

        Args:
            index: selects the winner, modulo the number of winners.
            is_reached: False if the target refuses the connection.

        Raises:
            GuaranteeViolationError: the run violates a guarantee.
        """
        attempt = self._get_winner(index)
        if attempt is None or attempt.has_run:
            return
        won = attempt.won
        state_machine = attempt.router.state_machine
        if not state_machine.start_run(won.key, won.claim, self.instant):
            self._end_attempt(attempt, NOT_RUN)
            return
        if not is_reached:
            self.counts["connection refused"] += 1
            return
        attempt.has_run = True
        self.counts["runs"] += 1
        runs = self.runs.setdefault(attempt.key, [])
        runs.append(attempt)
        self._check_run(attempt, runs)

    def end_exchange(self, index: int, end: outcome.TargetEnd) -> None:
        """Ends a winner's attempt.

        Args:
            index: selects the winner, modulo the number of winners.
            end: how the exchange with the target ended; ignored if the
                request did not reach a target.
        """
        attempt = self._get_winner(index)
        if attempt is None:
            return
        exchange = NOT_RUN
        if attempt.has_run:
            exchange = outcome.Exchange(True, end)
        self._end_attempt(attempt, exchange)

    def kill(self, router: RouterModel) -> None:
        """Kills a router and restarts it with empty state."""
        if router.append is not None and not router.append.is_applied:
            self.log.late_appends.append(router.append)
        self.winners = [w for w in self.winners if w.router is not router]
        self.counts["kills"] += 1
        router.restart()

    def stop(self, router: RouterModel) -> None:
        """Requests a graceful stop; the router completes its runs."""
        self.counts["stops"] += 1
        router.post(claim_events.StopRequested())

    def _get_winner(self, index: int) -> CallerAttempt | None:
        if not self.winners:
            return None
        attempt = self.winners[index % len(self.winners)]
        return None if attempt.router.is_paused else attempt

    def _end_attempt(
        self, attempt: CallerAttempt, exchange: outcome.Exchange
    ) -> None:
        self.winners.remove(attempt)
        attempt.has_final_result = True
        run_outcome = outcome.decide_outcome(exchange)
        self.counts[f"ended.{run_outcome.value}"] += 1
        if run_outcome is outcome.Outcome.REFUSED_NOT_RUN:
            if attempt.has_run:
                raise GuaranteeViolationError(
                    Guarantee.REFUSED_NEVER_RUNS, "the request had run"
                )
            self._note_not_run(attempt)
        else:
            self.outcome_by_key[attempt.key] = run_outcome
        won = attempt.won
        attempt.router.post(
            claim_events.RunSettled(won.key, won.claim, exchange)
        )

    def _note_not_run(self, attempt: CallerAttempt) -> None:
        attempt.refused_at_step = self.step
        self.refused_attempts[attempt.key].append(attempt)

    def _check_no_known_claim(
        self, attempt: CallerAttempt, reason: outcome.RefusalReason
    ) -> None:
        router = attempt.router
        key_retention_ms = SETTINGS.window.key_retention_ms
        if self._get_age_ms(attempt.key) > key_retention_ms:
            return
        holder = router.known_claims.get_holder(attempt.key)
        own = (router.name, router.incarnation)
        if holder and (holder.instance, holder.incarnation) != own:
            raise GuaranteeViolationError(
                Guarantee.REFUSED_NEVER_RUNS,
                f"{reason} although a claim was known",
            )

    def _get_age_ms(self, key: request_key.RequestKey) -> int:
        timestamp_ms = request_key.read_timestamp_ms(key.request_id)
        return self.instant.wall_ms - timestamp_ms

    def _check_run(
        self, attempt: CallerAttempt, runs: list[CallerAttempt]
    ) -> None:
        if len(runs) > 1:
            raise GuaranteeViolationError(
                Guarantee.RUN_AT_MOST_ONCE, str(attempt.key)
            )
        window_ms = SETTINGS.window.claim_window_s * request_key.MS_PER_S
        if self._get_age_ms(attempt.key) > window_ms:
            raise GuaranteeViolationError(
                Guarantee.REFUSED_NEVER_RUNS, "ran after the claim window"
            )
        incarnation = (attempt.router.name, attempt.incarnation)
        for refused in self.refused_attempts[attempt.key]:
            is_same_incarnation = (
                refused.router.name,
                refused.incarnation,
            ) == incarnation
            if refused is attempt or (
                is_same_incarnation
                and refused.refused_at_step >= attempt.asked_at_step
            ):
                raise GuaranteeViolationError(
                    Guarantee.REFUSED_NEVER_RUNS, "ran after a refusal"
                )
            if refused.refused_at_step >= attempt.asked_at_step:
                # Not a violation: a refusal covers only the refusing router's
                # incarnation.
                self.counts["ran beside a refusal elsewhere"] += 1
