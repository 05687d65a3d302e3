"""`export`: writes the timeline as trace-event JSON for a trace viewer.

Each router is a process of the trace. Each event is an instant event. If
several events of a router have the same subject, they also form an async span
from the first to the last.
"""

import collections
from typing import Any

from lentilbeam_cli import context as context_lib
from lentilbeam_cli import events as events_lib
from lentilbeam_cli import exit_status


async def run(context: context_lib.Context) -> exit_status.ExitStatus:
    """Runs the command and returns its exit status."""
    collected = await events_lib.collect_events(context)
    if collected.is_error():
        return context.report_failure(collected.error)
    context.out.write_json(build_trace(collected.ok.events))
    return exit_status.ExitStatus.OK


def build_trace(events: list[events_lib.Event]) -> dict[str, Any]:
    """Returns the events as a trace-event document, as JSON data.

    Args:
        events: events in causal order.
    """
    routers = sorted({event.instance for event in events})
    pids = {name: number for number, name in enumerate(routers, start=1)}
    metadata = [
        {
            "ph": "M",
            "name": "process_name",
            "pid": pids[name],
            "args": {"name": name},
        }
        for name in routers
    ]
    instants = [_build_instant(event, pids) for event in events]
    spans = _build_spans(events, pids)
    return {"displayTimeUnit": "ms", "traceEvents": metadata + instants + spans}


def _build_instant(
    event: events_lib.Event, pids: dict[str, int]
) -> dict[str, Any]:
    return {
        "ph": "i",
        "s": "p",
        "name": event.name,
        "cat": event.name.split(".")[0],
        "ts": event.unix_us,
        "pid": pids[event.instance],
        "tid": 0,
        "args": {"subject": event.subject, "detail": event.detail},
    }


def _build_spans(
    events: list[events_lib.Event], pids: dict[str, int]
) -> list[dict[str, Any]]:
    grouped = collections.defaultdict(list)
    for event in events:
        grouped[event.instance, event.subject].append(event)
    spans = []
    for (instance, subject), group in grouped.items():
        if len(group) < 2:
            continue
        for phase, event in (("b", group[0]), ("e", group[-1])):
            spans.append(
                {
                    "ph": phase,
                    "id": subject,
                    "name": subject,
                    "cat": "subject",
                    "ts": event.unix_us,
                    "pid": pids[instance],
                    "tid": 0,
                }
            )
    return spans
