"""The order of workspaces: monotone, without credit, with debts kept."""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from lentilbeam_core import catalogue
from lentilbeam_core import virtual_time

NAMES = strategies.sampled_from(["a", "b", "c", "d"])
COSTS = strategies.floats(0.0, 5000.0)


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Charges, wakes and puts to sleep workspaces in any order."""

    def __init__(self):
        super().__init__()
        self.account_queue = virtual_time.AccountQueue(idle_grace_s=0.05)
        self.now = 0.0
        self.seen = {}
        self.floor = 0.0
        for index, name in enumerate("abcd"):
            account = virtual_time.Account(
                name, 1.0 + index, catalogue.Limits()
            )
            self.account_queue.accounts[name] = account
            self.seen[name] = 0.0

    @stateful.rule(name=NAMES, cost=COSTS)
    def charge(self, name, cost):
        """Settles service."""
        account = self.account_queue.accounts[name]
        self.account_queue.charge(account, cost)
        is_eligible = account.projected_time_key is not None
        self.account_queue.refresh(account, is_eligible, self.now)

    @stateful.rule(name=NAMES, cost=COSTS)
    def expect(self, name, cost):
        """Changes the expected cost of what runs."""
        account = self.account_queue.accounts[name]
        account.expected = cost
        is_eligible = account.projected_time_key is not None
        self.account_queue.refresh(account, is_eligible, self.now)

    @stateful.rule(name=NAMES, weight=strategies.floats(0.5, 8.0))
    def reweigh(self, name, weight):
        """Changes the weight."""
        self.account_queue.set_weight(self.account_queue.accounts[name], weight)

    @stateful.rule(name=NAMES)
    def sleep(self, name):
        """Takes a workspace out of the order."""
        self.account_queue.refresh(
            self.account_queue.accounts[name], False, self.now
        )

    @stateful.rule(name=NAMES, pause_s=strategies.floats(0.0, 1.0))
    def wake(self, name, pause_s):
        """Puts one back after a pause."""
        self.now += pause_s
        account = self.account_queue.accounts[name]
        was_away_s = self.now - account.idle_since
        was_eligible = account.projected_time_key is not None
        before = dataclasses.replace(account)
        least = self.account_queue.raise_floor()
        self.account_queue.refresh(account, True, self.now)
        assert account.virtual_time >= before.virtual_time
        if not was_eligible and was_away_s > 0.05:
            assert account.virtual_time >= least

    @stateful.invariant()
    def times_never_fall(self):
        """Checks that no virtual time falls."""
        for name, account in self.account_queue.accounts.items():
            assert account.virtual_time >= self.seen[name]
            self.seen[name] = account.virtual_time
        assert self.account_queue.raise_floor() >= self.floor
        self.floor = self.account_queue.raise_floor()

    @stateful.invariant()
    def order_is_exact(self):
        """Checks the order and the sum of weights."""
        waiting = [
            a
            for a in self.account_queue.accounts.values()
            if a.projected_time_key
        ]
        ranked = sorted((a.projected_virtual_time(), a.name) for a in waiting)
        assert list(self.account_queue.by_projected_time) == ranked
        weight = sum(a.weight for a in waiting)
        assert abs(self.account_queue.total_weight - weight) < 1e-6


TestLedger = LedgerMachine.TestCase
TestLedger.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=40, stateful_step_count=30
)
