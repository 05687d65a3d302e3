"""Settings, events, effects and results of the claim book.

`now` is an `Instant` everywhere: ages of keys are taken from the wall clock,
all waiting is timed by the monotonic clock.
"""

import dataclasses
import enum
from typing import Any

from lentilbeam_core import claim_records
from lentilbeam_core import ids
from lentilbeam_core import outage
from lentilbeam_core import outcome
from lentilbeam_core import request_key


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of claims.

    Attributes:
        append_interval_s: least time between starts of two appends.
        closing_record_linger_s: longest time that closing records wait for
            a claim to share an append with.
        read_interval_s: least time between starts of two reads.
        idle_read_interval_s: time between reads while nothing is waited for.
        read_wait_s: a read waits this long for records, if some are due.
        decision_timeout_s: a claim that is undecided for longer is given up.
        batch_records: most records in one append.
        page_records: most records in one read.
        max_undecided: most undecided claims; more are refused.
        max_closing_records: most releases and ends that wait to be appended.
        max_keys: most keys that are remembered.
    """

    window: request_key.KeyWindow = request_key.KeyWindow()
    log_outage: outage.Settings = outage.Settings()
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
    """One reading of both clocks.

    Attributes:
        monotonic: seconds on a clock that never goes back.
        wall_ms: milliseconds since 1970.
    """

    monotonic: float
    wall_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequested:
    """A request wants its key; `waiter` is told the result once.

    Attributes:
        deadline: monotonic time after which the result is of no use.
    """

    key: request_key.RequestKey
    waiter: int
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class WaiterLeft:
    """The waiter gave up and wants no result; its request is not run."""

    key: request_key.RequestKey
    waiter: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunSettled:
    """The winner's exchange with targets is over, or never began."""

    key: request_key.RequestKey
    claim: claim_records.ClaimId
    exchange: outcome.Exchange


class AppendAnswer(enum.Enum):
    """What is known of an append."""

    APPENDED = "appended"
    NOT_APPENDED = "not_appended"  # Certainly without effect, now and later.
    UNKNOWN = "unknown"  # May have taken effect, or may still.


@dataclasses.dataclass(frozen=True, slots=True)
class AppendEnded:
    """The append in flight ended."""

    answer: AppendAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record read from the stream; `value` is plain JSON data."""

    offset: ids.Offset
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class PageRead:
    """The read in flight brought records.

    Attributes:
        records: consecutive records in log order.
        oldest: offset of the oldest record that the log keeps.
        next_offset: where the next read starts.
    """

    records: tuple[StoredRecord, ...]
    oldest: ids.Offset
    next_offset: ids.Offset


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailed:
    """The read in flight failed."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """The router stops: no more claims, unused ones are released."""


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
    """The waiter alone may run the request; `start_run` must agree first."""

    key: request_key.RequestKey
    claim: claim_records.ClaimId


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimLost:
    """The waiter must not run the request: another claim holds the key.

    Attributes:
        winner: the claim that holds the key.
        is_local: whether the winner is this very process.
        run_outcome: how the winner's run ended, or None if that isn't known.
    """

    key: request_key.RequestKey
    winner: claim_records.ClaimId
    is_local: bool
    run_outcome: outcome.Outcome | None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRefused:
    """The waiter's request was not run and won't be.

    Attributes:
        retry_after_s: when to come back, or None where that won't help.
    """

    key: request_key.RequestKey
    reason: outcome.RefusalReason
    retry_after_s: float | None


Result = ClaimWon | ClaimLost | ClaimRefused


@dataclasses.dataclass(frozen=True, slots=True)
class DeliverResult:
    """Tell the waiter its result."""

    waiter: int
    result: Result


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRecords:
    """Append the records in one call; answer with `AppendEnded`."""

    records: tuple[claim_records.Record, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLog:
    """Read the stream; answer with `PageRead` or `ReadFailed`."""

    start: ids.Offset
    limit: int
    wait_s: float


Effect = DeliverResult | AppendRecords | ReadLog
