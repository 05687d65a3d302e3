"""Reads the catalogue in force: from the log, else from the routers."""

import expression

from lentilbeam_cli import context as context_lib
from lentilbeam_cli import fleet
from lentilbeam_core import catalogue_follow
from lentilbeam_core import catalogue_log
from lentilbeam_core import catalogue_snapshot
from lentilbeam_core import catalogue_state
from lentilbeam_router import platform_log

PAGE_LIMIT = 1000


async def follow_log(
    log: platform_log.LogClient,
) -> expression.Result[catalogue_follow.Follower, context_lib.Failure]:
    """Returns a follower that has read the log to its end."""
    follower = catalogue_follow.Follower()
    while True:
        was_searching = _is_searching(follower)
        page = await log.read(
            catalogue_log.STREAM,
            follower.next_read_offset,
            PAGE_LIMIT,
            wait_s=0.0,
        )
        if page.is_error():
            return expression.Error(
                context_lib.unreachable(
                    f"cannot read the log: {page.error.detail}"
                )
            )
        follower.apply_page(page.ok)
        if page.ok.records or was_searching != _is_searching(follower):
            continue
        if was_searching:
            return expression.Error(
                context_lib.unreachable(
                    "no snapshot reaches the oldest record of the log"
                )
            )
        return expression.Ok(follower)


async def read_state(
    context: context_lib.Context,
) -> expression.Result[catalogue_state.State, context_lib.Failure]:
    """Returns what is in force, from the routers if the log is down."""
    if context.options.log is None:
        return await _ask_routers(context)
    followed = await follow_log(context.open_log().ok)
    if followed.is_ok():
        return expression.Ok(followed.ok.state)
    if context.options.instances is None:
        return followed
    context.out.write_error(followed.error.message)
    return await _ask_routers(context)


async def _ask_routers(
    context: context_lib.Context,
) -> expression.Result[catalogue_state.State, context_lib.Failure]:
    if context.options.instances is None:
        return expression.Error(
            context_lib.usage("--log or --instances is missing")
        )
    asked = await fleet.ask_all(context, "/v1/catalogue")
    if asked.is_error():
        return asked
    fleet.warn_of_silent(context, asked.ok)
    states = [
        parsed.ok
        for parsed in map(_parse_reply, asked.ok)
        if parsed is not None and parsed.is_ok()
    ]
    if not states:
        return expression.Error(
            context_lib.unreachable("no router knows the catalogue")
        )
    return expression.Ok(max(states, key=lambda state: state.offset))


def _parse_reply(reply: fleet.Reply):
    if catalogue_snapshot.read_as_of(reply.value) is None:
        return None
    return catalogue_snapshot.parse_snapshot(reply.value)


def _is_searching(follower: catalogue_follow.Follower) -> bool:
    return follower.phase is catalogue_follow.Phase.SEARCHING
