"""Blocked identities of requests: who tries them and who stores them.

Identities are prompt parts and digests of whole requests, see `crash_evidence`.
"""

from collections.abc import Callable
import math

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core import rendezvous
from lentilbeam_core.forwarding import crash_evidence
from lentilbeam_router.forwarding import decision_log
from lentilbeam_router.forwarding import peers as peers_lib

RESPONSIBILITY_MAX_AGE_S = 0.5
"""Time for which a router keeps whether it is responsible for a blocked part:
finding out takes milliseconds in a fleet of thousands."""
MAX_RESPONSIBILITIES = 256
"""Maximum number of parts for which that is kept."""

StoredBlock = tuple[int, bool]
"""Level of a block and whether it was lifted, see `messages.BlockReport`."""


class PromptBlocks:
    """What this router knows and does about blocked identities.

    For each identity one router of the fleet is responsible. It tries whether
    requests with it are sound again, and writes the block to the store.

    Attributes:
        own_name: ID of this router.
        peers: the other routers.
        is_ready: returns whether this router takes requests.
        evidence: tells which requests crash their targets.
        stored: blocks as the store holds them, by part.
        responsibilities: results of `is_responsible_for` and when they were
            found, monotonic seconds, by part.
    """

    def __init__(
        self,
        own_name: ids.InstanceId,
        peers: peers_lib.Peers,
        is_ready: Callable[[], bool],
        clock: clock_lib.Clock,
        log: decision_log.DecisionLog,
    ):
        self.own_name = own_name
        self.peers = peers
        self.is_ready = is_ready
        self.clock = clock
        self.log = log
        self.evidence = crash_evidence.CrashEvidence(
            crash_evidence.Settings(), self.is_responsible_for
        )
        self.stored: dict[str, StoredBlock] = {}
        self.responsibilities: dict[str, tuple[float, bool]] = {}

    def is_responsible_for(self, part: str) -> bool:
        """Whether this router is responsible for a part."""
        now = self.clock.monotonic()
        found_at, is_responsible = self.responsibilities.get(
            part, (-math.inf, False)
        )
        if now - found_at < RESPONSIBILITY_MAX_AGE_S:
            return is_responsible
        names = [entry.name for entry in self.peers.find_serving()]
        if self.is_ready():
            names.append(self.own_name)
        is_responsible = rendezvous.choose(part, names) == self.own_name
        self.responsibilities[part] = (now, is_responsible)
        while len(self.responsibilities) > MAX_RESPONSIBILITIES:
            del self.responsibilities[next(iter(self.responsibilities))]
        return is_responsible

    def apply_report(
        self, peer: ids.InstanceId, report: messages.LoadReport
    ) -> None:
        """Merges the crashes and blocks that a peer has reported."""
        now = self.clock.monotonic()
        for part in self.evidence.apply(report.crashes, report.blocks, now):
            self.log.write_event("part_blocked", part=part, source=peer)

    def export(
        self,
    ) -> tuple[
        tuple[messages.CrashReport, ...], tuple[messages.BlockReport, ...]
    ]:
        """Decides what to block; returns the news for the next report."""
        self.decide()
        return self.evidence.export(self.clock.monotonic())

    def decide(self) -> None:
        """Blocks what crashes targets, as far as this router knows."""
        for part in self.evidence.decide(self.clock.monotonic()):
            self.log.write_event("part_blocked", part=part, source="crash")

    def apply_stored(self, part: str, level: int | None) -> None:
        """Applies a block from the store.

        Args:
            part: the prompt part.
            level: level of the block; None if the part isn't blocked any more.
        """
        if level is None:
            self.stored.pop(part, None)
            return
        self.stored[part] = (level, False)
        known = self.evidence.blocks.get(part)
        if known is None or known.level < level:
            self.evidence.put_block(part, level, self.clock.monotonic())
            self.log.write_event("part_blocked", part=part, source="store")

    def list_unstored(self) -> list[tuple[str, int | None]]:
        """Returns the blocks that this router has to write to the store.

        Returns:
            Each part with its level; None instead of the level if it isn't
            blocked any more.
        """
        self.decide()
        unstored = []
        for part, block in self.evidence.blocks.items():
            stored = self.stored.get(part)
            if stored == (block.level, block.is_lifted):
                continue
            if block.is_lifted and stored is None:
                continue
            if self.is_responsible_for(part):
                level = None if block.is_lifted else block.level
                unstored.append((part, level))
        return unstored

    def note_stored(self, part: str, level: int | None) -> None:
        """Records that a block from `list_unstored` was written."""
        if level is None:
            self.stored.pop(part, None)
        else:
            self.stored[part] = (level, False)
