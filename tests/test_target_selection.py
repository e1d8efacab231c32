"""Choice of targets: objects, load, distance, cold targets, homes."""

import collections
import random

from chicorydoor.coordination import target_selection
from chicorydoor.state import target_book
from tests.support import serving as make

_DISTANCE = {"n": 0.001, "m": 0.11, "k": 0.11}


class _Fixture:
    def __init__(self, records, region="n"):
        self.book = target_book.TargetBook(make.REGION_BY_DOMAIN)
        for record in records:
            self.book.put(record, 0.0)
        self.cold_allowed = True
        self.selection = target_selection.TargetSelection(
            book=self.book,
            region=region,
            distance_s=_DISTANCE.__getitem__,
            may_send_cold=lambda view: self.cold_allowed,
            rng=random.Random(1),
        )
        for view in self.book.target_by_id.values():
            view.has_worked = True

    def choose(self, affinity=b"7", now=10.0, excluded=(), **changes):
        route = changes.pop("route", None) or make.route()
        subject = target_selection.Subject(
            route,
            changes.get("service_id", "svc"),
            affinity,
            frozenset(changes.get("regions", ())),
        )
        return self.selection.choose(subject, now, excluded)

    def know(self, target_id, affinity=b"7", now=9.0):
        view = self.book.target_by_id[target_id]
        self.selection.memory.note(("read", affinity), view.holder, now)


def _fleet():
    domains = ["na", "nb", "ma", "mb", "ka"]
    return [make.record(f"t{i}", domains[i % 5]) for i in range(20)]


class TestObjects:
    def test_same_target_for_an_object_on_every_entry(self):
        first, second = _Fixture(_fleet()), _Fixture(_fleet())
        for name in range(50):
            affinity = b"%d" % name
            assert (
                first.choose(affinity).view.target_id
                == second.choose(affinity).view.target_id
            )

    def test_objects_spread_over_the_targets(self):
        fixture = _Fixture(_fleet())
        count = collections.Counter(
            fixture.choose(b"%d" % name).view.target_id for name in range(400)
        )
        near = [count[f"t{i}"] for i in range(20) if i % 5 in (0, 1)]
        assert min(near) > 15

    def test_target_that_knows_it_far_away_goes_first(self):
        fixture = _Fixture(_fleet())
        fixture.know("t4")
        choice = fixture.choose()
        assert choice.view.target_id == "t4"
        assert choice.is_known

    def test_new_incarnation_knows_nothing(self):
        fixture = _Fixture(_fleet())
        fixture.know("t4")
        fixture.book.put(make.record("t4", "ka", started_ms=2), 9.5)
        assert fixture.choose().view.target_id != "t4"

    def test_leaves_a_target_with_a_long_queue(self):
        fixture = _Fixture(_fleet())
        fixture.know("t0")
        fixture.book.target_by_id["t0"].own_running = 40
        assert fixture.choose().view.target_id != "t0"

    def test_stays_while_slots_are_free(self):
        fixture = _Fixture(_fleet())
        fixture.know("t0")
        fixture.book.target_by_id["t0"].own_running = 3
        assert fixture.choose().view.target_id == "t0"


class TestBounds:
    def test_other_service_never_serves_though_it_knows_the_object(self):
        records = [*_fleet(), make.record("other", "na", service="old")]
        fixture = _Fixture(records)
        fixture.know("other")
        assert fixture.choose().view.target_id != "other"

    def test_home_regions_bind_though_another_target_knows(self):
        fixture = _Fixture(_fleet())
        fixture.know("t4")
        for name in range(30):
            fixture.know("t4", b"%d" % name)
            choice = fixture.choose(b"%d" % name, regions=["m"])
            assert choice.view.region == "m"

    def test_homes_that_exclude_each_other_leave_nobody(self):
        fixture = _Fixture(_fleet())
        assert fixture.choose(regions=[""]) is None

    def test_evacuated_domain_gets_nothing(self):
        fixture = _Fixture(_fleet())
        fixture.book.set_evacuated({"na", "nb"}, 0.0)
        for name in range(40):
            choice = fixture.choose(b"%d" % name)
            assert choice.view.record.domain not in ("na", "nb")

    def test_tried_targets_are_left_out(self):
        fixture = _Fixture(_fleet())
        tried = []
        for _ in range(20):
            choice = fixture.choose(excluded=tried)
            assert choice.view.target_id not in tried
            tried.append(choice.view.target_id)
        assert fixture.choose(excluded=tried) is None


class TestColdTargets:
    def test_cold_target_only_where_allowed(self):
        records = [
            make.record("cold", "na", cold_remaining_s=60.0),
            make.record("warm", "ka"),
        ]
        fixture = _Fixture(records)
        fixture.know("cold")
        fixture.cold_allowed = False
        assert fixture.choose().view.target_id == "warm"

    def test_targets_taken_back_count_as_cold(self):
        fixture = _Fixture(_fleet())
        fixture.book.set_evacuated({"na"}, 0.0)
        fixture.book.set_evacuated(set(), 20.0)
        view = fixture.book.target_by_id["t0"]
        assert view.is_cold(19.0)
        assert not view.is_cold(21.0)


class TestNewTargets:
    def test_new_target_gets_one_request_of_an_object_it_ranks_first_for(
        self,
    ):
        fixture = _Fixture(_fleet())
        first = fixture.choose().view
        fixture.know("t4")
        assert fixture.choose().view.target_id == "t4"
        first.has_worked = False
        assert fixture.choose().view is first
        first.has_worked = True
        assert fixture.choose().view.target_id == "t4"


class TestObservations:
    def test_failing_target_is_left(self):
        fixture = _Fixture(_fleet())
        fixture.know("t0")
        fixture.know("t1")
        view = fixture.book.target_by_id["t0"]
        for _ in range(10):
            view.note_answer(1.0, True, 10.0)
        assert fixture.choose().view.target_id == "t1"

    def test_slow_target_is_left_and_tried_again_later(self):
        fixture = _Fixture(_fleet())
        fixture.know("t0")
        view = fixture.book.target_by_id["t0"]
        for _ in range(20):
            view.note_answer(10.0, False, 10.0)
        assert fixture.choose().view.target_id != "t0"
        assert fixture.choose(now=40.0).view.target_id == "t0"

    def test_reported_load_of_others_counts_and_fades(self):
        fixture = _Fixture(_fleet())
        view = fixture.book.target_by_id["t0"]
        view.note_load(30, 10.0)
        assert view.running(10.0) == 30
        assert view.running(20.0) < 1

    def test_target_that_answers_others_is_slow_not_silent(self):
        fixture = _Fixture(_fleet())
        view = fixture.book.target_by_id["t0"]
        for _ in range(5):
            view.note_answer(1.0, False, 10.5)
            assert not view.note_lost(sent_at=10.0, now=11.0)

    def test_silent_target_is_noticed(self):
        fixture = _Fixture(_fleet())
        view = fixture.book.target_by_id["t0"]
        view.note_answer(1.0, False, 9.0)
        assert not view.note_lost(sent_at=10.0, now=11.0)
        assert view.note_lost(sent_at=10.0, now=11.0)
