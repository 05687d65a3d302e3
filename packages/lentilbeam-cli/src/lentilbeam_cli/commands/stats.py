"""`stats`: shows counters and latencies, merged over the whole fleet."""

import collections
import dataclasses
from typing import Any

from hdrh import histogram as hdr

from lentilbeam_cli import context as context_lib
from lentilbeam_cli import exit_status
from lentilbeam_cli import fleet

PERCENTILES = (50.0, 90.0, 99.0, 100.0)
US_PER_MS = 1000.0


@dataclasses.dataclass(slots=True)
class FleetStats:
    """Counters and histograms of all routers that responded.

    Attributes:
        counters: sums by name.
        histograms: merged histograms of times in microseconds, by name.
    """

    counters: collections.Counter[str]
    histograms: dict[str, hdr.HdrHistogram]


async def run(context: context_lib.Context) -> exit_status.ExitStatus:
    """Runs the command and returns its exit status."""
    replies = await fleet.request_all(context, "/v1/stats")
    if replies.is_error():
        return context.report_failure(replies.error)
    fleet.write_request_errors(context, replies.ok)
    values = [reply.value for reply in replies.ok if reply.value is not None]
    if not values:
        return context.report_failure(
            context_lib.build_unreachable_failure("no router answered")
        )
    stats = merge(values)
    if context.out.is_json:
        context.out.write_json(_dump(stats, len(values)))
    else:
        _write(context, stats, len(values))
    return exit_status.ExitStatus.OK


def merge(values: list[dict[str, Any]]) -> FleetStats:
    """Returns the merged statistics of several routers.

    Args:
        values: responses of the routers, as JSON data.
    """
    stats = FleetStats(collections.Counter(), {})
    for value in values:
        stats.counters.update(value["counters"])
        for name, text in value["histograms"].items():
            decoded = hdr.HdrHistogram.decode(text)
            if name in stats.histograms:
                stats.histograms[name].add(decoded)
            else:
                stats.histograms[name] = decoded
    return stats


def _dump(stats: FleetStats, routers: int) -> dict[str, Any]:
    return {
        "routers": routers,
        "counters": dict(sorted(stats.counters.items())),
        "times_ms": {
            name: {
                "count": histogram.get_total_count(),
                **{
                    f"p{percentile:g}": value
                    for percentile, value in _percentiles(histogram)
                },
            }
            for name, histogram in sorted(stats.histograms.items())
        },
    }


def _write(
    context: context_lib.Context, stats: FleetStats, routers: int
) -> None:
    out = context.out
    out.write_table(
        ["COUNTER", "TOTAL#"],
        [[name, str(n)] for name, n in sorted(stats.counters.items())],
    )
    out.write_line()
    columns = [f"P{percentile:g}#" for percentile in PERCENTILES]
    out.write_table(
        ["TIME IN MS", "COUNT#", *columns],
        [
            [
                name,
                str(histogram.get_total_count()),
                *(f"{value:.3f}" for _, value in _percentiles(histogram)),
            ]
            for name, histogram in sorted(stats.histograms.items())
        ],
    )
    out.write_line()
    out.write_line(f"from {routers} routers")


def _percentiles(histogram: hdr.HdrHistogram) -> list[tuple[float, float]]:
    """Returns percentiles with their values in milliseconds."""
    return [
        (each, histogram.get_value_at_percentile(each) / US_PER_MS)
        for each in PERCENTILES
    ]
