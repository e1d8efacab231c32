"""Small fakes at the interfaces: links, store, targets."""

import asyncio
import collections
import contextlib

from chicorydoor import errors
from chicorydoor.transport import store_client
from chicorydoor.transport import target_connection

_IN_ORDER_S = 1e-6


class FakeNetwork:
    """Carries messages between fake links, with delay, loss and cuts."""

    def __init__(self, rng, delay_s=0.0005, far_delay_s=0.03):
        self._rng = rng
        self._delay_s = delay_s
        self._far_delay_s = far_delay_s
        self.loss = 0.0
        self.cuts = set()
        self.region_by_address = {}
        self.domain_by_address = {}
        self._queue_by_address = {}
        self._latest_by_pair = {}
        self.delivered = []

    def link(self, address, domain, region):
        self.domain_by_address[address] = domain
        self.region_by_address[address] = region
        self._queue_by_address[address] = asyncio.Queue()
        return FakeLink(self, address)

    def cut(self, domain, other):
        self.cuts.add(frozenset((domain, other)))

    def cut_off(self, domain):
        for other in set(self.domain_by_address.values()) - {domain}:
            self.cut(domain, other)

    def heal(self):
        self.cuts.clear()

    def remove(self, address):
        self._queue_by_address.pop(address, None)

    def carry(self, sender, receiver, data):
        ends = (sender, receiver)
        domains = frozenset(self.domain_by_address.get(a) for a in ends)
        regions = {self.region_by_address.get(a) for a in ends}
        if domains in self.cuts or self._rng.random() < self.loss:
            return
        delay_s = self._delay_s if len(regions) == 1 else self._far_delay_s
        loop = asyncio.get_running_loop()
        pair = (sender, receiver)
        earliest = self._latest_by_pair.get(pair, 0.0) + _IN_ORDER_S
        at = max(loop.time() + delay_s, earliest)
        self._latest_by_pair[pair] = at
        loop.call_at(at, self._deliver, receiver, data)

    def _deliver(self, receiver, data):
        queue = self._queue_by_address.get(receiver)
        if queue is not None:
            queue.put_nowait(data)

    def queue(self, address):
        return self._queue_by_address[address]


class FakeLink:
    """One entry's end of a fake network."""

    def __init__(self, network, address):
        self._network = network
        self.address = address
        self.sent = []

    def send(self, address, data):
        self.sent.append(data)
        self._network.carry(self.address, address, data)

    async def receive(self):
        return await self._network.queue(self.address).get()


class FakeStore:
    """A key-value service in memory, with outages and lost answers."""

    def __init__(self):
        self.value_by_key = {}
        self.revision = 0
        self.is_down = False
        self.cut_domains = set()
        self.lose_answers = 0
        self.late_writes = []
        self.hold_writes = False
        self.answer_from = None
        self.calls = collections.Counter()
        self._changed = asyncio.Event()

    def _enter(self, kind):
        self.calls[kind] += 1
        if self.is_down:
            raise errors.StoreUnavailableError("outage")

    async def get(self, key):
        self._enter("get")
        await asyncio.sleep(0.002)
        source = self.answer_from or self.value_by_key
        return source.get(key)

    async def get_many(self, keys):
        self._enter("get_many")
        await asyncio.sleep(0.002)
        found = self.value_by_key
        return {key: found[key].value for key in keys if key in found}

    async def put_many(self, value_by_key):
        self._enter("put_many")
        self.revision += 1
        for key, value in value_by_key.items():
            stored = store_client.StoredValue(value, self.revision)
            self.value_by_key[key] = stored

    async def compare_and_swap(self, key, mod_revision, value, deletes=()):
        self._enter("cas")
        if self.hold_writes:
            self.hold_writes = False
            self.late_writes.append((key, mod_revision, value))
            raise errors.StoreUnavailableError("no answer")
        is_swapped = self._swap(key, mod_revision, value)
        if is_swapped:
            for other in deletes:
                self.value_by_key.pop(other, None)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise errors.StoreUnavailableError("answer lost")
        return is_swapped

    def _swap(self, key, mod_revision, value):
        stored = self.value_by_key.get(key)
        if (stored.mod_revision if stored else 0) != mod_revision:
            return False
        self.revision += 1
        self.value_by_key[key] = store_client.StoredValue(value, self.revision)
        self._changed.set()
        self._changed = asyncio.Event()
        return True

    def land_late_writes(self):
        writes, self.late_writes = self.late_writes, []
        return [self._swap(*write) for write in writes]

    @contextlib.asynccontextmanager
    async def watch(self, key, after):
        self._enter("watch")
        yield self._events(key, after)

    async def _events(self, key, after):
        while not self.is_down:
            stored = self.value_by_key.get(key)
            if stored is not None and stored.mod_revision > after:
                after = stored.mod_revision
                yield stored
                continue
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    await changed.wait()


class StoreView:
    """The fake store as one failure domain reaches it."""

    def __init__(self, store, domain):
        self._store = store
        self._domain = domain

    def __getattr__(self, name):
        if self._domain in self._store.cut_domains:
            raise errors.StoreUnavailableError("cut off")
        return getattr(self._store, name)


class FakeTarget:
    """Counts what is outstanding; answers after its work time."""

    def __init__(self, work_s=0.01):
        self.work_s = work_s
        self.running = 0
        self.most_running = 0
        self.seen = []
        self.is_failing = False
        self.is_down = False
        self.answer = b"ok"


class FakeConnection:
    """A connection to a fake target."""

    def __init__(self, target):
        self._target = target

    async def send(self, method, path, headers, body, timeout):
        target = self._target
        await asyncio.sleep(0.001)
        if target.is_down:
            raise errors.TargetError("refused", sent=False)
        if path == b"/health":
            return _answer(b'{"load": 0.0}')
        header_by_name = dict(headers)
        request_id = header_by_name[b"x-request-id"].decode()
        now = asyncio.get_running_loop().time()
        target.seen.append((now, request_id, method))
        target.running += 1
        target.most_running = max(target.most_running, target.running)
        try:
            await asyncio.sleep(target.work_s)
        finally:
            target.running -= 1
        if target.is_failing:
            raise errors.TargetError("reset", sent=True)
        return _answer(target.answer)

    def is_usable(self):
        return True

    async def close(self):
        return None


def _answer(body):
    async def pieces():
        yield body

    headers = [(b"content-length", str(len(body)).encode())]
    return target_connection.TargetAnswer(200, headers, pieces())
