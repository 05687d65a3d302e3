"""Where a router looks for the answer to a request that another holds."""

import asyncio
import types

import httpx
import pytest

from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import claim_events
from lentilbeam_core import claim_records
from lentilbeam_core import clock as clock_lib
from lentilbeam_core import events
from lentilbeam_core import ids
from lentilbeam_router import answer_feed
from lentilbeam_router import instance_list
from lentilbeam_router import lost_claims
from lentilbeam_router import requests
from lentilbeam_router import runs

HERE = "here"
ELSEWHERE = "elsewhere"
CLOCK = clock_lib.SystemClock()
DEADLINE_S = 60.0
POOL = catalogue_lib.Pool(
    ids.PoolId("bookings"), "demo", catalogue_lib.ServiceKind.PLAIN, ()
)


def resolve(winner: str) -> tuple[answer_feed.End, list[str]]:
    """Resolves a claim of an earlier process; returns end and URLs asked."""
    asked: list[str] = []

    def answer(request: httpx.Request) -> httpx.Response:
        asked.append(request.url.host)
        return httpx.Response(404)

    entries = {
        ids.InstanceId(name): instance_list.InstanceEntry(
            name, "east", events.ListedState.LIVE, f"http://{name}", name, 1
        )
        for name in (HERE, ELSEWHERE)
    }
    view = types.SimpleNamespace(
        listed_instances=entries,
        settings=types.SimpleNamespace(instance=HERE),
        node=types.SimpleNamespace(clock=CLOCK),
    )
    request = requests.CallerRequest(
        request_id=ids.RequestId("key"),
        workspace=ids.WorkspaceId("ashby"),
        pool=POOL,
        call="book",
        input={},
        cost_hint=None,
        deadline_s=DEADLINE_S,
        is_streamed=False,
    )
    claim = claim_records.ClaimId(ids.InstanceId(winner), ids.Incarnation(1), 1)
    lost = claim_events.ClaimLost(request.key, claim, False, None)

    async def run() -> answer_feed.End:
        feed = answer_feed.AnswerFeed(request.request_id)
        run = runs.Run(request, feed, CLOCK.monotonic() + DEADLINE_S)
        transport = httpx.MockTransport(answer)
        async with httpx.AsyncClient(transport=transport) as http:
            return await lost_claims.LostClaimResolver(view, http).resolve(
                run, lost
            )

    return asyncio.run(run()), asked


@pytest.mark.parametrize(
    ("winner", "expected"), [(HERE, []), (ELSEWHERE, [ELSEWHERE])]
)
def test_a_router_never_waits_for_its_own_answer(winner, expected):
    end, asked = resolve(winner)
    assert end.reason == "claimed_elsewhere"
    assert asked == expected
