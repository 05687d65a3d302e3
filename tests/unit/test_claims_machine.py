"""Generated histories of routers that claim keys through a faulty log."""

import collections
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from bench import claims_model
from bench import claims_steps

CHOICES = strategies.integers(0, claims_steps.MAX_CHOICE)


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """Three routers, one log; the model raises at a broken promise."""

    def __init__(self):
        super().__init__()
        self.fleet = claims_model.FleetModel()

    @stateful.rule(
        step=strategies.sampled_from(claims_steps.STEPS), a=CHOICES, b=CHOICES
    )
    def take(self, step, a, b):
        """Takes one step."""
        claims_steps.run_step(self.fleet, step, a, b)


TestClaims = ClaimsMachine.TestCase
TestClaims.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=60,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def test_long_random_histories_keep_all_promises_and_get_work_done():
    counts: collections.Counter[str] = collections.Counter()
    for seed in range(40):
        fleet = claims_model.FleetModel()
        rng = random.Random(seed)
        for _ in range(800):
            claims_steps.run_random_step(fleet, rng)
        counts += fleet.counts
    assert counts["runs"] > 100
    for name in ("ClaimLost", "ClaimRefused", "kills", "connection refused"):
        assert counts[name] > 20, name


def test_keys_are_claimed_again_after_release_and_learnt_after_the_end():
    fleet = claims_model.FleetModel()
    settle_fleet(fleet)
    fleet.request_claim(fleet.routers[0], 0, 0.0)
    settle_fleet(fleet)
    fleet.end_exchange(0, claims_model.TARGET_ENDS[0])
    settle_fleet(fleet)
    fleet.request_claim(fleet.routers[1], 1, 0.0)
    settle_fleet(fleet)
    fleet.dispatch(0, is_reached=True)
    fleet.end_exchange(0, claims_model.TARGET_ENDS[0])
    settle_fleet(fleet)
    fleet.request_claim(fleet.routers[2], 1, 0.0)
    settle_fleet(fleet)
    assert fleet.counts["ClaimWon"] == 2
    assert fleet.counts["runs"] == 1
    lost = fleet.routers[2].state_machine.look_up(fleet.keys[0])
    assert lost.run_outcome is fleet.outcome_by_key[fleet.keys[0]]


def settle_fleet(fleet: claims_model.FleetModel) -> None:
    """Lets the log answer everything, without faults."""
    for _ in range(20):
        for index in range(len(fleet.routers)):
            claims_steps.complete_append(fleet, index, 0)
            claims_steps.complete_read(fleet, index, 0)
        fleet.advance(0.1)
