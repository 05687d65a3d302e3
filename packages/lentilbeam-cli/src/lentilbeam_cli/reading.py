"""Reads the catalogue in force from the log, or else from the routers."""

import expression

from lentilbeam_cli import context as context_lib
from lentilbeam_cli import fleet
from lentilbeam_core import catalogue_follow
from lentilbeam_core import catalogue_log
from lentilbeam_core import catalogue_snapshot
from lentilbeam_core import catalogue_state
from lentilbeam_router import platform_log

MAX_PAGE_RECORDS = 1000


async def follow_log(
    log: platform_log.LogClient,
) -> expression.Result[catalogue_follow.Follower, context_lib.Failure]:
    """Reads the catalogue's stream of the log to its end.

    Returns:
        The follower that has read it; a failure if the log can't be read, or
        if records have expired that no snapshot in the log covers.
    """
    follower = catalogue_follow.Follower()
    while True:
        was_searching = _is_searching(follower)
        page = await log.read(
            catalogue_log.STREAM,
            follower.next_read_offset,
            MAX_PAGE_RECORDS,
            wait_s=0.0,
        )
        if page.is_error():
            return expression.Error(
                context_lib.build_unreachable_failure(
                    f"cannot read the log: {page.error.detail}"
                )
            )
        follower.apply_page(page.ok)
        if page.ok.records or was_searching != _is_searching(follower):
            continue
        if was_searching:
            return expression.Error(
                context_lib.build_unreachable_failure(
                    "the log has no snapshot that covers its expired records"
                )
            )
        return expression.Ok(follower)


async def read_state(
    context: context_lib.Context,
) -> expression.Result[catalogue_state.State, context_lib.Failure]:
    """Returns the catalogue in force.

    It is read from the log if the option --log is given. Without it, or if the
    log can't be read, it is read from the routers in the list at --instances.
    """
    if context.options.log is None:
        return await _read_from_routers(context)
    follow_result = await follow_log(context.open_log().ok)
    if follow_result.is_ok():
        return expression.Ok(follow_result.ok.state)
    if context.options.instances is None:
        return follow_result
    context.out.write_error(follow_result.error.message)
    return await _read_from_routers(context)


async def _read_from_routers(
    context: context_lib.Context,
) -> expression.Result[catalogue_state.State, context_lib.Failure]:
    """Returns the newest catalogue that a router has in force."""
    if context.options.instances is None:
        return expression.Error(
            context_lib.build_usage_failure("--log or --instances is missing")
        )
    replies = await fleet.request_all(context, "/v1/catalogue")
    if replies.is_error():
        return replies
    fleet.write_request_errors(context, replies.ok)
    states = [
        parsed.ok
        for parsed in map(_parse_reply, replies.ok)
        if parsed is not None and parsed.is_ok()
    ]
    if not states:
        return expression.Error(
            context_lib.build_unreachable_failure(
                "no router knows the catalogue"
            )
        )
    return expression.Ok(max(states, key=lambda state: state.offset))


def _parse_reply(reply: fleet.Reply):
    """Returns the parsed catalogue in a reply.

    Returns:
        The result of parsing it; None if the reply contains no catalogue.
    """
    if catalogue_snapshot.read_as_of(reply.value) is None:
        return None
    return catalogue_snapshot.parse_snapshot(reply.value)


def _is_searching(follower: catalogue_follow.Follower) -> bool:
    return follower.phase is catalogue_follow.Phase.SEARCHING
