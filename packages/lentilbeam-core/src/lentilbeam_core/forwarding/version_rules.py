"""Rules that choose the software version at which a new stream begins.

While several versions of a pool serve, the key of a stream decides at which of
them it begins: weighted rendezvous hashing over the versions. The rules are in
the platform's store, so a router that has just started can tell what began a
stream that nobody has recorded, provided that all rules which may have been in
force give the same version.

Source of the weighted form: Schindelhauer and Schomaker, "Weighted distributed
hash tables", SPAA 2005 (logarithmic method).
"""

from collections.abc import Mapping
from collections.abc import Set
import dataclasses
import math

from lentilbeam_core import ids
from lentilbeam_core import rendezvous

Rule = tuple[tuple[str, float], ...]
"""Versions and their shares of the new streams, ordered by version. The shares
add up to about 1."""
UNRULED: Rule = ()
"""Stands for streams that may have begun at any version."""
LEASE_S = 20.0
"""Time, in seconds, for which a router may go on with an older rule because it
does not reach the store or is suspended."""
MAX_RULES = 8
"""Number of rules in one record. With more, the oldest become `UNRULED`."""
MAX_SHARE_ERROR = 0.2
"""Difference between a version's share in the rule and its share of the slots
beyond which the rule is replaced. Each replacement leaves some streams whose
version can't be inferred for a while."""
SHARE_DIGITS = 3
_HASH_RANGE = 2**64


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRules:
    """Record of the rules of a pool in the store.

    Attributes:
        era: era of the store in which it was written.
        rules: rules by which streams that may still be resumed have begun, the
            one in force last.
    """

    era: int
    rules: tuple[Rule, ...]


def build_rule(slots: Mapping[str, float]) -> Rule:
    """Returns the rule that distributes streams in proportion to slots.

    Args:
        slots: slots of the targets of each version, above 0.
    """
    total = sum(slots.values())
    return tuple(
        (version, round(slots[version] / total, SHARE_DIGITS))
        for version in sorted(slots)
    )


def choose_version(rule: Rule, key: int) -> str | None:
    """Returns the version at which a stream begins.

    Args:
        rule: the rule in force.
        key: key of the stream, 64 bits.

    Returns:
        None if the rule is `UNRULED`.
    """
    best = max(
        rule, key=lambda each: _score(key, each[0], each[1]), default=None
    )
    return best[0] if best is not None else None


def _score(key: int, version: str, share: float) -> float:
    hashed = int.from_bytes(rendezvous.score(f"{key:x}", version))
    return -share / math.log((hashed + 0.5) / _HASH_RANGE)


def differs(rule: Rule, wanted: Rule) -> bool:
    """Whether a rule in force is to be replaced by the one that is wanted."""
    shares, wanted_shares = dict(rule), dict(wanted)
    if shares.keys() != wanted_shares.keys():
        return True
    return any(
        abs(share - wanted_shares[version]) > MAX_SHARE_ERROR
        for version, share in rule
    )


def is_only(stored: StoredRules, versions: Set[str]) -> bool:
    """Whether the only rule recorded chooses among these versions."""
    return len(stored.rules) == 1 and dict(stored.rules[0]).keys() == versions


class VersionRules:
    """The rules of all pools, as recorded in the store.

    Attributes:
        stored: the record of each pool.
        superseded_at: when this router learned that a rule is no longer in
            force, monotonic seconds.
    """

    def __init__(self):
        self.stored: dict[ids.PoolId, StoredRules] = {}
        self.superseded_at: dict[ids.PoolId, dict[Rule, float]] = {}

    def apply(
        self, pool: ids.PoolId, stored: StoredRules | None, now: float
    ) -> None:
        """Applies a record, written by any router; None if it is removed."""
        if stored is None:
            self.stored.pop(pool, None)
            self.superseded_at.pop(pool, None)
            return
        known = self.superseded_at.get(pool, {})
        before = self.stored.get(pool)
        if before is not None and before.era != stored.era:
            known = {}
        self.stored[pool] = stored
        self.superseded_at[pool] = {
            rule: known.get(rule, now) for rule in stored.rules[:-1]
        }

    def find_version(self, pool: ids.PoolId, key: int, era: int) -> str | None:
        """Returns the version at which a new stream begins.

        Returns:
            None if any version will do, since no rule is in force.
        """
        stored = self._find_stored(pool, era)
        return choose_version(stored.rules[-1], key) if stored else None

    def infer(self, pool: ids.PoolId, key: int, era: int) -> str | None:
        """Returns the version at which a stream has begun.

        Returns:
            None unless all rules by which it may have begun agree.
        """
        stored = self._find_stored(pool, era)
        if stored is None:
            return None
        found = {choose_version(rule, key) for rule in stored.rules}
        return found.pop() if len(found) == 1 else None

    def plan(
        self, pool: ids.PoolId, wanted: Rule, kept_s: float, now: float
    ) -> tuple[Rule, ...]:
        """Returns the rules of a pool as they should be recorded.

        Args:
            pool: a pool with a record.
            wanted: the rule that fits the targets.
            kept_s: for how long a stream may be resumed, in seconds.
            now: monotonic seconds.
        """
        superseded_at = self.superseded_at[pool]
        current = self.stored[pool].rules[-1]
        rules = [
            rule
            for rule in self.stored[pool].rules[:-1]
            if now - superseded_at[rule] < kept_s + LEASE_S
        ]
        rules.append(current)
        if differs(current, wanted):
            # A rule that comes back supersedes its former record.
            rules = [rule for rule in rules if rule != wanted]
            rules.append(wanted)
        if len(rules) > MAX_RULES:
            rules = [UNRULED, *rules[1 - MAX_RULES :]]
        return tuple(rules)

    def _find_stored(self, pool: ids.PoolId, era: int) -> StoredRules | None:
        """Returns a pool's record; None if it is of another era."""
        stored = self.stored.get(pool)
        if stored is None or stored.era != era:
            return None
        return stored
