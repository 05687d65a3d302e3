"""A router whose event loop stands still while callers send and leave.

Pattern: the processor of an instance pauses, or its router handles a flood.
Heads and closes of callers then wait in the sockets until the router reads
them, all at once.
"""

import asyncio
import contextlib
import dataclasses
import re
import socket
import threading
import time

from lentilbeam_core import clock as clock_lib
from lentilbeam_router import addresses
from lentilbeam_router import event_loop
from lentilbeam_router.forwarding import listening
from tests.forwarding import fake_target
from tests.forwarding import in_process_router
from tests.forwarding import test_forwarding

SETTLE_S = 0.4
"""Time, in seconds, in which a router reads what has arrived and acts on it."""
IDLE_CONNECTIONS = 40
"""Open connections of the router to its target before the stall."""


async def send_stream(head, reader, writer):
    """Answers any request with a stream (script of a target)."""
    del reader
    request_id = re.search(rb"request-id: (\S+)", head.lower())[1].decode()
    await asyncio.sleep(0.05)
    writer.write(fake_target.make_stream_head(request_id))
    writer.write(fake_target.encode_chunk(test_forwarding.EVENTS))
    writer.write(fake_target.encode_chunk(b""))


@contextlib.asynccontextmanager
async def listen(router, poll_times):
    """Serves a router's callers; yields the address that it listens on."""
    sock = listening.open_socket(addresses.Address("127.0.0.1", 0))
    server = listening.build_server(router.request_handler, poll_times)
    serving = asyncio.create_task(server.serve(sockets=[sock]))
    try:
        yield sock.getsockname()
    finally:
        server.should_exit = True
        await serving


