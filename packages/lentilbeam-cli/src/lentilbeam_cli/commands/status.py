"""`status`: shows all routers and the pools that they serve."""

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
    """Runs the command."""
    asked = await fleet.ask_all(context, "/v1/status")
    if asked.is_error():
        return context.fail(asked.error)
    if context.out.is_json:
        context.out.write_json({"routers": [_dump(r) for r in asked.ok]})
    else:
        _write(context.out, asked.ok)
    if any(reply.error is None for reply in asked.ok):
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
    out.write_table(ROUTER_COLUMNS, [_describe(reply) for reply in replies])
    statuses = [reply.value for reply in replies if reply.value is not None]
    pools = sorted({pool for each in statuses for pool in each["pools"]})
    views = {
        pool: [
            each["pools"][pool] for each in statuses if pool in each["pools"]
        ]
        for pool in pools
    }
    if views:
        out.write_line()
        out.write_table(
            POOL_COLUMNS, [_sum_pool(*item) for item in views.items()]
        )
        out.write_line()
        out.write_table(
            TARGET_COLUMNS,
            [row for item in views.items() for row in _sum_targets(*item)],
        )


def _describe(reply: fleet.Reply) -> list[str]:
    router, status = reply.router, reply.value
    listed = [router.name, router.data_centre, router.state.value]
    if status is None:
        return [*listed, "no answer", "", ""]
    troubled = [
        f"{peer['name']} ({peer['state']})"
        for peer in status["peers"]
        if peer["state"] != "live"
    ]
    offset = str(status["catalogue_offset"])
    return [*listed, status["state"], offset, ", ".join(troubled)]


def _sum_pool(pool: str, views: list[dict[str, Any]]) -> list[str]:
    schedulers = sorted({str(view["scheduler"]) for view in views})
    return [
        pool,
        ", ".join(schedulers),
        str(sum(view["queued"] for view in views)),
        str(sum(view["running"] for view in views)),
        str(max(len(view["targets"]) for view in views)),
    ]


def _sum_targets(pool: str, views: list[dict[str, Any]]) -> list[list[str]]:
    rows = []
    for target in views[0]["targets"]:
        name = target["target"]
        same = [
            each
            for view in views
            for each in view["targets"]
            if each["target"] == name
        ]
        running = sum(each["running"] for each in same)
        rows.append(
            [
                pool,
                name,
                str(target["slots"]),
                str(running),
                _describe_state(same),
            ]
        )
    return rows


def _describe_state(views: list[dict[str, Any]]) -> str:
    if any(view["is_draining"] for view in views):
        return "draining"
    if any(view["is_ejected"] for view in views):
        return "ejected"
    return "in use"
