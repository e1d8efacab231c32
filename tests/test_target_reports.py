"""Reports on targets between region peers that each send few requests."""

from chicorydoor.state import target_book
from tests.support import serving as make


def _registry_with_target():
    registry = target_book.TargetBook(make.REGION_BY_DOMAIN)
    registry.put(make.record("t"), 0.0)
    return registry, registry.target_by_id["t"]


class TestReports:
    def test_load_reported_by_a_peer_is_applied(self):
        local_registry, view = _registry_with_target()
        peer_registry, peer_view = _registry_with_target()
        peer_view.note_load(9, 1.0)
        local_registry.hear(peer_registry.take_reports(), 1.0)
        assert view.running(1.0) == 9.0

    def test_own_requests_are_not_counted_twice(self):
        local_registry, view = _registry_with_target()
        peer_registry, peer_view = _registry_with_target()
        view.own_running = 2
        peer_view.note_load(9, 1.0)
        local_registry.hear(peer_registry.take_reports(), 1.0)
        assert view.running(1.0) == 9.0

    def test_single_requests_of_many_peers_show_a_failing_target(self):
        local_registry, view = _registry_with_target()
        for _ in range(30):
            peer_registry, peer_view = _registry_with_target()
            peer_view.note_answer(1.0, True, 1.0)
            local_registry.hear(peer_registry.take_reports(), 1.0)
        assert view.failure_share(1.0) > 0.7

    def test_single_requests_of_many_peers_show_a_slow_target(self):
        local_registry, view = _registry_with_target()
        for _ in range(30):
            peer_registry, peer_view = _registry_with_target()
            peer_view.note_answer(4.0, False, 1.0)
            local_registry.hear(peer_registry.take_reports(), 1.0)
        assert view.slowness(1.0) > 3.0

    def test_each_observation_is_reported_once(self):
        peer_registry, peer_view = _registry_with_target()
        peer_view.note_answer(1.0, True, 1.0)
        assert len(peer_registry.take_reports()) == 1
        assert peer_registry.take_reports() == []

    def test_observations_of_peers_are_not_passed_on(self):
        local_registry, _ = _registry_with_target()
        peer_registry, peer_view = _registry_with_target()
        peer_view.note_answer(1.0, True, 1.0)
        local_registry.hear(peer_registry.take_reports(), 1.0)
        assert local_registry.take_reports() == []

    def test_report_on_another_incarnation_is_ignored(self):
        local_registry, view = _registry_with_target()
        peer_registry = target_book.TargetBook(make.REGION_BY_DOMAIN)
        peer_registry.put(make.record("t", started_ms=2), 0.0)
        peer_registry.target_by_id["t"].note_answer(1.0, True, 1.0)
        local_registry.hear(peer_registry.take_reports(), 1.0)
        assert view.failure_share(1.0) == 0.0
        assert not view.has_worked
