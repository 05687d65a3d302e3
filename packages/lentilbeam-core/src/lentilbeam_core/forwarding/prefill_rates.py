"""Prefill rate of an engine, from first events at all routers.

The rate is the ratio of two decayed sums of `loads.Load`: the time of the
prefills that ended lately, and the time that they would have taken at
`Settings.initial_tokens_per_s`. Short prompts have little weight in it, because
most of their time is spent waiting for the engine's next step.

The sums are those of all routers. A router that went by its own few samples
could take an engine for slow, send it nothing and so never see that it is not.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of prefill rates.

    Attributes:
        initial_tokens_per_s: rate assumed before the first sample; from the
            operators' engine data sheets, less the time for decoding.
        prior_s: weight of the initial rate, as seconds of samples.
        min_tokens_per_s: lower bound of an estimated rate.
        max_tokens_per_s: upper bound of an estimated rate.
    """

    initial_tokens_per_s: float = 90_000.0
    prior_s: float = 1.0
    min_tokens_per_s: float = 15_000.0
    max_tokens_per_s: float = 150_000.0


def estimate(settings: Settings, timed_s: float, expected_s: float) -> float:
    """Returns the prompt tokens that an engine processes per second.

    Args:
        settings: settings of prefill rates.
        timed_s: time of its latest prefills, in seconds.
        expected_s: time that they take at the initial rate, in seconds.
    """
    relative = (expected_s + settings.prior_s) / (timed_s + settings.prior_s)
    rate = settings.initial_tokens_per_s * relative
    return min(max(rate, settings.min_tokens_per_s), settings.max_tokens_per_s)
