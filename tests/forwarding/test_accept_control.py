"""Connections that a late router accepts, refuses early and keeps waiting.

Pattern: as in `test_flood`, with connections on loopback.
"""

import asyncio
import contextlib
import re
import socket
import time
import types

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import poll_times
from lentilbeam_core.forwarding import decisions
from lentilbeam_platform import call_wire
from lentilbeam_router import addresses
from lentilbeam_router.forwarding import accept_control
from lentilbeam_router.forwarding import early_refusal
from lentilbeam_router.forwarding import listening
from lentilbeam_router.forwarding import refusal_log
from lentilbeam_router.forwarding import turns
from tests.forwarding import in_process_router
from tests.forwarding import makers

WAITED_S = 0.2
"""Time, in seconds, for which requests wait in the accept queue."""


def make_overload(acceptable, takes_callers):
    """Returns overload decisions that allow a number of connections."""
    accepted = []
    return types.SimpleNamespace(
        count_acceptable=lambda waiting, waited_s: acceptable - len(accepted),
        find_listen_backlog=lambda usual: usual if takes_callers else 8,
        count_openable=lambda waiting: acceptable,
        note_accepted=lambda: accepted.append(True),
        note_unaccepted=lambda: None,
        note_unread=lambda age_s: None,
        note_refused=lambda took_s, is_whole: None,
        takes_callers=takes_callers,
    )


def read_early(connection, arrived_at, is_full):
    """Reads a request that is not refused."""
    del arrived_at, is_full
    return connection.recv(early_refusal.READ_BYTES)


def block(seconds):
    """Makes the event loop stand still."""
    time.sleep(seconds)


@contextlib.asynccontextmanager
async def listen(overload, app, note_left=lambda: None):
    """Serves callers with accept control; yields control and address."""
    clock = clock_lib.SystemClock()
    times = poll_times.PollTimes(clock.monotonic())
    control = accept_control.AcceptControl(
        overload,
        turns.TurnQueue(times, clock),
        clock,
        None,
        types.SimpleNamespace(read=read_early),
    )
    control.note_left = note_left
    sock = listening.open_socket(addresses.Address("127.0.0.1", 0))
    server = listening.build_server(app, times, control)
    serving = asyncio.create_task(server.serve(sockets=[sock]))
    await asyncio.sleep(0.05)
    try:
        yield control, sock.getsockname()
    finally:
        server.should_exit = True
        await serving


def run_callers(overload, callers, leaving=0, note_left=lambda: None):
    """Returns the control, the scopes, and when the requests were sent.

    Args:
        overload: the decisions.
        callers: number of callers that send a request.
        leaving: how many of these leave before the router reads anything.
        note_left: called for each that the router finds to have left.
    """
    scopes = []

    async def app(scope, receive, send):
        scopes.append(scope)
        await send({"type": "http.response.start", "status": 204})
        await send({"type": "http.response.body"})

    async def scenario():
        async with listen(overload, app, note_left) as (control, address):
            sockets = [
                socket.create_connection(address) for _ in range(callers)
            ]
            sent_at = time.monotonic()
            for sock in sockets:
                sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            for sock in sockets[:leaving]:
                sock.close()
            # All of it waits in the accept queue, since nothing else runs.
            block(WAITED_S)
            await asyncio.sleep(0.2)
            for sock in sockets:
                sock.close()
            return control, scopes, sent_at

    return asyncio.run(scenario())


# Guards against FAIR: callers of a router whose timers are on time, who wait
# unread until their deadline, since nothing tells that they wait.
def test_time_in_the_accept_queue_is_measured():
    found = make_overload(100, takes_callers=True)
    ages = []
    found.note_unread = ages.append
    run_callers(found, 3)
    assert ages
    assert max(ages) >= WAITED_S * 0.9


# Guards against connections that are accepted although their requests can't be
# handled in time.
def test_only_acceptable_connections_are_accepted():
    control, scopes, _ = run_callers(make_overload(3, takes_callers=False), 5)
    assert len(scopes) == 3
    assert control.backlog == 8


# Guards against requests that look new although they have waited in the accept
# queue, and against work for callers that have left it.
def test_unread_connections_have_their_age_and_callers():
    overload = make_overload(9, takes_callers=False)
    control, scopes, sent_at = run_callers(overload, 5, 2)
    assert (len(scopes), control.left) == (3, 2)
    for scope in scopes:
        arrived_at = scope["state"]["caller"].arrived_after
        assert sent_at - 0.02 <= arrived_at < sent_at + WAITED_S / 2


# Guards against limits at a router that is on time.
def test_router_on_time_accepts_all_connections():
    control, scopes, _ = run_callers(make_overload(40, takes_callers=True), 30)
    assert len(scopes) == 30
    assert control.backlog == accept_control.BACKLOG


