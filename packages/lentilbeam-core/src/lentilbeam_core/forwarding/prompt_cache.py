"""Estimates of which prompt parts the engines' KV caches hold.

A part of a prompt can only be reused together with all parts before it. The
estimates follow from the prompts that this router and its peers have sent to
each engine. Running requests have priority in an engine's KV cache; it evicts
the least recently used parts.
"""

import collections
from collections.abc import Iterable

from lentilbeam_core import ids
from lentilbeam_core.forwarding import requests

CAPACITY_SAFETY_FACTOR = 0.9
"""Fraction of the KV cache not used by running requests that is assumed to hold
prompt parts."""


class TargetCache:
    """Estimated cache contents of one target.

    Attributes:
        parts: length in tokens of each cached part, by name, least recently
            used first.
        tokens: total length of the cached parts.
    """

    def __init__(self):
        self.parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.tokens = 0

    def add_parts(
        self, parts: Iterable[requests.Part], capacity: float
    ) -> list[str]:
        """Adds the parts of a prompt that the target processes.

        Args:
            parts: leading parts of the prompt.
            capacity: number of tokens that the target's KV cache can hold
                besides running requests; least recently used parts beyond it
                are evicted.

        Returns:
            Names of the evicted parts.
        """
        # The first parts are shared by the most requests. They are moved to the
        # end last, so that they are evicted after the others.
        for part in reversed(tuple(parts)):
            if part.name not in self.parts:
                self.parts[part.name] = part.tokens
                self.tokens += part.tokens
            self.parts.move_to_end(part.name)
        evicted = []
        while self.tokens > capacity and len(self.parts) > 1:
            name, tokens = self.parts.popitem(last=False)
            self.tokens -= tokens
            evicted.append(name)
        return evicted

    def count_cached(self, parts: Iterable[requests.Part]) -> int:
        """Returns how many leading tokens of a prompt are cached."""
        cached_tokens = 0
        for part in parts:
            if part.name not in self.parts:
                break
            cached_tokens += part.tokens
        return cached_tokens


class PromptCaches:
    """Estimated cache contents of all targets of a pool.

    Attributes:
        cache_tokens: size of each target's KV cache, in tokens.
        targets: cache contents by target.
        holders: targets that have cached a part, by the name of the part. A
            look-up then costs the same in a pool of any size.
    """

    def __init__(self, cache_tokens: int):
        self.cache_tokens = cache_tokens
        self.targets: dict[ids.TargetId, TargetCache] = {}
        self.holders: dict[str, set[ids.TargetId]] = {}

    def add_parts(
        self,
        target: ids.TargetId,
        parts: Iterable[requests.Part],
        held: float,
    ) -> None:
        """Adds the parts of a prompt that was sent to `target`.

        Args:
            target: the target.
            parts: leading parts of the prompt.
            held: tokens that running requests occupy in the target's cache.
        """
        if target not in self.targets:
            self.targets[target] = TargetCache()
        capacity = max(self.cache_tokens - held, 0.0) * CAPACITY_SAFETY_FACTOR
        parts = tuple(parts)
        for part in parts:
            self.holders.setdefault(part.name, set()).add(target)
        evicted = self.targets[target].add_parts(parts, capacity)
        self._remove_holder(evicted, target)

    def count_cached_by_target(
        self, parts: Iterable[requests.Part]
    ) -> dict[ids.TargetId, int]:
        """Returns how many leading tokens of a prompt each target has cached.

        Targets that have cached none are left out.
        """
        counts: dict[ids.TargetId, int] = {}
        holders: set[ids.TargetId] | None = None
        tokens = 0
        for part in parts:
            with_part = self.holders.get(part.name, set())
            holders = with_part if holders is None else holders & with_part
            if not holders:
                break
            tokens += part.tokens
            counts.update(dict.fromkeys(holders, tokens))
        return counts

    def forget(self, target: ids.TargetId) -> None:
        """Removes a target that has restarted or is no longer listed."""
        cache = self.targets.pop(target, None)
        if cache is not None:
            self._remove_holder(cache.parts, target)

    def _remove_holder(
        self, parts: Iterable[str], target: ids.TargetId
    ) -> None:
        for name in parts:
            holders = self.holders[name]
            holders.discard(target)
            if not holders:
                del self.holders[name]
