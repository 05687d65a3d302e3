"""Attaching again to a request's answer, at whichever router holds it."""

import asyncio
from collections.abc import AsyncIterator
import dataclasses

import httpx
import litestar
from litestar import response as litestar_response

from lentilbeam_core import findings as findings_lib
from lentilbeam_core import outcome
from lentilbeam_router import answer_store
from lentilbeam_router import fleet
from lentilbeam_router import problems
from lentilbeam_router import responses

CONNECT_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 15.0
"""A peer that is silent for longer is taken for cut off."""

BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
CONTINUATION_MASK = 0xC0
CONTINUATION = 0x80


@dataclasses.dataclass(frozen=True, slots=True)
class Wanted:
    """What a caller, or a peer for a caller, wants to attach to.

    Attributes:
        offset: where to start in the answer, in bytes of UTF-8.
        fingerprint: of the request that the answer must belong to, or None.
    """

    workspace: str
    name: str
    offset: int
    fingerprint: str | None


class Attacher:
    """Finds answers here or at peers."""

    def __init__(
        self,
        store: answer_store.AnswerStore,
        fleet_view: fleet.Fleet,
        http: httpx.AsyncClient,
    ):
        self.store = store
        self.fleet = fleet_view
        self.http = http

    async def attach(
        self, wanted: Wanted, *, is_local: bool
    ) -> litestar.Response:
        """Returns the answer from the wanted offset on, or a problem.

        `is_local` keeps a request that a peer forwarded from going round.
        """
        entry = self.store.find(wanted.workspace, wanted.name)
        if entry is not None:
            return await self._attach_here(entry, wanted)
        if not is_local:
            found = await self._find_at_peers(wanted)
            if found is not None:
                return _pass_on(found)
        problem = problems.Problem(
            outcome=outcome.Outcome.OUTCOME_UNKNOWN,
            reason="no_such_answer",
            detail="no reachable router keeps an answer to this request",
            status=NOT_FOUND,
            request_id=wanted.name,
        )
        return responses.build_problem(problem)

    async def _attach_here(
        self, entry: answer_store.Entry, wanted: Wanted
    ) -> litestar.Response:
        if wanted.fingerprint not in (None, entry.fingerprint):
            problem = problems.build_bad_call(
                outcome.RefusalReason.KEY_IN_USE.value,
                CONFLICT,
                "the request_id was used for another request",
            )
            return responses.build_problem(problem)
        if not _is_boundary(entry.feed.data, wanted.offset):
            finding = findings_lib.Finding(
                "/offset", "beyond the answer so far, or within a character"
            )
            problem = problems.build_bad_call(
                "bad_offset", BAD_REQUEST, str(finding), (finding,)
            )
            return responses.build_problem(problem)
        return await responses.build_stream(entry.feed, wanted.offset)

    async def _find_at_peers(self, wanted: Wanted) -> httpx.Response | None:
        """Asks all peers at once; returns one open answer, if any has it."""
        tasks = [
            asyncio.create_task(self._ask(row.url, wanted))
            for row in self.fleet.peers()
        ]
        try:
            for answering in asyncio.as_completed(tasks):
                answer = await answering
                if answer is not None:
                    return answer
        finally:
            for task in tasks:
                task.cancel()
        return None

    async def _ask(self, url: str, wanted: Wanted) -> httpx.Response | None:
        request = self.http.build_request(
            "GET",
            f"{url}/v1/requests/{wanted.name}",
            params={
                "workspace": wanted.workspace,
                "offset": wanted.offset,
                "local": True,
            },
            timeout=httpx.Timeout(ANSWER_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
        )
        try:
            answer = await self.http.send(request, stream=True)
        except httpx.HTTPError:
            return None
        if answer.status_code == NOT_FOUND:
            await answer.aclose()
            return None
        return answer


def _is_boundary(data: bytearray, offset: int) -> bool:
    if offset == len(data):
        return True
    return (
        offset < len(data) and data[offset] & CONTINUATION_MASK != CONTINUATION
    )


def _pass_on(answer: httpx.Response) -> litestar.Response:
    async def stream_bytes() -> AsyncIterator[bytes]:
        try:
            async for part in answer.aiter_raw():
                yield part
        finally:
            await answer.aclose()

    return litestar_response.Stream(
        stream_bytes(),
        status_code=answer.status_code,
        media_type=answer.headers.get("Content-Type", responses.EVENT_STREAM),
    )
