"""What a router learns of the work of requests while it forwards them."""

import dataclasses

import pytest

from tests.forwarding import fake_target
from tests.forwarding import makers
from tests.forwarding import test_forwarding

ENGINE = dataclasses.replace(makers.ENGINE, event_tokens=7)
WHOLE = fake_target.make_script(*test_forwarding.STREAM_PIECES)
BROKEN = fake_target.make_script(*test_forwarding.STREAM_PIECES[:2])


def forward_stream(*scripts, **headers):
    """Forwards a stream; returns what is known of the router's streams."""

    async def scenario(router, targets):
        work = router.dispatcher.placer.work_left
        work.settings = dataclasses.replace(work.settings, min_targets=1)
        await router.call(token_count="500,900", length_hint="30", **headers)
        now = router.dispatcher.clock.monotonic()
        return work, router.dispatcher.read_gauges(now)

    return test_forwarding.run(scripts, scenario, engine=ENGINE)


# Guards against lengths and hints that never reach the estimates, and against
# streams that count after their end.
def test_whole_stream_is_a_sample_of_its_length_and_hint():
    work, gauges = forward_stream(WHOLE)
    (lengths,) = work.estimates.by_route.values()
    (ratios,) = work.estimates.ratios.values()
    # Three events of 7 tokens; the buckets of histograms are 19% wide.
    ((bucket, weight),) = lengths.weights.items()
    assert (2 ** (bucket / 4), weight) == (pytest.approx(21, rel=0.1), 1.0)
    ((bucket, _),) = ratios.weights.items()
    assert 2 ** (bucket / 4) == pytest.approx(21 / 30, rel=0.1)
    assert not work.streams
    left = [load.decode_s for load in work.loads.own_loads.values()]
    assert left == [pytest.approx(0.0)]
    assert gauges["output_error"] == 0.0


# Guards against parts of answers that count as whole ones: a stream that the
# caller takes up, and one that breaks off.
@pytest.mark.parametrize(
    ("script", "headers"),
    [
        (BROKEN, {"request_deadline": "300"}),
        (WHOLE, {"last_event_id": "0", "resumes": "r0"}),
    ],
)
def test_part_of_a_stream_is_no_sample(script, headers):
    work, _ = forward_stream(script, **headers)
    assert not work.estimates.by_route
    assert not work.streams


# Guards against times of plain requests that never reach the estimates, and
# against methods that are taken for the same.
def test_plain_request_is_a_sample_of_its_route_and_method():
    response = fake_target.make_response(b"")

    async def scenario(router, targets):
        work = router.dispatcher.placer.plain_work
        work.count_routers = lambda: 61
        await router.call(path="/look/1")
        return work

    work = test_forwarding.run([fake_target.make_script(response)], scenario)
    assert list(work.times) == [("look-up", "POST")]
    assert work.mean.count == 1
    assert not work.running
