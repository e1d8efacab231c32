"""A large configuration reaches the entries of a region over slow links.

The load: 24 entries in three failure domains with links of 10 Mbit/s each way,
a configuration of some thousand routes that is about 1 MB large, a change of
it every few seconds, and targets that write to the store all the time.
"""

import asyncio
import base64
import json
import random

from chicorydoor import compose_fleet
from chicorydoor.protocol import store_items
from tests.support import simulated_peers
from tests.support import virtual_time

_ENTRIES = 24
_DOMAINS = 3
_LINK_BYTES_PER_S = 10_000_000 / 8
_ROUTES = 4000
# The users' tightest limit, counted from the store's acknowledgement.
_IN_FORCE_WITHIN_S = 2.5
(_POLICY,) = (
    policy
    for policy in compose_fleet.FOLLOW_POLICIES
    if policy.prefix == "op/"
)
_KEY = "op/config"
# Writes of targets, which raise the store's revision.
_WRITES_PER_S = 100


def _make_value(version, routes):
    """Return a configuration about as large and as compressible as real ones.

    Args:
        version (int): Its version.
        routes (int): Number of its routes.
    """
    rng = random.Random(1)
    rows = [
        {
            "name": f"r-{rng.getrandbits(36):x}",
            "host": f"h{rng.getrandbits(16):x}.example",
            "prefix": f"/{rng.getrandbits(40):x}/",
            "kind": "safe",
            "timeout": "5000ms",
            "targetLatency": "1218ms",
            "service": "huvo11a",
            "maxAttempts": 2,
            "public": False,
            "sessionAffinity": True,
            "allowedRegions": [],
        }
        for _ in range(routes)
    ]
    return json.dumps({"version": version, "routes": rows}).encode()


class _Store:
    """A store with one key, whose answers cross the links of its callers."""

    def __init__(self, network):
        self._network = network
        self.item = None
        self._started_at = asyncio.get_running_loop().time()
        self._own_writes = 0

    @property
    def revision(self):
        elapsed_s = asyncio.get_running_loop().time() - self._started_at
        return 1 + self._own_writes + int(elapsed_s * _WRITES_PER_S)

    def write(self, value):
        self._own_writes += 1
        self.item = store_items.StoreItemChange(_KEY, self.revision, value)

    async def answer(self, address, items, as_of):
        loop = asyncio.get_running_loop()
        size = 200 + sum(len(base64.b64encode(i.value)) for i in items)
        arrives_at = self._network.occupy((address, "in"), size, loop.time())
        await asyncio.sleep(arrives_at - loop.time() + 0.001)
        return store_items.StoreItemBatch(items, as_of)


class _Feed:
    """The store as one entry reaches it."""

    def __init__(self, store, address):
        self._store = store
        self._address = address

    async def list_items(self, prefix):
        return await self._store.answer(
            self._address, [self._store.item], self._store.revision
        )

    async def wait_for_changes(self, prefix, after, wait_s):
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + wait_s
        while self._store.item.revision <= after and loop.time() < ends_at:
            await asyncio.sleep(0.005)
        item = self._store.item
        return await self._store.answer(
            self._address,
            [item] if item.revision > after else [],
            self._store.revision,
        )


def _run(scenario):
    async def run():
        network = simulated_peers.Network(_LINK_BYTES_PER_S)
        store = _Store(network)
        store.write(_make_value(1, 10))
        entries = [
            simulated_peers.Entry(
                network,
                f"e{index}",
                ["e0:1"] if index else [],
                feed=_Feed(store, f"e{index}:1"),
                policy=_POLICY,
                rank=index,
                domain_count=_DOMAINS,
            )
            for index in range(_ENTRIES)
        ]
        for entry in entries:
            for other in entries:
                entry.fleet.record_registration(
                    other.fleet.own_registration, 0.0
                )
        tasks = [asyncio.create_task(e.peers.run()) for e in entries]
        tasks += [asyncio.create_task(e.follower.run()) for e in entries]
        try:
            await asyncio.sleep(5.0)
            await scenario(network, store, entries)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    virtual_time.run(run())


def _count_current(store, entries):
    """Return how many entries have the store's latest value."""
    revisions = [
        entry.follower.mirror.item_by_key[_KEY].revision for entry in entries
    ]
    return sum(revision == store.item.revision for revision in revisions)


class TestSlowLinks:
    # Guards against entries that act by an old configuration because copies of
    # it, requested over and over, fill the links between them.
    def test_change_is_in_force_everywhere_in_time(self):
        async def scenario(network, store, entries):
            for version in range(2, 6):
                store.write(_make_value(version, _ROUTES))
                await asyncio.sleep(_IN_FORCE_WITHIN_S)
                assert _count_current(store, entries) == _ENTRIES
                await asyncio.sleep(1.0)

        _run(scenario)

    # Guards against a repair that makes other entries believe that they lack
    # a change, and request copies in turn.
    def test_copies_end_when_all_entries_have_the_change(self):
        async def scenario(network, store, entries):
            store.write(_make_value(2, _ROUTES))
            await asyncio.sleep(10.0)
            assert _count_current(store, entries) == _ENTRIES
            network.sent_messages.clear()
            await asyncio.sleep(10.0)
            largest = max(size for _, _, size in network.sent_messages)
            assert largest < len(store.item.value) / 20

        _run(scenario)

    # Guards against copies that are requested while one is on its way.
    def test_each_entry_receives_a_change_about_once(self):
        async def scenario(network, store, entries):
            network.sent_messages.clear()
            store.write(_make_value(2, _ROUTES))
            await asyncio.sleep(10.0)
            received_bytes = sum(
                size
                for _, _, size in network.sent_messages
                if size > len(store.item.value) / 20
            )
            assert received_bytes < _ENTRIES * len(store.item.value) / 4

        _run(scenario)
