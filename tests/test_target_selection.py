"""Target selection: affinity, load, distance, cold targets, regions."""

import collections
import hashlib
import random
import types

import pytest

from chicorydoor.coordination import target_selection
from chicorydoor.state import designated_entries
from chicorydoor.state import send_permits
from chicorydoor.state import target_rate_limits
from chicorydoor.state import target_rests
from chicorydoor.state import target_views
from tests.support import config_builders as make

_Reason = target_selection.SelectionReason
_ROUND_TRIP_S_BY_REGION = {"n": 0.001, "m": 0.11, "k": 0.11}


class _SelectionFixture:
    """The selection of an entry whose targets have all had requests."""

    def __init__(
        self,
        records,
        region="n",
        instance="e",
        instances=("e",),
        round_trip_s_by_region=_ROUND_TRIP_S_BY_REGION,
        expects_overload=False,
        seed=1,
    ):
        self.targets = target_views.TargetViews(
            make.REGION_BY_DOMAIN, expects_overload
        )
        for record in records:
            self.targets.add_or_update(record, 0.0)
        self.cold_allowed = True
        designated = designated_entries.DesignatedEntries(
            instance, lambda: instances
        )
        self.rate_limits = target_rate_limits.TargetRateLimits(
            instance, lambda: instances, lambda region: instances
        )
        self.selection = target_selection.TargetSelection(
            targets=self.targets,
            region=region,
            round_trip_s=round_trip_s_by_region.__getitem__,
            may_send_first=lambda view: designated.includes_this_entry(
                view.target_id
            ),
            permits=send_permits.SendPermits(
                target_rests.TargetRests(),
                self.rate_limits,
                types.SimpleNamespace(
                    may_send=lambda target_id, now: self.cold_allowed
                ),
                lambda service_id: 0.0,
            ),
            rng=random.Random(seed),
        )
        for view in self.targets.target_by_id.values():
            view.has_received_requests = True

    def choose(self, affinity_key=b"7", now=10.0, excluded=(), **changes):
        route = changes.pop("route", None) or make.build_route_config()
        constraints = target_selection.TargetConstraints(
            route,
            changes.get("service_id", "svc"),
            affinity_key,
            frozenset(changes.get("regions", ())),
        )
        return self.selection.choose(constraints, now, excluded)

    def count_choices(self, count, **changes):
        """Chosen target ids; each choice counts as sent."""
        counts = collections.Counter()
        for _ in range(count):
            view = self.choose(**changes).target
            view.own_requests_in_flight += 1
            counts[view.target_id] += 1
        return counts

    def record_cached(self, target_id, affinity_key=b"7", now=9.0):
        view = self.targets.target_by_id[target_id]
        self.selection.cache_index.record_use(
            ("read", affinity_key), view.incarnation_key, now
        )


def _records():
    """Registrations of 20 targets, t0 to t19.

    t0, t1, t5, t6 and so on are in the own region n, t4 is in region k.
    """
    domains = ["na", "nb", "ma", "mb", "ka"]
    return [
        make.build_target_registration(f"t{i}", domains[i % 5])
        for i in range(20)
    ]


