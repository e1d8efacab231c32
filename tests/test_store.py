"""The store client against the stand-in, over real sockets."""

import asyncio

import pytest

from chicorydoor import errors
from chicorydoor.standins import store as standin_module
from chicorydoor.transport import store_client


def _run(course):
    async def wrapped():
        standin = standin_module.StandinStore()
        await standin.start()
        client = store_client.EtcdStore(standin.endpoint, timeout=1.0)
        try:
            await course(standin, client)
        finally:
            await client.close()
            await standin.stop()

    asyncio.run(wrapped())


class TestEtcdStore:
    def test_reads_and_writes_many(self):
        async def course(standin, client):
            values = {f"k{n}": bytes([n]) * 9 for n in range(250)}
            await client.put_many(values)
            assert await client.get_many([*values, "missing"]) == values
            assert standin.calls_by_kind["txn"] == 6
            assert await client.get("missing") is None

        _run(course)

    def test_compare_and_swap(self):
        async def course(standin, client):
            assert await client.compare_and_swap("k", 0, b"a")
            assert not await client.compare_and_swap("k", 0, b"b")
            stored = await client.get("k")
            await client.put_many({"old": b"x"})
            assert await client.compare_and_swap(
                "k", stored.mod_revision, b"c", ["old"]
            )
            assert (await client.get("k")).value == b"c"
            assert await client.get("old") is None

        _run(course)

    def test_a_lost_answer_leaves_the_write_in_effect(self):
        async def course(standin, client):
            standin.faults.lose_answers = 1
            with pytest.raises(errors.StoreUnavailableError):
                await client.compare_and_swap("k", 0, b"a")
            assert (await client.get("k")).value == b"a"

        _run(course)

    def test_a_watch_sees_later_values_and_ends_in_an_outage(self):
        async def course(standin, client):
            await client.put_many({"k": b"a"})
            after = (await client.get("k")).mod_revision
            seen = []
            async with client.watch("k", after) as changes:
                await client.put_many({"k": b"b"})
                async for change in changes:
                    seen.append(change.value)
                    await standin.set_down(True)
            assert seen == [b"b"]
            assert standin.waiting_watches == 0

        _run(course)

    def test_an_outage_is_told(self):
        async def course(standin, client):
            await standin.set_down(True)
            with pytest.raises(errors.StoreUnavailableError):
                await client.get("k")

        _run(course)

    def test_leases_are_renewed_until_they_lapse(self):
        async def course(standin, client):
            lease = await client.grant_lease(5)
            assert await client.keep_lease(lease) == 5
            standin.lapse_leases()
            assert await client.keep_lease(lease) == 0

        _run(course)
