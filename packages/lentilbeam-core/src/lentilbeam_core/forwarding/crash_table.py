"""Crashes of targets by what they were preparing answers to.

That is an identity of requests: a part of their prompts, or the digest of whole
requests that come again alike.

Each router records what it sees and merges what its peers report. An entry only
ever changes from open to cleared, so reports may be lost, repeated or arrive in
any order.
"""

from collections.abc import Iterable
import dataclasses
import math

from lentilbeam_core import ids
from lentilbeam_core import messages

SENDS_OF_NEWS = 3
"""Number of reports that carry a change; some datagrams are lost."""

ProcessKey = tuple[ids.TargetId, int]
"""ID of a target and the start of its process, Unix milliseconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the table.

    Attributes:
        report_delay_s: longest time until a crash is known at another router
            and appears to be as recent there, in seconds.
        memory_s: time after which a crash is forgotten, in seconds.
        max_crashes: maximum number of crashes that are kept; the oldest are
            forgotten first.
        export_delay_s: time before a crash is reported to peers, in seconds.
            Most are cleared by then.
        max_exported: maximum number of crashes in one report.
    """

    report_delay_s: float = 0.05
    memory_s: float = 30.0
    max_crashes: int = 2000
    export_delay_s: float = 0.1
    max_exported: int = 32


@dataclasses.dataclass(slots=True)
class Crash:
    """A crash of a target while it prepared an answer.

    Attributes:
        at: when it occurred, as far as this router knows, monotonic seconds.
        sent_at: when the request was sent to the target, monotonic seconds.
        is_cleared: whether a request with the identity was answered later.
        is_known_to_peers: whether it was received from a peer or sent to one.
        sends_left: number of reports in which it is still to be sent.
    """

    at: float
    sent_at: float
    is_cleared: bool = False
    is_known_to_peers: bool = False
    sends_left: int = SENDS_OF_NEWS


