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
    """

    goal_fraction: float
    prefill_fraction: float
    slots_fraction: float
    max_hold_fraction: float = 0.0


BELOW_GUARANTEE_BOUNDS = Bounds(0.9, 0.85, 1.0, 0.4)
"""For workspaces that received less service than their guaranteed share."""
BELOW_FAIR_SHARE_BOUNDS = Bounds(0.8, 0.72, 0.9, 0.4)
"""For workspaces above their guarantee that received much less service than
their fair share of the actual throughput."""
AT_FAIR_SHARE_BOUNDS = Bounds(0.7, 0.6, 0.8)
"""For workspaces that received about their fair share of service. The capacity
above these bounds is reserved for workspaces that received less."""
ABOVE_FAIR_SHARE_BOUNDS = Bounds(0.4, 0.4, 0.55)
"""For workspaces that received more service than their fair share."""
