"""Formats the results of the demonstration as text tables."""

from collections.abc import Iterator

from demo import verdict as verdict_lib

KINDS = ("streamed", "whole", "booking", "lookup")
"""Kinds of requests: two of model engines, two of the bookings service."""


def format_lines(verdict: verdict_lib.Verdict) -> Iterator[str]:
    """Yields the lines of the report."""
    yield from _format_outcomes(verdict)
    yield ""
    yield from _format_workspace_stats(verdict.workspace_stats)
    yield ""
    yield f"fairness gap (tokens per weight) {verdict.fairness_gap:>10.0f}"
    yield f"utilisation of engine slots      {verdict.utilisation:>10.1%}"
    yield f"slowest request (s)              {verdict.max_duration_s:>10.1f}"
    yield f"attempts without an answer       {verdict.broken_attempts:>10}"
    for name, count in verdict.violations.items():
        mark = "" if count == 0 else "  <-- must be 0"
        yield f"{name:<41}{count:>3}{mark}"


def _format_outcomes(verdict: verdict_lib.Verdict) -> Iterator[str]:
    headings = "".join(f"{kind:>10}" for kind in KINDS)
    yield f"{'requests by outcome':<44}{headings}"
    for name, row in sorted(verdict.outcome_counts.items()):
        cells = "".join(f"{row[kind]:>10}" for kind in KINDS)
        yield f"{name:<44}{cells}"


def _format_workspace_stats(
    workspace_stats: list[verdict_lib.WorkspaceStats],
) -> Iterator[str]:
    total_tokens = sum(stats.tokens for stats in workspace_stats) or 1.0
    yield (
        f"{'assistant by workspace':<24}{'loops':>6}{'weight':>8}"
        f"{'requests':>10}{'tokens':>8}{'share':>8}{'per weight':>12}"
        f"{'median s':>10}{'max s':>8}"
    )
    for stats in workspace_stats:
        workspace = stats.workspace
        note = "" if workspace.is_backlogged else " (light)"
        yield (
            f"{workspace.name + note:<24}{workspace.loops:>6}"
            f"{workspace.weight:>8.1f}{stats.requests:>10}"
            f"{stats.tokens:>8.0f}{stats.tokens / total_tokens:>8.1%}"
            f"{stats.tokens / workspace.weight:>12.0f}"
            f"{stats.median_duration_s:>10.2f}{stats.max_duration_s:>8.2f}"
        )
