"""The client of the platform's store against its stand-in."""

import asyncio

import pytest

from chicorydoor import errors
from chicorydoor.platform import kv_store
from chicorydoor.standins import platform_store


def _play(scenario):
    async def run():
        store = platform_store.PlatformStore()
        await store.start()
        client = kv_store.KeyValueStore(store.endpoint)
        try:
            await scenario(store, client)
        finally:
            await client.close()
            await store.stop()

    asyncio.run(run())


class TestReading:
    def test_pages(self):
        async def scenario(store, client):
            for index in range(120):
                store.put(f"p/{index:03}", b"%d" % index)
            store.put("q/1", b"other")
            batch = await client.list_items("p/")
            assert len(batch.items) == 120
            assert batch.items[7].value == b"7"
            assert batch.as_of == store.revision

        _play(scenario)

    def test_changes_and_removals(self):
        async def scenario(store, client):
            store.put("p/a", b"1")
            since = store.revision
            store.put("p/a", b"2")
            store.remove("p/a")
            batch = await client.changes("p/", since, 1.0)
            assert [item.value for item in batch.items] == [b"2", None]
            assert batch.as_of == store.revision

        _play(scenario)

    def test_waits_for_a_change(self):
        async def scenario(store, client):
            task = asyncio.create_task(
                client.changes("p/", store.revision, 2.0)
            )
            await asyncio.sleep(0.1)
            assert not task.done()
            store.put("p/a", b"1")
            assert len((await task).items) == 1

        _play(scenario)

    def test_history_lost(self):
        async def scenario(store, client):
            since = store.revision
            store.put("p/a", b"1")
            store.forget_history()
            with pytest.raises(errors.HistoryLostError):
                await client.changes("p/", since, 1.0)

        _play(scenario)


class TestLeases:
    def test_keys_go_with_their_lease(self):
        async def scenario(store, client):
            lease, ttl_s = await client.grant_lease(1.0)
            assert ttl_s == 1.0
            assert await client.put("e/1", b"x", lease)
            assert await client.keep_lease(lease)
            assert store.keys() == ["e/1"]
            await client.end_lease(lease)
            assert store.keys() == []
            assert not await client.keep_lease(lease)
            assert not await client.put("e/1", b"x", lease)

        _play(scenario)


class TestTroubles:
    @pytest.mark.parametrize(
        "mood",
        [
            platform_store.Mood.BUSY,
            platform_store.Mood.SILENT,
            platform_store.Mood.LOSING_ANSWERS,
        ],
    )
    def test_no_answer_is_an_error_of_the_store(self, mood):
        async def scenario(store, client):
            store.mood = mood
            with pytest.raises(errors.StoreUnavailableError):
                await client.list_items("p/")
            store.mood = platform_store.Mood.NORMAL
            assert (await client.list_items("p/")).items == []

        _play(scenario)

    def test_lost_answer_of_a_write_may_have_taken_effect(self):
        async def scenario(store, client):
            lease, _ = await client.grant_lease(5.0)
            store.mood = platform_store.Mood.LOSING_ANSWERS
            with pytest.raises(errors.StoreUnavailableError):
                await client.put("e/1", b"x", lease)
            assert store.keys() == ["e/1"]

        _play(scenario)

    @pytest.mark.parametrize("value", ["%%%", "a", 5, None])
    def test_nonsense_is_an_error_of_the_store(self, value):
        async def scenario(store, client):
            store.put("p/a", b"1")
            item = store._item_by_key["p/a"]
            item.value = value
            if value is None:
                store._range = lambda query: (200, [1, 2])
            with pytest.raises(errors.StoreUnavailableError):
                await client.list_items("p/")

        _play(scenario)
