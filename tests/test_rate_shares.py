"""Customers' rates over all entries, also when entries are cut off."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from chicorydoor.soak import windows
from chicorydoor.state import rate_shares
from tests.support import serving as make

_STEP_S = 0.05
_BEAT_S = 0.4
_WINDOW_S = 5.0
_ALLOWANCE = rate_shares.RateAllowance(overage=0.1, slack=20.0)


class _Fleet:
    """Entries that exchange reports, some of them cut off at times."""

    def __init__(self, entries, customer):
        self.customer = customer
        self.now = 0.0
        self.shares = [
            rate_shares.RateShares(_ALLOWANCE) for _ in range(entries)
        ]
        self.heard = [[None] * entries for _ in range(entries)]
        self.cut_off = set()
        self.is_running = [True] * entries
        self.admitted = []
        self.refused = 0
        self.offered = 0
        self._beat_at = [0.0] * entries

    def step(self, demand_by_entry, rng):
        """Advance; each entry gets its demand as random arrivals."""
        self.now += _STEP_S
        for index, shares in enumerate(self.shares):
            if not self.is_running[index]:
                continue
            if self.now >= self._beat_at[index]:
                self._beat_at[index] = self.now + _BEAT_S
                self._beat(index)
            mean = demand_by_entry[index] * _STEP_S
            for _ in range(_arrivals(mean, rng)):
                self.offered += 1
                if shares.take(self.customer, self.now) == 0.0:
                    self.admitted.append(self.now)
                else:
                    self.refused += 1

    def _beat(self, index):
        peers = [
            rate_shares.Reported(1, report)
            for other, report in enumerate(self.heard[index])
            if other != index
        ]
        self.shares[index].rebalance([self.customer], peers, self.now)
        if index in self.cut_off:
            return
        report = self.shares[index].reports()
        for other in range(len(self.shares)):
            if other != index and other not in self.cut_off:
                self.heard[other][index] = report

    def restart(self, index):
        self.shares[index] = rate_shares.RateShares(_ALLOWANCE)
        self.heard[index] = [None] * len(self.shares)

    def most_in_a_window(self):
        return windows.busiest(self.admitted, _WINDOW_S)

    def bound(self):
        customer = self.customer
        limit = customer.rate_per_s * _WINDOW_S + customer.burst
        return limit * (1 + _ALLOWANCE.overage) + _ALLOWANCE.slack


def _arrivals(mean, rng):
    count = int(mean)
    return count + (rng.random() < mean - count)


class TestBound:
    def test_demand_far_beyond_the_rate(self):
        fleet = _Fleet(8, make.customer(rate_per_s=100.0, burst=100.0))
        rng = random.Random(1)
        for _ in range(600):
            fleet.step([100.0] * 8, rng)
        assert fleet.most_in_a_window() <= fleet.bound()

    def test_demand_that_moves(self):
        fleet = _Fleet(8, make.customer(rate_per_s=100.0, burst=100.0))
        rng = random.Random(2)
        for step in range(1200):
            busy = (step // 100) % 8
            demand = [200.0 if i == busy else 5.0 for i in range(8)]
            fleet.step(demand, rng)
        assert fleet.most_in_a_window() <= fleet.bound()

    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["cut", "heal", "pause", "go", "restart"]),
                st.integers(0, 5),
                st.integers(0, 5),
            ),
            min_size=4,
            max_size=10,
        ),
        st.integers(0, 1000),
    )
    def test_cuts_pauses_and_restarts(self, script, seed):
        fleet = _Fleet(6, make.customer(rate_per_s=80.0, burst=80.0))
        rng = random.Random(seed)
        for action, index, busy in script:
            _apply(fleet, action, index)
            demand = [120.0 if i == busy else 40.0 for i in range(6)]
            for _ in range(40):
                fleet.step(demand, rng)
        assert fleet.most_in_a_window() <= fleet.bound()


def _apply(fleet, action, index):
    match action:
        case "cut":
            fleet.cut_off.add(index)
        case "heal":
            fleet.cut_off.discard(index)
        case "pause":
            fleet.is_running[index] = False
        case "go":
            fleet.is_running[index] = True
        case "restart":
            fleet.restart(index)


class TestService:
    def test_skewed_demand_inside_the_rate_is_served(self):
        fleet = _Fleet(8, make.customer(rate_per_s=100.0, burst=100.0))
        rng = random.Random(3)
        demand = [50.0, 10.0, 0.0, 0.0, 0.0, 0.0, 0.0, 2.0]
        for _ in range(100):
            fleet.step(demand, rng)
        fleet.refused = fleet.offered = 0
        for _ in range(1000):
            fleet.step(demand, rng)
        assert fleet.refused <= 0.005 * fleet.offered

    def test_no_limit(self):
        shares = rate_shares.RateShares(_ALLOWANCE)
        assert shares.take(make.customer(), 1.0) == 0.0

    def test_token_of_a_request_that_did_not_run_comes_back(self):
        customer = make.customer(rate_per_s=1.0, burst=2.0)
        shares = rate_shares.RateShares(_ALLOWANCE)
        shares.rebalance([customer], [], 0.0)
        shares.rebalance([customer], [], 30.0)
        while shares.take(customer, 30.0) == 0.0:
            pass
        shares.give_back(customer, 30.0)
        assert shares.take(customer, 30.0) == 0.0

    def test_isolated_entry_shrinks_to_its_equal_part(self):
        customer = make.customer(rate_per_s=100.0, burst=100.0)
        shares = rate_shares.RateShares(_ALLOWANCE)
        others = [rate_shares.Reported(3, {})]
        shares.rebalance([customer], others, 0.0)
        shares.rebalance([customer], others, 1.0, is_isolated=True)
        assert shares.reports()["kivuli"].share <= 0.25 / 4
