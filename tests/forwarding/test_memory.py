"""Memory that a router buffers for requests and responses.

Pattern: callers send bodies of 4 MB to a router whose process is killed above
200 MB, and callers and targets read slowly.
"""

import asyncio
import types

import hypothesis
from hypothesis import strategies
import pytest

from lentilbeam_core import clock as clock_lib
from lentilbeam_core.forwarding import memory_budget
from lentilbeam_router.forwarding import connection as connection_lib
from tests.forwarding import fake_target
from tests.forwarding import test_forwarding
from tests.forwarding import test_stalled_router

MEMORY_BYTES = 200_000_000
LARGE_BODY = 4_194_304
SMALL_BODY = 2_000
ANSWER = fake_target.make_response(b"done")


def make_spent_budget():
    """Returns a budget with little left."""
    budget = memory_budget.MemoryBudget(MEMORY_BYTES)
    budget.add(budget.limit_bytes - 1_000_000)
    return budget


# Guards against a killed process: large bodies must not exceed the budget,
# however many arrive, and small ones must be served beside them.
@hypothesis.given(
    strategies.lists(strategies.integers(0, LARGE_BODY), max_size=200)
)
def test_reservations_stay_within_the_budget(bodies):
    budget = memory_budget.MemoryBudget(MEMORY_BYTES)
    for body in bodies:
        budget.try_reserve(memory_budget.estimate_request(body))
    assert budget.used_bytes <= budget.limit_bytes
    assert budget.limit_bytes < MEMORY_BYTES - memory_budget.RESERVED_BYTES


# Guards against FAIR: a budget that follows from an estimate refuses what the
# process has memory for, and a killed process if it takes more than estimated.
@pytest.mark.parametrize("resident", [45_000_000, 120_000_000, 180_000_000])
def test_budget_follows_what_the_process_takes(resident):
    budget = memory_budget.MemoryBudget(MEMORY_BYTES)
    budget.note_resident(resident)
    size = memory_budget.estimate_request(SMALL_BODY)
    held = 0
    while budget.try_reserve(size):
        held += size
    free = MEMORY_BYTES - resident
    assert free / 2 <= held <= free


# Guards against small requests that are refused for the sake of large ones.
def test_largest_requests_are_refused_first():
    budget = memory_budget.MemoryBudget(MEMORY_BYTES)
    large = memory_budget.estimate_request(LARGE_BODY)
    small = memory_budget.estimate_request(SMALL_BODY)
    taken = 0
    while budget.try_reserve(large):
        taken += 1
    assert taken >= 3
    assert all(budget.try_reserve(small) for _ in range(50))


# Guards against a router with little memory that refuses a body for ever, and
# against limits for deployments that name no memory.
@pytest.mark.parametrize("memory_bytes", [0, 64_000_000, 128_000_000])
def test_idle_router_serves_any_body(memory_bytes):
    budget = memory_budget.MemoryBudget(memory_bytes)
    large = memory_budget.estimate_request(LARGE_BODY)
    assert budget.try_reserve(large)
    assert budget.try_reserve(large) is (memory_bytes == 0)


# Guards against bodies that are read although the request will be refused, and
# against a refusal that is not true.
def test_request_beyond_the_budget_is_refused_and_not_sent():
    async def scenario(router, targets):
        router.gateway.memory = make_spent_budget()
        refused = await router.call(path="/look/1", body=b"x" * 900_000)
        served = await router.call(path="/look/1", body=b"x" * SMALL_BODY)
        return refused, served, targets[0].bodies, router.read_log()

    script = fake_target.make_script(ANSWER)
    refused, served, bodies, log = test_forwarding.run([script], scenario)
    assert (refused.status, served.status) == (503, 200)
    assert 0.2 <= float(refused.headers[b"retry-after"]) <= 0.7
    assert bodies == [b"x" * SMALL_BODY]
    assert b'"reason":"memory"' in log


# Guards against a caller that gets a reset instead of the refusal, since its
# body was not read when the connection was closed.
def test_caller_gets_the_refusal_while_it_sends_its_body():
    async def scenario(router, address, target):
        router.gateway.memory = make_spent_budget()
        reader, writer = await asyncio.open_connection(*address)
        head = test_stalled_router.encode_request("large", 5000)
        head = head.replace(
            b"Content-Length: 0", b"Content-Length: %d" % LARGE_BODY
        )
        writer.write(head)
        answer = await reader.readuntil(b"\r\n\r\n")
        used = router.gateway.memory.used_bytes
        writer.write(b"x" * LARGE_BODY)
        await writer.drain()
        rest = await reader.read()
        writer.close()
        return answer, rest, used, target

    answer, rest, used, target = test_stalled_router.run_in_timed_loop(scenario)
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert rest == b""
    assert used == make_spent_budget().used_bytes
    assert not test_stalled_router.find_received(target, "large")


# Guards against a budget that shrinks: what a request reserved is given back
# however it ends.
@pytest.mark.parametrize(
    ("script", "leave_after_s"),
    [
        (fake_target.make_script(ANSWER), None),
        (fake_target.make_script(ANSWER[:-2], then="reset"), None),
        (fake_target.make_script(ANSWER[:-2], then="hang"), 0.1),
        (
            fake_target.make_script(
                fake_target.make_response(b"x" * 200_000), then="hang"
            ),
            0.1,
        ),
    ],
)
def test_everything_is_given_back(script, leave_after_s):
    budget = memory_budget.MemoryBudget(MEMORY_BYTES)

    async def scenario(router, _):
        router.gateway.memory = router.pool.memory = budget
        await router.call(
            path="/book/1",
            body=b"x" * SMALL_BODY,
            leave_after_s=leave_after_s,
        )
        await asyncio.sleep(0.05)

    test_forwarding.run([script], scenario)
    assert budget.used_bytes == 0


# Guards against responses that pile up for slow callers while memory is scarce.
@pytest.mark.parametrize(
    ("used", "expected_bytes"), [(0, 65_536), (45_000_000, 8_192)]
)
def test_target_is_held_back_earlier_while_memory_is_scarce(
    used, expected_bytes
):
    budget = memory_budget.MemoryBudget(MEMORY_BYTES)
    budget.add(used)
    connection = connection_lib.TargetConnection(clock_lib.SystemClock())
    paused = []
    connection.transport = types.SimpleNamespace(
        pause_reading=lambda: paused.append(connection.inbox_bytes)
    )
    connection.memory = budget
    while not paused:
        connection.on_body(b"x" * 1024)
    assert paused == [expected_bytes]
    assert budget.used_bytes == used + expected_bytes
    connection.discard_inbox()
    assert budget.used_bytes == used
