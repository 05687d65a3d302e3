"""Tests which instance is asked for the answer to a claimed request.

If an earlier process of the router's own instance won the claim, the router
must not ask itself: the only answer stored there is the one that waits for
this lookup.
"""

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

OWN_NAME = "here"
OTHER_NAME = "elsewhere"
CLOCK = clock_lib.SystemClock()
DEADLINE_S = 60.0
POOL = catalogue_lib.Pool(
    ids.PoolId("bookings"), "demo", catalogue_lib.ServiceKind.PLAIN, ()
)


def resolve(winner: str) -> tuple[answer_feed.End, list[str]]:
    """Resolves a lost claim whose result this process doesn't have.

    Args:
        winner: name of the instance that won the claim.

    Returns:
        The end that the caller gets, and the hosts that were asked for the
        answer. Each host responds with status 404.
    """
    requested_hosts: list[str] = []

    def respond(request: httpx.Request) -> httpx.Response:
        requested_hosts.append(request.url.host)
        return httpx.Response(404)

    instances = {
        ids.InstanceId(name): instance_list.InstanceEntry(
            name, "east", events.ListedState.LIVE, f"http://{name}", name, 1
        )
        for name in (OWN_NAME, OTHER_NAME)
    }
    view = types.SimpleNamespace(
        listed_instances=instances,
        settings=types.SimpleNamespace(instance=OWN_NAME),
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
    lost_claim = claim_events.ClaimLost(request.key, claim, False, None)

    async def run() -> answer_feed.End:
        feed = answer_feed.AnswerFeed(request.request_id)
        run = runs.Run(request, feed, CLOCK.monotonic() + DEADLINE_S)
        transport = httpx.MockTransport(respond)
        async with httpx.AsyncClient(transport=transport) as http:
            return await lost_claims.LostClaimResolver(view, http).resolve(
                run, lost_claim
            )

    return asyncio.run(run()), requested_hosts


@pytest.mark.parametrize(
    ("winner", "expected"), [(OWN_NAME, []), (OTHER_NAME, [OTHER_NAME])]
)
def test_a_router_asks_only_other_instances_for_an_answer(winner, expected):
    end, requested_hosts = resolve(winner)
    assert end.reason == "claimed_elsewhere"
    assert requested_hosts == expected
