"""A platform store with targets and complete entries on loopback sockets.

All run in one event loop. Requests below /read/ may be repeated; an order, a
request below /order/, must not run twice.
"""

import asyncio
import contextlib
import contextvars
import json
import random

import httpx

from chicorydoor import fleet_entry
from chicorydoor.protocol import fleet_entry_settings
from chicorydoor.standins import platform_store
from chicorydoor.standins import port_allocation
from tests.support import scripted_target

# Name of the entry that the current task belongs to, empty in tests.
ENTRY_NAME = contextvars.ContextVar("entry_name", default="")

REGION_BY_DOMAIN = {"na": "n", "nb": "n", "ma": "m"}

FLEET_LIMITS = fleet_entry_settings.FleetLimits(
    retry_ratio=0.2,
    retry_slack=56.0,
    retry_window_s=10.0,
    rate_overage=0.1,
    rate_slack=20.0,
    stop_grace_s=3.5,
    lookup_ttl_s=2.0,
)


def build_settings(name, store, seeds=(), domain="na"):
    ports = port_allocation.allocate_ports(6)
    addresses = [f"127.0.0.1:{port}" for port in ports[:5]]
    return fleet_entry_settings.FleetEntrySettings(
        instance=name,
        domain=domain,
        region=REGION_BY_DOMAIN[domain],
        callers=addresses[0],
        readiness=addresses[1],
        peers=addresses[2],
        lookups=addresses[3],
        relay=addresses[4],
        metrics_port=ports[5],
        seed_addresses=tuple(seeds),
        region_by_domain=REGION_BY_DOMAIN,
        store=store,
        promises=FLEET_LIMITS,
    )


def build_config(version=1, **changes):
    route = {
        "host": "shop.example",
        "timeout": "1000ms",
        "targetLatency": "400ms",
        "maxAttempts": 2,
        "service": "s",
        "sessionAffinity": True,
    }
    routes = [
        route | {"name": "read", "prefix": "/read/", "kind": "safe"},
        route | {"name": "order", "prefix": "/order/", "kind": "unsafe"},
    ]
    service = {
        "name": "s",
        "healthPath": "/health",
        "maxConnections": 50,
        "coldStart": "0ms",
        "coldPerS": 0,
    }
    tenants = [{"name": "c", "apiKeys": ["key-1"], "ratePerS": 0}]
    document = {
        "version": version,
        "routes": routes,
        "services": [service],
        "tenants": tenants,
    }
    return json.dumps(document | changes).encode()


def build_registration(target, state="ready"):
    return json.dumps(
        {
            "address": target.address,
            "born": 1,
            "info": {"service": "s", "zone": "na", "slots": 4},
            "status": {"state": state, "coldRemaining": "0ms"},
        }
    ).encode()


class Cluster:
    """A store with targets and entries."""

    def __init__(self):
        self.store = platform_store.PlatformStore()
        self.targets = []
        self.entries = []
        self.tasks = []
        self.client = httpx.AsyncClient(trust_env=False, timeout=5.0)

    async def start(self, targets=2, entries=1):
        await self.store.start()
        self.store.put("op/config", build_config())
        for index in range(targets):
            target = scripted_target.ScriptedTarget(f"t{index}")
            await target.start()
            self.targets.append(target)
            self.store.put(f"servers/t{index}", build_registration(target))
        for index in range(entries):
            await self.add_entry(f"e{index}")

    async def add_entry(self, name, store=None, seeds=(), domain="na"):
        settings = build_settings(
            name, store or self.store.endpoint, seeds, domain
        )
        entry = self.start_entry(settings)
        await self.wait_until_ready(settings)
        return entry

    def start_entry(self, settings):
        """Start an entry without waiting until it is ready."""
        entry = fleet_entry.FleetEntry(settings)
        entry.settings = settings
        self.entries.append(entry)
        context = contextvars.copy_context()
        context.run(ENTRY_NAME.set, settings.instance)
        self.tasks.append(asyncio.create_task(entry.run(), context=context))
        return entry

    async def wait_until_ready(self, settings):
        for _ in range(200):
            with contextlib.suppress(httpx.HTTPError):
                url = f"http://{settings.readiness}/readiness"
                if (await self.client.get(url)).status_code == 200:
                    return
            await asyncio.sleep(0.02)
        raise AssertionError("entry is not ready")

    async def call(self, method="GET", path="/read/1", entry=0, **more):
        address = self.entries[entry].settings.callers
        headers = {
            "host": "shop.example",
            "request-id": f"{random.getrandbits(64):x}",
            "affinity-key": "7",
            "deadline-ms": "2000",
            "x-api-key": "key-1",
        }
        headers |= more.pop("headers", {})
        return await self.client.request(
            method, f"http://{address}{path}", headers=headers, **more
        )

    async def wait_until(self, condition, seconds=3.0):
        for _ in range(int(seconds / 0.02)):
            if await condition():
                return
            await asyncio.sleep(0.02)
        raise AssertionError("condition not met in time")

    def request_count(self):
        return sum(len(target.received_headers) for target in self.targets)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.client.aclose()
        for target in self.targets:
            await target.stop()
        await self.store.stop()


def run(scenario, **start):
    async def run_scenario():
        cluster = Cluster()
        try:
            await cluster.start(**start)
            await scenario(cluster)
        finally:
            await cluster.stop()

    asyncio.run(run_scenario())
