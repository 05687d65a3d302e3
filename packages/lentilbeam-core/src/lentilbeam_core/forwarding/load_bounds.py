"""Limits on the load of a target, by what a workspace has received."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits on the load of a target that may get another request.

    The constants below give the attributes in this order.

    Attributes:
        goal_fraction: fraction of the remaining response-time goal within
            which the first event must be expected; the rest allows for
            errors of the estimate.
        prefill_fraction: maximum fraction of an engine's time that is spent
            on prefill; the engine needs the rest to decode its running
            streams without long gaps.
        slots_fraction: maximum fraction of the slots that are in use before
            the request is sent.
        max_hold_fraction: longest time for which a request is held back rather
            than pause running streams, as a fraction of its response-time
            goal.
        free_backlog_s: an engine whose backlog (time to process its unread
            prompt tokens) is at most this many seconds is accepted beyond the
            prefill bound. While all engines are beyond it, this decides whose
            requests are next, so it is smaller for those that received more.
        is_exhaustive: whether all targets of a large pool are looked at if a
            sample of them has no room.
    """

    goal_fraction: float
    prefill_fraction: float
    slots_fraction: float
    max_hold_fraction: float = 0.0
    free_backlog_s: float = 0.05
    is_exhaustive: bool = True


BELOW_GUARANTEE_BOUNDS = Bounds(0.9, 0.85, 1.0, 0.4, 0.15)
"""For workspaces that received less service than their guaranteed share."""
BELOW_FAIR_SHARE_BOUNDS = Bounds(0.8, 0.72, 0.9, 0.4, 0.1)
"""For workspaces above their guarantee that received much less service than
their fair share of the actual throughput."""
BELOW_OTHERS_BOUNDS = Bounds(0.75, 0.66, 0.85, 0.2, 0.075)
"""For workspaces that received less than they asked for and less than others,
but not much less than their fair share."""
AT_FAIR_SHARE_BOUNDS = Bounds(0.7, 0.6, 0.8, 0.0, 0.05)
"""For workspaces that received about their fair share of service. The capacity
above these bounds is reserved for workspaces that received less."""
ABOVE_FAIR_SHARE_BOUNDS = Bounds(0.4, 0.4, 0.55, 0.0, 0.01, is_exhaustive=False)
"""For workspaces that received more service than their fair share."""
