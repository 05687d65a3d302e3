"""Decides which requests a router with too little processor time refuses."""

from collections.abc import Callable

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import poll_times as poll_times_lib
from lentilbeam_core.forwarding import admission
from lentilbeam_core.forwarding import decisions as decisions_lib
from lentilbeam_core.forwarding import lateness as lateness_lib
from lentilbeam_core.forwarding import processor_load
from lentilbeam_core.forwarding import requests
from lentilbeam_router.forwarding import decision_log

MAX_WAITED_FRACTION = 0.6
"""While this router is late, a request that has used up this fraction of its
goal before it is handled is refused: its answer would be late, too. The same
fraction limits the time in the queue (`admission.Settings.wait_fraction`)."""
MIN_LATE_S = 0.05
"""Lateness of timers, in seconds, from which the load counts: a third of that
from which a router refuses by its lateness alone."""
LEVELS = tuple(lateness_lib.Level)


class Overload:
    """Lateness and processor load of this router.

    Attributes:
        poll_times: times of the polls of the event loop.
        clock: source of monotonic time.
        log: log of decisions.
        lateness: how late the timers of this process fire.
        load: work that was begun.
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
        self.level = lateness_lib.Level.ON_TIME

    @property
    def takes_callers(self) -> bool:
        """Whether this router keeps up, so that callers may be sent to it."""
        return self.lateness.takes_callers(self.clock.monotonic())

    @property
    def _is_behind(self) -> bool:
        """Whether timers fire late enough for the load to count."""
        return self.lateness.late_s >= MIN_LATE_S

    def find_level(self) -> lateness_lib.Level:
        """Returns the higher of the levels of lateness and load.

        The load counts only while timers fire late as well: its estimate of
        what a request costs includes the reports of a relay, which took most of
        the time of routers with few requests.
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
        level = self.find_level()
        if level is not lateness_lib.Level.LATE:
            return level is lateness_lib.Level.STALLED
        waited_s = self.clock.monotonic() - request.arrived_at
        if waited_s > request.route.goal_s * MAX_WAITED_FRACTION:
            return True
        return has_had_fair_share()

    def can_finish(self, request: requests.Request) -> bool:
        """Whether a new request can be served whole before its deadline."""
        if not self._is_behind:
            return True
        now = self.clock.monotonic()
        left_s = request.deadline_at - now
        return self.load.can_finish(request.route.name, left_s, now)

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
        self.load.note_refused(now)
        if can_retry_elsewhere:
            return refused.retry_after_s
        left_s = max(refused.request.deadline_at - now, 0.0)
        fraction = admission.Settings().retry_after_fraction
        promised_s = self.load.promise(now, left_s * fraction)
        return max(refused.retry_after_s, promised_s)
