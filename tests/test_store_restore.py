"""Entries and a store that comes back from a copy of itself.

Each guards against what is handled as before the store's return: withdrawn
keys that stay in force, and evacuations, registrations and leases that are
lost with the copy, or return with it.
"""

import asyncio
import itertools
import json

import pytest

from chicorydoor.coordination import entry_registration
from chicorydoor.platform import documents
from chicorydoor.standins import platform_store
from tests.support import clocks
from tests.support import platform_cluster

# Time limit of a change of the configuration, of a drain and of an evacuation.
_CHANGE_LIMIT_S = 2.5
# What the store's copy lacks is written again within this time.
_REWRITE_LIMIT_S = 2.0


def _build_config(version, keys):
    tenants = [{"name": "c", "apiKeys": keys, "ratePerS": 0}]
    return platform_cluster.build_config(version, tenants=tenants)


def _register(cluster, index, sequence, state="ready"):
    document = json.loads(
        platform_cluster.build_registration(cluster.targets[index], state)
    )
    document["status"]["sequence"] = sequence
    cluster.store.put(f"servers/t{index}", json.dumps(document).encode())


async def _statuses(cluster, key="key-1"):
    return [
        (
            await cluster.call(entry=index, headers={"x-api-key": key})
        ).status_code
        for index in range(len(cluster.entries))
    ]


async def _receivers(cluster, calls=8):
    """Names of the targets that requests for several objects reach."""
    before = [len(target.received_headers) for target in cluster.targets]
    for index in range(calls):
        await cluster.call(headers={"affinity-key": str(index)})
    return {
        target.name
        for target, count in zip(cluster.targets, before, strict=True)
        if len(target.received_headers) > count
    }


async def _write_some(cluster, count=10):
    """Let the revision rise far above that of a copy taken before."""
    for number in range(1, 1 + count):
        cluster.store.put("op/other", b"%d" % number)
        for index in range(len(cluster.targets)):
            _register(cluster, index, number)
    # The targets' registrations are read about every second.
    await asyncio.sleep(1.3)


class TestConfiguration:
    # Guards against a key that is withdrawn after the store's return and
    # stays in force, because the entries know a higher revision.
    def test_key_withdrawn_after_the_restore_is_refused(self):
        async def scenario(cluster):
            keys = ["key-1", "key-2"]
            cluster.store.put("op/config", _build_config(2, keys))
            await asyncio.sleep(0.5)
            copy = cluster.store.take_copy()
            await _write_some(cluster)
            cluster.store.put("op/config", _build_config(3, keys))
            await asyncio.sleep(0.5)
            cluster.store.restore(copy)
            cluster.store.put("op/config", _build_config(3, keys))
            await asyncio.sleep(0.5)
            cluster.store.put("op/config", _build_config(4, ["key-1"]))
            await asyncio.sleep(_CHANGE_LIMIT_S)
            assert await _statuses(cluster, "key-2") == [401, 401]
            assert await _statuses(cluster) == [200, 200]

        platform_cluster.run(scenario, entries=2)

    # Guards against proper requests that are refused as wrong, because what
    # was added after the store's return is not taken.
    def test_key_and_route_added_after_the_restore_are_served(self):
        async def scenario(cluster):
            copy = cluster.store.take_copy()
            await _write_some(cluster)
            cluster.store.restore(copy)
            await asyncio.sleep(0.5)
            document = json.loads(_build_config(4, ["key-1", "key-2"]))
            document["routes"].append(
                document["routes"][0] | {"name": "new", "prefix": "/new/"}
            )
            cluster.store.put("op/config", json.dumps(document).encode())
            await asyncio.sleep(_CHANGE_LIMIT_S)
            for entry in range(2):
                response = await cluster.call(
                    path="/new/1", entry=entry, headers={"x-api-key": "key-2"}
                )
                assert response.status_code == 200

        platform_cluster.run(scenario, entries=2)

    # Guards against the same at an entry that the store turns away, which
    # has only its peers' word for the restore.
    def test_entry_without_the_store_learns_of_the_restore(self):
        async def scenario(cluster):
            refusing = platform_store.PlatformStore()
            await refusing.start()
            refusing.failure_mode = platform_store.FailureMode.REFUSING
            seed = cluster.entries[0].settings.peers
            await cluster.add_entry("e9", refusing.endpoint, [seed])
            copy = cluster.store.take_copy()
            await _write_some(cluster)
            cluster.store.restore(copy)
            await asyncio.sleep(0.5)
            cluster.store.put("op/config", _build_config(4, ["key-2"]))
            await asyncio.sleep(_CHANGE_LIMIT_S)
            assert await _statuses(cluster, "key-1") == [401, 401]
            await refusing.stop()

        platform_cluster.run(scenario)

    def test_configuration_of_the_copy_is_not_taken_back(self):
        async def scenario(cluster):
            copy = cluster.store.take_copy()
            cluster.store.put("op/config", _build_config(3, ["key-2"]))
            await asyncio.sleep(1.0)
            cluster.store.restore(copy)
            await asyncio.sleep(_REWRITE_LIMIT_S)
            assert await _statuses(cluster, "key-1") == [401]

        platform_cluster.run(scenario)


