"""Applies the schedule of a shutdown to the requests of a router."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib

from lentilbeam_core import clock as clock_lib
from lentilbeam_core.forwarding import requests
from lentilbeam_core.forwarding import stop_schedule

FindDuration = Callable[[str, float], float | None]


class StopControl:
    """What a router may still begin; everything until it is stopped.

    Attributes:
        clock: source of monotonic time.
        find_duration_s: returns the mean duration of a route's requests, see
            `ProcessorLoad.find_duration_s`.
        schedule: times of the shutdown; None before.
        running: timeouts of the requests that are being forwarded.
    """

    def __init__(self, clock: clock_lib.Clock, find_duration_s: FindDuration):
        self.clock = clock
        self.find_duration_s = find_duration_s
        self.schedule: stop_schedule.StopSchedule | None = None
        self.running: set[asyncio.Timeout] = set()

    def begin(self, schedule: stop_schedule.StopSchedule) -> None:
        """Starts the shutdown: no request runs beyond its end."""
        self.schedule = schedule
        loop = asyncio.get_running_loop()
        left_s = max(schedule.ends_at - self.clock.monotonic(), 0.0)
        ends_at = loop.time() + left_s
        for timeout in self.running:
            if not timeout.expired():
                timeout.reschedule(min(timeout.when(), ends_at))

    @property
    def has_ended(self) -> bool:
        """Whether the time for requests to end is over."""
        return (
            self.schedule is not None
            and self.clock.monotonic() >= self.schedule.ends_at
        )

    def limit_deadline(self, deadline_at: float) -> float:
        """Returns a deadline, or the end of the shutdown if that is earlier."""
        if self.schedule is None:
            return deadline_at
        return min(deadline_at, self.schedule.ends_at)

    def can_begin(self, request: requests.Request, is_resumed: bool) -> bool:
        """Whether a new request may be begun.

        Args:
            request: the request.
            is_resumed: whether it is a stream of which a part has been sent:
                what is left takes less time than a whole one.
        """
        if self.schedule is None:
            return True
        if self.clock.monotonic() >= self.schedule.begins_until:
            return False
        return self.can_end(request, is_resumed)

    def can_end(self, request: requests.Request, is_resumed: bool) -> bool:
        """Whether a request may be handed to a target; see `can_begin`."""
        if self.schedule is None:
            return True
        now = self.clock.monotonic()
        duration_s = None
        if not is_resumed:
            duration_s = self.find_duration_s(request.route.name, now)
        return self.schedule.can_end(request, duration_s, now)

    @contextlib.asynccontextmanager
    async def limit_time(self, deadline_at: float) -> AsyncIterator[None]:
        """Limits the time of a request to its deadline and to the shutdown.

        Args:
            deadline_at: the deadline, monotonic seconds.

        Raises:
            TimeoutError: the time is over.
        """
        now = self.clock.monotonic()
        left_s = max(self.limit_deadline(deadline_at) - now, 0.0)
        async with asyncio.timeout(left_s) as timeout:
            self.running.add(timeout)
            try:
                yield
            finally:
                self.running.discard(timeout)
