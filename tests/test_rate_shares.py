"""Rate shares keep customers' rates over all entries, also in partitions.

The fleet model delivers reports between entries. Guards against sums of
shares above the rate when entries are partitioned, paused or restarted.
"""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from chicorydoor.soak import sliding_windows
from chicorydoor.state import rate_shares
from tests.support import config_builders as make

_STEP_S = 0.05
_HEARTBEAT_S = 0.4
_WINDOW_S = 5.0
_TOLERANCE = rate_shares.RateTolerance(overage=0.1, slack=20.0)


class _Fleet:
    """Entries that exchange reports; some are partitioned at times."""

    def __init__(self, entries, customer):
        self.customer = customer
        self.now = 0.0
        self.shares = [
            rate_shares.RateShares(_TOLERANCE) for _ in range(entries)
        ]
        self.received_reports = [[None] * entries for _ in range(entries)]
        self.partitioned = set()
        self.is_running = [True] * entries
        self.admitted = []
        self.refused = 0
        self.offered = 0
        self._next_heartbeat_at = [0.0] * entries

    def step(self, demand_by_entry, rng):
        """Advance one step; each entry gets its demand as random arrivals."""
        self.now += _STEP_S
        for index, shares in enumerate(self.shares):
            if not self.is_running[index]:
                continue
            if self.now >= self._next_heartbeat_at[index]:
                self._next_heartbeat_at[index] = self.now + _HEARTBEAT_S
                self._send_heartbeat(index)
            mean = demand_by_entry[index] * _STEP_S
            for _ in range(_arrival_count(mean, rng)):
                self.offered += 1
                if shares.acquire(self.customer, self.now) == 0.0:
                    self.admitted.append(self.now)
                else:
                    self.refused += 1

    def _send_heartbeat(self, index):
        peers = [
            rate_shares.AnnouncedRates(1, report)
            for other, report in enumerate(self.received_reports[index])
            if other != index
        ]
        self.shares[index].rebalance([self.customer], peers, self.now)
        if index in self.partitioned:
            return
        report = self.shares[index].full_reports()
        for other in range(len(self.shares)):
            if other != index and other not in self.partitioned:
                self.received_reports[other][index] = report

    def restart(self, index):
        self.shares[index] = rate_shares.RateShares(_TOLERANCE)
        self.received_reports[index] = [None] * len(self.shares)

    def max_admitted_in_window(self):
        return sliding_windows.max_events_in_window(self.admitted, _WINDOW_S)

    def admission_limit(self):
        customer = self.customer
        limit = customer.rate_per_s * _WINDOW_S + customer.burst
        return limit * (1 + _TOLERANCE.overage) + _TOLERANCE.slack


def _arrival_count(mean, rng):
    count = int(mean)
    return count + (rng.random() < mean - count)


class TestAdmissionLimit:
    def test_demand_far_beyond_the_rate(self):
        fleet = _Fleet(
            8, make.build_customer_config(rate_per_s=100.0, burst=100.0)
        )
        rng = random.Random(1)
        for _ in range(600):
            fleet.step([100.0] * 8, rng)
        assert fleet.max_admitted_in_window() <= fleet.admission_limit()

    def test_demand_moves_between_entries(self):
        fleet = _Fleet(
            8, make.build_customer_config(rate_per_s=100.0, burst=100.0)
        )
        rng = random.Random(2)
        for step in range(1200):
            busy_entry = (step // 100) % 8
            demand = [200.0 if i == busy_entry else 5.0 for i in range(8)]
            fleet.step(demand, rng)
        assert fleet.max_admitted_in_window() <= fleet.admission_limit()

    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    ["partition", "heal", "pause", "resume", "restart"]
                ),
                st.integers(0, 5),
                st.integers(0, 5),
            ),
            min_size=4,
            max_size=10,
        ),
        st.integers(0, 1000),
    )
    def test_partitions_pauses_and_restarts(self, script, seed):
        fleet = _Fleet(
            6, make.build_customer_config(rate_per_s=80.0, burst=80.0)
        )
        rng = random.Random(seed)
        for action, index, busy_entry in script:
            _apply_action(fleet, action, index)
            demand = [120.0 if i == busy_entry else 40.0 for i in range(6)]
            for _ in range(40):
                fleet.step(demand, rng)
        assert fleet.max_admitted_in_window() <= fleet.admission_limit()


def _apply_action(fleet, action, index):
    match action:
        case "partition":
            fleet.partitioned.add(index)
        case "heal":
            fleet.partitioned.discard(index)
        case "pause":
            fleet.is_running[index] = False
        case "resume":
            fleet.is_running[index] = True
        case "restart":
            fleet.restart(index)


class TestAdmission:
    def test_skewed_demand_within_the_rate_is_admitted(self):
        fleet = _Fleet(
            8, make.build_customer_config(rate_per_s=100.0, burst=100.0)
        )
        rng = random.Random(3)
        demand = [50.0, 10.0, 0.0, 0.0, 0.0, 0.0, 0.0, 2.0]
        for _ in range(100):
            fleet.step(demand, rng)
        fleet.refused = fleet.offered = 0
        for _ in range(1000):
            fleet.step(demand, rng)
        assert fleet.refused <= 0.005 * fleet.offered

    def test_customer_without_a_rate_is_not_limited(self):
        shares = rate_shares.RateShares(_TOLERANCE)
        assert shares.acquire(make.build_customer_config(), 1.0) == 0.0

    def test_released_token_can_be_acquired_again(self):
        customer = make.build_customer_config(rate_per_s=1.0, burst=2.0)
        shares = rate_shares.RateShares(_TOLERANCE)
        shares.rebalance([customer], [], 0.0)
        shares.rebalance([customer], [], 30.0)
        while shares.acquire(customer, 30.0) == 0.0:
            pass
        shares.release(customer, 30.0)
        assert shares.acquire(customer, 30.0) == 0.0

    def test_isolated_entry_shrinks_to_its_guaranteed_share(self):
        customer = make.build_customer_config(rate_per_s=100.0, burst=100.0)
        shares = rate_shares.RateShares(_TOLERANCE)
        others = [rate_shares.AnnouncedRates(3, {})]
        shares.rebalance([customer], others, 0.0)
        shares.rebalance([customer], others, 1.0, is_isolated=True)
        # Capped at a quarter of the equal share of the four entries.
        assert shares.full_reports()["kivuli"].share <= 0.25 / 4
