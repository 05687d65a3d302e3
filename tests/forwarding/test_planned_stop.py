"""A router that is stopped by SIGTERM while callers go on to send.

Pattern: one router of a fleet is stopped, in calm. Its callers know its address
for some seconds more and hold open connections to it, over which requests of
different lengths come throughout its grace period.
"""

import asyncio
import dataclasses
import math
import re
import signal
import time

import httpx

from tests.forwarding import gateway_fleet
from tests.forwarding import platform_world
from tests.forwarding import test_processes

GRACE_S = 8.0
LAST_SIXTH_S = GRACE_S * 5 / 6
"""Time after SIGTERM from which an answer may be cut, in seconds, if its
request was sent early enough."""
EARLY_S = 3.0
"""Requests sent up to this many seconds after SIGTERM count as early."""
SEND_INTERVAL_S = 0.05
SENT_UNTIL_S = 3.4
WORK_S = (0.02, 1.5, 3.75, 4.5, 6.0)
KINDS = ("book", "look", "chat")
DEADLINE_MS = 15_000
NOT_RUN_STATUS = 503
MAY_HAVE_RUN_STATUS = 504
AT_ONCE_S = 0.1
"""A request that is refused at once has its answer after this time."""
_DEADLINE_MS = re.compile(rb"request-deadline: (\d+)", re.IGNORECASE)


@dataclasses.dataclass(slots=True)
class Call:
    """A request and what its caller received.

    Attributes:
        request_id: ID of the request.
        kind: the first part of its path.
        work_s: how long its target works on it, in seconds.
        sent_after_s: when it was sent, in seconds after SIGTERM.
        status: status of the response; 0 if none came.
        is_complete: whether the whole response came.
        ended_after_s: when it ended, in seconds after SIGTERM.
        headers: headers of the response.
    """

    request_id: str
    kind: str
    work_s: float
    sent_after_s: float
    status: int = 0
    is_complete: bool = False
    ended_after_s: float = 0.0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def may_be_cut(self) -> bool:
        """Whether its answer may be cut at the end of the grace period."""
        return (
            self.sent_after_s <= EARLY_S
            and self.ended_after_s >= LAST_SIXTH_S
            and self.sent_after_s + self.work_s >= LAST_SIXTH_S
        )


async def send_call(client, url, call, stopped_at):
    """Sends a request over the open connection of a client."""
    delay_s = stopped_at + call.sent_after_s - time.monotonic()
    await asyncio.sleep(max(delay_s, 0.0))
    call.sent_after_s = time.monotonic() - stopped_at
    headers = {
        "host": platform_world.HOST,
        "api-key": platform_world.API_KEY,
        "request-id": call.request_id,
        "request-deadline": str(DEADLINE_MS),
    }
    path = f"/{call.kind}/for-{call.work_s}"
    try:
        async with client.stream("POST", url + path, headers=headers) as found:
            call.status = found.status_code
            call.headers = dict(found.headers)
            async for _ in found.aiter_raw():
                pass
            call.is_complete = True
    except httpx.HTTPError:
        call.is_complete = False
    call.ended_after_s = time.monotonic() - stopped_at


def make_calls():
    """Returns calls of all kinds and lengths, throughout the grace period."""
    calls = []
    for number in range(round(SENT_UNTIL_S / SEND_INTERVAL_S)):
        kind = KINDS[number % len(KINDS)]
        work_s = WORK_S[number % len(WORK_S)]
        at_s = number * SEND_INTERVAL_S
        calls.append(Call(f"late-{number}", kind, work_s, at_s))
    return calls


def stop_under_load(tmp_path, calls, paused_s=None):
    """Stops one of two routers while callers send over open connections.

    Args:
        tmp_path: folder of the processes' files.
        calls: what is sent.
        paused_s: from when to when the router's process is paused, in seconds
            after SIGTERM; None if it isn't.

    Returns:
        How often each call ran, and the exit status of the router.
    """

    async def pause(process, stopped_at):
        for number, at_s in zip(
            (signal.SIGSTOP, signal.SIGCONT), paused_s or (), strict=False
        ):
            await asyncio.sleep(stopped_at + at_s - time.monotonic())
            process.send_signal(number)

    async def scenario(world):
        url = f"http://{world.routers['router-1']['front']}"
        clients = [
            httpx.AsyncClient(trust_env=False, timeout=20.0) for _ in calls
        ]
        try:
            for index, client in enumerate(clients):
                response = await client.post(
                    f"{url}/look/1",
                    headers={
                        "host": platform_world.HOST,
                        "api-key": platform_world.API_KEY,
                        "request-id": f"first-{index}",
                    },
                )
                assert response.status_code == 200
            process = world.processes["router-1"]
            process.send_signal(signal.SIGTERM)
            stopped_at = time.monotonic()
            await asyncio.gather(
                pause(process, stopped_at),
                *(
                    send_call(client, url, call, stopped_at)
                    for client, call in zip(clients, calls, strict=True)
                ),
            )
            status = await asyncio.to_thread(process.wait, GRACE_S)
            return await world.count_runs(), status
        finally:
            for client in clients:
                await client.aclose()

    return test_processes.run_scenario(tmp_path, scenario, targets=4)


