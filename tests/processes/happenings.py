"""What becomes of a fleet of processes and its callers."""

import dataclasses

from demo import caller as caller_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Happening:
    """What became of a fleet and its callers.

    Attributes:
        counts: runs of each booking; empty if its service was killed.
        status: the victim's exit status, or None if it still runs.
        later: bookings that did not complete, asked for again afterwards.
        later_counts: runs of each booking after that.
    """

    results: list[caller_lib.Result]
    untyped: list[str]
    counts: dict[str, int]
    tracebacks: list[str]
    status: int | None = None
    later: list[caller_lib.Result] = dataclasses.field(default_factory=list)
    later_counts: dict[str, int] = dataclasses.field(default_factory=dict)
    victim: str = ""
    acted_at: float = 0.0
