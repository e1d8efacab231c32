"""Messages between entries over a link that loses them."""

import asyncio

from chicorydoor.coordination import peer_exchange
from chicorydoor.coordination import store_follower
from chicorydoor.protocol import fleet_messages
from chicorydoor.protocol import store_items
from chicorydoor.state import fleet_view
from chicorydoor.state import object_memory
from chicorydoor.state import store_mirror
from chicorydoor.transport import clock as clock_module
from tests.support import virtual_time


class _Network:
    """Delivers messages unless a pair of addresses is cut."""

    def __init__(self):
        self.queue_by_address = {}
        self.cut = set()
        self.redialled = []


class _Link:
    def __init__(self, network, address):
        self._network = network
        self._address = address
        self._queue = asyncio.Queue()
        network.queue_by_address[address] = self._queue

    def send(self, address, data):
        queue = self._network.queue_by_address.get(address)
        if queue is not None and (self._address, address) not in (
            self._network.cut
        ):
            queue.put_nowait(data)

    async def receive(self):
        return await self._queue.get()

    def redial(self, address):
        self._network.redialled.append((self._address, address))


class _Entry:
    def __init__(self, network, name, seeds=()):
        clock = clock_module.LoopClock()
        me = fleet_view.Registration(
            name, 1, "na", "n", f"{name}:1", f"{name}:2"
        )
        self.fleet = fleet_view.FleetView(me, peer_exchange.SILENCE_S, 12.0)
        self.memory = object_memory.ObjectMemory()
        self.link = _Link(network, me.peer_address)
        self.peers = peer_exchange.PeerExchange(
            fleet=self.fleet,
            link=self.link,
            clock=clock,
            seed_addresses=seeds,
            rate_reports=dict,
            running=lambda: 0,
            memory=self.memory,
        )
        self.items = []
        self.follower = store_follower.StoreFollower(
            part=store_follower.Part("p/", 1.0, 0.0),
            feed=None,
            mirror=store_mirror.StoreMirror("p/"),
            clock=clock,
            publish=self.peers.publish,
            on_items=self.items.extend,
            rank=lambda: 0,
            on_contact=lambda: None,
        )
        self.peers.add_follower(self.follower)


def _play(scenario, count=3):
    async def run():
        network = _Network()
        entries = [
            _Entry(network, f"e{i}", ["e0:1"] if i else [])
            for i in range(count)
        ]
        for entry in entries:
            for other in entries:
                entry.fleet.note_registration(other.fleet.me)
        tasks = [asyncio.create_task(e.peers.run()) for e in entries]
        try:
            await scenario(network, entries)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    virtual_time.run(run())


def _live(entry):
    now = entry.peers._clock.now()
    return {m.registration.instance for m in entry.fleet.live(now)}


class TestHeartbeats:
    def test_entries_hear_each_other(self):
        async def scenario(network, entries):
            await asyncio.sleep(1.0)
            assert _live(entries[0]) == {"e1", "e2"}

        _play(scenario)

    def test_standing_is_told_at_once(self):
        async def scenario(network, entries):
            await asyncio.sleep(1.0)
            entries[1].peers.set_standing(fleet_view.Standing.READY)
            await asyncio.sleep(0.01)
            now = entries[0].peers._clock.now()
            ready = entries[0].fleet.ready(now)
            assert [entry.instance for entry in ready] == ["e1"]

        _play(scenario)

    def test_silent_entry_is_lost_and_redialled(self):
        async def scenario(network, entries):
            await asyncio.sleep(1.0)
            network.cut = {("e1:1", "e0:1")}
            await asyncio.sleep(4.0)
            assert _live(entries[0]) == {"e2"}
            assert ("e0:1", "e1:1") in network.redialled
            # The other side is told that it is not heard.
            assert ("e1:1", "e0:1") in network.redialled
            network.cut = set()
            await asyncio.sleep(1.0)
            assert _live(entries[0]) == {"e1", "e2"}

        _play(scenario)

    def test_sightings_reach_all(self):
        async def scenario(network, entries):
            await asyncio.sleep(1.0)
            now = entries[0].peers._clock.now()
            entries[0].memory.note(("r", b"7"), ("t", 1), now)
            await asyncio.sleep(0.5)
            for other in entries[1:]:
                known = other.memory.holders(("r", b"7"), now)
                assert list(known) == [("t", 1)]

        _play(scenario)

    def test_unreadable_message_changes_nothing(self):
        async def scenario(network, entries):
            network.queue_by_address["e0:1"].put_nowait(b"\xc1garbage")
            await asyncio.sleep(1.0)
            assert _live(entries[0]) == {"e1", "e2"}

        _play(scenario)


class TestStoreNews:
    def test_lost_news_are_made_good_by_a_copy(self):
        async def scenario(network, entries):
            await asyncio.sleep(1.0)
            network.cut = {("e0:1", "e1:1")}
            item = store_items.StoredItem("p/a", 5, b"1")
            batch = store_items.ItemBatch([item], 6)
            entries[0].follower.mirror.merge(batch, 0)
            news = fleet_messages.StoreNews("p/", 0, batch)
            entries[0].peers.publish(news)
            await asyncio.sleep(0.1)
            assert [i.key for i in entries[2].items] == ["p/a"]
            network.cut = set()
            await asyncio.sleep(1.0)
            assert [i.key for i in entries[1].items] == ["p/a"]

        _play(scenario)
