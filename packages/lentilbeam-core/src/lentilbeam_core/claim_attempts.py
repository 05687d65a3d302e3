"""The claims of one incarnation that are not barred, by key and state."""

from collections.abc import Iterator
import dataclasses
import enum
import heapq

from lentilbeam_core import claim_records
from lentilbeam_core import outcome
from lentilbeam_core import request_key


class AttemptState(enum.Enum):
    """How far an attempt to run a key's request has come."""

    CHECKING = "checking"  # The log must be read to its tail first.
    QUEUED = "queued"  # The claim waits to be appended.
    SENT = "sent"  # The claim is to be found in the log.
    WON = "won"
    RUNNING = "running"
    ENDED = "ended"


UNDECIDED = (AttemptState.CHECKING, AttemptState.QUEUED, AttemptState.SENT)
RUNNABLE = (AttemptState.WON, AttemptState.RUNNING)


@dataclasses.dataclass(slots=True)
class Attempt:
    """A claim that was made and not barred.

    Attributes:
        waiters: who is to be told the result.
        deadline: monotonic time, the earliest of the waiters' deadlines.
        give_up_at: monotonic time at which an undecided claim is barred.
        required_read: a read with this number or a later one must reach the
            tail before the attempt goes on; None if it needs no such read.
        uncertain_appends: appends of the claim that may have an effect.
        is_read_back: whether the claim was read back.
        run_outcome: how the run ended, once it did.
    """

    key: request_key.RequestKey
    claim: claim_records.ClaimId
    state: AttemptState
    waiters: list[int]
    deadline: float
    give_up_at: float
    required_read: int | None = None
    uncertain_appends: int = 0
    is_read_back: bool = False
    run_outcome: outcome.Outcome | None = None

    @property
    def is_undecided(self) -> bool:
        """Whether the attempt's waiters still wait for its result."""
        return self.state in UNDECIDED


class AttemptTable:
    """Attempts by key; at most one for each key."""

    def __init__(self):
        self.by_key: dict[request_key.RequestKey, Attempt] = {}
        self.undecided: dict[
            AttemptState, dict[request_key.RequestKey, Attempt]
        ] = {state: {} for state in UNDECIDED}
        self.give_up_heap: list[tuple[float, int, request_key.RequestKey]] = []

    @property
    def undecided_count(self) -> int:
        """How many attempts have waiters."""
        return sum(map(len, self.undecided.values()))

    def find(
        self, key: request_key.RequestKey, claim: claim_records.ClaimId
    ) -> Attempt | None:
        """Returns the attempt that the claim belongs to, unless barred."""
        attempt = self.by_key.get(key)
        if attempt is None or attempt.claim != claim:
            return None
        return attempt

    def collect(self, state: AttemptState) -> list[Attempt]:
        """Returns the attempts in an undecided state, oldest first."""
        return list(self.undecided[state].values())

    def add(self, attempt: Attempt) -> None:
        """Takes in a new attempt."""
        self.by_key[attempt.key] = attempt
        self.undecided[attempt.state][attempt.key] = attempt
        self._schedule(attempt)

    def join(
        self, attempt: Attempt, waiter: int, deadline: float, give_up_at: float
    ) -> None:
        """Adds a waiter, whose deadline then binds all of them."""
        attempt.waiters.append(waiter)
        attempt.deadline = min(attempt.deadline, deadline)
        if give_up_at < attempt.give_up_at:
            attempt.give_up_at = give_up_at
            self._schedule(attempt)

    def move(self, attempt: Attempt, state: AttemptState) -> None:
        """Changes an attempt's state."""
        self.undecided.get(attempt.state, {}).pop(attempt.key, None)
        attempt.state = state
        if attempt.is_undecided:
            self.undecided[state][attempt.key] = attempt

    def remove(self, attempt: Attempt) -> None:
        """Forgets an attempt, which bars its claim for ever."""
        self.undecided.get(attempt.state, {}).pop(attempt.key, None)
        del self.by_key[attempt.key]

    def pop_overdue(self, now: float) -> Iterator[Attempt]:
        """Yields the attempts to give up, each of which must be removed."""
        while self.get_next_give_up_at() <= now:
            _, _, key = heapq.heappop(self.give_up_heap)
            yield self.by_key[key]

    def get_next_give_up_at(self) -> float:
        """Returns when the next undecided attempt is to be given up."""
        while self.give_up_heap:
            give_up_at, number, key = self.give_up_heap[0]
            attempt = self.by_key.get(key)
            is_current = attempt and attempt.claim.number == number
            if is_current and attempt.is_undecided:
                return give_up_at
            heapq.heappop(self.give_up_heap)
        return float("inf")

    def _schedule(self, attempt: Attempt) -> None:
        entry = (attempt.give_up_at, attempt.claim.number, attempt.key)
        heapq.heappush(self.give_up_heap, entry)
