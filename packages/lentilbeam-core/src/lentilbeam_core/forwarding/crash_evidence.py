"""Finds requests that crash the targets which answer them, and blocks them.

A request that crashes its target (a "query of death") also ends the requests
that run there beside it. Such requests may share only one part of their
prompts, or come again alike, as a whole. Both are identities: the name of a
part, and the digest of a whole request. An identity is blocked if several
targets crashed while they prepared an answer to it, and no request with it has
been answered since. Identities of sound requests are cleared by their answers,
and a crash that a blocked identity explains does not count against others.

A sound request that is sent again may meet several crashes of the same deadly
one. A whole request is therefore blocked only if the crashes under it speak
against no other identity as well.

What is known is merged from all routers. Blocks have a level that rises, and
are lifted once at each level, so reports may be lost, repeated or arrive in any
order.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math

from lentilbeam_core import messages
from lentilbeam_core.forwarding import crash_table
from lentilbeam_core.forwarding import request_identity


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of blocking.

    Attributes:
        table: settings of the table of crashes.
        min_crashes: crashes without an answer after which an identity is
            blocked.
        settling_s: time after a crash until it counts, in seconds. Routers
            that had other requests at the target have reported it by then.
        cleared_factor: factor by which more crashes are needed for an
            identity that was cleared of an earlier one.
        decide_interval_s: shortest time between two decisions on what to block,
            in seconds.
        base_block_s: length of the first block, in seconds. After it, a single
            request with the identity is tried.
        block_growth: factor by which each further block is longer.
        trial_pause_s: time until the next trial if one was not sent to a
            target, in seconds. After one that was sent and showed nothing, it
            is the length of the block.
        resend_interval_s: time between two reports of the same block to peers,
            in seconds; a router that starts learns of blocks this way.
        lifted_memory_s: time after which a lifted block is forgotten, in
            seconds.
        max_blocks: maximum number of blocks that are kept.
        max_name_bytes: longest name of an identity that is recorded. Names are
            chosen by callers, and are sent to peers and kept in the store.
    """

    table: crash_table.Settings = dataclasses.field(
        default_factory=crash_table.Settings
    )
    min_crashes: int = 3
    settling_s: float = 0.3
    decide_interval_s: float = 0.05
    cleared_factor: int = 2
    base_block_s: float = 2.0
    block_growth: float = 5.0
    trial_pause_s: float = 1.0
    resend_interval_s: float = 0.5
    lifted_memory_s: float = 60.0
    max_blocks: int = 64
    max_name_bytes: int = 128


@dataclasses.dataclass(slots=True)
class Block:
    """An identity whose requests are not sent to targets.

    Attributes:
        level: number of blocks of the identity before this one.
        since: when it began, monotonic seconds.
        lifted_at: when this router learned that a request with the identity was
            answered, monotonic seconds; None while the block is in force.
        sends_left: number of reports in which it is still to be sent.
        sent_at: when it was last sent, monotonic seconds.
        trial: request with the identity that this router tries; None if none.
        next_trial_at: earliest time of the next trial, monotonic seconds.
    """

    level: int
    since: float
    lifted_at: float | None = None
    sends_left: int = crash_table.SENDS_OF_NEWS
    sent_at: float = -math.inf
    trial: str | None = None
    next_trial_at: float = -math.inf

    @property
    def is_lifted(self) -> bool:
        """Whether a request with the identity was answered since."""
        return self.lifted_at is not None

    def lift(self, now: float) -> None:
        """Ends the block."""
        self.lifted_at = now
        self.sends_left = crash_table.SENDS_OF_NEWS


