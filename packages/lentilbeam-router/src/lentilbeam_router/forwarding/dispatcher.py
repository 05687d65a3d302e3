"""Carries out the decisions of a pool's admission: wakes who may go."""

import asyncio
import math
import random
from typing import Any

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ejection
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core.forwarding import admission
from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import loads as loads_lib
from lentilbeam_core.forwarding import outliers
from lentilbeam_core.forwarding import placement
from lentilbeam_core.forwarding import requests
from lentilbeam_core.forwarding import retry_budget
from lentilbeam_core.forwarding import shares
from lentilbeam_core.forwarding import target_list

OUTLIERS_AGE_S = 0.05
"""Failing targets are looked for at most this often; reports of peers come
about as often."""
LEAST_WAIT_S = 0.02
"""Least time between two looks at a queue in which nothing changes."""


class Dispatcher:
    """The requests of one pool that wait or run at this router."""

    def __init__(
        self,
        current: configuration.Configuration,
        name: ids.PoolId,
        targets: target_list.TargetList,
        budget: retry_budget.Settings,
        data_centre: ids.DataCentreId,
        window_s: float,
        clock: clock_lib.Clock,
        draw: random.Random,
    ):
        pool = current.pools[name]
        self.pool = pool
        self.targets = targets
        self.clock = clock
        self.budget = retry_budget.RetryBudget(budget)
        self.loads = loads_lib.Loads()
        self.usage = shares.Usage(window_s)
        self.placer = placement.Placer(
            placement.Settings(), pool, self.loads, data_centre, draw
        )
        self.admission = admission.Admission(
            admission.Settings(), self.placer, self.usage, draw
        )
        self.ejector = ejection.Ejector(ejection.Settings())
        self.waiters: dict[str, asyncio.Future[admission.Decision]] = {}
        self.placed: list[tuple[messages.PlacedPart, ...]] = []
        self.timer: asyncio.TimerHandle | None = None
        self.avoided: set[ids.TargetId] = set()
        self.avoided_at = -math.inf
        self.is_changed = False
        self.change_configuration(current)

    def change_configuration(
        self, current: configuration.Configuration
    ) -> None:
        """Takes in a new version; a pool that it lacks stays as it was."""
        self.pool = current.pools.get(self.pool.name, self.pool)
        self.placer.change_pool(self.pool)
        if self.pool.engine is not None:
            self.admission.owed_per_s = current.limits.tokens_per_s

    async def place(
        self,
        request: requests.Request,
        excluded: frozenset[ids.TargetId] = frozenset(),
    ) -> admission.Decision:
        """Waits until the request may be sent or is refused."""
        future = asyncio.get_running_loop().create_future()
        self.waiters[request.name] = future
        self.admission.enqueue(request, self.clock.monotonic(), excluded)
        self.decide()
        try:
            return await future
        except asyncio.CancelledError:
            self._give_back(request, future)
            raise
        finally:
            self.waiters.pop(request.name, None)

    def note_first_event(
        self, name: str, at: placement.Placement, elapsed_s: float
    ) -> None:
        """Notes that an answer has begun: its prompt was read.

        Args:
            name: the request.
            at: where it runs.
            elapsed_s: time since it was sent.
        """
        self.loads.read(name)
        self.placer.note_read(at, elapsed_s)
        self.is_changed = True
        self.decide()

    def note_end(self, name: str) -> None:
        """Notes that a request is no longer at its target."""
        self.loads.end(name)
        self.is_changed = True
        self.decide()

    def note_failure(self, target: ids.TargetId, is_fault: bool) -> bool:
        """Counts a failure against a target; tells if it is now ejected.

        Args:
            target: where a request failed.
            is_fault: whether the target is at fault, rather than full.
        """
        now = self.clock.monotonic()
        if is_fault:
            self.loads.note_outcome(target, True, now)
            self.is_changed = True
        listed = {t.name: t for t in self.targets.find_usable(self.pool.name)}
        return self.ejector.record_failures(target, 1, listed, now)

    def note_success(self, target: ids.TargetId) -> None:
        """Counts a whole answer for a target."""
        self.loads.note_outcome(target, False, self.clock.monotonic())
        self.ejector.record_success(target)

    def decide(self) -> None:
        """Places what can be placed, and refuses what must go."""
        if not self.admission.queues:
            return
        now = self.clock.monotonic()
        for decision in self.admission.decide(self.find_usable(), now):
            if isinstance(decision, admission.Placed):
                self._note_placed(decision)
            future = self.waiters.get(decision.request.name)
            if future is not None and not future.done():
                future.set_result(decision)
        self._schedule(now)

    def take_placed(self, has_last: bool) -> tuple[messages.PlacedPart, ...]:
        """Returns the parts of prompts placed since the last report.

        Args:
            has_last: whether each prompt's last part is wanted: few requests
                share it, and it is a third of all parts.
        """
        placed = tuple(
            part
            for parts in self.placed
            for part in (parts if has_last else parts[:-1])
        )
        self.placed.clear()
        return placed

    def describe_share(self, workspace: ids.WorkspaceId) -> dict[str, Any]:
        """Returns what decides on a workspace's requests, for the log."""
        now = self.clock.monotonic()
        usage = self.usage
        owed_per_s = self.admission.owed_per_s
        standing = usage.find_standing(workspace, owed_per_s, now)
        heard_at = max((at for at, _ in usage.peers.values()), default=None)
        return {
            "standing": standing.value,
            "received": round(usage.total(workspace, now)),
            "owed_level": _round_level(usage.owed_level),
            "even_level": _round_level(usage.even_level),
            "usage_age_s": None
            if heard_at is None
            else round(now - heard_at, 3),
        }

    def read_gauges(self, now: float) -> dict[str, float]:
        """Returns the current values that the metrics page shows."""
        totals = [
            self.loads.total(entry.name, now)
            for entry in self.targets.find_usable(self.pool.name)
        ]
        return {
            "waiting": self.admission.count_waiting(),
            "own_running": len(self.loads.sent),
            "fleet_running": sum(load.running for load in totals),
            "fleet_unread_tokens": sum(load.unread for load in totals),
            "targets_usable": len(self.find_usable()),
            "workspaces_asking": len(self.usage.asked),
            "repeats_in_window": len(self.budget.repeats),
        }

    def hear(self, peer: ids.InstanceId, report: messages.LoadReport) -> None:
        """Takes in a peer's work."""
        now = self.clock.monotonic()
        if report.kind is not messages.ReportKind.PARTS:
            uses = [use for use in report.uses if use.pool == self.pool.name]
            self.usage.hear(peer, tuple(uses), now)
            self.loads.hear(peer, report.loads, now)
        self._hear_placed(report.placed, now)

    def drop_peer(self, peer: ids.InstanceId) -> None:
        """Forgets a peer's work: another report includes it."""
        self.usage.drop(peer)
        self.loads.drop(peer)

    def _hear_placed(
        self, placed: tuple[messages.PlacedPart, ...], now: float
    ) -> None:
        runs: dict[ids.TargetId, list[requests.Part]] = {}
        for part in placed:
            runs.setdefault(part.target, []).append(
                requests.Part(part.prefix, part.tokens)
            )
        for target, parts in runs.items():
            entry = self.targets.entries.get(target)
            if entry is not None and entry.pool == self.pool.name:
                self.placer.note_sent(target, tuple(parts), now)

    def find_usable(self) -> list[target_list.Entry]:
        """Returns the targets that may get a request now."""
        now = self.clock.monotonic()
        usable = []
        listed = self.targets.find_usable(self.pool.name)
        if now - self.avoided_at >= OUTLIERS_AGE_S:
            self._refresh_avoided(listed, now)
        for entry in listed:
            is_ejected = self.ejector.is_ejected(entry.name, now)
            if is_ejected or entry.name in self.avoided:
                continue
            own = self.loads.own.get(entry.name)
            is_busy = own is not None and own.running > 0
            if is_busy and self.ejector.needs_probe(entry.name):
                continue
            usable.append(entry)
        return usable

    def _refresh_avoided(
        self, listed: list[target_list.Entry], now: float
    ) -> None:
        self.avoided_at = now
        totals = {e.name: self.loads.total(e.name, now) for e in listed}
        slots = {entry.name: entry.slots for entry in listed}
        self.avoided = outliers.find_outliers(
            totals, slots, outliers.Settings()
        )

    def _note_placed(self, decision: admission.Placed) -> None:
        self.is_changed = True
        prompt = decision.request.prompt
        if prompt is None:
            return
        target = decision.placement.target.name
        self.placed.append(
            tuple(
                messages.PlacedPart(target, part.name, part.tokens)
                for part in prompt.parts
            )
        )

    def _give_back(
        self, request: requests.Request, future: asyncio.Future
    ) -> None:
        self.admission.withdraw(request.name)
        if future.done() and not future.cancelled():
            self.note_end(request.name)

    def _schedule(self, now: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        deadline = self.admission.next_deadline()
        if deadline is not None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(
                max(deadline - now, LEAST_WAIT_S), self.decide
            )


def _round_level(level: float) -> int | None:
    return None if math.isinf(level) else round(level)