class TestEvacuations:
    # Guards against requests to an evacuated domain between the store's
    # return and the operator's repeated write.
    def test_evacuation_that_the_copy_lacks_stays_until_written_again(self):
        async def scenario(cluster):
            copy = cluster.store.take_copy()
            await _write_some(cluster)
            cluster.store.put("op/evacuate/na", b"{}")
            await asyncio.sleep(1.0)
            assert await _statuses(cluster) == [503]
            cluster.store.restore(copy)
            for _ in range(8):
                await asyncio.sleep(_REWRITE_LIMIT_S / 8)
                assert await _statuses(cluster) == [503]
            cluster.store.put("op/evacuate/na", b"{}")
            await asyncio.sleep(2.0)
            assert await _statuses(cluster) == [503]

        platform_cluster.run(scenario)

    def test_evacuation_that_is_not_written_again_ends(self):
        async def scenario(cluster):
            copy = cluster.store.take_copy()
            await _write_some(cluster)
            cluster.store.put("op/evacuate/na", b"{}")
            await asyncio.sleep(1.0)
            cluster.store.restore(copy)

            async def is_served():
                return await _statuses(cluster) == [200]

            await cluster.wait_until(is_served, seconds=6.0)

        platform_cluster.run(scenario)

    # Guards against a domain whose evacuation ended and that gets no requests
    # because the copy still holds it.
    def test_ended_evacuation_does_not_return_with_the_copy(self):
        async def scenario(cluster):
            cluster.store.put("op/evacuate/na", b"{}")
            await asyncio.sleep(1.0)
            copy = cluster.store.take_copy()
            cluster.store.remove("op/evacuate/na")
            await asyncio.sleep(1.0)
            assert await _statuses(cluster) == [200]
            cluster.store.restore(copy)
            await asyncio.sleep(1.0)
            assert await _statuses(cluster) == [200]

        platform_cluster.run(scenario)


