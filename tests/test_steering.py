"""Traffic shifts, credits, links, look-ups and planned drains.

Guards against load that moves to other domains faster than the shift cap
allows or back and forth, that exceeds the credits or the rate of a link, and
against requests refused while a domain is lost or drained.
"""

import asyncio
import collections
import datetime
import itertools
import random

import msgspec

from chicorydoor.protocol import admin_api
from chicorydoor.protocol import config_records as records
from chicorydoor.state import event_ring
from tests.support import simulated_fleet
from tests.support import virtual_time

_SHIFT_CAP = 0.2
_DOMAINS = ["d0", "d1", "d2", "d3", "d4", "d5"]
# Events hold shares with two decimals, so either end is off by up to 0.005.
_ROUNDING = 0.006


def _fleet(**options):
    config = simulated_fleet.build_configuration(
        rate=20000.0, burst=20000.0, shift_cap=_SHIFT_CAP, **options
    )
    return simulated_fleet.Fleet(config, _DOMAINS, seed=6)


def _share_changes(fleet):
    """All changes of shifted shares as (stamp, subject, before, after)."""
    changes_of_share = []
    for entry in fleet.entries():
        for event in entry.parts.events.events_since(0, 10**6):
            if event.kind is event_ring.EventKind.SHIFT_CHANGED:
                before, after = map(float, event.detail.split(" to "))
                changes_of_share.append(
                    (event.stamp, event.subject, before, after)
                )
    return sorted(changes_of_share)


def _home_share(fleet, domain, request_times):
    """Share of the requests that ran at a domain's own targets."""
    own_targets = {
        fleet.target(target_id)
        for target_id, record in fleet.config.target_by_id.items()
        if record.domain == domain
    }
    total = sum(len(t.received) for t in fleet.target_by_address.values())
    return sum(len(t.received) for t in own_targets) / max(1, total)


async def _plan_drain(fleet, kind, subject, in_s):
    starts_at_wall_s = fleet.clock.wall() + in_s
    starts_at = datetime.datetime.fromtimestamp(starts_at_wall_s, datetime.UTC)
    drain = records.Drain(records.DrainKind(kind), subject, starts_at)
    administration = fleet.entries()[0].parts.administration
    return await administration.plan_drain("planned", drain, "op")


class TestOverload:
    def _run_overload(self, scenario_after=None):
        async def scenario():
            fleet = _fleet(targets_per_domain=2, slots=3)
            await fleet.apply_and_wait_for_slots()
            replies = []
            rng = random.Random(1)
            # Requests/s: 2 targets of 3 slots, 11 ms for a request.
            capacity = 6 / 0.011
            entry = fleet.entries("d0")[0]
            await simulated_fleet.send_poisson_load(
                entry, 1.6 * capacity, 12.0, rng, replies
            )
            return fleet, replies

        return virtual_time.run(scenario())

    def test_excess_is_forwarded_within_the_shift_cap(self):
        fleet, replies = self._run_overload()
        changes_of_share = _share_changes(fleet)
        assert changes_of_share
        for _, _, before, after in changes_of_share:
            assert abs(after - before) <= _SHIFT_CAP + _ROUNDING
        assert not fleet.targets_over_slots()
        late_replies = [r for at, r in replies if at > replies[-1][0] - 5.0]
        served_count = sum(reply.code == 0 for reply in late_replies)
        assert served_count >= 0.97 * len(late_replies)

    def test_the_share_does_not_oscillate(self):
        fleet, _ = self._run_overload()
        shares = [after for _, subject, _, after in _share_changes(fleet)]
        changes = [b - a for a, b in itertools.pairwise(shares)]
        signs = [change > 0 for change in changes if change]
        reversals = sum(a != b for a, b in itertools.pairwise(signs))
        assert reversals <= 4

    def test_requests_in_flight_never_exceed_the_credits(self):
        async def scenario():
            fleet = _fleet(targets_per_domain=1, slots=3)
            await fleet.apply_and_wait_for_slots()
            rng = random.Random(1)
            entry = fleet.entries("d0")[0]
            load_task = asyncio.create_task(
                simulated_fleet.send_poisson_load(entry, 600.0, 8.0, rng, [])
            )
            max_running = 0
            while not load_task.done():
                await asyncio.sleep(0.003)
                for peer in fleet.entries()[1:]:
                    running = peer.parts.forwarder.running_count()
                    granted = (
                        peer.parts.coordinator.credit_issuer.count_outstanding(
                            "d0", "svc"
                        )
                    )
                    assert running <= granted
                    max_running = max(max_running, running)
            assert max_running > 0
            assert not fleet.targets_over_slots()

        virtual_time.run(scenario())