class TestAffinity:
    def test_same_target_for_an_object_on_every_entry(self):
        first, second = (
            _SelectionFixture(_records()),
            _SelectionFixture(_records()),
        )
        for number in range(50):
            affinity_key = b"%d" % number
            assert (
                first.choose(affinity_key).target.target_id
                == second.choose(affinity_key).target.target_id
            )

    def test_objects_spread_over_the_targets(self):
        fixture = _SelectionFixture(_records())
        count = collections.Counter(
            fixture.choose(b"%d" % number).target.target_id
            for number in range(400)
        )
        own_region_counts = [
            count[f"t{i}"] for i in range(20) if i % 5 in (0, 1)
        ]
        assert min(own_region_counts) > 15

    def test_remote_target_with_the_object_cached_is_preferred(self):
        fixture = _SelectionFixture(_records())
        fixture.record_cached("t4")
        choice = fixture.choose()
        assert choice.target.target_id == "t4"
        assert choice.is_cached

    def test_restarted_target_has_no_cached_objects(self):
        fixture = _SelectionFixture(_records())
        fixture.record_cached("t4")
        fixture.targets.add_or_update(
            make.build_target_registration("t4", "ka", started_ms=2), 9.5
        )
        assert fixture.choose().target.target_id != "t4"

    def test_target_with_a_long_queue_is_avoided(self):
        fixture = _SelectionFixture(_records())
        fixture.record_cached("t0")
        fixture.targets.target_by_id["t0"].own_requests_in_flight = 40
        assert fixture.choose().target.target_id != "t0"

    def test_target_with_free_slots_keeps_its_object(self):
        fixture = _SelectionFixture(_records())
        fixture.record_cached("t0")
        fixture.targets.target_by_id["t0"].own_requests_in_flight = 3
        assert fixture.choose().target.target_id == "t0"


class TestRemoteHomes:
    # Guards against all requests of a region without homes for them moving
    # together between two regions whose distances differ by chance.
    def test_equally_distant_regions_share_the_objects(self):
        records = [
            make.build_target_registration(f"t{i}", domain)
            for i, domain in enumerate(["na", "nb"] + ["ma", "ka"] * 9)
        ]
        choices_by_round_trip = []
        for round_trips in ({"m": 0.110, "k": 0.111}, {"m": 0.111, "k": 0.11}):
            fixture = _SelectionFixture(
                records, round_trip_s_by_region={"n": 0.001, **round_trips}
            )
            choices = [
                fixture.choose(b"%d" % number).target for number in range(400)
            ]
            counts = collections.Counter(view.region for view in choices)
            # As many targets each; hashing alone makes the counts differ by
            # 4% of the objects (standard deviation).
            assert abs(counts["m"] - counts["k"]) < 0.2 * len(choices)
            choices_by_round_trip.append([view.target_id for view in choices])
        assert choices_by_round_trip[0] == choices_by_round_trip[1]

    def test_nearer_region_is_preferred(self):
        records = [
            make.build_target_registration(f"t{i}", domain)
            for i, domain in enumerate(["na", "nb"] + ["ma", "ka"] * 9)
        ]
        fixture = _SelectionFixture(
            records, round_trip_s_by_region={"n": 0.001, "m": 0.03, "k": 0.2}
        )
        regions = {
            fixture.choose(b"%d" % number).target.region
            for number in range(100)
        }
        assert regions == {"n", "m"}


class TestEligibility:
    def test_target_of_another_service_is_never_chosen(self):
        records = [
            *_records(),
            make.build_target_registration("other", "na", service="old"),
        ]
        fixture = _SelectionFixture(records)
        fixture.record_cached("other")
        assert fixture.choose().target.target_id != "other"

    def test_allowed_regions_take_precedence_over_cached_objects(self):
        fixture = _SelectionFixture(_records())
        fixture.record_cached("t4")
        for number in range(30):
            fixture.record_cached("t4", b"%d" % number)
            choice = fixture.choose(b"%d" % number, regions=["m"])
            assert choice.target.region == "m"

    def test_no_choice_without_targets_in_the_allowed_region(self):
        fixture = _SelectionFixture(_records())
        assert fixture.choose(regions=[""]) is None

    def test_evacuated_domain_gets_no_requests(self):
        fixture = _SelectionFixture(_records())
        fixture.targets.set_evacuated_domains({"na", "nb"}, 0.0)
        for number in range(40):
            choice = fixture.choose(b"%d" % number)
            assert choice.target.record.domain not in ("na", "nb")

    def test_excluded_targets_are_not_chosen(self):
        fixture = _SelectionFixture(_records())
        tried = []
        for _ in range(20):
            choice = fixture.choose(excluded=tried)
            assert choice.target.target_id not in tried
            tried.append(choice.target.target_id)
        assert fixture.choose(excluded=tried) is None


