"""Which services an entry reaches."""

import logging

import pytest

from chicorydoor.state import service_reach
from chicorydoor.state import target_views
from tests.support import config_builders as make


@pytest.fixture
def targets():
    views = target_views.TargetViews({"na": "n"})
    for name in ("t0", "t1", "t2", "t3"):
        views.add_or_update(make.build_target_registration(name), 0.0)
    return views


@pytest.fixture
def reach(targets):
    return service_reach.ServiceReach(targets)


def _eject(targets, *names):
    for name in names:
        targets.set_reach(
            targets.target_by_id[name], target_views.Reach.UNREACHABLE
        )


class TestServiceReach:
    def test_a_quarter_of_the_targets_is_enough(self, targets, reach):
        targets.add_or_update(make.build_target_registration("t4"), 0.0)
        _eject(targets, "t0", "t1", "t2")
        assert not reach.out_of_reach
        _eject(targets, "t3")
        assert reach.out_of_reach == {"svc"}
        assert not reach.is_cut_off
        _eject(targets, "t4")
        assert reach.is_cut_off

    def test_one_service_out_of_reach_is_no_cut(self, targets, reach):
        targets.add_or_update(
            make.build_target_registration("u0", service="u"), 0.0
        )
        _eject(targets, "t0", "t1", "t2", "t3")
        assert reach.out_of_reach == {"svc"}
        assert not reach.is_cut_off

    def test_evacuated_targets_do_not_count(self, targets, reach):
        targets.set_evacuated_domains({"na"}, 0.0)
        _eject(targets, "t0", "t1", "t2", "t3")
        assert not reach.out_of_reach
        assert not reach.is_cut_off

    def test_both_changes_are_logged(self, targets, reach, caplog):
        caplog.set_level(logging.INFO)
        _eject(targets, "t0", "t1", "t2", "t3")
        reach.refresh()
        reach.refresh()
        for view in targets.target_by_id.values():
            targets.set_reach(view, target_views.Reach.IN_USE)
        reach.refresh()
        assert [record.message for record in caplog.records] == [
            "service out of reach",
            "service back in reach",
        ]


class TestManyTargets:
    # Guards against an entry that stands still for seconds while it learns of
    # more than a thousand targets, or loses them, at once.
    def test_work_is_in_proportion_to_the_changes(self, monkeypatch):
        checks = []
        should_get_requests = target_views.TargetViews.should_get_requests

        def count_check(views, view):
            checks.append(view)
            return should_get_requests(views, view)

        monkeypatch.setattr(
            target_views.TargetViews, "should_get_requests", count_check
        )
        targets = target_views.TargetViews({"na": "n"})
        reach = service_reach.ServiceReach(targets)
        count = 500
        for number in range(count):
            targets.add_or_update(
                make.build_target_registration(f"t{number}"), 0.0
            )
            reach.refresh()
        for number in range(count):
            _eject(targets, f"t{number}")
            assert reach.is_cut_off is (number == count - 1)
        # A registration and an ejection of each target.
        assert len(checks) <= 2 * count
