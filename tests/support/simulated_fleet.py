"""A fleet of entries on virtual time: real components over the fakes."""

import asyncio
import dataclasses
import itertools
import random

import msgspec

from chicorydoor import compose
from chicorydoor.protocol import admin_api
from chicorydoor.protocol import config_records as records
from chicorydoor.protocol import settings as settings_module
from chicorydoor.state import config_snapshot
from chicorydoor.transport import clock as clock_module
from tests.support import fakes

KEY_BY_CUSTOMER = {"acme": b"cdk_acme-key", "blinds": b"cdk_blinds-key"}


@dataclasses.dataclass
class CallerResponse:
    """The HTTP response that a caller receives."""

    status: int
    header_by_name: dict
    body: bytes

    @property
    def code(self):
        return int(self.header_by_name[b"x-chicorydoor-code"])

    @property
    def outcome(self):
        return self.header_by_name[b"x-chicorydoor-outcome"].decode()


class SimulatedEntry:
    """An entry of the fleet; a test can pause, resume and kill it."""

    def __init__(self, fleet, parts):
        self.fleet = fleet
        self.parts = parts
        self.task = asyncio.create_task(parts.run())

    @property
    def is_coordinator(self):
        return self.parts.membership.is_coordinator()

    async def pause(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def resume(self):
        self.task = asyncio.create_task(self.parts.run())

    async def kill(self):
        self.fleet.network.remove_link(self.parts.own_member.peer_address)
        await self.pause()
        await self.parts.close()
        del self.fleet.entry_by_id[self.parts.own_member.instance]

    async def send_request(
        self,
        path="/read/x",
        customer="acme",
        method="GET",
        body=b"",
        **header_values,
    ):
        """Send a caller's request; returns the response.

        Args:
            path (str): Path of the request. Defaults to "/read/x".
            customer (str): Customer whose key is sent, None for no key.
                Defaults to "acme".
            method (str): HTTP method. Defaults to "GET".
            body (bytes): Request body. Defaults to empty.
            header_values: Further headers; underscores in the names stand
                for hyphens.
        """
        headers = [
            (name.replace("_", "-").encode(), str(value).encode())
            for name, value in header_values.items()
        ]
        if customer:
            headers.append((b"x-api-key", KEY_BY_CUSTOMER[customer]))
        headers.append((b"content-length", str(len(body)).encode()))
        return await call_asgi_app(
            self.parts.caller_app, method, path, headers, body
        )


async def call_asgi_app(app, method, path, headers, body=b"", query=b""):
    """Send one request to an ASGI application; returns its response."""
    messages = [{"type": "http.request", "body": body}]
    sent = []

    async def receive():
        if messages:
            return messages.pop()
        await asyncio.Event().wait()

    async def send(message):
        sent.append(message)

    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "raw_path": path.encode(),
        "query_string": query,
        "headers": headers,
        "client": ("127.0.0.1", 1),
    }
    await app(scope, receive, send)
    content = b"".join(message.get("body", b"") for message in sent[1:])
    return CallerResponse(sent[0]["status"], dict(sent[0]["headers"]), content)


