"""Waits until a change is in force at every router."""

import asyncio
import dataclasses

from lentilbeam_cli import context as context_lib
from lentilbeam_cli import fleet
from lentilbeam_core import ids

POLL_INTERVAL_S = 0.2
"""Time between two status requests to all routers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """The routers at which a change is in force.

    Attributes:
        reached: names of the routers at which it is in force.
        behind: names of the routers at which it isn't, or that didn't respond.
    """

    reached: tuple[str, ...] = ()
    behind: tuple[str, ...] = ()

    @property
    def is_complete(self) -> bool:
        """Whether the change is in force at all routers.

        False also if there are no routers.
        """
        return bool(self.reached) and not self.behind


async def wait_for_all_routers(
    context: context_lib.Context, offset: ids.Offset
) -> Rollout:
    """Waits until a change is in force at every router.

    Args:
        context: context of the command.
        offset: offset of the change in the log.

    Returns:
        The rollout when it is complete or the option --timeout_s has elapsed.
    """
    clock = context.env.clock
    deadline = clock.monotonic() + context.options.timeout_s
    while True:
        rollout = await _check_routers(context, offset)
        if rollout.is_complete or clock.monotonic() >= deadline:
            context.out.clear_progress()
            return rollout
        total = len(rollout.reached) + len(rollout.behind)
        context.out.show_progress(
            f"in force at {len(rollout.reached)} of {total} routers"
        )
        await asyncio.sleep(POLL_INTERVAL_S)


async def _check_routers(
    context: context_lib.Context, offset: ids.Offset
) -> Rollout:
    replies = await fleet.request_all(context, "/v1/status")
    if replies.is_error():
        return Rollout()
    reached = [
        reply.router.name
        for reply in replies.ok
        if _read_offset(reply) >= offset
    ]
    behind = [
        reply.router.name
        for reply in replies.ok
        if _read_offset(reply) < offset
    ]
    return Rollout(tuple(reached), tuple(behind))


def _read_offset(reply: fleet.Reply) -> int:
    """Returns the offset of the catalogue in force; -1 if unknown."""
    value = (reply.value or {}).get("catalogue_offset")
    return value if isinstance(value, int) else -1
