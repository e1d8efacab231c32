"""The client of the platform's key-value store against a stand-in store."""

import asyncio
import contextlib

import pytest

from chicorydoor import errors
from chicorydoor.platform import kv_store
from chicorydoor.standins import platform_store
from tests.support import scripted_target


def _run_with_store(scenario):
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
    def test_list_reads_all_pages(self):
        async def scenario(store, client):
            for index in range(120):
                store.put(f"p/{index:03}", b"%d" % index)
            store.put("q/1", b"other")
            batch = await client.list_items("p/")
            assert len(batch.items) == 120
            assert batch.items[7].value == b"7"
            assert batch.as_of == store.revision

        _run_with_store(scenario)

    def test_watch_returns_changes_and_deletions(self):
        async def scenario(store, client):
            store.put("p/a", b"1")
            since = store.revision
            store.put("p/a", b"2")
            store.remove("p/a")
            batch = await client.wait_for_changes("p/", since, 1.0)
            assert [item.value for item in batch.items] == [b"2", None]
            assert batch.as_of == store.revision

        _run_with_store(scenario)

    def test_watch_waits_for_a_change(self):
        async def scenario(store, client):
            task = asyncio.create_task(
                client.wait_for_changes("p/", store.revision, 2.0)
            )
            await asyncio.sleep(0.1)
            assert not task.done()
            store.put("p/a", b"1")
            assert len((await task).items) == 1

        _run_with_store(scenario)

    def test_watch_after_compaction_raises_history_lost(self):
        async def scenario(store, client):
            since = store.revision
            store.put("p/a", b"1")
            store.compact_history()
            with pytest.raises(errors.HistoryLostError):
                await client.wait_for_changes("p/", since, 1.0)

        _run_with_store(scenario)


class TestLeases:
    def test_revoked_lease_deletes_its_keys(self):
        async def scenario(store, client):
            lease, ttl_s = await client.grant_lease(1.0)
            assert ttl_s == 1.0
            assert await client.put("e/1", b"x", lease)
            assert await client.renew_lease(lease)
            assert store.keys() == ["e/1"]
            await client.revoke_lease(lease)
            assert store.keys() == []
            assert not await client.renew_lease(lease)
            assert not await client.put("e/1", b"x", lease)

        _run_with_store(scenario)


class TestStoreFailures:
    @pytest.mark.parametrize(
        "failure_mode",
        [
            platform_store.FailureMode.REFUSING,
            platform_store.FailureMode.SILENT,
            platform_store.FailureMode.LOSING_ANSWERS,
        ],
    )
    def test_missing_response_raises_store_unavailable(self, failure_mode):
        async def scenario(store, client):
            store.failure_mode = failure_mode
            with pytest.raises(errors.StoreUnavailableError):
                await client.list_items("p/")
            store.failure_mode = platform_store.FailureMode.NORMAL
            assert (await client.list_items("p/")).items == []

        _run_with_store(scenario)

    def test_write_whose_response_is_lost_may_take_effect(self):
        async def scenario(store, client):
            lease, _ = await client.grant_lease(5.0)
            store.failure_mode = platform_store.FailureMode.LOSING_ANSWERS
            with pytest.raises(errors.StoreUnavailableError):
                await client.put("e/1", b"x", lease)
            assert store.keys() == ["e/1"]

        _run_with_store(scenario)

    @pytest.mark.parametrize("value", ["%%%", "a", 5, None])
    def test_malformed_response_raises_store_unavailable(self, value):
        async def scenario(store, client):
            store.put("p/a", b"1")
            item = store._item_by_key["p/a"]
            item.value = value
            # None: the response is a list instead of an object.
            if value is None:
                store._read_range = lambda query: (200, [1, 2])
            with pytest.raises(errors.StoreUnavailableError):
                await client.list_items("p/")

        _run_with_store(scenario)