def encode_request(request_id, deadline_ms):
    """Returns a request for a stream."""
    return (
        f"POST /chat/x HTTP/1.1\r\nHost: studio.example\r\n"
        f"Request-Id: {request_id}\r\nRequest-Deadline: {deadline_ms}\r\n"
        f"Api-Key: {in_process_router.API_KEY}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


async def connect(address):
    """Returns a blocking connection that the router has accepted."""
    connection = socket.create_connection(address)
    await asyncio.sleep(0.05)
    return connection


def block_for_each_head(router, seconds):
    """Makes the router's event loop stand still for each request."""
    codec = router.request_handler.codec

    def decode_slowly(scope):
        time.sleep(seconds)
        return codec.decode_request_head(scope)

    router.request_handler.codec = dataclasses.replace(
        codec, decode_request_head=decode_slowly
    )


def find_received(target, request_id):
    """Returns the heads of a request that a target received."""
    header = f"request-id: {request_id}\r\n".encode()
    return [head for head in target.heads if header in head]


def run_in_timed_loop(scenario):
    """Runs a scenario with a router and a target in an event loop with polls.

    The router keeps open connections to the target.

    Args:
        scenario: called with the router, the listening address and the target.

    Returns:
        The result of the scenario.
    """
    selector = event_loop.TimedSelector(clock_lib.SystemClock())

    async def listen_and_run(router, targets):
        await asyncio.gather(
            *(
                router.call(request_id=f"first-{n}")
                for n in range(IDLE_CONNECTIONS)
            )
        )
        async with listen(router, selector.poll_times) as address:
            return await scenario(router, address, targets[0])

    with event_loop.build_runner(selector) as runner:
        return runner.run(
            test_forwarding.run_async(
                [send_stream], listen_and_run, poll_times=selector.poll_times
            )
        )


def run(stall):
    """Runs `stall` in the event loop of a router with an idle target.

    Args:
        stall: blocks the event loop; called with the listening address and a
            connection of a caller.

    Returns:
        The target.
    """

    async def scenario(router, address, target):
        del router
        with await connect(address) as caller:
            stall(address, caller)
            await asyncio.sleep(SETTLE_S)
        return target

    return run_in_timed_loop(scenario)


def read_deadline_ms(head):
    """Returns the deadline that a target received."""
    return int(re.search(rb"request-deadline: (\d+)", head.lower())[1])


# Guards against GONE: work begins for a caller that left while its request
# waited to be read.
def test_request_of_a_caller_that_left_during_a_stall_is_not_sent():
    def stall(address, caller):
        del address
        caller.sendall(encode_request("left", 5000))
        time.sleep(0.1)
        caller.close()
        time.sleep(0.1)

    target = run(stall)
    assert not find_received(target, "left")


# Guards against GONE: a request is sent on after its caller's deadline, since
# the time in which it waited to be read is not counted.
def test_request_whose_deadline_passed_during_a_stall_is_not_sent():
    def stall(address, caller):
        del address
        caller.sendall(encode_request("expired", 200))
        time.sleep(0.5)

    target = run(stall)
    assert not find_received(target, "expired")


# Guards against GONE: a target works on after the caller's deadline, since it
# is given the whole deadline once more after the request waited to be read.
def test_target_gets_the_deadline_that_is_left_after_a_stall():
    def stall(address, caller):
        del address
        caller.sendall(encode_request("kept", 1000))
        time.sleep(0.5)

    target = run(stall)
    (head,) = find_received(target, "kept")
    assert read_deadline_ms(head) <= 600


# Guards against GONE: the same for a request on a connection that the router
# has not accepted before the stall.
def test_time_before_a_connection_is_accepted_counts_in_the_deadline():
    callers = []

    def stall(address, caller):
        del caller
        callers.append(socket.create_connection(address))
        callers[0].sendall(encode_request("new", 1000))
        time.sleep(0.5)

    target = run(stall)
    callers[0].close()
    (head,) = find_received(target, "new")
    assert read_deadline_ms(head) <= 600


# Guards against GONE: the deadline passes while a connection is opened, and the
# request is sent before the timer of the deadline fires.
def test_request_whose_deadline_passes_before_its_first_byte_is_not_sent():
    async def scenario(router, targets):
        connect_at_once = router.pool.connect

        async def connect_late(*arguments):
            connection = await connect_at_once(*arguments)
            time.sleep(0.3)  # noqa: ASYNC251 (the loop stands still)
            return connection

        router.pool.connect = connect_late
        response = await router.call(
            path="/book/1", request_id="expired", request_deadline="200"
        )
        return response, targets[0]

    response, target = test_forwarding.run([send_stream], scenario)
    assert not find_received(target, "expired")
    assert response.status == 503


# Guards against GONE: requests that arrive together keep the router busy for so
# long that it sends on those of callers that left meanwhile.
def test_callers_that_leave_while_the_router_is_busy_get_nothing_sent():
    count = IDLE_CONNECTIONS
    request_s = 0.02

    async def scenario(router, address, target):
        block_for_each_head(router, request_s)
        callers = [await connect(address) for _ in range(count)]
        for number, caller in enumerate(callers):
            caller.sendall(encode_request(f"caller-{number}", 5000))
        late = callers[count // 2 :]

        def leave():
            for caller in late:
                caller.close()

        threading.Timer(0.1, leave).start()
        await asyncio.sleep(count * request_s + SETTLE_S)
        for caller in callers:
            caller.close()
        return target

    target = run_in_timed_loop(scenario)
    assert find_received(target, "caller-0")
    sent = [n for n in range(count) if find_received(target, f"caller-{n}")]
    assert not [n for n in sent if n >= count // 2]


# Guards against GONE: the loop stands still between the placement of a request
# and its first byte, and the caller leaves meanwhile.
def test_request_of_a_caller_that_left_before_its_first_byte_is_not_sent():
    async def scenario(router, address, target):
        router.pool.close()
        connect_at_once = router.pool.connect
        with await connect(address) as caller:

            async def connect_late(*arguments):
                connection = await connect_at_once(*arguments)
                caller.close()
                time.sleep(0.3)  # noqa: ASYNC251 (the loop stands still)
                return connection

            router.pool.connect = connect_late
            caller.sendall(encode_request("left", 5000))
            await asyncio.sleep(0.3 + SETTLE_S)
        return target

    target = run_in_timed_loop(scenario)
    assert not find_received(target, "left")


# Guards against GONE: a router that is busy with new requests notices too late
# that the caller of a running request has left, and its target works on.
def test_target_of_a_caller_that_left_stops_while_the_router_is_busy():
    request_s = 0.02
    ended_at = []

    async def run_until_closed(head, reader, writer):
        if b"request-id: running\r\n" not in head.lower():
            await send_stream(head, reader, writer)
            return
        writer.write(fake_target.make_stream_head("running"))
        writer.write(fake_target.encode_chunk(fake_target.make_event(1)))
        await reader.read()
        ended_at.append(time.monotonic())
        raise ConnectionError

    async def scenario(router, address, target):
        target.script = run_until_closed
        running = await connect(address)
        running.sendall(encode_request("running", 5000))
        await asyncio.sleep(0.1)
        block_for_each_head(router, request_s)
        callers = [await connect(address) for _ in range(IDLE_CONNECTIONS)]
        for number, caller in enumerate(callers):
            caller.sendall(encode_request(f"caller-{number}", 5000))
        left_at = []

        def leave():
            left_at.append(time.monotonic())
            running.close()

        threading.Timer(0.05, leave).start()
        await asyncio.sleep(IDLE_CONNECTIONS * request_s + SETTLE_S)
        for caller in callers:
            caller.close()
        return ended_at[0] - left_at[0]

    assert run_in_timed_loop(scenario) <= 0.5
