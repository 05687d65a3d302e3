"""Handling of the log's answers to appends and reads of claims."""

from lentilbeam_core import claim_attempts
from lentilbeam_core import claim_events
from lentilbeam_core import claim_records
from lentilbeam_core import claim_state
from lentilbeam_core import request_key

AttemptState = claim_attempts.AttemptState


def end_append(
    state: claim_state.ClaimState, answer: claim_events.AppendAnswer
) -> None:
    """Processes the end of the append in flight.

    A successful append decides no attempt: which claim holds a key follows
    only from the records that are read back.
    """
    records = state.stream.end_append(answer, state.now)
    if answer is claim_events.AppendAnswer.APPENDED:
        return
    is_without_effect = answer is claim_events.AppendAnswer.NOT_APPENDED
    for record in records:
        attempt = state.attempts.find(record.key, record.claim)
        if attempt is None or attempt.state is not AttemptState.SENT:
            continue
        if is_without_effect:
            attempt.possible_appends -= 1
            state.refuse_for_outage(attempt)
        else:
            attempt.required_read = state.stream.last_read_started + 1
    if is_without_effect:
        for attempt in state.attempts.collect(AttemptState.QUEUED):
            state.refuse_for_outage(attempt)


def apply_page(
    state: claim_state.ClaimState, page: claim_events.PageRead
) -> None:
    """Applies a page of records and decides the attempts it settles."""
    if state.stream.end_read(page):
        state.index.mark_incomplete_before(state.wall_ms)
    own_keys: dict[request_key.RequestKey, None] = {}
    for stored in page.records:
        record = claim_records.parse_record(stored.value)
        if record is None:
            continue
        state.index.apply(record)
        if state.is_own_claim(record.claim):
            own_keys[record.key] = None
            _mark_read_back(state, record)
    for key in own_keys:
        _decide_key(state, key)
    if not state.stream.may_have_more:
        _continue_after_complete_read(state)
    _evict_old_keys(state)


def _mark_read_back(
    state: claim_state.ClaimState, record: claim_records.Record
) -> None:
    attempt = state.attempts.find(record.key, record.claim)
    if attempt and isinstance(record, claim_records.Claim):
        attempt.is_read_back = True
        state.stream.append_backoff.note_success()


def _decide_key(
    state: claim_state.ClaimState, key: request_key.RequestKey
) -> None:
    attempt = state.attempts.by_key.get(key)
    holder = state.index.get_holder(key)
    is_own_holder = holder is not None and state.is_own_claim(holder)
    # A revoked claim of this process holds the key: free it.
    if is_own_holder and (attempt is None or attempt.claim != holder):
        state.release(key, holder)
    if attempt is None or not attempt.is_undecided or not attempt.is_read_back:
        return
    if attempt.claim == holder:
        _mark_won(state, attempt)
        return
    # If another process holds the key, waiters get `ClaimLost`. Without such a
    # holder, for example if it has released the key, they get this refusal.
    state.refuse_for_outage(attempt)


def _mark_won(
    state: claim_state.ClaimState, attempt: claim_attempts.ClaimAttempt
) -> None:
    if state.find_age_fault(attempt.key):
        state.refuse_as_too_old(attempt)
        return
    if attempt.give_up_at <= state.now:
        state.give_up(attempt)
        return
    state.attempts.move(attempt, AttemptState.WON)
    winner = attempt.waiters.pop(0)
    state.notify(winner, claim_events.ClaimWon(attempt.key, attempt.claim))
    state.notify_all(attempt, claim_state.build_local_claim_lost(attempt))


def _continue_after_complete_read(state: claim_state.ClaimState) -> None:
    checked = state.attempts.collect(AttemptState.CHECKING)
    sent = state.attempts.collect(AttemptState.SENT)
    for attempt in checked + sent:
        is_read_done = (
            attempt.required_read is not None
            and attempt.required_read <= state.stream.last_complete_read
        )
        if is_read_done:
            _queue_if_free(state, attempt)


def _queue_if_free(
    state: claim_state.ClaimState, attempt: claim_attempts.ClaimAttempt
) -> None:
    """Queues the claim to be appended, perhaps again, if the key is free.

    Otherwise ends the attempt.
    """
    attempt.required_read = None
    holder = state.get_other_holder(attempt.key)
    if holder is not None:
        state.revoke(attempt)
        state.notify_all(attempt, state.build_claim_lost(attempt.key, holder))
    elif state.find_age_fault(attempt.key):
        state.refuse_as_too_old(attempt)
    else:
        state.attempts.move(attempt, AttemptState.QUEUED)


def _evict_old_keys(state: claim_state.ClaimState) -> None:
    horizon_ms = state.wall_ms - state.settings.window.key_retention_ms
    for key in state.index.evict_before(horizon_ms):
        attempt = state.attempts.by_key.get(key)
        if attempt and attempt.state is AttemptState.ENDED:
            state.attempts.remove(attempt)
