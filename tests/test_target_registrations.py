"""Ended registrations, with and without a store outage, in virtual time.

The store counts as unavailable after 2.5 s without contact.
"""

import asyncio

import pytest

from chicorydoor.coordination import target_registrations
from chicorydoor.state import target_views
from chicorydoor.transport import clock as clock_module
from tests.support import config_builders as make
from tests.support import virtual_time


async def _record_running(registrations):
    """Record that the process runs, as an entry does all the time."""
    while True:
        registrations.record_running()
        await asyncio.sleep(0.25)


def _run(scenario):
    async def run():
        clock = clock_module.EventLoopClock()
        targets = target_views.TargetViews(make.REGION_BY_DOMAIN)
        registrations = target_registrations.TargetRegistrations(
            targets, clock
        )
        for name in ("t0", "t1"):
            registrations.apply_registration(
                make.build_target_registration(name)
            )
        running = asyncio.create_task(_record_running(registrations))
        try:
            await scenario(registrations, targets)
        finally:
            running.cancel()

    virtual_time.run(run())


async def _keep_contact(registrations, seconds):
    """Record a contact with the store four times a second."""
    for _ in range(int(seconds * 4)):
        registrations.record_store_contact()
        await asyncio.sleep(0.25)


class TestStoreAvailable:
    def test_target_is_removed_when_its_registration_ends(self):
        async def scenario(registrations, targets):
            await _keep_contact(registrations, 5.0)
            registrations.handle_removal("t0")
            assert list(targets.target_by_id) == ["t1"]

        _run(scenario)

    def test_leaving_target_gets_no_requests(self):
        async def scenario(registrations, targets):
            leaving = make.serving_config.TargetLifecycle.LEAVING
            registrations.apply_registration(
                make.build_target_registration("t0", lifecycle=leaving)
            )
            names = [view.target_id for view in targets.usable_targets("svc")]
            assert names == ["t1"]

        _run(scenario)


class TestStoreOutage:
    def test_expired_target_stays_while_it_may_register_again(self):
        async def scenario(registrations, targets):
            await _keep_contact(registrations, 1.0)
            await asyncio.sleep(6.0)
            registrations.record_store_contact()
            registrations.handle_removal("t0")
            registrations.handle_removal("t1")
            await _keep_contact(registrations, 1.0)
            registrations.apply_registration(
                make.build_target_registration("t1")
            )
            assert set(targets.target_by_id) == {"t0", "t1"}
            await _keep_contact(registrations, 2.0)
            assert set(targets.target_by_id) == {"t1"}

        _run(scenario)

    def test_target_that_leaves_after_the_outage_is_removed_at_once(self):
        """The first contact with any part of the store ends the outage.

        A target got a request 2.5 s after it had left. The watch of the
        registrations was answered 3 s later than other calls, and the grace
        period for expired registrations began only then.
        """

        async def scenario(registrations, targets):
            await asyncio.sleep(6.0)
            await _keep_contact(registrations, 3.0)
            registrations.handle_removal("t0")
            assert set(targets.target_by_id) == {"t1"}

        _run(scenario)

    def test_leaving_target_is_not_kept_after_an_outage(self):
        async def scenario(registrations, targets):
            leaving = make.serving_config.TargetLifecycle.LEAVING
            registrations.apply_registration(
                make.build_target_registration("t0", lifecycle=leaving)
            )
            await asyncio.sleep(6.0)
            registrations.record_store_contact()
            registrations.handle_removal("t0")
            assert set(targets.target_by_id) == {"t1"}

        _run(scenario)


class TestSequence:
    # Guards against requests to a target whose registration says that it
    # leaves, but has no readable sequence number.
    def test_registration_without_a_sequence_is_no_outdated_one(self):
        async def scenario(registrations, targets):
            for sequence, lifecycle in (
                (5, make.serving_config.TargetLifecycle.READY),
                (0, make.serving_config.TargetLifecycle.LEAVING),
            ):
                registrations.apply_registration(
                    make.build_target_registration(
                        "t0", sequence=sequence, lifecycle=lifecycle
                    )
                )
            names = [view.target_id for view in targets.usable_targets("svc")]
            assert names == ["t1"]

        _run(scenario)