def check_calls(calls, runs):
    """Checks that requests that ran are answered and that refused ones didn't.

    Args:
        calls: the calls.
        runs: how often each ran.

    Returns:
        The calls that ran.
    """
    ran = [call for call in calls if runs.get(call.request_id)]
    cut = [call for call in ran if not call.is_complete]
    assert not [call for call in cut if not call.may_be_cut]
    # A request whose response has not begun can always be answered.
    assert not [call for call in cut if not call.status]
    # The web server's own answer tells nothing, not even whose it is.
    assert not [call for call in calls if call.status == 500]
    refused = [call for call in calls if call.status == NOT_RUN_STATUS]
    assert not [call for call in refused if runs.get(call.request_id)]
    assert all(call.headers["connection"] == "close" for call in refused)
    bookings = [call for call in ran if call.kind == "book"]
    assert all(runs[call.request_id] == 1 for call in bookings)
    return ran


# Guards against LOST: a planned stop cuts requests that were passed on late in
# the grace period, among them some that must not be repeated.
def test_requests_passed_on_in_a_planned_stop_are_answered(tmp_path):
    calls = make_calls()
    runs, status = stop_under_load(tmp_path, calls)
    ran = check_calls(calls, runs)
    assert {call.kind for call in ran} == set(KINDS)
    assert status == 0


# Guards against LOST: a router that reads late takes requests that were sent
# when none may be begun any more, and cuts them at the end.
def test_router_that_reads_late_begins_no_requests_late_in_its_stop(tmp_path):
    calls = [
        Call(f"paused-{number}", KINDS[number % 3], 6.0, 3.05 + number / 100)
        for number in range(12)
    ]
    runs, status = stop_under_load(tmp_path, calls, paused_s=(2.6, 3.4))
    assert not check_calls(calls, runs)
    assert status == 0


def run_stop(scenario, **settings):
    """Runs a fleet of two routers; returns it and what a scenario recorded.

    Args:
        scenario: called with the fleet and a list for results.
        **settings: see `gateway_fleet.Fleet`.
    """
    results = []

    async def run(fleet):
        await scenario(fleet, results)

    fleet = gateway_fleet.Fleet(routers=2, targets=2, **settings)
    fleet.run(run)
    return fleet, results


async def send_late(fleet, at_s, results, **request):
    """Sends a request to router r0 some seconds after it began to leave."""
    await asyncio.sleep(at_s)
    result = gateway_fleet.Result("r0", 0.0)
    results.append(result)
    await fleet.send_soon("r0", result=result, **request)


def find_arrivals(fleet, result):
    """Returns the arrivals of a request at targets."""
    header = f"request-id: {result.request_id}\r\n".encode()
    return [
        arrival
        for target in fleet.targets.values()
        for arrival in target.arrivals
        if header in arrival.head.lower() + b"\r\n"
    ]


# Guards against LOST: a sleep that returns late lets a late router take
# requests for longer, and what it takes then is cut at the end.
def test_requests_read_after_a_stall_are_refused_if_it_is_too_late():
    async def scenario(fleet, results):
        for target in fleet.targets.values():
            target.stream_length = 120
            target.work_s = 5.0
        loop = asyncio.get_running_loop()

        def stall():
            # The loop reads its sockets before it runs the timers due.
            fleet.clock.advance(0.6)
            for path in ("/chat/1", "/book/1", "/look/1"):
                result = gateway_fleet.Result("r0", 0.0)
                results.append(result)
                fleet.send_soon(
                    "r0", path=path, deadline_ms=DEADLINE_MS, result=result
                )

        loop.call_later(2.7, stall)
        await fleet.leave("r0")

    fleet, results = run_stop(scenario)
    assert len(results) == 3
    for result in results:
        assert result.status == NOT_RUN_STATUS
        assert result.is_complete
        assert result.ended_at - result.sent_at < AT_ONCE_S
        assert not find_arrivals(fleet, result)