class TestLinks:
    def test_forwarding_stays_within_the_link_rate(self):
        async def scenario():
            fleet = _fleet(targets_per_domain=1, slots=3)
            answer = bytes(4096)
            for region in ("r1", "r2"):
                fleet.config.link_by_id[region] = records.Link(
                    "r0", region, 40_000.0
                )
            for target in fleet.target_by_address.values():
                target.response_body = answer
            await fleet.apply_and_wait_for_slots()
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            await simulated_fleet.send_poisson_load(
                fleet.entries("d0")[0], 600.0, 10.0, random.Random(1), []
            )
            duration_s = loop.time() - started_at
            remote_requests = [
                item
                for target_id, record in fleet.config.target_by_id.items()
                if record.domain not in ("d0", "d1")
                for item in fleet.target(target_id).received
            ]
            # Two links, each shared equally by the two domains of the
            # region, with a burst of one second.
            budget_bytes = 2 * 20_000.0 * (duration_s + 1)
            assert (
                0.3 * budget_bytes
                <= len(remote_requests) * len(answer)
                <= budget_bytes
            )

        virtual_time.run(scenario())


class TestLostDomain:
    def test_callers_of_a_lost_domain_are_served_within_5_s(self):
        async def scenario():
            fleet = _fleet(targets_per_domain=2, slots=4)
            await fleet.apply_and_wait_for_slots()
            rng = random.Random(2)
            # 70% of the domain's capacity: 2 targets of 4 slots, 11 ms for a
            # request.
            rate_per_s = 0.7 * 8 / 0.011
            replies = []
            for entry in fleet.entries("d0"):
                await entry.kill()
            lost_at = asyncio.get_running_loop().time()
            loads = [
                simulated_fleet.send_poisson_load(
                    entry, rate_per_s, 10.0, rng, replies
                )
                for entry in fleet.entries()
            ]
            # The callers of the lost domain go to its region's other domain.
            region_peer = fleet.entries("d1")[0]
            loads.append(
                simulated_fleet.send_poisson_load(
                    region_peer, rate_per_s, 10.0, rng, replies
                )
            )
            await asyncio.gather(*loads)
            late_replies = [r for at, r in replies if at > lost_at + 5.0]
            served_count = sum(reply.code == 0 for reply in late_replies)
            assert served_count >= 0.99 * len(late_replies)
            assert not fleet.targets_over_slots()

        virtual_time.run(scenario())


class TestLookups:
    def test_answers_hold_the_callers_region_without_leaving_entries(self):
        async def scenario():
            fleet = _fleet()
            fleet.config.block_by_cidr["10.9.0.0/16"] = records.ClientBlock(
                "r1"
            )
            await fleet.apply_and_wait_for_slots()
            entry = fleet.entries("d0")[0]
            entries = entry.parts.directory.lookup("10.9.1.1").entries
            assert {e.domain for e in entries} == {"d2", "d3"}
            fleet.entries("d2")[0].parts.membership.announce_leaving()
            await asyncio.sleep(2.5)
            entries = entry.parts.directory.lookup("10.9.1.1").entries
            assert {e.domain for e in entries} == {"d3"}

        virtual_time.run(scenario())

    def test_answers_omit_an_entry_without_configuration(self):
        async def scenario():
            fleet = _fleet()
            await fleet.apply_and_wait_for_slots()
            fleet.store.is_unavailable = True
            fleet.network.partitioned_pairs = {frozenset(("d0", "d1"))}
            new_entry = fleet.add_entry("d0")
            new_entry.parts.active_revision.apply_offer = lambda offer: False
            await asyncio.sleep(4.0)
            entry = fleet.entries("d0")[0]
            entries = entry.parts.directory.lookup("10.9.1.1").entries
            answered_ids = {e.instance for e in entries}
            assert entry.parts.own_member.instance in answered_ids
            assert new_entry.parts.own_member.instance not in answered_ids

        virtual_time.run(scenario())

    def test_a_drained_instance_is_omitted_until_the_drain_is_cancelled(self):
        async def scenario():
            fleet = _fleet()
            await fleet.apply_and_wait_for_slots()
            entry = fleet.entries("d0")[0]
            subject = fleet.entries("d1")[0].parts.own_member.instance
            await _plan_drain(fleet, "instance", subject, 0.5)
            await asyncio.sleep(3.0)
            entries = entry.parts.directory.lookup("10.9.1.1").entries
            assert subject not in {e.instance for e in entries}
            administration = entry.parts.administration
            await administration.cancel_drain("planned", "op")
            await asyncio.sleep(3.0)
            entries = entry.parts.directory.lookup("10.9.1.1").entries
            assert subject in {e.instance for e in entries}

        virtual_time.run(scenario())

    def test_lost_region_is_replaced_by_the_others(self):
        async def scenario():
            fleet = _fleet()
            fleet.config.block_by_cidr["10.9.0.0/16"] = records.ClientBlock(
                "r1"
            )
            await fleet.apply_and_wait_for_slots()
            for domain in ("d2", "d3"):
                await fleet.entries(domain)[0].kill()
            await asyncio.sleep(9.0)
            entry = fleet.entries("d0")[0]
            entries = entry.parts.directory.lookup("10.9.1.1").entries
            assert {e.domain for e in entries} == {"d0", "d1", "d4", "d5"}

        virtual_time.run(scenario())


