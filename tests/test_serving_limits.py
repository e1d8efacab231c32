"""Retry budget, cold starts, service split, entry look-up, fleet, routes."""

import collections
import random

from chicorydoor.coordination import entry_selection
from chicorydoor.protocol import serving_config
from chicorydoor.state import cold_start_limits
from chicorydoor.state import designated_entries
from chicorydoor.state import fleet_view
from chicorydoor.state import service_retry_budget
from chicorydoor.state import service_split
from tests.support import config_builders as make


class TestServiceRetryBudget:
    def test_all_entries_together_stay_within_the_budget(self):
        entries, window_s, ratio, slack = 8, 10.0, 0.2, 56.0
        budgets = [
            service_retry_budget.ServiceRetryBudget(ratio, slack, window_s)
            for _ in range(entries)
        ]
        rng = random.Random(1)
        requests, retries = [], []
        for step in range(40_000):
            now = step * 0.002
            budget = rng.choice(budgets)
            budget.record_request(now)
            requests.append(now)
            if budget.try_acquire(now, entries):
                retries.append(now)
        first_retry = first_request = 0
        for end, at in enumerate(retries):
            while retries[first_retry] <= at - window_s:
                first_retry += 1
            while requests[first_request] <= at - window_s:
                first_request += 1
            # At 500 requests per second, 5000 arrive in a window.
            request_count = sum(
                1 for _ in requests[first_request : first_request + 5000]
            )
            assert end - first_retry + 1 <= ratio * request_count + slack

    def test_service_with_few_requests_may_retry(self):
        budget = service_retry_budget.ServiceRetryBudget(0.2, 56.0, 10.0)
        budget.record_request(0.0)
        assert budget.try_acquire(0.0, 8)


class TestDesignatedEntries:
    def test_two_entries_are_designated_for_a_target(self):
        # All entries rank the same instance ids, so both sides of a partition
        # designate the same two and do not add to what the target gets.
        names = [f"e{i}" for i in range(8)]
        designated = [
            name
            for name in names
            if designated_entries.DesignatedEntries(
                name, lambda: names
            ).includes_this_entry("t")
        ]
        assert len(designated) == 2


class TestColdStartLimits:
    def test_all_entries_together_stay_below_the_rate(self):
        names = [f"e{i}" for i in range(8)]
        limits = [
            cold_start_limits.ColdStartLimits(n, lambda: names) for n in names
        ]
        sent = []
        for step in range(4000):
            now = step * 0.001
            for each in limits:
                if each.may_send("t", now):
                    each.record_sent("t", 15.0, now)
                    sent.append(now)
        busiest = max(
            sum(1 for at in sent if start <= at < start + 1.0)
            for start in sent
        )
        assert 0 < busiest <= 15 + 2

    def test_service_without_a_rate_is_not_limited(self):
        limits = cold_start_limits.ColdStartLimits("e", lambda: ["e"])
        limits.record_sent("t", 0.0, 1.0)
        assert limits.may_send("t", 1.0)


class TestServiceSplit:
    def test_weights_hold_in_every_short_window(self):
        services = (
            serving_config.WeightedService("a", 90.0),
            serving_config.WeightedService("b", 10.0),
        )
        route = make.build_route_config(weighted_services=services)
        split = service_split.ServiceSplit()
        chosen = [split.choose_service(route) for _ in range(1000)]
        for start in range(0, 900, 10):
            count = collections.Counter(chosen[start : start + 20])
            assert count["b"] == 2

    def test_changed_services_reset_the_distribution(self):
        split = service_split.ServiceSplit()
        single = make.build_route_config(
            weighted_services=(serving_config.WeightedService("a", 1.0),)
        )
        several = make.build_route_config(
            weighted_services=(
                serving_config.WeightedService("a", 1.0),
                serving_config.WeightedService("b", 1),
            )
        )
        split.choose_service(single)
        chosen = {split.choose_service(several) for _ in range(2)}
        assert chosen == {"a", "b"}


def _registration(name, domain, region):
    return fleet_view.Registration(
        name, 1, domain, region, f"{name}:1", f"{name}:2"
    )