class _RawStore:
    """Answers each call with fixed bytes, the last of them without end.

    Args:
        start (bytes): Sent first.
        repeated (bytes): Sent every 10 ms until the client closes; none if
            empty.
    """

    def __init__(self, start, repeated=b""):
        self._start = start
        self._repeated = repeated
        self._writers = []

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.client = kv_store.KeyValueStore(f"127.0.0.1:{port}")
        return self

    async def __aexit__(self, *error):
        await self.client.close()
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(self._start)
                while self._repeated:
                    writer.write(self._repeated)
                    await writer.drain()
                    await asyncio.sleep(0.01)


class TestInvalidResponses:
    _ITEMS = b'{"items": [], "asOf": 1}'
    _HEAD = b"HTTP/1.1 %s Odd\r\nstore-era: %d\r\n"

    # Guards against a status such as 600 or 000 whose response is recorded,
    # above all as a restore of the store, by which entries drop their state.
    @pytest.mark.parametrize("status", scripted_target.INVALID_STATUSES)
    def test_invalid_status_is_no_response(self, status):
        async def scenario():
            head = self._HEAD % (status, 7)
            head += b"content-length: %d\r\n\r\n" % len(self._ITEMS)
            async with _RawStore(head + self._ITEMS) as store:
                restores = []
                store.client.restore_observers.append(
                    lambda: restores.append(1)
                )
                store.client._epoch = 1
                for call in (
                    store.client.list_items("p/"),
                    store.client.wait_for_changes("p/", 0, 0.1),
                    store.client.renew_lease(1),
                ):
                    with pytest.raises(errors.StoreUnavailableError):
                        await call
                assert not restores
                assert store.client._epoch == 1

        asyncio.run(scenario())

    # Guards against calls that never end, so that an entry's lease expires,
    # and against bodies that fill its memory.
    @pytest.mark.parametrize(
        ("start", "repeated"),
        [
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            (_HEAD % (b"000", 1) + b"\r\n", b"x" * 1000),
            (_HEAD % (b"200", 1) + b"\r\n", b"x" * 2**21),
        ],
        ids=["informational", "body-of-000", "body"],
    )
    def test_endless_bytes_end_the_call(self, start, repeated):
        async def scenario():
            async with _RawStore(start, repeated) as store:
                async with asyncio.timeout(6.0):
                    with pytest.raises(errors.StoreUnavailableError):
                        await store.client.renew_lease(1)

        asyncio.run(scenario())


class TestRestores:
    def test_observers_learn_of_each_restore_once(self):
        async def scenario(store, client):
            restores = []
            client.restore_observers.append(lambda: restores.append(1))
            copy = store.take_copy()
            assert (await client.list_items("p/")).epoch == 1
            for count in (1, 2):
                store.restore(copy)
                batch = await client.list_items("p/")
                assert batch.epoch == 1 + count
                await client.grant_lease(5.0)
                assert len(restores) == count

        _run_with_store(scenario)

    def test_watch_from_a_revision_given_out_anew_has_the_new_epoch(self):
        async def scenario(store, client):
            copy = store.take_copy()
            store.put("p/a", b"1")
            listed = await client.list_items("p/")
            store.restore(copy)
            for value in (b"2", b"3"):
                store.put("p/a", value)
            batch = await client.wait_for_changes("p/", listed.as_of, 1.0)
            assert batch.epoch > listed.epoch

        _run_with_store(scenario)

    # Guards against what was true before the restore being taken for news.
    def test_late_response_of_an_earlier_epoch_is_no_answer(self):
        async def scenario(store, client):
            store.era = 3
            await client.list_items("p/")
            store.era = 2
            with pytest.raises(errors.StoreUnavailableError):
                await client.list_items("p/")

        _run_with_store(scenario)

    def test_pages_of_two_epochs_are_no_listing(self):
        async def scenario(store, client):
            for index in range(120):
                store.put(f"p/{index:03}", b"1")
            copy = store.take_copy()
            read_range = store._read_range

            def restore_before_the_last_page(query):
                if query.get("after", "") >= "p/09":
                    store.restore(copy)
                return read_range(query)

            await client.list_items("p/")
            store._read_range = restore_before_the_last_page
            with pytest.raises(errors.StoreUnavailableError):
                await client.list_items("p/")

        _run_with_store(scenario)
