"""Handling of callers' requests that need a claim of their key."""

from lentilbeam_core import claim_attempts
from lentilbeam_core import claim_events
from lentilbeam_core import claim_records
from lentilbeam_core import claim_state
from lentilbeam_core import outcome
from lentilbeam_core import request_key

Reason = outcome.RefusalReason


def request_claim(
    state: claim_state.ClaimState, event: claim_events.ClaimRequested
) -> None:
    """Starts an attempt to claim the key, or joins the current one.

    If neither is possible, the waiter gets its result at once: `ClaimLost` if
    the key is known to be held, else `ClaimRefused`.
    """
    attempt = state.attempts.by_key.get(event.key)
    if attempt is not None:
        _join(state, attempt, event)
        return
    refusal = _find_refusal(state, event.key)
    if refusal is None:
        _open_attempt(state, event)
        return
    holder = state.get_other_holder(event.key)
    if holder is None:
        state.notify(event.waiter, refusal)
        return
    state.notify(event.waiter, state.build_claim_lost(event.key, holder))


def remove_waiter(
    state: claim_state.ClaimState,
    key: request_key.RequestKey,
    waiter: int,
) -> None:
    """Removes a waiter; revokes an undecided claim without waiters."""
    attempt = state.attempts.by_key.get(key)
    if attempt is None or waiter not in attempt.waiters:
        return
    attempt.waiters.remove(waiter)
    if not attempt.waiters and attempt.is_undecided:
        state.revoke(attempt)


def _find_refusal(
    state: claim_state.ClaimState, key: request_key.RequestKey
) -> claim_events.ClaimRefused | None:
    if state.is_stopping:
        return claim_events.ClaimRefused(
            key, Reason.DRAINING, state.min_retry_after_s
        )
    fault = state.find_age_fault(key)
    if fault is request_key.KeyFault.TOO_FAR_IN_FUTURE:
        return claim_events.ClaimRefused(key, Reason.BAD_REQUEST, None)
    if fault and state.is_past_retention(key):
        return claim_events.ClaimRefused(key, Reason.KEY_TOO_OLD, None)
    if state.stream.is_blocked(state.now):
        return state.build_outage_refusal(key)
    if state.attempts.undecided_count >= state.settings.max_undecided:
        return claim_events.ClaimRefused(
            key, Reason.QUEUE_FULL, state.min_retry_after_s
        )
    return None


def _join(
    state: claim_state.ClaimState,
    attempt: claim_attempts.ClaimAttempt,
    event: claim_events.ClaimRequested,
) -> None:
    if not attempt.is_undecided:
        state.notify(event.waiter, claim_state.build_local_claim_lost(attempt))
        return
    give_up_at = _compute_give_up_at(state, event.deadline)
    state.attempts.join(attempt, event.waiter, event.deadline, give_up_at)


def _open_attempt(
    state: claim_state.ClaimState, event: claim_events.ClaimRequested
) -> None:
    is_free = state.get_other_holder(event.key) is None
    is_claimable = is_free and state.find_age_fault(event.key) is None
    is_ready = is_claimable and state.stream.has_reached_end
    first = claim_attempts.AttemptState.QUEUED
    if not is_ready:
        first = claim_attempts.AttemptState.CHECKING
    state.last_claim_number += 1
    attempt = claim_attempts.ClaimAttempt(
        key=event.key,
        claim=claim_records.ClaimId(
            state.own_name, state.incarnation, state.last_claim_number
        ),
        state=first,
        waiters=[event.waiter],
        deadline=event.deadline,
        give_up_at=_compute_give_up_at(state, event.deadline),
        required_read=None if is_ready else state.stream.last_read_started + 1,
    )
    state.attempts.add(attempt)


def _compute_give_up_at(
    state: claim_state.ClaimState, deadline: float
) -> float:
    return min(deadline, state.now + state.settings.decision_timeout_s)
