"""Finds prompt parts that crash the targets which answer them, and blocks them.

A request that crashes its target (a "query of death") also ends the requests
that run there beside it, and requests that share only one part of their prompts
may all do so. A part is blocked if several targets crashed while they prepared
an answer to it, and no request with it has been answered since. Parts that
sound requests share, too, are cleared by their answers, and a crash that a
blocked part explains does not count against other parts.

What is known is merged from all routers. It only grows: a crash is cleared
once, and a block has a level that rises. So reports may be lost, repeated or
arrive in any order.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math

from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core.forwarding import requests


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of blocking.

    Attributes:
        min_crashes: crashes without an answer after which a part is blocked.
        cleared_factor: factor by which more crashes are needed for a part that
            was cleared of an earlier one.
        min_crash_spacing_s: crashes closer in time than this count as one, in
            seconds. Targets that crash together for another reason were all
            preparing answers to the most common parts.
        crash_memory_s: time after which a crash is forgotten, in seconds.
        base_block_s: length of the first block, in seconds. After it, a single
            request with the part is tried.
        block_growth: factor by which each further block is longer.
        trial_pause_s: shortest time between two trials of one router, in
            seconds.
        resend_interval_s: time between two reports of the same block to peers,
            in seconds; a router that starts learns of blocks this way.
        export_delay_s: time before a crash is reported to peers, in seconds.
            Most are cleared by then.
        max_exported: maximum number of crashes in one report.
        max_blocks: maximum number of blocks that are kept.
    """

    min_crashes: int = 3
    cleared_factor: int = 2
    min_crash_spacing_s: float = 0.2
    crash_memory_s: float = 30.0
    base_block_s: float = 2.0
    block_growth: float = 5.0
    trial_pause_s: float = 1.0
    resend_interval_s: float = 0.5
    export_delay_s: float = 0.1
    max_exported: int = 32
    max_blocks: int = 64


SENDS_OF_NEWS = 3
"""Number of reports that carry a change; some datagrams are lost."""


@dataclasses.dataclass(slots=True)
class Crash:
    """A crash of a target while it prepared an answer to a part.

    Attributes:
        at: when it occurred, as far as this router knows, monotonic seconds.
        is_cleared: whether a request with the part was answered later.
        is_known_to_peers: whether it was received from a peer or sent to one.
        sends_left: number of reports in which it is still to be sent.
    """

    at: float
    is_cleared: bool = False
    is_known_to_peers: bool = False
    sends_left: int = SENDS_OF_NEWS


@dataclasses.dataclass(slots=True)
class Block:
    """A part whose requests are not sent to targets.

    Attributes:
        level: number of blocks of the part before this one.
        since: when it began, monotonic seconds.
        is_lifted: whether a request with the part was answered since.
        sends_left: number of reports in which it is still to be sent.
        sent_at: when it was last sent, monotonic seconds.
        trial: request with the part that this router tries; None if none.
        next_trial_at: earliest time of the next trial, monotonic seconds.
    """

    level: int
    since: float
    is_lifted: bool = False
    sends_left: int = SENDS_OF_NEWS
    sent_at: float = -math.inf
    trial: str | None = None
    next_trial_at: float = -math.inf


CrashKey = tuple[ids.TargetId, int]
"""ID of a target and the start of its process, Unix milliseconds."""


