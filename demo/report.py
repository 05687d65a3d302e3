"""The table at the end of the demonstration."""

from collections.abc import Iterator

from demo import verdict as verdict_lib

KINDS = ("streamed", "whole", "booking", "lookup")


def format_lines(verdict: verdict_lib.Verdict) -> Iterator[str]:
    """Yields the lines of the table."""
    yield from _format_outcomes(verdict)
    yield ""
    yield from _format_shares(verdict.shares)
    yield ""
    yield f"fairness gap (tokens per weight) {verdict.gap:>10.0f}"
    yield f"utilisation of engine slots      {verdict.utilisation:>10.1%}"
    yield f"slowest request (s)              {verdict.slowest_s:>10.1f}"
    yield f"tries broken by process ends     {verdict.broken_attempts:>10}"
    for name, count in verdict.violations.items():
        mark = "" if count == 0 else "  <-- must be 0"
        yield f"{name:<41}{count:>3}{mark}"


def _format_outcomes(verdict: verdict_lib.Verdict) -> Iterator[str]:
    heads = "".join(f"{kind:>10}" for kind in KINDS)
    yield f"{'requests by outcome':<44}{heads}"
    for name, row in sorted(verdict.outcomes.items()):
        cells = "".join(f"{row[kind]:>10}" for kind in KINDS)
        yield f"{name:<44}{cells}"


def _format_shares(shares: list[verdict_lib.Share]) -> Iterator[str]:
    whole = sum(share.tokens for share in shares) or 1.0
    yield (
        f"{'assistant by workspace':<24}{'loops':>6}{'weight':>8}"
        f"{'requests':>10}{'tokens':>8}{'share':>8}{'per weight':>12}"
        f"{'median s':>10}{'max s':>8}"
    )
    for share in shares:
        workspace = share.workspace
        note = "" if workspace.is_backlogged else " (light)"
        yield (
            f"{workspace.name + note:<24}{workspace.loops:>6}"
            f"{workspace.weight:>8.1f}{share.requests:>10}"
            f"{share.tokens:>8.0f}{share.tokens / whole:>8.1%}"
            f"{share.tokens / workspace.weight:>12.0f}"
            f"{share.median_s:>10.2f}{share.slowest_s:>8.2f}"
        )
