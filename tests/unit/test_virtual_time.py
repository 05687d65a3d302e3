"""Tests of the order of workspaces by virtual time.

Virtual times never decrease: an idle workspace accumulates no credit, and
service that it received in excess still counts when it returns.
"""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from lentilbeam_core import catalogue
from lentilbeam_core import virtual_time

NAMES = strategies.sampled_from(["a", "b", "c", "d"])
COSTS = strategies.floats(0.0, 5000.0)


class AccountQueueMachine(stateful.RuleBasedStateMachine):
    """Charges workspaces and makes them eligible or idle in any order.

    Attributes:
        account_queue: the queue under test.
        now: current time in seconds.
        previous_times: by workspace, its virtual time at the last check.
        previous_floor: the queue's floor at the last check.
    """

    def __init__(self):
        super().__init__()
        self.account_queue = virtual_time.AccountQueue(idle_grace_s=0.05)
        self.now = 0.0
        self.previous_times = {}
        self.previous_floor = 0.0
        for index, name in enumerate("abcd"):
            account = virtual_time.Account(
                name, 1.0 + index, catalogue.Limits()
            )
            self.account_queue.accounts[name] = account
            self.previous_times[name] = 0.0

    @stateful.rule(name=NAMES, cost=COSTS)
    def charge(self, name, cost):
        """Charges a workspace for service of the given cost."""
        account = self.account_queue.accounts[name]
        self.account_queue.charge(account, cost)
        is_eligible = account.projected_time_key is not None
        self.account_queue.refresh(account, is_eligible, self.now)

    @stateful.rule(name=NAMES, cost=COSTS)
    def set_expected(self, name, cost):
        """Sets the expected cost of a workspace's running requests."""
        account = self.account_queue.accounts[name]
        account.expected = cost
        is_eligible = account.projected_time_key is not None
        self.account_queue.refresh(account, is_eligible, self.now)

    @stateful.rule(name=NAMES, weight=strategies.floats(0.5, 8.0))
    def set_weight(self, name, weight):
        """Sets a workspace's weight."""
        self.account_queue.set_weight(self.account_queue.accounts[name], weight)

    @stateful.rule(name=NAMES)
    def make_idle(self, name):
        """Removes a workspace from the order."""
        self.account_queue.refresh(
            self.account_queue.accounts[name], False, self.now
        )

    @stateful.rule(name=NAMES, pause_s=strategies.floats(0.0, 1.0))
    def make_eligible(self, name, pause_s):
        """Returns a workspace to the order after `pause_s` seconds."""
        self.now += pause_s
        account = self.account_queue.accounts[name]
        idle_s = self.now - account.ineligible_since
        was_eligible = account.projected_time_key is not None
        before = dataclasses.replace(account)
        floor = self.account_queue.raise_floor()
        self.account_queue.refresh(account, True, self.now)
        assert account.virtual_time >= before.virtual_time
        if not was_eligible and idle_s > 0.05:
            assert account.virtual_time >= floor

    @stateful.invariant()
    def check_times(self):
        """Checks that neither virtual times nor the floor decrease."""
        for name, account in self.account_queue.accounts.items():
            assert account.virtual_time >= self.previous_times[name]
            self.previous_times[name] = account.virtual_time
        assert self.account_queue.raise_floor() >= self.previous_floor
        self.previous_floor = self.account_queue.raise_floor()

    @stateful.invariant()
    def check_order(self):
        """Checks the order of eligible workspaces and the sum of weights."""
        eligible = [
            a
            for a in self.account_queue.accounts.values()
            if a.projected_time_key
        ]
        ranked = sorted((a.projected_virtual_time(), a.name) for a in eligible)
        assert list(self.account_queue.by_projected_time) == ranked
        weight = sum(a.weight for a in eligible)
        assert abs(self.account_queue.total_weight - weight) < 1e-6


TestAccountQueue = AccountQueueMachine.TestCase
TestAccountQueue.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=40, stateful_step_count=30
)
