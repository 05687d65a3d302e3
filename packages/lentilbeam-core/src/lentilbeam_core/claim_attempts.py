"""Claims of one incarnation that it hasn't revoked, and their runs."""

from collections.abc import Iterator
import dataclasses
import enum
import heapq

from lentilbeam_core import claim_records
from lentilbeam_core import outcome
from lentilbeam_core import request_key


class AttemptState(enum.Enum):
    """State of a claim attempt."""

    CHECKING = "checking"  # Waits until the log is read to its end.
    QUEUED = "queued"  # Its claim waits to be appended.
    SENT = "sent"  # Its claim was sent to the log, but not read back.
    WON = "won"  # Its claim holds the key; the request has not been sent.
    RUNNING = "running"  # `start_run` has permitted sending the request.
    ENDED = "ended"  # The run is over; kept to answer repeated requests.


UNDECIDED = (AttemptState.CHECKING, AttemptState.QUEUED, AttemptState.SENT)
MAY_SEND = (AttemptState.WON, AttemptState.RUNNING)
"""States in which the request may be sent to a target."""


@dataclasses.dataclass(slots=True)
class ClaimAttempt:
    """A claim that this incarnation made and has not revoked.

    Attributes:
        key: the request's key.
        claim: id of the claim.
        state: how far the attempt has come.
        waiters: numbers of the callers' requests that wait for the result.
        deadline: monotonic time, the earliest of the waiters' deadlines.
        give_up_at: monotonic time at which the attempt, if still undecided,
            is refused and its claim revoked.
        required_read: a read with this number or a later one must reach the
            end of the stream before the attempt continues; None if it needs
            no such read.
        possible_appends: number of appends of the claim that took effect or
            still may do so.
        is_read_back: whether the claim was found in the log.
        run_outcome: how the run ended; None before that.
    """

    key: request_key.RequestKey
    claim: claim_records.ClaimId
    state: AttemptState
    waiters: list[int]
    deadline: float
    give_up_at: float
    required_read: int | None = None
    possible_appends: int = 0
    is_read_back: bool = False
    run_outcome: outcome.Outcome | None = None

    @property
    def is_undecided(self) -> bool:
        """Whether it is not yet known which claim holds the key."""
        return self.state in UNDECIDED


class AttemptTable:
    """The attempts of one incarnation, at most one for each key.

    Attributes:
        by_key: all attempts.
        undecided: the undecided attempts, by state and key.
        give_up_heap: `give_up_at`, claim number and key of attempts, the
            earliest first; may hold obsolete items.
    """

    def __init__(self):
        self.by_key: dict[request_key.RequestKey, ClaimAttempt] = {}
        self.undecided: dict[
            AttemptState, dict[request_key.RequestKey, ClaimAttempt]
        ] = {state: {} for state in UNDECIDED}
        self.give_up_heap: list[tuple[float, int, request_key.RequestKey]] = []

    @property
    def undecided_count(self) -> int:
        """Number of undecided attempts."""
        return sum(map(len, self.undecided.values()))

    def find(
        self, key: request_key.RequestKey, claim: claim_records.ClaimId
    ) -> ClaimAttempt | None:
        """Returns the attempt of a claim, or None if it was removed."""
        attempt = self.by_key.get(key)
        if attempt is None or attempt.claim != claim:
            return None
        return attempt

    def collect(self, state: AttemptState) -> list[ClaimAttempt]:
        """Returns the attempts in one of the undecided states.

        The attempts that entered the state first come first.
        """
        return list(self.undecided[state].values())

    def add(self, attempt: ClaimAttempt) -> None:
        """Adds an attempt; its key must have none yet."""
        self.by_key[attempt.key] = attempt
        self.undecided[attempt.state][attempt.key] = attempt
        self._schedule(attempt)

    def join(
        self,
        attempt: ClaimAttempt,
        waiter: int,
        deadline: float,
        give_up_at: float,
    ) -> None:
        """Adds a waiter; the earliest deadline applies to all waiters."""
        attempt.waiters.append(waiter)
        attempt.deadline = min(attempt.deadline, deadline)
        if give_up_at < attempt.give_up_at:
            attempt.give_up_at = give_up_at
            self._schedule(attempt)

    def move(self, attempt: ClaimAttempt, state: AttemptState) -> None:
        """Changes the state of an attempt."""
        self.undecided.get(attempt.state, {}).pop(attempt.key, None)
        attempt.state = state
        if attempt.is_undecided:
            self.undecided[state][attempt.key] = attempt

    def remove(self, attempt: ClaimAttempt) -> None:
        """Removes an attempt.

        No request can be sent under its claim from now on.
        """
        self.undecided.get(attempt.state, {}).pop(attempt.key, None)
        del self.by_key[attempt.key]

    def pop_overdue(self, now: float) -> Iterator[ClaimAttempt]:
        """Yields the undecided attempts whose `give_up_at` has come.

        The caller must remove each attempt before it asks for the next one.
        """
        while self.next_give_up_at() <= now:
            _, _, key = heapq.heappop(self.give_up_heap)
            yield self.by_key[key]

    def next_give_up_at(self) -> float:
        """Returns the earliest `give_up_at` of the undecided attempts.

        Infinity if there is none.
        """
        while self.give_up_heap:
            give_up_at, number, key = self.give_up_heap[0]
            attempt = self.by_key.get(key)
            is_current = attempt and attempt.claim.number == number
            if is_current and attempt.is_undecided:
                return give_up_at
            heapq.heappop(self.give_up_heap)
        return float("inf")

    def _schedule(self, attempt: ClaimAttempt) -> None:
        entry = (attempt.give_up_at, attempt.claim.number, attempt.key)
        heapq.heappush(self.give_up_heap, entry)