class TestPlannedDrain:
    def test_target_gets_no_new_work_from_2_s_after_the_start(self):
        async def scenario():
            fleet = _fleet(targets_per_domain=2, slots=4)
            await fleet.apply_and_wait_for_slots()
            replies = []
            rng = random.Random(3)
            load_task = asyncio.create_task(
                simulated_fleet.send_poisson_load(
                    fleet.entries("d0")[0], 100.0, 8.0, rng, replies
                )
            )
            await asyncio.sleep(1.0)
            drain_starts_at = asyncio.get_running_loop().time() + 2.0
            await _plan_drain(fleet, "target", "d0-t0", 2.0)
            await load_task
            request_times = [at for at, _, _ in fleet.target("d0-t0").received]
            assert any(at < drain_starts_at for at in request_times)
            assert max(request_times) <= drain_starts_at + 2.0
            assert all(reply.code == 0 for _, reply in replies)

        virtual_time.run(scenario())

    def test_a_drained_region_gets_no_new_work_and_refuses_nothing(self):
        async def scenario():
            fleet = _fleet(targets_per_domain=2, slots=4)
            fleet.config.block_by_cidr["10.9.0.0/16"] = records.ClientBlock(
                "r1"
            )
            await fleet.apply_and_wait_for_slots()
            replies = []
            rng = random.Random(3)
            drained_entries = fleet.entries("d2") + fleet.entries("d3")
            loads = [
                asyncio.create_task(
                    simulated_fleet.send_poisson_load(
                        entry, 60.0, 24.0, rng, replies
                    )
                )
                for entry in drained_entries
            ]
            drain_starts_at = asyncio.get_running_loop().time() + 18.0
            await _plan_drain(fleet, "region", "r1", 18.0)
            lookup_shares_by_region = collections.defaultdict(list)
            directory = fleet.entries("d0")[0].parts.directory
            for _ in range(22):
                await asyncio.sleep(1.0)
                answer = directory.lookup("10.9.1.1")
                total = sum(e.weight for e in answer.entries)
                share = sum(
                    e.weight
                    for e in answer.entries
                    if e.domain in ("d2", "d3")
                )
                lookup_shares_by_region["r1"].append(share / total)
            await asyncio.gather(*loads)
            for target_id, record in fleet.config.target_by_id.items():
                if record.domain in ("d2", "d3"):
                    request_times = [
                        at for at, _, _ in fleet.target(target_id).received
                    ]
                    assert max(request_times) <= drain_starts_at + 2.0
            consecutive_shares = zip(
                lookup_shares_by_region["r1"],
                lookup_shares_by_region["r1"][1:],
                strict=False,
            )
            assert all(
                abs(b - a) <= 2 * _SHIFT_CAP + _ROUNDING
                for a, b in consecutive_shares
            )
            assert lookup_shares_by_region["r1"][0] == 1.0
            assert lookup_shares_by_region["r1"][-1] == 0.0
            for _, _, before, after in _share_changes(fleet):
                assert abs(after - before) <= _SHIFT_CAP + _ROUNDING
            codes = collections.Counter(r.code for _, r in replies)
            assert set(codes) == {0}

        virtual_time.run(scenario())


class TestCancelledDrain:
    def test_a_cancelled_drain_restores_the_domain(self):
        async def scenario():
            fleet = _fleet()
            await fleet.apply_and_wait_for_slots()
            await _plan_drain(fleet, "domain", "d1", 16.0)
            await asyncio.sleep(8.0)
            planner = fleet.entries("d1")[0].parts.coordinator.shift_planner
            assert planner.lookup_away_share > 0
            administration = fleet.entries()[0].parts.administration
            result = await administration.cancel_drain("planned", "op")
            assert result.ending is admin_api.Ending.COMMITTED
            await asyncio.sleep(8.0)
            assert planner.lookup_away_share == 0
            assert msgspec.to_builtins(result)["ending"] == "committed"

        virtual_time.run(scenario())