class TestTargets:
    # Guards against requests to a target that has said that it leaves, and
    # whose registration in the copy is that of before.
    def test_leaving_target_does_not_return_with_the_copy(self):
        async def scenario(cluster):
            _register(cluster, 0, 1)
            await asyncio.sleep(1.3)
            copy = cluster.store.take_copy()
            _register(cluster, 0, 2, "draining")
            await asyncio.sleep(1.3)
            cluster.store.restore(copy)
            await asyncio.sleep(1.3)
            assert await _receivers(cluster) == {"t1"}
            _register(cluster, 0, 3, "draining")
            await asyncio.sleep(1.3)
            assert await _receivers(cluster) == {"t1"}

        platform_cluster.run(scenario)

    # Guards against requests to targets that leave after the store's return,
    # because that counts as older than what the entries know.
    @pytest.mark.parametrize("way", ["draining", "removed"])
    def test_target_that_leaves_after_the_restore_gets_no_requests(self, way):
        async def scenario(cluster):
            copy = cluster.store.take_copy()
            await _write_some(cluster)
            cluster.store.restore(copy)
            await asyncio.sleep(0.5)
            if way == "removed":
                cluster.store.remove("servers/t0")
            else:
                _register(cluster, 0, 19, "draining")
            await asyncio.sleep(_CHANGE_LIMIT_S)
            assert await _receivers(cluster) == {"t1"}

        platform_cluster.run(scenario)

    # Guards against requests to a target that has left without a word and
    # whose registration is back with the copy.
    def test_gone_target_does_not_return_with_the_copy(self):
        async def scenario(cluster):
            copy = cluster.store.take_copy()
            cluster.store.remove("servers/t0")
            await asyncio.sleep(1.3)
            cluster.store.restore(copy)
            await asyncio.sleep(1.3)
            assert await _receivers(cluster) == {"t1"}
            # It was only late: it writes its registration again.
            _register(cluster, 0, 7)
            await asyncio.sleep(1.3)
            assert await _receivers(cluster) == {"t0", "t1"}

        platform_cluster.run(scenario)

    # Guards against targets that are lost for a time because they registered
    # after the copy was taken.
    def test_target_that_the_copy_lacks_stays_while_it_may_register(self):
        async def scenario(cluster):
            cluster.store.remove("servers/t0")
            copy = cluster.store.take_copy()
            _register(cluster, 0, 1)
            await asyncio.sleep(1.3)
            assert await _receivers(cluster) == {"t0", "t1"}
            cluster.store.restore(copy)
            await asyncio.sleep(1.3)
            assert await _receivers(cluster) == {"t0", "t1"}
            await asyncio.sleep(3.0)
            assert await _receivers(cluster) == {"t1"}

        platform_cluster.run(scenario)


class TestEntries:
    def test_registration_that_the_copy_lacks_is_written_again(self):
        async def scenario(cluster):
            copy = cluster.store.take_copy()
            await cluster.add_entry("e8")
            key = documents.ENTRY_PREFIX + "e8"

            async def is_registered():
                return key in cluster.store.keys()

            await cluster.wait_until(is_registered)
            cluster.store.restore(copy)
            assert not await is_registered()
            await cluster.wait_until(is_registered, seconds=_REWRITE_LIMIT_S)

        platform_cluster.run(scenario)


class _LeaseStore:
    """Grants leases and records the calls.

    Args:
        first_lease (int): Id of the first lease.
    """

    def __init__(self, first_lease=1):
        self.leases = itertools.count(first_lease)
        self.writes = []
        self.renewed = []
        self.revoked = []

    async def grant_lease(self, ttl_s):
        return next(self.leases), ttl_s

    async def renew_lease(self, lease):
        self.renewed.append(lease)
        return True

    async def revoke_lease(self, lease):
        self.revoked.append(lease)

    async def put(self, key, value, lease):
        self.writes.append((key, lease))
        return True


class TestLeases:
    # Guards against the renewal or the end of a lease that belongs to another
    # holder: a restored store gives ids out again.
    def test_lease_of_before_the_restore_is_not_used(self):
        async def run():
            store = _LeaseStore()
            registration = entry_registration.EntryRegistration(
                store, "k", lambda: b"v", clocks.ManualClock(), lambda: None
            )
            task = asyncio.create_task(registration.run())
            await asyncio.sleep(0.05)
            registration.handle_restore()
            await asyncio.sleep(0.05)
            assert store.writes == [("k", 1), ("k", 2)]
            registration.handle_restore()
            task.cancel()
            await registration.withdraw()
            assert (store.renewed, store.revoked) == ([], [])

        asyncio.run(run())
