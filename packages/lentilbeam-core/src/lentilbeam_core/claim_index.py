"""Index of the claims stream: which claim holds which key.

The holder of a key is its first claim in log order after the release of the
previous holder, if there was one. A release is final: neither a later record
of the released claim nor any earlier claim of the same incarnation can hold
the key afterwards.
"""

import dataclasses
import heapq

from lentilbeam_core import claim_records
from lentilbeam_core import ids
from lentilbeam_core import outcome
from lentilbeam_core import request_key


@dataclasses.dataclass(slots=True)
class KeyState:
    """State of one key according to the log.

    Attributes:
        holder: the only claim under which the request may run or has run;
            None if the key is free.
        run_outcome: how the holder's run ended; None if the log doesn't tell.
        released_numbers: highest released claim number by instance and
            incarnation; None if no claim was released.
    """

    holder: claim_records.ClaimId | None = None
    run_outcome: outcome.Outcome | None = None
    released_numbers: (
        dict[tuple[ids.InstanceId, ids.Incarnation], int] | None
    ) = None

    def is_released(self, claim: claim_records.ClaimId) -> bool:
        """Returns whether the claim was released."""
        if self.released_numbers is None:
            return False
        process = (claim.instance, claim.incarnation)
        return claim.number <= self.released_numbers.get(process, -1)

    def add_release(self, claim: claim_records.ClaimId) -> None:
        """Records that the claim was released."""
        self.released_numbers = self.released_numbers or {}
        process = (claim.instance, claim.incarnation)
        self.released_numbers[process] = max(
            self.released_numbers.get(process, -1), claim.number
        )


class ClaimIndex:
    """States of the most recent keys in the claims stream.

    Attributes:
        max_keys: maximum number of keys.
        keys: state by key.
        by_timestamp: heap of the keys' timestamps and the keys.
        complete_since_ms: keys with an earlier timestamp may have claims
            that the index doesn't know; in milliseconds since 1970.
    """

    def __init__(self, max_keys: int):
        self.max_keys = max_keys
        self.keys: dict[request_key.RequestKey, KeyState] = {}
        self.by_timestamp: list[tuple[int, request_key.RequestKey]] = []
        self.complete_since_ms = 0

    def get_holder(
        self, key: request_key.RequestKey
    ) -> claim_records.ClaimId | None:
        """Returns the claim that holds the key, or None if it is free."""
        state = self.keys.get(key)
        return state.holder if state else None

    def get_run_outcome(
        self, key: request_key.RequestKey
    ) -> outcome.Outcome | None:
        """Returns how the holder's run ended, or None if not known."""
        state = self.keys.get(key)
        return state.run_outcome if state else None

    def is_complete_for(self, key: request_key.RequestKey) -> bool:
        """Returns whether the index has every claim of the key.

        That is every claim up to the position read. Some can be missing after
        a gap in reading or an eviction.
        """
        timestamp_ms = request_key.read_timestamp_ms(key.request_id)
        return timestamp_ms >= self.complete_since_ms

    def apply(self, record: claim_records.Record) -> None:
        """Applies the next record in log order."""
        state = self._ensure_state(record.key)
        match record:
            case claim_records.Claim(_, claim):
                if state.holder is None and not state.is_released(claim):
                    state.holder = claim
            case claim_records.Release(_, claim):
                _release(state, claim)
            case claim_records.Done(_, claim, run_outcome):
                if state.holder == claim:
                    state.run_outcome = run_outcome

    def mark_incomplete_before(self, timestamp_ms: int) -> None:
        """Records that claims of keys with earlier timestamps may be missing.

        Args:
            timestamp_ms: milliseconds since 1970.
        """
        self.complete_since_ms = max(self.complete_since_ms, timestamp_ms)

    def evict_before(self, timestamp_ms: int) -> list[request_key.RequestKey]:
        """Evicts keys with earlier timestamps, and the oldest over `max_keys`.

        Args:
            timestamp_ms: milliseconds since 1970.

        Returns:
            The evicted keys.
        """
        evicted = []
        while self.by_timestamp and self.by_timestamp[0][0] < timestamp_ms:
            evicted.append(self._pop_oldest())
        while len(self.by_timestamp) > self.max_keys:
            self.mark_incomplete_before(self.by_timestamp[0][0] + 1)
            evicted.append(self._pop_oldest())
        return evicted

    def _pop_oldest(self) -> request_key.RequestKey:
        _, key = heapq.heappop(self.by_timestamp)
        del self.keys[key]
        return key

    def _ensure_state(self, key: request_key.RequestKey) -> KeyState:
        state = self.keys.get(key)
        if state is None:
            state = self.keys[key] = KeyState()
            timestamp_ms = request_key.read_timestamp_ms(key.request_id)
            heapq.heappush(self.by_timestamp, (timestamp_ms, key))
        return state


def _release(state: KeyState, claim: claim_records.ClaimId) -> None:
    state.add_release(claim)
    if state.holder is not None and state.is_released(state.holder):
        state.holder = None
        state.run_outcome = None
