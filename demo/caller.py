"""A caller that retries requests only where that is safe.

Retries keep the request ID, so that the fleet recognises them, and may go to
another router. An attempt that broke off without an answer is always retried.
A refused request is retried if the router names a time after which to retry. A
request that failed or whose outcome is unknown is retried only if it is
idempotent. A broken stream is resumed at its offset if a router kept it.
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
DEFAULT_RETRY_PAUSE_S = 0.05
"""Pause before a retry if the router names no time."""
HTTP_OK = 200
TIMEOUT = httpx.Timeout(READ_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
UNSENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
"""Errors after which it is certain that no byte was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a caller.

    Attributes:
        max_attempts: largest number of attempts for one request.
        retry_limit_s: seconds after the first attempt when retries end.
    """

    max_attempts: int = 8
    retry_limit_s: float = 25.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The outcome of one attempt, as stated by a router.

    Attributes:
        outcome: how the request ended.
        reason: reason of a refusal or failure; empty if there is none.
        cost: cost of the request: tokens at model engines, milliseconds of
            busy time at plain services.
        retry_after_s: seconds after which to retry; None if the router names
            no time.
        status: HTTP status.
    """

    outcome: outcome_lib.Outcome
    reason: str = ""
    cost: float = 0.0
    retry_after_s: float | None = None
    status: int = HTTP_OK


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenAttempt:
    """An attempt that ended without an outcome from a router.

    Attributes:
        instance: name of the router.
        was_sent: whether the request may have reached the router.
        error: representation of the exception.
        at: when the attempt ended, in monotonic seconds.
    """

    instance: str
    was_sent: bool
    error: str
    at: float


@dataclasses.dataclass(slots=True)
class Result:
    """The result of a request after all attempts.

    Attributes:
        spec: the request.
        answer: the final answer, see `decide_final_answer`.
        broken_attempts: the attempts that ended without an answer.
        mismatches: differences from the expected answer.
        attempts: number of attempts.
        started_at: when the first attempt started, in monotonic seconds.
        ended_at: when the last attempt ended, in monotonic seconds.
    """

    spec: request_specs.RequestSpec
    answer: Answer
    broken_attempts: list[BrokenAttempt]
    mismatches: list[str]
    attempts: int
    started_at: float
    ended_at: float


