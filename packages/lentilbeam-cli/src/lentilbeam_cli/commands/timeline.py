"""`timeline`: shows the events of all routers in causal order."""

import msgspec

from lentilbeam_cli import context as context_lib
from lentilbeam_cli import events as events_lib
from lentilbeam_cli import exit_status


async def run(context: context_lib.Context) -> exit_status.ExitStatus:
    """Runs the command and returns its exit status."""
    collected = await events_lib.collect_events(context)
    if collected.is_error():
        return context.report_failure(collected.error)
    merged = collected.ok
    if context.out.is_json:
        context.out.write_json(
            {
                "routers": merged.routers,
                "events": msgspec.to_builtins(merged.events),
            }
        )
        return exit_status.ExitStatus.OK
    context.out.write_table(
        ["TIME (UTC)", "ROUTER", "EVENT", "SUBJECT", "DETAIL"],
        [_format_event(event) for event in merged.events],
    )
    context.out.write_line(
        f"{len(merged.events)} events from {merged.routers} routers"
    )
    return exit_status.ExitStatus.OK


def _format_event(event: events_lib.Event) -> list[str]:
    time = event.time.strftime("%H:%M:%S.%f")
    return [time, event.instance, event.name, event.subject, event.detail]