class TestStartAfterAClockStep:
    # Guards against a target that gets no requests because an earlier start,
    # with a later time of day, had said that it leaves.
    def test_start_with_an_earlier_time_is_a_new_incarnation(self):
        async def scenario(registrations, targets):
            registrations.apply_registration(
                make.build_target_registration("t0", started_ms=9)
            )
            targets.record_said_leaving(targets.target_by_id["t0"])
            registrations.apply_registration(
                make.build_target_registration("t0", "nb", started_ms=4)
            )
            names = {view.target_id for view in targets.usable_targets("svc")}
            assert names == {"t0", "t1"}

        _run(scenario)

    # Guards against a request that leaves its home: a target that starts again
    # under its id may be in another region.
    def test_region_is_that_of_the_new_start(self):
        async def scenario(registrations, targets):
            for started_ms, domain in ((9, "na"), (4, "ma")):
                registrations.apply_registration(
                    make.build_target_registration(
                        "t0", domain, started_ms=started_ms
                    )
                )
            assert targets.target_by_id["t0"].region == "m"

        _run(scenario)

    def test_earlier_start_that_said_it_leaves_is_remembered(self):
        async def scenario(registrations, targets):
            leaving = make.build_target_registration("t0", started_ms=9)
            registrations.apply_registration(leaving)
            targets.record_said_leaving(targets.target_by_id["t0"])
            registrations.apply_registration(
                make.build_target_registration("t0", started_ms=4)
            )
            registrations.apply_registration(leaving)
            names = [view.target_id for view in targets.usable_targets("svc")]
            assert names == ["t1"]

        _run(scenario)

    # Guards against requests to a target that leaves: a store that came back
    # from a copy named its start before, which had not said so.
    def test_earlier_start_that_was_replaced_is_ignored(self):
        async def scenario(registrations, targets):
            leaving = make.serving_config.TargetLifecycle.LEAVING
            earlier = make.build_target_registration("t0", started_ms=4)
            registrations.apply_registration(earlier)
            for lifecycle in (earlier.lifecycle, leaving):
                registrations.apply_registration(
                    make.build_target_registration(
                        "t0", started_ms=9, lifecycle=lifecycle
                    )
                )
            registrations.apply_registration(earlier)
            names = [view.target_id for view in targets.usable_targets("svc")]
            assert names == ["t1"]

        _run(scenario)

    def test_earlier_start_that_writes_again_is_used(self):
        async def scenario(registrations, targets):
            for started_ms, sequence in ((4, 1), (9, 7), (4, 1), (4, 2)):
                registrations.apply_registration(
                    make.build_target_registration(
                        "t0", started_ms=started_ms, sequence=sequence
                    )
                )
            assert targets.target_by_id["t0"].record.started_ms == 4

        _run(scenario)


class TestPausedEntry:
    # Guards against requests to a target that had left 3.4 s before: an entry
    # that had no processor time took that for an outage of the store.
    @pytest.mark.parametrize(
        ("awake_s", "paused_s"), [(0.0, 4.0), (1.0, 1.6), (1.5, 8.0)]
    )
    def test_pause_is_no_outage_of_the_store(self, awake_s, paused_s):
        async def scenario():
            clock = clock_module.EventLoopClock()
            targets = target_views.TargetViews(make.REGION_BY_DOMAIN)
            registrations = target_registrations.TargetRegistrations(
                targets, clock
            )
            registrations.apply_registration(
                make.build_target_registration("t0")
            )
            await _keep_contact(registrations, 3.0)
            for _ in range(int(awake_s * 4)):
                await asyncio.sleep(0.25)
                registrations.record_running()
            await asyncio.sleep(paused_s)
            registrations.record_store_contact()
            registrations.handle_removal("t0")
            assert not targets.target_by_id

        virtual_time.run(scenario())

    def test_shortest_outage_is_recognised(self):
        async def scenario(registrations, targets):
            await _keep_contact(registrations, 1.0)
            await asyncio.sleep(2.75)
            registrations.record_store_contact()
            registrations.handle_removal("t0")
            assert set(targets.target_by_id) == {"t0", "t1"}

        _run(scenario)
