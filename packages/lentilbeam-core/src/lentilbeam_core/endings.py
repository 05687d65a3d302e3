"""All ways in which a request can end, each with a proof of its outcome.

The proof of an ending shows that its exchange with targets was the one given;
`outcome.decide_outcome` derives the outcome from this exchange. The one
exception is a claim lost to another process, whose exchange isn't known here.
"""

import dataclasses
import enum

from lentilbeam_core import outcome

NO_EXCHANGE = outcome.Exchange(False, outcome.TargetEnd.NOT_STARTED)


@dataclasses.dataclass(frozen=True, slots=True)
class EndingRow:
    """One way in which a request can end.

    Attributes:
        name: unique name.
        outcome: outcome that the caller is told.
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
    """All endings; a refusal has the name of its `RefusalReason`."""

    BAD_REQUEST = _build_refusal(
        "bad_request",
        "refused at admission, which has no connection to targets",
    )
    UNKNOWN_WORKSPACE = _build_refusal(
        "unknown_workspace", "refused at admission"
    )
    UNKNOWN_POOL = _build_refusal("unknown_pool", "refused at admission")
    TOO_LARGE = _build_refusal("too_large", "refused at admission")
    QUEUE_FULL = _build_refusal(
        "queue_full", "never queued, or removed from the queue before a grant"
    )
    RATE_LIMITED = _build_refusal("rate_limited", "never queued")
    DEADLINE_UNREACHABLE = _build_refusal(
        "deadline_unreachable",
        "left the queue without a grant, or its claim was revoked first",
    )
    NO_TARGET = _build_refusal(
        "no_target", "every try ended before a connection took a byte"
    )
    KEY_TOO_OLD = _build_refusal(
        "key_too_old",
        "the log, read to its end, has no claim of the key; for a key older"
        " than the log's retention this is true of this request only",
    )
    KEY_IN_USE = _build_refusal(
        "key_in_use",
        "this router has seen the key with different request content",
    )
    CLAIM_LOG_UNAVAILABLE = _build_refusal(
        "claim_log_unavailable",
        "the claim was revoked before the refusal was sent, and is released"
        " if it is found in the log; if another process were known to hold the"
        " key, the caller would have been told that instead",
    )
    NOT_READY = _build_refusal(
        "not_ready", "refused at admission, or the claim was revoked"
    )
    DRAINING = _build_refusal(
        "draining", "refused at admission, or the claim was revoked"
    )
    CANCELLED = _build_refusal(
        "cancelled", "left the queue without a grant, or the claim was revoked"
    )
    COMPLETED = _build_handed_over(
        "completed",
        outcome.Outcome.COMPLETED,
        outcome.TargetEnd.WHOLE_ANSWER,
        "an end mark of this request has the length and digest of all bytes"
        " passed on",
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
        "another claim holds the key in the log, and its answer is unavailable",
    )


def decide_lost_claim(run_outcome: outcome.Outcome | None) -> outcome.Outcome:
    """Returns the outcome to tell the caller if another claim holds the key.

    To be used if the winner's answer isn't available. A completed run is
    reported as OUTCOME_UNKNOWN, because COMPLETED promises the whole answer.

    Args:
        run_outcome: how the winner's run ended; None if the log doesn't tell.
    """
    if run_outcome is outcome.Outcome.FAILED_BY_TARGET:
        return run_outcome
    return Ending.CLAIMED_ELSEWHERE.value.outcome


def render_table() -> str:
    """Returns a table of all endings in Markdown."""
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
