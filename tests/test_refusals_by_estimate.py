"""Requests are refused as too late by measurements, never by estimates.

Load pattern: a route gets requests at targets that nothing is known of, all
cold, with objectives and timeouts that do not fit the real processing time.
"""

import asyncio
import random
import types

import pytest

from chicorydoor.coordination import call_runner
from chicorydoor.coordination import request_types
from chicorydoor.coordination import target_selection
from chicorydoor.coordination import target_sender
from chicorydoor.protocol import admitted_request
from chicorydoor.state import request_crashes
from chicorydoor.state import send_permits
from chicorydoor.state import target_rate_limits
from chicorydoor.state import target_rests
from chicorydoor.state import target_views
from chicorydoor.transport import buffered_connection
from tests.support import clocks
from tests.support import config_builders as make

_ROUND_TRIP_S = 0.002


class _Targets:
    """An entry whose targets take a given time for each request."""

    def __init__(self, processing_s, *, cold_for_s=0.0, count=9):
        self.clock = clocks.ManualClock()
        self.processing_s = processing_s
        self.targets = target_views.TargetViews(make.REGION_BY_DOMAIN)
        for index in range(count):
            record = make.build_target_registration(
                f"t{index}", "na", warm_up_remaining_s=cold_for_s
            )
            self.targets.add_or_update(record, self.clock.now())
        instances = ["e"]
        self.selection = target_selection.TargetSelection(
            targets=self.targets,
            region="n",
            round_trip_s=lambda region: _ROUND_TRIP_S,
            may_send_first=lambda view: True,
            permits=send_permits.SendPermits(
                target_rests.TargetRests(),
                target_rate_limits.TargetRateLimits(
                    "e", lambda: instances, lambda region: instances
                ),
                types.SimpleNamespace(may_send=lambda target_id, now: True),
                lambda service_id: 0.0,
            ),
            rng=random.Random(1),
        )
        self.sent_count = 0
        self._runner = call_runner.CallRunner(
            selection=self.selection,
            sender=self,
            relay=types.SimpleNamespace(is_needed=lambda service_id: False),
            make_retry_budget=lambda: types.SimpleNamespace(
                record_request=lambda now: None,
                try_acquire=lambda now, entries: True,
            ),
            crashes=request_crashes.RequestCrashes("e", lambda: instances),
            count_entries=lambda: 1,
            clock=self.clock,
        )

    async def send(self, call, choice):
        """Answer after the processing time, as the real sender records it."""
        self.sent_count += 1
        view, now = choice.target, self.clock.now()
        view.has_received_requests = True
        if now + self.processing_s > call.deadline:
            self.clock.now_s = max(now, call.deadline)
            return target_sender.SendResult(
                target_sender.SendOutcome.UNKNOWN, view.target_id
            )
        self.clock.now_s += self.processing_s
        now = self.clock.now()
        view.record_answer(
            self.processing_s / choice.expected_latency_s, False, now
        )
        if not choice.is_cold:
            self.selection.processing_times.record(
                call.route, choice.is_cached, self.processing_s, now
            )
        answer = buffered_connection.BufferedResponse(200, [], b"")
        return target_sender.SendResult(
            target_sender.SendOutcome.ANSWERED, view.target_id, answer
        )

    def call(self, affinity_key=b"7", **route_changes):
        """Run one request; whether it was served."""
        route = make.build_route_config(**route_changes)
        now = self.clock.now()
        call = admitted_request.AdmittedRequest(
            method=b"GET",
            request_target=b"/read/1",
            headers=[],
            body_chunks=(),
            request_id=b"r1",
            affinity_key=affinity_key,
            route=route,
            customer=None,
            arrived_at=now,
            deadline=now + route.timeout_s,
        )
        try:
            asyncio.run(self._runner.run(call, call_runner.CallTrace()))
        except request_types.RefusedError:
            return False
        return True


class TestWithoutMeasurement:
    # Guards against a route that gets no request sent, so that nothing is
    # ever measured: its estimate was longer than its timeout.
    @pytest.mark.parametrize("cold_for_s", [0.0, 60.0])
    @pytest.mark.parametrize("latency_objective_s", [0.2, 1.2, 8.0])
    def test_timeout_shorter_than_the_estimate(
        self, latency_objective_s, cold_for_s
    ):
        targets = _Targets(1.8, cold_for_s=cold_for_s)
        served = [
            targets.call(
                b"%d" % number,
                latency_objective_s=latency_objective_s,
                timeout_s=2.5,
                is_idempotent=False,
            )
            for number in range(40)
        ]
        assert all(served)

    def test_failures_of_a_target_refuse_nothing(self):
        targets = _Targets(0.5, count=1)
        view = targets.targets.target_by_id["t0"]
        for _ in range(20):
            view.record_answer(1.0, True, targets.clock.now())
        assert targets.call(timeout_s=1.0, latency_objective_s=1.0)


class TestMeasurements:
    def test_queue_that_outlasts_the_timeout_refuses(self):
        targets = _Targets(1.0, count=1)
        assert targets.call(timeout_s=1.5)
        now = targets.clock.now()
        targets.targets.target_by_id["t0"].record_load(30, now)
        assert not targets.call(timeout_s=1.5)
        assert targets.sent_count == 1

    def test_processing_that_outlasts_the_timeout_refuses(self):
        targets = _Targets(1.0, count=1)
        assert targets.call(timeout_s=1.5)
        assert not targets.call(timeout_s=0.5)
        assert targets.sent_count == 1

    # Guards against refusals that keep away the requests whose times would
    # show that the targets have become faster.
    def test_old_measurement_refuses_nothing(self):
        targets = _Targets(1.8, count=1)
        assert targets.call(timeout_s=2.0)
        targets.processing_s = 0.1
        assert not targets.call(timeout_s=1.0)
        targets.clock.now_s += 6.0
        assert targets.call(timeout_s=1.0)
        # The mean of old and new times still exceeds the timeout of some.
        targets.clock.now_s += 6.0
        assert targets.call(timeout_s=0.5)
