"""What a router turns away counts as asked for, whatever it is short of.

Pattern: a workspace whose callers all use one router, which has no memory left
or leaves them in its accept queue. Its shares must not look as if it had got
all that it asked for.
"""

import json

from tests.forwarding import fake_target
from tests.forwarding import makers
from tests.forwarding import test_accept_control
from tests.forwarding import test_forwarding
from tests.forwarding import test_memory

TOKENS = "500,900"
COST = 500 + 2 * 900
BODY = b"x" * 900_000


def run_without_memory(**headers):
    """Returns what was asked for after a refusal for memory, and the log."""

    async def scenario(router, targets):
        router.gateway.memory = test_memory.make_spent_budget()
        response = await router.call(body=BODY, token_count=TOKENS, **headers)
        assert response.status == 503
        now = router.dispatcher.clock.monotonic()
        uses = router.dispatcher.usage.export(makers.POOL, now)
        lines = router.read_log().splitlines()
        return uses, [json.loads(line) for line in lines]

    script = fake_target.make_script(fake_target.make_response(b"done"))
    return test_forwarding.run([script], scenario, engine=makers.ENGINE)


# Guards against FAIR: a router without memory refuses most requests of a
# workspace, and nobody knows that they were asked for.
def test_request_refused_for_memory_counts_as_asked_for():
    uses, _ = run_without_memory()
    assert [round(use.asked) for use in uses] == [COST]


# Guards against logs that can't tell whose requests a router has refused.
def test_refusal_for_memory_names_the_workspace_and_the_cost():
    _, lines = run_without_memory()
    (refused,) = [line for line in lines if line["event"] == "refused"]
    assert refused["reason"] == "memory"
    assert (refused["workspace"], refused["cost"]) == ("ashby", COST)


# Guards against a request that is not allowed and told to come back.
def test_denied_request_is_not_refused_for_memory():
    async def scenario(router, targets):
        router.gateway.memory = test_memory.make_spent_budget()
        return await router.call(body=BODY, api_key="unknown")

    script = fake_target.make_script()
    assert test_forwarding.run([script], scenario).status == 401


# Guards against FAIR: callers that leave the accept queue before their requests
# are read seem not to have asked.
def test_callers_that_leave_the_accept_queue_are_reported():
    left = []
    overload = test_accept_control.make_overload(100, takes_callers=False)
    test_accept_control.run_callers(
        overload, 5, leaving=3, note_left=lambda: left.append(True)
    )
    assert len(left) == 3
