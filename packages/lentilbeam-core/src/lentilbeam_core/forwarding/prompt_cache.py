"""What the engines' KV caches are believed to hold.

A part of a prompt is kept only together with all parts before it. Beliefs
come from what this router and its peers have sent where. Running requests
take memory first; the least recently used parts yield.
"""

import collections
from collections.abc import Iterable

from lentilbeam_core import ids
from lentilbeam_core.forwarding import requests

CAPACITY_SAFETY_FACTOR = 0.9
"""Part of the memory left by running requests that parts are believed in."""


class TargetCache:
    """Parts that one target is believed to hold, least recently used first."""

    def __init__(self):
        self.parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.tokens = 0

    def add_parts(
        self, parts: Iterable[requests.Part], capacity: float
    ) -> None:
        """Notes that a prompt with these leading parts is read there.

        Args:
            parts: leading parts of the prompt.
            capacity: tokens that the target can keep now.
        """
        # The first parts are shared most: they are touched last.
        for part in reversed(tuple(parts)):
            if part.name not in self.parts:
                self.parts[part.name] = part.tokens
                self.tokens += part.tokens
            self.parts.move_to_end(part.name)
        while self.tokens > capacity and len(self.parts) > 1:
            _, tokens = self.parts.popitem(last=False)
            self.tokens -= tokens

    def count_cached(self, parts: Iterable[requests.Part]) -> int:
        """Returns how many leading tokens need not be read again."""
        cached_tokens = 0
        for part in parts:
            if part.name not in self.parts:
                break
            cached_tokens += part.tokens
        return cached_tokens


class PromptCaches:
    """Beliefs about all targets of a pool."""

    def __init__(self, cache_tokens: int):
        self.cache_tokens = cache_tokens
        self.targets: dict[ids.TargetId, TargetCache] = {}

    def add_parts(
        self,
        target: ids.TargetId,
        parts: Iterable[requests.Part],
        held: float,
    ) -> None:
        """Notes that a prompt was sent to `target`.

        Args:
            target: where to.
            parts: leading parts of the prompt.
            held: tokens that running requests take there.
        """
        if target not in self.targets:
            self.targets[target] = TargetCache()
        capacity = max(self.cache_tokens - held, 0.0) * CAPACITY_SAFETY_FACTOR
        self.targets[target].add_parts(parts, capacity)

    def count_cached(
        self, target: ids.TargetId, parts: Iterable[requests.Part]
    ) -> int:
        """Returns how many leading tokens `target` is believed to hold."""
        cache = self.targets.get(target)
        return cache.count_cached(parts) if cache is not None else 0

    def forget(self, target: ids.TargetId) -> None:
        """Drops the beliefs about a target that started anew or is gone."""
        self.targets.pop(target, None)
