"""Queues the requests of one pool and applies the admission decisions."""

import asyncio
from collections.abc import Callable
import math
import random
from typing import Any

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ejection
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core.forwarding import admission
from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import decisions as decisions_lib
from lentilbeam_core.forwarding import fleet_demand
from lentilbeam_core.forwarding import limit_parts as limit_parts_lib
from lentilbeam_core.forwarding import loads as loads_lib
from lentilbeam_core.forwarding import long_prompts
from lentilbeam_core.forwarding import outliers
from lentilbeam_core.forwarding import pass_times as pass_times_lib
from lentilbeam_core.forwarding import placement
from lentilbeam_core.forwarding import requests
from lentilbeam_core.forwarding import retry_budget
from lentilbeam_core.forwarding import shares
from lentilbeam_core.forwarding import target_list
from lentilbeam_core.forwarding import target_memory
from lentilbeam_router.forwarding import cold_control

OUTLIER_CHECK_INTERVAL_S = 0.05
"""Shortest time, in seconds, between two searches for failing targets. Reports
of peers arrive about as often."""
MIN_DECIDE_INTERVAL_S = 0.02
"""Shortest time, in seconds, until the timer processes the queue again."""
MAX_PASS_TIME_FRACTION = 0.25
"""Largest fraction of a router's time that passes over the queue may take. On a
slow or busy instance, passes become rarer instead of delaying everything
else."""


