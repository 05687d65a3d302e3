"""Lets callers attach to an answer kept at this router or at a peer."""

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
IDLE_TIMEOUT_S = 15.0
"""Time without data from a peer after which the exchange with it fails.

If it passes before the response headers arrive, the peer counts as having no
answer; if later, the response to the caller is cut off.
"""

BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
# UTF-8 continuation bytes have the form 0b10xxxxxx.
CONTINUATION_MASK = 0xC0
CONTINUATION = 0x80


@dataclasses.dataclass(frozen=True, slots=True)
class AttachRequest:
    """A call that attaches a caller, or a peer on its behalf, to an answer.

    Attributes:
        workspace: workspace of the request.
        request_id: the request id.
        offset: where to start in the answer, in bytes of UTF-8.
        fingerprint: fingerprint of the request that the answer must belong
            to; None to accept any. It is checked against an answer kept at
            this router, and not sent to peers.
    """

    workspace: str
    request_id: str
    offset: int
    fingerprint: str | None


class Attacher:
    """Finds answers at this router or at its peers.

    Attributes:
        store: answers kept at this router.
        fleet: known instances.
        http: HTTP client for calls to peers.
    """

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
        self, attach_request: AttachRequest, *, local_only: bool
    ) -> litestar.Response:
        """Returns the answer from the requested offset on, or a problem.

        Args:
            attach_request: the answer to attach to.
            local_only: whether to look at this router only. Peers set it, so
                that a call is not forwarded again.
        """
        entry = self.store.find(
            attach_request.workspace, attach_request.request_id
        )
        if entry is not None:
            return await self._attach_here(entry, attach_request)
        if not local_only:
            found = await self._find_at_peers(attach_request)
            if found is not None:
                return _forward_response(found)
        problem = problems.Problem(
            outcome=outcome.Outcome.OUTCOME_UNKNOWN,
            reason="no_such_answer",
            detail="no reachable router keeps an answer to this request",
            status=NOT_FOUND,
            request_id=attach_request.request_id,
        )
        return responses.build_problem(problem)

    async def _attach_here(
        self, entry: answer_store.Entry, attach_request: AttachRequest
    ) -> litestar.Response:
        if attach_request.fingerprint not in (None, entry.fingerprint):
            problem = problems.build_invalid_call(
                outcome.RefusalReason.KEY_IN_USE.value,
                CONFLICT,
                "the request_id was used for another request",
            )
            return responses.build_problem(problem)
        if not _is_character_boundary(entry.feed.data, attach_request.offset):
            finding = findings_lib.Finding(
                "/offset",
                "beyond the answer so far, or within a character",
            )
            problem = problems.build_invalid_call(
                "bad_offset", BAD_REQUEST, str(finding), (finding,)
            )
            return responses.build_problem(problem)
        return await responses.build_stream(entry.feed, attach_request.offset)

    async def _find_at_peers(
        self, attach_request: AttachRequest
    ) -> httpx.Response | None:
        """Asks all peers in parallel.

        Returns:
            The first response that is not 404, with its body unread, or None
            if there is no such response.
        """
        tasks = [
            asyncio.create_task(
                self._request_from_peer(peer.url, attach_request)
            )
            for peer in self.fleet.peers()
        ]
        try:
            for finished in asyncio.as_completed(tasks):
                response = await finished
                if response is not None:
                    return response
        finally:
            for task in tasks:
                task.cancel()
        return None

    async def _request_from_peer(
        self, url: str, attach_request: AttachRequest
    ) -> httpx.Response | None:
        request = self.http.build_request(
            "GET",
            f"{url}/v1/requests/{attach_request.request_id}",
            params={
                "workspace": attach_request.workspace,
                "offset": attach_request.offset,
                "local": True,
            },
            timeout=httpx.Timeout(IDLE_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
        )
        try:
            response = await self.http.send(request, stream=True)
        except httpx.HTTPError:
            return None
        if response.status_code == NOT_FOUND:
            await response.aclose()
            return None
        return response


def _is_character_boundary(data: bytearray, offset: int) -> bool:
    if offset == len(data):
        return True
    return (
        offset < len(data) and data[offset] & CONTINUATION_MASK != CONTINUATION
    )


def _forward_response(response: httpx.Response) -> litestar.Response:
    async def stream_bytes() -> AsyncIterator[bytes]:
        try:
            async for part in response.aiter_raw():
                yield part
        finally:
            await response.aclose()

    return litestar_response.Stream(
        stream_bytes(),
        status_code=response.status_code,
        media_type=response.headers.get("Content-Type", responses.EVENT_STREAM),
    )
