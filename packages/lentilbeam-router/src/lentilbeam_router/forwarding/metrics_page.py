"""Serves the metrics of a router in the Prometheus text format, over ASGI."""

from collections.abc import Callable
import re

from lentilbeam_router import metrics as metrics_lib

PATH = "/metrics"
PREFIX = "lentilbeam_"
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
US_PER_S = 1_000_000
_INVALID_CHARACTERS = re.compile(r"[^a-zA-Z0-9_]")

ReadGauges = Callable[[], dict[str, float]]


def build_page(metrics: metrics_lib.Metrics, read_gauges: ReadGauges):
    """Returns the ASGI application that serves the metrics.

    Args:
        metrics: counters and histograms.
        read_gauges: returns the current gauge values by name.
    """

    async def serve(scope, receive, send) -> None:
        del receive
        if scope["type"] != "http":
            return
        is_known = scope["path"] == PATH
        body = render(metrics, read_gauges()).encode() if is_known else b""
        headers = [
            (b"content-type", b"text/plain; version=0.0.4"),
            (b"content-length", str(len(body)).encode()),
        ]
        await send(
            {
                "type": "http.response.start",
                "status": 200 if is_known else 404,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": body})

    return serve


def render(metrics: metrics_lib.Metrics, gauges: dict[str, float]) -> str:
    """Returns the metrics in the Prometheus text format."""
    lines = []
    for name, value in sorted(metrics.counters.items()):
        lines.append(f"{_format_name(name)}_total {value}")
    for name, value in sorted(gauges.items()):
        lines.append(f"{_format_name(name)} {value:g}")
    for name, histogram in sorted(metrics.histograms.items()):
        prefix = f"{_format_name(name)}_seconds"
        for percentile in PERCENTILES:
            value = histogram.get_value_at_percentile(percentile) / US_PER_S
            label = f'{{quantile="{percentile / 100:g}"}}'
            lines.append(f"{prefix}{label} {value:.6f}")
        lines.append(f"{prefix}_count {histogram.total_count}")
    return "\n".join(lines) + "\n"


def _format_name(name: str) -> str:
    return PREFIX + _INVALID_CHARACTERS.sub("_", name)
