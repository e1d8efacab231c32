"""Reports on targets between region peers that each send few requests."""

from chicorydoor.state import target_views
from tests.support import config_builders as make


def _new_targets():
    """The targets that an entry knows, and its view of the only one."""
    targets = target_views.TargetViews(make.REGION_BY_DOMAIN)
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
