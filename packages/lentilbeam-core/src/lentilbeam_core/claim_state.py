"""State of a claim book, and the steps that its parts share."""

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
    """Everything that one incarnation of a router knows of claims.

    Attributes:
        now: monotonic time of the event at hand.
        wall_ms: wall clock, in milliseconds since 1970; never goes back.
        effects: what is to be done about the event at hand.
    """

    def __init__(
        self,
        settings: claim_events.Settings,
        instance: ids.InstanceId,
        incarnation: ids.Incarnation,
    ):
        self.settings = settings
        self.instance = instance
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
        """Shortest Retry-After, in seconds."""
        return self.settings.log_outage.min_pause_s

    def set_time(self, now: claim_events.Instant) -> None:
        """Takes in the time.

        A wall clock that is set back must not make old keys young again.
        """
        self.now = max(self.now, now.monotonic)
        self.wall_ms = max(self.wall_ms, now.wall_ms)

    def is_own_claim(self, claim: claim_records.ClaimId) -> bool:
        """Returns whether this incarnation made the claim."""
        process = (claim.instance, claim.incarnation)
        return process == (self.instance, self.incarnation)

    def get_other_holder(
        self, key: request_key.RequestKey
    ) -> claim_records.ClaimId | None:
        """Returns the claim of another process that holds the key, if any."""
        holder = self.index.get_holder(key)
        if holder is None or self.is_own_claim(holder):
            return None
        return holder

    def find_age_fault(
        self, key: request_key.RequestKey
    ) -> request_key.KeyFault | None:
        """Returns why the key's age forbids to run it now, if it does."""
        if not self.index.is_complete_for(key):
            return request_key.KeyFault.TOO_OLD
        return request_key.find_age_fault(
            key.request_id, self.settings.window, self.wall_ms
        )

    def is_past_retention(self, key: request_key.RequestKey) -> bool:
        """Returns whether the key is older than all that is remembered."""
        timestamp_ms = request_key.read_timestamp_ms(key.request_id)
        return (
            self.wall_ms - timestamp_ms > self.settings.window.key_retention_ms
        )

    def notify(self, waiter: int, result: claim_events.Result) -> None:
        """Tells one waiter its result."""
        self.effects.append(claim_events.DeliverResult(waiter, result))

    def notify_all(
        self, attempt: claim_attempts.Attempt, result: claim_events.Result
    ) -> None:
        """Tells all waiters of an attempt the same result."""
        for waiter in attempt.waiters:
            self.notify(waiter, result)
        attempt.waiters = []

    def build_claim_lost(
        self, key: request_key.RequestKey, winner: claim_records.ClaimId
    ) -> claim_events.ClaimLost:
        """Returns the result for a key that another process holds."""
        run_outcome = self.index.get_run_outcome(key)
        return claim_events.ClaimLost(key, winner, False, run_outcome)

    def build_outage_refusal(
        self, key: request_key.RequestKey
    ) -> claim_events.ClaimRefused:
        """Returns the refusal for a log that is out of reach."""
        retry_after_s = self.stream.get_retry_after_s(self.now)
        return claim_events.ClaimRefused(
            key, Reason.CLAIM_LOG_UNAVAILABLE, retry_after_s
        )

    def revoke(self, attempt: claim_attempts.Attempt) -> None:
        """Makes sure that the claim is never run, and releases it."""
        self.attempts.remove(attempt)
        if attempt.uncertain_appends:
            self.release(attempt.key, attempt.claim)

    def release(
        self, key: request_key.RequestKey, claim: claim_records.ClaimId
    ) -> None:
        """Lets a later claim have the key; the claim must be barred."""
        release = claim_records.Release(key, claim)
        self.stream.add_closing_record(release, self.now)

    def refuse(
        self,
        attempt: claim_attempts.Attempt,
        refusal: claim_events.ClaimRefused,
    ) -> None:
        """Bars the claim, then tells the refusal, or who holds the key."""
        self.revoke(attempt)
        holder = self.get_other_holder(attempt.key)
        if holder is None:
            self.notify_all(attempt, refusal)
            return
        self.notify_all(attempt, self.build_claim_lost(attempt.key, holder))

    def refuse_for_outage(self, attempt: claim_attempts.Attempt) -> None:
        """Refuses an attempt because the log is out of reach."""
        self.refuse(attempt, self.build_outage_refusal(attempt.key))

    def refuse_as_too_old(self, attempt: claim_attempts.Attempt) -> None:
        """Refuses an attempt whose key can't be claimed any more."""
        reason = Reason.KEY_TOO_OLD
        refusal = claim_events.ClaimRefused(attempt.key, reason, None)
        self.refuse(attempt, refusal)

    def give_up(self, attempt: claim_attempts.Attempt) -> None:
        """Refuses an attempt that was undecided for too long."""
        key = attempt.key
        reason = self._find_give_up_reason(attempt)
        if reason is Reason.CLAIM_LOG_UNAVAILABLE:
            if attempt.state is claim_attempts.AttemptState.SENT:
                self.stream.append_outage.note_failure(self.now)
            self.refuse_for_outage(attempt)
            return
        refusal = claim_events.ClaimRefused(key, reason, self.min_retry_after_s)
        self.refuse(attempt, refusal)

    def _find_give_up_reason(self, attempt: claim_attempts.Attempt) -> Reason:
        if attempt.deadline <= self.now:
            return Reason.DEADLINE_UNREACHABLE
        is_read_working = not self.stream.read_outage.is_on
        if not self.stream.has_reached_tail and is_read_working:
            return Reason.NOT_READY
        return Reason.CLAIM_LOG_UNAVAILABLE


def build_local_claim_lost(
    attempt: claim_attempts.Attempt,
) -> claim_events.ClaimLost:
    """Returns the result for a key that this process holds already."""
    return claim_events.ClaimLost(
        attempt.key, attempt.claim, True, attempt.run_outcome
    )
