"""Every way in which a request can end, with the proof of what is told.

`outcome.decide_outcome` decides; each row here names the exchange that the
row's proof establishes. A claim lost to another process is the one ending
that is not about this router's own exchange.
"""

import dataclasses
import enum

from lentilbeam_core import outcome

NO_EXCHANGE = outcome.Exchange(False, outcome.TargetEnd.NOT_STARTED)


@dataclasses.dataclass(frozen=True, slots=True)
class EndingRow:
    """One way to end.

    Attributes:
        name: unique among the rows.
        outcome: what the caller is told.
        exchange: this router's exchange with targets.
        proof: why the outcome is true.
    """

    name: str
    outcome: outcome.Outcome
    exchange: outcome.Exchange
    proof: str


def _build_refusal(name: str, proof: str) -> EndingRow:
    decided = outcome.Outcome.REFUSED_NOT_RUN
    return EndingRow(name, decided, NO_EXCHANGE, proof)


def _build_handed_over(
    name: str, decided: outcome.Outcome, end: outcome.TargetEnd, proof: str
) -> EndingRow:
    return EndingRow(name, decided, outcome.Exchange(True, end), proof)


class Ending(enum.Enum):
    """All rows; refusals carry the name of their reason."""

    BAD_REQUEST = _build_refusal(
        "bad_request", "ended in admit, which has no connection to targets"
    )
    UNKNOWN_WORKSPACE = _build_refusal("unknown_workspace", "ended in admit")
    UNKNOWN_POOL = _build_refusal("unknown_pool", "ended in admit")
    TOO_LARGE = _build_refusal("too_large", "ended in admit")
    QUEUE_FULL = _build_refusal(
        "queue_full", "never queued, or dropped from the queue by its owner"
    )
    RATE_LIMITED = _build_refusal("rate_limited", "never queued")
    DEADLINE_UNREACHABLE = _build_refusal(
        "deadline_unreachable",
        "left the queue without a grant, or its claim was barred first",
    )
    NO_TARGET = _build_refusal(
        "no_target", "each try ended before a connection took a byte"
    )
    KEY_TOO_OLD = _build_refusal(
        "key_too_old",
        "the log, read to its tail, shows no claim; of a key older than the"
        " log's retention it is true of this attempt only",
    )
    KEY_IN_USE = _build_refusal(
        "key_in_use", "the key is known here with another request's content"
    )
    CLAIM_LOG_UNAVAILABLE = _build_refusal(
        "claim_log_unavailable",
        "the claim was barred before the refusal left, and is released"
        " wherever it turns up in the log; another's known claim goes first",
    )
    NOT_READY = _build_refusal(
        "not_ready", "ended in admit, or the claim was barred"
    )
    DRAINING = _build_refusal(
        "draining", "ended in admit, or the claim was barred"
    )
    CANCELLED = _build_refusal(
        "cancelled", "left the queue without a grant, or the claim was barred"
    )
    COMPLETED = _build_handed_over(
        "completed",
        outcome.Outcome.COMPLETED,
        outcome.TargetEnd.WHOLE_ANSWER,
        "an end mark of this request fits length and digest of all passed on",
    )
    FAILED_BY_TARGET = _build_handed_over(
        "failed_by_target",
        outcome.Outcome.FAILED_BY_TARGET,
        outcome.TargetEnd.ERROR_ANSWER,
        "the target itself answered that it failed",
    )
    BROKEN = _build_handed_over(
        "broken",
        outcome.Outcome.OUTCOME_UNKNOWN,
        outcome.TargetEnd.BROKEN,
        "a byte was handed over and no whole answer came; never run again"
        " unless idempotent",
    )
    NOT_FOLLOWED = _build_handed_over(
        "not_followed",
        outcome.Outcome.OUTCOME_UNKNOWN,
        outcome.TargetEnd.NOT_STARTED,
        "an earlier try handed over a byte, and no later try began",
    )
    CLAIMED_ELSEWHERE = EndingRow(
        "claimed_elsewhere",
        outcome.Outcome.OUTCOME_UNKNOWN,
        NO_EXCHANGE,
        "another claim holds the key in the log, and its answer can't be had",
    )


def decide_lost_claim(run_outcome: outcome.Outcome | None) -> outcome.Outcome:
    """Returns what to tell of a key that another claim holds.

    Args:
        run_outcome: how the winner's run ended, if the log says so. A completed
            run whose answer can't be had is not called completed, since a
            completed request comes with its whole answer.
    """
    if run_outcome is outcome.Outcome.FAILED_BY_TARGET:
        return run_outcome
    return Ending.CLAIMED_ELSEWHERE.value.outcome


def render_table() -> str:
    """Returns the table of all endings in Markdown."""
    lines = [
        "| ending | told to the caller | byte handed over | proof |",
        "|---|---|---|---|",
    ]
    for ending in Ending:
        row = ending.value
        handed_over = "yes" if row.exchange.byte_handed_over else "no"
        lines.append(
            f"| `{row.name}` | `{row.outcome.value}` | {handed_over}"
            f" | {row.proof} |"
        )
    return "\n".join(lines)
