"""Settings, events, effects and results of the claim state machine.

Ages of keys are measured by the wall clock, all waiting by the monotonic
clock; an `Instant` holds both.
"""

import dataclasses
import enum
from typing import Any

from lentilbeam_core import backoff
from lentilbeam_core import claim_records
from lentilbeam_core import ids
from lentilbeam_core import outcome
from lentilbeam_core import request_key


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the claim state machine; times in seconds.

    Attributes:
        window: ages at which keys can be claimed, and log retention.
        log_backoff: back-off after failed calls to the log.
        append_interval_s: minimum time between the starts of two appends.
        closing_record_linger_s: maximum time that a closing record waits for
            a claim to share an append with.
        read_interval_s: minimum time between the starts of two reads.
        idle_read_interval_s: minimum time between the starts of two reads
            while no attempt needs a read.
        read_wait_s: how long a read waits at the log for records, if
            records are expected.
        decision_timeout_s: maximum time that an attempt stays undecided.
        batch_records: maximum number of records in one append.
        page_records: maximum number of records in one read.
        max_undecided: maximum number of undecided attempts.
        max_closing_records: maximum number of closing records that wait to
            be appended.
        max_keys: maximum number of keys in the index.
    """

    window: request_key.KeyWindow = request_key.KeyWindow()
    log_backoff: backoff.Settings = backoff.Settings()
    append_interval_s: float = 0.05
    closing_record_linger_s: float = 0.1
    read_interval_s: float = 0.01
    idle_read_interval_s: float = 1.0
    read_wait_s: float = 0.2
    decision_timeout_s: float = 1.0
    batch_records: int = 256
    page_records: int = 1000
    max_undecided: int = 4096
    max_closing_records: int = 65536
    max_keys: int = 65536


@dataclasses.dataclass(frozen=True, slots=True)
class Instant:
    """A point in time on both clocks.

    Attributes:
        monotonic: monotonic time, in seconds.
        wall_ms: wall-clock time, in milliseconds since 1970.
    """

    monotonic: float
    wall_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequested:
    """A request needs a claim of its key.

    Attributes:
        key: the request's key.
        waiter: number by which the result is delivered, exactly once unless
            the waiter leaves.
        deadline: monotonic time after which the result is of no use.
    """

    key: request_key.RequestKey
    waiter: int
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class WaiterLeft:
    """A waiter needs no result any more; its request won't be run."""

    key: request_key.RequestKey
    waiter: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunSettled:
    """The run under a won claim is over, or won't begin.

    Attributes:
        key: the request's key.
        claim: the claim that won the key.
        exchange: what is known about the exchange with targets.
    """

    key: request_key.RequestKey
    claim: claim_records.ClaimId
    exchange: outcome.Exchange


class AppendAnswer(enum.Enum):
    """What is known about the effect of an append."""

    APPENDED = "appended"
    NOT_APPENDED = "not_appended"  # Has no effect and never will.
    UNKNOWN = "unknown"  # May have taken effect, or may do so later.


@dataclasses.dataclass(frozen=True, slots=True)
class AppendEnded:
    """The append in flight is over."""

    answer: AppendAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record of the stream; `value` is unvalidated JSON data."""

    offset: ids.Offset
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class PageRead:
    """The read in flight succeeded.

    Attributes:
        records: consecutive records in log order; may be empty.
        oldest: offset of the oldest record that the log still holds.
        next_offset: offset at which the next read starts.
    """

    records: tuple[StoredRecord, ...]
    oldest: ids.Offset
    next_offset: ids.Offset


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailed:
    """The read in flight failed."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """The router is shutting down.

    From now on new requests are refused. Undecided attempts are refused,
    and claims whose request has not been sent are revoked.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """The time that `ClaimStateMachine.next_wakeup` returned has come."""


Event = (
    ClaimRequested
    | WaiterLeft
    | RunSettled
    | AppendEnded
    | PageRead
    | ReadFailed
    | StopRequested
    | Ticked
)


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimWon:
    """The waiter, and nobody else, may run the request.

    It must ask `ClaimStateMachine.start_run` before each try to send.
    """

    key: request_key.RequestKey
    claim: claim_records.ClaimId


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimLost:
    """The waiter must not run the request: another claim holds the key.

    Attributes:
        key: the request's key.
        winner: the claim that holds the key.
        is_local: whether this process made that claim.
        run_outcome: how the winner's run ended; None if that isn't known.
    """

    key: request_key.RequestKey
    winner: claim_records.ClaimId
    is_local: bool
    run_outcome: outcome.Outcome | None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRefused:
    """The waiter's request was not run and won't be.

    Attributes:
        key: the request's key.
        reason: why it was refused.
        retry_after_s: seconds after which the caller may retry; None if a
            retry can't succeed.
    """

    key: request_key.RequestKey
    reason: outcome.RefusalReason
    retry_after_s: float | None


Result = ClaimWon | ClaimLost | ClaimRefused


@dataclasses.dataclass(frozen=True, slots=True)
class DeliverResult:
    """Deliver the result to the waiter."""

    waiter: int
    result: Result


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRecords:
    """Append the records in one call, then post `AppendEnded`."""

    records: tuple[claim_records.Record, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLog:
    """Read the stream, then post `PageRead` or `ReadFailed`.

    Attributes:
        start: offset of the first record to read.
        limit: maximum number of records.
        wait_s: how long the log may wait for records, in seconds.
    """

    start: ids.Offset
    limit: int
    wait_s: float


Effect = DeliverResult | AppendRecords | ReadLog
