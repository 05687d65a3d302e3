"""What the engines' KV caches are believed to hold.

A part of a prompt is kept only together with all parts before it. Beliefs
come from what this router and its peers have sent where; the least recently
used parts are forgotten once a cache would be full.
"""

import collections
from collections.abc import Iterable
import dataclasses

from lentilbeam_core import ids
from lentilbeam_core.forwarding import requests

USABLE_FRACTION = 0.6
"""Part of a cache that finished prompts can count on: runs share it."""


@dataclasses.dataclass(slots=True)
class TargetCache:
    """Parts that one target is believed to hold.

    Attributes:
        capacity: tokens that it can keep.
        parts: tokens by part, the least recently used first.
        tokens: sum over the parts.
    """

    capacity: float
    parts: collections.OrderedDict[str, int] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    tokens: int = 0

    def use(self, parts: Iterable[requests.Part]) -> None:
        """Notes that a prompt with these leading parts is read there."""
        for part in parts:
            if part.name in self.parts:
                self.parts.move_to_end(part.name)
                continue
            self.parts[part.name] = part.tokens
            self.tokens += part.tokens
        while self.tokens > self.capacity and len(self.parts) > 1:
            _, tokens = self.parts.popitem(last=False)
            self.tokens -= tokens

    def count_kept(self, parts: Iterable[requests.Part]) -> int:
        """Returns how many leading tokens need not be read again."""
        kept = 0
        for part in parts:
            if part.name not in self.parts:
                break
            kept += part.tokens
        return kept


class PromptCaches:
    """Beliefs about all targets of a pool."""

    def __init__(self, cache_tokens: int):
        self.capacity = cache_tokens * USABLE_FRACTION
        self.targets: dict[ids.TargetId, TargetCache] = {}

    def use(self, target: ids.TargetId, parts: Iterable[requests.Part]) -> None:
        """Notes that a prompt with these parts was sent to `target`."""
        if target not in self.targets:
            self.targets[target] = TargetCache(self.capacity)
        self.targets[target].use(parts)

    def count_kept(
        self, target: ids.TargetId, parts: Iterable[requests.Part]
    ) -> int:
        """Returns how many leading tokens `target` is believed to hold."""
        cache = self.targets.get(target)
        return cache.count_kept(parts) if cache is not None else 0

    def forget(self, target: ids.TargetId) -> None:
        """Drops the beliefs about a target that started anew or is gone."""
        self.targets.pop(target, None)
