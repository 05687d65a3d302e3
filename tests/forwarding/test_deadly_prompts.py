"""A router and requests that crash their targets because of one prompt part."""

import asyncio
import dataclasses
import functools
import re
import socket
import struct

import pytest

from lentilbeam_core import ids
from tests.forwarding import fake_target
from tests.forwarding import test_forwarding

TARGETS = 6
DEADLY_REQUESTS = 12
SPACING_S = 0.25
"""Time between two deadly requests, in seconds."""


HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Seal: s\r\n"
ENDINGS = {
    "reset": HEAD + "Transfer-Encoding: chunked\r\n\r\n",
    "close": HEAD + "Content-Type: text/event-stream\r\n\r\n",
}
"""Head of the answer to a deadly request, by the way in which it ends."""


class CrashingTarget:
    """Script of a target that crashes when it answers a deadly request.

    Attributes:
        ending: what a deadly request gets: "reset" for a connection that is
            reset after the head, "close" for one that is closed after a head
            without a length, "garble" for bytes that are no response.
        deadly: number of deadly requests received.
        restart: lists the start of a new process of the target.
    """

    def __init__(self, ending):
        self.ending = ending
        self.deadly = 0
        self.restart = lambda: None

    async def __call__(self, head, reader, writer):
        """Answers a request, or resets its connection."""
        del reader
        request_id = re.search(rb"request-id: (\S+)", head.lower())[1].decode()
        if b"dead:" in head:
            self.deadly += 1
            self.restart()
            await self.break_off(request_id, writer)
            raise ConnectionError
        writer.write(fake_target.make_stream_head(request_id))
        writer.write(fake_target.encode_chunk(test_forwarding.EVENTS))
        writer.write(fake_target.encode_chunk(b""))

    async def break_off(self, request_id, writer):
        """Ends the connection of a deadly request."""
        if self.ending == "garble":
            writer.write(b"\x00 no response")
        else:
            writer.write(ENDINGS[self.ending].format(request_id).encode())
        await writer.drain()
        if self.ending == "reset":
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
            writer.transport.abort()


def restart(listed, target):
    """Lists a new process of a target, which serves at once."""
    started_at_ms = target.entry.started_at_ms + 1000
    target.entry = dataclasses.replace(
        target.entry, started_at_ms=started_at_ms
    )
    listed.put(target.entry)


def send(router, number, part):
    """Sends a request whose prompt shares its first part with all others."""
    return router.call(
        request_id=f"{part}-{number}",
        token_count="900,80",
        prefix_hash=f"f1:500,{part}:300,a{number}:100",
        request_deadline="3000",
    )


def run(ending):
    """Sends deadly requests and, after each, two sound ones.

    Args:
        ending: see `CrashingTarget`.

    Returns:
        The number of deadly requests that targets received, and the responses
        to the sound ones.
    """
    scripts = [CrashingTarget(ending) for _ in range(TARGETS)]

    async def scenario(router, targets):
        listed = router.dispatcher.targets
        for target in targets:
            target.script.restart = functools.partial(restart, listed, target)
        responses = []
        for number in range(DEADLY_REQUESTS):
            await send(router, number, "dead")
            responses += await asyncio.gather(
                send(router, number, "50"), send(router, number, f"7{number}")
            )
            await asyncio.sleep(SPACING_S)
        return responses

    responses = test_forwarding.run(scripts, scenario, test_forwarding.ENGINE)
    return sum(script.deadly for script in scripts), responses


# Guards against BUDGET: requests that share one deadly part crash one target
# after the other, and each is sent to a second one.
@pytest.mark.parametrize("ending", ["reset", "close"])
def test_requests_with_a_deadly_part_are_no_longer_sent(ending):
    deadly, _ = run(ending)
    assert deadly <= 8


# Guards against LOST: sound requests with the same first part and the same
# workspace are hurt by what is done against the deadly ones.
def test_sound_requests_beside_deadly_ones_are_answered():
    _, responses = run("reset")
    assert [response.status for response in responses] == [200] * len(responses)


# Guards against LOST: a target that sends wrong bytes has not crashed, and the
# prompts that it got are not to blame.
def test_wrong_bytes_block_no_part():
    deadly, _ = run("garble")
    assert deadly == 2 * DEADLY_REQUESTS


# Guards against BUDGET: a target that rejects a deadly request without working
# on it clears the part of what is known.
def test_rejected_request_does_not_clear_its_part():
    reject = fake_target.make_script(fake_target.make_response(b"", status=400))
    parts = ["dead"]

    async def scenario(router, targets):
        del targets
        evidence = router.crash_evidence
        now = router.dispatcher.clock.monotonic()
        for number in range(2):
            process = (ids.TargetId(f"other-{number}"), 1)
            evidence.note_crash("x", parts, process, now + number, now + number)
        response = await router.call(
            token_count="900,80", prefix_hash="dead:300,a1:100"
        )
        return response.status, evidence.is_suspect(parts, now + 1)

    found = test_forwarding.run([reject], scenario, test_forwarding.ENGINE)
    assert found == (400, True)
