"""Admission queue of one pool: decides which requests run or are refused.

Model engines have no request priorities, so requests wait in the router until
a target has capacity. The workspace that has recently received the least
service goes first. A request that has used up its waiting time is refused with
a retry delay, so that the rest of its response-time goal isn't spent in the
queue.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import heapq
import itertools
import math
import random

from lentilbeam_core import ids
from lentilbeam_core.forwarding import decisions as decisions_lib
from lentilbeam_core.forwarding import lead_limits as lead_limits_lib
from lentilbeam_core.forwarding import limit_parts as limit_parts_lib
from lentilbeam_core.forwarding import load_bounds
from lentilbeam_core.forwarding import placement as placement_lib
from lentilbeam_core.forwarding import requests
from lentilbeam_core.forwarding import room as room_lib
from lentilbeam_core.forwarding import shares
from lentilbeam_core.forwarding import target_list

BOUNDS_BY_SHARE_STATUS = {
    shares.ShareStatus.BELOW_GUARANTEE: load_bounds.BELOW_GUARANTEE_BOUNDS,
    shares.ShareStatus.BELOW_FAIR_SHARE: load_bounds.BELOW_FAIR_SHARE_BOUNDS,
    shares.ShareStatus.BELOW_OTHERS: load_bounds.BELOW_OTHERS_BOUNDS,
    shares.ShareStatus.AT_FAIR_SHARE: load_bounds.AT_FAIR_SHARE_BOUNDS,
    shares.ShareStatus.ABOVE_FAIR_SHARE: load_bounds.ABOVE_FAIR_SHARE_BOUNDS,
}

TRIED_ONCE_STATUSES = frozenset(
    {shares.ShareStatus.BELOW_OTHERS, shares.ShareStatus.AT_FAIR_SHARE}
)
"""Statuses with which a request waits until it was tried, and for the short
wait. On a router with little processor time, a long queue of requests that are
tried in vain takes the time of those that could begin."""
MAX_FAILED_CHOICES = 16
"""Number of requests that a pass tries in vain before it ends.

The next pass begins with the workspaces that this one left out, so that a pass
takes about as long with a thousand waiting requests as with a dozen."""
MAX_OLDEST_CANDIDATES = 4
"""Number of the oldest requests in a workspace's queue that are tried each time
it is the workspace's turn.

If no candidate can be placed, the rest of the pass skips the workspace. Without
a limit, a pass over a very long queue would take longer than the interval
between two passes."""
MAX_NEWEST_CANDIDATES = 2
"""Number of the newest requests that are tried after the oldest.