class TestColdTargets:
    def test_cold_target_is_chosen_only_if_allowed(self):
        records = [
            make.build_target_registration(
                "cold", "na", warm_up_remaining_s=60.0
            ),
            make.build_target_registration("warm", "ka"),
        ]
        fixture = _SelectionFixture(records)
        fixture.record_cached("cold")
        fixture.cold_allowed = False
        assert fixture.choose().target.target_id == "warm"

    def test_targets_are_cold_after_an_evacuation_ends(self):
        fixture = _SelectionFixture(_records())
        fixture.targets.set_evacuated_domains({"na"}, 0.0)
        # The evacuation ends; the targets count as cold until 20 s.
        fixture.targets.set_evacuated_domains(set(), 20.0)
        view = fixture.targets.target_by_id["t0"]
        assert view.is_cold(19.0)
        assert not view.is_cold(21.0)


class TestNewTargets:
    def test_new_home_target_gets_one_request_of_an_object(self):
        fixture = _SelectionFixture(_records())
        first = fixture.choose().target
        fixture.record_cached("t4")
        assert fixture.choose().target.target_id == "t4"
        first.has_received_requests = False
        assert fixture.choose().target is first
        first.has_received_requests = True
        assert fixture.choose().target.target_id == "t4"

    # Guards against a new target that gets a first request from every entry,
    # which moves traffic into the region of many entries and few targets.
    def test_first_requests_do_not_grow_with_the_number_of_entries(self):
        instances = [f"e{i}" for i in range(30)]
        fixtures = [
            _SelectionFixture(_records(), instance=name, instances=instances)
            for name in instances
        ]
        first_requests = collections.Counter()
        for fixture in fixtures:
            for view in fixture.targets.target_by_id.values():
                view.has_received_requests = False
            for number in range(200):
                choice = fixture.choose(b"%d" % number)
                choice.target.has_received_requests = True
                if choice.reason is _Reason.FIRST_REQUEST:
                    first_requests[choice.target.target_id] += 1
        # The eight targets of region n, from two entries each.
        assert sorted(first_requests.values()) == [2] * 8


class TestReasons:
    """A log reader can tell which kinds of choices moved to a region."""

    def test_first_request_to_a_new_target(self):
        fixture = _SelectionFixture(_records())
        for view in fixture.targets.target_by_id.values():
            view.has_received_requests = False
        assert fixture.choose().reason is _Reason.FIRST_REQUEST

    def test_home_then_cached(self):
        fixture = _SelectionFixture(_records())
        home = fixture.choose()
        assert home.reason is _Reason.HOME
        fixture.record_cached(home.target.target_id)
        assert fixture.choose().reason is _Reason.CACHED

    def test_load_keeps_requests_away_from_homes(self):
        fixture = _SelectionFixture(_records())
        for _ in range(3):  # the homes in the three regions
            choice = fixture.choose()
            assert choice.reason is _Reason.HOME
            choice.target.own_requests_in_flight = 40
        assert fixture.choose().reason is _Reason.LOAD


