"""Waits until a change is in force at every router."""

import asyncio
import dataclasses

from lentilbeam_cli import context as context_lib
from lentilbeam_cli import fleet
from lentilbeam_core import ids

POLL_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Spread:
    """Where a change is in force.

    Attributes:
        reached: routers where it is.
        behind: routers where it is not, or that gave no answer.
    """

    reached: tuple[str, ...] = ()
    behind: tuple[str, ...] = ()

    @property
    def is_everywhere(self) -> bool:
        """Whether there are routers, and none is behind."""
        return bool(self.reached) and not self.behind


async def wait_everywhere(
    context: context_lib.Context, offset: ids.Offset
) -> Spread:
    """Returns the spread when it is complete, or at the time-out."""
    clock = context.env.clock
    end = clock.monotonic() + context.options.timeout_s
    while True:
        spread = await _look(context, offset)
        if spread.is_everywhere or clock.monotonic() >= end:
            context.out.end_progress()
            return spread
        total = len(spread.reached) + len(spread.behind)
        context.out.show_progress(
            f"in force at {len(spread.reached)} of {total} routers"
        )
        await asyncio.sleep(POLL_S)


async def _look(context: context_lib.Context, offset: ids.Offset) -> Spread:
    asked = await fleet.ask_all(context, "/v1/status")
    if asked.is_error():
        return Spread()
    reached = [
        reply.router.name for reply in asked.ok if _read_offset(reply) >= offset
    ]
    behind = [
        reply.router.name for reply in asked.ok if _read_offset(reply) < offset
    ]
    return Spread(tuple(reached), tuple(behind))


def _read_offset(reply: fleet.Reply) -> int:
    value = (reply.value or {}).get("catalogue_offset")
    return value if isinstance(value, int) else -1
