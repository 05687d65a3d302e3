"""Sends HTTP requests to the routers in the platform's instance list."""

import asyncio
import dataclasses
from typing import Any

import expression
import httpx
import msgspec

from lentilbeam_cli import context as context_lib
from lentilbeam_router import instance_list


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A router's reply, or the reason why there is none.

    Attributes:
        router: the router's entry in the instance list.
        value: decoded JSON object; None if the request failed.
        error: error message; None if the request succeeded.
    """

    router: instance_list.InstanceEntry
    value: Any = None
    error: str | None = None


async def list_routers(
    context: context_lib.Context,
) -> expression.Result[list[instance_list.InstanceEntry], context_lib.Failure]:
    """Returns the routers in the instance list, ordered by name.

    The result is a failure if the option --instances is missing or the list
    can't be read.
    """
    url = context.options.instances
    if url is None:
        return expression.Error(
            context_lib.build_usage_failure("--instances is missing")
        )
    routers = await instance_list.read_instances(url, context.http)
    return routers.map(
        lambda entries: sorted(entries, key=lambda entry: entry.name)
    ).map_error(
        lambda error: context_lib.build_unreachable_failure(
            f"cannot read the instance list: {error.detail}"
        )
    )


async def request_router(
    context: context_lib.Context,
    router: instance_list.InstanceEntry,
    path: str,
    method: str = "GET",
) -> Reply:
    """Sends a request to one router.

    Args:
        context: context of the command.
        router: the router's entry in the instance list.
        path: path of the URL, with a leading slash.
        method: HTTP method.
    """
    try:
        response = await context.http.request(
            method, router.url.rstrip("/") + path
        )
        response.raise_for_status()
        value = msgspec.json.decode(response.content)
    except (httpx.HTTPError, msgspec.DecodeError, RecursionError) as error:
        return Reply(router, error=str(error) or repr(error))
    if not isinstance(value, dict):
        return Reply(router, error="the response is not a JSON object")
    return Reply(router, value)


async def request_all(
    context: context_lib.Context, path: str
) -> expression.Result[list[Reply], context_lib.Failure]:
    """Sends a GET request to all routers.

    Returns:
        The replies, ordered by the routers' names; a failure if the instance
        list can't be read.
    """
    routers = await list_routers(context)
    if routers.is_error():
        return routers
    replies = await asyncio.gather(
        *(request_router(context, router, path) for router in routers.ok)
    )
    return expression.Ok(replies)


def write_request_errors(
    context: context_lib.Context, replies: list[Reply]
) -> None:
    """Writes an error line for each request that failed."""
    for reply in replies:
        if reply.error is not None:
            context.out.write_error(
                f"no answer from {reply.router.name}: {reply.error}"
            )
