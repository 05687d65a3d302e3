"""Records what targets say of themselves, in responses and through peers."""

import math

from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core.forwarding import target_limits
from lentilbeam_core.forwarding import target_list
from lentilbeam_router.forwarding import decision_log
from lentilbeam_router.forwarding import dispatcher as dispatcher_lib
from lentilbeam_router.forwarding import wire as wire_lib


def apply_response(
    dispatcher: dispatcher_lib.Dispatcher,
    log: decision_log.DecisionLog,
    target: target_list.Entry,
    response: wire_lib.Response,
    sent_at: float,
    now: float,
) -> None:
    """Records what a response says about the target itself.

    Args:
        dispatcher: dispatcher of the target's pool.
        log: log of decisions.
        target: the target, as it was listed when the request was sent.
        response: its response.
        sent_at: when the request was sent, monotonic seconds.
        now: monotonic seconds.
    """
    if response.is_other_instance:
        return
    targets = dispatcher.targets
    if response.is_leaving and targets.note_leaving(
        target.name, target.start_ms
    ):
        dispatcher.is_changed = True
        log.write_event("target_leaving", target=target.name, source="response")
    if response.quiet_s is not None:
        until = targets.note_quiet(target.name, response.quiet_s, now)
        log.write_event(
            "target_quiet",
            target=target.name,
            asked_s=response.quiet_s,
            quiet_s=round(until - now, 3),
        )
    # What a failing or rejecting target leaves out says nothing.
    says_nothing = response.limit_per_s is None and (
        response.status >= 500
        or response.is_not_run
        or len(response.bad_notices) > 0
    )
    if not says_nothing and targets.note_limit(
        target, response.limit_per_s, sent_at, now
    ):
        dispatcher.is_changed = True
        log.write_event(
            "target_limit",
            target=target.name,
            limit_per_s=response.limit_per_s,
            source="response",
        )


def apply_reported(
    targets: target_list.TargetList,
    log: decision_log.DecisionLog,
    peer: ids.InstanceId,
    item: messages.TargetLoad,
    own_position: int,
    now: float,
) -> None:
    """Records what a peer reports that is known about a target.

    Args:
        targets: targets of all pools.
        log: log of decisions.
        peer: the peer.
        item: what it reports.
        own_position: position up to which this router has read the target list.
        now: monotonic seconds.
    """
    if item.removed_start_ms and targets.note_removed_elsewhere(
        item.target, item.removed_start_ms, item.removed_position > own_position
    ):
        log.write_event("target_removed", target=item.target, source=peer)
    if item.leaving_start_ms and targets.note_leaving(
        item.target, item.leaving_start_ms
    ):
        log.write_event("target_leaving", target=item.target, source=peer)
    if item.cold_start_ms and targets.note_reported_cold(
        item.target, item.cold_start_ms, now
    ):
        log.write_event(
            "target_cold", target=item.target, left_s=None, source=peer
        )
    if item.limit_start_ms:
        limit = target_limits.Limit(
            item.limit_start_ms,
            item.limit_per_s,
            now - item.limit_age_ms / 1000,
            peer,
        )
        if targets.note_reported_limit(item.target, limit, now):
            per_s = item.limit_per_s
            log.write_event(
                "target_limit",
                target=item.target,
                limit_per_s=None if math.isinf(per_s) else per_s,
                source=peer,
            )
