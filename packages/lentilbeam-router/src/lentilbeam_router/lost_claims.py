"""Answers requests whose key is claimed by another request or process.

Such a request is not run here. The answer is copied from the router that
holds the claim if it still has it. Otherwise the caller is told the outcome
that the log records, or that the outcome is unknown.
"""

import asyncio

import httpx
import httpx_sse
import msgspec

from lentilbeam_core import answers
from lentilbeam_core import claim_events
from lentilbeam_core import endings
from lentilbeam_router import answer_feed
from lentilbeam_router import fleet
from lentilbeam_router import problems
from lentilbeam_router import runs

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 15.0
"""Time without data from a peer after which the exchange with it fails."""

RETRY_AFTER_S = 2.0
"""`retry_after_s` while the outcome is unknown.

The request may still be running.
"""


class _Event(msgspec.Struct):
    request_id: str
    offset: int = 0
    text: str = ""
    length: int = 0
    sha256: str = ""
    cost: float = 0.0


class LostClaimResolver:
    """Finds the outcome of requests whose key is claimed by others.

    Attributes:
        fleet: known instances, among them the holders of claims.
        http: HTTP client for calls to other routers.
    """

    def __init__(self, fleet_view: fleet.Fleet, http: httpx.AsyncClient):
        self.fleet = fleet_view
        self.http = http

    async def resolve(
        self, run: runs.Run, lost_claim: claim_events.ClaimLost
    ) -> answer_feed.End:
        """Returns the end of a request whose key another claim holds.

        Args:
            run: the request; a copied answer is appended to its feed.
            lost_claim: describes the claim that holds the key.
        """
        if not lost_claim.is_local:
            completed = await self._fetch_before_deadline(run, lost_claim)
            if completed is not None:
                return completed
        request_outcome = endings.decide_lost_claim(lost_claim.run_outcome)
        known_outcome = (
            lost_claim.run_outcome.value
            if lost_claim.run_outcome
            else "not known"
        )
        return problems.build_failure(
            request_outcome,
            "claimed_elsewhere",
            f"instance {lost_claim.winner.instance} has claimed the request;"
            f" its outcome there is {known_outcome}",
            run.request.request_id,
            None if lost_claim.run_outcome else RETRY_AFTER_S,
        )

    async def _fetch_before_deadline(
        self, run: runs.Run, lost_claim: claim_events.ClaimLost
    ) -> answer_feed.Completed | None:
        """Calls `_fetch`; returns None if the request's deadline passes."""
        remaining_s = run.deadline - self.fleet.node.clock.monotonic()
        try:
            async with asyncio.timeout(max(0.0, remaining_s)):
                return await self._fetch(run, lost_claim)
        except TimeoutError:
            return None

    async def _fetch(
        self, run: runs.Run, lost_claim: claim_events.ClaimLost
    ) -> answer_feed.Completed | None:
        """Copies the complete answer from the router that holds the claim.

        Returns:
            The end of the answer, or None if no complete answer was received.
        """
        winner = lost_claim.winner.instance
        entry = self.fleet.listed_instances.get(winner)
        if entry is None or winner == self.fleet.settings.instance:
            # The claim belongs to an earlier process of this instance. The
            # only answer stored here is that of `run`, which waits for this
            # method.
            return None
        url = f"{entry.url}/v1/requests/{run.request.request_id}"
        params = {
            "workspace": run.request.workspace,
            "local": "true",
            "fingerprint": run.request.fingerprint,
        }
        timeout = httpx.Timeout(IDLE_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        assembler = answers.AnswerAssembler(run.request.request_id)
        data = bytearray()
        cost = 0.0
        try:
            async with httpx_sse.aconnect_sse(
                self.http, "GET", url, params=params, timeout=timeout
            ) as source:
                source.response.raise_for_status()
                async for event in source.aiter_sse():
                    piece = _build_piece(event)
                    if piece is None:
                        return None
                    data += assembler.add_piece(piece)
                    cost = max(cost, piece.cost)
        except (httpx.HTTPError, httpx_sse.SSEError, msgspec.DecodeError):
            return None
        if not assembler.is_complete:
            return None
        run.feed.append(bytes(data))
        return answer_feed.Completed(assembler.length, assembler.sha256, cost)


def _build_piece(event: httpx_sse.ServerSentEvent) -> answers.Piece | None:
    if event.event == "problem":
        return None
    body = msgspec.json.decode(event.data, type=_Event)
    if event.event == "end":
        return answers.EndMark(
            body.request_id, body.length, body.sha256, body.cost
        )
    return answers.Chunk(body.request_id, body.offset, body.text, body.cost)
