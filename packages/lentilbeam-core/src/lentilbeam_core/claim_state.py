"""State of the claim state machine, and the operations its parts share."""

from lentilbeam_core import claim_attempts
from lentilbeam_core import claim_events
from lentilbeam_core import claim_index
from lentilbeam_core import claim_records
from lentilbeam_core import claim_stream
from lentilbeam_core import ids
from lentilbeam_core import outcome
from lentilbeam_core import request_key

Reason = outcome.RefusalReason


class ClaimState:
    """Everything that one incarnation of a router knows about claims.

    Attributes:
        settings: settings of the claim state machine.
        own_name: name of this router instance.
        incarnation: start of this process.
        stream: schedule of appends and reads, and records to be appended.
        index: state of all recent keys according to the log.
        attempts: this incarnation's claims that are not revoked.
        last_claim_number: number of the latest claim of this incarnation.
        is_stopping: whether the router is shutting down; it then makes no
            more claims.
        now: monotonic time of the current event, in seconds.
        wall_ms: wall clock, in milliseconds since 1970; never decreases.
        effects: effects of the current event, in order.
    """

    def __init__(
        self,
        settings: claim_events.Settings,
        own_name: ids.InstanceId,
        incarnation: ids.Incarnation,
    ):
        self.settings = settings
        self.own_name = own_name
        self.incarnation = incarnation
        self.stream = claim_stream.ClaimStream(settings)
        self.index = claim_index.ClaimIndex(settings.max_keys)
        self.attempts = claim_attempts.AttemptTable()
        self.last_claim_number = 0
        self.is_stopping = False
        self.now = float("-inf")
        self.wall_ms = 0
        self.effects: list[claim_events.Effect] = []

    @property
    def min_retry_after_s(self) -> float:
        """Shortest `Retry-After` of a refusal, in seconds."""
        return self.settings.log_backoff.min_pause_s

    def set_time(self, now: claim_events.Instant) -> None:
        """Advances both clocks to `now`; neither ever goes back.

        A wall clock that is set back must not make an expired key claimable
        again.
        """
        self.now = max(self.now, now.monotonic)
        self.wall_ms = max(self.wall_ms, now.wall_ms)

    def is_own_claim(self, claim: claim_records.ClaimId) -> bool:
        """Returns whether this incarnation of the router made the claim."""
        process = (claim.instance, claim.incarnation)
        return process == (self.own_name, self.incarnation)

    def get_other_holder(
        self, key: request_key.RequestKey
    ) -> claim_records.ClaimId | None:
        """Returns the claim holding the key if another process made it.

        None means that the key is free or held by this process.
        """
        holder = self.index.get_holder(key)
        if holder is None or self.is_own_claim(holder):
            return None
        return holder

    def find_age_fault(
        self, key: request_key.RequestKey
    ) -> request_key.KeyFault | None:
        """Returns why the key's age forbids a run now, or None.

        A key whose claims may be missing from the index counts as too old.
        """
        if not self.index.is_complete_for(key):
            return request_key.KeyFault.TOO_OLD
        return request_key.find_age_fault(
            key.request_id, self.settings.window, self.wall_ms
        )

    def is_past_retention(self, key: request_key.RequestKey) -> bool:
        """Returns whether the key is older than the key retention."""
        timestamp_ms = request_key.read_timestamp_ms(key.request_id)
        return (
            self.wall_ms - timestamp_ms > self.settings.window.key_retention_ms
        )

    def notify(self, waiter: int, result: claim_events.Result) -> None:
        """Adds the effect that delivers `result` to one waiter."""
        self.effects.append(claim_events.DeliverResult(waiter, result))

    def notify_all(
        self, attempt: claim_attempts.ClaimAttempt, result: claim_events.Result
    ) -> None:
        """Delivers `result` to all waiters of an attempt and removes them."""
        for waiter in attempt.waiters:
            self.notify(waiter, result)
        attempt.waiters = []

    def build_claim_lost(
        self, key: request_key.RequestKey, winner: claim_records.ClaimId
    ) -> claim_events.ClaimLost:
        """Returns the result for a key that another process's claim holds."""
        run_outcome = self.index.get_run_outcome(key)
        return claim_events.ClaimLost(key, winner, False, run_outcome)

    def build_outage_refusal(
        self, key: request_key.RequestKey
    ) -> claim_events.ClaimRefused:
        """Returns the refusal to give while the log is unavailable."""
        retry_after_s = self.stream.get_retry_after_s(self.now)
        return claim_events.ClaimRefused(
            key, Reason.CLAIM_LOG_UNAVAILABLE, retry_after_s
        )

    def revoke(self, attempt: claim_attempts.ClaimAttempt) -> None:
        """Removes the attempt, so that its request never runs under its claim.

        Releases the claim in the log if an append of it may have taken
        effect.
        """
        self.attempts.remove(attempt)
        if attempt.possible_appends:
            self.release(attempt.key, attempt.claim)

    def release(
        self, key: request_key.RequestKey, claim: claim_records.ClaimId
    ) -> None:
        """Queues a release, so that a later claim can hold the key.

        The claim must have been revoked.
        """
        release = claim_records.Release(key, claim)
        self.stream.add_closing_record(release, self.now)

    def refuse(
        self,
        attempt: claim_attempts.ClaimAttempt,
        refusal: claim_events.ClaimRefused,
    ) -> None:
        """Revokes the claim and ends its waiters' wait.

        The waiters get `ClaimLost` if another process is known to hold the
        key, else `refusal`.
        """
        self.revoke(attempt)
        holder = self.get_other_holder(attempt.key)
        if holder is None:
            self.notify_all(attempt, refusal)
            return
        self.notify_all(attempt, self.build_claim_lost(attempt.key, holder))

    def refuse_for_outage(self, attempt: claim_attempts.ClaimAttempt) -> None:
        """Refuses an attempt because the log is unavailable."""
        self.refuse(attempt, self.build_outage_refusal(attempt.key))

    def refuse_as_too_old(self, attempt: claim_attempts.ClaimAttempt) -> None:
        """Refuses an attempt whose key's age no longer permits a run."""
        reason = Reason.KEY_TOO_OLD
        refusal = claim_events.ClaimRefused(attempt.key, reason, None)
        self.refuse(attempt, refusal)

    def give_up(self, attempt: claim_attempts.ClaimAttempt) -> None:
        """Refuses an attempt that was still undecided at its `give_up_at`."""
        key = attempt.key
        reason = self._find_give_up_reason(attempt)
        if reason is Reason.CLAIM_LOG_UNAVAILABLE:
            if attempt.state is claim_attempts.AttemptState.SENT:
                self.stream.append_backoff.note_failure(self.now)
            self.refuse_for_outage(attempt)
            return
        refusal = claim_events.ClaimRefused(key, reason, self.min_retry_after_s)
        self.refuse(attempt, refusal)

    def _find_give_up_reason(
        self, attempt: claim_attempts.ClaimAttempt
    ) -> Reason:
        if attempt.deadline <= self.now:
            return Reason.DEADLINE_UNREACHABLE
        is_read_working = not self.stream.read_backoff.is_failing
        if not self.stream.has_reached_end and is_read_working:
            return Reason.NOT_READY
        return Reason.CLAIM_LOG_UNAVAILABLE


def build_local_claim_lost(
    attempt: claim_attempts.ClaimAttempt,
) -> claim_events.ClaimLost:
    """Returns the result for a key that an attempt of this process holds."""
    return claim_events.ClaimLost(
        attempt.key, attempt.claim, True, attempt.run_outcome
    )
