"""A well-behaved caller: retries only where that is right.

An idempotent request may be sent anew anywhere. Any other request is sent
again only under the same request id, and never after the fleet said that
it may have run. A broken stream is attached to again at its offset.
"""

import asyncio
from collections.abc import AsyncIterator
import dataclasses
import json
from typing import Any

import httpx

from demo import addresses
from demo import checks
from demo import request_specs
from lentilbeam_core import clock as clock_lib
from lentilbeam_core import outcome as outcome_lib

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 20.0
REQUESTS_PATH = "/v1/requests"
MIN_PAUSE_S = 0.05
HTTP_OK = 200
TIMEOUT = httpx.Timeout(READ_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
UNSENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a caller.

    Attributes:
        tries: a request is sent this often at most.
        give_up_s: no further try is made after this time.
    """

    tries: int = 8
    give_up_s: float = 25.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A router's typed answer to one try."""

    outcome: outcome_lib.Outcome
    reason: str = ""
    cost: float = 0.0
    retry_after_s: float | None = None
    status: int = HTTP_OK


@dataclasses.dataclass(frozen=True, slots=True)
class Break:
    """A try that ended without a typed answer.

    Attributes:
        was_sent: whether the request may have reached the router.
    """

    instance: str
    was_sent: bool
    error: str
    at: float


@dataclasses.dataclass(slots=True)
class Result:
    """How a request ended for its caller, after all tries."""

    spec: request_specs.RequestSpec
    answer: Answer
    breaks: list[Break]
    damages: list[str]
    tries: int
    started_at: float
    ended_at: float


class Caller:
    """One caller with its connections and addresses."""

    def __init__(
        self,
        clock: clock_lib.Clock,
        first: list[addresses.Address],
        settings: Settings,
    ):
        self.clock = clock
        self.settings = settings
        self.http = httpx.AsyncClient(timeout=TIMEOUT, trust_env=False)
        self.addresses = addresses.Addresses(self.http, clock, first)

    async def close(self) -> None:
        """Closes the connections."""
        await self.http.aclose()

    async def run(self, spec: request_specs.RequestSpec) -> Result:
        """Sends the request, again where right, until its outcome stands."""
        started_at = self.clock.monotonic()
        give_up_at = started_at + self.settings.give_up_s
        received = checks.Received(spec)
        breaks: list[Break] = []
        answer = None
        tries = 0
        while tries < self.settings.tries:
            tries += 1
            end = await self._try(spec, received, breaks)
            if isinstance(end, Answer):
                answer = end
                if not is_retry_right(spec, answer):
                    break
            else:
                breaks.append(end)
            pause_s = MIN_PAUSE_S
            if isinstance(end, Answer):
                pause_s = end.retry_after_s or MIN_PAUSE_S
            is_late = self.clock.monotonic() + pause_s >= give_up_at
            if is_late or tries == self.settings.tries:
                break
            await asyncio.sleep(pause_s)
        return Result(
            spec=spec,
            answer=conclude(answer, breaks),
            breaks=breaks,
            damages=received.damages,
            tries=tries,
            started_at=started_at,
            ended_at=self.clock.monotonic(),
        )

    async def _try(
        self,
        spec: request_specs.RequestSpec,
        received: checks.Received,
        breaks: list[Break],
    ) -> Answer | Break:
        address = await self.addresses.pick()
        try:
            if not spec.is_streamed:
                answer = await self._ask_whole(address, spec, received)
            else:
                answer = await self._ask_streamed(
                    address, spec, received, bool(breaks)
                )
        except httpx.HTTPError as error:
            self.addresses.put_last(address)
            return Break(
                instance=address.instance,
                was_sent=not isinstance(error, UNSENT_ERRORS),
                error=repr(error),
                at=self.clock.monotonic(),
            )
        if answer.outcome is not outcome_lib.Outcome.COMPLETED:
            self.addresses.put_last(address)
        return answer

    async def _ask_streamed(
        self,
        address: addresses.Address,
        spec: request_specs.RequestSpec,
        received: checks.Received,
        was_broken: bool,
    ) -> Answer:
        if was_broken and received.data:
            answer = await self._attach(address, spec, received)
            if answer:
                return answer
        return await self._ask_stream(address, spec, received)

    async def _ask_whole(
        self,
        address: addresses.Address,
        spec: request_specs.RequestSpec,
        received: checks.Received,
    ) -> Answer:
        url = address.url + REQUESTS_PATH
        response = await self.http.post(url, json=spec.body)
        body = response.json()
        if response.status_code != HTTP_OK:
            return parse_problem(body, response)
        received.take_whole(body)
        return Answer(outcome_lib.Outcome(body["outcome"]), cost=body["cost"])

    async def _ask_stream(
        self,
        address: addresses.Address,
        spec: request_specs.RequestSpec,
        received: checks.Received,
    ) -> Answer:
        url = address.url + REQUESTS_PATH
        async with self.http.stream("POST", url, json=spec.body) as response:
            return await self._read_stream(response, received, 0)

    async def _attach(
        self,
        address: addresses.Address,
        spec: request_specs.RequestSpec,
        received: checks.Received,
    ) -> Answer | None:
        """Attaches again; returns None if the answer is not kept."""
        offset = len(received.data)
        url = f"{address.url}{REQUESTS_PATH}/{spec.request_id}"
        query = {"workspace": spec.workspace, "offset": offset}
        async with self.http.stream("GET", url, params=query) as response:
            if response.status_code != HTTP_OK:
                return None
            return await self._read_stream(response, received, offset)

    async def _read_stream(
        self,
        response: httpx.Response,
        received: checks.Received,
        offset: int,
    ) -> Answer:
        if response.status_code != HTTP_OK:
            await response.aread()
            return parse_problem(response.json(), response)
        async for kind, body in read_events(response):
            if kind == "chunk":
                offset = received.take_chunk(offset, body)
            elif kind == "end":
                received.take_end(body)
                outcome = outcome_lib.Outcome(body["outcome"])
                return Answer(outcome, cost=body["cost"])
            elif kind == "problem":
                return parse_problem(body, response)
        raise httpx.RemoteProtocolError("The stream has no end mark.")


async def read_events(
    response: httpx.Response,
) -> AsyncIterator[tuple[str, dict[str, Any]]]:
    """Yields the kind and the JSON body of each server-sent event."""
    kind, data = "message", []
    async for line in response.aiter_lines():
        field, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if field == "event":
            kind = value
        elif field == "data":
            data.append(value)
        elif not line and data:
            yield kind, json.loads("\n".join(data))
            kind, data = "message", []


def parse_problem(body: dict[str, Any], response: httpx.Response) -> Answer:
    """Returns the typed answer of a problem body (RFC 9457)."""
    header = response.headers.get("retry-after")
    return Answer(
        outcome=outcome_lib.Outcome(body["outcome"]),
        reason=str(body.get("reason") or ""),
        retry_after_s=body.get("retry_after_s") or (header and float(header)),
        status=int(body.get("status", response.status_code)),
    )


def is_retry_right(spec: request_specs.RequestSpec, answer: Answer) -> bool:
    """Tells whether the request may and should be sent again."""
    if answer.outcome is outcome_lib.Outcome.COMPLETED:
        return False
    if answer.outcome is outcome_lib.Outcome.REFUSED_NOT_RUN:
        return answer.retry_after_s is not None
    return spec.is_idempotent


def conclude(answer: Answer | None, breaks: list[Break]) -> Answer:
    """Returns what the caller may believe after its last try."""
    unknown = outcome_lib.Outcome.OUTCOME_UNKNOWN
    refused = outcome_lib.Outcome.REFUSED_NOT_RUN
    was_sent = any(each.was_sent for each in breaks)
    if answer is None:
        return Answer(unknown if was_sent else refused, "no_router_answered")
    if answer.outcome is refused and was_sent:
        return Answer(unknown, f"broken_then_{answer.reason}")
    return answer
