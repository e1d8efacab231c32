"""Registrations that end, with the store away or not, on virtual time."""

import asyncio

from chicorydoor.coordination import target_registry
from chicorydoor.state import target_book
from chicorydoor.transport import clock as clock_module
from tests.support import serving as make
from tests.support import virtual_time


def _play(scenario):
    async def run():
        clock = clock_module.LoopClock()
        book = target_book.TargetBook(make.REGION_BY_DOMAIN)
        registry = target_registry.TargetRegistry(book, clock)
        for name in ("t0", "t1"):
            registry.put(make.record(name))
        await scenario(registry, book)

    virtual_time.run(run())


async def _hear(registry, seconds):
    """Signs of the store, four a second."""
    for _ in range(int(seconds * 4)):
        registry.note_contact()
        await asyncio.sleep(0.25)


class TestStoreInReach:
    def test_ended_registration_ends_use_at_once(self):
        async def scenario(registry, book):
            await _hear(registry, 5.0)
            registry.remove("t0")
            assert list(book.target_by_id) == ["t1"]

        _play(scenario)

    def test_leaving_target_gets_nothing(self):
        async def scenario(registry, book):
            leaving = make.serving.TargetStanding.LEAVING
            registry.put(make.record("t0", standing=leaving))
            names = [view.target_id for view in book.of_service("svc")]
            assert names == ["t1"]

        _play(scenario)


class TestStoreAway:
    def test_lapsed_target_stays_until_it_had_time_to_return(self):
        async def scenario(registry, book):
            await _hear(registry, 1.0)
            await asyncio.sleep(6.0)
            registry.note_contact()
            registry.remove("t0")
            registry.remove("t1")
            await _hear(registry, 1.0)
            registry.put(make.record("t1"))
            assert set(book.target_by_id) == {"t0", "t1"}
            await _hear(registry, 2.0)
            assert set(book.target_by_id) == {"t1"}

        _play(scenario)

    def test_target_that_leaves_after_the_return_is_dropped_at_once(self):
        """The first sign of the store counts, not that of this part of it.

        Seen as a request 2.5 s after a target had left: the waiting call for
        registrations had gone silent and was heard 3 s later than others.
        """

        async def scenario(registry, book):
            await asyncio.sleep(6.0)
            await _hear(registry, 3.0)
            registry.remove("t0")
            assert set(book.target_by_id) == {"t1"}

        _play(scenario)

    def test_target_that_said_that_it_leaves_is_not_kept(self):
        async def scenario(registry, book):
            leaving = make.serving.TargetStanding.LEAVING
            registry.put(make.record("t0", standing=leaving))
            await asyncio.sleep(6.0)
            registry.note_contact()
            registry.remove("t0")
            assert set(book.target_by_id) == {"t1"}

        _play(scenario)
