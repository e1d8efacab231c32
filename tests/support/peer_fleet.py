"""Entries that exchange peer messages over a fake network with cuts."""

import asyncio
import random

from chicorydoor.coordination import peer_exchange
from chicorydoor.coordination import plan_keeper
from chicorydoor.coordination import rate_desk
from chicorydoor.coordination import region_teller
from chicorydoor.coordination import store_follower
from chicorydoor.protocol import serving
from chicorydoor.state import fleet_view
from chicorydoor.state import idle_caution
from chicorydoor.state import object_memory
from chicorydoor.state import rate_shares
from chicorydoor.state import store_mirror
from chicorydoor.state import target_book
from chicorydoor.transport import clock as clock_module
from tests.support import serving as serving_builders
from tests.support import virtual_time


class Network:
    """Delivers messages at once unless their pair of addresses is cut.

    ``cut`` holds pairs (sender, receiver) whose messages are dropped.
    """

    def __init__(self):
        self.queue_by_address = {}
        self.cut = set()
        self.redialled = []
        self.sent = []


class _Link:
    def __init__(self, network, address):
        self._network = network
        self._address = address
        self._inbox = asyncio.Queue()
        network.queue_by_address[address] = self._inbox

    def send(self, address, data):
        self._network.sent.append((self._address, address, len(data)))
        queue = self._network.queue_by_address.get(address)
        if queue is not None and (self._address, address) not in (
            self._network.cut
        ):
            queue.put_nowait(data)

    async def receive(self):
        return await self._inbox.get()

    def reset_connection(self, address):
        self._network.redialled.append((self._address, address))


class Entry:
    """The parts of an entry that exchange messages with its peers.

    Args:
        network (Network): The network that connects the entries.
        name (str): Id of the entry, a letter and a number; the number
            selects its failure domain.
        seeds (tuple): Peer addresses known at the start. Defaults to none.
        region (str): Region of the entry. Defaults to "n".
    """

    def __init__(self, network, name, seeds=(), region="n"):
        clock = clock_module.EventLoopClock()
        domain = f"{region}{'ab'[int(name[1:]) % 2]}"
        registration = fleet_view.Registration(
            name, 1, domain, region, f"{name}:1", f"{name}:2"
        )
        self.fleet = fleet_view.FleetView(
            registration,
            peer_exchange.SILENCE_S,
            12.0,
            peer_exchange.DIGEST_SILENCE_S,
        )
        self.memory = object_memory.ObjectMemory()
        self.book = target_book.TargetBook(serving_builders.REGION_BY_DOMAIN)
        self.rates = rate_shares.RateShares(
            rate_shares.RateAllowance(0.1, 20.0)
        )
        self.link = _Link(network, registration.peer_address)
        self.plans = plan_keeper.PlanKeeper()
        self.desk = rate_desk.RateDesk(
            fleet=self.fleet,
            rates=self.rates,
            plans=self.plans,
            link=self.link,
            clock=clock,
            rng=random.Random(name),
        )
        self.peers = peer_exchange.PeerExchange(
            fleet=self.fleet,
            link=self.link,
            clock=clock,
            seed_addresses=seeds,
            rates=self.rates,
            teller=region_teller.RegionTeller(
                self.fleet, self.rates, random.Random(name)
            ),
            desk=self.desk,
            memory=self.memory,
            book=self.book,
            caution=idle_caution.IdleCaution(),
            rng=random.Random(name),
        )
        self.items = []
        self.follower = store_follower.StoreFollower(
            part=store_follower.Part("p/", 1.0, 1, 0.0, 2.0, 0.1),
            feed=None,
            mirror=store_mirror.StoreMirror("p/"),
            clock=clock,
            publish=self.peers.publish,
            on_items=self.items.extend,
            rank=lambda: 0,
            entries=lambda: 1,
            on_contact=lambda: None,
        )
        self.peers.add_follower(self.follower)

    async def rebalance_periodically(self, customers):
        """Rebalance rate shares every 0.25 s as an entry does."""
        version = self.plans.plan.version + 1
        plan = serving.ServingPlan(version=version, customers=customers)
        self.plans.offer(plan)
        self.peers.set_standing(fleet_view.Standing.READY)
        while True:
            self.desk.refresh()
            self.rates.rebalance(
                customers,
                [*self.fleet.reported_near(), *self.fleet.reported_far()],
                self.peers._clock.now(),
                fair=self.desk,
            )
            await asyncio.sleep(0.25)


def play(scenario, regions="nnn", customers=()):
    """Run a scenario on virtual time.

    Args:
        scenario (callable): Coroutine function of the network and the
            entries.
        regions (str): Region of each entry, one letter each. Defaults to
            three entries of region n.
        customers (tuple): Customers whose rates the entries share.
            Defaults to none.
    """

    async def run():
        network = Network()
        entries = [
            Entry(network, f"e{i}", ["e0:1"] if i else [], region)
            for i, region in enumerate(regions)
        ]
        for entry in entries:
            for other in entries:
                entry.fleet.note_registration(other.fleet.me)
        tasks = [asyncio.create_task(e.peers.run()) for e in entries]
        if customers:
            tasks += [
                asyncio.create_task(e.rebalance_periodically(customers))
                for e in entries
            ]
        try:
            await scenario(network, entries)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    virtual_time.run(run())
