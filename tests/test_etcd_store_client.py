"""The etcd client against the stand-in store, on real sockets."""

import asyncio

import pytest

from chicorydoor import errors
from chicorydoor.standins import etcd_store
from chicorydoor.transport import etcd_store_client
from tests.support import scripted_target


def _run_with_store(scenario):
    async def wrapped():
        standin = etcd_store.EtcdStandin()
        await standin.start()
        client = etcd_store_client.EtcdClient(standin.endpoint, timeout_s=1.0)
        try:
            await scenario(standin, client)
        finally:
            await client.close()
            await standin.stop()

    asyncio.run(wrapped())


class TestEtcdClient:
    def test_many_keys_are_read_and_written_in_transactions(self):
        async def scenario(standin, client):
            values = {f"k{n}": bytes([n]) * 9 for n in range(250)}
            await client.put_many(values)
            assert await client.get_many([*values, "missing"]) == values
            # 3 writes and 3 reads of at most 100 keys each.
            assert standin.call_count_by_kind["txn"] == 6
            assert await client.get("missing") is None

        _run_with_store(scenario)

    def test_compare_and_swap(self):
        async def scenario(standin, client):
            assert await client.compare_and_swap("k", 0, b"a")
            assert not await client.compare_and_swap("k", 0, b"b")
            stored = await client.get("k")
            await client.put_many({"old": b"x"})
            assert await client.compare_and_swap(
                "k", stored.mod_revision, b"c", ["old"]
            )
            assert (await client.get("k")).value == b"c"
            assert await client.get("old") is None

        _run_with_store(scenario)

    def test_write_whose_response_is_lost_takes_effect(self):
        async def scenario(standin, client):
            standin.faults.answers_to_lose = 1
            with pytest.raises(errors.StoreUnavailableError):
                await client.compare_and_swap("k", 0, b"a")
            assert (await client.get("k")).value == b"a"

        _run_with_store(scenario)

    def test_watch_yields_later_values_and_ends_with_an_outage(self):
        async def scenario(standin, client):
            await client.put_many({"k": b"a"})
            mod_revision = (await client.get("k")).mod_revision
            received = []
            async with client.watch("k", mod_revision) as changes:
                await client.put_many({"k": b"b"})
                async for change in changes:
                    received.append(change.value)
                    await standin.set_unavailable(True)
            assert received == [b"b"]
            assert standin.open_watch_count == 0

        _run_with_store(scenario)

    def test_outage_raises_store_unavailable(self):
        async def scenario(standin, client):
            await standin.set_unavailable(True)
            with pytest.raises(errors.StoreUnavailableError):
                await client.get("k")

        _run_with_store(scenario)

    def test_lease_is_renewed_until_it_expires(self):
        async def scenario(standin, client):
            lease = await client.grant_lease(5)
            assert await client.renew_lease(lease) == 5
            standin.expire_leases()
            assert await client.renew_lease(lease) == 0

        _run_with_store(scenario)


class TestInvalidResponses:
    # Guards against an invalid status whose response is taken for a value, and
    # against calls that informational responses hold for ever.
    @pytest.mark.parametrize(
        "start",
        [
            *(
                b"HTTP/1.1 %s Odd\r\ncontent-length: 2\r\n\r\n{}" % status
                for status in scripted_target.INVALID_STATUSES
            ),
            b"",
        ],
    )
    def test_they_raise_store_unavailable(self, start):
        async def scenario():
            answer = scripted_target.RawAnswer(
                start, b"" if start else b"HTTP/1.1 100 Continue\r\n\r\n"
            )
            target = await scripted_target.ScriptedTarget().start()
            target.behaviours = [answer]
            client = etcd_store_client.EtcdClient(target.address, 0.2)
            async with asyncio.timeout(3.0):
                with pytest.raises(errors.StoreUnavailableError):
                    await client.get("k")
            await client.close()
            await target.stop()

        asyncio.run(scenario())
