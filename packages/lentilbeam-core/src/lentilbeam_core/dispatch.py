"""Starts, retries and refuses the requests of one router."""

from lentilbeam_core import agent_state
from lentilbeam_core import events
from lentilbeam_core import ids
from lentilbeam_core import outcome
from lentilbeam_core import queueing

UNREACHABLE_RETRY_AFTER_S = 1.0
"""Seconds after which a caller may retry if no target was reachable."""


def start(
    state: agent_state.State,
    queue: queueing.WorkspaceQueue,
    target: ids.TargetId,
    now: float,
) -> events.Effect:
    """Dispatches a request of `queue` to `target`.

    Prefers a request near the head of the queue whose prompt prefix the
    target probably caches.
    """
    window = list(queue.pending)[: queueing.LOOKAHEAD]
    cached = {
        pending.request.prefix
        for pending in window
        if state.prefixes.find_target(pending.request.prefix, now) == target
    }
    pending = queue.pop_at(queue.find_preferred(cached), now)
    request = pending.request
    del state.queued_by_name[request.name]
    state.running[request.name] = agent_state.Run(pending, target, now)
    state.running_by_workspace.setdefault(request.workspace, set()).add(
        request.name
    )
    state.get_slot_counts(target, request.workspace).running += 1
    state.prefixes.record(request.prefix, target, now)
    budget = state.retry_budget + state.settings.retry_ratio
    state.retry_budget = min(budget, state.settings.retry_burst)
    state.count("dispatched")
    return events.DispatchRequest(request.name, state.targets[target])


def retry(
    state: agent_state.State, run: agent_state.Run, now: float
) -> list[events.Effect]:
    """Puts an undelivered request back in its queue, or refuses it.

    It is refused after `Settings.max_tries` tries, or when the retry budget
    is used up. Returns the refusal, or an empty list.
    """
    pending = run.pending
    pending.tries += 1
    request = pending.request
    can_retry = pending.tries < state.settings.max_tries
    if not can_retry or state.retry_budget < 1:
        reason = outcome.RefusalReason.NO_TARGET
        return [refuse(request.name, reason, UNREACHABLE_RETRY_AFTER_S)]
    state.retry_budget -= 1
    state.queued_by_name[request.name] = pending
    state.queue(request.workspace).push_front(pending, now)
    return []


def refuse(
    name: ids.RequestId, reason: outcome.RefusalReason, retry_after_s: float
) -> events.RefuseRequest:
    """Returns the effect that refuses a request.

    Args:
        name: identifier of the request.
        reason: why it is refused.
        retry_after_s: when the caller may retry, in seconds from now.
    """
    return events.RefuseRequest(name, reason, retry_after_s)