class TestObservations:
    def test_failing_target_is_avoided(self):
        fixture = _SelectionFixture(_records())
        fixture.record_cached("t0")
        fixture.record_cached("t1")
        view = fixture.targets.target_by_id["t0"]
        for _ in range(10):
            view.record_answer(1.0, True, 10.0)
        assert fixture.choose().target.target_id == "t1"

    def test_slow_target_is_avoided_and_retried_later(self):
        fixture = _SelectionFixture(_records())
        fixture.record_cached("t0")
        view = fixture.targets.target_by_id["t0"]
        for _ in range(20):
            view.record_answer(10.0, False, 10.0)
        assert fixture.choose().target.target_id != "t0"
        assert fixture.choose(now=40.0).target.target_id == "t0"

    def test_reported_load_of_other_entries_counts_and_decays(self):
        fixture = _SelectionFixture(_records())
        view = fixture.targets.target_by_id["t0"]
        view.record_load(30, 10.0)
        assert view.estimated_requests(10.0) == 30
        assert view.estimated_requests(20.0) < 1

    def test_target_whose_machine_is_slow_at_the_moment_is_avoided(self):
        fixture = _SelectionFixture(_records())
        fixture.record_cached("t0")
        fixture.record_cached("t1")
        fixture.targets.target_by_id["t0"].record_slowdown(2.5, 10.0)
        fixture.targets.target_by_id["t1"].record_slowdown(1.0, 10.0)
        assert fixture.choose().target.target_id == "t1"

    def test_reported_slowdown_decays_within_a_second(self):
        view = _SelectionFixture(_records()).targets.target_by_id["t0"]
        view.record_slowdown(2.5, 10.0)
        assert view.slowdown(10.0) == 2.5
        assert view.slowdown(11.0) < 1.2

    def test_target_that_answers_other_requests_is_not_unreachable(self):
        fixture = _SelectionFixture(_records())
        view = fixture.targets.target_by_id["t0"]
        for _ in range(5):
            view.record_answer(1.0, False, 10.5)
            assert not view.record_unanswered(sent_at=10.0, now=11.0)

    def test_target_is_unreachable_after_two_unanswered_requests(self):
        fixture = _SelectionFixture(_records())
        view = fixture.targets.target_by_id["t0"]
        view.record_answer(1.0, False, 9.0)
        assert not view.record_unanswered(sent_at=10.0, now=11.0)
        assert view.record_unanswered(sent_at=10.0, now=11.0)


def _digest_of_varied_choices(fixture):
    """Choices with varied loads, failures and caches, as one number."""
    rng = random.Random(5)
    views = list(fixture.targets.target_by_id.values())
    lines = []
    for number in range(600):
        now = 10 + number * 0.02
        view = rng.choice(views)
        view.record_load(rng.randrange(14), now)
        rng.choice(views).own_requests_in_flight = rng.randrange(6)
        view.record_answer(rng.uniform(0.5, 2), rng.random() < 0.05, now)
        key = b"%d" % (number % 40)
        if number % 3 == 0:
            fixture.record_cached(rng.choice(views).target_id, key, now)
        choice = fixture.choose(b"" if number % 4 == 0 else key, now)
        lines.append(
            f"{choice.target.target_id} {choice.expected_wait_s:.6f} "
            f"{choice.measured_latency_s:.6f}"
        )
    lines.append(f"{fixture.selection._rng.random():.9f}")
    return hashlib.sha256("\n".join(lines).encode()).hexdigest()[:16]


