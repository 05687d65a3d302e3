"""Checks whether a placed request may still be sent to its target.

A request is placed with what its router knows then. Before its first byte, a
connection is opened, and its process may be asked for; both take long on a busy
router. What has become known meanwhile counts, except for loads.
"""

from lentilbeam_core.forwarding import target_list
from lentilbeam_router.forwarding import dispatcher as dispatcher_lib


def find_objection(
    dispatcher: dispatcher_lib.Dispatcher,
    target: target_list.Entry,
    is_paced: bool,
    now: float,
) -> str | None:
    """Returns why a request must not be sent to its target any more.

    Args:
        dispatcher: dispatcher of the target's pool.
        target: the target, as it was listed when the request was placed.
        is_paced: whether the request counts in the pace at a cold target.
        now: monotonic seconds.

    Returns:
        The reason for the log; None if the request may be sent.
    """
    targets = dispatcher.targets
    if not targets.is_listed(target):
        return "not_listed"
    if not targets.is_ready(target.name):
        return "target_leaving"
    if targets.is_quiet(target.name, now):
        return "quiet"
    if targets.is_evacuated(target.data_centre):
        return "evacuated"
    if not is_paced and dispatcher.cold.is_cold(dispatcher.pool, target, now):
        return "cold"
    return None