class TestEntrySelection:
    ENTRIES = [
        _registration("a1", "na", "n"),
        _registration("a2", "na", "n"),
        _registration("b1", "nb", "n"),
        _registration("m1", "ma", "m"),
    ]

    def _chosen_instances(self, region, domain, cut_off=()):
        chosen = entry_selection.select_entries(
            self.ENTRIES, region, domain, cut_off
        )
        return {entry.instance for entry in chosen}

    def test_domain_with_enough_entries_gets_its_own(self):
        assert self._chosen_instances("n", "na") == {"a1", "a2"}

    def test_domain_with_one_entry_gets_its_region(self):
        assert self._chosen_instances("n", "nb") == {"a1", "a2", "b1"}

    def test_region_without_entries_gets_all_entries(self):
        assert self._chosen_instances("k", "ka") == {"a1", "a2", "b1", "m1"}

    def test_entries_that_are_cut_off_are_left_out_while_two_remain(self):
        assert self._chosen_instances("n", "na", ["a1"]) == {"a2", "b1"}

    # Guards against callers without an alternative when the only entry of
    # their region that reaches the targets fails.
    def test_single_entry_that_reaches_the_targets_is_not_left_alone(self):
        chosen = self._chosen_instances("n", "na", ["a1", "b1"])
        assert chosen == {"a1", "a2", "b1"}


class TestFleetView:
    def _fleet_view(self):
        # Silence of peers, removal and silence of digests, in seconds.
        return fleet_view.FleetView(
            _registration("me", "na", "n"), 2.0, 10.0, 4.0
        )

    def _heartbeat(self, entry, entry_state=fleet_view.EntryState.READY):
        return fleet_view.Heartbeat(entry, entry_state, {}, {})

    def test_silent_entry_is_not_a_ready_peer(self):
        view = self._fleet_view()
        view.apply_heartbeat(
            self._heartbeat(_registration("o", "na", "n")), 1.0
        )
        assert [entry.instance for entry in view.ready_peers(2.0)] == ["o"]
        assert view.ready_peers(3.1) == []

    def test_leaving_entry_is_not_a_ready_peer(self):
        view = self._fleet_view()
        leaving = fleet_view.EntryState.LEAVING
        view.apply_heartbeat(
            self._heartbeat(_registration("o", "na", "n"), leaving), 1.0
        )
        assert view.ready_peers(1.1) == []

    def test_region_instances_leave_out_other_regions(self):
        view = self._fleet_view()
        view.record_registration(_registration("same", "nb", "n"), 0.0)
        view.record_registration(_registration("other", "ma", "m"), 0.0)
        assert view.region_instances() == ["me", "same"]
        assert view.instances() == ["me", "same", "other"]

    def test_earlier_incarnation_is_ignored(self):
        view = self._fleet_view()
        new = fleet_view.Registration("o", 5, "na", "n", "o:1", "o:2")
        old = fleet_view.Registration("o", 4, "na", "n", "o:1", "o:2")
        assert view.apply_heartbeat(self._heartbeat(new), 1.0)
        assert not view.apply_heartbeat(self._heartbeat(old), 2.0)

    def test_silent_but_registered_entry_is_not_removed(self):
        view = self._fleet_view()
        entry = _registration("o", "na", "n")
        view.record_registration(entry, 0.0)
        assert view.remove_gone(100.0) == []
        view.record_unregistration("o", 100.0)
        assert view.remove_gone(101.0) == []
        assert len(view.remove_gone(103.0)) == 1


class TestRoutePrefixes:
    def test_longest_matching_prefix_of_the_host_applies(self):
        config = serving_config.ServingConfig(
            1,
            (
                make.build_route_config("a", prefix="/a/"),
                make.build_route_config("ab", prefix="/a/b/"),
                make.build_route_config(
                    "other", prefix="/a/b/c/", host="else.example"
                ),
            ),
        )
        assert config.find_route("shop.example", "/a/x").route_id == "a"
        assert config.find_route("shop.example", "/a/b/c/d").route_id == "ab"
        assert config.find_route("SHOP.example:80", "/a/b/").route_id == "ab"
        assert config.find_route("shop.example", "/a") is None
        assert config.find_route("no.example", "/a/b/") is None
