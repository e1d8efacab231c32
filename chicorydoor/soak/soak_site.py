"""What a soak disturbs: entries as processes, stand-ins, and proxies."""

import asyncio
import pathlib
import signal

import msgspec

from chicorydoor.platform import documents
from chicorydoor.soak import loopback_proxy
from chicorydoor.standins import platform_site
from chicorydoor.standins import platform_store
from chicorydoor.standins import platform_target

REGION_BY_DOMAIN = {"na": "n", "nb": "n", "ma": "m"}
SERVICE = "shop"


class Customer(msgspec.Struct, frozen=True):
    """A customer of the soak.

    Args:
        rate_per_s (float): Its limit; 0 for none.
    """

    name: str
    rate_per_s: float = 0.0


CUSTOMERS = (Customer("acme"), Customer("beta", rate_per_s=20.0))


class SoakSite:
    """A deployment with a proxy at every link that can be disturbed.

    Args:
        folder (Path): Where settings and logs go.
        entries (int): Number of entries.
        targets (int): Number of targets.
    """

    def __init__(
        self, folder: pathlib.Path, entries: int, targets: int
    ) -> None:
        domains = list(REGION_BY_DOMAIN)
        self.store = platform_store.PlatformStore()
        self.targets = [
            platform_target.PlatformTarget(
                f"t{index}", SERVICE, domains[index % len(domains)]
            )
            for index in range(targets)
        ]
        self.proxy_by_target = {
            target.name: loopback_proxy.LoopbackProxy(target.endpoint)
            for target in self.targets
        }
        self.proxy_by_entry: dict[str, loopback_proxy.LoopbackProxy] = {}
        self.entries: list[platform_site.EntryProcess] = []
        for index in range(entries):
            name = f"entry-{index}"
            proxy = loopback_proxy.LoopbackProxy(self.store.endpoint)
            self.proxy_by_entry[name] = proxy
            self.entries.append(
                platform_site.EntryProcess(
                    name,
                    folder,
                    proxy.endpoint,
                    domain=domains[index % len(domains)],
                    region_by_domain=REGION_BY_DOMAIN,
                )
            )
        self.version = 0
        self.keys_by_customer = {
            customer.name: [f"{customer.name}-{n}" for n in range(6)]
            for customer in CUSTOMERS
        }
        self.withdrawn_keys: list[str] = []
        self.leaving_targets: set[str] = set()

    async def start(self) -> None:
        """Start all, the entries last."""
        await self.store.start()
        for proxy in self.proxies():
            await proxy.start()
        self.apply()
        for target in self.targets:
            await target.start()
            self.register(target)
        await asyncio.gather(*(entry.start() for entry in self.entries))

    def proxies(self) -> list[loopback_proxy.LoopbackProxy]:
        """All proxies."""
        return [*self.proxy_by_entry.values(), *self.proxy_by_target.values()]

    def register(
        self,
        target: platform_target.PlatformTarget,
        state: str = "ready",
    ) -> None:
        """Write a target's registration, at its proxy's address."""
        address = self.proxy_by_target[target.name].endpoint
        target.register(self.store, state, address)

    def apply(self) -> None:
        """Put a new version of the configuration in force."""
        self.version += 1
        customers = [
            platform_site.customer(
                customer.name,
                self.keys_by_customer[customer.name],
                customer.rate_per_s,
            )
            for customer in CUSTOMERS
        ]
        document = platform_site.configuration(self.version, customers)
        self.store.put(documents.CONFIGURATION_KEY, document)

    def withdraw_key(self, customer: str) -> None:
        """Take a customer's last key away; it never comes back."""
        keys = self.keys_by_customer[customer]
        if len(keys) > 1:
            self.withdrawn_keys.append(keys.pop())
            self.apply()

    def heal(self) -> None:
        """End all disturbances of links and of the store."""
        self.store.mood = platform_store.Mood.NORMAL
        for proxy in self.proxies():
            proxy.set_way(loopback_proxy.Way.OPEN)

    async def stop(self) -> None:
        """End the processes that were started, and all servers."""
        for entry in self.entries:
            entry.send_signal(signal.SIGKILL)
        await asyncio.gather(*(entry.wait() for entry in self.entries))
        for proxy in self.proxies():
            await proxy.stop()
        for target in self.targets:
            await target.stop()
        await self.store.stop()