class Caller:
    """A caller with its own connections and list of router addresses.

    Attributes:
        clock: clock for time limits.
        settings: limits of retries.
        http: HTTP client.
        addresses: the routers' addresses.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        initial_addresses: list[addresses.Address],
        settings: Settings,
    ):
        self.clock = clock
        self.settings = settings
        self.http = httpx.AsyncClient(timeout=TIMEOUT, trust_env=False)
        self.addresses = addresses.Addresses(
            self.http, clock, initial_addresses
        )

    async def close(self) -> None:
        """Closes the connections."""
        await self.http.aclose()

    async def run(self, spec: request_specs.RequestSpec) -> Result:
        """Sends a request and retries it where that is safe.

        Returns:
            The result after the last attempt. HTTP errors are recorded in
            `broken_attempts` and not raised.
        """
        started_at = self.clock.monotonic()
        retry_until = started_at + self.settings.retry_limit_s
        received = checks.ReceivedAnswer(spec)
        broken_attempts: list[BrokenAttempt] = []
        answer = None
        attempts = 0
        while attempts < self.settings.max_attempts:
            attempts += 1
            attempt_end = await self._attempt(spec, received, broken_attempts)
            if isinstance(attempt_end, Answer):
                answer = attempt_end
                if not should_retry(spec, answer):
                    break
            else:
                broken_attempts.append(attempt_end)
            pause_s = DEFAULT_RETRY_PAUSE_S
            if isinstance(attempt_end, Answer):
                pause_s = attempt_end.retry_after_s or DEFAULT_RETRY_PAUSE_S
            is_late = self.clock.monotonic() + pause_s >= retry_until
            if is_late or attempts == self.settings.max_attempts:
                break
            await asyncio.sleep(pause_s)
        return Result(
            spec=spec,
            answer=decide_final_answer(answer, broken_attempts),
            broken_attempts=broken_attempts,
            mismatches=received.mismatches,
            attempts=attempts,
            started_at=started_at,
            ended_at=self.clock.monotonic(),
        )

    async def _attempt(
        self,
        spec: request_specs.RequestSpec,
        received: checks.ReceivedAnswer,
        broken_attempts: list[BrokenAttempt],
    ) -> Answer | BrokenAttempt:
        """Makes one attempt.

        The router's address moves to the end of the list unless the attempt
        completed the request.
        """
        address = await self.addresses.pick()
        try:
            if not spec.is_streamed:
                answer = await self._request_whole(address, spec, received)
            else:
                answer = await self._request_or_resume(
                    address, spec, received, bool(broken_attempts)
                )
        except httpx.HTTPError as error:
            self.addresses.move_to_end(address)
            return BrokenAttempt(
                instance=address.instance,
                was_sent=not isinstance(error, UNSENT_ERRORS),
                error=repr(error),
                at=self.clock.monotonic(),
            )
        if answer.outcome is not outcome_lib.Outcome.COMPLETED:
            self.addresses.move_to_end(address)
        return answer

    async def _request_or_resume(
        self,
        address: addresses.Address,
        spec: request_specs.RequestSpec,
        received: checks.ReceivedAnswer,
        was_broken: bool,
    ) -> Answer:
        """Resumes the stream if a part of it was received, else requests it.

        Requests it again if the router did not keep it.
        """
        if was_broken and received.data:
            answer = await self._resume_stream(address, spec, received)
            if answer:
                return answer
        return await self._request_stream(address, spec, received)

    async def _request_whole(
        self,
        address: addresses.Address,
        spec: request_specs.RequestSpec,
        received: checks.ReceivedAnswer,
    ) -> Answer:
        url = address.url + REQUESTS_PATH
        response = await self.http.post(url, json=spec.body)
        body = response.json()
        if response.status_code != HTTP_OK:
            return parse_problem(body, response)
        received.set_whole_answer(body)
        return Answer(outcome_lib.Outcome(body["outcome"]), cost=body["cost"])

    async def _request_stream(
        self,
        address: addresses.Address,
        spec: request_specs.RequestSpec,
        received: checks.ReceivedAnswer,
    ) -> Answer:
        url = address.url + REQUESTS_PATH
        async with self.http.stream("POST", url, json=spec.body) as response:
            return await self._read_stream(response, received, 0)

    async def _resume_stream(
        self,
        address: addresses.Address,
        spec: request_specs.RequestSpec,
        received: checks.ReceivedAnswer,
    ) -> Answer | None:
        """Resumes a stream; returns None if the router didn't keep it."""
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
        received: checks.ReceivedAnswer,
        offset: int,
    ) -> Answer:
        """Reads a stream to its end.

        Raises:
            httpx.HTTPError: the stream broke off before its end event.
        """
        if response.status_code != HTTP_OK:
            await response.aread()
            return parse_problem(response.json(), response)
        async for kind, body in read_events(response):
            if kind == "chunk":
                offset = received.add_chunk(offset, body)
            elif kind == "end":
                received.check_end(body)
                outcome = outcome_lib.Outcome(body["outcome"])
                return Answer(outcome, cost=body["cost"])
            elif kind == "problem":
                return parse_problem(body, response)
        raise httpx.RemoteProtocolError(
            "The stream ended without an end event."
        )


async def read_events(
    response: httpx.Response,
) -> AsyncIterator[tuple[str, dict[str, Any]]]:
    """Yields the type and the JSON data of each server-sent event."""
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
    """Returns the answer that a problem body (RFC 9457) states."""
    header = response.headers.get("retry-after")
    return Answer(
        outcome=outcome_lib.Outcome(body["outcome"]),
        reason=str(body.get("reason") or ""),
        retry_after_s=body.get("retry_after_s") or (header and float(header)),
        status=int(body.get("status", response.status_code)),
    )


def should_retry(spec: request_specs.RequestSpec, answer: Answer) -> bool:
    """Tells whether a request with this answer may and should be retried."""
    if answer.outcome is outcome_lib.Outcome.COMPLETED:
        return False
    if answer.outcome is outcome_lib.Outcome.REFUSED_NOT_RUN:
        return answer.retry_after_s is not None
    return spec.is_idempotent


def decide_final_answer(
    answer: Answer | None, broken_attempts: list[BrokenAttempt]
) -> Answer:
    """Returns the outcome that is certain after the last attempt.

    An attempt that broke off after it was sent may have run. In that case a
    refusal of a later attempt, or no answer at all, means that the outcome is
    unknown.

    Args:
        answer: the last answer; None if no attempt got one.
        broken_attempts: the attempts that ended without an answer.
    """
    unknown = outcome_lib.Outcome.OUTCOME_UNKNOWN
    refused = outcome_lib.Outcome.REFUSED_NOT_RUN
    was_sent = any(each.was_sent for each in broken_attempts)
    if answer is None:
        return Answer(unknown if was_sent else refused, "no_router_answered")
    if answer.outcome is refused and was_sent:
        return Answer(unknown, f"broken_then_{answer.reason}")
    return answer
