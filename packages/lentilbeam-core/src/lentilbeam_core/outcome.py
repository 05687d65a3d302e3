"""The typed outcomes of a request and the one rule that decides them."""

import dataclasses
import enum


class Outcome(enum.Enum):
    """How a request ended, as told to its caller."""

    COMPLETED = "completed"
    REFUSED_NOT_RUN = "refused_not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    FAILED_BY_TARGET = "failed_by_target"


class RefusalReason(enum.Enum):
    """Why a request was refused without being run."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_WORKSPACE = "unknown_workspace"
    UNKNOWN_POOL = "unknown_pool"
    TOO_LARGE = "too_large"
    QUEUE_FULL = "queue_full"
    RATE_LIMITED = "rate_limited"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    NO_TARGET = "no_target"
    KEY_TOO_OLD = "key_too_old"
    KEY_IN_USE = "key_in_use"
    CLAIM_LOG_UNAVAILABLE = "claim_log_unavailable"
    NOT_READY = "not_ready"
    DRAINING = "draining"
    CANCELLED = "cancelled"


class TargetEnd(enum.Enum):
    """How the exchange with the target ended, as the router saw it."""

    NOT_STARTED = "not_started"
    WHOLE_ANSWER = "whole_answer"
    ERROR_ANSWER = "error_answer"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """What is known about a request's exchange with targets.

    Attributes:
        byte_handed_over: whether any byte of the request was handed to a
            connection with a target, on any try.
        end: how the last try ended.
    """

    byte_handed_over: bool
    end: TargetEnd


def decide_outcome(exchange: Exchange) -> Outcome:
    """Returns the outcome that is true for the exchange."""
    if not exchange.byte_handed_over:
        return Outcome.REFUSED_NOT_RUN
    if exchange.end is TargetEnd.WHOLE_ANSWER:
        return Outcome.COMPLETED
    if exchange.end is TargetEnd.ERROR_ANSWER:
        return Outcome.FAILED_BY_TARGET
    return Outcome.OUTCOME_UNKNOWN
