"""Requests that crash their targets and come again alike, at any router.

Pattern: callers send the same request, with the same path, workspace and body,
over and over; each target that begins to run it ends and is back after some
seconds. Other callers send sound requests, and send them again when they fail.
"""

import asyncio

import pytest

from tests.forwarding import gateway_fleet

STABLE_WINDOW_S = 3.0
RESTART_S = 2.5
DEADLY = b"deadly"
MAX_LATE_SENDS = 3
"""Most times that a request is sent once `STABLE_WINDOW_S` has passed since the
third crash under it."""


class Scenario:
    """Deadly and sound requests at one fleet.

    Attributes:
        crashes: times of the crashes, monotonic seconds.
        deadly_sent: times at which a deadly request reached a target.
        sound: results of each sound request, in the order in which its caller
            sent it.
    """

    def __init__(self, path, seconds=25.0, deadly_per_s=2.0, sound_per_s=20.0):
        self.path = path
        self.seconds = seconds
        self.deadly_per_s = deadly_per_s
        self.sound_per_s = sound_per_s
        self.crashes = []
        self.deadly_sent = []
        self.sound = []

    async def __call__(self, fleet):
        """Sends the requests for some time."""
        for target in fleet.targets.values():
            self._crash_on_deadly(fleet, target)
        await asyncio.gather(
            fleet.load(
                self.deadly_per_s,
                self.seconds,
                path=self.path,
                body=DEADLY,
            ),
            self._send_sound(fleet),
        )
        await asyncio.sleep(5.0)

    def _crash_on_deadly(self, fleet, target):
        """Lets a target crash as soon as it runs a deadly request."""
        loop = asyncio.get_running_loop()
        plain = target.respond_plainly

        def respond(head):
            if b"content-length: %d" % len(DEADLY) not in head.lower():
                return plain(head)
            self.deadly_sent.append(loop.time())
            self.crashes.append(loop.time())
            loop.call_later(RESTART_S, fleet.restart_target, target.entry.name)
            return None

        target.respond = respond

    async def _send_sound(self, fleet):
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + self.seconds
        number = 0
        callers = []
        while loop.time() < ends_at:
            await asyncio.sleep(fleet.rng.expovariate(self.sound_per_s))
            number += 1
            body = b"sound request number %06d" % number
            callers.append(
                asyncio.ensure_future(self._send_until_answered(fleet, body))
            )
        await asyncio.gather(*callers)

    async def _send_until_answered(self, fleet, body):
        """Sends a sound request until it is answered."""
        results = []
        self.sound.append(results)
        while len(results) < 8:
            router = fleet.rng.choice(list(fleet.gateways))
            result = await fleet.send(router, self.path, body)
            results.append(result)
            if result.status == 200:
                return
            await asyncio.sleep(max(result.retry_after_s or 0.0, 0.05))

    def count_late_sends(self):
        """Counts the deadly requests that reached targets too late."""
        limit = self.crashes[2] + STABLE_WINDOW_S
        return sum(at > limit for at in self.deadly_sent)


def play(path, seed=1, targets=3, **settings):
    """Runs the pattern; returns the scenario with its results."""
    scenario = Scenario(path, **settings)
    gateway_fleet.Fleet(7, targets=targets, seed=seed).run(scenario)
    return scenario


@pytest.mark.parametrize("path", ["/look/1", "/book/1"])
def test_request_that_crashes_its_targets_stops_reaching_them(path):
    # Guards against BUDGET: a request under which three targets have ended
    # is sent to one target after the other.
    scenario = play(path)
    assert len(scenario.crashes) >= 3
    assert scenario.count_late_sends() <= MAX_LATE_SENDS


@pytest.mark.parametrize("seed", [1, 2])
def test_sound_request_sent_again_after_crashes_of_others_is_answered(seed):
    # Guards against LOST: requests that ran beside a deadly one are refused.
    scenario = play("/look/1", seed)
    assert len(scenario.crashes) >= 3
    assert all(results[-1].status == 200 for results in scenario.sound)
