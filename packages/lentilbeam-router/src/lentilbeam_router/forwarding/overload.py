"""Decides which requests a router with too little processor time refuses."""

from collections.abc import Callable

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import poll_times as poll_times_lib
from lentilbeam_core.forwarding import admission
from lentilbeam_core.forwarding import decisions as decisions_lib
from lentilbeam_core.forwarding import lateness as lateness_lib
from lentilbeam_core.forwarding import overload_budget
from lentilbeam_core.forwarding import processor_load
from lentilbeam_core.forwarding import requests
from lentilbeam_router.forwarding import decision_log

MAX_WAITED_FRACTION = 0.6
"""While this router is late, a request that has used up this fraction of its
goal before it is handled is refused: its answer would be late, too. The same
fraction limits the time in the queue (`admission.Settings.wait_fraction`)."""
LEVELS = tuple(lateness_lib.Level)


class Overload:
    """Lateness and processor load of this router.

    Attributes:
        poll_times: times of the polls of the event loop.
        clock: source of monotonic time.
        log: log of decisions.
        lateness: how late the timers of this process fire.
        load: work that was begun.
        budget: divides the time between serving and refusing.
        level: level that was logged last.
    """

    def __init__(
        self,
        poll_times: poll_times_lib.PollTimes,
        clock: clock_lib.Clock,
        log: decision_log.DecisionLog,
    ):
        self.poll_times = poll_times
        self.clock = clock
        self.log = log
        self.lateness = lateness_lib.Lateness(lateness_lib.Settings())
        self.load = processor_load.ProcessorLoad(processor_load.Settings())
        self.budget = overload_budget.OverloadBudget(overload_budget.Settings())
        self.level = lateness_lib.Level.ON_TIME

    @property
    def takes_callers(self) -> bool:
        """Whether this router keeps up, so that callers may be sent to it."""
        return self.lateness.takes_callers(self.clock.monotonic())

    @property
    def _is_behind(self) -> bool:
        """Whether timers fire late, so that the load counts."""
        return self.lateness.level is not lateness_lib.Level.ON_TIME

    @property
    def is_overloaded(self) -> bool:
        """Whether this router is late or has begun what it can finish."""
        return self.find_level() is not lateness_lib.Level.ON_TIME

    def find_level(self) -> lateness_lib.Level:
        """Returns the higher of the levels of lateness and load.

        The load counts only while timers fire late as well. It is an estimate,
        and a router whose timers are on time does its work in time.
        """
        if not self._is_behind:
            return self.lateness.level
        levels = (
            self.lateness.level,
            self.load.find_level(self.clock.monotonic()),
        )
        return max(levels, key=LEVELS.index)

    def note_lateness(self, due_at: float, active: int) -> None:
        """Updates lateness and load; logs a change of the level.

        Args:
            due_at: when a timer that fired now was due, or when a request that
                is handled now was read, monotonic seconds.
            active: number of requests that are being served.
        """
        now = self.clock.monotonic()
        self.lateness.note_timer(due_at, now)
        self.load.note_busy(self.poll_times.busy_s, now)
        level = self.find_level()
        if level is not lateness_lib.Level.ON_TIME:
            self.lateness.last_late_at = now
        if level is not self.level:
            self.level = level
            self.log.write_event(
                "lateness",
                level=level.value,
                late_s=round(self.lateness.late_s, 3),
                busy=round(self.load.busy_fraction, 2),
                backlog_s=round(self.load.read_backlog(now), 2),
                active=active,
            )

    def is_too_late_for(
        self,
        request: requests.Request,
        has_had_fair_share: Callable[[], bool],
    ) -> bool:
        """Whether this router is too busy to take a new request.

        While it is late, it still takes the requests of workspaces that have
        not had their fair share, if they can be on time.

        Args:
            request: the request.
            has_had_fair_share: whether its workspace has had its fair share.
        """
        if self.takes_callers:
            return False
        now = self.clock.monotonic()
        waited_s = now - request.arrived_at
        if waited_s > request.route.goal_s * MAX_WAITED_FRACTION:
            return True
        level = self.find_level()
        if level is lateness_lib.Level.STALLED:
            # Its first event would wait about as long as timers do.
            waited_s += self.lateness.late_s
            if waited_s > request.route.goal_s:
                return True
        if self.load.estimate_cost() > 0:
            # Work that was begun counts only while it may make requests late.
            is_busy = level is not lateness_lib.Level.ON_TIME or (
                self.load.busy_fraction >= self.load.settings.busy_fraction
            )
            return is_busy and self.budget.is_full(
                self.load.read_backlog(now), has_had_fair_share()
            )
        # What a request costs is not known yet.
        if level is lateness_lib.Level.LATE:
            return has_had_fair_share()
        return level is lateness_lib.Level.STALLED

    def can_finish(self, request: requests.Request) -> bool:
        """Whether a new request can be served whole before its deadline."""
        if self.takes_callers and not self._is_behind:
            return True
        now = self.clock.monotonic()
        left_s = request.deadline_at - now
        return self.load.can_finish(request.route.name, left_s, now)

    def count_acceptable(self, waiting: int, waited_s: float) -> int:
        """Returns how many connections may be accepted now.

        Args:
            waiting: number of requests that were read and are not yet handled.
            waited_s: for how long the first of these has waited, in seconds.
        """
        return self.budget.count_acceptable(
            waiting,
            waited_s,
            not self.takes_callers,
            self.clock.monotonic(),
            self.load.estimate_cost(),
        )

    def note_unread(self, age_s: float) -> None:
        """Records for how long a request has waited in the accept queue.

        Args:
            age_s: time since it arrived, in seconds.
        """
        now = self.clock.monotonic()
        if age_s >= self.lateness.settings.late_s:
            self.lateness.note_timer(now - age_s, now)

    def note_unaccepted(self) -> None:
        """Records that connections were left in the accept queue.

        A router that limits them goes on to count as late: the limit may be
        all that keeps it on time.
        """
        if not self.takes_callers:
            self.lateness.last_late_at = self.clock.monotonic()

    def count_openable(self, waiting: int) -> int:
        """Returns how many requests may begin to wait for their turn.

        Args:
            waiting: number of requests that were read and are not yet handled.
        """
        return self.budget.count_openable(waiting, self.load.estimate_cost())

    def find_listen_backlog(self, usual: int) -> int:
        """Returns the length of the accept queue.

        Args:
            usual: its length while this router is on time.
        """
        if self.takes_callers:
            return usual
        now = self.clock.monotonic()
        return min(self.budget.find_queue_length(now), usual)

    def note_accepted(self) -> None:
        """Records that a connection was accepted."""
        self.budget.note_accepted(self.clock.monotonic())

    def note_begun(self) -> None:
        """Records that a request is forwarded."""
        now = self.clock.monotonic()
        self.load.note_begun(now)
        if not self.takes_callers:
            self.budget.note_begun(now)

    def note_refused(self, took_s: float, is_whole: bool = False) -> None:
        """Records that a request was refused because of the load.

        Args:
            took_s: seconds that the refusal took.
            is_whole: whether these include all that was done for its
                connection; else they count from its turn.
        """
        if not is_whole:
            took_s *= overload_budget.UNMEASURED_FACTOR
        self.budget.note_refused(took_s)
        self.load.note_refused(self.clock.monotonic(), took_s)

    def find_retry_delay(
        self, refused: decisions_lib.Refused, can_retry_elsewhere: bool
    ) -> float:
        """Returns the retry delay of a request that this router refuses.

        If other routers keep up, the caller may return as soon as after any
        refusal: a refusal closes its connection, and the next one leads to
        any router. Else each caller is given a time of its own, so that they
        don't keep the routers overloaded.

        Args:
            refused: the refusal, with the delay of other refusals.
            can_retry_elsewhere: whether most other routers keep up.

        Returns:
            Seconds.
        """
        now = self.clock.monotonic()
        if can_retry_elsewhere:
            return refused.retry_after_s
        left_s = max(refused.request.deadline_at - now, 0.0)
        fraction = admission.Settings().retry_after_fraction
        promised_s = self.load.promise(now, left_s * fraction)
        return max(refused.retry_after_s, promised_s)