These have most of their response-time goal left. What is left to the oldest may
be too short for the backlog of every target; with these alone, a router with a
long queue begins nothing while others fill the targets with new arrivals."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the admission queue.

    Attributes:
        wait_fraction: maximum time in the queue, as a fraction of the
            response-time goal; the rest is left for the target.
        at_fair_share_wait_s: maximum time in the queue for a request whose
            workspace has one of `TRIED_ONCE_STATUSES` or `ABOVE_FAIR_SHARE`,
            in seconds. In the first case it ends no sooner than the request
            was tried: on a busy router, few are tried in this time.
        resumed_wait_s: minimum of that limit for a request that goes on with a
            stream, in seconds. Few targets can serve it, and an answer that
            has begun is lost if it is refused.
        retry_after_range_s: minimum and maximum retry delay for refused
            callers, in seconds; the delay is drawn from this range. It is
            shorter than most response-time goals, so that a retry can still
            be on time, and longer than a scheduling pass.
        retry_after_fraction: maximum retry delay as a fraction of the time
            until the caller's deadline; callers ignore longer delays.
    """

    wait_fraction: float = 0.6
    at_fair_share_wait_s: float = 0.05
    resumed_wait_s: float = 1.0
    retry_after_range_s: tuple[float, float] = (0.25, 0.7)
    retry_after_fraction: float = 0.3


@dataclasses.dataclass(slots=True)
class QueuedRequest:
    """A request in the queue.

    Attributes:
        request: the request that waits.
        queued_at: when it was added to the queue, monotonic seconds.
        refuse_at: latest time at which it is refused, monotonic seconds.
        excluded: targets that it must not be sent to.
        version: the only software version that may run it, since it goes on
            with a stream; None if any may.
        tries: how often no target was found for it.
        exclusions: why targets were excluded the last time, and how many.
    """

    request: requests.Request
    queued_at: float
    refuse_at: float
    excluded: frozenset[ids.TargetId]
    version: str | None = None
    tries: int = 0
    exclusions: dict[room_lib.Exclusion, int] = dataclasses.field(
        default_factory=dict
    )

    def note_failed_try(
        self, exclusions: dict[room_lib.Exclusion, int]
    ) -> None:
        """Records that no target was found."""
        self.tries += 1
        self.exclusions = exclusions

    def select(
        self, targets: list[target_list.Entry]
    ) -> list[target_list.Entry]:
        """Returns the targets that the request may be sent to."""
        if not self.excluded and self.version is None:
            return targets
        return [
            target
            for target in targets
            if target.name not in self.excluded
            and self.version in (None, target.version)
        ]


class Admission:
    """Admission queue of one pool.

    Attributes:
        guaranteed_per_s: service that the operators guarantee to all
            workspaces together, in cost units (prompt tokens) per second. The
            same value applies to each engine pool. 0 if unknown; then no
            workspace counts as above its guarantee.
        queues: queued requests of each workspace, in arrival order.
        limit_parts: credit of this router at targets with a limit.
        lead_limits: which requests may begin of workspaces that are limited
            while another one lacks service.
        promised_until: when limited targets take the last of the refused
            requests that will return, monotonic seconds.
        left_out: workspaces that the last pass did not get to.
        failed_choices: requests that the current pass has tried in vain.
    """

    def __init__(
        self,
        settings: Settings,
        placer: placement_lib.Placer,
        usage: shares.Usage,
        rng: random.Random,
    ):
        self.settings = settings
        self.placer = placer
        self.usage = usage
        self.rng = rng
        self.guaranteed_per_s = 0.0
        self.queues: dict[
            ids.WorkspaceId, collections.deque[QueuedRequest]
        ] = {}
        self.limit_parts = limit_parts_lib.LimitParts(rng)
        self.lead_limits = lead_limits_lib.LeadLimits(rng)
        self.promised_until = -math.inf
        self.left_out: set[ids.WorkspaceId] = set()
        self.failed_choices = 0

    def enqueue(
        self,
        request: requests.Request,
        now: float,
        excluded: frozenset[ids.TargetId] = frozenset(),
        version: str | None = None,
    ) -> None:
        """Adds a request to the queue.

        Args:
            request: the request.
            now: monotonic seconds.
            excluded: targets that it has already been sent to and that it
                must not be sent to again. If not empty, this is a retry,
                and its cost isn't added to the requested cost a second time.
            version: the only software version that may run it, since it goes
                on with a stream; None if any may.
        """
        if not excluded:
            cost = requests.estimate_cost(request)
            self.usage.note_asked(request.workspace, cost, now)
        wait_s = request.route.goal_s * self.settings.wait_fraction
        if version is not None:
            wait_s = max(wait_s, self.settings.resumed_wait_s)
        refuse_at = min(
            max(request.arrived_at, now) + wait_s, request.deadline_at
        )
        queued = QueuedRequest(request, now, refuse_at, excluded, version)
        queue = self.queues.setdefault(request.workspace, collections.deque())
        queue.append(queued)

    def refuse_ahead(
        self, request: requests.Request, now: float
    ) -> decisions_lib.Refused | None:
        """Refuses a new request whose workspace is ahead of others.

        Returns:
            None if the request may be queued.
        """
        fraction = self.usage.find_admitted_fraction(
            request.workspace, self.guaranteed_per_s, now
        )
        if self.lead_limits.may_begin(request.workspace, fraction):
            return None
        return self.refuse_new(request, decisions_lib.RefusalReason.AHEAD, now)

    def refuse_new(
        self,
        request: requests.Request,
        reason: decisions_lib.RefusalReason,
        now: float,
    ) -> decisions_lib.Refused:
        """Refuses a request that was not queued.

        It counts in what its workspace has asked for. The queue isn't changed.
        """
        cost = requests.estimate_cost(request)
        self.usage.note_asked(request.workspace, cost, now)
        return self.refuse(request, reason, now)

    def has_had_fair_share(
        self, workspace: ids.WorkspaceId, now: float
    ) -> bool:
        """Whether a workspace received at least about its fair share lately.

        That is its share of the targets or of this router. A router that is
        short itself gains nothing by keeping the others waiting at it.
        """
        return self._find_share_status(workspace, now) in (
            shares.ShareStatus.AT_FAIR_SHARE,
            shares.ShareStatus.ABOVE_FAIR_SHARE,
        ) or self.usage.has_had_router_share(
            workspace, self.guaranteed_per_s, now
        )

    def withdraw(self, request_id: str) -> None:
        """Removes a request whose caller has disconnected, if it is queued."""
        for workspace, queue in list(self.queues.items()):
            for queued in queue:
                if queued.request.request_id == request_id:
                    queue.remove(queued)
                    break
            if not queue:
                del self.queues[workspace]

    def count_waiting(self) -> int:
        """Returns the number of queued requests of all workspaces."""
        return sum(map(len, self.queues.values()))

    def next_refusal_at(self) -> float | None:
        """Returns the earliest time at which a queued request may be refused.

        Returns:
            Monotonic seconds, or None if the queue is empty.
        """
        times = [
            min(w.refuse_at, w.queued_at + self.settings.at_fair_share_wait_s)
            for queue in self.queues.values()
            for w in queue
        ]
        return min(times, default=None)

    def decide(
        self,
        targets: list[target_list.Entry],
        now: float,
        find_supply: Callable[[], limit_parts_lib.Supply | None] = lambda: None,
    ) -> list[decisions_lib.Decision]:
        """Removes from the queue all requests that can be sent or have expired.

        Args:
            targets: targets of the pool that may get a request now.
            now: monotonic seconds.
            find_supply: called after the placements; returns when the pool
                takes more requests, None if this is unknown. A request that
                can't wait for it is refused at once.

        Returns:
            A `Placed` for each request to send, and a `Refused` for each
            request that has expired.
        """
        decisions = self._refuse_where(
            lambda queued: queued.request.deadline_at <= now, targets, now
        )
        decisions += self._place_waiting(targets, now)
        supply = find_supply() if self.queues else None
        if supply is not None:
            decisions += self._refuse_beyond(supply, targets, now)
        return decisions + self._refuse_expired(targets, now)

    def _place_waiting(
        self, targets: list[target_list.Entry], now: float
    ) -> list[decisions_lib.Placed]:
        """Places requests, of the workspace with the least service first."""
        self.placer.loads.refresh(now)
        placements = self._place_resumed(targets, now)
        targets = self._drop_spent(targets)
        full_bounds: dict[
            load_bounds.Bounds, dict[room_lib.Exclusion, int]
        ] = {}
        order = [
            (
                name not in self.left_out,
                self.usage.total_served(name, now),
                name,
            )
            for name in self.queues
        ]
        heapq.heapify(order)
        self.failed_choices = 0
        while order and self.failed_choices < MAX_FAILED_CHOICES:
            _, _, workspace = heapq.heappop(order)
            bounds = BOUNDS_BY_SHARE_STATUS[
                self._find_share_status(workspace, now)
            ]
            # A placement takes room, so full bounds stay full in this pass.
            if bounds not in full_bounds and not self.placer.has_room(
                targets, bounds, now
            ):
                full_bounds[bounds] = dict(self.placer.exclusions)
            if bounds in full_bounds:
                for queued in self.queues[workspace]:
                    queued.note_failed_try(full_bounds[bounds])
                continue
            placed = self._place_one(workspace, targets, bounds, now)
            if placed is None:
                continue
            placements.append(placed)
            targets = self._drop_spent(targets)
            if workspace in self.queues:
                served = self.usage.total_served(workspace, now)
                heapq.heappush(order, (True, served, workspace))
        remaining = {workspace for _, _, workspace in order}
        # Those left out twice go first before the others get another turn.
        self.left_out = (remaining & self.left_out) or remaining
        return placements

    def _place_resumed(
        self, targets: list[target_list.Entry], now: float
    ) -> list[decisions_lib.Placed]:
        """Places the requests that go on with streams, before all others.

        They have waited already, and only few targets can serve them.
        """
        placements = []
        resumed = [
            (workspace, queued)
            for workspace, queue in self.queues.items()
            for queued in queue
            if queued.version is not None
        ]
        for workspace, queued in resumed[:MAX_FAILED_CHOICES]:
            placement = self.placer.choose(
                queued.request,
                queued.select(self._drop_spent(targets)),
                load_bounds.BELOW_GUARANTEE_BOUNDS,
                now,
            )
            if placement is None:
                queued.note_failed_try(dict(self.placer.exclusions))
                continue
            placements.append(self._start(workspace, queued, placement, now))
        return placements

    def _drop_spent(
        self, targets: list[target_list.Entry]
    ) -> list[target_list.Entry]:
        """Returns the targets whose limits allow another request."""
        limit_parts = self.limit_parts
        if limit_parts.is_empty:
            return targets
        return [t for t in targets if limit_parts.may_send(t.name)]

    def _place_one(
        self,
        workspace: ids.WorkspaceId,
        targets: list[target_list.Entry],
        bounds: load_bounds.Bounds,
        now: float,
    ) -> decisions_lib.Placed | None:
        queue = self.queues[workspace]
        for queued in _list_candidates(queue):
            placement = self.placer.choose(
                queued.request, queued.select(targets), bounds, now
            )
            if placement is not None:
                break
            self.failed_choices += 1
            queued.note_failed_try(dict(self.placer.exclusions))
        else:
            return None
        return self._start(workspace, queued, placement, now)

    def _start(
        self,
        workspace: ids.WorkspaceId,
        queued: QueuedRequest,
        placement: placement_lib.Placement,
        now: float,
    ) -> decisions_lib.Placed:
        """Takes a placed request from its queue and counts it."""
        queue = self.queues[workspace]
        queue.remove(queued)
        if not queue:
            del self.queues[workspace]
        request = queued.request
        target = placement.target.name
        held = self.placer.work_left.estimate_held(request, now)
        self.placer.loads.start_request(
            request.request_id, target, placement.unread, held, now
        )
        is_paced = self.limit_parts.is_paced_as_cold(target)
        self.limit_parts.note_sent(target)
        self.placer.work_left.note_start(request, now)
        if self.placer.pool.engine is None:
            self.placer.plain_work.note_start(request, placement.target, now)
        if request.prompt is not None:
            self.placer.note_prompt_placed(target, request.prompt.parts, now)
            self.placer.note_placed(placement, now)
            self.placer.memory.note_placed(request.request_id, target, now)
        self.usage.note_served(workspace, requests.estimate_cost(request), now)
        return decisions_lib.Placed(request, placement, is_paced)

    def _refuse_expired(
        self, targets: list[target_list.Entry], now: float
    ) -> list[decisions_lib.Decision]:
        latest_queued_at = now - self.settings.at_fair_share_wait_s
        statuses = {
            workspace: self._find_share_status(workspace, now)
            for workspace in self.queues
        }

        def has_waited(queued: QueuedRequest) -> bool:
            if queued.refuse_at <= now:
                return True
            if (
                queued.version is not None
                or queued.queued_at > latest_queued_at
            ):
                return False
            status = statuses[queued.request.workspace]
            if status in TRIED_ONCE_STATUSES:
                return queued.tries > 0
            return status is shares.ShareStatus.ABOVE_FAIR_SHARE

        return self._refuse_where(has_waited, targets, now)

    def refuse_without_version(
        self, has_version: Callable[[str], bool], now: float
    ) -> list[decisions_lib.Decision]:
        """Refuses the requests that no target can go on with any more.

        Args:
            has_version: whether a target runs a software version.
            now: monotonic seconds.
        """
        gone = {
            queued.request.request_id
            for queue in self.queues.values()
            for queued in queue
            if queued.version is not None and not has_version(queued.version)
        }
        if not gone:
            return []
        decisions = self._refuse_where(
            lambda queued: queued.request.request_id in gone, [], now
        )
        return [
            self.refuse_for_long(
                decision.request, decisions_lib.RefusalReason.VERSION_GONE, now
            )
            for decision in decisions
        ]

    def refuse_all(
        self, reason: decisions_lib.RefusalReason, now: float
    ) -> list[decisions_lib.Decision]:
        """Refuses all requests in the queue, for one reason."""
        decisions = self._refuse_where(lambda queued: True, [], now)
        return [
            dataclasses.replace(decision, reason=reason)
            for decision in decisions
        ]

    def _refuse_beyond(
        self,
        supply: limit_parts_lib.Supply,
        targets: list[target_list.Entry],
        now: float,
    ) -> list[decisions_lib.Decision]:
        """Refuses the requests that would have to wait for too long.

        The retry delay is the time until a target takes the request, behind
        those that wait and those that were refused before and will return. It
        is spread like that of other refusals.
        """
        waiting = 0
        retry_at: dict[str, float] = {}
        for queued in self._list_in_turn(now):
            at = supply.find_time(waiting)
            if at <= queued.refuse_at:
                waiting += 1
                continue
            request = queued.request
            retry_at[request.request_id] = self._promise(
                request, supply, max(at, now), now
            )
        decisions = self._refuse_where(
            lambda queued: queued.request.request_id in retry_at, targets, now
        )
        reason = decisions_lib.RefusalReason.NO_TARGET
        if supply.per_s > 0:
            reason = decisions_lib.RefusalReason.LIMITED
        spread_s = self.settings.retry_after_range_s[0]
        return [
            dataclasses.replace(
                decision,
                reason=reason,
                retry_after_s=retry_at[decision.request.request_id]
                - now
                + self.rng.uniform(0, spread_s),
            )
            for decision in decisions
        ]

    def _promise(
        self,
        request: requests.Request,
        supply: limit_parts_lib.Supply,
        earliest: float,
        now: float,
    ) -> float:
        """Returns when a refused request should return, monotonic seconds.

        Args:
            request: the refused request.
            supply: when the targets take more requests.
            earliest: when they take one more than those that wait, monotonic
                seconds.
            now: monotonic seconds.
        """
        at = earliest
        if supply.per_s > 0:
            after_others = self.promised_until + 1 / supply.per_s
            at = min(max(at, after_others), supply.unlimited_from)
        # Callers that would have to wait for longer do not return.
        left_s = max(request.deadline_at - now, 0.0)
        if at - now <= left_s * self.settings.retry_after_fraction:
            self.promised_until = at
        return at

    def _list_in_turn(self, now: float) -> Iterable[QueuedRequest]:
        """Returns the queued requests in the order in which they are sent."""
        queues = {name: iter(queue) for name, queue in self.queues.items()}
        order = [(self.usage.total_served(name, now), name) for name in queues]
        heapq.heapify(order)
        while order:
            served, workspace = heapq.heappop(order)
            queued = next(queues[workspace], None)
            if queued is not None:
                yield queued
                served += requests.estimate_cost(queued.request)
                heapq.heappush(order, (served, workspace))

    def _refuse_where(
        self,
        is_refused: Callable[[QueuedRequest], bool],
        targets: list[target_list.Entry],
        now: float,
    ) -> list[decisions_lib.Decision]:
        """Removes the requests for which `is_refused` returns True."""
        refused: list[decisions_lib.Decision] = []
        for workspace, queue in list(self.queues.items()):
            kept = collections.deque()
            for queued in queue:
                if is_refused(queued):
                    reason = _find_reason(queued, targets)
                    refusal = self.refuse(queued.request, reason, now)
                    self.lead_limits.give_back(workspace)
                    refused.append(
                        dataclasses.replace(
                            refusal,
                            tries=queued.tries,
                            exclusions=queued.exclusions,
                        )
                    )
                else:
                    kept.append(queued)
            if not kept:
                del self.queues[workspace]
            elif len(kept) < len(queue):
                self.queues[workspace] = kept
        return refused

    def _find_share_status(
        self, workspace: ids.WorkspaceId, now: float
    ) -> shares.ShareStatus:
        return self.usage.find_share_status(
            workspace, self.guaranteed_per_s, now
        )

    def refuse(
        self,
        request: requests.Request,
        reason: decisions_lib.RefusalReason,
        now: float,
    ) -> decisions_lib.Refused:
        """Returns a refusal with a random retry delay.

        The delay spreads the retries of callers that are refused together.
        The queue isn't changed.
        """
        left_s = max(request.deadline_at - now, 0.0)
        wanted_s = self.rng.uniform(*self.settings.retry_after_range_s)
        bound_s = left_s * self.settings.retry_after_fraction
        return decisions_lib.Refused(request, reason, min(wanted_s, bound_s))

    def refuse_for_long(
        self,
        request: requests.Request,
        reason: decisions_lib.RefusalReason,
        now: float,
    ) -> decisions_lib.Refused:
        """Returns a refusal with the longest retry delay that callers accept.

        The queue isn't changed.
        """
        left_s = max(request.deadline_at - now, 0.0)
        return decisions_lib.Refused(
            request, reason, left_s * self.settings.retry_after_fraction
        )


def _find_reason(
    queued: QueuedRequest, targets: list[target_list.Entry]
) -> decisions_lib.RefusalReason:
    """Returns why a request is refused whose time in the queue is over."""
    if not targets:
        return decisions_lib.RefusalReason.NO_TARGET
    if not queued.tries:
        return decisions_lib.RefusalReason.UNTRIED
    return decisions_lib.RefusalReason.NO_ROOM


def _list_candidates(
    queue: collections.deque[QueuedRequest],
) -> list[QueuedRequest]:
    """Returns the requests of a workspace to try, in this order."""
    oldest = list(itertools.islice(queue, MAX_OLDEST_CANDIDATES))
    newest_count = min(MAX_NEWEST_CANDIDATES, len(queue) - len(oldest))
    return oldest + list(itertools.islice(reversed(queue), newest_count))
