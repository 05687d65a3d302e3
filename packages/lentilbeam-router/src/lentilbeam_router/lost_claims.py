"""What a caller is told when another process holds its key.

The request is never run again here. If the winner's router still has the
answer, it is passed on; else the outcome is what the log says of it.
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
RETRY_AFTER_S = 2.0
"""When to ask again what became of a request that may still run."""


class _Event(msgspec.Struct):
    request_id: str
    offset: int = 0
    text: str = ""
    length: int = 0
    sha256: str = ""
    cost: float = 0.0


class LostClaims:
    """Finds out what became of requests that others hold."""

    def __init__(self, fleet_view: fleet.Fleet, http: httpx.AsyncClient):
        self.fleet = fleet_view
        self.http = http

    async def resolve(
        self, run: runs.Run, lost: claim_events.ClaimLost
    ) -> answer_feed.End:
        """Returns the end of a request whose key another claim holds."""
        if not lost.is_local:
            whole = await self._fetch_in_time(run, lost)
            if whole is not None:
                return whole
        decided = endings.decide_lost_claim(lost.run_outcome)
        known = lost.run_outcome.value if lost.run_outcome else "not known"
        return problems.build_failure(
            decided,
            "claimed_elsewhere",
            f"instance {lost.winner.instance} holds the request; its outcome"
            f" there is {known}",
            run.request.name,
            None if lost.run_outcome else RETRY_AFTER_S,
        )

    async def _fetch_in_time(
        self, run: runs.Run, lost: claim_events.ClaimLost
    ) -> answer_feed.Whole | None:
        """Fetches until the request's deadline, and no longer."""
        left_s = run.deadline - self.fleet.node.clock.monotonic()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                return await self._fetch(run, lost)
        except TimeoutError:
            return None

    async def _fetch(
        self, run: runs.Run, lost: claim_events.ClaimLost
    ) -> answer_feed.Whole | None:
        """Returns the winner's whole answer, or None if it can't be had."""
        winner = lost.winner.instance
        row = self.fleet.rows.get(winner)
        if row is None or winner == self.fleet.settings.instance:
            # An earlier process of this instance won: the only answer kept
            # here is the one that waits for this method.
            return None
        url = f"{row.url}/v1/requests/{run.request.name}"
        params = {
            "workspace": run.request.workspace,
            "local": "true",
            "fingerprint": run.request.fingerprint,
        }
        timeout = httpx.Timeout(IDLE_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        assembler = answers.AnswerAssembler(run.request.name)
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
        return answer_feed.Whole(assembler.length, assembler.sha256, cost)


def _build_piece(event: httpx_sse.ServerSentEvent) -> answers.Piece | None:
    if event.event == "problem":
        return None
    body = msgspec.json.decode(event.data, type=_Event)
    if event.event == "end":
        return answers.EndMark(
            body.request_id, body.length, body.sha256, body.cost
        )
    return answers.Chunk(body.request_id, body.offset, body.text, body.cost)