class Dispatcher:
    """The requests of one pool that wait or run at this router.

    Attributes:
        pool: the pool's last known configuration.
        targets: targets of all pools.
        clock: source of monotonic time.
        budget: this router's part of the pool's retry budget.
        loads: load of the targets, summed over all routers.
        usage: usage of the workspaces, summed over all routers.
        demand: requests for the pool, at all routers.
        count_routers: returns the number of routers in the fleet, this one
            included.
        placer: chooses the target of a request.
        admission: queue of the requests that wait for a target.
        cold: paces the requests to cold targets.
        ejector: ejects targets after failures in a row.
        waiters: future of each waiting request, by request ID.
        placed: prompt parts of each request placed since the last report.
        timer: next call of `decide`; None if no request waits.
        avoided: targets that fail more often than the rest of the pool.
        next_pass_at: earliest time of the next pass over the queue, monotonic
            seconds.
        pass_times: how far apart the passes are.
        avoided_checked_at: when `avoided` was computed, monotonic seconds.
        is_changed: whether the work changed since the last report.
    """

    def __init__(
        self,
        current: configuration.Configuration,
        name: ids.PoolId,
        targets: target_list.TargetList,
        budget: retry_budget.Settings,
        data_centre: ids.DataCentreId,
        decay_s: float,
        count_routers: Callable[[], int],
        clock: clock_lib.Clock,
        rng: random.Random,
        cold: cold_control.ColdControl | None = None,
    ):
        pool = current.pools[name]
        self.pool = pool
        self.targets = targets
        self.clock = clock
        self.budget = retry_budget.RetryBudget(budget)
        self.loads = loads_lib.LoadTracker()
        self.usage = shares.Usage(decay_s)
        self.demand = fleet_demand.FleetDemand()
        self.count_routers = count_routers
        self.placer = placement.Placer(
            placement.Settings(), pool, self.loads, data_centre, rng
        )
        self.placer.list_sources = self._list_sources
        self.placer.memory = target_memory.TargetMemory(
            target_memory.Settings(),
            self.loads,
            self.demand,
            count_routers,
            rng,
        )
        self.placer.plain_work.count_routers = count_routers
        self.admission = admission.Admission(
            admission.Settings(), self.placer, self.usage, rng
        )
        self.cold = cold_control.PoolColdControl(
            cold, self.admission.limit_parts, self.demand
        )
        self.ejector = ejection.Ejector(ejection.Settings())
        self.waiters: dict[str, asyncio.Future[decisions_lib.Decision]] = {}
        self.placed: list[tuple[messages.PlacedPart, ...]] = []
        self.timer: asyncio.TimerHandle | None = None
        self.next_pass_at = -math.inf
        self.pass_times = pass_times_lib.PassTimes()
        self.avoided: set[ids.TargetId] = set()
        self.avoided_checked_at = -math.inf
        self.is_changed = False
        self.change_configuration(current)

    def change_configuration(
        self, new_configuration: configuration.Configuration
    ) -> None:
        """Applies a new configuration.

        Keeps the pool's last known configuration if the new one doesn't contain
        the pool.
        """
        self.pool = new_configuration.pools.get(self.pool.name, self.pool)
        self.placer.update_pool(self.pool)
        self.placer.work_left.estimates.keep_routes(
            route.name for route in new_configuration.routes
        )
        self.placer.long_prompts.gap_goal_s = long_prompts.find_gap_goal(
            new_configuration.routes, self.pool.name
        )
        if self.pool.engine is not None:
            # `tokens_per_s` is guaranteed by all engine pools together; the
            # admission of each pool still uses the full value.
            self.admission.guaranteed_per_s = (
                new_configuration.limits.tokens_per_s
            )

    async def place(
        self,
        request: requests.Request,
        excluded: frozenset[ids.TargetId] = frozenset(),
        version: str | None = None,
    ) -> decisions_lib.Decision:
        """Queues a request until it is placed at a target or refused.

        Args:
            request: the request.
            excluded: targets that it must not be sent to.
            version: the only software version that may run it, since it goes
                on with a stream; None if any may.
        """
        now = self.clock.monotonic()
        if not excluded:
            self.demand.note_request(now)
            if version is None:
                refused = self.admission.refuse_ahead(request, now)
                if refused is not None:
                    return refused
        future = asyncio.get_running_loop().create_future()
        self.waiters[request.request_id] = future
        self.admission.enqueue(request, now, excluded, version)
        self.decide()
        try:
            return await future
        except asyncio.CancelledError:
            self._abandon(request, future)
            raise
        finally:
            self.waiters.pop(request.request_id, None)

    def note_first_event(
        self, request_id: str, chosen: placement.Placement, elapsed_s: float
    ) -> None:
        """Records the first event of a response: prefill is done.

        The target has processed the request's prompt by then.

        Args:
            request_id: request ID.
            chosen: placement of the request.
            elapsed_s: seconds since the request was sent to the target.
        """
        self.loads.note_prefill_done(request_id)
        self.placer.update_prefill_rate(
            chosen, elapsed_s, self.clock.monotonic()
        )
        self.is_changed = True
        self.decide()

    def note_events(self, request_id: str, events: int) -> None:
        """Records how many events a target has sent for a request."""
        self.placer.work_left.note_events(
            request_id, events, self.clock.monotonic()
        )

    def note_whole_answer(self, request_id: str, events: int) -> None:
        """Records the number of events of a whole answer."""
        self.placer.work_left.note_end(
            request_id, events, self.clock.monotonic()
        )

    def note_served(self, request_id: str) -> None:
        """Records that a request has got its whole answer."""
        self.placer.plain_work.note_end(
            request_id, True, self.clock.monotonic()
        )

    def note_unserved(
        self, request: requests.Request, placed_at: float
    ) -> None:
        """Records that a target sent nothing for a request.

        Args:
            request: the request.
            placed_at: when it was placed at the target, monotonic seconds.
        """
        self.usage.note_unserved(
            request.workspace,
            requests.estimate_cost(request),
            placed_at,
            self.clock.monotonic(),
        )

    def note_end(self, request_id: str) -> None:
        """Records that a request has left its target, given by its ID."""
        now = self.clock.monotonic()
        self.placer.work_left.note_end(request_id, None, now)
        self.placer.plain_work.note_end(request_id, False, now)
        self.loads.end_request(request_id)
        self.is_changed = True
        self.decide()

    def note_failure(self, target: ids.TargetId, is_fault: bool) -> bool:
        """Records a failed request; returns whether it ejects the target.

        Args:
            target: the target at which the request failed.
            is_fault: False if the target refused the request. Refusals don't
                count in the failure ratio, but they count towards ejection.
        """
        now = self.clock.monotonic()
        if is_fault:
            self.loads.note_outcome(target, True, now)
            self.is_changed = True
        ready = {t.name: t for t in self.targets.find_ready(self.pool.name)}
        return self.ejector.record_failures(target, 1, ready, now)

    def note_broken(self, target: target_list.Entry, is_news: bool) -> None:
        """Records that a connection to a target broke or failed.

        Args:
            target: the target.
            is_news: whether peers are to be told.
        """
        now = self.clock.monotonic()
        if self.cold.note_broken(self.pool, target, is_news, now):
            self.is_changed = True

    def note_success(self, target: ids.TargetId) -> None:
        """Records that a target sent a whole response."""
        self.loads.note_outcome(target, False, self.clock.monotonic())
        self.ejector.record_success(target)

    def decide(self) -> None:
        """Processes the queue: places or refuses requests, wakes waiters.

        If the last pass ended only a moment ago, a timer does it later.
        """
        if not self.admission.queues:
            return
        now = self.clock.monotonic()
        self.pass_times.note_waiting(now)
        if now < self.next_pass_at:
            self._set_timer(self.next_pass_at, now)
            return
        pool = self.pool.name
        decisions = self.admission.refuse_without_version(
            lambda version: self.targets.has_version(pool, version), now
        )
        if self.targets.is_pool_evacuated(pool):
            decisions += self.admission.refuse_all(
                decisions_lib.RefusalReason.EVACUATED, now
            )
        decisions += self.admission.decide(
            self.find_usable(), now, lambda: self._find_supply(now)
        )
        for decision in decisions:
            if isinstance(decision, decisions_lib.Placed):
                self._note_placed(decision)
            future = self.waiters.get(decision.request.request_id)
            if future is not None and not future.done():
                future.set_result(decision)
        self.pass_times.note_pass(now, bool(self.admission.queues))
        ended_at = self.clock.monotonic()
        self.next_pass_at = ended_at + (ended_at - now) * (
            1 / MAX_PASS_TIME_FRACTION - 1
        )
        refusal_at = self.admission.next_refusal_at()
        if refusal_at is not None:
            credit_at = self.admission.limit_parts.find_next(now)
            if credit_at is not None:
                refusal_at = min(refusal_at, credit_at)
            next_at = max(refusal_at, now + MIN_DECIDE_INTERVAL_S)
            self._set_timer(next_at, ended_at)
        elif self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def take_placed(
        self, include_last: bool
    ) -> tuple[messages.PlacedPart, ...]:
        """Returns the prompt parts placed since the last call, and clears them.

        Args:
            include_last: whether to include each prompt's last part. It is
                rarely shared, and it makes up a third of all parts.
        """
        placed = tuple(
            part
            for parts in self.placed
            for part in (parts if include_last else parts[:-1])
        )
        self.placed.clear()
        return placed

    def refuse(
        self,
        request: requests.Request,
        reason: decisions_lib.RefusalReason = (
            decisions_lib.RefusalReason.ROUTER_BUSY
        ),
    ) -> decisions_lib.Refused:
        """Refuses a new request because this router can't serve it.

        The request counts in what its workspace has asked for.
        """
        now = self.clock.monotonic()
        self.demand.note_request(now)
        return self.admission.refuse_new(request, reason, now)

    def has_had_fair_share(self, workspace: ids.WorkspaceId) -> bool:
        """Whether a workspace received at least about its fair share lately."""
        return self.admission.has_had_fair_share(
            workspace, self.clock.monotonic()
        )

    def describe_share(self, workspace: ids.WorkspaceId) -> dict[str, Any]:
        """Returns a workspace's share status and levels, for the log."""
        now = self.clock.monotonic()
        usage = self.usage
        guaranteed_per_s = self.admission.guaranteed_per_s
        standing = usage.find_share_status(workspace, guaranteed_per_s, now)
        reported_at = max((at for at, _ in usage.peers.values()), default=None)
        return {
            "standing": standing.value,
            "received": round(usage.total_served(workspace, now)),
            "owed_level": _round_level(usage.guaranteed_level),
            "even_level": _round_level(usage.fair_level),
            "lead_level": _round_level(usage.lead.level),
            "usage_age_s": None
            if reported_at is None
            else round(now - reported_at, 3),
        }

    def read_gauges(self, now: float) -> dict[str, float]:
        """Returns the current gauge values of the pool by name."""
        totals = [
            self.loads.total(entry.name, now)
            for entry in self.targets.find_ready(self.pool.name)
        ]
        return {
            "waiting": self.admission.count_waiting(),
            "own_running": len(self.loads.placed_requests),
            "fleet_running": sum(load.running for load in totals),
            "fleet_unread_tokens": sum(load.unread for load in totals),
            "targets_usable": len(self.find_usable()),
            "targets_limited": len(self.admission.limit_parts.credits),
            "targets_cold": len(self.cold.names),
            "targets_for_long_prompts": self.placer.long_prompts.count,
            "prefill_error": self.placer.long_prompts.error.read(now),
            "output_error": self.placer.work_left.estimates.error.read(now),
            "plain_time_error": self.placer.plain_work.error.read(now),
            "workspaces_asking": len(self.usage.asked),
            "workspaces_limited": len(self.admission.lead_limits.credits),
            "passes_per_s": self.pass_times.read_rate(now),
            "pass_interval_s": self.pass_times.interval_s,
            "repeats_in_window": len(self.budget.retries),
        }

    def export_demand(self, now: float) -> messages.PoolDemand:
        """Returns this router's demand and prefill work, for its peers."""
        demand = messages.PoolDemand(self.pool.name, self.demand.read_own(now))
        return self.placer.long_prompts.export(demand, now)

    def apply_report(
        self, peer: ids.InstanceId, report: messages.LoadReport
    ) -> None:
        """Applies a peer's report.

        Its work replaces that of the peer's last report. A PARTS report only
        adds prompt parts. Loads aren't filtered by pool, since they are looked
        up by target.
        """
        now = self.clock.monotonic()
        if report.kind is not messages.ReportKind.PARTS:
            uses = [use for use in report.uses if use.pool == self.pool.name]
            self.usage.apply_report(peer, tuple(uses), now)
            self.loads.apply_report(peer, report.loads, now)
            demands = [d for d in report.demands if d.pool == self.pool.name]
            self.demand.apply_report(
                peer, sum(d.requests for d in demands), report.routers, now
            )
            for demand in demands:
                self.placer.long_prompts.apply_report(peer, demand, now)
        self._note_peer_placed(report.placed, now)

    def forget_peer(self, peer: ids.InstanceId) -> None:
        """Drops a peer's work, since another report now includes it."""
        self.usage.forget_peer(peer)
        self.demand.forget_peer(peer)
        self.placer.long_prompts.forget_peer(peer)
        self.loads.forget_peer(peer)

    def forget_target(self, name: ids.TargetId) -> None:
        """Drops what is known about a target that restarted or is gone."""
        self.placer.forget(name)
        self.admission.limit_parts.forget(name)

    def _note_peer_placed(
        self, placed: tuple[messages.PlacedPart, ...], now: float
    ) -> None:
        parts_by_target: dict[ids.TargetId, list[requests.Part]] = {}
        for part in placed:
            parts_by_target.setdefault(part.target, []).append(
                requests.Part(part.prefix, part.tokens)
            )
        for target, parts in parts_by_target.items():
            entry = self.targets.entries.get(target)
            if entry is not None and entry.pool == self.pool.name:
                self.placer.note_prompt_placed(target, tuple(parts), now)

    def find_usable(self) -> list[target_list.Entry]:
        """Returns the targets that may be sent a request now.

        These are the ready targets (`TargetList.find_ready`) except those that
        are ejected, avoided or quiet, those at whose limit this router is, and
        those that need a probe after an ejection and already run a request of
        this router. Also refreshes `avoided`, at most once per
        `OUTLIER_CHECK_INTERVAL_S`, and the credit at limited targets.
        """
        now = self.clock.monotonic()
        ready = self.targets.find_ready(self.pool.name)
        if now - self.avoided_checked_at >= OUTLIER_CHECK_INTERVAL_S:
            self._refresh_avoided(ready, now)
        self._update_credits(ready, now)
        self.cold.update(self.pool, ready, now)
        if self.pool.engine is not None and self.pool.cold_per_s > 0:
            names = [entry.name for entry in ready]
            self.placer.cold_speed.update(
                self.cold.names, names, self.loads, now
            )
        if not (
            self.avoided
            or self.ejector.health
            or self.targets.quiet_until
            or not self.admission.limit_parts.is_empty
        ):
            return ready
        return [entry for entry in ready if self._is_usable(entry, now)]

    def _is_usable(self, entry: target_list.Entry, now: float) -> bool:
        """Whether a ready target may be sent a request now."""
        name = entry.name
        if self._is_failing(name, now) or self.targets.is_quiet(name, now):
            return False
        if not self.admission.limit_parts.may_send(name):
            return False
        own = self.loads.own_loads.get(name)
        is_busy = own is not None and own.running > 0
        return not (is_busy and self.ejector.needs_probe(name))

    def _list_sources(self) -> list[target_list.Entry]:
        """Returns the listed targets from which parts can be fetched.

        Those that fail are left out: a fetch from them would fail, too.
        """
        now = self.clock.monotonic()
        return [
            entry
            for entry in self.targets.find_listed(self.pool.name)
            if not self._is_failing(entry.name, now)
        ]

    def _is_failing(self, target: ids.TargetId, now: float) -> bool:
        """Whether a target is ejected or avoided."""
        return target in self.avoided or self.ejector.is_ejected(target, now)

    def _update_credits(
        self, ready: list[target_list.Entry], now: float
    ) -> None:
        limit_parts = self.admission.limit_parts
        limits = self.targets.limits
        if not limit_parts.is_empty:
            limit_parts.keep_only({entry.name for entry in ready})
        if limits.is_empty and not limit_parts.credits:
            return
        part = self.demand.compute_part(self.count_routers(), now)
        for entry in ready:
            limit_per_s = limits.read_rate(entry.name, now)
            limit_parts.update(entry.name, limit_per_s, part, now)

    def _find_supply(self, now: float) -> limit_parts_lib.Supply | None:
        """Returns when the pool takes requests again.

        None if that is unknown, since a target takes requests now or has
        neither a limit nor asked for a pause. Ejected and avoided targets are
        left out.
        """
        next_at = unlimited_from = math.inf
        per_s = 0.0
        for entry in self.targets.find_ready(self.pool.name):
            if self._is_failing(entry.name, now):
                continue
            quiet_until = now
            if self.targets.is_quiet(entry.name, now):
                quiet_until = self.targets.quiet_until[entry.name]
            limit = self.admission.limit_parts.find_limit(entry.name)
            if limit is not None:
                next_at = min(next_at, max(limit[0], quiet_until))
                per_s += limit[1]
            elif quiet_until > now:
                unlimited_from = min(unlimited_from, quiet_until)
            else:
                return None
        if math.isinf(next_at) and math.isinf(unlimited_from):
            if not self.admission.limit_parts.paces:
                return None
            # Other routers send to the cold targets; the next entries may say
            # that these are warm.
            unlimited_from = now + cold_control.ENTRY_INTERVAL_S
        return limit_parts_lib.Supply(next_at, per_s, unlimited_from)

    def _refresh_avoided(
        self, ready: list[target_list.Entry], now: float
    ) -> None:
        self.avoided_checked_at = now
        settings = outliers.Settings()
        self.loads.refresh(now)
        if all(
            self.loads.read_max_failures(entry.name) < settings.min_failures
            for entry in ready
        ):
            self.avoided = set()
            return
        totals = {e.name: self.loads.total(e.name, now) for e in ready}
        slots = {entry.name: entry.slots for entry in ready}
        self.avoided = outliers.find_outliers(totals, slots, settings)

    def _note_placed(self, decision: decisions_lib.Placed) -> None:
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

    def _abandon(
        self, request: requests.Request, future: asyncio.Future
    ) -> None:
        self.admission.withdraw(request.request_id)
        # If it was placed before it was cancelled, its target is released.
        if future.done() and not future.cancelled():
            self.note_end(request.request_id)

    def _set_timer(self, at: float, now: float) -> None:
        """Makes the timer process the queue at `at`, in monotonic seconds."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(
            max(at - now, 0.0), self.decide
        )


def _round_level(level: float) -> int | None:
    return None if math.isinf(level) else round(level)