class CrashEvidence:
    """What this router and its peers know about identities that crash targets.

    Attributes:
        settings: settings of blocking.
        is_tried_here: returns whether this router tries an identity for the
            fleet.
        table: crashes of targets.
        blocks: blocks by identity, lifted ones included.
        undecided: identities with crashes that `decide` has yet to judge.
        decided_at: when `decide` last judged them, monotonic seconds.
    """

    def __init__(
        self, settings: Settings, is_tried_here: Callable[[str], bool]
    ):
        self.settings = settings
        self.is_tried_here = is_tried_here
        self.table = crash_table.CrashTable(settings.table)
        self.blocks: dict[str, Block] = {}
        self.undecided: dict[str, None] = {}
        self.decided_at = -math.inf

    def note_crash(
        self,
        request_id: str,
        identities: Iterable[str],
        process: crash_table.ProcessKey,
        sent_at: float,
        now: float,
    ) -> list[str]:
        """Records that a target crashed before it had answered a request.

        Args:
            request_id: the request.
            identities: its prompt parts that other requests may share, and the
                digest of the whole request.
            process: the process that crashed.
            sent_at: when the request was sent there, monotonic seconds.
            now: monotonic seconds.

        Returns:
            The identities that are blocked from now on.
        """
        blocked = []
        names = [
            name
            for name in identities
            if len(name.encode()) <= self.settings.max_name_bytes
        ]
        for name in names:
            self.table.note(name, process, sent_at, now)
            self.undecided[name] = None
            block = self.blocks.get(name)
            if block is not None and block.trial == request_id:
                self._block(name, block.level + 1, now)
                blocked.append(name)
        return blocked

    def note_answered(self, identities: Iterable[str], now: float) -> list[str]:
        """Records that a target has begun to answer a request and lives.

        Args:
            identities: its prompt parts that other requests may share, and the
                digest of the whole request.
            now: monotonic seconds.

        Returns:
            The identities whose blocks are lifted.
        """
        lifted = []
        for name in identities:
            self.table.clear(name)
            if self._is_blocked(name):
                self.blocks[name].lift(now)
                lifted.append(name)
        return lifted

    def note_end(
        self,
        request_id: str,
        identities: Iterable[str],
        is_sent: bool,
        now: float,
    ) -> None:
        """Records the end of a request, which may have been a trial.

        Args:
            request_id: the request.
            identities: its prompt parts that other requests may share, and the
                digest of the whole request.
            is_sent: whether it was sent to a target.
            now: monotonic seconds.
        """
        for name in identities:
            block = self.blocks.get(name)
            if block is not None and block.trial == request_id:
                block.trial = None
                pause_s = self.settings.trial_pause_s
                if is_sent:
                    pause_s = max(pause_s, self._find_length(block))
                block.next_trial_at = now + pause_s

    def find_block(
        self, request_id: str, identities: Iterable[str], now: float
    ) -> str | None:
        """Returns an identity because of which a request must not be sent.

        None if there is none, or if the request is a trial.
        """
        for name in identities:
            block = self.blocks.get(name)
            if block is None or block.is_lifted or block.trial == request_id:
                continue
            if not self._may_try(name, block, now):
                return name
            block.trial = request_id
        return None

    def is_suspect(self, identities: Iterable[str], now: float) -> bool:
        """Whether a request that met a crash should not be sent again."""
        return any(
            self._is_blocked(name) or self._count_crashes(name, now) > 1
            for name in identities
        )

    def list_blocks(self) -> dict[str, Block]:
        """Returns the blocks in force, by identity."""
        return {n: b for n, b in self.blocks.items() if not b.is_lifted}

    def put_block(self, identity: str, level: int, now: float) -> None:
        """Adds a block that was kept outside of the fleet.

        Args:
            identity: the identity.
            level: level of the block.
            now: monotonic seconds; the block is taken to begin now.
        """
        known = self.blocks.get(identity)
        if known is None or known.level < level:
            self._block(identity, level, now)

    def export(
        self, now: float
    ) -> tuple[
        tuple[messages.CrashReport, ...], tuple[messages.BlockReport, ...]
    ]:
        """Returns the news for the next report to peers."""
        for identity, block in list(self.blocks.items()):
            if (
                block.lifted_at is not None
                and now - block.lifted_at >= self.settings.lifted_memory_s
            ):
                del self.blocks[identity]
        return self.table.export(now), tuple(self._export_blocks(now))

    def decide(self, now: float) -> list[str]:
        """Blocks the identities against which there is enough evidence.

        Args:
            now: monotonic seconds.

        Returns:
            The identities that are blocked from now on.
        """
        if now - self.decided_at < self.settings.decide_interval_s:
            return []
        self.decided_at = now
        names = list(self.undecided)
        blocked = self._block_due(names, now)
        for name in names:
            # One whose rivals are blamed as well waits for more evidence.
            is_settled = now - self.table.find_last(name) >= (
                self.settings.settling_s
            )
            if self._is_blocked(name) or (
                is_settled and not self._has_enough(name, now)
            ):
                del self.undecided[name]
        return blocked

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
            The identities that are blocked from now on.
        """
        for name in self.table.merge(crashes, now):
            self.undecided[name] = None
        return [item.prefix for item in blocks if self._merge_block(item, now)]

    def _may_try(self, identity: str, block: Block, now: float) -> bool:
        ends_at = block.since + self._find_length(block)
        return (
            block.trial is None
            and now >= max(ends_at, block.next_trial_at)
            and self.is_tried_here(identity)
        )

    def _find_length(self, block: Block) -> float:
        growth = self.settings.block_growth**block.level
        return self.settings.base_block_s * growth

    def _block(self, identity: str, level: int, since: float) -> None:
        self.blocks.pop(identity, None)
        self.blocks[identity] = Block(level, since)
        while len(self.blocks) > self.settings.max_blocks:
            del self.blocks[next(iter(self.blocks))]

    def _block_due(self, identities: list[str], now: float) -> list[str]:
        """Blocks those of the identities that are due.

        The identity with the strongest evidence is blocked first, since it may
        explain the crashes that count against the others.
        """
        blocked = []
        while due := [
            identity for identity in identities if self._is_due(identity, now)
        ]:
            identity = max(due, key=lambda name: self._rank(name, now))
            block = self.blocks.get(identity)
            level = block.level + 1 if block else 0
            self._block(identity, level, self.table.find_last(identity))
            blocked.append(identity)
        return blocked

    def _is_due(self, identity: str, now: float) -> bool:
        """Whether an identity is to be blocked."""
        if not self._has_enough(identity, now):
            return False
        if not request_identity.is_whole_request(identity):
            return True
        unexplained = self.table.find_open(identity) - self._find_explained(
            identity
        )
        return not self.table.find_rivals(identity, unexplained)

    def _has_enough(self, identity: str, now: float) -> bool:
        """Whether there is enough evidence to block an identity."""
        needed = self.settings.min_crashes
        if len(self.table.by_identity.get(identity, ())) < needed:
            return False
        if self.table.count_cleared(identity):
            needed *= self.settings.cleared_factor
        return (
            not self._is_blocked(identity)
            and self._count_crashes(identity, now, self.settings.settling_s)
            >= needed
        )

    def _rank(self, identity: str, now: float) -> tuple[int, int]:
        cleared = self.table.count_cleared(identity)
        return -cleared, self._count_crashes(identity, now)

    def _is_blocked(self, identity: str) -> bool:
        block = self.blocks.get(identity)
        return block is not None and not block.is_lifted

    def _count_crashes(
        self, identity: str, now: float, min_age_s: float = 0.0
    ) -> int:
        """Counts the crashes of an identity that no blocked one explains."""
        return self.table.count(
            identity, self._find_explained(identity), now, min_age_s
        )

    def _find_explained(self, identity: str) -> set[crash_table.ProcessKey]:
        """Returns the processes that another, blocked identity crashed."""
        return {
            process
            for name, block in self.blocks.items()
            if name != identity and not block.is_lifted
            for process in self.table.by_identity.get(name, ())
        }

    def _export_blocks(self, now: float) -> Iterable[messages.BlockReport]:
        for identity, block in self.blocks.items():
            is_due = now - block.sent_at >= self.settings.resend_interval_s
            if block.sends_left == 0 and (block.is_lifted or not is_due):
                continue
            block.sends_left = max(block.sends_left - 1, 0)
            block.sent_at = now
            age_ms = (now - block.since) * 1000
            yield messages.BlockReport(
                identity, block.level, age_ms, block.is_lifted
            )

    def _merge_block(self, item: messages.BlockReport, now: float) -> bool:
        """Returns whether the identity is blocked from now on."""
        known = self.blocks.get(item.prefix)
        if known is None or known.level < item.level:
            self._block(item.prefix, item.level, now - item.age_ms / 1000)
            if item.is_lifted:
                self.blocks[item.prefix].lift(now)
            return not item.is_lifted
        if known.level == item.level and known.is_lifted != item.is_lifted:
            # A peer that has missed that the block was lifted is told again.
            known.lift(now)
        return False
