"""Types of the HTTP API. Its OpenAPI page is generated from them."""

import dataclasses
import json
import pathlib

from litestar.openapi import spec
import msgspec

_REQUEST_SCHEMA = json.loads(
    pathlib.Path(__file__).with_name("request_schema.json").read_text()
)


class Address(msgspec.Struct):
    """A router that accepts requests from callers.

    Attributes:
        instance: the router's name in the instance list.
        data_centre: the data centre where the router runs.
        url: base URL of the router's HTTP API.
    """

    instance: str
    data_centre: str
    url: str


class Addresses(msgspec.Struct):
    """Routers, in the order in which a caller should try them.

    Attributes:
        addresses: the routers, the preferred one first.
        ttl_s: how long a caller may cache the list, in seconds.
    """

    addresses: list[Address]
    ttl_s: float


class WholeAnswer(msgspec.Struct):
    """A complete answer, returned in one response.

    Attributes:
        request_id: the id of the request.
        outcome: always `completed`.
        output: the text of the answer.
        length: length of `output`, in bytes of UTF-8.
        sha256: hex SHA-256 digest of `output`, encoded as UTF-8.
        cost: the request's cost: tokens in model pools, milliseconds of busy
            time in pools of plain services.
    """

    request_id: str
    outcome: str
    output: str
    length: int
    sha256: str
    cost: float


class FindingBody(msgspec.Struct):
    """One error in a request.

    Attributes:
        pointer: JSON pointer to the invalid value.
        message: what is wrong with the value.
    """

    pointer: str
    message: str


class ProblemBody(msgspec.Struct):
    """A problem document (RFC 9457): why a call has no answer.

    Attributes:
        type: URN of the problem type; ends with `reason`.
        title: `reason` with spaces instead of underscores.
        status: HTTP status code.
        detail: human-readable description of the cause.
        reason: machine-readable cause.
        findings: errors found in the request; may be empty.
        outcome: `refused_not_run`, `outcome_unknown` or `failed_by_target`;
            absent if the call was not meant to run a request, except that it
            is `outcome_unknown` if no answer was found to attach to.
        request_id: the id of the request, if known.
        retry_after_s: time after which a retry makes sense, in seconds;
            absent if a retry would not help.
    """

    type: str
    title: str
    status: int
    detail: str
    reason: str
    findings: list[FindingBody]
    outcome: str | None = None
    request_id: str | None = None
    retry_after_s: float | None = None


def _build_request_body() -> spec.RequestBody:
    properties = {
        name: spec.Schema(
            type=spec.OpenAPIType(schema["type"]),
            pattern=schema.get("pattern"),
        )
        for name, schema in _REQUEST_SCHEMA["properties"].items()
    }
    schema = spec.Schema(
        type=spec.OpenAPIType.OBJECT,
        required=_REQUEST_SCHEMA["required"],
        properties=properties,
    )
    content = {"application/json": spec.OpenAPIMediaType(schema=schema)}
    return spec.RequestBody(content=content, required=True)


@dataclasses.dataclass
class RequestOperation(spec.Operation):
    """The OpenAPI operation of `POST /v1/requests` with its body schema."""

    def __post_init__(self) -> None:
        self.request_body = _build_request_body()
