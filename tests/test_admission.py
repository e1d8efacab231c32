"""Admission control under loads above the capacity of a service."""

import heapq
import random

import pytest

from chicorydoor.balancing import admission

_SLOTS = 40
_SERVICE_S = 0.2
_OBJECTIVE_S = 0.5
_DEADLINE_S = 1.5
_CAPACITY_PER_S = _SLOTS / _SERVICE_S


def _expectation(**changes):
    values = {
        "elapsed_s": 0.0,
        "latency_s": 0.3,
        "wait_s": 0.1,
        "objective_s": 0.5,
    }
    return admission.Expectation(**(values | changes))


def _count_in_time(requests_per_s, has_admission, seconds=20.0, seed=1):
    """Count what one queue for all slots answers within the objective."""
    rng = random.Random(seed)
    free_at = [0.0] * _SLOTS
    now, in_time = 0.0, 0
    while now < seconds:
        now += rng.expovariate(requests_per_s)
        wait_s = max(0.0, free_at[0] - now)
        latency_s = wait_s + _SERVICE_S
        expected = admission.Expectation(0.0, latency_s, wait_s, _OBJECTIVE_S)
        if has_admission and not admission.admits(expected):
            continue
        if wait_s > _DEADLINE_S:
            continue
        service_s = _SERVICE_S * rng.uniform(0.7, 1.3)
        heapq.heapreplace(free_at, max(now, free_at[0]) + service_s)
        in_time += wait_s + service_s <= _OBJECTIVE_S
    return in_time


class TestOverload:
    # Guards against queues in which every request waits until it is late.
    @pytest.mark.parametrize("load", [1.1, 1.5, 3.0])
    def test_capacity_is_used_in_time(self, load):
        offered_per_s = load * _CAPACITY_PER_S
        bound = _CAPACITY_PER_S * 20.0
        assert _count_in_time(offered_per_s, True) >= 0.8 * bound
        assert _count_in_time(offered_per_s, False) < 0.5 * bound

    def test_nothing_is_refused_below_the_capacity(self):
        offered_per_s = 0.8 * _CAPACITY_PER_S
        with_admission = _count_in_time(offered_per_s, True)
        assert with_admission == _count_in_time(offered_per_s, False)


class TestDecision:
    def test_request_that_is_expected_in_time_is_sent(self):
        assert admission.admits(_expectation(wait_s=0.2, latency_s=0.45))

    def test_request_that_waits_until_it_is_late_is_refused(self):
        assert not admission.admits(_expectation(wait_s=0.4, latency_s=0.6))

    def test_time_since_the_arrival_counts(self):
        waiting = {"wait_s": 0.2, "latency_s": 0.4}
        assert admission.admits(_expectation(**waiting))
        assert not admission.admits(_expectation(elapsed_s=0.2, **waiting))

    # Guards against late answers refused although a slot would stay unused.
    def test_late_request_is_sent_to_a_free_slot(self):
        assert admission.admits(_expectation(wait_s=0.0, latency_s=2.0))

    # Guards against objects that no target has cached and none ever loads.
    def test_request_that_is_late_anyway_waits_a_little(self):
        assert admission.admits(_expectation(wait_s=0.2, latency_s=1.0))
        assert not admission.admits(_expectation(wait_s=0.3, latency_s=1.1))


class TestRetryAfter:
    def test_returns_are_spread_around_the_wait(self):
        expected = _expectation(wait_s=0.4)
        times = [
            admission.retry_after_s(expected, fraction)
            for fraction in (0.0, 0.5, 1.0)
        ]
        assert times == pytest.approx([0.2, 0.4, 0.6])

    def test_no_caller_is_sent_back_at_once(self):
        expected = _expectation(wait_s=0.001)
        assert admission.retry_after_s(expected, 0.0) >= 0.05
