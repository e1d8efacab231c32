"""In-memory fakes of the peer network, the store and the targets."""

import asyncio
import collections
import contextlib

from chicorydoor import errors
from chicorydoor.transport import etcd_store_client
from chicorydoor.transport import streaming_connection

# Keeps two messages of a sender to a receiver in the order of sending.
_MIN_SPACING_S = 1e-6


class FakeNetwork:
    """Delivers messages between fake links, with delay, loss and partitions.

    Messages from one sender to one receiver stay in order.
    ``loss_probability`` is the probability that a message is lost,
    ``partitioned_pairs`` holds pairs of failure domains that can't reach each
    other.

    Args:
        rng (Random): Source of randomness for lost messages.
        in_region_delay_s (float): Delay within a region. Defaults to 0.0005.
        cross_region_delay_s (float): Delay between regions. Defaults to
            0.03.
    """

    def __init__(
        self, rng, in_region_delay_s=0.0005, cross_region_delay_s=0.03
    ):
        self._rng = rng
        self._in_region_delay_s = in_region_delay_s
        self._cross_region_delay_s = cross_region_delay_s
        self.loss_probability = 0.0
        self.partitioned_pairs = set()
        self.region_by_address = {}
        self.domain_by_address = {}
        self._inbox_by_address = {}
        self._last_delivery_at_by_pair = {}
        self.delivered = []

    def create_link(self, address, domain, region):
        self.domain_by_address[address] = domain
        self.region_by_address[address] = region
        self._inbox_by_address[address] = asyncio.Queue()
        return FakeLink(self, address)

    def partition(self, domain, other):
        self.partitioned_pairs.add(frozenset((domain, other)))

    def partition_domain(self, domain):
        for other in set(self.domain_by_address.values()) - {domain}:
            self.partition(domain, other)

    def remove_partitions(self):
        self.partitioned_pairs.clear()

    def remove_link(self, address):
        self._inbox_by_address.pop(address, None)

    def transmit(self, sender, receiver, data):
        addresses = (sender, receiver)
        domains = frozenset(self.domain_by_address.get(a) for a in addresses)
        regions = {self.region_by_address.get(a) for a in addresses}
        if (
            domains in self.partitioned_pairs
            or self._rng.random() < self.loss_probability
        ):
            return
        delay_s = (
            self._in_region_delay_s
            if len(regions) == 1
            else self._cross_region_delay_s
        )
        loop = asyncio.get_running_loop()
        pair = (sender, receiver)
        earliest_at = (
            self._last_delivery_at_by_pair.get(pair, 0.0) + _MIN_SPACING_S
        )
        deliver_at = max(loop.time() + delay_s, earliest_at)
        self._last_delivery_at_by_pair[pair] = deliver_at
        loop.call_at(deliver_at, self._deliver, receiver, data)

    def _deliver(self, receiver, data):
        queue = self._inbox_by_address.get(receiver)
        if queue is not None:
            queue.put_nowait(data)

    def inbox(self, address):
        return self._inbox_by_address[address]


class FakeLink:
    """The link of one entry to a fake network; keeps what it has sent."""

    def __init__(self, network, address):
        self._network = network
        self.address = address
        self.sent = []

    def send(self, address, data):
        self.sent.append(data)
        self._network.transmit(self.address, address, data)

    async def receive(self):
        return await self._network.inbox(self.address).get()


