"""Asks all routers that the platform lists."""

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
    """A router's answer, or why there is none.

    Attributes:
        value: the answer's JSON data; None if there is none.
        error: what went wrong; None if nothing did.
    """

    router: instance_list.InstanceEntry
    value: Any = None
    error: str | None = None


async def list_routers(
    context: context_lib.Context,
) -> expression.Result[list[instance_list.InstanceEntry], context_lib.Failure]:
    """Returns the listed routers by name."""
    url = context.options.instances
    if url is None:
        return expression.Error(context_lib.usage("--instances is missing"))
    listed = await instance_list.read_instances(url, context.http)
    return listed.map(
        lambda rows: sorted(rows, key=lambda row: row.name)
    ).map_error(
        lambda error: context_lib.unreachable(
            f"cannot read the instance list: {error.detail}"
        )
    )


async def ask_router(
    context: context_lib.Context,
    router: instance_list.InstanceEntry,
    path: str,
    method: str = "GET",
) -> Reply:
    """Returns one router's answer."""
    try:
        response = await context.http.request(
            method, router.url.rstrip("/") + path
        )
        response.raise_for_status()
        value = msgspec.json.decode(response.content)
    except (httpx.HTTPError, msgspec.DecodeError, RecursionError) as error:
        return Reply(router, error=str(error) or repr(error))
    if not isinstance(value, dict):
        return Reply(router, error="the answer is not an object")
    return Reply(router, value)


async def ask_all(
    context: context_lib.Context, path: str
) -> expression.Result[list[Reply], context_lib.Failure]:
    """Returns all routers' answers, by the routers' names."""
    listed = await list_routers(context)
    if listed.is_error():
        return listed
    replies = await asyncio.gather(
        *(ask_router(context, router, path) for router in listed.ok)
    )
    return expression.Ok(replies)


def warn_of_silent(context: context_lib.Context, replies: list[Reply]) -> None:
    """Writes about the routers that gave no answer."""
    for reply in replies:
        if reply.error is not None:
            context.out.write_error(
                f"no answer from {reply.router.name}: {reply.error}"
            )
