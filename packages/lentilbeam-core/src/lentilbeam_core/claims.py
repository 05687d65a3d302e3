"""State machine for at-most-once runs, based on claims in the platform's log.

A request that must not be repeated is run only by the router whose claim of
the request's key comes first in the claims stream. A router learns whether it
won by reading the stream back.

To revoke a claim is a local decision never to run the request under it. It
precedes the answer that tells the caller that the request was not run. To
release a claim is to record this in the log, so that another claim can hold
the key. A router does so if the revoked claim may have reached the log or is
found there later.
"""

from lentilbeam_core import claim_attempts
from lentilbeam_core import claim_events
from lentilbeam_core import claim_readback
from lentilbeam_core import claim_records
from lentilbeam_core import claim_requests
from lentilbeam_core import claim_state
from lentilbeam_core import ids
from lentilbeam_core import outcome
from lentilbeam_core import request_key

AttemptState = claim_attempts.AttemptState


class ClaimStateMachine:
    """The claims of one incarnation of a router.

    Performs no input or output: `handle` takes an event and returns the
    effects that the caller has to carry out.
    """

    def __init__(
        self,
        settings: claim_events.Settings,
        own_name: ids.InstanceId,
        incarnation: ids.Incarnation,
    ):
        self.state = claim_state.ClaimState(settings, own_name, incarnation)

    @property
    def is_flushed(self) -> bool:
        """Whether no closing record waits and no append is in flight."""
        stream = self.state.stream
        return not stream.closing_records and not stream.in_flight

    @property
    def is_log_failing(self) -> bool:
        """Whether the latest append or the latest read failed."""
        stream = self.state.stream
        return (
            stream.append_backoff.is_failing or stream.read_backoff.is_failing
        )

    def handle(
        self, event: claim_events.Event, now: claim_events.Instant
    ) -> list[claim_events.Effect]:
        """Processes one event; returns the effects to carry out, in order."""
        state = self.state
        state.set_time(now)
        state.effects = []
        _dispatch_event(state, event)
        for attempt in state.attempts.pop_overdue(state.now):
            state.give_up(attempt)
        _start_append(state)
        _start_read(state)
        return state.effects

    def start_run(
        self,
        key: request_key.RequestKey,
        claim: claim_records.ClaimId,
        now: claim_events.Instant,
    ) -> bool:
        """Marks the run as started and returns True, if it may start now.

        The winner may then send the request to a target. Otherwise returns
        False; then post `RunSettled` with an exchange in which no byte was
        handed over. Call this right before each try to send.

        Args:
            key: the request's key.
            claim: the claim that won the key.
            now: time of the call.
        """
        state = self.state
        state.set_time(now)
        attempt = state.attempts.find(key, claim)
        if attempt is None or attempt.state not in claim_attempts.MAY_SEND:
            return False
        if state.find_age_fault(key):
            return False
        state.attempts.move(attempt, AttemptState.RUNNING)
        return True

    def look_up(
        self, key: request_key.RequestKey
    ) -> claim_events.ClaimLost | None:
        """Returns `ClaimLost` if a claim is known to hold the key, else None.

        Call this before refusing a request as not run, for any reason: an
        earlier request with the same key may have run or may be running.
        """
        attempt = self.state.attempts.by_key.get(key)
        if attempt is not None and not attempt.is_undecided:
            return claim_state.build_local_claim_lost(attempt)
        holder = self.state.get_other_holder(key)
        if holder is None:
            return None
        return self.state.build_claim_lost(key, holder)

    def next_wakeup(self) -> float | None:
        """Returns when to post `Ticked`, in monotonic seconds.

        None means that no timer is needed.
        """
        state = self.state
        times = [
            state.stream.next_read_at(_is_read_awaited(state)),
            state.attempts.next_give_up_at(),
        ]
        if _has_records_to_append(state):
            times.append(_next_append_at(state))
        first = min(times)
        return None if first == float("inf") else first


def _dispatch_event(
    state: claim_state.ClaimState, event: claim_events.Event
) -> None:
    match event:
        case claim_events.ClaimRequested():
            claim_requests.request_claim(state, event)
        case claim_events.WaiterLeft(key, waiter):
            claim_requests.remove_waiter(state, key, waiter)
        case claim_events.RunSettled():
            _settle_run(state, event)
        case claim_events.AppendEnded(answer):
            claim_readback.end_append(state, answer)
        case claim_events.PageRead():
            claim_readback.apply_page(state, event)
        case claim_events.ReadFailed():
            state.stream.fail_read(state.now)
        case claim_events.StopRequested():
            _stop_claiming(state)


def _settle_run(
    state: claim_state.ClaimState, event: claim_events.RunSettled
) -> None:
    attempt = state.attempts.find(event.key, event.claim)
    if attempt is None or attempt.state not in claim_attempts.MAY_SEND:
        return
    run_outcome = outcome.decide_outcome(event.exchange)
    if run_outcome is outcome.Outcome.REFUSED_NOT_RUN:
        state.revoke(attempt)
        return
    attempt.run_outcome = run_outcome
    state.attempts.move(attempt, AttemptState.ENDED)
    done = claim_records.Done(event.key, event.claim, run_outcome)
    state.stream.add_closing_record(done, state.now)
    if event.key not in state.index.keys:
        state.attempts.remove(attempt)


def _stop_claiming(state: claim_state.ClaimState) -> None:
    state.is_stopping = True
    reason = outcome.RefusalReason.DRAINING
    for attempt in list(state.attempts.by_key.values()):
        if attempt.is_undecided:
            refusal = claim_events.ClaimRefused(
                attempt.key, reason, state.min_retry_after_s
            )
            state.refuse(attempt, refusal)
        elif attempt.state is AttemptState.WON:
            state.revoke(attempt)


def _has_records_to_append(state: claim_state.ClaimState) -> bool:
    queued = state.attempts.undecided[AttemptState.QUEUED]
    return bool(queued or state.stream.closing_records)


def _next_append_at(state: claim_state.ClaimState) -> float:
    has_claims = bool(state.attempts.undecided[AttemptState.QUEUED])
    is_urgent = has_claims or state.is_stopping
    return state.stream.next_append_at(is_urgent)


def _start_append(state: claim_state.ClaimState) -> None:
    if not _has_records_to_append(state):
        return
    if state.now < _next_append_at(state):
        return
    space = state.settings.batch_records - len(state.stream.closing_records)
    batch = state.attempts.collect(AttemptState.QUEUED)[: max(0, space)]
    for attempt in batch:
        attempt.possible_appends += 1
        state.attempts.move(attempt, AttemptState.SENT)
    claims = [claim_records.Claim(a.key, a.claim) for a in batch]
    state.effects.append(state.stream.start_append(claims, state.now))


def _is_read_awaited(state: claim_state.ClaimState) -> bool:
    undecided = state.attempts.undecided
    is_checking = bool(undecided[AttemptState.CHECKING])
    return is_checking or bool(undecided[AttemptState.SENT])


def _start_read(state: claim_state.ClaimState) -> None:
    is_awaited = _is_read_awaited(state)
    if state.now < state.stream.next_read_at(is_awaited):
        return
    undecided = state.attempts.undecided
    sent = undecided[AttemptState.SENT].values()
    # Read at once if an attempt needs a read to the end of the stream;
    # otherwise wait for the claims that were sent.
    are_claims_expected = bool(sent) and all(
        a.required_read is None for a in sent
    )
    can_wait = are_claims_expected and not undecided[AttemptState.CHECKING]
    wait_s = state.settings.read_wait_s if can_wait else 0.0
    state.effects.append(state.stream.start_read(wait_s, state.now))
