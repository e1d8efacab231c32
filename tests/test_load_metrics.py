"""Metrics of the spread of load and of the age of reports."""

import prometheus_client
import pytest

from chicorydoor.coordination import load_metrics
from chicorydoor.state import target_views
from tests.support import clocks
from tests.support import config_builders as make


def _sample(name, **labels):
    return prometheus_client.REGISTRY.get_sample_value(
        f"chicorydoor_{name}", labels
    )


class TestLoadMetrics:
    def new_metrics(self, service, loads):
        self.clock = clocks.ManualClock()
        self.targets = target_views.TargetViews(make.REGION_BY_DOMAIN, True)
        now = self.clock.now()
        for index, load in enumerate(loads):
            registration = make.build_target_registration(
                f"{service}-{index}", service=service
            )
            view = self.targets.add_or_update(registration, now)
            view.record_load(load, now)
        return load_metrics.LoadMetrics(self.targets, self.clock)

    # Guards against operators reading the spread of another quantity than
    # the one that targets are chosen by.
    def test_spread_is_busiest_over_mean(self):
        self.new_metrics("spread", [2, 4, 12]).update()
        name = "target_requests_per_slot"
        assert _sample(name, service="spread") == pytest.approx(1.5)
        name = "target_load_spread"
        assert _sample(name, service="spread") == pytest.approx(2.0)

    def test_idle_or_unusable_targets_are_even(self):
        self.new_metrics("idle", [0, 0]).update()
        assert _sample("target_load_spread", service="idle") == 1.0
        updater = self.new_metrics("lost", [5])
        view = self.targets.target_by_id["lost-0"]
        self.targets.set_reach(view, target_views.Reach.UNREACHABLE)
        updater.update()
        assert _sample("target_load_spread", service="lost") == 1.0

    # Guards against metrics of services that were removed long ago.
    def test_removed_service_has_no_metrics(self):
        updater = self.new_metrics("gone", [3])
        updater.update()
        self.targets.remove("gone-0")
        self.clock.now_s += 2.0
        updater.update()
        assert _sample("target_load_spread", service="gone") is None

    def test_age_of_reports_at_targets_that_hold_requests(self):
        updater = self.new_metrics("age", [3, 3])
        self.targets.target_by_id["age-0"].own_requests_in_flight = 1
        before = _sample("load_report_age_seconds_sum")
        self.clock.now_s += 0.4
        updater.update()
        updater.update()  # too early, changes nothing
        after = _sample("load_report_age_seconds_sum")
        assert after - before == pytest.approx(0.4)
