"""What a claim book does when the log answers."""

from lentilbeam_core import claim_attempts
from lentilbeam_core import claim_events
from lentilbeam_core import claim_records
from lentilbeam_core import claim_state
from lentilbeam_core import request_key

AttemptState = claim_attempts.AttemptState


def end_append(
    state: claim_state.ClaimState, answer: claim_events.AppendAnswer
) -> None:
    """Takes in the end of the append in flight.

    An append that worked proves nothing about who holds a key; the records
    that are read back do.
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
            attempt.uncertain_appends -= 1
            state.refuse_for_outage(attempt)
        else:
            attempt.fresh_read = state.stream.reads_started + 1
    if is_without_effect:
        for attempt in state.attempts.collect(AttemptState.QUEUED):
            state.refuse_for_outage(attempt)


def take_page(
    state: claim_state.ClaimState, page: claim_events.PageRead
) -> None:
    """Takes in records, and decides the attempts that they settle."""
    if state.stream.end_read(page):
        state.index.distrust_before(state.wall_ms)
    mine: dict[request_key.RequestKey, None] = {}
    for stored in page.records:
        record = claim_records.parse_record(stored.value)
        if record is None:
            continue
        state.index.apply(record)
        if state.is_mine(record.claim):
            mine[record.key] = None
            _note_seen(state, record)
    for key in mine:
        _decide(state, key)
    if not state.stream.may_have_more:
        _go_on_after_tail(state)
    _forget(state)


def _note_seen(
    state: claim_state.ClaimState, record: claim_records.Record
) -> None:
    attempt = state.attempts.find(record.key, record.claim)
    if attempt and isinstance(record, claim_records.Claim):
        attempt.is_seen = True
        state.stream.append_outage.note_success()


def _decide(state: claim_state.ClaimState, key: request_key.RequestKey) -> None:
    attempt = state.attempts.by_key.get(key)
    holder = state.index.get_holder(key)
    is_held_here = holder is not None and state.is_mine(holder)
    if is_held_here and (attempt is None or attempt.claim != holder):
        state.release(key, holder)
    if attempt is None or not attempt.is_undecided or not attempt.is_seen:
        return
    if attempt.claim == holder:
        _win(state, attempt)
        return
    state.refuse_for_outage(attempt)


def _win(
    state: claim_state.ClaimState, attempt: claim_attempts.Attempt
) -> None:
    if state.find_age_fault(attempt.key):
        state.refuse_as_too_old(attempt)
        return
    if attempt.give_up_at <= state.now:
        state.give_up(attempt)
        return
    state.attempts.move(attempt, AttemptState.WON)
    winner = attempt.waiters.pop(0)
    state.tell(winner, claim_events.ClaimWon(attempt.key, attempt.claim))
    state.tell_all(attempt, claim_state.build_local_loss(attempt))


def _go_on_after_tail(state: claim_state.ClaimState) -> None:
    checked = state.attempts.collect(AttemptState.CHECKING)
    sent = state.attempts.collect(AttemptState.SENT)
    for attempt in checked + sent:
        is_fresh = (
            attempt.fresh_read is not None
            and attempt.fresh_read <= state.stream.tail_read
        )
        if is_fresh:
            _go_on(state, attempt)


def _go_on(
    state: claim_state.ClaimState, attempt: claim_attempts.Attempt
) -> None:
    """Queues the claim, or queues it again, if the key is free."""
    attempt.fresh_read = None
    holder = state.get_other_holder(attempt.key)
    if holder is not None:
        state.bar(attempt)
        state.tell_all(attempt, state.build_loss(attempt.key, holder))
    elif state.find_age_fault(attempt.key):
        state.refuse_as_too_old(attempt)
    else:
        state.attempts.move(attempt, AttemptState.QUEUED)


def _forget(state: claim_state.ClaimState) -> None:
    horizon_ms = state.wall_ms - state.settings.window.memory_ms
    for key in state.index.forget_before(horizon_ms):
        attempt = state.attempts.by_key.get(key)
        if attempt and attempt.state is AttemptState.ENDED:
            state.attempts.remove(attempt)
