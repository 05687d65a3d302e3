"""Who may run which key: the fold of the claims stream in log order.

A key's holder is the first claim in log order since the holder before it, if
any, was released. A released claim is dead for ever: neither a late copy of
it nor an earlier claim of the same incarnation can hold the key again.
"""

import dataclasses
import heapq

from lentilbeam_core import claim_records
from lentilbeam_core import ids
from lentilbeam_core import outcome
from lentilbeam_core import request_key


@dataclasses.dataclass(slots=True)
class KeyState:
    """What the log says of one key.

    Attributes:
        holder: the claim that alone may run, or did run, the request.
        ended: how the holder's run ended, if it said so.
        dead: per router incarnation, the highest released claim number.
    """

    holder: claim_records.ClaimId | None = None
    ended: outcome.Outcome | None = None
    dead: dict[tuple[ids.InstanceId, ids.Incarnation], int] | None = None

    def is_dead(self, claim: claim_records.ClaimId) -> bool:
        """Returns whether the claim was released."""
        if self.dead is None:
            return False
        start = (claim.instance, claim.incarnation)
        return claim.number <= self.dead.get(start, -1)

    def add_dead(self, claim: claim_records.ClaimId) -> None:
        """Notes that the claim was released."""
        self.dead = self.dead or {}
        start = (claim.instance, claim.incarnation)
        self.dead[start] = max(self.dead.get(start, -1), claim.number)


class ClaimIndex:
    """State of all keys that are young enough to matter."""

    def __init__(self, max_keys: int):
        self.max_keys = max_keys
        self.keys: dict[request_key.RequestKey, KeyState] = {}
        self.by_age: list[tuple[int, request_key.RequestKey]] = []
        self.trusted_since_ms = 0
        """Keys with an earlier timestamp may have unknown claims."""

    def get_holder(
        self, key: request_key.RequestKey
    ) -> claim_records.ClaimId | None:
        """Returns the claim that holds the key, if any."""
        state = self.keys.get(key)
        return state.holder if state else None

    def get_ended(self, key: request_key.RequestKey) -> outcome.Outcome | None:
        """Returns how the holder's run ended, as far as is known."""
        state = self.keys.get(key)
        return state.ended if state else None

    def is_trusted(self, key: request_key.RequestKey) -> bool:
        """Returns whether all claims of the key are known as far as read."""
        timestamp_ms = request_key.read_timestamp_ms(key.request)
        return timestamp_ms >= self.trusted_since_ms

    def apply(self, record: claim_records.Record) -> None:
        """Takes in the next record in log order."""
        state = self._ensure_state(record.key)
        match record:
            case claim_records.Claim(_, claim):
                if state.holder is None and not state.is_dead(claim):
                    state.holder = claim
            case claim_records.Release(_, claim):
                _release(state, claim)
            case claim_records.Done(_, claim, ended):
                if state.holder == claim:
                    state.ended = ended

    def distrust_before(self, timestamp_ms: int) -> None:
        """Notes that claims of keys with an earlier time may be unknown."""
        self.trusted_since_ms = max(self.trusted_since_ms, timestamp_ms)

    def forget_before(self, timestamp_ms: int) -> list[request_key.RequestKey]:
        """Drops keys with an earlier time, and the oldest beyond the bound.

        Returns:
            The keys that were dropped.
        """
        forgotten = []
        while self.by_age and self.by_age[0][0] < timestamp_ms:
            forgotten.append(self._pop_oldest())
        while len(self.by_age) > self.max_keys:
            self.distrust_before(self.by_age[0][0] + 1)
            forgotten.append(self._pop_oldest())
        return forgotten

    def _pop_oldest(self) -> request_key.RequestKey:
        _, key = heapq.heappop(self.by_age)
        del self.keys[key]
        return key

    def _ensure_state(self, key: request_key.RequestKey) -> KeyState:
        state = self.keys.get(key)
        if state is None:
            state = self.keys[key] = KeyState()
            timestamp_ms = request_key.read_timestamp_ms(key.request)
            heapq.heappush(self.by_age, (timestamp_ms, key))
        return state


def _release(state: KeyState, claim: claim_records.ClaimId) -> None:
    state.add_dead(claim)
    if state.holder is not None and state.is_dead(state.holder):
        state.holder = None
        state.ended = None
