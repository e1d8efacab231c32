"""Retries, ejection, and refusals that must be true."""

import asyncio
import collections
import random

from chicorydoor.state import target_table
from tests.support import fleet as fleet_module
from tests.support import virtual_time


def _run(course, **options):
    async def wrapped():
        config = fleet_module.configuration(
            domains=2, rate=5000.0, burst=5000.0, **options
        )
        fleet = fleet_module.Fleet(config, ["d0", "d1"], seed=4)
        await fleet.ready()
        await course(fleet)

    virtual_time.run(wrapped())


class TestRetries:
    def test_reads_survive_a_failing_target(self):
        async def course(fleet):
            fleet.target("d0-t0").is_failing = True
            replies = []
            await fleet_module.offer(
                fleet.nodes("d0")[0], 50.0, 6.0, random.Random(1), replies
            )
            failed = sum(reply.code != 0 for _, reply in replies)
            assert failed <= 0.01 * len(replies)

        _run(course)

    def test_orders_are_sent_once(self):
        async def course(fleet):
            fleet.target("d0-t0").is_failing = True
            replies = []
            await fleet_module.offer(
                fleet.nodes("d0")[0],
                30.0,
                4.0,
                random.Random(1),
                replies,
                method="POST",
            )
            runs = collections.Counter(i for _, i, _ in fleet.seen())
            assert max(runs.values()) == 1
            assert {r.outcome for _, r in replies} == {"ran", "unknown"}

        _run(course)

    def test_retries_stay_within_their_budget(self):
        async def course(fleet):
            for target in fleet.target_by_address.values():
                target.is_failing = True
            replies = []
            await fleet_module.offer(
                fleet.nodes("d0")[0], 100.0, 5.0, random.Random(1), replies
            )
            assert len(fleet.seen()) <= 1.1 * len(replies) + 11
            assert {r.outcome for _, r in replies} <= {"unknown", "not-run"}

        _run(course)

    def test_not_run_is_true_while_targets_fail(self):
        async def course(fleet):
            rng = random.Random(3)

            async def trouble():
                for _ in range(40):
                    await asyncio.sleep(0.2)
                    target = rng.choice(list(fleet.target_by_address.values()))
                    target.is_failing = rng.random() < 0.5
                    target.is_down = rng.random() < 0.4

            replies = []
            await asyncio.gather(
                trouble(),
                fleet_module.offer(
                    fleet.nodes("d0")[0], 200.0, 8.0, rng, replies
                ),
            )
            seen = {request_id for _, request_id, _ in fleet.seen()}
            not_run = [r for _, r in replies if r.outcome == "not-run"]
            assert not_run
            for reply in not_run:
                name = reply.header_by_name[b"x-request-id"].decode()
                assert name not in seen

        _run(course)


class TestEjection:
    def test_a_failing_target_is_ejected_and_comes_back(self):
        async def course(fleet):
            node = fleet.nodes("d0")[0]
            target = fleet.target("d0-t0")
            target.is_failing = True
            state = node.parts.targets.target_by_id["d0-t0"]
            rng = random.Random(1)
            await fleet_module.offer(node, 60.0, 3.0, rng, [])
            assert state.health is not target_table.TargetHealth.IN_USE
            target.is_failing = False
            before = len(target.seen)
            await fleet_module.offer(node, 60.0, 20.0, rng, [])
            assert state.health is target_table.TargetHealth.IN_USE
            assert len(target.seen) > before + 50

        _run(course)

    def test_never_more_than_half_of_a_service(self):
        async def course(fleet):
            for target in fleet.target_by_address.values():
                target.is_failing = True
            node = fleet.nodes("d0")[0]
            await fleet_module.offer(node, 80.0, 4.0, random.Random(1), [])
            assert len(node.parts.targets.usable("svc")) >= 2

        _run(course, targets=4)

    def test_a_report_never_puts_a_failing_target_back(self):
        async def course(fleet):
            node = fleet.nodes("d0")[0]
            state = node.parts.targets.target_by_id["d0-t0"]
            for _ in range(6):
                node.parts.targets.note_failure(state, 0.0)
            state.reported_load = 0.0
            assert not node.parts.targets.is_usable(state)

        _run(course)