class CrashEvidence:
    """What this router and its peers know about parts that crash targets.

    Attributes:
        settings: settings of blocking.
        is_tried_here: returns whether this router tries a part for the fleet.
        crashes: crashes of targets, by part and then by process.
        blocks: blocks by part, lifted ones included.
    """

    def __init__(
        self, settings: Settings, is_tried_here: Callable[[str], bool]
    ):
        self.settings = settings
        self.is_tried_here = is_tried_here
        self.crashes: dict[str, dict[CrashKey, Crash]] = {}
        self.blocks: dict[str, Block] = {}

    def note_crash(
        self,
        request_id: str,
        parts: Iterable[requests.Part],
        process: CrashKey,
        now: float,
    ) -> list[str]:
        """Records that a target crashed before it had answered a request.

        Args:
            request_id: the request.
            parts: parts of its prompt that other requests may share.
            process: the process that crashed.
            now: monotonic seconds.

        Returns:
            The parts that are blocked from now on.
        """
        blocked = []
        names = [part.name for part in parts]
        for name in names:
            found = self.crashes.setdefault(name, {})
            found.setdefault(process, Crash(now))
            block = self.blocks.get(name)
            if block is not None and block.trial == request_id:
                self._block(name, block.level + 1, now)
                blocked.append(name)
        return blocked + self._block_due(names, now)

    def note_answered(self, parts: Iterable[requests.Part]) -> list[str]:
        """Records that a target has begun to answer a request and lives.

        Returns:
            The parts whose blocks are lifted.
        """
        lifted = []
        for part in parts:
            for crash in self.crashes.get(part.name, {}).values():
                if not crash.is_cleared:
                    crash.is_cleared = True
                    crash.sends_left = SENDS_OF_NEWS
            block = self.blocks.get(part.name)
            if block is not None and not block.is_lifted:
                block.is_lifted = True
                block.sends_left = SENDS_OF_NEWS
                lifted.append(part.name)
        return lifted

    def note_end(
        self, request_id: str, parts: Iterable[requests.Part], now: float
    ) -> None:
        """Records the end of a request, which may have been a trial."""
        for part in parts:
            block = self.blocks.get(part.name)
            if block is not None and block.trial == request_id:
                block.trial = None
                block.next_trial_at = now + self.settings.trial_pause_s

    def find_block(
        self, request_id: str, parts: Iterable[requests.Part], now: float
    ) -> str | None:
        """Returns a part because of which a request must not be sent.

        None if there is none, or if the request is a trial.
        """
        for part in parts:
            block = self.blocks.get(part.name)
            if block is None or block.is_lifted or block.trial == request_id:
                continue
            if not self._may_try(part.name, block, now):
                return part.name
            block.trial = request_id
        return None

    def is_suspect(self, parts: Iterable[requests.Part], now: float) -> bool:
        """Whether a request that met a crash should not be sent again."""
        return any(
            self._count_crashes(part.name, now) > 1
            or (
                part.name in self.blocks
                and not self.blocks[part.name].is_lifted
            )
            for part in parts
        )

    def list_blocks(self) -> dict[str, Block]:
        """Returns the blocks in force, by part."""
        return {n: b for n, b in self.blocks.items() if not b.is_lifted}

    def put_block(self, part: str, level: int, now: float) -> None:
        """Adds a block that was kept outside of the fleet.

        Args:
            part: the part.
            level: level of the block.
            now: monotonic seconds; the block is taken to begin now.
        """
        known = self.blocks.get(part)
        if known is None or known.level < level:
            self._block(part, level, now)

    def export(
        self, now: float
    ) -> tuple[
        tuple[messages.CrashReport, ...], tuple[messages.BlockReport, ...]
    ]:
        """Returns the news for the next report to peers."""
        self._forget_old(now)
        return tuple(self._export_crashes(now)), tuple(self._export_blocks(now))

    def apply(
        self,
        crashes: Iterable[messages.CrashReport],
        blocks: Iterable[messages.BlockReport],
        now: float,
    ) -> list[str]:
        """Merges what a peer has reported.

        Args:
            crashes: crashes that the peer knows.
            blocks: blocks that the peer knows.
            now: monotonic seconds.

        Returns:
            The parts that are blocked from now on.
        """
        for item in crashes:
            self._merge_crash(item, now)
        blocked = [
            item.prefix for item in blocks if self._merge_block(item, now)
        ]
        names = dict.fromkeys(item.prefix for item in crashes)
        return blocked + self._block_due(list(names), now)

    def _may_try(self, part: str, block: Block, now: float) -> bool:
        growth = self.settings.block_growth**block.level
        ends_at = block.since + self.settings.base_block_s * growth
        return (
            block.trial is None
            and now >= max(ends_at, block.next_trial_at)
            and self.is_tried_here(part)
        )

    def _block(self, part: str, level: int, now: float) -> None:
        self.blocks.pop(part, None)
        self.blocks[part] = Block(level, now)
        while len(self.blocks) > self.settings.max_blocks:
            del self.blocks[next(iter(self.blocks))]

    def _block_due(self, parts: list[str], now: float) -> list[str]:
        """Blocks those of some parts against which there is enough evidence.

        The part with the strongest evidence is blocked first, since it may
        explain the crashes that count against the others.
        """
        blocked = []
        parts = [name for name in parts if not self._is_blocked(name)]
        while parts:
            part = max(parts, key=lambda name: self._rank(name, now))
            known = self.crashes.get(part, {}).values()
            needed = self.settings.min_crashes
            if any(crash.is_cleared for crash in known):
                needed *= self.settings.cleared_factor
            parts.remove(part)
            if self._count_crashes(part, now) >= needed:
                block = self.blocks.get(part)
                self._block(part, block.level + 1 if block else 0, now)
                blocked.append(part)
        return blocked

    def _rank(self, part: str, now: float) -> tuple[int, int]:
        cleared = sum(c.is_cleared for c in self.crashes[part].values())
        return -cleared, self._count_crashes(part, now)

    def _is_blocked(self, part: str) -> bool:
        block = self.blocks.get(part)
        return block is not None and not block.is_lifted

    def _find_explained(self, part: str) -> set[CrashKey]:
        """Returns the crashes that other parts, which are blocked, explain."""
        return {
            process
            for name in self.blocks
            if name != part and self._is_blocked(name)
            for process in self.crashes.get(name, ())
        }

    def _count_crashes(self, part: str, now: float) -> int:
        """Counts crashes that speak against a part.

        Not counted are those that were cleared, that a blocked part explains,
        or that follow another within `min_crash_spacing_s`.
        """
        explained = self._find_explained(part)
        times = sorted(
            crash.at
            for process, crash in self.crashes.get(part, {}).items()
            if not crash.is_cleared
            and process not in explained
            and now - crash.at < self.settings.crash_memory_s
        )
        count = 0
        counted_at = -math.inf
        for at in times:
            if at - counted_at >= self.settings.min_crash_spacing_s:
                count += 1
                counted_at = at
        return count

    def _export_crashes(self, now: float) -> Iterable[messages.CrashReport]:
        left = self.settings.max_exported
        for part, found in self.crashes.items():
            for (target, start_ms), crash in found.items():
                is_new = not crash.is_known_to_peers
                if crash.sends_left == 0 or left == 0:
                    continue
                if is_new and crash.is_cleared:
                    continue
                age_s = now - crash.at
                if is_new and age_s < self.settings.export_delay_s:
                    continue
                crash.is_known_to_peers = True
                crash.sends_left -= 1
                left -= 1
                yield messages.CrashReport(
                    part, target, start_ms, age_s * 1000, crash.is_cleared
                )

    def _export_blocks(self, now: float) -> Iterable[messages.BlockReport]:
        for part, block in self.blocks.items():
            is_due = now - block.sent_at >= self.settings.resend_interval_s
            if block.sends_left == 0 and not is_due:
                continue
            block.sends_left = max(block.sends_left - 1, 0)
            block.sent_at = now
            age_s = now - block.since
            yield messages.BlockReport(
                part, block.level, age_s * 1000, block.is_lifted
            )

    def _merge_crash(self, item: messages.CrashReport, now: float) -> None:
        at = now - item.age_ms / 1000
        if now - at >= self.settings.crash_memory_s:
            return
        found = self.crashes.setdefault(item.prefix, {})
        process = (item.target, item.start_ms)
        crash = found.get(process)
        if crash is None:
            found[process] = Crash(at, item.is_cleared, is_known_to_peers=True)
            return
        crash.is_known_to_peers = True
        if item.is_cleared and not crash.is_cleared:
            crash.is_cleared = True
            crash.sends_left = SENDS_OF_NEWS

    def _merge_block(self, item: messages.BlockReport, now: float) -> bool:
        """Returns whether the part is blocked from now on."""
        known = self.blocks.get(item.prefix)
        if known is None or known.level < item.level:
            self._block(item.prefix, item.level, now - item.age_ms / 1000)
            self.blocks[item.prefix].is_lifted = item.is_lifted
            return not item.is_lifted
        if known.level == item.level and item.is_lifted:
            if not known.is_lifted:
                known.sends_left = SENDS_OF_NEWS
            known.is_lifted = True
        return False

    def _forget_old(self, now: float) -> None:
        for part, found in list(self.crashes.items()):
            for process, crash in list(found.items()):
                if now - crash.at >= self.settings.crash_memory_s:
                    del found[process]
            if not found:
                del self.crashes[part]
