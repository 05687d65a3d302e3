"""`status`: shows the state of all routers and of the pools they serve."""

from typing import Any

from lentilbeam_cli import context as context_lib
from lentilbeam_cli import exit_status
from lentilbeam_cli import fleet
from lentilbeam_cli import output

ROUTER_COLUMNS = [
    "ROUTER",
    "DATA CENTRE",
    "LISTED",
    "STATE",
    "CATALOGUE#",
    "PEERS NOT LIVE",
]
POOL_COLUMNS = ["POOL", "SCHEDULER", "QUEUED#", "RUNNING#", "TARGETS#"]
TARGET_COLUMNS = ["POOL", "TARGET", "SLOTS#", "RUNNING#", "STATE"]


async def run(context: context_lib.Context) -> exit_status.ExitStatus:
    """Runs the command and returns its exit status."""
    replies = await fleet.request_all(context, "/v1/status")
    if replies.is_error():
        return context.report_failure(replies.error)
    if context.out.is_json:
        context.out.write_json({"routers": [_dump(r) for r in replies.ok]})
    else:
        _write(context.out, replies.ok)
    if any(reply.error is None for reply in replies.ok):
        return exit_status.ExitStatus.OK
    return exit_status.ExitStatus.UNREACHABLE


def _dump(reply: fleet.Reply) -> dict[str, Any]:
    return {
        "name": reply.router.name,
        "data_centre": reply.router.data_centre,
        "listed": reply.router.state.value,
        "error": reply.error,
        "status": reply.value,
    }


def _write(out: output.Output, replies: list[fleet.Reply]) -> None:
    out.write_table(
        ROUTER_COLUMNS, [_format_router(reply) for reply in replies]
    )
    statuses = [reply.value for reply in replies if reply.value is not None]
    pools = sorted({pool for each in statuses for pool in each["pools"]})
    views_by_pool = {
        pool: [
            each["pools"][pool] for each in statuses if pool in each["pools"]
        ]
        for pool in pools
    }
    if views_by_pool:
        out.write_line()
        out.write_table(
            POOL_COLUMNS, [_sum_pool(*item) for item in views_by_pool.items()]
        )
        out.write_line()
        out.write_table(
            TARGET_COLUMNS,
            [
                row
                for item in views_by_pool.items()
                for row in _sum_targets(*item)
            ],
        )


def _format_router(reply: fleet.Reply) -> list[str]:
    router, status = reply.router, reply.value
    entry_cells = [router.name, router.data_centre, router.state.value]
    if status is None:
        return [*entry_cells, "no answer", "", ""]
    not_live = [
        f"{peer['name']} ({peer['state']})"
        for peer in status["peers"]
        if peer["state"] != "live"
    ]
    offset = str(status["catalogue_offset"])
    return [*entry_cells, status["state"], offset, ", ".join(not_live)]


def _sum_pool(pool: str, pool_views: list[dict[str, Any]]) -> list[str]:
    """Returns a pool's table row.

    Args:
        pool: name of the pool.
        pool_views: status of the pool at each router that serves it.
    """
    schedulers = sorted({str(view["scheduler"]) for view in pool_views})
    return [
        pool,
        ", ".join(schedulers),
        str(sum(view["queued"] for view in pool_views)),
        str(sum(view["running"] for view in pool_views)),
        str(max(len(view["targets"]) for view in pool_views)),
    ]


def _sum_targets(
    pool: str, pool_views: list[dict[str, Any]]
) -> list[list[str]]:
    """Returns the table rows of a pool's targets.

    Only the targets known to the first router are shown.
    """
    rows = []
    for target in pool_views[0]["targets"]:
        name = target["target"]
        target_views = [
            each
            for view in pool_views
            for each in view["targets"]
            if each["target"] == name
        ]
        running = sum(each["running"] for each in target_views)
        rows.append(
            [
                pool,
                name,
                str(target["slots"]),
                str(running),
                _format_target_state(target_views),
            ]
        )
    return rows


def _format_target_state(target_views: list[dict[str, Any]]) -> str:
    if any(view["is_draining"] for view in target_views):
        return "draining"
    if any(view["is_ejected"] for view in target_views):
        return "ejected"
    return "in use"
