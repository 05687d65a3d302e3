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
    ) -> None:
        """Adds the parts of a prompt that the target processes.

        Args:
            parts: leading parts of the prompt.
            capacity: number of tokens that the target's KV cache can hold
                besides running requests; least recently used parts beyond it
                are evicted.
        """
        # The first parts are shared by the most requests. They are moved to the
        # end last, so that they are evicted after the others.
        for part in reversed(tuple(parts)):
            if part.name not in self.parts:
                self.parts[part.name] = part.tokens
                self.tokens += part.tokens
            self.parts.move_to_end(part.name)
        while self.tokens > capacity and len(self.parts) > 1:
            _, tokens = self.parts.popitem(last=False)
            self.tokens -= tokens

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
    """

    def __init__(self, cache_tokens: int):
        self.cache_tokens = cache_tokens
        self.targets: dict[ids.TargetId, TargetCache] = {}

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
        self.targets[target].add_parts(parts, capacity)

    def count_cached(
        self, target: ids.TargetId, parts: Iterable[requests.Part]
    ) -> int:
        """Returns how many leading tokens of a prompt `target` has cached."""
        cache = self.targets.get(target)
        return cache.count_cached(parts) if cache is not None else 0

    def forget(self, target: ids.TargetId) -> None:
        """Removes a target that has restarted or is no longer listed."""
        self.targets.pop(target, None)
