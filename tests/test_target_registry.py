"""Ended registrations, with and without a store outage, in virtual time."""

import asyncio

from chicorydoor.coordination import target_registry
from chicorydoor.state import target_book
from chicorydoor.transport import clock as clock_module
from tests.support import serving as make
from tests.support import virtual_time


def _run(scenario):
    async def run():
        clock = clock_module.EventLoopClock()
        book = target_book.TargetBook(make.REGION_BY_DOMAIN)
        registry = target_registry.TargetRegistry(book, clock)
        for name in ("t0", "t1"):
            registry.put(make.record(name))
        await scenario(registry, book)

    virtual_time.run(run())


async def _keep_contact(registry, seconds):
    """Record a contact with the store four times a second."""
    for _ in range(int(seconds * 4)):
        registry.note_contact()
        await asyncio.sleep(0.25)


class TestStoreAvailable:
    def test_target_is_removed_when_its_registration_ends(self):
        async def scenario(registry, book):
            await _keep_contact(registry, 5.0)
            registry.remove("t0")
            assert list(book.target_by_id) == ["t1"]

        _run(scenario)

    def test_leaving_target_gets_no_requests(self):
        async def scenario(registry, book):
            leaving = make.serving.TargetStanding.LEAVING
            registry.put(make.record("t0", standing=leaving))
            names = [view.target_id for view in book.of_service("svc")]
            assert names == ["t1"]

        _run(scenario)


class TestStoreOutage:
    def test_expired_target_stays_until_it_could_register_again(self):
        async def scenario(registry, book):
            await _keep_contact(registry, 1.0)
            await asyncio.sleep(6.0)
            registry.note_contact()
            registry.remove("t0")
            registry.remove("t1")
            await _keep_contact(registry, 1.0)
            registry.put(make.record("t1"))
            assert set(book.target_by_id) == {"t0", "t1"}
            await _keep_contact(registry, 2.0)
            assert set(book.target_by_id) == {"t1"}

        _run(scenario)

    def test_target_that_leaves_after_the_outage_is_removed_at_once(self):
        """The first contact with any part of the store ends the outage.

        A target got a request 2.5 s after it had left: the waiting call for
        registrations had gone silent and was answered 3 s after other calls.
        """

        async def scenario(registry, book):
            await asyncio.sleep(6.0)
            await _keep_contact(registry, 3.0)
            registry.remove("t0")
            assert set(book.target_by_id) == {"t1"}

        _run(scenario)

    def test_leaving_target_is_not_kept_after_an_outage(self):
        async def scenario(registry, book):
            leaving = make.serving.TargetStanding.LEAVING
            registry.put(make.record("t0", standing=leaving))
            await asyncio.sleep(6.0)
            registry.note_contact()
            registry.remove("t0")
            assert set(book.target_by_id) == {"t1"}

        _run(scenario)