class FakeStore:
    """A key-value store in memory, with outages and lost answers.

    Attributes:
        is_unavailable (bool): Every call fails with ``StoreUnavailableError``.
        unreachable_domains (set): Failure domains that can't reach the store.
        answers_to_lose (int): Number of compare-and-swap calls that are
            executed but whose answer is lost.
        holds_next_write (bool): Whether the next compare-and-swap is held
            back and its caller gets no answer; ``execute_held_writes``
            executes it.
        stale_value_by_key (dict): If set, ``get`` answers from these values,
            as a replica that lags behind does.
    """

    def __init__(self):
        self.value_by_key = {}
        self.revision = 0
        self.is_unavailable = False
        self.unreachable_domains = set()
        self.answers_to_lose = 0
        self.held_writes = []
        self.holds_next_write = False
        self.stale_value_by_key = None
        self.call_count_by_kind = collections.Counter()
        self._change_event = asyncio.Event()

    def _begin_call(self, kind):
        """Count a call; raises StoreUnavailableError in an outage."""
        self.call_count_by_kind[kind] += 1
        if self.is_unavailable:
            raise errors.StoreUnavailableError("outage")

    async def get(self, key):
        self._begin_call("get")
        await asyncio.sleep(0.002)
        source = self.stale_value_by_key or self.value_by_key
        return source.get(key)

    async def get_many(self, keys):
        self._begin_call("get_many")
        await asyncio.sleep(0.002)
        found = self.value_by_key
        return {key: found[key].value for key in keys if key in found}

    async def put_many(self, value_by_key):
        self._begin_call("put_many")
        self.revision += 1
        for key, value in value_by_key.items():
            stored = etcd_store_client.StoredValue(value, self.revision)
            self.value_by_key[key] = stored

    async def compare_and_swap(self, key, mod_revision, value, deletes=()):
        self._begin_call("cas")
        if self.holds_next_write:
            self.holds_next_write = False
            self.held_writes.append((key, mod_revision, value))
            raise errors.StoreUnavailableError("no answer")
        is_swapped = self._swap(key, mod_revision, value)
        if is_swapped:
            for other in deletes:
                self.value_by_key.pop(other, None)
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            raise errors.StoreUnavailableError("answer lost")
        return is_swapped

    def _swap(self, key, mod_revision, value):
        stored = self.value_by_key.get(key)
        if (stored.mod_revision if stored else 0) != mod_revision:
            return False
        self.revision += 1
        self.value_by_key[key] = etcd_store_client.StoredValue(
            value, self.revision
        )
        self._change_event.set()
        self._change_event = asyncio.Event()
        return True

    def execute_held_writes(self):
        writes, self.held_writes = self.held_writes, []
        return [self._swap(*write) for write in writes]

    @contextlib.asynccontextmanager
    async def watch(self, key, after_revision):
        self._begin_call("watch")
        yield self._events(key, after_revision)

    async def _events(self, key, after):
        while not self.is_unavailable:
            stored = self.value_by_key.get(key)
            if stored is not None and stored.mod_revision > after:
                after = stored.mod_revision
                yield stored
                continue
            change_event = self._change_event
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    await change_event.wait()


class StoreView:
    """The fake store as seen from one failure domain, which may be cut off.

    While it is, every access to an attribute of the store raises.
    """

    def __init__(self, store, domain):
        self._store = store
        self._domain = domain

    def __getattr__(self, name):
        if self._domain in self._store.unreachable_domains:
            raise errors.StoreUnavailableError("cut off")
        return getattr(self._store, name)


class FakeTarget:
    """A target that answers after a fixed time and counts requests.

    ``seen`` holds each request as (time in seconds, request id, method).

    Args:
        work_s (float): Processing time of a request. Defaults to 0.01.
    """

    def __init__(self, work_s=0.01):
        self.work_s = work_s
        self.running_count = 0
        self.peak_running_count = 0
        self.received = []
        self.resets_connections = False
        self.refuses_connections = False
        self.response_body = b"ok"


class FakeConnection:
    """A connection to a fake target."""

    def __init__(self, target):
        self._target = target

    async def send(self, method, path, headers, body, timeout_s):
        target = self._target
        await asyncio.sleep(0.001)
        if target.refuses_connections:
            raise errors.TargetError("refused", may_have_been_sent=False)
        if path == b"/health":
            return _build_answer(b'{"load": 0.0}')
        header_by_name = dict(headers)
        request_id = header_by_name[b"x-request-id"].decode()
        now = asyncio.get_running_loop().time()
        target.received.append((now, request_id, method))
        target.running_count += 1
        target.peak_running_count = max(
            target.peak_running_count, target.running_count
        )
        try:
            await asyncio.sleep(target.work_s)
        finally:
            target.running_count -= 1
        if target.resets_connections:
            raise errors.TargetError("reset", may_have_been_sent=True)
        return _build_answer(target.response_body)

    def is_usable(self):
        return True

    async def close(self):
        return None


def _build_answer(body):
    async def body_pieces():
        yield body

    headers = [(b"content-length", str(len(body)).encode())]
    return streaming_connection.StreamingResponse(200, headers, body_pieces())
