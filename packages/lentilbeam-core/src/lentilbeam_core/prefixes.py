"""Remembers which target last ran a prompt prefix, for cache affinity."""

import collections
import dataclasses

from lentilbeam_core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the prefix index.

    Attributes:
        max_prefixes: maximum number of prefixes kept.
        max_age_s: how long a target is assumed to cache a prefix, in seconds.
    """

    max_prefixes: int = 4096
    max_age_s: float = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixUse:
    """The last request with a prefix.

    Attributes:
        target: the target it was sent to.
        at: when it was sent, in monotonic seconds.
    """

    target: ids.TargetId
    at: float


class PrefixIndex:
    """Maps prompt prefixes to targets; evicts the least recently used.

    Attributes:
        settings: settings of the index.
        uses: last use of each prefix, least recently used first.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.uses: collections.OrderedDict[str, PrefixUse] = (
            collections.OrderedDict()
        )

    def record(
        self, prefix: str | None, target: ids.TargetId, now: float
    ) -> None:
        """Records that a request with `prefix` was sent to `target`.

        Does nothing if `prefix` is None.
        """
        if prefix is None:
            return
        self.uses[prefix] = PrefixUse(target, now)
        self.uses.move_to_end(prefix)
        if len(self.uses) > self.settings.max_prefixes:
            self.uses.popitem(last=False)

    def find_target(self, prefix: str | None, now: float) -> str:
        """Returns the target that probably caches `prefix`, or ""."""
        use = self.uses.get(prefix) if prefix is not None else None
        if use is None or now - use.at > self.settings.max_age_s:
            return ""
        return use.target
