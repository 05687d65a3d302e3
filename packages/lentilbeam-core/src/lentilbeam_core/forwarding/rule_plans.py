"""Plans the records of the rules by which new streams choose a version.

A record has the rule that fits the targets and the former ones by which streams
may have begun. What is not known for sure is recorded as "any version".
"""

import collections
from collections.abc import Set

from lentilbeam_core import ids
from lentilbeam_core.forwarding import stream_versions
from lentilbeam_core.forwarding import version_rules

WAIT_MARGIN_S = 0.2
"""How much earlier, in seconds, a record has to be written so that no router
has waited in vain."""
FIRST_LISTED_SPREAD_S = 0.5
"""Versions that a new fleet lists within this time, in seconds, count as listed
at once: no stream began when only one of them was known."""
RULES_NAME = ""
"""Stands for the rules of a pool in place of a version."""


def list_changes(
    versions: stream_versions.StreamVersions, now: float
) -> list[stream_versions.PoolVersion]:
    """Returns the keys of pools whose rules some router has to write."""
    if versions.read_since is None:
        return []
    return [
        (pool, RULES_NAME)
        for pool in sorted({pool for pool, _ in versions.stored})
        if plan(versions, pool, frozenset(), now) is not None
    ]


def plan(
    versions: stream_versions.StreamVersions,
    pool: ids.PoolId,
    added: frozenset[str],
    now: float,
) -> version_rules.StoredRules | None:
    """Returns the record of a pool's rules that is to be written.

    Args:
        versions: what is listed and recorded.
        pool: the pool.
        added: versions whose records are written together with it.
        now: monotonic seconds.

    Returns:
        None if the present record is right, or if none is needed since the
        pool has had one version.
    """
    current = versions.rules.stored.get(pool)
    recorded = added | {v for name, v in versions.stored if name == pool}
    if len(recorded) < 2 and (
        current is None or version_rules.is_only(current, recorded)
    ):
        return None
    slots = _count_slots(versions, pool, recorded, now)
    wanted = version_rules.build_rule(slots) if slots else None
    if versions.has_older_peers:
        wanted = version_rules.UNRULED
    if current is None or current.era != versions.era:
        if wanted is None:
            return None
        rules = (*_find_former_rules(versions, pool, added, now), wanted)
    else:
        kept_s = versions.find_kept_s(pool)
        if wanted is None:
            wanted = current.rules[-1]
        rules = versions.rules.plan(pool, wanted, kept_s, now)
        if rules == current.rules:
            return None
    return version_rules.StoredRules(versions.era, rules)


def _count_slots(
    versions: stream_versions.StreamVersions,
    pool: ids.PoolId,
    recorded: Set[str],
    now: float,
) -> dict[str, float]:
    """Returns the slots of the ready targets of each version.

    In pools whose cold targets take few requests, those that are cold
    count only if all are.
    """
    ready = [e for e in versions.targets.find_ready(pool) if e.version]
    warm = ready
    if pool in versions.cold_pools:
        is_warm = versions.targets.cold.is_warm
        warm = [e for e in ready if is_warm(e.name, e.start_ms, now)]
    slots = collections.Counter()
    for entry in warm or ready:
        if entry.version in recorded:
            slots[entry.version] += entry.slots
    return dict(slots)


def _find_former_rules(
    versions: stream_versions.StreamVersions,
    pool: ids.PoolId,
    added: frozenset[str],
    now: float,
) -> tuple[version_rules.Rule, ...]:
    """Returns what streams followed before the first rule of a pool."""
    others = versions.find_known(pool, now) - added
    listed_since = [versions.unrecorded.get((pool, v), now) for v in added]
    longest_s = versions.find_longest_wait(pool) - WAIT_MARGIN_S
    if any(now - since >= longest_s for since in listed_since):
        return (version_rules.UNRULED,)
    if (
        versions.is_new_fleet
        and pool not in versions.first_pools
        and not others
    ):
        spread_s = max(listed_since) - min(listed_since)
        if spread_s <= FIRST_LISTED_SPREAD_S:
            return ()
    if versions.is_settled(pool, now) and len(others) == 1:
        version = others.pop()
        if (pool, version) in versions.stored:
            return (((version, 1.0),),)
    return (version_rules.UNRULED,)