# Guards against a router that stands still until a caller sends its request.
def test_caller_that_sends_nothing_does_not_block_a_late_router():
    async def scenario():
        overload = make_overload(9, takes_callers=False)
        early = early_refusal.EarlyRefusal(None, None)
        async with listen(overload, None) as (control, _):
            with listening.open_socket(
                addresses.Address("127.0.0.1", 0)
            ) as sock:
                control.sock, usual = sock, control.sock
                with socket.create_connection(sock.getsockname()):
                    connection = control._accept_one()
                    assert early.read(connection, 0.0, False) == b""
                    connection.close()
                control.sock = usual

    asyncio.run(asyncio.wait_for(scenario(), 10))


def read_request(request, refuses, has_had_fair_share=False, is_full=False):
    """Reads a request early; returns what was read, the response and the log.

    Args:
        request: the bytes of the request.
        refuses: whether the router is too busy for it.
        has_had_fair_share: whether its workspace has had its fair share.
        is_full: see `EarlyRefusal.read`.
    """
    router = in_process_router.InProcessRouter([makers.make_target("t")])
    gateway = router.gateway
    gateway.request_handler = router.request_handler
    gateway.is_too_late_for = lambda request: refuses
    gateway.takes_callers = False
    router.dispatcher.has_had_fair_share = lambda name: has_had_fair_share
    early = early_refusal.EarlyRefusal(call_wire.CODEC, gateway)
    caller, connection = socket.socketpair()
    connection.setblocking(False)
    with caller, connection:
        caller.sendall(request)
        found = early.read(connection, time.monotonic(), is_full)
        response = caller.recv(1000) if found is None else b""
    return found, response, router


REQUEST = (
    b"POST /look/1 HTTP/1.1\r\nHost: studio.example\r\nRequest-Id: r-1\r\n"
    b"Api-Key: key-1\r\nContent-Length: 4\r\n\r\nbody"
)


# Guards against refusals that callers can't read, or that aren't counted.
def test_early_refusal_is_complete():
    found, response, router = read_request(REQUEST, refuses=True)
    head = response.lower()
    assert found is None
    assert head.startswith(b"http/1.1 503 ")
    assert b"\r\nrequest-id: r-1\r\n" in head
    assert b"\r\nconnection: close\r\n" in head
    assert 0.2 <= float(re.search(rb"retry-after: (\S+)", head)[1]) <= 0.7
    assert head.endswith(b"\r\n\r\n")
    assert router.dispatcher.usage.asked
    assert router.request_handler.metrics.counters["request.refused"] == 1
    assert router.request_handler.refusals.counts.total() == 1


# Guards against callers below their fair share that a full router refuses, and
# against requests that are lost or refused although they aren't read whole.
def test_only_whole_requests_are_refused_early():
    assert read_request(REQUEST, refuses=False)[0] == REQUEST
    full = {"refuses": False, "is_full": True}
    assert read_request(REQUEST, **full)[0] == REQUEST
    assert read_request(REQUEST, **full, has_had_fair_share=True)[0] is None
    for data in (REQUEST[:-1], REQUEST * 2, b"nonsense\r\n\r\n"):
        assert read_request(data, refuses=True)[0] == data
    unknown = REQUEST.replace(b"key-1", b"key-2")
    assert read_request(unknown, refuses=True)[0] == unknown


# Guards against a log that grows with the refusals of a late router.
def test_late_router_logs_numbers_of_refusals():
    router = in_process_router.InProcessRouter([makers.make_target("t")])
    clock = clock_lib.ManualClock(clock_lib.SystemClock().now())
    refusals = refusal_log.RefusalLog(clock, router.request_handler.log)
    refused = decisions.Refused(
        makers.make_request("r"), decisions.RefusalReason.ROUTER_BUSY, 0.3
    )
    for _ in range(500):
        refusals.note(refused, is_late=True)
        refusals.flush_if_due()
        clock.advance(0.005)
    lines = router.read_log().splitlines()
    assert len(lines) == 2
    assert b'"number":201' in lines[0]
    assert b'"router_busy":{"ashby":201}' in lines[0]
    assert b'"costs":{"ashby":201}' in lines[0]


# Guards against requests that are handled out of order, and against a turn that
# resumes all that wait.
def test_requests_get_their_turns_in_order():
    clock = clock_lib.ManualClock(clock_lib.SystemClock().now())
    times = poll_times.PollTimes(0.0)
    queue = turns.TurnQueue(times, clock)
    order = []
    resumed = 0

    async def handle(name):
        nonlocal resumed
        await queue.wait(clock.monotonic())
        order.append(name)
        clock.advance(turns.MAX_TURN_S / 2)

    async def scenario():
        clock.advance(1.0)
        handling = [asyncio.create_task(handle(n)) for n in range(20)]
        while not all(task.done() for task in handling):
            await asyncio.sleep(0)
            times.returned_at = clock.monotonic()
        return len(queue.waiting)

    assert asyncio.run(scenario()) == 0
    assert order == list(range(20))
    assert queue.batch <= 8