def build_configuration(
    domain_count=6,
    targets_per_domain=2,
    slots=4,
    rate=60.0,
    burst=60.0,
    **route_options,
):
    """A configuration with one service, a route with a key and an open one."""
    regions = [f"r{number}" for number in range(max(1, domain_count // 2))]
    result = records.Configuration()
    for region in regions:
        result.region_by_id[region] = records.Region()
    for number in range(domain_count):
        region = regions[number // 2 % len(regions)]
        domain = f"d{number}"
        result.domain_by_id[domain] = records.Domain(region)
        for index in range(targets_per_domain):
            name = f"{domain}-t{index}"
            result.target_by_id[name] = records.Target(
                "svc", domain, "10.0.0.1", number * 100 + index + 1, slots, 64
            )
    result.service_by_id["svc"] = records.Service(slow_start_s=0.0)
    for customer, key in KEY_BY_CUSTOMER.items():
        result.customer_by_id[customer] = records.Customer(rate, burst)
        digest = config_snapshot.key_digest(key)
        result.key_by_id[f"{customer}-key"] = records.Key(customer, digest)
    options = {"deadline_s": 2.0, **route_options}
    result.route_by_id["read"] = records.Route("svc", "/read", **options)
    result.route_by_id["open"] = records.Route(
        "svc", "/open", open=True, **options
    )
    result.policy_by_id["default"] = records.Policy(lookup_ttl_s=2.0)
    return result


class Fleet:
    """Entries over a fake network, a fake store and fake targets.

    Args:
        config (Configuration): Regions, domains, targets and rules.
        domains (list): Failure domain of each entry.
        seed (int): Seed of all randomness. Defaults to 1.
        work_s (float): Processing time of the targets. Defaults to 0.01.
        timing (Timing): Timing of all entries. Defaults to the standard
            values.
    """

    def __init__(self, config, domains, seed=1, work_s=0.01, timing=None):
        self.rng = random.Random(seed)
        self.config = config
        self.network = fakes.FakeNetwork(self.rng)
        self.store = fakes.FakeStore()
        self.clock = clock_module.EventLoopClock()
        self.timing = timing or settings_module.Timing()
        self.entry_by_id = {}
        self.target_by_address = {}
        self._numbers = itertools.count(1)
        for record in config.target_by_id.values():
            address = f"{record.address}:{record.port}"
            self.target_by_address[address] = fakes.FakeTarget(work_s)
        for domain in domains:
            self.add_entry(domain)

    def add_entry(self, domain):
        """Start an entry in a failure domain; all entries know each other."""
        number = next(self._numbers)
        instance = f"{domain}-e{number}"
        address = f"10.1.0.{number}:9000"
        region = self.config.domain_by_id[domain].region
        endpoint = settings_module.Endpoint("10.1.0.1", 1)
        settings = settings_module.EntrySettings(
            instance=instance,
            domain=domain,
            callers=endpoint,
            administration=endpoint,
            peer=endpoint,
            store=endpoint,
            peer_secret="s" * 16,
            minting_secret="m" * 16,
            operator_digest_by_name={},
            timing=self.timing,
        )
        parts = compose.EntryComponents(
            settings=settings,
            http_address=f"10.1.0.{number}:80",
            peer_address=address,
            link=self.network.create_link(address, domain, region),
            store=fakes.StoreView(self.store, domain),
            clock=self.clock,
            rng=random.Random(self.rng.random()),
            incarnation=number,
            connect=self._connect,
        )
        entry = SimulatedEntry(self, parts)
        for other in self.entry_by_id.values():
            parts.add_member(other.parts.own_member)
            other.parts.add_member(parts.own_member)
        self.entry_by_id[instance] = entry
        return entry

    def partition_domain(self, domain):
        """Partition a failure domain from the others and from the store."""
        self.network.partition_domain(domain)
        self.store.unreachable_domains.add(domain)

    def remove_partitions(self):
        """Remove all partitions."""
        self.network.remove_partitions()
        self.store.unreachable_domains.clear()

    def _connect(self, address):
        return fakes.FakeConnection(self.target_by_address[address])

    def entries(self, domain=None):
        return [
            entry
            for entry in self.entry_by_id.values()
            if domain is None or entry.parts.own_member.domain == domain
        ]

    def coordinator(self, domain):
        """The entry that holds a domain's coordinator lease, or None.

        Fails if two entries hold it.
        """
        holders = [
            entry for entry in self.entries(domain) if entry.is_coordinator
        ]
        assert len(holders) <= 1
        return holders[0] if holders else None

    async def apply_configuration(self, config=None, entry=None):
        """Apply a configuration through the administration of an entry."""
        chosen = entry or self.entries()[0]
        base = chosen.parts.active_revision.snapshot.revision
        documents = msgspec.to_builtins(config or self.config)
        del documents["withdrawn_key_by_id"]
        call = admin_api.ApplyCall(base, documents)
        return await chosen.parts.administration.apply(call, "tests")

    async def apply_and_wait_for_slots(self):
        """Apply the configuration and wait until slots are granted."""
        await asyncio.sleep(3.0)
        await self.apply_configuration()
        await asyncio.sleep(8.0)

    def targets_over_slots(self):
        """Ids of targets that ever ran more requests than they have slots."""
        return [
            target_id
            for target_id, record in self.config.target_by_id.items()
            if self.target(target_id).peak_running_count > record.slots
        ]

    def target(self, target_id):
        record = self.config.target_by_id[target_id]
        return self.target_by_address[f"{record.address}:{record.port}"]

    def received_requests(self):
        """All requests that targets received: (time, request id, method)."""
        targets = self.target_by_address.values()
        return sorted(item for target in targets for item in target.received)


async def send_poisson_load(
    entry, rate_per_s, duration_s, rng, replies, **request
):
    """Send requests as a Poisson process and collect (time, reply).

    Args:
        entry (SimulatedEntry): Entry that receives the requests.
        rate_per_s (float): Mean rate of the requests.
        duration_s (float): Time in which requests are sent.
        rng (Random): Source of the intervals.
        replies (list): Gets the time of sending and the reply of each request.
        request: Arguments of ``SimulatedEntry.send_request``.
    """
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + duration_s
    tasks = []

    async def send_one():
        sent_at = loop.time()
        replies.append((sent_at, await entry.send_request(**request)))

    while True:
        await asyncio.sleep(rng.expovariate(rate_per_s))
        if loop.time() >= ends_at:
            break
        tasks.append(asyncio.create_task(send_one()))
    await asyncio.gather(*tasks)