# Guards against LOST: requests that take longer than what is left of the grace
# period are begun, and waited for in vain.
def test_requests_that_take_longer_than_is_left_are_refused_at_once():
    async def scenario(fleet, results):
        for target in fleet.targets.values():
            target.work_s = 3.0
        before = [
            fleet.send_soon("r0", path=path, deadline_ms=DEADLINE_MS)
            for path in ("/book/1", "/look/1")
            for _ in range(4)
        ]
        await asyncio.gather(*before)
        calls = (
            ("/book/1", 0.0, DEADLINE_MS),  # Too long to be sure.
            ("/look/1", 0.5, DEADLINE_MS),  # May be repeated, so it is tried.
            ("/look/1", 2.6, DEADLINE_MS),
            ("/book/1", 2.6, 3_500),  # Ends in time by its deadline.
        )
        await asyncio.gather(
            fleet.leave("r0"),
            *(
                send_late(
                    fleet, at_s, results, path=path, deadline_ms=deadline_ms
                )
                for path, at_s, deadline_ms in calls
            ),
        )

    fleet, results = run_stop(scenario)
    found = {result.request_id: result for result in results}
    assert len(found) == 4
    by_time = sorted(results, key=lambda result: result.sent_at)
    assert by_time[0].status == NOT_RUN_STATUS
    assert by_time[1].status == 200
    late = sorted(result.status for result in by_time[2:])
    assert late == [200, NOT_RUN_STATUS]
    for result in results:
        assert result.is_complete
        if result.status == NOT_RUN_STATUS:
            assert result.ended_at - result.sent_at < AT_ONCE_S
            assert result.retry_after_s < 1.0
            assert not find_arrivals(fleet, result)


# Guards against LOST: what runs at the end of the grace period is cancelled,
# so that callers get no answer of the router, or one that tells nothing.
def test_requests_that_run_at_the_end_of_a_stop_are_answered():
    async def scenario(fleet, results):
        for target in fleet.targets.values():
            target.work_s = 30.0
        calls = (("/book/1", -0.5), ("/look/1", -0.5), ("/look/1", 1.0))
        begun = [
            asyncio.ensure_future(
                send_late(
                    fleet, at_s + 0.5, results, path=path, deadline_ms=20_000
                )
            )
            for path, at_s in calls
        ]
        await asyncio.sleep(0.5)
        results.append(asyncio.get_running_loop().time())
        await fleet.leave("r0")
        await asyncio.gather(*begun)

    fleet, results = run_stop(scenario)
    (stopped_at,) = [each for each in results if isinstance(each, float)]
    results.remove(stopped_at)
    assert len(results) == 3
    for result in results:
        assert result.status == MAY_HAVE_RUN_STATUS
        assert result.is_complete
        assert LAST_SIXTH_S <= result.ended_at - stopped_at < GRACE_S
        assert len(find_arrivals(fleet, result)) == 1
    # The target is told to stop when the router does.
    (arrival,) = find_arrivals(fleet, max(results, key=lambda r: r.sent_at))
    left_s = int(_DEADLINE_MS.search(arrival.head)[1]) / 1000
    assert arrival.at + left_s < stopped_at + GRACE_S


# Guards against LOST: a request that waits for a target is handed over so late
# that it can't end, though it must not be repeated.
def test_request_that_waited_is_not_passed_on_when_it_is_too_late():
    async def scenario(fleet, results):
        for target in fleet.targets.values():
            target.work_s = 3.0
        loop = asyncio.get_running_loop()
        gateway = fleet.gateways["r0"]
        connect = gateway.connections.connect

        async def connect_late(host, port, clock):
            # Stands for any wait between the decision and the first byte.
            await asyncio.sleep(max(leaves_at + 6.0 - loop.time(), 0.0))
            return await connect(host, port, clock)

        leaves_at = loop.time()
        gateway.connections.connect = connect_late
        await asyncio.gather(
            fleet.leave("r0"),
            send_late(
                fleet, 1.0, results, path="/book/1", deadline_ms=DEADLINE_MS
            ),
        )

    fleet, (result,) = run_stop(scenario)
    assert result.status == NOT_RUN_STATUS
    assert result.is_complete
    assert not find_arrivals(fleet, result)


# Guards against LOST: a stream is cut within the time for which it is waited,
# or ends after the process would have been killed.
def test_stream_that_can_not_end_breaks_off_visibly():
    async def scenario(fleet, results):
        for target in fleet.targets.values():
            target.stream_length = 400
        begun = asyncio.ensure_future(
            send_late(
                fleet, 0.0, results, path="/chat/1", deadline_ms=DEADLINE_MS
            )
        )
        await asyncio.sleep(0.5)
        results.append(asyncio.get_running_loop().time())
        await fleet.leave("r0")
        await begun

    _, (result, stopped_at) = run_stop(scenario)
    assert result.status == 200
    assert not result.is_complete
    assert result.ended_at < math.inf
    assert LAST_SIXTH_S <= result.ended_at - stopped_at < GRACE_S
