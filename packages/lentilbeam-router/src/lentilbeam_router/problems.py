"""Problem documents (RFC 9457) for refused and failed calls."""

import dataclasses
import math
from typing import Any

from lentilbeam_core import findings as findings_lib
from lentilbeam_core import outcome

MEDIA_TYPE = "application/problem+json"

REFUSAL_STATUS = {
    outcome.RefusalReason.BAD_REQUEST: 400,
    outcome.RefusalReason.UNKNOWN_WORKSPACE: 404,
    outcome.RefusalReason.UNKNOWN_POOL: 404,
    outcome.RefusalReason.TOO_LARGE: 413,
    outcome.RefusalReason.QUEUE_FULL: 429,
    outcome.RefusalReason.RATE_LIMITED: 429,
    outcome.RefusalReason.DEADLINE_UNREACHABLE: 503,
    outcome.RefusalReason.NO_TARGET: 503,
    outcome.RefusalReason.KEY_TOO_OLD: 422,
    outcome.RefusalReason.KEY_IN_USE: 409,
    outcome.RefusalReason.CLAIM_LOG_UNAVAILABLE: 503,
    outcome.RefusalReason.NOT_READY: 503,
    outcome.RefusalReason.DRAINING: 503,
    outcome.RefusalReason.CANCELLED: 409,
}
OUTCOME_STATUS = {
    outcome.Outcome.FAILED_BY_TARGET: 502,
    outcome.Outcome.OUTCOME_UNKNOWN: 504,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Why a caller gets no answer, and whether its request ran.

    Attributes:
        outcome: outcome of the request; None for calls that are not meant to
            run a request, except that it is OUTCOME_UNKNOWN if no answer was
            found to attach to.
        reason: machine-readable cause, such as a refusal reason's value.
        detail: human-readable description of the cause.
        status: HTTP status code.
        request_id: the id of the request, or None if it is not known.
        retry_after_s: time after which the caller should try again, in
            seconds; None if a retry would not help.
        findings: errors found in the request.
    """

    outcome: outcome.Outcome | None
    reason: str
    detail: str
    status: int
    request_id: str | None = None
    retry_after_s: float | None = None
    findings: tuple[findings_lib.Finding, ...] = ()

    @property
    def headers(self) -> dict[str, str]:
        """Additional HTTP headers of the response."""
        if self.retry_after_s is None:
            return {}
        return {"Retry-After": str(math.ceil(self.retry_after_s))}

    def export(self) -> dict[str, Any]:
        """Returns the problem as JSON data, without members that are None."""
        body = {
            "type": f"urn:lentilbeam:problem:{self.reason}",
            "title": self.reason.replace("_", " "),
            "status": self.status,
            "detail": self.detail,
            "outcome": self.outcome.value if self.outcome else None,
            "reason": self.reason,
            "request_id": self.request_id,
            "retry_after_s": _round_to_ms(self.retry_after_s),
            "findings": [dataclasses.asdict(f) for f in self.findings],
        }
        return {key: value for key, value in body.items() if value is not None}


def build_refusal(
    reason: outcome.RefusalReason,
    detail: str,
    request_id: str | None = None,
    retry_after_s: float | None = None,
    findings: tuple[findings_lib.Finding, ...] = (),
) -> Problem:
    """Returns the problem for a request that was refused and not run.

    Args:
        reason: why the request was refused; determines the HTTP status.
        detail: human-readable description of the cause.
        request_id: the id of the request, or None if it is not known.
        retry_after_s: time after which the caller should try again, in
            seconds; None if a retry would not help.
        findings: errors found in the request.
    """
    return Problem(
        outcome=outcome.Outcome.REFUSED_NOT_RUN,
        reason=reason.value,
        detail=detail,
        status=REFUSAL_STATUS[reason],
        request_id=request_id,
        retry_after_s=retry_after_s,
        findings=findings,
    )


def build_invalid_call(
    reason: str,
    status: int,
    detail: str,
    findings: tuple[findings_lib.Finding, ...] = (),
) -> Problem:
    """Returns the problem for an invalid call that does not run a request.

    Args:
        reason: machine-readable cause.
        status: HTTP status code.
        detail: human-readable description of the cause.
        findings: errors found in the call.
    """
    return Problem(
        outcome=None,
        reason=reason,
        detail=detail,
        status=status,
        findings=findings,
    )


def build_failure(
    request_outcome: outcome.Outcome,
    reason: str,
    detail: str,
    request_id: str,
    retry_after_s: float | None = None,
) -> Problem:
    """Returns the problem for a request that ran or may have run.

    Args:
        request_outcome: outcome of the request; determines the HTTP status.
        reason: machine-readable cause.
        detail: human-readable description of the cause.
        request_id: the id of the request.
        retry_after_s: time after which a retry with the same id may have
            another outcome, in seconds; None if a retry would not help.
    """
    return Problem(
        outcome=request_outcome,
        reason=reason,
        detail=detail,
        status=OUTCOME_STATUS[request_outcome],
        request_id=request_id,
        retry_after_s=retry_after_s,
    )


def _round_to_ms(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
