"""Limits of cold starts and retries under kills, pauses and partitions.

Checks the sends of all entries together, as targets and services receive
them: restarted or partitioned entries must not exceed the fleet-wide limits.
"""

import bisect
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from chicorydoor.soak import sliding_windows
from chicorydoor.state import cold_start_limits
from chicorydoor.state import service_retry_budget

_ENTRIES = 6
_STEP_S = 0.02
_STEPS_PER_ACTION = 50
_ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["kill", "pause", "resume", "remove", "rejoin"]),
        st.integers(0, _ENTRIES - 1),
    ),
    min_size=4,
    max_size=12,
)


class _ColdFleet:
    """Entries that all want to send to the same cold target at any time."""

    rate_per_s = 15.0

    def __init__(self):
        self.names = [f"e{i}" for i in range(_ENTRIES)]
        self.removed = set()
        self.paused = set()
        self.limits = [self._new_limits(name) for name in self.names]
        self.sent = []

    def _new_limits(self, name):
        return cold_start_limits.ColdStartLimits(
            name, lambda: self._known_instances(name)
        )

    def _known_instances(self, name):
        # An entry always lists itself, while the others may have removed it
        # as gone, for example on one side of a partition.
        return [
            each
            for each in self.names
            if each == name or each not in self.removed
        ]

    def apply_action(self, action, index):
        match action:
            case "kill":
                self.limits[index] = self._new_limits(self.names[index])
            case "pause":
                self.paused.add(index)
            case "resume":
                self.paused.discard(index)
            case "remove":
                self.removed = {self.names[index]}
            case "rejoin":
                self.removed = set()

    def step(self, now):
        for index, limits in enumerate(self.limits):
            if index not in self.paused and limits.may_send("t", now):
                limits.record_sent("t", self.rate_per_s, now)
                self.sent.append(now)


class TestColdRate:
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(_ACTIONS)
    def test_sends_stay_within_the_limit(self, actions):
        fleet = _ColdFleet()
        now = 0.0
        for action, index in actions:
            fleet.apply_action(action, index)
            for _ in range(_STEPS_PER_ACTION):
                now += _STEP_S
                fleet.step(now)
        assert (
            sliding_windows.max_events_in_window(fleet.sent, 1.0)
            <= 1.5 * fleet.rate_per_s + 5
        )


class _RetryFleet:
    """Entries of a failing service: every request asks for a retry.

    The actions "remove" and "rejoin" have no effect: the number of entries
    that share the budget is fixed.
    """

    ratio, slack, window_s = 0.2, 56.0, 10.0

    def __init__(self):
        self.paused = set()
        self.budgets = [self._new_budget() for _ in range(_ENTRIES)]
        self.requests = []
        self.retries = []

    def _new_budget(self):
        return service_retry_budget.ServiceRetryBudget(
            self.ratio, self.slack, self.window_s
        )

    def apply_action(self, action, index):
        match action:
            case "kill":
                self.budgets[index] = self._new_budget()
            case "pause":
                self.paused.add(index)
            case "resume":
                self.paused.discard(index)

    def step(self, now, rng):
        for index, budget in enumerate(self.budgets):
            if index in self.paused or rng.random() > 0.5:
                continue
            budget.record_request(now)
            self.requests.append(now)
            if budget.try_acquire(now, _ENTRIES):
                self.retries.append(now)


class TestServiceRetryBudget:
    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(_ACTIONS, st.integers(0, 1000))
    def test_sends_stay_within_the_limit(self, actions, seed):
        fleet = _RetryFleet()
        rng = random.Random(seed)
        now = 0.0
        for action, index in actions:
            fleet.apply_action(action, index)
            for _ in range(_STEPS_PER_ACTION):
                now += _STEP_S
                fleet.step(now, rng)
        for end, at in enumerate(fleet.retries):
            start = at - fleet.window_s
            retry_count = end - bisect.bisect_right(fleet.retries, start) + 1
            until = bisect.bisect_right(fleet.requests, at)
            request_count = until - bisect.bisect_right(fleet.requests, start)
            assert retry_count <= fleet.ratio * request_count + fleet.slack
