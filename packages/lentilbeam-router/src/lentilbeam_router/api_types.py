"""Types of the HTTP interface, from which its OpenAPI page is made."""

import dataclasses
import json
import pathlib

from litestar.openapi import spec
import msgspec

_REQUEST_SCHEMA = json.loads(
    pathlib.Path(__file__).with_name("request_schema.json").read_text()
)


class Address(msgspec.Struct):
    """A router that callers may use."""

    instance: str
    data_centre: str
    url: str


class Addresses(msgspec.Struct):
    """Routers in the order to try them, good for `ttl_s` seconds."""

    addresses: list[Address]
    ttl_s: float


class WholeAnswer(msgspec.Struct):
    """An answer in one piece.

    `length` and `sha256` are of `output` in UTF-8; `cost` is in tokens for
    model pools and in milliseconds of busy time for plain ones.
    """

    request_id: str
    outcome: str
    output: str
    length: int
    sha256: str
    cost: float


class FindingBody(msgspec.Struct):
    """One fault of the request's body, with its JSON pointer."""

    pointer: str
    message: str


class ProblemBody(msgspec.Struct):
    """Why there is no answer (RFC 9457).

    `outcome` is `refused_not_run`, `outcome_unknown` or `failed_by_target`;
    it is absent where the call was not about running a request.
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
    """The operation of `POST /v1/requests`, with its body's schema."""

    def __post_init__(self) -> None:
        self.request_body = _build_request_body()
