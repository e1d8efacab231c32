"""Reports on targets between region peers that each send few requests."""

import msgspec
import pytest

from chicorydoor.state import target_report
from chicorydoor.state import target_views
from tests.support import config_builders as make


class _EarlierReport(msgspec.Struct, array_like=True):
    """A report as builds before the slowdown and the ages have it."""

    target_id: str
    started_ms: int
    reported_load: int
    answers: int
    failures: int
    latency_ratio_percent: int


def _new_targets(expects_overload=False):
    """The targets that an entry knows, and its view of the only one."""
    targets = target_views.TargetViews(make.REGION_BY_DOMAIN, expects_overload)
    targets.add_or_update(make.build_target_registration("t"), 0.0)
    return targets, targets.target_by_id["t"]


class TestReports:
    def test_load_reported_by_a_peer_is_applied(self):
        local_targets, view = _new_targets()
        peer_targets, peer_view = _new_targets()
        peer_view.record_load(9, 1.0)
        local_targets.apply_reports(peer_targets.pop_reports(1.0), 1.0)
        assert view.estimated_requests(1.0) == 9.0

    def test_own_requests_are_not_counted_twice(self):
        local_targets, view = _new_targets()
        peer_targets, peer_view = _new_targets()
        view.own_requests_in_flight = 2
        peer_view.record_load(9, 1.0)
        local_targets.apply_reports(peer_targets.pop_reports(1.0), 1.0)
        assert view.estimated_requests(1.0) == 9.0

    # Guards against the load in a heartbeat, up to 0.8 s old, replacing one
    # that is newer, or counting as new where overload is expected.
    def test_load_reported_by_a_peer_counts_with_its_age(self):
        local_targets, view = _new_targets(expects_overload=True)
        peer_targets, peer_view = _new_targets()
        peer_view.record_load(9, 0.2)
        reports = peer_targets.pop_reports(1.0)
        assert reports[0].load_age_ms == 800
        local_targets.apply_reports(reports, 1.0)
        assert view.load_age_s(1.0) == pytest.approx(0.8)
        view.record_load(3, 1.1)
        local_targets.apply_reports(reports, 1.2)
        assert view.estimated_requests(1.1) == 3.0

    # Guards against builds that run side by side during an upgrade.
    def test_reports_of_earlier_builds_and_to_them_are_read(self):
        _, view = _new_targets()
        view.record_load(9, 0.2)
        new = view.pop_report(1.0)
        encode, decode = msgspec.msgpack.encode, msgspec.msgpack.decode
        old = decode(encode(new), type=_EarlierReport)
        assert (old.reported_load, old.latency_ratio_percent) == (9, 100)
        read = decode(encode(old), type=target_report.TargetReport)
        assert (read.reported_load, read.load_age_ms) == (9, 0)
        assert (read.slowdown_percent, read.slowdown_age_ms) == (-1, 0)

    def test_slowdown_reported_by_a_peer_counts_with_its_age(self):
        local_targets, view = _new_targets()
        peer_targets, peer_view = _new_targets()
        peer_view.record_slowdown(2.5, 0.4)
        local_targets.apply_reports(peer_targets.pop_reports(1.0), 1.0)
        assert view.slowdown(1.0) == peer_view.slowdown(1.0)

    def test_older_slowdown_does_not_replace_a_newer_one(self):
        local_targets, view = _new_targets()
        peer_targets, peer_view = _new_targets()
        peer_view.record_slowdown(2.5, 0.4)
        view.record_slowdown(1.0, 0.8)
        local_targets.apply_reports(peer_targets.pop_reports(1.0), 1.0)
        assert view.slowdown(1.0) == 1.0

    def test_single_requests_of_many_peers_show_a_failing_target(self):
        local_targets, view = _new_targets()
        for _ in range(30):
            peer_targets, peer_view = _new_targets()
            peer_view.record_answer(1.0, True, 1.0)
            local_targets.apply_reports(peer_targets.pop_reports(1.0), 1.0)
        assert view.failure_share(1.0) > 0.7

    def test_single_requests_of_many_peers_show_a_slow_target(self):
        local_targets, view = _new_targets()
        for _ in range(30):
            peer_targets, peer_view = _new_targets()
            peer_view.record_answer(4.0, False, 1.0)
            local_targets.apply_reports(peer_targets.pop_reports(1.0), 1.0)
        assert view.latency_ratio(1.0) > 3.0

    def test_each_observation_is_reported_once(self):
        peer_targets, peer_view = _new_targets()
        peer_view.record_answer(1.0, True, 1.0)
        assert len(peer_targets.pop_reports(1.0)) == 1
        assert peer_targets.pop_reports(1.0) == []

    def test_observations_of_peers_are_not_passed_on(self):
        local_targets, _ = _new_targets()
        peer_targets, peer_view = _new_targets()
        peer_view.record_answer(1.0, True, 1.0)
        local_targets.apply_reports(peer_targets.pop_reports(1.0), 1.0)
        assert local_targets.pop_reports(1.0) == []

    def test_report_on_another_incarnation_is_ignored(self):
        local_targets, view = _new_targets()
        peer_targets = target_views.TargetViews(make.REGION_BY_DOMAIN)
        peer_targets.add_or_update(
            make.build_target_registration("t", started_ms=2), 0.0
        )
        peer_targets.target_by_id["t"].record_answer(1.0, True, 1.0)
        local_targets.apply_reports(peer_targets.pop_reports(1.0), 1.0)
        assert view.failure_share(1.0) == 0.0
        assert not view.has_received_requests