class TestOverloadDecisions:
    # Guards against deployments that do not expect overload being served in
    # another way. The digest is that of the code before the decisions for
    # overload, 9348006.
    def test_choices_and_random_numbers_are_as_before_without_them(self):
        digest = _digest_of_varied_choices(_SelectionFixture(_records()))
        assert digest == "74fe8f0f90ce1f10"

    @pytest.mark.parametrize("is_expected", [True, False])
    def test_they_apply_if_expected_or_once_a_slowdown_is_reported(
        self, is_expected
    ):
        fixture = _SelectionFixture(_records(), expects_overload=is_expected)
        peer = _SelectionFixture(_records())
        if not is_expected:
            assert not fixture.targets.decides_for_overload
            peer.targets.target_by_id["t3"].record_slowdown(1.0, 9.0)
            fixture.targets.apply_reports(peer.targets.pop_reports(9.0), 9.0)
            assert fixture.targets.reports_slowdown
        assert fixture.targets.decides_for_overload
        view = fixture.targets.target_by_id["t0"]
        view.record_load(30, 9.0)
        assert view.estimated_requests(19.0) > 5

    # Guards against entries that know of the same stale reports and all send
    # to the target that had the lowest load in them.
    def test_entries_with_the_same_stale_report_choose_different_targets(self):
        targets = collections.Counter()
        for seed in range(60):
            fixture = _SelectionFixture(
                _records(), expects_overload=True, seed=seed
            )
            # Two homes of the object in the own region.
            for index, load in (("t5", 2), ("t11", 3)):
                fixture.record_cached(index)
                view = fixture.targets.target_by_id[index]
                for at in (8.0, 9.5):
                    view.record_load(load, at)
            targets[fixture.choose().target.target_id] += 1
        assert targets.keys() == {"t5", "t11"}
        assert min(targets.values()) > 15

    # Guards against spreading an object over targets that would have to load
    # it anew: a cache miss costs more than a wait.
    def test_object_stays_at_the_targets_that_have_it(self):
        fixture = _SelectionFixture(_records(), expects_overload=True)
        home = fixture.choose().target.target_id
        cached = [name for name in ("t0", "t1", "t5") if name != home]
        for name in cached:
            fixture.record_cached(name)
        for view in fixture.targets.target_by_id.values():
            view.record_load(2, 9.0)
        counts = fixture.count_choices(12)
        assert counts.keys() <= {home, *cached}
        assert all(counts[name] > 0 for name in cached)

    # Guards against objects that are spread over all targets that once handled
    # them: these evict each other, and expected hits turn out to be misses.
    def test_object_returns_to_its_home(self):
        fixture = _SelectionFixture(_records(), expects_overload=True)
        times = fixture.selection.processing_times
        for _ in range(100):
            # Some of the expected hits are misses.
            times.record(make.build_route_config(), True, 0.24, 9.0)
            times.record(make.build_route_config(), False, 0.4, 9.0)
        for name in ("t5", "t0"):
            fixture.record_cached(name)
        assert fixture.count_choices(3).keys() == {"t5"}
        for home in ("t5", "t11"):
            fixture.targets.target_by_id[home].record_load(30, 10.0)
        assert fixture.choose().target.target_id == "t0"
        # By then the object may have been evicted there.
        assert fixture.choose(now=14.0).target.target_id != "t0"

    # Guards against the same where old reports of high loads make all scores
    # near-equal.
    def test_uncertain_loads_do_not_move_an_object_elsewhere(self):
        reasons = collections.Counter()
        for seed in range(40):
            fixture = _SelectionFixture(
                _records(), expects_overload=True, seed=seed
            )
            for name in ("t5", "t11"):
                fixture.record_cached(name)
            for view in fixture.targets.target_by_id.values():
                for index in range(5):
                    view.record_load(20, 6.0 + index / 2)
            reasons[fixture.choose().reason] += 1
        assert reasons[_Reason.LOAD] == 0
        assert reasons[_Reason.CACHED] > 20

    def test_fresh_report_of_a_full_target_moves_the_requests(self):
        fixture = _SelectionFixture(_records(), expects_overload=True)
        fixture.record_cached("t0")
        fixture.record_cached("t1")
        fixture.targets.target_by_id["t0"].record_load(30, 10.0)
        fixture.targets.target_by_id["t1"].record_load(0, 10.0)
        assert fixture.count_choices(4).keys() == {"t1"}

    # Guards against an entry that refuses everything for a load that nobody
    # has reported since, and so never learns that it has ended.
    def test_old_load_does_not_count_as_measured(self):
        fixture = _SelectionFixture(_records(), expects_overload=True)
        route = make.build_route_config()
        fixture.selection.processing_times.record(route, True, 0.2, 9.0)
        fixture.selection.processing_times.record(route, False, 0.2, 9.0)
        for view in fixture.targets.target_by_id.values():
            view.record_load(60, 9.0)
        assert fixture.choose().measured_latency_s > 1.0
        assert fixture.choose(now=13.5).measured_latency_s < 0.5
