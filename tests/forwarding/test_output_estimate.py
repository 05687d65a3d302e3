"""Estimates of the output tokens of requests."""

import dataclasses
import random

import pytest

from lentilbeam_core.forwarding import output_estimate
from tests.forwarding import makers

MAX_TOKENS = 4_000


def make_request(hint: int | None = None, workspace: str = "ashby"):
    """Returns a request with a hint."""
    request = makers.make_request(
        "r", ("p", 500), workspace=workspace, max_output_tokens=MAX_TOKENS
    )
    prompt = dataclasses.replace(request.prompt, hinted_output_tokens=hint)
    return dataclasses.replace(request, prompt=prompt)


def learn(samples, workspace: str = "ashby"):
    """Returns estimates that have seen pairs of hint and actual length."""
    estimates = output_estimate.OutputEstimates(output_estimate.Settings())
    for number, (hint, tokens) in enumerate(samples):
        request = make_request(hint, workspace)
        now = number * 0.1
        estimate = estimates.estimate(request, now)
        estimates.note_output(request, estimate, tokens, now)
    return estimates


# Guards against a guess where nothing is known: the bound always holds.
def test_bound_is_the_estimate_until_there_are_samples():
    estimates = learn([(None, 100)] * 7)
    estimate = estimates.estimate(make_request(), 1.0)
    assert (estimate.mean, estimate.high) == (MAX_TOKENS, MAX_TOKENS)
    assert estimates.error.read(1.0) == 0.0


# Guards against a workspace with few samples that gets the bound though its
# route is known, and against one that gets the lengths of another.
def test_workspace_counts_before_route():
    estimates = learn([(None, 100)] * 20)
    other = make_request(workspace="birch")
    assert estimates.estimate(other, 2.0).mean == pytest.approx(100, rel=0.1)
    for _ in range(20):
        estimate = estimates.estimate(other, 2.0)
        estimates.note_output(other, estimate, 1_600, 2.0)
    assert estimates.estimate(other, 2.0).mean == pytest.approx(1_600, rel=0.1)
    own = estimates.estimate(make_request(), 2.0)
    assert own.mean == pytest.approx(100, rel=0.1)


# Guards against hints that are believed, or ignored, whatever they were worth.
@pytest.mark.parametrize(
    ("spread", "max_error"), [(1.0, 0.15), (1.3, 0.3), (64.0, 0.9)]
)
def test_hint_counts_as_much_as_hints_were_good(spread, max_error):
    rng = random.Random(1)
    lengths = [round(2 ** rng.uniform(5, 11)) for _ in range(300)]
    samples = [
        (max(round(n / 2 * spread ** rng.uniform(-1, 1)), 1), n)
        for n in lengths
    ]
    estimates = learn(samples[:200])
    errors = {}
    for name, with_hint in (("hint", True), ("none", False)):
        deviation = 0.0
        for hint, tokens in samples[200:]:
            request = make_request(hint if with_hint else None)
            deviation += abs(estimates.estimate(request, 20.0).mean - tokens)
        errors[name] = deviation / sum(lengths[200:])
    assert errors["hint"] <= max_error
    assert errors["hint"] <= errors["none"] * 1.05


# Guards against memory that is counted with the mean, and so exceeded by half
# of the answers, or with the bound, and so left idle.
def test_high_quantile_covers_nine_of_ten_answers():
    rng = random.Random(2)
    lengths = [round(2 ** rng.uniform(5, 11)) for _ in range(400)]
    estimates = learn([(None, n) for n in lengths[:200]])
    high = estimates.estimate(make_request(), 20.0).high
    covered = sum(n <= high for n in lengths[200:]) / 200
    assert 0.84 <= covered <= 0.97
    assert high < MAX_TOKENS


# Guards against a stream that counts as done because it is longer than most.
def test_what_is_left_follows_from_what_was_produced():
    estimates = learn([(None, 100), (None, 1_600)] * 20)
    estimate = estimates.estimate(make_request(), 4.0)
    assert estimate.find_left(0) == pytest.approx(850, rel=0.1)
    assert estimate.find_left(200) == pytest.approx(1_400, rel=0.1)
    assert estimate.find_left(2_000) == pytest.approx(500)
    assert estimate.find_left(MAX_TOKENS) == 0.0


# Guards against state that grows with the number of workspaces or routes.
def test_number_of_histograms_is_bounded():
    estimates = output_estimate.OutputEstimates(output_estimate.Settings())
    for number in range(100):
        request = make_request(workspace=f"w{number}")
        estimate = estimates.estimate(request, 1.0)
        estimates.note_output(request, estimate, 50 + number, 1.0)
    known = estimates.by_workspace["chat"]
    assert len(known) == 64
    assert "w99" in known
    assert "w0" not in known
    estimates.keep_routes([])
    assert not (estimates.by_route or estimates.by_workspace)
