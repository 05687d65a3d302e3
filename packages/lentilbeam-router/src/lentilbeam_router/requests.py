"""Parsing and validation of callers' requests."""

import dataclasses
import hashlib
import json
import pathlib
from typing import Any
import uuid

import expression
import jsonschema

from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import findings as findings_lib
from lentilbeam_core import ids
from lentilbeam_core import outcome
from lentilbeam_core import request_key

SCHEMA = json.loads(
    pathlib.Path(__file__).with_name("request_schema.json").read_text()
)
VALIDATOR = jsonschema.Draft202012Validator(SCHEMA)
MODEL_INPUT_VALIDATOR = jsonschema.Draft202012Validator(
    SCHEMA["$defs"]["model_input"]
)
PREFIX_LENGTH = 256
"""Characters at the start of a prompt that determine its cache affinity."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A valid request.

    Attributes:
        request_id: the request id, chosen by the caller or generated here.
        workspace: the workspace of the caller.
        pool: the pool whose targets may run the request.
        call: name of the call.
        input: arguments of the call, passed to the target unchanged.
        cost_hint: the caller's estimate of the cost, in the pool's cost
            unit; `max_tokens` if the caller gave no estimate; None if neither
            is given.
        deadline_s: time from the arrival of the request to its deadline, in
            seconds.
        is_streamed: whether the caller wants the answer as a stream.
    """

    request_id: ids.RequestId
    workspace: ids.WorkspaceId
    pool: catalogue_lib.Pool
    call: str
    input: dict[str, Any]
    cost_hint: float | None
    deadline_s: float
    is_streamed: bool

    @property
    def key(self) -> request_key.RequestKey:
        """The idempotency key: the request id within its workspace."""
        return request_key.RequestKey(self.workspace, self.request_id)

    @property
    def target_request_id(self) -> str:
        """The request id sent to the target.

        The target repeats it in each piece of the answer. Model engines don't
        receive the workspace, so the id for them includes it.
        """
        if self.pool.kind is catalogue_lib.ServiceKind.MODEL:
            return self.scoped_id
        return self.request_id

    @property
    def scoped_id(self) -> ids.RequestId:
        """The request id with its workspace, unique within the fleet."""
        return ids.RequestId(f"{self.workspace}/{self.request_id}")

    @property
    def fingerprint(self) -> str:
        """Hex SHA-256 digest of pool, call and input.

        It distinguishes a retry from another request with the same id.
        """
        content = json.dumps(
            [self.pool.name, self.call, self.input], sort_keys=True
        )
        return hashlib.sha256(content.encode()).hexdigest()

    @property
    def prefix(self) -> str | None:
        """Hex digest of the start of the prompt; None without a prompt."""
        prompt = self.input.get("prompt")
        if not isinstance(prompt, str):
            return None
        start = prompt[:PREFIX_LENGTH].encode()
        return hashlib.blake2b(start, digest_size=8).hexdigest()

    @property
    def is_idempotent(self) -> bool:
        """Whether the call may be run more than once."""
        return self.call in self.pool.idempotent_calls


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """Why a request failed validation.

    A rejection is a refusal with findings about the request.

    Attributes:
        reason: the reason that is reported to the caller.
        findings: all errors found in the request.
    """

    reason: outcome.RefusalReason
    findings: list[findings_lib.Finding]


def parse_request(
    body: bytes,
    catalogue: catalogue_lib.Catalogue,
    default_deadline_s: float,
) -> expression.Result[CallerRequest, Rejection]:
    """Parses and validates the body of a request.

    Args:
        body: the body, which should be JSON.
        catalogue: the catalogue in force.
        default_deadline_s: deadline of a request that specifies none, in
            seconds.

    Returns:
        The request, or the reason for its rejection with the errors found.
    """
    try:
        value = json.loads(body)
    except (json.JSONDecodeError, UnicodeDecodeError) as error:
        finding = findings_lib.Finding("", f"not JSON: {error}")
        return _reject(outcome.RefusalReason.BAD_REQUEST, [finding])
    found = findings_lib.collect_findings(VALIDATOR, value)
    if found:
        return _reject(outcome.RefusalReason.BAD_REQUEST, found)
    rejection = _check_names(value, catalogue)
    if rejection:
        return expression.Error(rejection)
    pool = catalogue.pools[value["pool"]]
    found = _collect_call_findings(value, pool)
    if found:
        return _reject(outcome.RefusalReason.BAD_REQUEST, found)
    return expression.Ok(_build_request(value, pool, default_deadline_s))


def _reject(
    reason: outcome.RefusalReason, found: list[findings_lib.Finding]
) -> expression.Result[CallerRequest, Rejection]:
    return expression.Error(Rejection(reason, found))


def _check_names(
    value: dict[str, Any], catalogue: catalogue_lib.Catalogue
) -> Rejection | None:
    found = []
    reason = outcome.RefusalReason.UNKNOWN_WORKSPACE
    if value["pool"] not in catalogue.pools:
        message = f"no pool {value['pool']!r} in the catalogue"
        found.append(findings_lib.Finding("/pool", message))
        reason = outcome.RefusalReason.UNKNOWN_POOL
    if value["workspace"] not in catalogue.workspaces:
        message = f"no workspace {value['workspace']!r} in the catalogue"
        found.append(findings_lib.Finding("/workspace", message))
        reason = outcome.RefusalReason.UNKNOWN_WORKSPACE
    return Rejection(reason, found) if found else None


def _collect_call_findings(
    value: dict[str, Any], pool: catalogue_lib.Pool
) -> list[findings_lib.Finding]:
    found = []
    if pool.kind is catalogue_lib.ServiceKind.MODEL:
        for finding in findings_lib.collect_findings(
            MODEL_INPUT_VALIDATOR, value["input"]
        ):
            pointer = f"/input{finding.pointer}"
            found.append(findings_lib.Finding(pointer, finding.message))
    is_idempotent = value["call"] in pool.idempotent_calls
    if "request_id" in value:
        found.extend(_collect_key_findings(value["request_id"]))
    elif not is_idempotent:
        message = "required: the call must not be repeated"
        found.append(findings_lib.Finding("/request_id", message))
    return found


def _collect_key_findings(text: str) -> list[findings_lib.Finding]:
    return [
        findings_lib.Finding("/request_id", fault.value)
        for fault in request_key.find_format_faults(text)
    ]


def _build_request(
    value: dict[str, Any], pool: catalogue_lib.Pool, default_deadline_s: float
) -> CallerRequest:
    deadline_ms = value.get("deadline_ms", default_deadline_s * 1000)
    return CallerRequest(
        request_id=ids.RequestId(value.get("request_id") or str(uuid.uuid4())),
        workspace=ids.WorkspaceId(value["workspace"]),
        pool=pool,
        call=value["call"],
        input=value["input"],
        cost_hint=value.get("cost_hint", value["input"].get("max_tokens")),
        deadline_s=deadline_ms / 1000,
        is_streamed=value.get("stream", False),
    )
