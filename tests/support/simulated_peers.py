"""Entries that exchange peer messages over a lossy fake network."""

import asyncio
import random

from chicorydoor.coordination import active_serving_config
from chicorydoor.coordination import peer_exchange
from chicorydoor.coordination import rate_limiter
from chicorydoor.coordination import region_digests
from chicorydoor.coordination import store_follower
from chicorydoor.protocol import serving_config
from chicorydoor.state import fleet_view
from chicorydoor.state import idle_limit
from chicorydoor.state import object_cache_index
from chicorydoor.state import rate_shares
from chicorydoor.state import request_crashes
from chicorydoor.state import service_reach
from chicorydoor.state import store_mirror
from chicorydoor.state import target_rate_limits
from chicorydoor.state import target_views
from chicorydoor.transport import clock as clock_module
from tests.support import config_builders
from tests.support import virtual_time

# After the prefix: watch_timeout_s, reader_count, read_interval_s, takeover_s,
# stagger_s and max_takeover_s.
_FOLLOW_POLICY = store_follower.FollowPolicy("p/", 1.0, 1, 0.0, 2.0, 0.1, 2.5)


class Network:
    """Delivers messages at once unless their pair of addresses says otherwise.

    ``dropped_pairs`` holds the pairs (sender, receiver) whose messages are
    dropped, ``delay_s_by_pair`` those whose messages arrive later and by how
    many seconds, ``reset_pairs`` those whose connection the sender has reset,
    and ``sent_messages`` sender, receiver and size in bytes of each message.

    Args:
        bytes_per_s (float): Bandwidth of each entry's link in each direction.
            Defaults to no limit.
    """

    def __init__(self, bytes_per_s=float("inf")):
        self._bytes_per_s = bytes_per_s
        self._free_at_by_link = {}
        self.queue_by_address = {}
        self.dropped_pairs = set()
        self.delay_s_by_pair = {}
        self.reset_pairs = []
        self.sent_messages = []

    def occupy(self, link, size_bytes, ready_at):
        """Return when a link has carried data that waits behind earlier data.

        Args:
            link (tuple): An address and a direction.
            size_bytes (int): Size of the data.
            ready_at (float): When the data reaches the link, in seconds.
        """
        starts_at = max(ready_at, self._free_at_by_link.get(link, 0.0))
        free_at = starts_at + size_bytes / self._bytes_per_s
        self._free_at_by_link[link] = free_at
        return free_at


class _Link:
    def __init__(self, network, address):
        self._network = network
        self._address = address
        self._inbox = asyncio.Queue()
        network.queue_by_address[address] = self._inbox

    def send(self, address, data):
        self._network.sent_messages.append((self._address, address, len(data)))
        queue = self._network.queue_by_address.get(address)
        pair = (self._address, address)
        if queue is None or pair in self._network.dropped_pairs:
            return
        loop = asyncio.get_running_loop()
        now = loop.time()
        size = len(data)
        left_at = self._network.occupy((self._address, "out"), size, now)
        arrived_at = self._network.occupy((address, "in"), size, left_at)
        arrived_at += self._network.delay_s_by_pair.get(pair, 0.0)
        if arrived_at > now:
            loop.call_at(arrived_at, queue.put_nowait, data)
        else:
            queue.put_nowait(data)

    async def receive(self):
        return await self._inbox.get()

    def reset_connection(self, address):
        self._network.reset_pairs.append((self._address, address))


class Entry:
    """The components of an entry that exchange messages with its peers.

    Args:
        network (Network): The network that connects the entries.
        name (str): Id of the entry, a letter and a number; the number
            selects its failure domain: "e3" in region "n" is in "nb".
        seeds (tuple): Peer addresses known at the start. Defaults to none.
        region (str): Region of the entry. Defaults to "n".
        feed (StoreFeed): The store that it follows. Defaults to none.
        policy (FollowPolicy): How it follows the store. Defaults to
            ``_FOLLOW_POLICY``.
        rank (int): Its position among the readers. Defaults to 0.
        domain_count (int): Failure domains of a region. Defaults to 2.
    """

    def __init__(
        self,
        network,
        name,
        seeds=(),
        region="n",
        feed=None,
        policy=None,
        rank=0,
        domain_count=2,
    ):
        clock = clock_module.EventLoopClock()
        domain = f"{region}{'abcdef'[int(name[1:]) % domain_count]}"
        registration = fleet_view.Registration(
            name, 1, domain, region, f"{name}:1", f"{name}:2"
        )
        # The times are silence_s, remove_after_s and digest_silence_s.
        self.fleet = fleet_view.FleetView(
            registration,
            peer_exchange.PEER_SILENT_AFTER_S,
            12.0,
            peer_exchange.REGION_SILENT_AFTER_S,
        )
        self.cache_index = object_cache_index.ObjectCacheIndex()
        self.targets = target_views.TargetViews(
            config_builders.REGION_BY_DOMAIN
        )
        # Overage as a fraction of the limit, and slack in requests.
        self.shares = rate_shares.RateShares(
            rate_shares.RateTolerance(0.1, 20.0)
        )
        self.link = _Link(network, registration.peer_address)
        self.active_config = active_serving_config.ActiveServingConfig()
        self.rate_limiter = rate_limiter.RateLimiter(
            fleet=self.fleet,
            shares=self.shares,
            active_config=self.active_config,
            link=self.link,
            clock=clock,
            rng=random.Random(name),
        )
        self.crashes = request_crashes.RequestCrashes(
            name, self.fleet.instances
        )
        self.rate_limits = target_rate_limits.TargetRateLimits(
            name, self.fleet.instances, self.fleet.region_instances
        )
        self.peers = peer_exchange.PeerExchange(
            fleet=self.fleet,
            link=self.link,
            clock=clock,
            seed_addresses=seeds,
            shares=self.shares,
            digests=region_digests.RegionDigests(
                self.fleet, self.shares, random.Random(name)
            ),
            limiter=self.rate_limiter,
            cache_index=self.cache_index,
            rate_limits=self.rate_limits,
            crashes=self.crashes,
            targets=self.targets,
            connection_idle_limit=idle_limit.IdleLimit(),
            reach=service_reach.ServiceReach(self.targets),
            rng=random.Random(name),
        )
        self.items = []
        self.follower = store_follower.StoreFollower(
            policy=policy or _FOLLOW_POLICY,
            feed=feed,
            mirror=store_mirror.StoreMirror("p/"),
            clock=clock,
            publish=self.peers.publish,
            on_items=self.items.extend,
            get_rank=lambda: rank,
            count_entries=lambda: 1 + len(self.fleet.region_peers()),
            on_contact=lambda: None,
        )
        self.peers.add_follower(self.follower)

    async def rebalance_periodically(self, customers):
        """Rebalance rate shares every 0.25 s as an entry does."""
        version = self.active_config.current.version + 1
        config = serving_config.ServingConfig(
            version=version, customers=customers
        )
        self.active_config.activate_if_newer(config)
        self.peers.set_state(fleet_view.EntryState.READY)
        while True:
            self.rate_limiter.update_candidates()
            self.shares.rebalance(
                customers,
                [
                    *self.fleet.announced_rates_of_region(),
                    *self.fleet.announced_rates_of_other_regions(),
                ],
                self.peers._clock.now(),
                fair_shares=self.rate_limiter,
                reduces_in_proportion=self.rate_limiter.may_borrow(),
            )
            await asyncio.sleep(0.25)


def run_scenario(scenario, regions="nnn", customers=()):
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
                entry.fleet.record_registration(
                    other.fleet.own_registration, 0.0
                )
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
