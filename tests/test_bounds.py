"""Cold rates and retry budgets while entries are killed, paused and cut off.

Judged from all sends of all entries, as targets would see them.
"""

import bisect
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from chicorydoor.soak import windows
from chicorydoor.state import cold_limits
from chicorydoor.state import retry_budget

_ENTRIES = 6
_STEP_S = 0.02
_STEPS_A_TURN = 50
_SCRIPT = st.lists(
    st.tuples(
        st.sampled_from(["kill", "pause", "go", "lose", "find"]),
        st.integers(0, _ENTRIES - 1),
    ),
    min_size=4,
    max_size=12,
)


class _ColdFleet:
    """Entries that all want to send to one cold target all the time."""

    rate_per_s = 15.0

    def __init__(self):
        self.names = [f"e{i}" for i in range(_ENTRIES)]
        self.unknown = set()
        self.paused = set()
        self.limits = [self._new(name) for name in self.names]
        self.sent = []

    def _new(self, name):
        return cold_limits.ColdLimits(name, lambda: self._members(name))

    def _members(self, name):
        # Nobody forgets itself; what a side of a cut has lost it may have
        # forgotten for good.
        return [
            each
            for each in self.names
            if each == name or each not in self.unknown
        ]

    def act(self, action, index):
        match action:
            case "kill":
                self.limits[index] = self._new(self.names[index])
            case "pause":
                self.paused.add(index)
            case "go":
                self.paused.discard(index)
            case "lose":
                self.unknown = {self.names[index]}
            case "find":
                self.unknown = set()

    def step(self, now):
        for index, limits in enumerate(self.limits):
            if index not in self.paused and limits.may_send("t", now):
                limits.note_sent("t", self.rate_per_s, now)
                self.sent.append(now)


class TestColdRate:
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(_SCRIPT)
    def test_bound(self, script):
        fleet = _ColdFleet()
        now = 0.0
        for action, index in script:
            fleet.act(action, index)
            for _ in range(_STEPS_A_TURN):
                now += _STEP_S
                fleet.step(now)
        assert windows.busiest(fleet.sent, 1.0) <= 1.5 * fleet.rate_per_s + 5


class _RetryFleet:
    """Entries whose service fails: every request wants a second send."""

    ratio, slack, window_s = 0.2, 56.0, 10.0

    def __init__(self):
        self.paused = set()
        self.budgets = [self._new() for _ in range(_ENTRIES)]
        self.requests = []
        self.retries = []

    def _new(self):
        return retry_budget.RetryBudget(self.ratio, self.slack, self.window_s)

    def act(self, action, index):
        match action:
            case "kill":
                self.budgets[index] = self._new()
            case "pause":
                self.paused.add(index)
            case "go":
                self.paused.discard(index)

    def step(self, now, rng):
        for index, budget in enumerate(self.budgets):
            if index in self.paused or rng.random() > 0.5:
                continue
            budget.note_request(now)
            self.requests.append(now)
            if budget.try_spend(now, _ENTRIES):
                self.retries.append(now)


class TestRetryBudget:
    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(_SCRIPT, st.integers(0, 1000))
    def test_bound(self, script, seed):
        fleet = _RetryFleet()
        rng = random.Random(seed)
        now = 0.0
        for action, index in script:
            fleet.act(action, index)
            for _ in range(_STEPS_A_TURN):
                now += _STEP_S
                fleet.step(now, rng)
        for end, at in enumerate(fleet.retries):
            start = at - fleet.window_s
            spent = end - bisect.bisect_right(fleet.retries, start) + 1
            until = bisect.bisect_right(fleet.requests, at)
            asked = until - bisect.bisect_right(fleet.requests, start)
            assert spent <= fleet.ratio * asked + fleet.slack
