"""Outcomes of a request and the rule that derives them.

Every outcome that a caller gets for a request handled by this router is
derived by `decide_outcome` from the request's exchange with targets.
"""

import dataclasses
import enum


class Outcome(enum.Enum):
    """How a request ended, as told to its caller."""

    COMPLETED = "completed"  # It ran, and the caller has its whole answer.
    REFUSED_NOT_RUN = "refused_not_run"  # Not run, and won't be run.
    OUTCOME_UNKNOWN = "outcome_unknown"  # It may have run.
    FAILED_BY_TARGET = "failed_by_target"  # The target answered with an error.


class RefusalReason(enum.Enum):
    """Why a request was refused without being run.

    A key is the idempotency key of a request that must not be repeated.
    """

    BAD_REQUEST = "bad_request"
    UNKNOWN_WORKSPACE = "unknown_workspace"
    UNKNOWN_POOL = "unknown_pool"
    TOO_LARGE = "too_large"
    QUEUE_FULL = "queue_full"
    RATE_LIMITED = "rate_limited"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    NO_TARGET = "no_target"  # No target accepted a connection.
    KEY_TOO_OLD = "key_too_old"
    KEY_IN_USE = "key_in_use"  # By a request with other content.
    CLAIM_LOG_UNAVAILABLE = "claim_log_unavailable"
    NOT_READY = "not_ready"  # The router hasn't read enough of the log yet.
    DRAINING = "draining"  # The router is shutting down.
    CANCELLED = "cancelled"  # By the caller.


class TargetEnd(enum.Enum):
    """How the latest try at a target ended, as the router saw it."""

    NOT_STARTED = "not_started"  # No byte was handed to a connection.
    WHOLE_ANSWER = "whole_answer"
    ERROR_ANSWER = "error_answer"
    BROKEN = "broken"  # Neither a whole answer nor an error came.


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """What is known about a request's exchange with targets.

    Attributes:
        byte_handed_over: whether any byte of the request was handed to a
            connection to a target, in any try.
        end: how the latest try ended.
    """

    byte_handed_over: bool
    end: TargetEnd


def decide_outcome(exchange: Exchange) -> Outcome:
    """Returns the outcome that follows from the exchange."""
    if not exchange.byte_handed_over:
        return Outcome.REFUSED_NOT_RUN
    if exchange.end is TargetEnd.WHOLE_ANSWER:
        return Outcome.COMPLETED
    if exchange.end is TargetEnd.ERROR_ANSWER:
        return Outcome.FAILED_BY_TARGET
    return Outcome.OUTCOME_UNKNOWN
