"""Requests that wait until the event loop has time for them."""

import asyncio
import collections
import dataclasses
import itertools

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import poll_times as poll_times_lib

MAX_TURN_S = 0.02
"""Time, in seconds, for which an iteration of the event loop handles new
requests. The others wait until the loop has read its sockets and run its timers
again."""
MAX_BATCH = 64
"""Largest number of requests that are resumed in one iteration."""


@dataclasses.dataclass(eq=False, slots=True)
class Turn:
    """A request that waits.

    Attributes:
        since: when the request was read, monotonic seconds.
        granted: done once the request may try to begin.
    """

    since: float
    granted: asyncio.Future


class TurnQueue:
    """Requests that wait for their turn, in the order in which they were read.

    Each iteration of the loop resumes about as many as it has time for. The
    others wait at no cost.

    Attributes:
        poll_times: times of the polls of the event loop.
        clock: source of monotonic time.
        waiting: those that wait, the oldest first.
        batch: how many are resumed in the next iteration.
        begun: how many have begun since the last iteration.
    """

    def __init__(
        self, poll_times: poll_times_lib.PollTimes, clock: clock_lib.Clock
    ):
        self.poll_times = poll_times
        self.clock = clock
        self.waiting: collections.deque[Turn] = collections.deque()
        self.batch = 1
        self.begun = 0

    @property
    def waited_s(self) -> float:
        """For how long the oldest request has waited, in seconds."""
        if not self.waiting:
            return 0.0
        return self.clock.monotonic() - self.waiting[0].since

    async def wait(self, since: float) -> bool:
        """Waits until the event loop has time for a request.

        Args:
            since: when it was read, monotonic seconds.

        Returns:
            Whether it had to wait.
        """
        if not self.waiting and self._has_time():
            return False
        loop = asyncio.get_running_loop()
        turn = Turn(since, loop.create_future())
        if not self.waiting:
            loop.call_soon(self._grant)
        self.waiting.append(turn)
        try:
            await turn.granted
            while self.waiting[0] is not turn or not self._has_time():
                turn.granted = loop.create_future()
                await turn.granted
        finally:
            self.waiting.remove(turn)
        self.begun += 1
        return True

    def _has_time(self) -> bool:
        elapsed_s = self.clock.monotonic() - self.poll_times.returned_at
        return elapsed_s <= MAX_TURN_S

    def _grant(self) -> None:
        """Resumes as many requests as the next iteration has time for."""
        if self.begun >= self.batch:
            self.batch = min(self.batch * 2, MAX_BATCH)
        else:
            self.batch = max(self.begun, 1)
        self.begun = 0
        for turn in itertools.islice(self.waiting, self.batch):
            if not turn.granted.done():
                turn.granted.set_result(None)
        if self.waiting:
            asyncio.get_running_loop().call_soon(self._grant)
