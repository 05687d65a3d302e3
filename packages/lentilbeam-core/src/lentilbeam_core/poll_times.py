"""Estimates how long received bytes have waited to be read.

A socket does not tell when its bytes arrived. A busy event loop, or one whose
process was paused, reads them late. How late is bounded by the loop's own
polls: what a poll returns had not arrived when the poll before it returned.
"""

KEPT_POLLS = 2
"""Number of polls before the last one whose `read_until` is kept."""


class PollTimes:
    """Times of an event loop's polls for I/O events.

    Attributes:
        returned_at: when the last poll returned, monotonic seconds.
        read_until: everything that arrived before this time was returned by
            earlier polls than the last one, monotonic seconds.
        busy_s: time in which the loop did not wait as intended since its start,
            pauses of the processor included, in seconds.
        before_read_until: the value of `read_until` for the polls before the
            last one, the newest first.
    """

    def __init__(self, now: float):
        self.returned_at = now
        self.read_until = now
        self.busy_s = 0.0
        self.before_read_until = (now,) * KEPT_POLLS

    def note_no_poll(self) -> None:
        """Records an iteration of the loop that did not poll.

        It counts as a poll that returned nothing: what is read later was not
        returned by it, and callbacks that an earlier poll has led to count the
        iterations since.
        """
        self.before_read_until = (
            self.read_until,
            *self.before_read_until[: KEPT_POLLS - 1],
        )

    def note_poll(
        self, entered_at: float, returned_at: float, timeout_s: float | None
    ) -> None:
        """Records a poll.

        The time since the last poll counts as a delay, except for the part in
        which the loop waited as intended: events end such a wait at once.

        Args:
            entered_at: when the poll began, monotonic seconds.
            returned_at: when it returned, monotonic seconds.
            timeout_s: longest time to wait for events, in seconds; None if it
                is unlimited.
        """
        waited_s = returned_at - entered_at
        if timeout_s is not None:
            waited_s = min(waited_s, max(timeout_s, 0.0))
        delay_s = returned_at - self.returned_at - waited_s
        self.busy_s += delay_s
        self.before_read_until = (
            self.read_until,
            *self.before_read_until[: KEPT_POLLS - 1],
        )
        self.read_until = returned_at - delay_s
        self.returned_at = returned_at
