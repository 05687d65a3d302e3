"""The queue of one pool: who goes next, and who is refused.

Engines know no priorities, so requests wait here until a target has room.
The workspace that received least lately goes first. A request that can't be
answered within its goal any more is refused at once, with a time to return.
"""

import collections
import dataclasses
import enum
import itertools
import math
import random

from lentilbeam_core import ids
from lentilbeam_core.forwarding import placement as placement_lib
from lentilbeam_core.forwarding import requests
from lentilbeam_core.forwarding import shares
from lentilbeam_core.forwarding import target_list

BOUNDS_BY_SHARE_STATUS = {
    shares.ShareStatus.BELOW_GUARANTEE: placement_lib.BELOW_GUARANTEE_BOUNDS,
    shares.ShareStatus.BELOW_FAIR_SHARE: placement_lib.BELOW_FAIR_SHARE_BOUNDS,
    shares.ShareStatus.AT_FAIR_SHARE: placement_lib.AT_FAIR_SHARE_BOUNDS,
    shares.ShareStatus.ABOVE_FAIR_SHARE: placement_lib.ABOVE_FAIR_SHARE_BOUNDS,
}

MAX_HEAD_CANDIDATES = 3
"""Requests at the head of a workspace's queue that are tried at a time: a
flood must not make each look at the queue longer than the pause between two."""


class RefusalReason(enum.Enum):
    """Why a request is not run."""

    NO_ROOM = "no_room"
    NO_TARGET = "no_target"


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of admission.

    Attributes:
        wait_fraction: a request waits here for at most this part of its
            goal; the rest is for its target.
        beyond_share_wait_s: longest wait of a request whose workspace has
            received its share.
        return_s: range of the times after which a refused caller is asked
            to come back. Short against most goals, so that it may still be
            served on time, and long against a look at the queue.
        return_fraction: bound of that time, relative to what is left of the
            caller's deadline; callers ignore longer ones.
    """

    wait_fraction: float = 0.6
    at_fair_share_wait_s: float = 0.05
    retry_after_range_s: tuple[float, float] = (0.25, 0.7)
    retry_after_fraction: float = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """A request may be sent."""

    request: requests.Request
    placement: placement_lib.Placement


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A request is not run."""

    request: requests.Request
    reason: RefusalReason
    retry_after_s: float


Decision = Placed | Refused


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request in the queue.

    Attributes:
        request: what waits.
        since: when it came into the queue, monotonic seconds.
        gives_up_at: when it is refused, monotonic seconds.
        excluded: targets that it is not to be sent to again.
    """

    request: requests.Request
    queued_at: float
    refuse_at: float
    excluded: frozenset[ids.TargetId]


class Admission:
    """Requests that wait for a target of one pool.

    Attributes:
        guaranteed_per_s: what the users owe all workspaces together, in cost
            units; 0 if unknown, and then each is owed all that it asks for.
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

    def enqueue(
        self,
        request: requests.Request,
        now: float,
        excluded: frozenset[ids.TargetId] = frozenset(),
    ) -> None:
        """Adds a request; `excluded` are targets that it was sent to."""
        if not excluded:
            cost = requests.estimate_cost(request)
            self.usage.note_asked(request.workspace, cost, now)
        wait_s = request.route.goal_s * self.settings.wait_fraction
        refuse_at = min(
            max(request.arrived_at, now) + wait_s, request.deadline_at
        )
        queued = QueuedRequest(request, now, refuse_at, excluded)
        queue = self.queues.setdefault(request.workspace, collections.deque())
        queue.append(queued)

    def withdraw(self, name: str) -> None:
        """Removes a request whose caller has left."""
        for workspace, queue in list(self.queues.items()):
            for queued in queue:
                if queued.request.name == name:
                    queue.remove(queued)
                    break
            if not queue:
                del self.queues[workspace]

    def count_waiting(self) -> int:
        """Returns the number of requests in the queue."""
        return sum(map(len, self.queues.values()))

    def next_deadline(self) -> float | None:
        """Returns when the next request is to be refused, if any waits."""
        times = [
            min(w.refuse_at, w.queued_at + self.settings.at_fair_share_wait_s)
            for queue in self.queues.values()
            for w in queue
        ]
        return min(times, default=None)

    def decide(
        self, targets: list[target_list.Entry], now: float
    ) -> list[Decision]:
        """Takes out of the queue all that can be placed or must go."""
        decisions: list[Decision] = []
        order = sorted(
            self.queues, key=lambda name: (self.usage.total(name, now), name)
        )
        while order:
            workspace = order.pop(0)
            placed = self._place_one(workspace, targets, now)
            if placed is None:
                continue
            decisions.append(placed)
            if workspace in self.queues:
                order.append(workspace)
                order.sort(key=lambda n: (self.usage.total(n, now), n))
        return decisions + self._refuse_expired(targets, now)

    def _place_one(
        self,
        workspace: ids.WorkspaceId,
        targets: list[target_list.Entry],
        now: float,
    ) -> Placed | None:
        queue = self.queues[workspace]
        bounds = BOUNDS_BY_SHARE_STATUS[self._find_share_status(workspace, now)]
        for queued in itertools.islice(queue, MAX_HEAD_CANDIDATES):
            usable = [t for t in targets if t.name not in queued.excluded]
            placement = self.placer.choose(queued.request, usable, bounds, now)
            if placement is not None:
                break
        else:
            return None
        queue.remove(queued)
        if not queue:
            del self.queues[workspace]
        request = queued.request
        target = placement.target.name
        held = requests.estimate_memory(request)
        self.placer.loads.start_request(
            request.name, target, placement.unread, held, now
        )
        if request.prompt is not None:
            self.placer.note_prompt_sent(target, request.prompt.parts, now)
        self.usage.note_served(workspace, requests.estimate_cost(request), now)
        return Placed(request, placement)

    def _refuse_expired(
        self, targets: list[target_list.Entry], now: float
    ) -> list[Decision]:
        refused = []
        for workspace, queue in list(self.queues.items()):
            latest_queued_at = -math.inf
            standing = self._find_share_status(workspace, now)
            if standing in (
                shares.ShareStatus.AT_FAIR_SHARE,
                shares.ShareStatus.ABOVE_FAIR_SHARE,
            ):
                latest_queued_at = now - self.settings.at_fair_share_wait_s
            expired = [
                queued
                for queued in queue
                if queued.refuse_at <= now
                or queued.queued_at <= latest_queued_at
            ]
            for queued in expired:
                queue.remove(queued)
                reason = RefusalReason.NO_ROOM
                if not targets:
                    reason = RefusalReason.NO_TARGET
                refused.append(self.refuse(queued.request, reason, now))
            if not queue:
                del self.queues[workspace]
        return refused

    def _find_share_status(
        self, workspace: ids.WorkspaceId, now: float
    ) -> shares.ShareStatus:
        return self.usage.find_share_status(
            workspace, self.guaranteed_per_s, now
        )

    def refuse(
        self, request: requests.Request, reason: RefusalReason, now: float
    ) -> Refused:
        """Returns a refusal with a time to come back."""
        left_s = max(request.deadline_at - now, 0.0)
        wanted_s = self.rng.uniform(*self.settings.retry_after_range_s)
        bound_s = left_s * self.settings.retry_after_fraction
        return Refused(request, reason, min(wanted_s, bound_s))
