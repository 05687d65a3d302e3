"""Which target last saw a prompt prefix: a hint for cache affinity."""

import collections
import dataclasses

from lentilbeam_core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the prefix memory.

    Attributes:
        max_prefixes: how many prefixes are remembered.
        max_age_s: how long a prefix is taken to stay in a cache.
    """

    max_prefixes: int = 4096
    max_age_s: float = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixUse:
    """A prefix ran on a target at a time."""

    target: ids.TargetId
    at: float


class PrefixIndex:
    """Least recently used prefixes are forgotten first."""

    def __init__(self, settings: Settings):
        self.settings = settings
        self.uses: collections.OrderedDict[str, PrefixUse] = (
            collections.OrderedDict()
        )

    def record(
        self, prefix: str | None, target: ids.TargetId, now: float
    ) -> None:
        """Notes that a request with `prefix` was sent to `target`."""
        if prefix is None:
            return
        self.uses[prefix] = PrefixUse(target, now)
        self.uses.move_to_end(prefix)
        if len(self.uses) > self.settings.max_prefixes:
            self.uses.popitem(last=False)

    def find_target(self, prefix: str | None, now: float) -> str:
        """Returns the target that likely caches `prefix`, or ""."""
        use = self.uses.get(prefix) if prefix is not None else None
        if use is None or now - use.at > self.settings.max_age_s:
            return ""
        return use.target
