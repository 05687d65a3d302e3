"""Checks whether a placed request may still be sent to its target.

Opening a connection takes up to half a second, in which more may be learned.
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
    if dispatcher.targets.is_evacuated(target.data_centre):
        return "evacuated"
    if not is_paced and dispatcher.cold.is_cold(dispatcher.pool, target, now):
        return "cold"
    return None
