"""Tests of generated histories of routers that claim keys on a faulty log."""

import collections
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from bench import claims_model
from bench import claims_steps

CHOICES = strategies.integers(0, claims_steps.MAX_CHOICE)


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """Runs steps of the model, which raises when an invariant is violated."""

    def __init__(self):
        super().__init__()
        self.fleet = claims_model.FleetModel()

    @stateful.rule(
        step=strategies.sampled_from(claims_steps.STEPS), a=CHOICES, b=CHOICES
    )
    def run_step(self, step, a, b):
        """Runs one step; `a` and `b` choose what it acts on."""
        claims_steps.run_step(self.fleet, step, a, b)


TestClaims = ClaimsMachine.TestCase
TestClaims.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=60,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def test_long_random_histories_keep_all_invariants_and_run_requests():
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


def test_a_released_key_is_claimed_again_and_a_finished_run_is_known():
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
    lost_claim = fleet.routers[2].state_machine.look_up(fleet.keys[0])
    assert lost_claim.run_outcome is fleet.outcome_by_key[fleet.keys[0]]


def settle_fleet(fleet: claims_model.FleetModel) -> None:
    """Runs all routers against a fault-free log for two simulated seconds."""
    for _ in range(20):
        for index in range(len(fleet.routers)):
            claims_steps.complete_append(fleet, index, 0)
            claims_steps.complete_read(fleet, index, 0)
        fleet.advance(0.1)
