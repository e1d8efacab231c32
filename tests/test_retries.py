"""Retries, outlier ejection, and the correctness of refusals.

Guards against retries that run an order twice or multiply the load on failing
targets, and against replies that say "not-run" of a request that a target got.
"""

import asyncio
import collections
import random

from chicorydoor.state import domain_target_table
from tests.support import simulated_fleet
from tests.support import virtual_time


def _run_on_fleet(scenario, **options):
    async def run_scenario():
        config = simulated_fleet.build_configuration(
            domain_count=2, rate=5000.0, burst=5000.0, **options
        )
        fleet = simulated_fleet.Fleet(config, ["d0", "d1"], seed=4)
        await fleet.apply_and_wait_for_slots()
        await scenario(fleet)

    virtual_time.run(run_scenario())


class TestRetries:
    def test_reads_succeed_despite_a_failing_target(self):
        async def scenario(fleet):
            fleet.target("d0-t0").resets_connections = True
            replies = []
            await simulated_fleet.send_poisson_load(
                fleet.entries("d0")[0], 50.0, 6.0, random.Random(1), replies
            )
            failed_replies = sum(reply.code != 0 for _, reply in replies)
            assert failed_replies <= 0.01 * len(replies)

        _run_on_fleet(scenario)

    def test_orders_are_not_retried(self):
        """An order is a POST without an idempotency key."""

        async def scenario(fleet):
            fleet.target("d0-t0").resets_connections = True
            replies = []
            await simulated_fleet.send_poisson_load(
                fleet.entries("d0")[0],
                30.0,
                4.0,
                random.Random(1),
                replies,
                method="POST",
            )
            run_count_by_request_id = collections.Counter(
                i for _, i, _ in fleet.received_requests()
            )
            assert max(run_count_by_request_id.values()) == 1
            assert {r.outcome for _, r in replies} == {"ran", "unknown"}

        _run_on_fleet(scenario)

    def test_retries_stay_within_their_budget(self):
        async def scenario(fleet):
            for target in fleet.target_by_address.values():
                target.resets_connections = True
            replies = []
            await simulated_fleet.send_poisson_load(
                fleet.entries("d0")[0], 100.0, 5.0, random.Random(1), replies
            )
            # Retries: 10% of the requests, and up to 10 saved from before.
            assert len(fleet.received_requests()) <= 1.1 * len(replies) + 11
            assert {r.outcome for _, r in replies} <= {"unknown", "not-run"}

        _run_on_fleet(scenario)

    def test_not_run_outcome_is_correct_while_targets_fail(self):
        async def scenario(fleet):
            rng = random.Random(3)

            async def inject_faults():
                for _ in range(40):
                    await asyncio.sleep(0.2)
                    target = rng.choice(list(fleet.target_by_address.values()))
                    target.resets_connections = rng.random() < 0.5
                    target.refuses_connections = rng.random() < 0.4

            replies = []
            await asyncio.gather(
                inject_faults(),
                simulated_fleet.send_poisson_load(
                    fleet.entries("d0")[0], 200.0, 8.0, rng, replies
                ),
            )
            seen_request_ids = {
                request_id for _, request_id, _ in fleet.received_requests()
            }
            not_run_replies = [r for _, r in replies if r.outcome == "not-run"]
            assert not_run_replies
            for reply in not_run_replies:
                request_id = reply.header_by_name[b"x-request-id"].decode()
                assert request_id not in seen_request_ids

        _run_on_fleet(scenario)


class TestOutlierEjection:
    def test_failing_target_is_ejected_and_returns(self):
        async def scenario(fleet):
            entry = fleet.entries("d0")[0]
            target = fleet.target("d0-t0")
            target.resets_connections = True
            target_state = entry.parts.targets.target_by_id["d0-t0"]
            rng = random.Random(1)
            await simulated_fleet.send_poisson_load(entry, 60.0, 3.0, rng, [])
            assert (
                target_state.health
                is not domain_target_table.TargetHealth.IN_USE
            )
            target.resets_connections = False
            served_before = len(target.received)
            await simulated_fleet.send_poisson_load(entry, 60.0, 20.0, rng, [])
            assert (
                target_state.health is domain_target_table.TargetHealth.IN_USE
            )
            assert len(target.received) > served_before + 50

        _run_on_fleet(scenario)

    def test_at_most_half_of_a_service_is_ejected(self):
        async def scenario(fleet):
            for target in fleet.target_by_address.values():
                target.resets_connections = True
            entry = fleet.entries("d0")[0]
            await simulated_fleet.send_poisson_load(
                entry, 80.0, 4.0, random.Random(1), []
            )
            assert len(entry.parts.targets.usable_targets("svc")) >= 2

        _run_on_fleet(scenario, targets_per_domain=4)

    def test_load_report_does_not_restore_an_ejected_target(self):
        """A probe of an ejected target reads its load from ``/health``."""

        async def scenario(fleet):
            entry = fleet.entries("d0")[0]
            target_state = entry.parts.targets.target_by_id["d0-t0"]
            for _ in range(6):
                entry.parts.targets.record_failure(target_state, 0.0)
            target_state.reported_load = 0.0
            assert not entry.parts.targets.is_usable(target_state)

        _run_on_fleet(scenario)