class CrashTable:
    """What this router and its peers know about crashes.

    Attributes:
        settings: settings of the table.
        crashes: crashes by identity and process, the oldest first.
        by_identity: processes that crashed, by identity.
        unsent: keys of the crashes that are still to be sent to peers.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.crashes: dict[tuple[str, ProcessKey], Crash] = {}
        self.by_identity: dict[str, set[ProcessKey]] = {}
        self.unsent: dict[tuple[str, ProcessKey], None] = {}

    def note(
        self, identity: str, process: ProcessKey, sent_at: float, now: float
    ) -> None:
        """Records a crash that this router has seen."""
        if (identity, process) not in self.crashes:
            self._add(identity, process, Crash(now, sent_at))

    def clear(self, identity: str) -> None:
        """Clears an identity of its crashes: a request with it was answered."""
        for process in self.by_identity.get(identity, ()):
            self._clear(identity, process)

    def count(
        self,
        identity: str,
        explained: set[ProcessKey],
        now: float,
        min_age_s: float = 0.0,
    ) -> int:
        """Counts the crashes that speak against an identity.

        Not counted are those that were cleared, those that are explained, and
        those whose request was sent before the crash counted last. Targets that
        crash together for another reason were all preparing answers to the most
        common identities.

        Args:
            identity: the identity.
            explained: processes whose crashes have another cause.
            now: monotonic seconds.
            min_age_s: age from which crashes are counted, in seconds.
        """
        crashes = [
            self.crashes[identity, process]
            for process in self.find_open(identity) - explained
        ]
        crashes.sort(key=lambda crash: crash.at)
        count = 0
        counted_at = -math.inf
        for crash in crashes:
            age_s = now - crash.at
            is_recent = min_age_s <= age_s < self.settings.memory_s
            sent_by = crash.sent_at + self.settings.report_delay_s
            if is_recent and sent_by >= counted_at:
                count += 1
                counted_at = crash.at
        return count

    def find_open(self, identity: str) -> set[ProcessKey]:
        """Returns the processes whose crashes still speak against one."""
        return {
            process
            for process in self.by_identity.get(identity, ())
            if not self.crashes[identity, process].is_cleared
        }

    def find_last(self, identity: str) -> float:
        """Returns when an identity met its last crash, monotonic seconds."""
        return max(
            (
                self.crashes[identity, p].at
                for p in self.by_identity.get(identity, ())
            ),
            default=-math.inf,
        )

    def find_rivals(
        self, identity: str, processes: set[ProcessKey]
    ) -> set[str]:
        """Returns the other identities that the same crashes speak against."""
        rivals = {
            other
            for (other, process), crash in self.crashes.items()
            if process in processes and not crash.is_cleared
        }
        rivals.discard(identity)
        return {name for name in rivals if processes <= self.find_open(name)}

    def count_cleared(self, identity: str) -> int:
        """Counts the crashes of which an identity was cleared."""
        return sum(
            self.crashes[identity, process].is_cleared
            for process in self.by_identity.get(identity, ())
        )

    def export(self, now: float) -> tuple[messages.CrashReport, ...]:
        """Returns the news for the next report to peers.

        The identities with most crashes go first, if not all fit.
        """
        self._forget_old(now)
        ready = [key for key in list(self.unsent) if self._is_ready(key, now)]
        ready.sort(key=lambda key: len(self.by_identity[key[0]]), reverse=True)
        return tuple(
            self._send(key, now) for key in ready[: self.settings.max_exported]
        )

    def merge(
        self, reports: Iterable[messages.CrashReport], now: float
    ) -> list[str]:
        """Merges the crashes that a peer has reported.

        Returns:
            The identities with crashes that this router did not know.
        """
        changed: dict[str, None] = {}
        for item in reports:
            at = now - item.age_ms / 1000
            if now - at >= self.settings.memory_s:
                continue
            process = (item.target, item.start_ms)
            crash = self.crashes.get((item.prefix, process))
            if crash is None:
                sent_at = at - item.run_ms / 1000
                crash = Crash(at, sent_at, item.is_cleared)
                self._add(item.prefix, process, crash)
                changed[item.prefix] = None
            elif item.is_cleared:
                self._clear(item.prefix, process)
            crash.is_known_to_peers = True
        return list(changed)

    def _add(self, identity: str, process: ProcessKey, crash: Crash) -> None:
        self.crashes[identity, process] = crash
        self.by_identity.setdefault(identity, set()).add(process)
        self.unsent[identity, process] = None
        if len(self.crashes) > self.settings.max_crashes:
            self._forget(next(iter(self.crashes)))

    def _clear(self, identity: str, process: ProcessKey) -> None:
        crash = self.crashes[identity, process]
        if not crash.is_cleared:
            crash.is_cleared = True
            crash.sends_left = SENDS_OF_NEWS
            self.unsent[identity, process] = None

    def _is_ready(self, key: tuple[str, ProcessKey], now: float) -> bool:
        """Whether a crash is to be sent now; drops it if it never is."""
        crash = self.crashes[key]
        if crash.is_known_to_peers:
            return True
        if crash.is_cleared:
            del self.unsent[key]
            return False
        return now - crash.at >= self.settings.export_delay_s

    def _send(
        self, key: tuple[str, ProcessKey], now: float
    ) -> messages.CrashReport:
        identity, (target, start_ms) = key
        crash = self.crashes[key]
        crash.is_known_to_peers = True
        crash.sends_left -= 1
        if crash.sends_left == 0:
            del self.unsent[key]
        age_ms = (now - crash.at) * 1000
        run_ms = (crash.at - crash.sent_at) * 1000
        return messages.CrashReport(
            identity, target, start_ms, age_ms, crash.is_cleared, run_ms
        )

    def _forget_old(self, now: float) -> None:
        while self.crashes:
            key = next(iter(self.crashes))
            if now - self.crashes[key].at < self.settings.memory_s:
                return
            self._forget(key)

    def _forget(self, key: tuple[str, ProcessKey]) -> None:
        identity, process = key
        del self.crashes[key]
        self.unsent.pop(key, None)
        self.by_identity[identity].discard(process)
        if not self.by_identity[identity]:
            del self.by_identity[identity]
